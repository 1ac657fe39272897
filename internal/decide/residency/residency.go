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
	// Blocked says that the upstream takes no order now for another reason.
	Blocked bool
	// Reserved is the model that an unload made or makes room for; empty for
	// none.
	Reserved state.ModelName
}

// Demand is what callers want of a target. That of a model includes that of its
// adapters.
type Demand struct {
	// Waiting requests have no upstream that holds the target, or were lately
	// refused for that.
	Waiting int
	Running int
	// Rate is the recent rate of requests per second.
	Rate float64
}

// Input is the snapshot that a plan is made from.
type Input struct {
	Engine    *fleet.EngineSpec
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
	// Reserve is the model that an unload makes room for.
	Reserve state.ModelName
}

const (
	// spareRate is the rate of requests per second from which a model gets a
	// second replica, so that the loss of one leaves it served.
	spareRate = 0.5
	// replicaRate is the rate that one replica is to serve.
	replicaRate = 2.5
	// replicaLoad is the share of a replica's slots that are to be taken.
	replicaLoad = 0.3
	// spareWeight is what a replica that a model lacks is worth, as a share of
	// the rate that each of its replicas has to serve.
	spareWeight = 0.3
	// surplusWeight is the same of a replica that a model has over its need.
	surplusWeight = 0.01
	// soleWeight is how much more the only replica of a model is worth than
	// one of several.
	soleWeight = 5.0
	// soleWorth is what the only replica of a model is worth that nobody has
	// asked for yet.
	soleWorth = 0.05
	// runningWeight is what each running request adds to a replica's rate:
	// an unload waits for its end.
	runningWeight = 1.0
	// blockWeight is what a load costs for each request per second that needs
	// adapters of the same upstream, which takes one order at a time, as a
	// share of the time of the load.
	blockWeight = 0.2
)

// Plan returns at most one order for each upstream. Models that requests wait
// for come first, then adapters, then spare replicas.
func Plan(in Input) []Step {
	p := planner{Input: in, replicas: make(map[state.ModelName]int), taken: make(map[state.UpstreamName]bool)}
	for i := range in.Upstreams {
		p.count(&in.Upstreams[i])
	}
	p.loadReserved()
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
	if u.Blocked {
		p.taken[u.Name] = true
	}
	coming := u.Reserved
	if o := u.Pending; o != nil {
		p.taken[u.Name] = true
		if o.Kind == fleet.Load && o.Adapter == "" {
			coming = o.Model
		}
	}
	if coming != "" && !holds(u, coming) {
		p.replicas[coming]++
	}
}

// loadReserved plans the loads that room was made for, or the next unload if
// there is not enough room yet.
func (p *planner) loadReserved() {
	for i := range p.Upstreams {
		u := &p.Upstreams[i]
		spec, known := p.Engine.Models[u.Reserved]
		if !known || p.taken[u.Name] || holds(u, u.Reserved) {
			continue
		}
		if o, ok := p.option(u, spec, math.Inf(1)); ok {
			p.carryOut(o, spec)
		}
	}
}

