// Package residency decides which models and adapters upstreams load and unload
// so that what callers ask for is held somewhere. A plan is a pure function of a
// snapshot; whoever carries it out gives each upstream one order at a time and
// plans again once it has ended.
package residency

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/fleet"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// Upstream is a model engine that takes orders.
type Upstream struct {
	Name             state.UpstreamName
	DataCentre       state.DataCentre
	Replicas         []fleet.Replica
	InMemory, OnDisk []state.ModelName
	// Pending is the order under way, or one whose outcome is not known; nil
	// if the upstream can take an order.
	Pending *fleet.Order
}

// Demand is what callers want of a target. That of a model includes that of its
// adapters.
type Demand struct {
	// Waiting requests have no upstream that holds the target.
	Waiting int
	Running int
	// Rate is the recent rate of requests per second.
	Rate float64
}

// Input is the snapshot that a plan is made from.
type Input struct {
	Engine    *fleet.Engine
	Upstreams []Upstream
	Demand    map[fleet.Target]Demand
	// StoreLoads is how many loads from the weight store may begin now.
	StoreLoads int
}

// Step is an order to give.
type Step struct {
	Upstream state.UpstreamName
	Kind     fleet.OrderKind
	fleet.Target
	// FromStore says that the load needs the weight store.
	FromStore bool
}

const (
	// spareRate is the rate of requests per second and replica from which a
	// model gets a further replica where there is free memory.
	spareRate = 0.5
	// idleRate is the rate below which a replica may give way to a spare one
	// of another model.
	idleRate = 0.02
	// soleWeight is how much more the only replica of a model is worth than
	// one of several.
	soleWeight = 5.0
	// soleWorth is what the only replica of a model is worth that nobody has
	// asked for yet; more than idleRate, so that spare replicas leave it alone.
	soleWorth = 0.05
	// runningWeight is what each running request adds to a replica's rate:
	// an unload waits for its end.
	runningWeight = 1.0
)

// Plan returns at most one order for each upstream. Models that requests wait
// for come first, then adapters, then spare replicas.
func Plan(in Input) []Step {
	p := planner{Input: in, replicas: make(map[state.ModelName]int), taken: make(map[state.UpstreamName]bool)}
	for i := range in.Upstreams {
		p.count(&in.Upstreams[i])
	}
	p.wakeModels()
	p.wakeAdapters()
	p.addSpares()
	return p.steps
}

type planner struct {
	Input
	// replicas counts the replicas of a model that are held or being loaded.
	replicas map[state.ModelName]int
	taken    map[state.UpstreamName]bool
	steps    []Step
}

func (p *planner) count(u *Upstream) {
	for i := range u.Replicas {
		if !unloading(u, u.Replicas[i].Model) {
			p.replicas[u.Replicas[i].Model]++
		}
	}
	if o := u.Pending; o != nil {
		p.taken[u.Name] = true
		if o.Kind == fleet.Load && o.Adapter == "" && !holds(u, o.Model) {
			p.replicas[o.Model]++
		}
	}
}

func unloading(u *Upstream, model state.ModelName) bool {
	o := u.Pending
	return o != nil && o.Kind == fleet.Unload && o.Adapter == "" && o.Model == model
}

func holds(u *Upstream, model state.ModelName) bool {
	return fleet.Holds(u.Replicas, fleet.Target{Model: model})
}

// demanded returns the targets of a kind that requests wait for, those with
// most first.
func (p *planner) demanded(adapters bool) []fleet.Target {
	var targets []fleet.Target
	for t, d := range p.Demand {
		if d.Waiting > 0 && (t.Adapter != "") == adapters {
			targets = append(targets, t)
		}
	}
	slices.SortFunc(targets, func(a, b fleet.Target) int {
		return cmp.Or(cmp.Compare(p.Demand[b].Waiting, p.Demand[a].Waiting),
			cmp.Compare(a.Model, b.Model), cmp.Compare(a.Adapter, b.Adapter))
	})
	return targets
}

func (p *planner) wakeModels() {
	for _, t := range p.demanded(false) {
		spec, known := p.Engine.Models[t.Model]
		if known && p.replicas[t.Model] == 0 {
			p.wake(spec, math.Inf(1))
		}
	}
}

