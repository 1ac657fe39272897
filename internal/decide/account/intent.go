package account

import (
	"slices"

	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// intents tracks the agent's own intent records. An append whose place is not
// known may be in force already or not yet, so an order must be covered by
// each of the sets that may be in force.
type intents struct {
	inForce  *state.Intent
	appended []AppendIntent
	sequence uint64
}

func (s *intents) covers(key state.ReplicaKey, orders int) bool {
	if s.inForce == nil || !covers(*s.inForce, key, orders) {
		return false
	}
	for _, p := range s.appended {
		if !covers(p.Intent, key, orders) {
			return false
		}
	}
	return true
}

func covers(in state.Intent, key state.ReplicaKey, orders int) bool {
	return slices.Contains(in.Models, key) && in.Orders >= orders
}

// IntentRead says that the intent was read at its place in the log.
func (a *Account) IntentRead(sequence uint64) {
	for i, p := range a.intent.appended {
		if p.Sequence == sequence {
			a.intent.inForce = &p.Intent
			a.intent.appended = slices.Delete(a.intent.appended, i, i+1)
			return
		}
	}
}

// IntentFound says that the log holds an intent of this agent that the account
// did not wait for: an append that was repeated and stored twice.
func (a *Account) IntentFound(in state.Intent) {
	if in.Agent == a.token {
		a.intent.inForce = &in
	}
}

// IntentFailed says that the intent was not stored and never will be.
func (a *Account) IntentFailed(sequence uint64) {
	a.intent.appended = slices.DeleteFunc(a.intent.appended, func(p AppendIntent) bool {
		return p.Sequence == sequence
	})
}

// IntentInForce returns the models of the last intent read.
func (a *Account) IntentInForce() []state.ReplicaKey {
	if a.intent.inForce == nil {
		return nil
	}
	return slices.Clone(a.intent.inForce.Models)
}

// ordersOut is how many loads may take effect after the agent's death if it
// sends another one now.
func (a *Account) ordersOut() int { return 1 + a.unknownLoads() + a.predecessorOrders }

// mayOrder reports whether a load of key may be sent as far as fencing goes.
func (a *Account) mayOrder(key state.ReplicaKey) bool {
	if a.cfg.Fencing == state.FencingEnforced {
		return a.fenced && a.listedAt > a.fence
	}
	return a.intent.covers(key, a.ordersOut())
}

// planIntent appends an intent if the one in force misses a model that should
// be in it or allows too few orders.
func (a *Account) planIntent(wishes []*WakeRequest) []Command {
	if a.cfg.Fencing == state.FencingEnforced || len(a.intent.appended) > 0 {
		return nil
	}
	wanted := state.Intent{Agent: a.token, Models: a.intentSet(wishes), Orders: a.ordersOut()}
	if a.stopping {
		wanted.Models = a.unsettled()
		wanted.Orders--
	}
	if !a.replaceIntent(wanted) {
		return nil
	}
	a.intent.sequence++
	cmd := AppendIntent{Sequence: a.intent.sequence, Intent: wanted}
	a.intent.appended = append(a.intent.appended, cmd)
	return []Command{cmd}
}

func (a *Account) replaceIntent(wanted state.Intent) bool {
	current := a.intent.inForce
	if a.stopping {
		if a.inFlight() > 0 {
			return false
		}
		// Without an own intent, the predecessors' is still in force.
		return current == nil || !slices.Equal(current.Models, wanted.Models) || current.Orders != wanted.Orders
	}
	if current == nil {
		return len(wanted.Models) > 0
	}
	if current.Orders < wanted.Orders {
		return true
	}
	return slices.ContainsFunc(wanted.Models, func(key state.ReplicaKey) bool {
		return !slices.Contains(current.Models, key)
	})
}

// unsettled returns the models that an order out may still load.
func (a *Account) unsettled() []state.ReplicaKey {
	var keys []state.ReplicaKey
	add := func(key state.ReplicaKey) {
		if !slices.Contains(keys, key) {
			keys = append(keys, key)
		}
	}
	if a.predecessorOrders > 0 {
		for _, key := range a.predecessor {
			add(key)
		}
	}
	for _, o := range a.orders {
		if o.isLoad() {
			add(o.target.key)
		}
	}
	return keys
}

// intentSet chooses the models that the agent may order: first what may still
// take effect, then wishes, then the current set, what is loaded and the
// other grants, as long as they fit the memory together.
func (a *Account) intentSet(wishes []*WakeRequest) []state.ReplicaKey {
	set := a.unsettled()
	var total state.Bytes
	for _, key := range set {
		size, _ := a.footprint(key)
		total += size
	}
	add := func(key state.ReplicaKey, always bool) {
		size, known := a.footprint(key)
		fits := total+size <= a.capacity || always
		if !known || !fits || !a.granted(key) || slices.Contains(set, key) {
			return
		}
		set = append(set, key)
		total += size
	}
	for i, w := range wishes {
		add(w.Key, i == 0)
	}
	for _, key := range a.IntentInForce() {
		add(key, false)
	}
	for _, key := range a.sortedListed() {
		add(key, false)
	}
	for _, g := range a.Grants() {
		add(g.ReplicaKey, false)
	}
	return set
}
