package account

import (
	"cmp"
	"slices"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/platform"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
	"github.com/lagoonvalve/lagoonvalve/internal/verdict"
)

// maxOrdersInFlight bounds the orders in flight on an engine that enforces
// fencing.
const maxOrdersInFlight = 16

// Wake records a wake. It returns a refusal if the grants or the memory of the
// upstream do not allow the load.
func (a *Account) Wake(w WakeRequest) *verdict.Verdict {
	if a.leaving || a.stopping {
		return verdict.Refuse(verdict.ReasonDraining, "the upstream is leaving")
	}
	if a.superseded || !a.registered {
		return verdict.Refuse(verdict.ReasonNotReady, "the agent is not registered")
	}
	if !a.granted(w.Key) {
		return verdict.Refuse(verdict.ReasonNoReplica, "no grant for this model version")
	}
	size, known := a.footprint(w.Key)
	adapter, adapterKnown := a.catalogue.Adapter(w.Adapter)
	if !known || w.Adapter != "" && !adapterKnown {
		return verdict.Refuse(verdict.ReasonUnknownModel, "unknown model version or adapter")
	}
	if size+adapter.Size > a.capacity {
		return verdict.Refuse(verdict.ReasonNoCapacity, "the model needs more memory than the upstream has")
	}
	t := target{w.Key, w.Adapter}
	if earlier, ok := a.wakes[t]; ok {
		w.Since = earlier.Since
	}
	a.wakes[t] = &w
	delete(a.unloadRequested, w.Key)
	return nil
}

// Unload requests the unload of a replica once it is idle, and drops its wakes.
func (a *Account) Unload(key state.ReplicaKey) {
	a.unloadRequested[key] = true
	for t := range a.wakes {
		if t.key == key {
			delete(a.wakes, t)
		}
	}
}

// SetStoreSlot records that the load of key has a store slot until the given time.
func (a *Account) SetStoreSlot(key state.ReplicaKey, until time.Time) {
	a.storeSlots[key] = &storeSlot{heldUntil: until}
}

// StoreSlotRefused records when to request a store slot for key again.
func (a *Account) StoreSlotRefused(key state.ReplicaKey, retry time.Time) {
	a.storeSlots[key] = &storeSlot{retryAt: retry}
}

// Tick returns the commands that are due now.
func (a *Account) Tick(now time.Time, use UseFunc) []Command {
	if !a.registered || a.superseded || !a.grantsKnown || a.listedStamp == 0 {
		return nil
	}
	wakes := a.activeWakes(now)
	cmds := a.planIntent(wakes)
	if a.stopping {
		return cmds
	}
	cmds = append(cmds, a.planReleases()...)
	cmds = append(cmds, a.planFence(now)...)
	cmds = append(cmds, a.planUnloads(now, use)...)
	for _, w := range wakes {
		more, wait := a.planWake(now, w, use)
		cmds = append(cmds, more...)
		if wait {
			break
		}
	}
	return cmds
}

// activeWakes drops wakes that have expired, lost their grant or are done, and
// sorts the rest by benefit.
func (a *Account) activeWakes(now time.Time) []*WakeRequest {
	live := make([]*WakeRequest, 0, len(a.wakes))
	for t, w := range a.wakes {
		expired := !w.Until.IsZero() && now.After(w.Until)
		if expired || a.leaving || !a.granted(t.key) || a.isReady(t) {
			delete(a.wakes, t)
			continue
		}
		live = append(live, w)
	}
	slices.SortFunc(live, func(x, y *WakeRequest) int {
		return cmp.Or(cmp.Compare(y.Benefit, x.Benefit), x.Since.Compare(y.Since),
			compareKeys(x.Key, y.Key), cmp.Compare(x.Adapter, y.Adapter))
	})
	return live
}

func (a *Account) isReady(t target) bool {
	r, ok := a.listed[t.key]
	return ok && r.state == state.ReplicaReady && a.isListed(t)
}

func compareKeys(x, y state.ReplicaKey) int {
	return cmp.Or(cmp.Compare(x.Model, y.Model), cmp.Compare(x.Version, y.Version))
}

