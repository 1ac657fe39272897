package account

import (
	"slices"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/platform"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// BeginListing returns the stamp of a listing that is about to be asked for.
func (a *Account) BeginListing() Stamp {
	a.stamp++
	return a.stamp
}

// Observe takes in a listing that was asked for at stamp. A listing older than
// one already used is ignored.
func (a *Account) Observe(now time.Time, stamp Stamp, status platform.EngineStatus) {
	if stamp <= a.listedAt {
		return
	}
	if a.incarnation != status.Incarnation {
		a.engineRestarted(status.Incarnation)
	}
	a.observeReplicas(now, stamp, status.Replicas)
	a.settleOrders(stamp)
	a.listedAt = stamp
	a.role = status.Role
	a.cached = status.Cached
	a.capacity = a.cfg.Memory
	if status.Memory > 0 {
		a.capacity = min(a.capacity, status.Memory)
	}
}

// engineRestarted forgets what was loaded. An order that was sent before the
// last listing of the old engine went to that engine and is void, unless its
// call still runs. A later one may have reached the new engine.
func (a *Account) engineRestarted(incarnation string) {
	first := a.incarnation == ""
	a.incarnation = incarnation
	clear(a.listed)
	if first {
		return
	}
	for _, o := range a.orders {
		o.old = o.old || o.sent < a.listedAt
	}
	a.orders = slices.DeleteFunc(a.orders, func(o *order) bool { return o.old && o.answered != 0 })
	a.predecessorOrders = 0
	a.predecessor = nil
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
		a.appeared(target{key: entry.ReplicaKey}, stamp)
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
		a.appeared(target{entry.ReplicaKey, name}, stamp)
	}
	for name := range r.adapters {
		gone := !slices.Contains(entry.Adapters, name)
		if gone && !a.unloadSince(target{entry.ReplicaKey, name}, stamp) {
			delete(r.adapters, name)
			delete(a.backoff, target{entry.ReplicaKey, name})
		}
	}
}

// unloadSince reports whether an unload of t was sent after a listing with
// this stamp was asked for. Such a listing does not show the unload's effect.
func (a *Account) unloadSince(t target, stamp Stamp) bool {
	return slices.ContainsFunc(a.orders, func(o *order) bool {
		return o.isUnload() && o.target == t && o.sent > stamp
	})
}

// appeared attributes a newly listed target to one order. An order in flight
// or done is taken first, since it is settled by its answer. Otherwise one of
// unknown outcome took effect, or else one of a predecessor.
func (a *Account) appeared(t target, stamp Stamp) {
	delete(a.backoff, t)
	if inFlight, _ := a.loads(t); inFlight > 0 {
		return
	}
	i := slices.IndexFunc(a.orders, func(o *order) bool {
		return o.isLoad() && o.target == t && o.sent < stamp
	})
	if i >= 0 {
		a.orders = slices.Delete(a.orders, i, i+1)
		return
	}
	// The first listing shows what earlier orders did, not one that was
	// still on its way.
	if a.listedAt > 0 && a.predecessorOrders > 0 && slices.Contains(a.predecessor, t.key) {
		a.predecessorOrders--
	}
}

// settleOrders drops the orders whose effect this listing shows.
func (a *Account) settleOrders(stamp Stamp) {
	a.orders = slices.DeleteFunc(a.orders, func(o *order) bool {
		if o.answered == 0 || o.answered >= stamp {
			return false
		}
		return !o.isLoad() || o.outcome != Unknown
	})
}

// Result takes in the outcome of an order. A definite outcome may follow an
// unknown one.
func (a *Account) Result(now time.Time, id OrderID, outcome Outcome) {
	i := slices.IndexFunc(a.orders, func(o *order) bool { return o.id == id })
	if i < 0 {
		return
	}
	o := a.orders[i]
	if o.old && (outcome == Unknown || o.kind == platform.OrderRole) {
		a.orders = slices.Delete(a.orders, i, i+1)
		return
	}
	if outcome == Done && o.kind == platform.OrderLoadAdapter {
		a.pacer.Ended(now.Sub(o.at), o.size)
	}
	a.stamp++
	o.answered, o.outcome, o.at = a.stamp, outcome, now
	switch {
	case outcome == Stale:
		a.superseded = true
	case outcome == Refused || o.isLoad() || o.isUnload():
		// The next listing ends the wait if it shows the order's effect.
		a.backoff[o.target] = now.Add(retryOrder)
	}
	if outcome == Done && o.kind == platform.OrderRole {
		a.fenced, a.fence = true, o.answered
	}
	if outcome == Stale || outcome == Refused || o.kind == platform.OrderRole {
		a.orders = slices.Delete(a.orders, i, i+1)
	}
}
