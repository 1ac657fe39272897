package account

import (
	"cmp"
	"slices"

	"github.com/lagoonvalve/lagoonvalve/internal/platform"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// footprint returns the memory that a replica of key takes, and whether its
// model version is known.
func (a *Account) footprint(key state.ReplicaKey) (state.Bytes, bool) {
	version, ok := a.catalogue.Version(key)
	return version.Footprint(), ok
}

// Used returns the memory that is in use or may come into use: replicas with
// their KV headroom, adapters, loads that may still take effect, and the memory
// reserved for orders of predecessors.
func (a *Account) Used() state.Bytes {
	var total state.Bytes
	for _, r := range a.listed {
		total += r.size
		for _, size := range r.adapters {
			total += size
		}
	}
	return total + a.pendingLoadMemory() + a.Reserved()
}

// pendingLoadMemory sums the sizes of loads that may still take effect, each
// target once.
func (a *Account) pendingLoadMemory() state.Bytes {
	var total state.Bytes
	for i, o := range a.orders {
		if !o.isLoad() || a.isListed(o.target) || a.hasEarlierLoad(i) {
			continue
		}
		total += o.size
	}
	return total
}

func (a *Account) hasEarlierLoad(i int) bool {
	for _, earlier := range a.orders[:i] {
		if earlier.isLoad() && earlier.target == a.orders[i].target {
			return true
		}
	}
	return false
}

func (o *order) isLoad() bool {
	return o.kind == platform.OrderLoad || o.kind == platform.OrderLoadAdapter
}

func (o *order) isUnload() bool {
	return o.kind == platform.OrderUnload || o.kind == platform.OrderUnloadAdapter
}

func (a *Account) isListed(t target) bool {
	r, ok := a.listed[t.key]
	if !ok || t.adapter == "" {
		return ok
	}
	_, ok = r.adapters[t.adapter]
	return ok
}

// Reserved returns the memory kept for orders of predecessors: for each such
// order the largest model of their intent that is neither loaded nor being
// loaded, or the largest adapter if that is more. The engine holds a model only
// once, so a predecessor's load of a model that this agent loads too takes no
// further memory. If this agent's load fails, the reserve grows by at most the
// size of that load.
func (a *Account) Reserved() state.Bytes { return a.reservedDuringLoad(state.ReplicaKey{}) }

// reservedDuringLoad returns what Reserved would be while loading is being
// loaded too.
func (a *Account) reservedDuringLoad(loading state.ReplicaKey) state.Bytes {
	if a.predecessorOrders == 0 {
		return 0
	}
	sizes := make([]state.Bytes, 0, 2*len(a.predecessorModels))
	for _, key := range a.predecessorModels {
		inFlight, unknown := a.countLoads(target{key: key})
		if !a.isListed(target{key: key}) && inFlight+unknown == 0 && key != loading {
			size, _ := a.footprint(key)
			sizes = append(sizes, size)
		}
		sizes = append(sizes, a.catalogue.LargestAdapter(key.Model))
	}
	slices.SortFunc(sizes, func(x, y state.Bytes) int { return cmp.Compare(y, x) })
	var total state.Bytes
	for _, size := range sizes[:min(a.predecessorOrders, len(sizes))] {
		total += size
	}
	return total
}

// freeMemoryFor returns the memory that a load of key or of one of its adapters
// may take now.
func (a *Account) freeMemoryFor(key state.ReplicaKey) state.Bytes {
	return a.capacity - a.Used() + a.Reserved() - a.reservedDuringLoad(key)
}

// memoryBeingFreed returns the memory that unloads in progress will free.
func (a *Account) memoryBeingFreed() state.Bytes {
	var total state.Bytes
	for key, r := range a.listed {
		if r.state == state.ReplicaUnloading || a.unloading(target{key: key}) {
			total += r.totalSize()
			continue
		}
		for name, size := range r.adapters {
			if a.unloading(target{key, name}) {
				total += size
			}
		}
	}
	return total
}

func (r *replica) totalSize() state.Bytes {
	total := r.size
	for _, size := range r.adapters {
		total += size
	}
	return total
}

func (a *Account) unloading(t target) bool {
	return slices.ContainsFunc(a.orders, func(o *order) bool {
		return o.isUnload() && o.target == t
	})
}

// countLoads counts the loads of t that may still take effect. Those of unknown
// outcome count as unknown, all others as in flight, also an answered one whose
// effect no listing has shown yet.
func (a *Account) countLoads(t target) (inFlight, unknown int) {
	for _, o := range a.orders {
		if !o.isLoad() || o.target != t {
			continue
		}
		if o.answeredStamp != 0 && o.outcome == Unknown {
			unknown++
			continue
		}
		inFlight++
	}
	return inFlight, unknown
}

// unknownLoads counts the loads of unknown outcome, which may still take effect.
func (a *Account) unknownLoads() int {
	count := 0
	for _, o := range a.orders {
		if o.isLoad() && o.answeredStamp != 0 && o.outcome == Unknown {
			count++
		}
	}
	return count
}

// inFlight counts the orders without an answer.
func (a *Account) inFlight() int {
	count := 0
	for _, o := range a.orders {
		if o.answeredStamp == 0 {
			count++
		}
	}
	return count
}

// mayBeLoaded reports whether key is in the engine's memory or may yet appear
// there.
func (a *Account) mayBeLoaded(key state.ReplicaKey) bool {
	if a.isListed(target{key: key}) {
		return true
	}
	inFlight, unknown := a.countLoads(target{key: key})
	if inFlight+unknown > 0 {
		return true
	}
	return a.predecessorOrders > 0 && slices.Contains(a.predecessorModels, key)
}
