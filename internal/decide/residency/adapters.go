package residency

import (
	"github.com/lagoonvalve/lagoonvalve/internal/fleet"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// wakeAdapters plans loads of adapters that are asked for. An adapter that
// is held or on its way anywhere is not loaded a second time.
func (p *planner) wakeAdapters() {
	for _, t := range p.demanded(true) {
		spec, known := p.Engine.Models[t.Model]
		if known && !p.adapterComes(t) {
			p.wakeAdapter(t, spec)
		}
	}
}

func (p *planner) adapterComes(t fleet.Target) bool {
	for i := range p.Upstreams {
		u := &p.Upstreams[i]
		if fleet.Holds(u.Replicas, t) && !unloadsAdapter(u, t) {
			return true
		}
		if o := u.Pending; o != nil && o.Kind == fleet.Load && o.Target == t {
			return true
		}
	}
	return false
}

func unloadsAdapter(u *Upstream, t fleet.Target) bool {
	o := u.Pending
	return o != nil && o.Kind == fleet.Unload && (o.Target == t || o.Target == fleet.Target{Model: t.Model})
}

// adapterOption is a way to get a place for an adapter.
type adapterOption struct {
	upstream *Upstream
	victim   fleet.Target
	cost     float64
}

// wakeAdapter plans the load of an adapter, or the unload that makes room.
func (p *planner) wakeAdapter(t fleet.Target, spec fleet.ModelSpec) {
	best, found := adapterOption{}, false
	for i := range p.Upstreams {
		u := &p.Upstreams[i]
		if p.taken[u.Name] || !holds(u, t.Model) {
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
	p.taken[best.upstream.Name] = true
	step := Step{Upstream: best.upstream.Name, Kind: fleet.Load, Target: t}
	if best.victim.Adapter != "" {
		step.Kind, step.Target = fleet.Unload, best.victim
	}
	p.steps = append(p.steps, step)
}

func (p *planner) adapterOption(u *Upstream, spec fleet.ModelSpec) (adapterOption, bool) {
	o := adapterOption{upstream: u, cost: float64(adapters(u))}
	if adapters(u) < p.Engine.AdapterSlots && p.free(u) >= spec.AdapterSize {
		return o, true
	}
	found, worth := false, 0.0
	for _, r := range u.Replicas {
		for _, a := range r.Adapters {
			t := fleet.Target{Model: r.Model, Adapter: a}
			w, ok := p.adapterWorth(t)
			if ok && (!found || w < worth) {
				o.victim, worth, found = t, w, true
			}
		}
	}
	o.cost += float64(p.Engine.AdapterSlots) * (1 + worth)
	return o, found
}

// adapterWorth returns what the loss of an adapter costs; false if requests
// wait for it.
func (p *planner) adapterWorth(t fleet.Target) (float64, bool) {
	d := p.Demand[t]
	return d.Rate + runningWeight*float64(d.Running), d.Waiting == 0
}

func adapters(u *Upstream) int {
	n := 0
	for i := range u.Replicas {
		n += len(u.Replicas[i].Adapters)
	}
	return n
}

// ApplyOrder returns what an upstream holds once an order has been carried out.
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
		r.Adapters = without(r.Adapters, order.Adapter)
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

func without(names []state.AdapterName, name state.AdapterName) []state.AdapterName {
	kept := make([]state.AdapterName, 0, len(names)+1)
	for _, n := range names {
		if n != name {
			kept = append(kept, n)
		}
	}
	return kept
}