// planReleases releases revoked grants, or all when leaving, whose replica is
// not in memory and can't appear there any more. A revoked grant is released at
// once if another grant allows the replica, unless the account is leaving.
func (a *Account) planReleases() []Command {
	if a.cfg.Fencing == state.FencingEnforced && !a.fencingAllows(state.ReplicaKey{}) {
		return nil
	}
	var cmds []Command
	for _, g := range a.Grants() {
		if a.releasing[g.ID] || !g.Revoked && !a.leaving {
			continue
		}
		if a.mayBeLoaded(g.ReplicaKey) && (a.leaving || !a.granted(g.ReplicaKey)) {
			continue
		}
		a.releasing[g.ID] = true
		cmds = append(cmds, AppendRelease{state.Release{Grant: g.ID, Agent: a.token}})
	}
	return cmds
}

// planFence sends an order that sets the engine's role to its present value, so
// that the engine receives the token and refuses outstanding orders of
// predecessors.
func (a *Account) planFence(now time.Time) []Command {
	if a.cfg.Fencing != state.FencingEnforced || a.fenced || now.Before(a.backoff[target{}]) {
		return nil
	}
	for _, o := range a.orders {
		if o.kind == platform.OrderRole {
			return nil
		}
	}
	return []Command{a.send(now, platform.Order{
		Kind: platform.OrderRole,
		Role: cmp.Or(a.role, "both"),
	}, target{})}
}

// planUnloads unloads idle replicas that have no grant, whose unload was
// requested, or that were not used for their keep-alive.
func (a *Account) planUnloads(now time.Time, use UseFunc) []Command {
	var cmds []Command
	for _, key := range a.sortedListed() {
		u := use(key, "")
		if !a.evictable(now, target{key: key}, u) {
			continue
		}
		unwanted := a.leaving || a.unloadRequested[key] || !a.granted(key)
		if !unwanted && a.idle(now, key, u) < u.KeepAlive {
			continue
		}
		if a.canSend() {
			cmds = append(cmds, a.sendUnload(now, target{key: key}))
		}
	}
	return cmds
}

// evictable reports whether t is loaded and idle, no wake waits for it, and
// neither an order nor a backoff concerns it.
func (a *Account) evictable(now time.Time, t target, u Use) bool {
	r, ok := a.listed[t.key]
	if !ok || r.state != state.ReplicaReady || u.InFlight > 0 {
		return false
	}
	for waiting := range a.wakes {
		if waiting.key == t.key && (t.adapter == "" || t.adapter == waiting.adapter) {
			return false
		}
	}
	for _, o := range a.orders {
		if o.target.key == t.key && o.answeredStamp == 0 {
			return false
		}
	}
	return !a.unloading(t) && !now.Before(a.backoff[t])
}

// idle returns how long a replica or adapter has been unused since the replica
// became ready.
func (a *Account) idle(now time.Time, key state.ReplicaKey, u Use) time.Duration {
	since := a.listed[key].since
	if u.LastUsed.After(since) {
		since = u.LastUsed
	}
	return now.Sub(since)
}

// canSend reports whether another order may be sent now.
func (a *Account) canSend() bool {
	if a.cfg.Fencing == state.FencingEnforced {
		return a.fenced && a.inFlight() < maxOrdersInFlight
	}
	return a.inFlight() == 0
}

func (a *Account) send(now time.Time, o platform.Order, t target) SendOrder {
	a.nextOrder++
	a.stamp++
	o.Token = a.token
	a.orders = append(a.orders, &order{
		id:         a.nextOrder,
		kind:       o.Kind,
		target:     t,
		size:       o.Size,
		sentStamp:  a.stamp,
		lastChange: now,
	})
	return SendOrder{ID: a.nextOrder, Order: o}
}

func (a *Account) sendUnload(now time.Time, t target) SendOrder {
	kind := platform.OrderUnload
	if t.adapter != "" {
		kind = platform.OrderUnloadAdapter
	}
	return a.send(now, platform.Order{Kind: kind, ReplicaKey: t.key, Adapter: t.adapter}, t)
}

func (a *Account) sortedListed() []state.ReplicaKey {
	keys := make([]state.ReplicaKey, 0, len(a.listed))
	for key := range a.listed {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, compareKeys)
	return keys
}
