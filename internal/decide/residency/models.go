package residency

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/fleet"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

const (
	// hysteresis is by how much the benefit of a load must exceed the cost of the
	// evictions, so that two models with similar demand don't replace each other
	// all the time.
	hysteresis = 2.0
	// adapterDelayWeight is the cost of a load for each request per second that
	// needs adapters on the same upstream, as a share of the load time: adapters
	// can't be loaded meanwhile.
	adapterDelayWeight = 0.2
	// upstreamRateWeight is the cost of a load, in seconds, for each request per
	// second that the upstream serves already: its models share the time of the
	// engine.
	upstreamRateWeight = 0.3
	// sameDataCentreCost is the cost of a load, in seconds, for each replica of
	// the model that its data centre has already.
	sameDataCentreCost = 0.1
	// elsewhereCost is the cost of a load, in seconds, outside the data centre that lacks the
	// model most: a load there may take that much longer. Loads from the weight store usually
	// exceed those from disk by more, so a host that has the weights is still preferred.
	elsewhereCost = 2.0
)

// candidate is a model that should get a replica.
type candidate struct {
	spec    fleet.ModelSpec
	benefit float64
	// overdue is how long requests have found no replica, if that is too long.
	overdue time.Duration
	// maxEvictionCost is the highest cost of evictions for the replica.
	maxEvictionCost float64
}

// placeModels plans the replicas that models lack: first the models that have waited
// too long, then those with the highest benefit.
func (p *planner) placeModels() {
	var list []candidate
	for name, spec := range p.Engine.Models {
		benefit := p.benefit(name)
		if benefit <= 0 {
			continue
		}
		c := candidate{spec: spec, benefit: benefit, maxEvictionCost: benefit / hysteresis}
		if unserved := p.Demand[fleet.Target{Model: name}].Unserved; p.replicas[name] == 0 && unserved >= maxUnserved {
			c.overdue, c.maxEvictionCost = unserved, math.Inf(1)
		}
		list = append(list, c)
	}
	slices.SortFunc(list, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.overdue, a.overdue), cmp.Compare(b.benefit, a.benefit), cmp.Compare(a.spec.Name, b.spec.Name))
	})
	for _, c := range list {
		p.placeModel(c)
	}
}

// option is a way to load a model at an upstream.
type option struct {
	upstream *Upstream
	// victim is the model to unload first; empty if there is room.
	victim    state.ModelName
	cost      float64
	fromStore bool
}

// placeModel plans the load of a model, or the unload that makes room for it, where
// it costs least.
func (p *planner) placeModel(c candidate) {
	best, found := option{}, false
	for i := range p.Upstreams {
		u := &p.Upstreams[i]
		if p.unavailable[u.Name] || u.Reserved != "" || holds(u, c.spec.Name) || pendingAdapterLoads(u) > 0 {
			continue
		}
		o, ok := p.option(u, c.spec, c.maxEvictionCost)
		if ok && (!found || o.cost < best.cost) {
			best, found = o, true
		}
	}
	if !found {
		return
	}
	p.replicas[c.spec.Name]++
	p.planNextOrder(best, c.spec)
}

// planNextOrder plans the next order of an option: the unload of its victim, or the
// load if there is none.
func (p *planner) planNextOrder(o option, spec fleet.ModelSpec) {
	if o.victim == "" {
		p.planLoad(o, spec)
		return
	}
	p.unavailable[o.upstream.Name] = true
	p.serving[o.victim]--
	p.replicas[o.victim]--
	p.steps = append(p.steps, Step{
		Upstream: o.upstream.Name, Kind: fleet.Unload, Target: fleet.Target{Model: o.victim}, Reserve: spec.Name,
	})
}

// option returns the cheapest way to load a model at an upstream; ok is false if
// there is none. The cost is in seconds of waiting.
func (p *planner) option(u *Upstream, spec fleet.ModelSpec, maxEvictionCost float64) (option, bool) {
	load := fleet.LoadTime(spec, u.InMemory, u.OnDisk)
	o := option{upstream: u, fromStore: load == spec.FromStore && load > spec.FromDisk, cost: load.Seconds()}
	if spec.Size > p.Engine.Memory || o.fromStore && p.StoreLoads < 1 {
		return o, false
	}
	o.cost += adapterDelayWeight * p.adapterRate(u) * load.Seconds()
	o.cost += upstreamRateWeight * p.requestRate(u)
	o.cost += p.placeCost(u.DataCentre, spec.Name)
	if p.free(u) >= spec.Size {
		return o, true
	}
	victims, cost := p.victims(u, spec.Size-p.free(u))
	if len(victims) == 0 || cost > maxEvictionCost || math.IsInf(cost, 1) {
		return o, false
	}
	o.victim = victims[0]
	o.cost += cost
	return o, true
}

