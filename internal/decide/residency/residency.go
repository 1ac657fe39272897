// Package residency decides which models and adapters the upstreams load and
// unload, so that every model and adapter in demand is loaded somewhere. A plan is
// a pure function of a snapshot. An upstream carries out one order for a model, or
// several for adapters, at a time.
package residency

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"github.com/lagoonvalve/lagoonvalve/internal/fleet"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// Upstream is a model engine that carries out load and unload orders.
type Upstream struct {
	Name             state.UpstreamName
	DataCentre       state.DataCentre
	Replicas         []fleet.Replica
	InMemory, OnDisk []state.ModelName
	// Pending is an order for a model that the upstream is carrying out or whose
	// outcome is not known; nil if there is none.
	Pending *fleet.Order
	// PendingAdapters are such orders for adapters.
	PendingAdapters []fleet.Order
	// Blocked means that no order can be sent to the upstream now.
	Blocked bool
	// Reserved is the model that an unload has made or is making room for;
	// empty if there is none.
	Reserved state.ModelName
}

// Demand is the demand for a target. The demand for a model includes that for its
// adapters.
type Demand struct {
	// Waiting counts the requests that wait because no upstream holds the
	// target, and those refused lately for that reason.
	Waiting int
	// Running counts the requests that run.
	Running int
	// Rate is the recent rate of requests per second.
	Rate float64
}

// Input is the snapshot that a plan is made from.
type Input struct {
	Engine    *fleet.EngineSpec
	Upstreams []Upstream
	Demand    map[fleet.Target]Demand
	// StoreLoads is how many loads from the weight store may start now.
	StoreLoads int
}

// Step is an order to give to an upstream.
type Step struct {
	Upstream state.UpstreamName
	Kind     fleet.OrderKind
	fleet.Target
	// FromStore says that the load reads the weights from the weight store.
	FromStore bool
	// Reserve is the model that an unload makes room for; empty if there is
	// none.
	Reserve state.ModelName
}

const (
	// secondReplicaRate is the rate, in requests per second, from which a model
	// gets a second replica, so that it is still served if one is lost.
	secondReplicaRate = 0.5
	// targetReplicaRate is the rate, in requests per second, that one replica
	// should serve.
	targetReplicaRate = 2.5
	// targetSlotUse is the share of a replica's slots that running requests
	// should occupy.
	targetSlotUse = 0.3
	// missingReplicaWeight is the highest eviction cost at which a model gets a
	// replica that it lacks, as a share of the rate that each of its present
	// replicas has to serve.
	missingReplicaWeight = 0.3
	// surplusReplicaWeight is the factor for the eviction cost of a replica that
	// the model does not need.
	surplusReplicaWeight = 0.01
	// onlyReplicaWeight is the weight of the rate in the eviction cost of the
	// only replica of a model; for one of several needed replicas it is 1.
	onlyReplicaWeight = 5.0
	// onlyReplicaCost is the eviction cost of the only replica of a model that
	// nobody has requested yet.
	onlyReplicaCost = 0.05
	// runningWeight is what each running request adds to the eviction cost: an
	// unload waits until the request ends.
	runningWeight = 1.0
	// adapterDelayWeight is the cost of a load for each request per second that
	// needs adapters on the same upstream, as a share of the load time. An
	// upstream carries out one order at a time, so adapter loads wait.
	adapterDelayWeight = 0.2
)

// Plan returns at most one order for each upstream. Models that room is reserved
// for come first, then models that requests wait for, then adapters that requests
// wait for, then further replicas of models that have too few.
func Plan(in Input) []Step {
	p := planner{
		Input: in, replicas: make(map[state.ModelName]int), unavailable: make(map[state.UpstreamName]bool),
	}
	for i := range in.Upstreams {
		p.countReplicas(&in.Upstreams[i])
	}
	p.loadReserved()
	p.placeWaitingModels()
	p.placeWaitingAdapters()
	p.addMissingReplicas()
	return p.steps
}

