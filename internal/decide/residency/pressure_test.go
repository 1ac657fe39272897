package residency_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/lagoonvalve/lagoonvalve/internal/decide/residency"
	"github.com/lagoonvalve/lagoonvalve/internal/fleet"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// Guards against replicas of a busy model that take the places of rare models in use,
// when there are more models than memory: the requests of the busy model are short,
// so four replicas serve them.
func TestBusyModelLeavesRareModelsLoaded(t *testing.T) {
	g := NewWithT(t)
	in := residency.Input{
		Engine: engine(7), StoreLoads: 2,
		Upstreams: upstreams([]state.ModelName{"m0", "m1"}, []state.ModelName{"m0", "m2"}, []state.ModelName{"m0", "m3"},
			[]state.ModelName{"m0", "m4"}, []state.ModelName{"m5", "m6"}),
		Demand: map[fleet.Target]residency.Demand{model("m0"): {Rate: 27, Work: 0.5, Running: 40}},
	}
	for _, m := range []state.ModelName{"m1", "m2", "m3", "m4", "m5", "m6"} {
		in.Demand[model(m)] = residency.Demand{Rate: 0.3, Running: 1}
	}
	g.Expect(residency.Plan(in)).To(BeEmpty())
}

// Guards against an unload of the last replica that serves a busy model because
// another one is about to be loaded: requests then found none for the whole load.
func TestPendingLoadDoesNotReplaceTheLastReplica(t *testing.T) {
	g := NewWithT(t)
	in := residency.Input{
		Engine: engine(4), StoreLoads: 2, Upstreams: upstreams([]state.ModelName{"m0", "m1"}, []state.ModelName{"m2", "m3"}),
		Demand: map[fleet.Target]residency.Demand{
			model("m0"): {Rate: 3}, model("m1"): {Rate: 3, Running: 2}, model("m3"): {Waiting: 1, Rate: 0.2},
		},
	}
	in.Upstreams[1].Pending = &fleet.Order{Kind: fleet.Unload, Target: model("m3")}
	in.Upstreams[1].Reserved = "m0"
	g.Expect(residency.Plan(in)).To(BeEmpty())
}

// Guards against an unload of a model that has just been loaded, which wastes the
// load, when requests for more models wait than there is memory for.
func TestRecentLoadStays(t *testing.T) {
	g := NewWithT(t)
	in := residency.Input{
		Engine: engine(3), StoreLoads: 2, Upstreams: upstreams([]state.ModelName{"m0", "m1"}),
		Demand: map[fleet.Target]residency.Demand{
			model("m0"): {Rate: 0.1}, model("m1"): {Rate: 0.4}, model("m2"): {Waiting: 5, Rate: 0.5, Unserved: time.Minute},
		},
	}
	in.Upstreams[0].Recent = []state.ModelName{"m0", "m1"}
	g.Expect(residency.Plan(in)).To(BeEmpty())
	in.Upstreams[0].Recent = []state.ModelName{"m0"}
	steps := residency.Plan(in)
	g.Expect(steps).To(HaveLen(1))
	g.Expect(steps[0].Model).To(Equal(state.ModelName("m1")))
}

// exchangeSimulation runs plans in virtual time: an unload takes one tick and a load
// two, from a disk that has all models.
type exchangeSimulation struct {
	in       residency.Input
	unserved map[state.ModelName]time.Duration
	held     map[state.UpstreamName]map[state.ModelName]time.Duration
}

const simulationTick = 200 * time.Millisecond

// step advances the simulation and returns the longest time that the requests for a
// model have found no replica.
func (s *exchangeSimulation) step() time.Duration {
	longest := time.Duration(0)
	for i := range s.in.Upstreams {
		u := &s.in.Upstreams[i]
		u.Recent = nil
		for _, r := range u.Replicas {
			s.held[u.Name][r.Model] += simulationTick
			s.unserved[r.Model] = 0
			if s.held[u.Name][r.Model] < 2*time.Second {
				u.Recent = append(u.Recent, r.Model)
			}
		}
	}
	for t, d := range s.in.Demand {
		served := false
		for i := range s.in.Upstreams {
			served = served || fleet.Holds(s.in.Upstreams[i].Replicas, t)
		}
		d.Waiting, d.Unserved = 0, 0
		if !served {
			s.unserved[t.Model] += simulationTick
			d.Waiting, d.Unserved = 2, s.unserved[t.Model]
		}
		s.in.Demand[t] = d
		longest = max(longest, d.Unserved)
	}
	for _, order := range residency.Plan(s.in) {
		applyStep(&s.in, order)
		if order.Kind == fleet.Load {
			s.held[order.Upstream][order.Model] = 0
		}
	}
	return longest
}

