// Package residency decides which models and adapters the upstreams load and
// unload, so that every model and adapter in demand is loaded somewhere. A plan is
// a pure function of a snapshot. An upstream carries out one order for a model, or
// several for adapters, at a time.
package residency

import (
	"math"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/fleet"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// Upstream is a model engine that carries out load and unload orders.
type Upstream struct {
	Name             state.UpstreamName
	DataCentre       state.DataCentre
	Replicas         []fleet.Replica
	InMemory, OnDisk []state.ModelName
	// Recent lists the models that were loaded so recently that an unload now
	// would waste the load.
	Recent []state.ModelName
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
	// Work is the recent engine time per second that the prompts need.
	Work float64
	// Unserved is how long requests have waited or been refused because no
	// upstream holds the target; zero if one does.
	Unserved time.Duration
}

// Input is the snapshot that a plan is made from.
type Input struct {
	Engine    *fleet.EngineSpec
	Upstreams []Upstream
	Demand    map[fleet.Target]Demand
	// Lacking is how many slots for a model the callers of a data centre need beyond those
	// there, for the data centres where a load pays.
	Lacking map[state.ModelName]map[state.DataCentre]float64
	// StoreLoads is how many loads from the weight store may start now.
	StoreLoads int
}

// Step is an order to give to an upstream.
type Step struct {
	Upstream state.UpstreamName
	Kind     fleet.OrderKind
	fleet.Target
	// FromStore is set if the load reads the weights from the weight store.
	FromStore bool
	// Reserve is the model that an unload makes room for; empty if there is
	// none.
	Reserve state.ModelName
}

// Plan returns at most one order for each upstream. Models that room is reserved
// for come first, then adapters that requests wait for, then models, those with the
// highest benefit first.
func Plan(in Input) []Step {
	p := planner{
		Input: in, serving: make(map[state.ModelName]int), replicas: make(map[state.ModelName]int), unavailable: make(map[state.UpstreamName]bool),
		adapterReplicas: make(map[fleet.Target]int), adaptersOf: make(map[state.ModelName][]fleet.Target),
	}
	for i := range in.Upstreams {
		p.countReplicas(&in.Upstreams[i])
		p.countAdapters(&in.Upstreams[i])
	}
	p.listAdapters()
	p.loadReserved()
	p.placeWaitingAdapters()
	p.placeModels()
	return p.steps
}

type planner struct {
	Input
	// serving counts the replicas of a model that are loaded, replicas also those
	// that are being loaded, and adapterReplicas the upstreams that hold or load
	// an adapter.
	serving, replicas map[state.ModelName]int
	adapterReplicas   map[fleet.Target]int
	// adaptersOf lists the adapters of a model that are in demand.
	adaptersOf map[state.ModelName][]fleet.Target
	// unavailable is the set of upstreams that take no further order in this
	// plan.
	unavailable map[state.UpstreamName]bool
	steps       []Step
}

func (p *planner) countReplicas(u *Upstream) {
	for i := range u.Replicas {
		if !isUnloading(u, u.Replicas[i].Model) {
			p.serving[u.Replicas[i].Model]++
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
