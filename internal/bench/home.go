package bench

import (
	"strconv"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/decide/scaling"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// home decides on the replicas of one model.
type home struct {
	o       *ours
	model   int
	arrived int
	rate    float64
	refused int
	// stretch is how much longer than expected recent loads took.
	stretch float64
	readyIn time.Duration
	blocked map[int]time.Time
	// noSpare holds the upstreams that refused a spare, with the time until
	// which they are not asked again.
	noSpare map[int]time.Time
	// steady is the arrivals per second over about ten minutes.
	steady float64
	// supply is the slots of replicas ready or loading.
	supply int
	quiet  bool
}

// spareRefusedFor is how long an agent that refused a spare is not asked again.
const spareRefusedFor = 10 * time.Second

func newHome(o *ours, model int) *home {
	return &home{
		o: o, model: model, stretch: 1, blocked: make(map[int]time.Time), noSpare: make(map[int]time.Time), quiet: true,
		steady: o.usualRate(model),
	}
}

func modelName(i int) string { return strconv.Itoa(i) }

func modelKey(i int) state.ReplicaKey {
	return state.ReplicaKey{Model: state.ModelName(modelName(i)), Version: "1"}
}

func modelOf(key state.ReplicaKey) int {
	i, err := strconv.Atoi(string(key.Model))
	if err != nil {
		panic(err)
	}
	return i
}

// noteArrival counts demand; the first request of a quiet model is decided on
// at once.
func (h *home) noteArrival() {
	h.arrived++
	if h.quiet {
		h.quiet = false
		h.o.after(time.Millisecond, h.decide)
	}
}

func (o *ours) tickHomes() {
	for _, h := range o.homes {
		h.rate += 0.2 * (float64(h.arrived)/0.2 - h.rate)
		h.steady += 0.2 / 600 * (float64(h.arrived)/0.2 - h.steady)
		h.arrived = 0
		h.quiet = h.rate < 0.01
		if !h.quiet {
			h.decide()
		}
	}
}

func (h *home) demands() []scaling.Demand {
	var all []scaling.Demand
	for _, e := range h.o.entries {
		if q := e.queues[h.model]; q != nil && q.Len() > 0 {
			all = append(all, scaling.Demand{Waiting: q.Waiting(), Work: q.Work()})
		}
	}
	return append(all, scaling.Demand{Rate: h.rate, Refused: h.refused})
}

// benefit is the present benefit of the model's loads.
func (h *home) benefit() float64 { return scaling.Home{}.Benefit(h.input()) }

func (h *home) loadTime(up int) time.Duration {
	if h.o.exp.oneMean {
		return h.meanLoad()
	}
	work, remote := h.o.loadWork(h.model, up)
	if !remote {
		return work
	}
	return scale(work, h.stretch)
}

// meanLoad is the load time of a home that does not know the caches.
func (h *home) meanLoad() time.Duration {
	var sum time.Duration
	for _, id := range h.o.grants[h.model] {
		work, _ := h.o.loadWork(h.model, id)
		sum += work
	}
	return scale(sum, h.stretch/float64(len(h.o.grants[h.model])))
}

// slots is how many slots the home takes a replica for.
func (h *home) slots() int {
	const assumed = 16
	if h.o.exp.oneMean {
		return assumed
	}
	return slotsPerRunner
}

// expectedLoad is the load time under the best grant that is not blocked.
func (h *home) expectedLoad() time.Duration {
	best := h.o.loads[h.model]
	for _, id := range h.o.grants[h.model] {
		if !h.o.ups[id].lost && h.o.now.After(h.blocked[id]) {
			best = min(best, h.loadTime(id))
		}
	}
	return best
}

func (h *home) input() scaling.HomeInput {
	in := scaling.HomeInput{Demands: h.demands(), Service: time.Second, Steady: h.steady}
	for _, id := range h.o.grants[h.model] {
		u, a := h.o.ups[id], h.o.agents[id]
		g := scaling.Grant{Upstream: state.UpstreamName(strconv.Itoa(id)), DataCentre: state.DataCentre(strconv.Itoa(u.centre)), LoadTime: h.loadTime(id), Slots: h.slots()}
		g.Usable = !u.lost && h.o.now.After(h.blocked[id])
		g.SpareRefused = !h.o.now.After(h.noSpare[id])
		in.Grants = append(in.Grants, g)
		rep, waking := u.replicas[h.model], a.waking[h.model]
		switch {
		case u.lost:
		case rep != nil && rep.ready:
			in.Replicas = append(in.Replicas, scaling.Replica{Upstream: g.Upstream, State: state.ReplicaReady, Slots: h.slots(), Queue: rep.users, Slowdown: h.o.coming(id)})
		case !waking.IsZero():
			left := max(g.LoadTime-h.o.now.Sub(waking), 100*time.Millisecond)
			in.Replicas = append(in.Replicas, scaling.Replica{Upstream: g.Upstream, State: state.ReplicaLoading, Slots: h.slots(), ReadyIn: left})
		}
	}
	return in
}

func (h *home) decide() {
	in := h.input()
	out := scaling.Home{Config: h.o.size.weights}.Decide(in)
	h.refused = 0
	h.readyIn = out.ReadyIn
	refused := false
	h.supply = slotsPerRunner * len(in.Replicas)
	for _, wake := range out.Wakes {
		id, err := strconv.Atoi(string(wake.Upstream))
		if err != nil {
			panic(err)
		}
		if wake.Spare != scaling.NotSpare {
			if !h.o.agents[id].wakeSpare(h.model, wake.Spare) {
				h.noSpare[id] = h.o.now.Add(spareRefusedFor)
			}
			continue
		}
		h.supply += slotsPerRunner
		if !h.o.agents[id].wake(h.model, wake.Benefit) {
			h.blocked[id] = h.o.now.Add(time.Second)
			refused = true
		}
	}
	if refused {
		// Another grant may do; the next tick would be a cold start late.
		h.o.after(2*time.Millisecond, h.decide)
	}
}

// loaded learns from the time of a finished load.
func (h *home) loaded(up int, took time.Duration) {
	work, remote := h.o.loadWork(h.model, up)
	if remote {
		h.stretch = max(1, took.Seconds()/work.Seconds())
	}
}
