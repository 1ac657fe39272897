package account

import (
	"cmp"
	"slices"

	"github.com/lagoonvalve/lagoonvalve/internal/platform"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// footprint returns the memory that a replica of key takes.
func (a *Account) footprint(key state.ReplicaKey) (state.Bytes, bool) {
	version, ok := a.catalogue.Version(key)
	return version.Footprint(), ok
}

// Used returns the memory that is taken or may become taken: replicas with
// their KV headroom, adapters, orders that may still take effect, and the
// reserve for orders of predecessors.
func (a *Account) Used() state.Bytes {
	var total state.Bytes
	for _, r := range a.listed {
		total += r.size
		for _, size := range r.adapters {
			total += size
		}
	}
	return total + a.pending() + a.Reserved()
}

// pending sums the loads that may still take effect, each target once.
func (a *Account) pending() state.Bytes {
	var total state.Bytes
	for i, o := range a.orders {
		if !o.isLoad() || a.isListed(o.target) || a.countedEarlier(i) {
			continue
		}
		total += o.size
	}
	return total
}

func (a *Account) countedEarlier(i int) bool {
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
// order the largest model of their set that is not loaded or being loaded, or
// the largest adapter if that is more. The engine holds a model once, so a
// predecessor's load of a model that an own order loads takes no more memory.
// If the own order fails, the reserve grows by at most the size that the order
// had.
func (a *Account) Reserved() state.Bytes { return a.reservedBeside(state.ReplicaKey{}) }

// reservedBeside is Reserved for the case that loading is loaded too.
func (a *Account) reservedBeside(loading state.ReplicaKey) state.Bytes {
	if a.predecessorOrders == 0 {
		return 0
	}
	sizes := make([]state.Bytes, 0, 2*len(a.predecessor))
	for _, key := range a.predecessor {
		inFlight, unknown := a.loads(target{key: key})
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

// freeFor is the memory that a load of key or of one of its adapters may take
// now.
func (a *Account) freeFor(key state.ReplicaKey) state.Bytes {
	return a.capacity - a.Used() + a.Reserved() - a.reservedBeside(key)
}

// freeing is the memory that unloads under way will give back.
func (a *Account) freeing() state.Bytes {
	var total state.Bytes
	for key, r := range a.listed {
		if r.state == state.ReplicaUnloading || a.unloading(target{key: key}) {
			total += r.total()
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

func (r *replica) total() state.Bytes {
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

// loads counts the orders out for t that load it.
func (a *Account) loads(t target) (inFlight, unknown int) {
	for _, o := range a.orders {
		if !o.isLoad() || o.target != t {
			continue
		}
		if o.answered != 0 && o.outcome == Unknown {
			unknown++
			continue
		}
		inFlight++
	}
	return inFlight, unknown
}

// unknownLoads counts the answered loads whose effect may still come.
func (a *Account) unknownLoads() int {
	count := 0
	for _, o := range a.orders {
		if o.isLoad() && o.answered != 0 && o.outcome == Unknown {
			count++
		}
	}
	return count
}

// inFlight counts the orders without an answer.
func (a *Account) inFlight() int {
	count := 0
	for _, o := range a.orders {
		if o.answered == 0 {
			count++
		}
	}
	return count
}

// held reports whether key is in memory or may yet appear there.
func (a *Account) held(key state.ReplicaKey) bool {
	if a.isListed(target{key: key}) {
		return true
	}
	inFlight, unknown := a.loads(target{key: key})
	if inFlight+unknown > 0 {
		return true
	}
	return a.predecessorOrders > 0 && slices.Contains(a.predecessor, key)
}