type planner struct {
	Input
	// replicas counts the replicas of a model that are loaded or being loaded.
	replicas map[state.ModelName]int
	// unavailable is the set of upstreams that take no further order in this
	// plan.
	unavailable map[state.UpstreamName]bool
	steps       []Step
}

func (p *planner) countReplicas(u *Upstream) {
	for i := range u.Replicas {
		if !isUnloading(u, u.Replicas[i].Model) {
			p.replicas[u.Replicas[i].Model]++
		}
	}
	if u.Blocked {
		p.unavailable[u.Name] = true
	}
	loading := u.Reserved
	if o := u.Pending; o != nil {
		p.unavailable[u.Name] = true
		if o.Kind == fleet.Load {
			loading = o.Model
		}
	}
	if loading != "" && !holds(u, loading) {
		p.replicas[loading]++
	}
}

// loadReserved plans the loads of the models that upstreams are reserved for, or
// the next unload where there is not enough room yet.
func (p *planner) loadReserved() {
	for i := range p.Upstreams {
		u := &p.Upstreams[i]
		spec, known := p.Engine.Models[u.Reserved]
		if !known || p.unavailable[u.Name] || holds(u, u.Reserved) || pendingAdapterLoads(u) > 0 {
			continue
		}
		if o, ok := p.option(u, spec, math.Inf(1)); ok {
			p.planNextOrder(o, spec)
		}
	}
}

// planLoad plans the load of a model at an upstream that has room for it.
func (p *planner) planLoad(o option, spec fleet.ModelSpec) {
	p.unavailable[o.upstream.Name] = true
	if o.fromStore {
		p.StoreLoads--
	}
	p.steps = append(p.steps, Step{Upstream: o.upstream.Name, Kind: fleet.Load, Target: fleet.Target{Model: spec.Name}, FromStore: o.fromStore})
}

func isUnloading(u *Upstream, model state.ModelName) bool {
	o := u.Pending
	return o != nil && o.Kind == fleet.Unload && o.Model == model
}

func holds(u *Upstream, model state.ModelName) bool {
	return fleet.Holds(u.Replicas, fleet.Target{Model: model})
}