// option is a way to get room for a model at an upstream.
type option struct {
	upstream *Upstream
	// victim gives way first; empty if there is room.
	victim state.ModelName
	cost   float64
	store  bool
}

// wake plans the load of a model, or the unload that makes room for it, where
// it costs least. Replicas worth more than limit do not give way.
func (p *planner) wake(spec fleet.ModelSpec, limit float64) {
	best, found := option{}, false
	for i := range p.Upstreams {
		u := &p.Upstreams[i]
		if p.taken[u.Name] || holds(u, spec.Name) {
			continue
		}
		o, ok := p.option(u, spec, limit)
		if ok && (!found || o.cost < best.cost) {
			best, found = o, true
		}
	}
	if !found {
		return
	}
	p.taken[best.upstream.Name] = true
	if best.victim != "" {
		p.replicas[best.victim]--
		p.steps = append(p.steps, Step{Upstream: best.upstream.Name, Kind: fleet.Unload, Target: fleet.Target{Model: best.victim}})
		return
	}
	p.replicas[spec.Name]++
	if best.store {
		p.StoreLoads--
	}
	p.steps = append(p.steps, Step{Upstream: best.upstream.Name, Kind: fleet.Load, Target: fleet.Target{Model: spec.Name}, FromStore: best.store})
}

// option returns the cheapest way to load a model at an upstream. The cost is
// in seconds of waiting.
func (p *planner) option(u *Upstream, spec fleet.ModelSpec, limit float64) (option, bool) {
	load := fleet.LoadTime(spec, u.InMemory, u.OnDisk)
	o := option{upstream: u, store: load == spec.FromStore && load > spec.FromDisk, cost: load.Seconds()}
	if spec.Size > p.Engine.Memory || o.store && p.StoreLoads < 1 {
		return o, false
	}
	if p.free(u) >= spec.Size {
		// A data centre that has few replicas of the model comes first.
		o.cost += spareCost * float64(p.nearby(u.DataCentre, spec.Name))
		return o, true
	}
	worth := math.Inf(1)
	for i := range u.Replicas {
		model := u.Replicas[i].Model
		if w := p.worth(model); w < worth {
			o.victim, worth = model, w
		}
	}
	if o.victim == "" || worth >= limit || math.IsInf(worth, 1) {
		return o, false
	}
	o.cost += worth
	return o, true
}

// spareCost is the cost of a second replica in a data centre, in seconds.
const spareCost = 0.1

func (p *planner) nearby(dc state.DataCentre, model state.ModelName) int {
	n := 0
	for i := range p.Upstreams {
		if u := &p.Upstreams[i]; u.DataCentre == dc && holds(u, model) {
			n++
		}
	}
	return n
}

// worth estimates what the loss of a replica costs, in seconds of waiting for
// each second. A model that requests wait for does not give way.
func (p *planner) worth(model state.ModelName) float64 {
	d := p.Demand[fleet.Target{Model: model}]
	n := max(p.replicas[model], 1)
	if d.Waiting > 0 && n == 1 {
		return math.Inf(1)
	}
	rate := (d.Rate + runningWeight*float64(d.Running)) / float64(n)
	if n > 1 {
		return rate
	}
	return soleWeight*rate + soleWorth
}

// used returns the memory that an upstream's replicas and its pending order
// take.
func (p *planner) used(u *Upstream) fleet.Megabytes {
	used := fleet.Megabytes(0)
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

func (p *planner) addSpares() {
	type want struct {
		spec fleet.ModelSpec
		rate float64
	}
	var wants []want
	for _, name := range slices.Sorted(maps.Keys(p.Engine.Models)) {
		n := p.replicas[name]
		d := p.Demand[fleet.Target{Model: name}]
		if rate := d.Rate / float64(max(n, 1)); n > 0 && rate >= spareRate {
			wants = append(wants, want{p.Engine.Models[name], rate})
		}
	}
	slices.SortStableFunc(wants, func(a, b want) int { return cmp.Compare(b.rate, a.rate) })
	for _, w := range wants {
		p.wake(w.spec, idleRate)
	}
}

// Deadline bounds how long a load may take that began now before it is taken
// for lost.
func Deadline(spec fleet.ModelSpec) time.Duration { return 3*spec.FromStore + time.Second }
