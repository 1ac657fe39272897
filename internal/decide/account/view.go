package account

import (
	"cmp"
	"slices"

	"github.com/lagoonvalve/lagoonvalve/internal/platform"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// Grants returns the grants in force in the order of their offsets.
func (a *Account) Grants() []state.Grant {
	var all []state.Grant
	for _, grants := range a.grants {
		all = append(all, grants...)
	}
	slices.SortFunc(all, func(x, y state.Grant) int { return cmp.Compare(x.ID, y.ID) })
	return all
}

// Replicas returns what is loaded, loading or unloading, sorted by model.
func (a *Account) Replicas() []state.Replica {
	all := make([]state.Replica, 0, len(a.listed)+len(a.orders))
	for key, r := range a.listed {
		entry := state.Replica{ReplicaKey: key, Upstream: a.cfg.Upstream, State: r.state}
		if a.unloading(target{key: key}) {
			entry.State = state.ReplicaUnloading
		}
		for name := range r.adapters {
			if !a.unloading(target{key, name}) {
				entry.Adapters = append(entry.Adapters, name)
			}
		}
		slices.Sort(entry.Adapters)
		all = append(all, entry)
	}
	for _, o := range a.orders {
		if o.kind == platform.OrderLoad && o.answered == 0 && !a.isListed(o.target) {
			all = append(all, state.Replica{
				ReplicaKey: o.target.key,
				Upstream:   a.cfg.Upstream,
				State:      state.ReplicaLoading,
			})
		}
	}
	slices.SortFunc(all, func(x, y state.Replica) int { return compareKeys(x.ReplicaKey, y.ReplicaKey) })
	return all
}

// Unloading reports whether an unload is out whose effect no listing has
// shown yet.
func (a *Account) Unloading(key state.ReplicaKey, adapter state.AdapterName) bool {
	return a.unloading(target{key, adapter})
}

// NoRoom reports whether a replica that is not loaded has no memory in sight:
// what is free and what unloads under way give back is not enough for it.
func (a *Account) NoRoom(key state.ReplicaKey) bool {
	version, ok := a.catalogue.Version(key)
	if !ok {
		return false
	}
	if _, listed := a.listed[key]; listed {
		return false
	}
	for _, o := range a.orders {
		if o.target.key == key && o.isLoad() {
			return false
		}
	}
	return version.Footprint() > a.freeFor(key)+a.freeing()
}

// CanLoadSpare reports whether a replica could be loaded without an eviction and,
// with beside, on an accelerator that holds other models anyway.
func (a *Account) CanLoadSpare(key state.ReplicaKey, beside bool) bool {
	version, ok := a.catalogue.Version(key)
	others := len(a.listed) > 0 || len(a.orders) > 0
	return ok && version.Footprint() <= a.freeFor(key) && (others || !beside)
}

// Capacity is the memory that the account shares out.
func (a *Account) Capacity() state.Bytes { return a.capacity }

// Incarnation is the engine's incarnation in the last listing.
func (a *Account) Incarnation() string { return a.incarnation }

// Cached says where checkpoints are, as of the last listing.
func (a *Account) Cached() map[string]platform.CacheTier { return a.cached }

// Listed reports whether a listing was seen.
func (a *Account) Listed() bool { return a.listedAt > 0 }

// HasPendingOrders reports whether an order has no answer yet or an effect that no
// listing has shown; listings are due more often then.
func (a *Account) HasPendingOrders() bool { return len(a.orders) > 0 }

// Stopped reports whether nothing remains to be done after Stop.
func (a *Account) Stopped() bool {
	if a.superseded || !a.registered {
		return true
	}
	if !a.stopping || a.inFlight() > 0 {
		return false
	}
	if a.cfg.Fencing == state.FencingEnforced {
		return true
	}
	if len(a.intent.appended) > 0 || a.intent.inForce == nil {
		return false
	}
	return slices.Equal(a.intent.inForce.Models, a.unsettled())
}

// Left reports whether nothing remains to be done after Leave.
func (a *Account) Left() bool {
	return a.superseded || a.leaving && len(a.listed) == 0 && len(a.orders) == 0 && len(a.grants) == 0
}
