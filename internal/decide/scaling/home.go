// Package scaling decides which replicas to wake, how long to keep them, what
// to evict and who may load from the weight store. Times come in as arguments.
package scaling

import (
	"cmp"
	"slices"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/defaults"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// HomeConfig holds the settings of a home's decisions. Zero values mean the
// defaults.
type HomeConfig struct {
	// MaxWakes bounds the replicas woken in one decision; default 8.
	MaxWakes int
	// Headroom is the share of a replica's slots that steady traffic should
	// fill at most; default 0.8.
	Headroom float64
	// ColdStartWeight is the cost of a request waiting one second for a
	// load, relative to IdleWeight; default 10 (setting cold_start_weight).
	ColdStartWeight float64
	// IdleWeight is the cost of one idle accelerator second; default 1
	// (setting idle_weight).
	IdleWeight float64
	// TailWeight is the cost of one second by which a request is late because
	// its model's only replica is a straggler, relative to IdleWeight;
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

// Demand is what waits for a model at one entry.
type Demand struct {
	Waiting [state.ClassCount]int
	// Work is the predicted service time of the waiting requests.
	Work time.Duration
	// Rate is the arrivals per second of the last seconds.
	Rate float64
	// Refused counts requests refused for want of a ready replica since the
	// last report. They wake a model like waiting ones: their callers come
	// back, and a model asked for only with short deadlines would otherwise
	// never be loaded.
	Refused  int
	Adapters []state.AdapterName
}

// Replica is a loaded or loading replica as the home sees it.
type Replica struct {
	Upstream state.UpstreamName
	State    state.ReplicaState
	// ReadyIn is the time until a loading replica is ready.
	ReadyIn time.Duration
	// Slots is how many requests the replica runs side by side.
	Slots int
	// Queue is the reported number of waiting and running requests.
	Queue    int
	Adapters []state.AdapterName
	// Slowdown is how many times slower than usual the upstream is now, as
	// its agent reports it; values below 1 count as 1.
	Slowdown float64
	// Draining says that the upstream takes no new work.
	Draining bool
}

// Grant is a standing permit as the home sees it.
type Grant struct {
	Upstream   state.UpstreamName
	DataCentre state.DataCentre
	// LoadTime is the estimated time to load there, including the wait for
	// the store and for evictions. It depends on where the checkpoint is.
	LoadTime time.Duration
	// Load is the requests on the upstream for each of its slots.
	Load float64
	// Usable is false if the agent does not answer, drains or cannot make
	// room.
	Usable bool
	Slots  int
	// SpareRefused says that the agent has lately refused a spare replica
	// beside other models.
	SpareRefused bool
}

// HomeInput is the snapshot of one model that a decision is made from.
type HomeInput struct {
	Demands  []Demand
	Replicas []Replica
	// Grants lists the standing grants, including those in use.
	Grants []Grant
	// Service is the mean service time of a request.
	Service time.Duration
	// Steady is the arrivals per second over about ten minutes.
	Steady      float64
	MinReplicas int
}

// Wake asks for a load under a grant.
type Wake struct {
	Upstream state.UpstreamName
	// Benefit is what the waiting requests lose per second without the load;
	// the store broker orders loads by it.
	Benefit float64
	// ReadyIn is the estimated load time.
	ReadyIn time.Duration
	Spare   SpareKind
}

// AdapterLoad asks for an adapter on a ready replica.
type AdapterLoad struct {
	Upstream state.UpstreamName
	Adapter  state.AdapterName
}

// HomeDecision is what a home orders for one model.
type HomeDecision struct {
	Wakes    []Wake
	Adapters []AdapterLoad
	// ReadyIn is when the first replica is expected to be ready; zero if one
	// is.
	ReadyIn time.Duration
	// NoReplica says that work waits, nothing is ready or loading and no
	// grant is usable.
	NoReplica bool
}

// Home decides for models. It has no state of its own.
type Home struct{ Config HomeConfig }

// outlook sums up the supply of a model while a decision is made.
type outlook struct {
	// ready and loading count replicas, slots their slots.
	ready, loading, slots int
	work                  time.Duration
	rate                  float64
	refused               int
	waiting               [state.ClassCount]int
	// excess counts the requests at ready replicas beyond their slots.
	excess     int
	firstReady time.Duration
}

// Decide returns the wakes and adapter loads for one model.
func (h Home) Decide(in HomeInput) HomeDecision {
	cfg := h.Config.withDefaults()
	view := look(in)
	var out HomeDecision
	for _, grant := range wakeOrder(in) {
		if len(out.Wakes) >= cfg.MaxWakes || !cfg.needsMore(in, view, grant) {
			break
		}
		out.Wakes = append(out.Wakes, Wake{
			Upstream: grant.Upstream,
			Benefit:  cfg.benefit(view),
			ReadyIn:  grant.LoadTime,
		})
		view.add(grant)
	}
	if wake, ok := cfg.spare(in, view); ok {
		out.Wakes = append(out.Wakes, wake)
	}
	if view.ready == 0 {
		out.ReadyIn = view.firstReady
		out.NoReplica = view.loading == 0 && view.total() > 0
	}
	out.Adapters = adapterLoads(in)
	return out
}

func look(in HomeInput) outlook {
	var view outlook
	for _, d := range in.Demands {
		view.work += d.Work
		view.rate += d.Rate
		view.refused += d.Refused
		for class, n := range d.Waiting {
			view.waiting[class] += n
		}
	}
	for _, r := range in.Replicas {
		if r.Draining {
			continue
		}
		switch r.State {
		case state.ReplicaReady:
			view.ready++
			view.excess += max(r.Queue-r.effectiveSlots(), 0)
		case state.ReplicaLoading:
			view.noteLoading(r.ReadyIn)
		default:
			continue
		}
		view.slots += r.effectiveSlots()
		view.work += time.Duration(r.Queue) * in.Service
	}
	return view
}

// stragglerSlowdown is the slowdown from which a replica counts as no supply:
// whatever its throughput, requests there miss their latency.
const stragglerSlowdown = 3

// effectiveSlots is how many slots of usual speed the replica is worth.
func (r *Replica) effectiveSlots() int {
	if r.Slowdown >= stragglerSlowdown {
		return 0
	}
	return int(float64(max(r.Slots, 1)) / max(r.Slowdown, 1))
}

func (v *outlook) noteLoading(readyIn time.Duration) {
	if v.loading == 0 || readyIn < v.firstReady {
		v.firstReady = readyIn
	}
	v.loading++
}

func (v *outlook) add(grant Grant) {
	v.noteLoading(grant.LoadTime)
	v.slots += max(grant.Slots, 1)
}

func (v *outlook) total() int {
	total := 0
	for _, n := range v.waiting {
		total += n
	}
	return total
}

// needsMore reports whether a load under grant pays: the minimum is not met,
// demand fills the replicas ready or loading beyond the headroom, or their
// backlog takes longer than the load itself.
func (c HomeConfig) needsMore(in HomeInput, view outlook, grant Grant) bool {
	if view.ready+view.loading < in.MinReplicas {
		return true
	}
	if view.slots == 0 {
		return view.total() > 0 || view.work > 0 || view.refused > 0
	}
	offered := view.rate * in.Service.Seconds()
	if offered > c.patience()*c.Headroom*float64(view.slots) {
		// The demand exceeds the supply, so the backlog grows until a
		// further replica is ready, however small it is now.
		return true
	}
	backlog := view.work.Seconds()
	return backlog/float64(view.slots) > c.patience()*grant.LoadTime.Seconds()
}

// patience is how many load times of backlog a further replica needs. It is 1
// with the default weights and grows with the weight of idle time.
func (c HomeConfig) patience() float64 {
	const defaultRatio = 10
	return min(max(defaultRatio*c.IdleWeight/c.ColdStartWeight, 0.25), 4)
}

// classLoss is what a request of each class loses per second of waiting.
var classLoss = [state.ClassCount]float64{4, 2, 1}

// Benefit is the benefit of each load that is under way, for the time until it
// gets a store slot.
func (h Home) Benefit(in HomeInput) float64 {
	view := look(in)
	view.loading = max(view.loading-1, 0)
	return h.Config.withDefaults().benefit(view)
}

// benefit is what the waiting requests lose per second without a load. Requests
// at ready replicas beyond their slots wait as well: entries keep sending to
// full replicas, so most of an overload waits there. Each replica loading
// already takes its share; ready replicas are full.
func (c HomeConfig) benefit(view outlook) float64 {
	loss := classLoss[state.ClassNormal] * float64(view.excess)
	for class, n := range view.waiting {
		loss += classLoss[class] * float64(n)
	}
	return c.ColdStartWeight * loss / float64(view.loading+1)
}

// wakeOrder lists the usable grants without a replica. Each in turn is the one
// that loads soonest; of those that take at most a fifth longer, the one whose
// data centre has the fewest replicas, then the one with the least load.
func wakeOrder(in HomeInput) []Grant {
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

// adapterLoads puts each adapter asked for that no replica has on the ready
// replica with the shortest queue, counting the adapters placed now.
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
