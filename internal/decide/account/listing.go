package account

import (
	"slices"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/platform"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// BeginListing returns the stamp of a listing that is about to be requested.
func (a *Account) BeginListing() Stamp {
	a.stamp++
	return a.stamp
}

// Observe applies a listing that was requested at stamp. A listing older than
// one already applied is ignored.
func (a *Account) Observe(now time.Time, stamp Stamp, status platform.EngineStatus) {
	if stamp <= a.listedStamp {
		return
	}
	if a.incarnation != status.Incarnation {
		a.engineRestarted(status.Incarnation)
	}
	a.observeReplicas(now, stamp, status.Replicas)
	a.removeObservedOrders(stamp)
	a.listedStamp = stamp
	a.role = status.Role
	a.cached = status.Cached
	a.capacity = a.cfg.Memory
	if status.Memory > 0 {
		a.capacity = min(a.capacity, status.Memory)
	}
}

// engineRestarted discards the listed replicas. An order that was sent before
// the last listing of the old engine was requested went to that engine and is
// void, unless it is still in flight: its answer decides then. A later order may
// have reached the new engine.
func (a *Account) engineRestarted(incarnation string) {
	first := a.incarnation == ""
	a.incarnation = incarnation
	clear(a.listed)
	if first {
		return
	}
	for _, o := range a.orders {
		o.beforeRestart = o.beforeRestart || o.sentStamp < a.listedStamp
	}
	a.orders = slices.DeleteFunc(a.orders, func(o *order) bool { return o.beforeRestart && o.answeredStamp != 0 })
	a.predecessorOrders = 0
	a.predecessorModels = nil
	a.fenced = false
}

func (a *Account) observeReplicas(now time.Time, stamp Stamp, listing []platform.EngineReplica) {
	seen := make(map[state.ReplicaKey]bool, len(listing))
	for _, entry := range listing {
		seen[entry.ReplicaKey] = true
		a.observeReplica(now, stamp, entry)
	}
	for key := range a.listed {
		if !seen[key] && !a.unloadSince(target{key: key}, stamp) {
			delete(a.listed, key)
			delete(a.backoff, target{key: key})
		}
	}
}

func (a *Account) observeReplica(now time.Time, stamp Stamp, entry platform.EngineReplica) {
	r, ok := a.listed[entry.ReplicaKey]
	if !ok {
		r = &replica{since: now, adapters: make(map[state.AdapterName]state.Bytes)}
		a.listed[entry.ReplicaKey] = r
		a.attributeLoad(target{key: entry.ReplicaKey}, stamp)
	}
	if entry.State == state.ReplicaReady && r.state != state.ReplicaReady {
		r.since = now
	}
	r.state = entry.State
	size, _ := a.footprint(entry.ReplicaKey)
	r.size = max(r.size, size, entry.Size)
	for _, name := range entry.Adapters {
		if _, known := r.adapters[name]; known {
			continue
		}
		adapter, _ := a.catalogue.Adapter(name)
		r.adapters[name] = adapter.Size
		a.attributeLoad(target{entry.ReplicaKey, name}, stamp)
	}
	for name := range r.adapters {
		gone := !slices.Contains(entry.Adapters, name)
		if gone && !a.unloadSince(target{entry.ReplicaKey, name}, stamp) {
			delete(r.adapters, name)
			delete(a.backoff, target{entry.ReplicaKey, name})
		}
	}
}

// unloadSince reports whether an unload of t was sent after the listing with
// this stamp was requested. Such a listing does not show the unload's effect.
func (a *Account) unloadSince(t target, stamp Stamp) bool {
	return slices.ContainsFunc(a.orders, func(o *order) bool {
		return o.isUnload() && o.target == t && o.sentStamp > stamp
	})
}

// attributeLoad attributes a newly listed target to one order. A load in flight
// or done comes first; it is removed once it is answered and listed. Otherwise a
// load of unknown outcome took effect, or else one of a predecessor.
func (a *Account) attributeLoad(t target, stamp Stamp) {
	delete(a.backoff, t)
	if inFlight, _ := a.countLoads(t); inFlight > 0 {
		return
	}
	i := slices.IndexFunc(a.orders, func(o *order) bool {
		return o.isLoad() && o.target == t && o.sentStamp < stamp
	})
	if i >= 0 {
		a.orders = slices.Delete(a.orders, i, i+1)
		return
	}
	// The first listing shows the effect of earlier orders, not of one that
	// was still outstanding when this agent started.
	if a.listedStamp > 0 && a.predecessorOrders > 0 && slices.Contains(a.predecessorModels, t.key) {
		a.predecessorOrders--
	}
}

// removeObservedOrders drops the orders that were answered before this listing
// was requested, since it shows their effect. A load of unknown outcome stays.
func (a *Account) removeObservedOrders(stamp Stamp) {
	a.orders = slices.DeleteFunc(a.orders, func(o *order) bool {
		if o.answeredStamp == 0 || o.answeredStamp >= stamp {
			return false
		}
		return !o.isLoad() || o.outcome != Unknown
	})
}

// Result records the outcome of an order. A definite outcome may follow an
// unknown one.
func (a *Account) Result(now time.Time, id OrderID, outcome Outcome) {
	i := slices.IndexFunc(a.orders, func(o *order) bool { return o.id == id })
	if i < 0 {
		return
	}
	o := a.orders[i]
	if o.beforeRestart && (outcome == Unknown || o.kind == platform.OrderRole) {
		a.orders = slices.Delete(a.orders, i, i+1)
		return
	}
	if outcome == Done && o.kind == platform.OrderLoadAdapter {
		a.adapterLimiter.RecordLoad(now.Sub(o.lastChange), o.size)
	}
	a.stamp++
	o.answeredStamp, o.outcome, o.lastChange = a.stamp, outcome, now
	switch {
	case outcome == Stale:
		a.superseded = true
	case outcome == Refused || o.isLoad() || o.isUnload():
		// The next listing ends the backoff if it shows the order's effect.
		a.backoff[o.target] = now.Add(orderRetryDelay)
	}
	if outcome == Done && o.kind == platform.OrderRole {
		a.fenced, a.fenceStamp = true, o.answeredStamp
	}
	if outcome == Stale || outcome == Refused || o.kind == platform.OrderRole {
		a.orders = slices.Delete(a.orders, i, i+1)
	}
}
