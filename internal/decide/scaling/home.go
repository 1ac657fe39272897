// Package scaling decides which replicas to load, how long to keep them, which
// to evict and which loads may use the weight store. Times are passed in as
// arguments.
package scaling

import (
	"cmp"
	"slices"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/defaults"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// HomeConfig holds the settings by which a home, the entry responsible for a
// model, decides. Zero values mean the defaults.
type HomeConfig struct {
	// MaxWakes bounds the loads ordered in one decision; default 8.
	MaxWakes int
	// Headroom is the largest fraction of a replica's slots that steady
	// traffic should use; default 0.8.
	Headroom float64
	// ColdStartWeight is the cost of a request waiting one second for a
	// load, relative to IdleWeight; default 10 (setting cold_start_weight).
	ColdStartWeight float64
	// IdleWeight is the cost of one idle accelerator second; default 1
	// (setting idle_weight).
	IdleWeight float64
	// TailWeight is the cost of one second by which a request is late because
	// all replicas of its model are stragglers, relative to IdleWeight;
	// default 10 (setting tail_latency).
	TailWeight float64
}

func (c HomeConfig) withDefaults() HomeConfig {
	defaults.Set(&c.MaxWakes, 8)
	defaults.Set(&c.Headroom, 0.8)
	defaults.Set(&c.ColdStartWeight, 10)
	defaults.Set(&c.IdleWeight, 1)
	defaults.Set(&c.TailWeight, 10)
	return c
}

// Demand is the demand for a model that one entry reports.
type Demand struct {
	Waiting [state.ClassCount]int
	// Work is the predicted service time of the waiting requests.
	Work time.Duration
	// Rate is the recent arrival rate in requests per second, over a few
	// seconds.
	Rate float64
	// Refused counts requests refused since the last report because no replica
	// was ready. They trigger a load as waiting requests do: their callers
	// retry, and a model that is requested only with short deadlines would
	// otherwise never be loaded.
	Refused  int
	Adapters []state.AdapterName
}

// Replica is a loaded or loading replica as the home sees it.
type Replica struct {
	Upstream state.UpstreamName
	State    state.ReplicaState
	// ReadyIn is the time until a loading replica is ready.
	ReadyIn time.Duration
	// Slots is how many requests the replica runs concurrently.
	Slots int
	// Queue is the reported number of waiting and running requests.
	Queue    int
	Adapters []state.AdapterName
	// Slowdown is how many times slower than usual the upstream is now, as
	// its agent reports it; values below 1 count as 1.
	Slowdown float64
	// Draining is set if the upstream takes no new work.
	Draining bool
}

// Grant is a permission to load the model on an upstream, as the home sees it.
type Grant struct {
	Upstream   state.UpstreamName
	DataCentre state.DataCentre
	// LoadTime is the estimated time to load there, including the wait for a
	// store slot and for evictions. It depends on where the checkpoint is
	// stored.
	LoadTime time.Duration
	// Load is the number of requests on the upstream per slot.
	Load float64
	// Usable is false if the agent does not answer, is draining or cannot
	// evict enough.
	Usable bool
	Slots  int
	// SpareRefused is set if the agent has recently refused a spare replica
	// that must share an accelerator with other models.
	SpareRefused bool
}

// HomeInput is the snapshot of one model's state on which a decision is based.
type HomeInput struct {
	Demands  []Demand
	Replicas []Replica
	// Grants lists the current grants, including those in use.
	Grants []Grant
	// Service is the mean service time of a request.
	Service time.Duration
	// Steady is the mean arrival rate in requests per second over about ten
	// minutes.
	Steady      float64
	MinReplicas int
}

// Wake orders a load of the model under a grant.
type Wake struct {
	Upstream state.UpstreamName
	// Benefit is the cost per second of waiting that the load ends; the store
	// broker orders loads by it.
	Benefit float64
	// ReadyIn is the estimated load time.
	ReadyIn time.Duration
	Spare   SpareKind
}

// AdapterLoad orders the load of an adapter on a ready replica.
type AdapterLoad struct {
	Upstream state.UpstreamName
	Adapter  state.AdapterName
}

// HomeDecision is what a home orders for one model.
type HomeDecision struct {
	Wakes    []Wake
	Adapters []AdapterLoad
	// ReadyIn is the expected time until the first replica is ready; zero if
	// one is ready already.
	ReadyIn time.Duration
	// NoReplica is set if requests wait although no replica is ready or
	// loading and no grant is usable.
	NoReplica bool
}

// Home decides which replicas and adapters of a model to load. It keeps no
// state between decisions.
type Home struct{ Config HomeConfig }

// modelSummary totals the demand for a model and its replicas while a decision
// is made.
type modelSummary struct {
	// ready and loading count replicas, slots the effective slots of both.
	ready, loading, slots int
	work                  time.Duration
	rate                  float64
	refused               int
	waiting               [state.ClassCount]int
	// excess counts the requests at ready replicas beyond their slots.
	excess int
	// firstReady is the time until the first loading replica is ready.
	firstReady time.Duration
}

// Decide returns the replica and adapter loads to order for one model.
func (h Home) Decide(in HomeInput) HomeDecision {
	cfg := h.Config.withDefaults()
	summary := summarise(in)
	var out HomeDecision
	for _, grant := range freeGrants(in) {
		if len(out.Wakes) >= cfg.MaxWakes || !cfg.needsMore(in, summary, grant) {
			break
		}
		out.Wakes = append(out.Wakes, Wake{
			Upstream: grant.Upstream,
			Benefit:  cfg.benefit(summary),
			ReadyIn:  grant.LoadTime,
		})
		summary.addGrant(grant)
	}
	if wake, ok := cfg.proposeSpare(in, summary); ok {
		out.Wakes = append(out.Wakes, wake)
	}
	if summary.ready == 0 {
		out.ReadyIn = summary.firstReady
		out.NoReplica = summary.loading == 0 && summary.waitingTotal() > 0
	}
	out.Adapters = adapterLoads(in)
	return out
}

func summarise(in HomeInput) modelSummary {
	var summary modelSummary
	for _, d := range in.Demands {
		summary.work += d.Work
		summary.rate += d.Rate
		summary.refused += d.Refused
		for class, n := range d.Waiting {
			summary.waiting[class] += n
		}
	}
	for _, r := range in.Replicas {
		if r.Draining {
			continue
		}
		switch r.State {
		case state.ReplicaReady:
			summary.ready++
			summary.excess += max(r.Queue-r.effectiveSlots(), 0)
		case state.ReplicaLoading:
			summary.addLoading(r.ReadyIn)
		default:
			continue
		}
		summary.slots += r.effectiveSlots()
		summary.work += time.Duration(r.Queue) * in.Service
	}
	return summary
}

// stragglerSlowdown is the slowdown from which a replica has no effective
// slots: whatever its throughput, requests there miss their latency target.
const stragglerSlowdown = 3

// effectiveSlots is the number of slots at normal speed that the replica's
// slots amount to at its present slowdown.
func (r *Replica) effectiveSlots() int {
	if r.Slowdown >= stragglerSlowdown {
		return 0
	}
	return int(float64(max(r.Slots, 1)) / max(r.Slowdown, 1))
}

func (s *modelSummary) addLoading(readyIn time.Duration) {
	if s.loading == 0 || readyIn < s.firstReady {
		s.firstReady = readyIn
	}
	s.loading++
}

func (s *modelSummary) addGrant(grant Grant) {
	s.addLoading(grant.LoadTime)
	s.slots += max(grant.Slots, 1)
}

func (s *modelSummary) waitingTotal() int {
	total := 0
	for _, n := range s.waiting {
		total += n
	}
	return total
}

// needsMore reports whether another load, by the given grant, is worth its cost.
// It is if the minimum of replicas is not met, the arrival rate uses more of the
// ready and loading replicas than the headroom allows, or their backlog takes
// longer than the load itself. The weights scale the last two; see
// backlogFactor.
func (c HomeConfig) needsMore(in HomeInput, summary modelSummary, grant Grant) bool {
	if summary.ready+summary.loading < in.MinReplicas {
		return true
	}
	if summary.slots == 0 {
		return summary.waitingTotal() > 0 || summary.work > 0 || summary.refused > 0
	}
	offered := summary.rate * in.Service.Seconds()
	if offered > c.backlogFactor()*c.Headroom*float64(summary.slots) {
		// Arrivals exceed the capacity, so the backlog grows until another
		// replica is ready, however small it is now.
		return true
	}
	backlog := summary.work.Seconds()
	return backlog/float64(summary.slots) > c.backlogFactor()*grant.LoadTime.Seconds()
}

// backlogFactor is the backlog, in load times, that justifies another replica.
// It is 1 with the default weights and grows with the weight of idle time.
func (c HomeConfig) backlogFactor() float64 {
	const defaultRatio = 10
	return min(max(defaultRatio*c.IdleWeight/c.ColdStartWeight, 0.25), 4)
}

// classWaitCost is the cost of one second of waiting for a request of each
// class.
var classWaitCost = [state.ClassCount]float64{4, 2, 1}

// Benefit returns the present benefit of each load under way, for loads that
// still wait for a store slot. Each of them is among the loading replicas
// already and is not counted twice.
func (h Home) Benefit(in HomeInput) float64 {
	summary := summarise(in)
	summary.loading = max(summary.loading-1, 0)
	return h.Config.withDefaults().benefit(summary)
}

// benefit is the cost per second of waiting that a load ends. Requests at ready
// replicas beyond their slots wait as well: entries keep sending to full
// replicas, so most of an overload waits there. The cost is divided by the loads
// under way and this one, since each will serve a part of the waiting requests;
// ready replicas are full and do not count.
func (c HomeConfig) benefit(summary modelSummary) float64 {
	cost := classWaitCost[state.ClassNormal] * float64(summary.excess)
	for class, n := range summary.waiting {
		cost += classWaitCost[class] * float64(n)
	}
	return c.ColdStartWeight * cost / float64(summary.loading+1)
}

// freeGrants lists the usable grants without a replica in the order in which to
// use them. Each position goes to the remaining grant with the shortest load
// time; among grants that take at most a fifth longer, to the one whose data
// centre has the fewest replicas, then to the one with the least load.
func freeGrants(in HomeInput) []Grant {
	used := make(map[state.UpstreamName]bool, len(in.Replicas))
	for _, r := range in.Replicas {
		used[r.Upstream] = true
	}
	perCentre := make(map[state.DataCentre]int)
	var free []Grant
	for _, g := range in.Grants {
		switch {
		case used[g.Upstream]:
			perCentre[g.DataCentre]++
		case g.Usable:
			free = append(free, g)
		}
	}
	slices.SortStableFunc(free, func(a, b Grant) int { return cmp.Compare(a.LoadTime, b.LoadTime) })
	for i := range free {
		best := i
		for j := i + 1; j < len(free) && free[j].LoadTime <= free[i].LoadTime*6/5; j++ {
			if cmp.Or(
				cmp.Compare(perCentre[free[j].DataCentre], perCentre[free[best].DataCentre]),
				cmp.Compare(free[j].Load, free[best].Load),
			) < 0 {
				best = j
			}
		}
		chosen := free[best]
		copy(free[i+1:best+1], free[i:best])
		free[i] = chosen
		perCentre[chosen.DataCentre]++
	}
	return free
}

// adapterLoads places each requested adapter that no ready replica has on the
// ready replica with the shortest queue; each adapter placed in this decision
// counts as one more request in the queue.
func adapterLoads(in HomeInput) []AdapterLoad {
	var loads []AdapterLoad
	placed := make(map[state.AdapterName]bool)
	added := make([]int, len(in.Replicas))
	for _, r := range in.Replicas {
		if !r.Draining && r.State == state.ReplicaReady {
			for _, a := range r.Adapters {
				placed[a] = true
			}
		}
	}
	for _, d := range in.Demands {
		for _, adapter := range d.Adapters {
			if placed[adapter] {
				continue
			}
			best := -1
			for i, r := range in.Replicas {
				if r.Draining || r.State != state.ReplicaReady {
					continue
				}
				if best < 0 || r.Queue+added[i] < in.Replicas[best].Queue+added[best] {
					best = i
				}
			}
			if best < 0 {
				return loads
			}
			added[best]++
			placed[adapter] = true
			loads = append(loads, AdapterLoad{Upstream: in.Replicas[best].Upstream, Adapter: adapter})
		}
	}
	return loads
}
