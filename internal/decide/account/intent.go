package account

import (
	"slices"

	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// intents tracks the agent's own intent records. An appended record that was
// not read back yet may or may not be in force, so an order must be covered by
// every set that may be in force.
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

// IntentRead reports that the intent was read back from the log and is in force.
func (a *Account) IntentRead(sequence uint64) {
	for i, p := range a.intent.appended {
		if p.Sequence == sequence {
			a.intent.inForce = &p.Intent
			a.intent.appended = slices.Delete(a.intent.appended, i, i+1)
			return
		}
	}
}

// IntentFound reports an intent of this agent in the log that the account does
// not wait for: an append that was repeated and stored twice.
func (a *Account) IntentFound(in state.Intent) {
	if in.Agent == a.token {
		a.intent.inForce = &in
	}
}

// IntentFailed reports that the intent was not stored and never will be.
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

// loadBound returns how many loads may still take effect after the agent's death
// if it sends another one now.
func (a *Account) loadBound() int { return 1 + a.unknownLoads() + a.predecessorOrders }

// fencingAllows reports whether fencing permits a load of key. An engine that
// enforces fencing must have accepted the agent's token before the last listing
// was requested. For other engines the intent must cover the load.
func (a *Account) fencingAllows(key state.ReplicaKey) bool {
	if a.cfg.Fencing == state.FencingEnforced {
		return a.fenced && a.listedStamp > a.fenceStamp
	}
	return a.intent.covers(key, a.loadBound())
}

// planIntent appends an intent if the one in force lacks a model that should be
// in it or allows too few orders.
func (a *Account) planIntent(wakes []*WakeRequest) []Command {
	if a.cfg.Fencing == state.FencingEnforced || len(a.intent.appended) > 0 {
		return nil
	}
	wanted := state.Intent{Agent: a.token, Models: a.intentSet(wakes), Orders: a.loadBound()}
	if a.stopping {
		wanted.Models = a.outstandingModels()
		wanted.Orders--
	}
	if !a.mustReplaceIntent(wanted) {
		return nil
	}
	a.intent.sequence++
	cmd := AppendIntent{Sequence: a.intent.sequence, Intent: wanted}
	a.intent.appended = append(a.intent.appended, cmd)
	return []Command{cmd}
}

func (a *Account) mustReplaceIntent(wanted state.Intent) bool {
	current := a.intent.inForce
	if a.stopping {
		if a.inFlight() > 0 {
			return false
		}
		// Until the agent has an intent of its own, its predecessors' intent
		// is in force.
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

// outstandingModels returns the models of all loads that may still take effect,
// those of predecessors included.
func (a *Account) outstandingModels() []state.ReplicaKey {
	var keys []state.ReplicaKey
	add := func(key state.ReplicaKey) {
		if !slices.Contains(keys, key) {
			keys = append(keys, key)
		}
	}
	if a.predecessorOrders > 0 {
		for _, key := range a.predecessorModels {
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

// intentSet chooses the models that the agent may load: first those of loads
// that may still take effect, then those of wakes, the intent in force, the last
// listing and the other grants, as long as they fit into memory together. The
// first wake is included even if it does not fit.
func (a *Account) intentSet(wakes []*WakeRequest) []state.ReplicaKey {
	set := a.outstandingModels()
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
	for i, w := range wakes {
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