// waitingTargets returns the models, or the adapters, that requests wait for. Those
// with the most waiting requests come first.
func (p *planner) waitingTargets(adapters bool) []fleet.Target {
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

func (p *planner) placeWaitingModels() {
	for _, t := range p.waitingTargets(false) {
		spec, known := p.Engine.Models[t.Model]
		if known && p.replicas[t.Model] == 0 {
			p.placeModel(spec, math.Inf(1))
		}
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
// it costs least. It unloads only replicas whose eviction costs together are below
// maxEvictionCost.
func (p *planner) placeModel(spec fleet.ModelSpec, maxEvictionCost float64) {
	best, found := option{}, false
	for i := range p.Upstreams {
		u := &p.Upstreams[i]
		if p.unavailable[u.Name] || u.Reserved != "" || holds(u, spec.Name) || pendingAdapterLoads(u) > 0 {
			continue
		}
		o, ok := p.option(u, spec, maxEvictionCost)
		if ok && (!found || o.cost < best.cost) {
			best, found = o, true
		}
	}
	if !found {
		return
	}
	p.replicas[spec.Name]++
	p.planNextOrder(best, spec)
}

// planNextOrder plans the next order of an option: the unload of its victim, or the
// load if there is none.
func (p *planner) planNextOrder(o option, spec fleet.ModelSpec) {
	if o.victim == "" {
		p.planLoad(o, spec)
		return
	}
	p.unavailable[o.upstream.Name] = true
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
	if p.free(u) >= spec.Size {
		// Data centres with fewer replicas of the model are preferred.
		o.cost += sameDataCentreCost * float64(p.replicasInDataCentre(u.DataCentre, spec.Name))
		return o, true
	}
	victims, cost := p.victims(u, spec.Size-p.free(u))
	if len(victims) == 0 || cost >= maxEvictionCost || math.IsInf(cost, 1) {
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
	replicas := slices.Clone(u.Replicas)
	slices.SortStableFunc(replicas, func(a, b fleet.Replica) int { return cmp.Compare(p.evictionCost(a.Model), p.evictionCost(b.Model)) })
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
			// The others free enough memory without this one.
			freed -= size
			continue
		}
		names = append(names, replicas[i].Model)
		cost += p.evictionCost(replicas[i].Model)
	}
	return names, cost
}

// upstreamRateWeight is the cost of a load, in seconds, for each request per second
// that the upstream serves already: its models share the time of the engine.
const upstreamRateWeight = 0.3

// requestRate returns the rate of requests that an upstream serves, with the rate of
// each model divided evenly among its replicas.
func (p *planner) requestRate(u *Upstream) float64 {
	sum := 0.0
	for i := range u.Replicas {
		model := u.Replicas[i].Model
		sum += p.Demand[fleet.Target{Model: model}].Rate / float64(max(p.replicas[model], 1))
	}
	return sum
}

// sameDataCentreCost is the cost of a load, in seconds, for each replica of the model
// that its data centre has already.
const sameDataCentreCost = 0.1

func (p *planner) replicasInDataCentre(dc state.DataCentre, model state.ModelName) int {
	n := 0
	for i := range p.Upstreams {
		if u := &p.Upstreams[i]; u.DataCentre == dc && holds(u, model) {
			n++
		}
	}
	return n
}

// replicasNeeded returns how many replicas a model should have.
func (p *planner) replicasNeeded(model state.ModelName) int {
	d := p.Demand[fleet.Target{Model: model}]
	n := 1
	if d.Rate >= secondReplicaRate {
		n = 2
	}
	n = max(n, int(math.Ceil(d.Rate/targetReplicaRate)))
	if slots := float64(p.Engine.Slots); slots > 0 {
		n = max(n, int(math.Ceil(float64(d.Running)/(targetSlotUse*slots))))
	}
	return n
}

// evictionCost estimates the cost of unloading a replica of a model, in seconds of
// waiting per second. The only replica of a model that requests wait for must stay:
// its cost is infinite.
func (p *planner) evictionCost(model state.ModelName) float64 {
	d := p.Demand[fleet.Target{Model: model}]
	n := max(p.replicas[model], 1)
	rate := d.Rate / float64(n)
	running := runningWeight * float64(d.Running) / float64(n)
	switch {
	case n == 1 && d.Waiting > 0:
		return math.Inf(1)
	case n == 1:
		return onlyReplicaWeight*rate + running + onlyReplicaCost
	case n > p.replicasNeeded(model):
		return surplusReplicaWeight * (rate + running)
	default:
		return rate + running
	}
}

// adapterRate returns the rate of requests for adapters of the models that an
// upstream holds, divided among the replicas of each model.
func (p *planner) adapterRate(u *Upstream) float64 {
	sum := 0.0
	for t, d := range p.Demand {
		if t.Adapter != "" && holds(u, t.Model) {
			sum += d.Rate / float64(max(p.replicas[t.Model], 1))
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

// addMissingReplicas plans loads for models that are loaded but have fewer replicas
// than they need.
func (p *planner) addMissingReplicas() {
	type want struct {
		spec fleet.ModelSpec
		rate float64
	}
	var wants []want
	for _, name := range slices.Sorted(maps.Keys(p.Engine.Models)) {
		if n := p.replicas[name]; n > 0 && n < p.replicasNeeded(name) {
			wants = append(wants, want{p.Engine.Models[name], p.Demand[fleet.Target{Model: name}].Rate / float64(n)})
		}
	}
	slices.SortStableFunc(wants, func(a, b want) int { return cmp.Compare(b.rate, a.rate) })
	for _, w := range wants {
		p.placeModel(w.spec, missingReplicaWeight*w.rate)
	}
}
