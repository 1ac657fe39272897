package residency

import (
	"cmp"
	"slices"

	"github.com/lagoonvalve/lagoonvalve/internal/fleet"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// MaxAdapterOrders is how many orders for adapters an upstream carries out at the
// same time.
const MaxAdapterOrders = 4

// minAdapterRate is the rate, in requests per second, from which an adapter needs a
// place of its own.
const minAdapterRate = 0.05

// countAdapters adds the adapters that an upstream holds or is loading.
func (p *planner) countAdapters(u *Upstream) {
	for _, r := range u.Replicas {
		for _, a := range r.Adapters {
			if t := (fleet.Target{Model: r.Model, Adapter: a}); !isUnloadingAdapter(u, t) {
				p.adapterReplicas[t]++
			}
		}
	}
	for _, o := range u.PendingAdapters {
		if o.Kind == fleet.Load {
			p.adapterReplicas[o.Target]++
		}
	}
}

// listAdapters lists the adapters in demand.
func (p *planner) listAdapters() {
	for t, d := range p.Demand {
		if t.Adapter != "" && (d.Rate >= minAdapterRate || d.Waiting > 0) {
			p.adaptersOf[t.Model] = append(p.adaptersOf[t.Model], t)
		}
	}
}

// placeWaitingAdapters plans loads of the adapters that requests wait for, those with
// the most waiting requests first. An adapter that an upstream holds or is loading is
// not loaded a second time.
func (p *planner) placeWaitingAdapters() {
	var waiting []fleet.Target
	for t, d := range p.Demand {
		if t.Adapter != "" && d.Waiting > 0 && p.adapterReplicas[t] == 0 {
			waiting = append(waiting, t)
		}
	}
	slices.SortFunc(waiting, func(a, b fleet.Target) int {
		return cmp.Or(cmp.Compare(p.Demand[b].Waiting, p.Demand[a].Waiting),
			cmp.Compare(p.Demand[b].Rate, p.Demand[a].Rate),
			cmp.Compare(a.Model, b.Model), cmp.Compare(a.Adapter, b.Adapter))
	})
	for _, t := range waiting {
		if spec, known := p.Engine.Models[t.Model]; known {
			p.placeAdapter(t, spec)
		}
	}
}

func isUnloadingAdapter(u *Upstream, t fleet.Target) bool {
	return isUnloading(u, t.Model) ||
		slices.ContainsFunc(u.PendingAdapters, func(o fleet.Order) bool { return o.Kind == fleet.Unload && o.Target == t })
}

// adapterOption is a way to load an adapter on an upstream.
type adapterOption struct {
	upstream *Upstream
	// victim is the adapter to unload first; empty if there is room.
	victim fleet.Target
	cost   float64
}

// placeAdapter plans the load of an adapter, or the unload that makes room for it,
// where it costs least.
func (p *planner) placeAdapter(t fleet.Target, spec fleet.ModelSpec) {
	best, found := adapterOption{}, false
	for i := range p.Upstreams {
		u := &p.Upstreams[i]
		if p.unavailable[u.Name] || len(u.PendingAdapters) >= MaxAdapterOrders || !holds(u, t.Model) {
			continue
		}
		if isUnloadingAdapter(u, t) {
			// A report could not tell the end of the unload from the load.
			continue
		}
		o, ok := p.adapterOption(u, spec)
		if ok && (!found || o.cost < best.cost) {
			best, found = o, true
		}
	}
	if !found {
		return
	}
	p.unavailable[best.upstream.Name] = true
	step := Step{Upstream: best.upstream.Name, Kind: fleet.Load, Target: t}
	if best.victim.Adapter != "" {
		step.Kind, step.Target = fleet.Unload, best.victim
	}
	p.steps = append(p.steps, step)
}

func (p *planner) adapterOption(u *Upstream, spec fleet.ModelSpec) (adapterOption, bool) {
	o := adapterOption{upstream: u, cost: float64(adapterCount(u))}
	if adapterCount(u) < p.Engine.AdapterSlots && p.free(u)-p.reservedRoom(u) >= spec.AdapterSize {
		return o, true
	}
	found, lowest := false, 0.0
	for _, r := range u.Replicas {
		for _, a := range r.Adapters {
			t := fleet.Target{Model: r.Model, Adapter: a}
			if isUnloadingAdapter(u, t) {
				continue
			}
			cost, ok := p.adapterEvictionCost(t)
			if ok && (!found || cost < lowest) {
				o.victim, lowest, found = t, cost, true
			}
		}
	}
	o.cost += float64(p.Engine.AdapterSlots) * (1 + lowest)
	return o, found
}

// reservedRoom returns the memory that is reserved for a model whose load has not
// begun.
func (p *planner) reservedRoom(u *Upstream) fleet.Megabytes {
	spec, known := p.Engine.Models[u.Reserved]
	if !known || holds(u, u.Reserved) || u.Pending != nil && u.Pending.Kind == fleet.Load {
		return 0
	}
	return min(spec.Size, p.free(u))
}

// adapterEvictionCost returns the cost of unloading an adapter, and false if requests
// wait for it, so that it must stay.
func (p *planner) adapterEvictionCost(t fleet.Target) (float64, bool) {
	d := p.Demand[t]
	cost := d.Rate + runningWeight*float64(d.Running)
	return cost / float64(max(p.adapterReplicas[t], 1)), d.Waiting == 0
}

// adapterCount returns how many adapters an upstream holds or is loading.
func adapterCount(u *Upstream) int {
	n := pendingAdapterLoads(u)
	for i := range u.Replicas {
		n += len(u.Replicas[i].Adapters)
	}
	return n
}

func pendingAdapterLoads(u *Upstream) int {
	n := 0
	for _, o := range u.PendingAdapters {
		if o.Kind == fleet.Load {
			n++
		}
	}
	return n
}

// ApplyOrder returns the replicas that an upstream holds once it has carried out an
// order; replicas are those that it held before.
func ApplyOrder(replicas []fleet.Replica, order fleet.Order) []fleet.Replica {
	next := make([]fleet.Replica, 0, len(replicas)+1)
	found := false
	for _, r := range replicas {
		if r.Model != order.Model {
			next = append(next, r)
			continue
		}
		found = true
		if order.Adapter == "" {
			if order.Kind == fleet.Load {
				next = append(next, r)
			}
			continue
		}
		r.Adapters = withoutAdapter(r.Adapters, order.Adapter)
		if order.Kind == fleet.Load {
			r.Adapters = append(r.Adapters, order.Adapter)
		}
		next = append(next, r)
	}
	if !found && order.Kind == fleet.Load && order.Adapter == "" {
		next = append(next, fleet.Replica{Model: order.Model})
	}
	return next
}

func withoutAdapter(names []state.AdapterName, name state.AdapterName) []state.AdapterName {
	kept := make([]state.AdapterName, 0, len(names)+1)
	for _, n := range names {
		if n != name {
			kept = append(kept, n)
		}
	}
	return kept
}
