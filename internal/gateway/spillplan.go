package gateway

import (
	"math"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/boottime"
	"github.com/lagoonvalve/lagoonvalve/internal/decide/spill"
	"github.com/lagoonvalve/lagoonvalve/internal/fleet"
	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// leastWorkDoubles is the time in which the least work known of a kind doubles without a
// measurement: it has to outlast an overload, in which the work includes waiting, and to
// follow requests that need more than before.
const leastWorkDoubles = 10 * time.Minute

// kindUpstreams are the upstreams of the service of a kind.
type kindUpstreams struct {
	members []*member
	service *fleet.Service
}

func (v *view) upstreamsOf(kind requestKind) kindUpstreams {
	return kindUpstreams{v.service(kind.service), v.manifest.Services[kind.service]}
}

// loads reports whether an upstream anywhere may load a model, and returns the least time of
// a load in a data centre, zero if there is none.
func (of kindUpstreams) loads(model state.ModelName, dc state.DataCentre) (anywhere bool, here time.Duration) {
	if of.service == nil || of.service.Engine == nil {
		return false, 0
	}
	spec, ok := of.service.Engine.Models[model]
	if !ok {
		return false, 0
	}
	for _, m := range of.members {
		if fleet.Holds(m.replicas, fleet.Target{Model: model}) {
			continue
		}
		anywhere = true
		if load := max(m.upstream.LoadTime(spec), time.Millisecond); m.upstream.DataCentre == dc && (here == 0 || load < here) {
			here = load
		}
	}
	return anywhere, here
}

// decide returns what becomes of a request, and whether a plan covers it.
func (s *spillover) decide(kind requestKind, of kindUpstreams, req spill.Request, draw float64, now time.Time) (spill.Decision, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := s.kinds[kind]
	load, known := s.loads[kind]
	if k == nil || !known {
		return spill.Decision{}, false
	}
	if now.Sub(k.plannedAt) >= planInterval {
		k.plan, k.plannedAt = s.plan(kind, k, load, of, now), now
		s.logSending(kind, k, now)
	}
	return k.decide(&k.plan, load, req, draw), k.plan.Usable()
}

// decide returns what becomes of a request by a plan. A request is expected to be as large
// as others of its kind at least.
func (k *kindUse) decide(plan *spill.Plan, load rpc.KindLoad, req spill.Request, draw float64) spill.Decision {
	req.Bytes = max(req.Bytes, meanOf(k.bytes, k.ended))
	req.Work = time.Duration(load.Work * float64(time.Second))
	return plan.Decide(req, draw)
}

// preview returns what decide would return for a request that begins now, and changes
// nothing.
func (s *spillover) preview(kind requestKind, of kindUpstreams, req spill.Request, draw float64, now time.Time) (spill.Decision, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	load, known := s.loads[kind]
	if !known {
		return spill.Decision{}, false
	}
	k := s.previewUse(kind, req.TimeLeft, now)
	plan := s.previewPlan(kind, &k, load, of, now)
	return k.decide(&plan, load, req, draw), plan.Usable()
}

// previewUse returns the use of a kind as it would be with one more request.
func (s *spillover) previewUse(kind requestKind, timeLeft time.Duration, now time.Time) kindUse {
	k := kindUse{decayedAt: now}
	if used := s.kinds[kind]; used != nil {
		k = *used
	}
	k.decay(now)
	k.arrivals++
	k.timeLeft += timeLeft.Seconds()
	return k
}

// previewPlan returns the plan that a request would find.
func (s *spillover) previewPlan(kind requestKind, k *kindUse, load rpc.KindLoad, of kindUpstreams, now time.Time) spill.Plan {
	if now.Sub(k.plannedAt) >= planInterval {
		return s.plan(kind, k, load, of, now)
	}
	return k.plan
}

// plan computes the plan for a kind. What a load evicts is for the controller to weigh.
func (s *spillover) plan(kind requestKind, k *kindUse, load rpc.KindLoad, of kindUpstreams, now time.Time) spill.Plan {
	places, home := s.places(kind, load, of, now)
	work := time.Duration(load.Work * float64(time.Second))
	k.recordWork(work, now)
	mayLoad, loadTime := of.loads(kind.model, s.home)
	return spill.Make(s.cfg, spill.Kind{
		Work: work, Took: work, LeastWork: k.leastWork,
		TimeLeft: time.Duration(meanOf(k.timeLeft, k.arrivals) * float64(time.Second)),
		Bytes:    meanOf(k.bytes, k.ended),
		Age:      boottime.Now().Sub(s.loadsAt),
		MayLoad:  mayLoad, LoadTime: loadTime,
	}, home, places)
}

// recordWork updates the least work by what the data centres have measured.
func (k *kindUse) recordWork(work time.Duration, now time.Time) {
	if k.leastWork > 0 {
		grown := math.Exp2(max(now.Sub(k.leastWorkAt), 0).Seconds() / leastWorkDoubles.Seconds())
		work = min(work, time.Duration(float64(k.leastWork)*grown))
	}
	k.leastWork, k.leastWorkAt = work, now
}

// places returns the data centres with demand or slots for a kind, and the index of this
// gateway's own one.
func (s *spillover) places(kind requestKind, load rpc.KindLoad, of kindUpstreams, now time.Time) (places []spill.Place, home int) {
	index := make(map[state.DataCentre]int)
	at := func(dc state.DataCentre) *spill.Place {
		i, ok := index[dc]
		if !ok {
			i = len(places)
			index[dc] = i
			places = append(places, spill.Place{DataCentre: dc, Region: s.regionOf[dc]})
			if link := s.links[dc]; link != nil {
				places[i].Reach = link.Reach(now)
			}
		}
		return &places[i]
	}
	at(s.home)
	upstreams := make(map[state.DataCentre]float64)
	for _, m := range of.members {
		if kind.model == "" || fleet.Holds(m.replicas, fleet.Target{Model: kind.model}) {
			at(m.upstream.DataCentre).AllSlots += float64(m.upstream.Slots)
		}
		slots := m.slotsFor(kind.model, now)
		if slots == 0 {
			continue
		}
		p := at(m.upstream.DataCentre)
		p.Slots += slots
		upstreams[m.upstream.DataCentre]++
	}
	for dc, n := range upstreams {
		p := at(dc)
		p.SlotsEach = p.Slots / n
		if s.silent[dc] && dc != s.home {
			p.Slots = 0
		}
	}
	for dc, from := range load.From {
		p := at(dc)
		p.Offered = from.Rate * load.Work
		p.Open = float64(from.Open)
		p.Queued = max(p.Open-p.Offered, 0)
	}
	return places, 0
}

// slotsFor returns how many requests for a model, or for a plain service, an upstream runs
// at a time: its slots are divided among the models that it holds. It is zero if the
// upstream can't be used now.
func (m *member) slotsFor(model state.ModelName, now time.Time) float64 {
	answers := m.stats.currentAnswers()
	if m.stats.ejected(now) || answers.Leaving() || answers.PauseLeft(now) > 0 {
		return 0
	}
	if model == "" {
		return float64(m.upstream.Slots)
	}
	for i := range m.replicas {
		if m.replicas[i].Model == model {
			return float64(m.upstream.Slots) / float64(len(m.replicas))
		}
	}
	return 0
}