// load plans a load where there is room.
func (p *planner) load(o option, spec fleet.ModelSpec) {
	p.taken[o.upstream.Name] = true
	if o.store {
		p.StoreLoads--
	}
	p.steps = append(p.steps, Step{Upstream: o.upstream.Name, Kind: fleet.Load, Target: fleet.Target{Model: spec.Name}, FromStore: o.store})
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
			cmp.Compare(p.Demand[b].Rate, p.Demand[a].Rate),
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
		if p.taken[u.Name] || u.Reserved != "" || holds(u, spec.Name) {
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
	p.replicas[spec.Name]++
	p.carryOut(best, spec)
}

// carryOut plans the next order of an option.
func (p *planner) carryOut(o option, spec fleet.ModelSpec) {
	if o.victim == "" {
		p.load(o, spec)
		return
	}
	p.taken[o.upstream.Name] = true
	p.replicas[o.victim]--
	p.steps = append(p.steps, Step{
		Upstream: o.upstream.Name, Kind: fleet.Unload, Target: fleet.Target{Model: o.victim}, Reserve: spec.Name,
	})
}

// option returns the cheapest way to load a model at an upstream. The cost is
// in seconds of waiting.
func (p *planner) option(u *Upstream, spec fleet.ModelSpec, limit float64) (option, bool) {
	load := fleet.LoadTime(spec, u.InMemory, u.OnDisk)
	o := option{upstream: u, store: load == spec.FromStore && load > spec.FromDisk, cost: load.Seconds()}
	if spec.Size > p.Engine.Memory || o.store && p.StoreLoads < 1 {
		return o, false
	}
	o.cost += blockWeight * p.adapterRate(u) * load.Seconds()
	o.cost += busyWeight * p.rate(u)
	if p.free(u) >= spec.Size {
		// A data centre that has few replicas of the model comes first.
		o.cost += spareCost * float64(p.nearby(u.DataCentre, spec.Name))
		return o, true
	}
	victims, worth := p.victims(u, spec.Size-p.free(u))
	if len(victims) == 0 || worth >= limit || math.IsInf(worth, 1) {
		return o, false
	}
	o.victim = victims[0]
	o.cost += worth
	return o, true
}

// victims returns the replicas of an upstream that give way for room of a size,
// those worth least, and what they are worth together. There are none if all of
// them don't make enough room.
func (p *planner) victims(u *Upstream, room fleet.Megabytes) (names []state.ModelName, worth float64) {
	replicas := slices.Clone(u.Replicas)
	slices.SortStableFunc(replicas, func(a, b fleet.Replica) int { return cmp.Compare(p.worth(a.Model), p.worth(b.Model)) })
	freed, chosen := fleet.Megabytes(0), 0
	for freed < room && chosen < len(replicas) {
		freed += p.size(&replicas[chosen])
		chosen++
	}
	if freed < room {
		return nil, 0
	}
	for i := range replicas[:chosen] {
		if size := p.size(&replicas[i]); freed-size >= room {
			// Enough room is made without it.
			freed -= size
			continue
		}
		names = append(names, replicas[i].Model)
		worth += p.worth(replicas[i].Model)
	}
	return names, worth
}

// busyWeight is what a load costs for each request per second that the upstream
// serves already: its models share the time of the engine.
const busyWeight = 0.3

// rate returns the rate of requests for the models that an upstream holds.
func (p *planner) rate(u *Upstream) float64 {
	sum := 0.0
	for i := range u.Replicas {
		model := u.Replicas[i].Model
		sum += p.Demand[fleet.Target{Model: model}].Rate / float64(max(p.replicas[model], 1))
	}
	return sum
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

// needed returns how many replicas a model is to have.
func (p *planner) needed(model state.ModelName) int {
	d := p.Demand[fleet.Target{Model: model}]
	n := 1
	if d.Rate >= spareRate {
		n = 2
	}
	n = max(n, int(math.Ceil(d.Rate/replicaRate)))
	if slots := float64(p.Engine.Slots); slots > 0 {
		n = max(n, int(math.Ceil(float64(d.Running)/(replicaLoad*slots))))
	}
	return n
}

// worth estimates what the loss of a replica costs, in seconds of waiting for
// each second. A model that requests wait for does not give way.
func (p *planner) worth(model state.ModelName) float64 {
	d := p.Demand[fleet.Target{Model: model}]
	n := max(p.replicas[model], 1)
	rate := d.Rate / float64(n)
	running := runningWeight * float64(d.Running) / float64(n)
	switch {
	case n == 1 && d.Waiting > 0:
		return math.Inf(1)
	case n == 1:
		return soleWeight*rate + running + soleWorth
	case n > p.needed(model):
		return surplusWeight * (rate + running)
	default:
		return rate + running
	}
}

// adapterRate returns the rate of requests for adapters of the models that an
// upstream holds.
func (p *planner) adapterRate(u *Upstream) float64 {
	sum := 0.0
	for t, d := range p.Demand {
		if t.Adapter != "" && holds(u, t.Model) {
			sum += d.Rate / float64(max(p.replicas[t.Model], 1))
		}
	}
	return sum
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

// addSpares plans replicas for models that have fewer than they need.
func (p *planner) addSpares() {
	type want struct {
		spec fleet.ModelSpec
		rate float64
	}
	var wants []want
	for _, name := range slices.Sorted(maps.Keys(p.Engine.Models)) {
		if n := p.replicas[name]; n > 0 && n < p.needed(name) {
			wants = append(wants, want{p.Engine.Models[name], p.Demand[fleet.Target{Model: name}].Rate / float64(n)})
		}
	}
	slices.SortStableFunc(wants, func(a, b want) int { return cmp.Compare(b.rate, a.rate) })
	for _, w := range wants {
		p.wake(w.spec, spareWeight*w.rate)
	}
}