// Guards against a model in demand that is never loaded because all others have more
// requests: with twice as many models as places, each gets its turn.
func TestEveryModelInDemandGetsATurn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const models = 8
		s := &exchangeSimulation{
			in: residency.Input{
				Engine: engine(models), StoreLoads: 2, Demand: map[fleet.Target]residency.Demand{},
				Upstreams: upstreams([]state.ModelName{"m0", "m1"}, []state.ModelName{"m2", "m3"}),
			},
			unserved: map[state.ModelName]time.Duration{}, held: map[state.UpstreamName]map[state.ModelName]time.Duration{},
		}
		for i := range s.in.Upstreams {
			u := &s.in.Upstreams[i]
			s.held[u.Name] = map[state.ModelName]time.Duration{}
			for m := range s.in.Engine.Models {
				u.OnDisk = append(u.OnDisk, m)
			}
		}
		for m := range models {
			rate := rapid.Float64Range(0.1, 4).Draw(t, "rate")
			s.in.Demand[model(state.ModelName(fmt.Sprint("m", m)))] = residency.Demand{Rate: rate, Running: int(rate)}
		}
		// Four places change hands at most every 2.6 s; six models may be ahead.
		const bound = 4*time.Second + 6*2600*time.Millisecond
		for range 300 {
			if longest := s.step(); longest > bound {
				t.Fatalf("a model has found no replica for %v: %+v", longest, s.in.Demand)
			}
		}
	})
}

// Guards against models that replace each other without end while the demand does
// not change and no request waits.
func TestPlansSettle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := drawInput(t)
		for i := range in.Upstreams {
			u := &in.Upstreams[i]
			u.Blocked, u.Pending, u.Reserved = false, nil, ""
		}
		for target, d := range in.Demand {
			d.Waiting = 0
			in.Demand[target] = d
		}
		in.StoreLoads = 3
		for range 60 {
			steps := residency.Plan(in)
			if len(steps) == 0 {
				return
			}
			for _, s := range steps {
				applyStep(&in, s)
			}
		}
		t.Fatalf("plans do not end: %+v", residency.Plan(in))
	})
}

// Guards against plans that take so long that the controller falls behind: it plans
// for all engines many times a second.
func BenchmarkPlan(b *testing.B) {
	for _, upstreamCount := range []int{60, 300} {
		b.Run(fmt.Sprint(upstreamCount), func(b *testing.B) {
			e := engine(2 * upstreamCount)
			e.Memory, e.AdapterSlots = 300, 8
			in := residency.Input{Engine: e, StoreLoads: 2, Demand: map[fleet.Target]residency.Demand{}}
			for i := range upstreamCount {
				u := residency.Upstream{Name: state.UpstreamName(fmt.Sprint("u", i)), DataCentre: state.DataCentre(fmt.Sprint("dc", i%6))}
				for j := range 4 {
					u.Replicas = append(u.Replicas, fleet.Replica{Model: state.ModelName(fmt.Sprint("m", (i*3+j*7)%(2*upstreamCount)))})
				}
				in.Upstreams = append(in.Upstreams, u)
			}
			for i := range 2 * upstreamCount {
				m := state.ModelName(fmt.Sprint("m", i))
				in.Demand[model(m)] = residency.Demand{Rate: float64(i%9) / 2, Running: i % 5, Work: float64(i%9) / 20, Waiting: i % 2}
				for a := range 2 {
					in.Demand[fleet.Target{Model: m, Adapter: state.AdapterName(fmt.Sprint("a", a))}] = residency.Demand{Rate: 0.2, Waiting: (i + a) % 4 / 3}
				}
			}
			for b.Loop() {
				residency.Plan(in)
			}
		})
	}
}

// Guards against more adapters than an engine has places for, which ends its process: an
// adapter that was in demand again while its unload waited for its last requests was
// loaded again at once. A report from before the load then showed the unload complete,
// and the controller counted an adapter too few.
func TestAdapterIsNotLoadedDuringItsUnload(t *testing.T) {
	g := NewWithT(t)
	adapter := fleet.Target{Model: "m0", Adapter: "a1"}
	in := residency.Input{
		Engine: engine(1), Upstreams: upstreams([]state.ModelName{"m0"}),
		Demand: map[fleet.Target]residency.Demand{model("m0"): {Rate: 1}, adapter: {Waiting: 1, Rate: 1}},
	}
	in.Upstreams[0].Replicas[0].Adapters = []state.AdapterName{"a1"}
	in.Upstreams[0].PendingAdapters = []fleet.Order{{Kind: fleet.Unload, Target: adapter}}
	g.Expect(residency.Plan(in)).To(BeEmpty())
	in.Upstreams[0].Replicas[0].Adapters, in.Upstreams[0].PendingAdapters = nil, nil
	g.Expect(residency.Plan(in)).To(HaveLen(1), "after the unload")
}
