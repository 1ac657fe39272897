package account

import (
	"cmp"
	"slices"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/platform"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
	"github.com/lagoonvalve/lagoonvalve/internal/verdict"
)

// maxInFlight bounds the orders in flight on an engine that enforces fencing.
const maxInFlight = 16

// Wake records a wish. It returns a refusal if the wish can't be fulfilled
// under the grants and the memory of the upstream.
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
		return verdict.Refuse(verdict.ReasonUnknownModel, "size unknown")
	}
	if size+adapter.Size > a.capacity {
		return verdict.Refuse(verdict.ReasonNoCapacity, "larger than the upstream's memory")
	}
	t := target{w.Key, w.Adapter}
	if earlier, ok := a.wishes[t]; ok {
		w.Since = earlier.Since
	}
	a.wishes[t] = &w
	delete(a.unwanted, w.Key)
	return nil
}

// Unload asks for the unload of a replica once it is idle.
func (a *Account) Unload(key state.ReplicaKey) {
	a.unwanted[key] = true
	for t := range a.wishes {
		if t.key == key {
			delete(a.wishes, t)
		}
	}
}

// SetStoreSlot says that the load of key has a store slot until the given time.
func (a *Account) SetStoreSlot(key state.ReplicaKey, until time.Time) {
	a.slots[key] = &slot{until: until}
}

// StoreSlotRefused says when to ask for a store slot for key again.
func (a *Account) StoreSlotRefused(key state.ReplicaKey, retry time.Time) {
	a.slots[key] = &slot{retry: retry}
}

// Tick returns what is to be done now.
func (a *Account) Tick(now time.Time, use UseFunc) []Command {
	if !a.registered || a.superseded || !a.grantsKnown || a.listedAt == 0 {
		return nil
	}
	wishes := a.liveWishes(now)
	cmds := a.planIntent(wishes)
	if a.stopping {
		return cmds
	}
	cmds = append(cmds, a.planReleases()...)
	cmds = append(cmds, a.planFence(now)...)
	cmds = append(cmds, a.planUnloads(now, use)...)
	for _, w := range wishes {
		more, wait := a.fulfil(now, w, use)
		cmds = append(cmds, more...)
		if wait {
			break
		}
	}
	return cmds
}

// liveWishes drops wishes that lapsed or lost their grant and sorts the rest
// by benefit.
func (a *Account) liveWishes(now time.Time) []*WakeRequest {
	live := make([]*WakeRequest, 0, len(a.wishes))
	for t, w := range a.wishes {
		lapsed := !w.Until.IsZero() && now.After(w.Until)
		if lapsed || a.leaving || !a.granted(t.key) || a.fulfilled(t) {
			delete(a.wishes, t)
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

func (a *Account) fulfilled(t target) bool {
	r, ok := a.listed[t.key]
	return ok && r.state == state.ReplicaReady && a.isListed(t)
}

func compareKeys(x, y state.ReplicaKey) int {
	return cmp.Or(cmp.Compare(x.Model, y.Model), cmp.Compare(x.Version, y.Version))
}

// planReleases gives back revoked grants, or all when leaving, whose replica
// is not in memory and can't appear there any more.
func (a *Account) planReleases() []Command {
	if a.cfg.Fencing == state.FencingEnforced && !a.mayOrder(state.ReplicaKey{}) {
		return nil
	}
	var cmds []Command
	for _, g := range a.Grants() {
		if a.releasing[g.ID] || !g.Revoked && !a.leaving {
			continue
		}
		if a.held(g.ReplicaKey) && (a.leaving || !a.granted(g.ReplicaKey)) {
			continue
		}
		a.releasing[g.ID] = true
		cmds = append(cmds, AppendRelease{state.Release{Grant: g.ID, Agent: a.token}})
	}
	return cmds
}

// planFence sends an order that changes nothing, so that the engine learns the
// token and refuses what predecessors still have on the way.
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

// planUnloads unloads idle replicas that have no grant, are not wanted, or
// were not used for their keep-alive.
func (a *Account) planUnloads(now time.Time, use UseFunc) []Command {
	var cmds []Command
	for _, key := range a.sortedListed() {
		u := use(key, "")
		if !a.evictable(now, target{key: key}, u) {
			continue
		}
		unwanted := a.leaving || a.unwanted[key] || !a.granted(key)
		if !unwanted && a.idle(now, key, u) < u.KeepAlive {
			continue
		}
		if a.canSend() {
			cmds = append(cmds, a.sendUnload(now, target{key: key}))
		}
	}
	return cmds
}

// evictable reports whether t is loaded, out of use and not wished for, and no
// order concerns it.
func (a *Account) evictable(now time.Time, t target, u Use) bool {
	r, ok := a.listed[t.key]
	if !ok || r.state != state.ReplicaReady || u.InFlight > 0 {
		return false
	}
	for wished := range a.wishes {
		if wished.key == t.key && (t.adapter == "" || t.adapter == wished.adapter) {
			return false
		}
	}
	for _, o := range a.orders {
		if o.target.key == t.key && o.answered == 0 {
			return false
		}
	}
	return !a.unloading(t) && !now.Before(a.backoff[t])
}

// idle is how long a replica has been without use since it became ready.
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
		return a.fenced && a.inFlight() < maxInFlight
	}
	return a.inFlight() == 0
}

func (a *Account) send(now time.Time, o platform.Order, t target) SendOrder {
	a.nextOrder++
	a.stamp++
	o.Token = a.token
	a.orders = append(a.orders, &order{
		id:     a.nextOrder,
		kind:   o.Kind,
		target: t,
		size:   o.Size,
		sent:   a.stamp,
		at:     now,
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
