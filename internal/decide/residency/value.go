package residency

import (
	"math"
	"slices"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/fleet"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

const (
	// secondReplicaRate is the rate, in requests per second, from which the second
	// replica of a model has a value of its own: requests are still served if an
	// upstream is lost.
	secondReplicaRate = 0.5
	// targetPromptShare is the share of an engine's time that prompts should take:
	// streams beside a prompt pause while it is read.
	targetPromptShare = 0.15
	// targetSlotUse is the share of a replica's slots that running requests
	// should occupy.
	targetSlotUse = 0.3
	// maxUnserved is how long requests for a model may find no replica before it
	// replaces others whatever their demand is.
	maxUnserved = 4 * time.Second
	// fullLoadDelay is the delay of a request, in seconds, at a replica that has
	// the load that it should serve.
	fullLoadDelay = 0.3
	// minReplicaValue is the value from which a further replica is worth a load.
	minReplicaValue = 0.3
	// failoverWeight is the value of the second replica of a model for each request
	// per second.
	failoverWeight = 0.3
	// onlyReplicaWeight is the benefit of the only replica of a model or adapter
	// for each request per second.
	onlyReplicaWeight = 5.0
	// waitingWeight is the benefit for each request that waits.
	waitingWeight = 1.0
	// onlyReplicaCost is the eviction cost of the only replica of a model that
	// nobody has requested yet.
	onlyReplicaCost = 0.05
	// runningWeight is what each running request adds to the eviction cost of the
	// only replica, which serves nobody while an unload waits for them, and
	// sharedRunningWeight to that of one of several.
	runningWeight       = 1.0
	sharedRunningWeight = 0.05
)

// replicaValue returns the value of the n-th replica of a model, in seconds of waiting
// that it saves per second; n is at least 2. The delay of a request is assumed to be
// proportional to the load of its replica, and the load is divided evenly.
func (p *planner) replicaValue(model state.ModelName, n int) float64 {
	d := p.Demand[fleet.Target{Model: model}]
	saved := fullLoadDelay * p.load(d) * (1/float64(n-1) - 1/float64(n))
	value := d.Rate * saved
	if n == 2 && d.Rate >= secondReplicaRate {
		value = max(value, failoverWeight*d.Rate)
	}
	return value
}

// load returns the load that the requests for a model would be for a single replica;
// 1 is what a replica should serve.
func (p *planner) load(d Demand) float64 {
	load := d.Work / targetPromptShare
	if slots := float64(p.Engine.Slots); slots > 0 {
		load = max(load, float64(d.Running)/(targetSlotUse*slots))
	}
	return load
}

// benefit returns the benefit of one more replica of a model, in seconds of waiting
// that it saves per second. It is zero if the model needs none.
func (p *planner) benefit(model state.ModelName) float64 {
	d, n := p.Demand[fleet.Target{Model: model}], p.replicas[model]
	if n == 0 {
		if d.Waiting == 0 {
			return 0
		}
		return onlyReplicaWeight*d.Rate + waitingWeight*float64(d.Waiting)
	}
	if n >= len(p.Upstreams) {
		return 0
	}
	value := p.replicaValue(model, n+1)
	if value < minReplicaValue {
		value = 0
	}
	return value + onlyReplicaWeight*p.missingAdapterRate(model)
}

// missingAdapterRate returns the rate of requests for the adapters of a model that
// requests wait for, if the replicas of the model have no place for them.
func (p *planner) missingAdapterRate(model state.ModelName) float64 {
	for i := range p.Upstreams {
		if u := &p.Upstreams[i]; holds(u, model) && adapterCount(u) < p.Engine.AdapterSlots {
			return 0
		}
	}
	sum := 0.0
	for _, t := range p.adaptersOf[model] {
		if p.adapterReplicas[t] == 0 && p.Demand[t].Waiting > 0 {
			sum += p.Demand[t].Rate
		}
	}
	return sum
}

// evictionCost estimates the cost of unloading a replica from an upstream, in seconds
// of waiting per second. The only replica of a model that requests wait for must
// stay, and so must one that was loaded just now: their costs are infinite.
func (p *planner) evictionCost(u *Upstream, r *fleet.Replica) float64 {
	d := p.Demand[fleet.Target{Model: r.Model}]
	n := p.serving[r.Model]
	if n <= 1 && d.Waiting > 0 || slices.Contains(u.Recent, r.Model) {
		return math.Inf(1)
	}
	if n <= 1 {
		return onlyReplicaCost + onlyReplicaWeight*d.Rate + runningWeight*float64(d.Running)
	}
	running := sharedRunningWeight * float64(d.Running) / float64(n)
	return p.replicaValue(r.Model, n) + running + onlyReplicaWeight*p.onlyAdapterRate(r)
}

// onlyAdapterRate returns the rate of requests for the adapters of a replica that no
// other upstream holds.
func (p *planner) onlyAdapterRate(r *fleet.Replica) float64 {
	sum := 0.0
	for _, a := range r.Adapters {
		if t := (fleet.Target{Model: r.Model, Adapter: a}); p.adapterReplicas[t] <= 1 {
			sum += p.Demand[t].Rate
		}
	}
	return sum
}