// victims returns the models to unload from an upstream so that at least the given
// amount of memory becomes free, those with the lowest eviction costs first, and the
// sum of their eviction costs. It returns none if unloading all replicas would not
// free enough.
func (p *planner) victims(u *Upstream, room fleet.Megabytes) (names []state.ModelName, cost float64) {
	type victim struct {
		model state.ModelName
		size  fleet.Megabytes
		cost  float64
	}
	list := make([]victim, len(u.Replicas))
	for i := range u.Replicas {
		r := &u.Replicas[i]
		list[i] = victim{r.Model, p.size(r), p.evictionCost(u, r)}
	}
	slices.SortStableFunc(list, func(a, b victim) int { return cmp.Compare(a.cost, b.cost) })
	freed, chosen := fleet.Megabytes(0), 0
	for freed < room && chosen < len(list) {
		freed += list[chosen].size
		chosen++
	}
	if freed < room {
		return nil, 0
	}
	// The most expensive victims that are not needed stay.
	list = list[:chosen]
	for i := len(list) - 1; i >= 0; i-- {
		if freed-list[i].size >= room {
			freed -= list[i].size
			list = slices.Delete(list, i, i+1)
		}
	}
	for _, v := range list {
		names = append(names, v.model)
		cost += v.cost
	}
	return names, cost
}

// requestRate returns the rate of requests that an upstream serves, with the rate of
// each model divided evenly among its replicas.
func (p *planner) requestRate(u *Upstream) float64 {
	sum := 0.0
	for i := range u.Replicas {
		model := u.Replicas[i].Model
		sum += p.Demand[fleet.Target{Model: model}].Rate / float64(max(p.serving[model], 1))
	}
	return sum
}

// placeCost returns what counts against a data centre for the next replica of a model. Those
// that lack it are preferred, and otherwise those with fewer replicas.
func (p *planner) placeCost(dc state.DataCentre, model state.ModelName) float64 {
	most := 0.0
	for _, lacking := range p.Lacking[model] {
		most = max(most, lacking)
	}
	if most == 0 {
		return sameDataCentreCost * float64(p.replicasInDataCentre(dc, model))
	}
	return elsewhereCost * (1 - p.Lacking[model][dc]/most)
}

func (p *planner) replicasInDataCentre(dc state.DataCentre, model state.ModelName) int {
	n := 0
	for i := range p.Upstreams {
		if u := &p.Upstreams[i]; u.DataCentre == dc && holds(u, model) {
			n++
		}
	}
	return n
}

// adapterRate returns the rate of requests for adapters of the models that an
// upstream holds, divided among the replicas of each model.
func (p *planner) adapterRate(u *Upstream) float64 {
	sum := 0.0
	for i := range u.Replicas {
		model := u.Replicas[i].Model
		for _, t := range p.adaptersOf[model] {
			sum += p.Demand[t].Rate / float64(max(p.serving[model], 1))
		}
	}
	return sum
}

// used returns the memory that an upstream's replicas and their adapters occupy or
// will occupy once its pending loads are complete.
func (p *planner) used(u *Upstream) fleet.Megabytes {
	used := fleet.Megabytes(0)
	if o := u.Pending; o != nil && o.Kind == fleet.Load && !holds(u, o.Model) {
		used += p.size(&fleet.Replica{Model: o.Model})
	}
	for _, o := range u.PendingAdapters {
		if o.Kind == fleet.Load {
			used += p.Engine.Models[o.Model].AdapterSize
		}
	}
	for i := range u.Replicas {
		used += p.size(&u.Replicas[i])
	}
	return used
}

func (p *planner) size(r *fleet.Replica) fleet.Megabytes {
	spec, known := p.Engine.Models[r.Model]
	if !known {
		return p.Engine.Memory
	}
	return spec.Size + fleet.Megabytes(len(r.Adapters))*spec.AdapterSize
}

func (p *planner) free(u *Upstream) fleet.Megabytes { return p.Engine.Memory - p.used(u) }
