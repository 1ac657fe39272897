package controller

import (
	"cmp"
	"math"
	"slices"
	"sync/atomic"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

const (
	// loadsInterval is the time between two sums of the loads of data centres.
	loadsInterval = time.Second
	// maxLoadKinds bounds the kinds of requests that are published: all gateways receive
	// them in each interval, about 5 KB of JSON with six data centres.
	maxLoadKinds = 24
	// silentTTL is how long a data centre without reports counts as silent. After that it
	// counts as one without gateways.
	silentTTL = time.Minute
	// workPrecision and ratePrecision are the inverses of the units, in seconds and
	// requests per second, to which published figures are rounded. It keeps messages short.
	workPrecision, ratePrecision = 1e5, 1e3
)

// loadSums holds the loads of data centres as last added up.
type loadSums struct {
	published atomic.Pointer[publishedLoads]
	// nextAt is when the next sum is due; zero before the first. Only the goroutine of Run
	// uses it and reportedAt, the time of the last report from each data centre.
	nextAt     time.Time
	reportedAt map[state.DataCentre]time.Time
}

type publishedLoads struct {
	at    time.Time
	loads rpc.DataCentreLoads
}

// kindKey identifies a kind of request.
type kindKey struct {
	service state.ServiceName
	model   state.ModelName
}

// kindSum is the demand of all gateways for a kind.
type kindSum struct {
	load rpc.KindLoad
	// busy is the upstream time that the callers of each data centre need, in seconds per
	// second.
	busy map[state.DataCentre]float64
}

// stepLoads adds up the loads if that is due. A new controller waits for one interval, in
// which all gateways report.
func (c *Controller) stepLoads(now time.Time) {
	s := &c.loads
	if s.nextAt.IsZero() {
		s.nextAt = now.Add(loadsInterval)
		s.reportedAt = make(map[state.DataCentre]time.Time)
	}
	if now.Before(s.nextAt) {
		return
	}
	s.nextAt = now.Add(loadsInterval)
	loads := rpc.DataCentreLoads{Revision: uint64(now.UnixNano()), Kinds: c.demand.loads(now)}
	for _, g := range c.demand.gateways {
		if now.Sub(g.lastReport) <= reportTTL {
			s.reportedAt[g.peer.DataCentre] = now
		}
	}
	for dc, at := range s.reportedAt {
		switch {
		case at.Equal(now):
		case now.Sub(at) > silentTTL:
			delete(s.reportedAt, dc)
		default:
			loads.Silent = append(loads.Silent, dc)
		}
	}
	slices.Sort(loads.Silent)
	s.published.Store(&publishedLoads{at: now, loads: loads})
}

// withdraw removes the published loads, since this process is no longer the controller.
func (s *loadSums) withdraw() {
	s.published.Store(nil)
	s.nextAt = time.Time{}
}

// addTo adds the loads to a result for a gateway that has none of this revision.
func (s *loadSums) addTo(result *rpc.ResidencyResult, params rpc.ResidencyParams, now time.Time) {
	p := s.published.Load()
	if p == nil || !params.Loads || result.Term == 0 || params.LoadsRevision == p.loads.Revision {
		return
	}
	loads := p.loads
	loads.Age = state.Duration(max(now.Sub(p.at), 0))
	result.Loads = &loads
}

// loads returns the demand of all data centres for the kinds with the most work.
func (t *demandTable) loads(now time.Time) []rpc.KindLoad {
	var list []rpc.KindLoad
	for _, sum := range t.sumKinds(now) {
		if load, ok := sum.published(); ok {
			list = append(list, load)
		}
	}
	slices.SortFunc(list, func(a, b rpc.KindLoad) int {
		return cmp.Or(cmp.Compare(workOf(&b), workOf(&a)), cmp.Compare(a.Service, b.Service), cmp.Compare(a.Model, b.Model))
	})
	return list[:min(len(list), maxLoadKinds)]
}

// sumKinds adds up the latest reports of all gateways.
func (t *demandTable) sumKinds(now time.Time) map[kindKey]*kindSum {
	sums := make(map[kindKey]*kindSum)
	for _, g := range t.gateways {
		if now.Sub(g.lastReport) > reportTTL {
			continue
		}
		for _, d := range g.kinds {
			key := kindKey{d.Service, d.Model}
			sum, ok := sums[key]
			if !ok {
				sum = &kindSum{busy: make(map[state.DataCentre]float64)}
				sum.load = rpc.KindLoad{Service: d.Service, Model: d.Model, From: make(map[state.DataCentre]rpc.DataCentreDemand)}
				sums[key] = sum
			}
			from := sum.load.From[g.peer.DataCentre]
			from.Rate += d.Rate
			from.Open += d.Open
			sum.load.From[g.peer.DataCentre] = from
			sum.busy[g.peer.DataCentre] += d.Rate * d.Work
		}
	}
	return sums
}

// lacking returns how many slots for the models of a service data centres lack where a load
// pays. All gateways of a data centre plan for the whole of it, so their reports don't add up.
func (t *demandTable) lacking(service state.ServiceName, now time.Time) map[state.ModelName]map[state.DataCentre]float64 {
	var all map[state.ModelName]map[state.DataCentre]float64
	for _, g := range t.gateways {
		for _, d := range g.kinds {
			if d.Service != service || d.Lacking <= 0 || now.Sub(g.lastReport) > reportTTL {
				continue
			}
			if all == nil {
				all = make(map[state.ModelName]map[state.DataCentre]float64)
			}
			if all[d.Model] == nil {
				all[d.Model] = make(map[state.DataCentre]float64)
			}
			all[d.Model][g.peer.DataCentre] = max(all[d.Model][g.peer.DataCentre], d.Lacking)
		}
	}
	return all
}

// published returns the load with the least work for a request that any data centre reports,
// and with rounded figures. It returns false for a kind that needs no work.
func (s *kindSum) published() (load rpc.KindLoad, ok bool) {
	load = s.load
	for dc, busy := range s.busy {
		if work := busy / load.From[dc].Rate; work > 0 && (load.Work == 0 || work < load.Work) {
			load.Work = work
		}
	}
	load.Work = roundTo(load.Work, workPrecision)
	for dc, from := range load.From {
		from.Rate = roundTo(from.Rate, ratePrecision)
		load.From[dc] = from
	}
	return load, load.Work > 0
}

// roundTo rounds x to a multiple of 1/precision.
func roundTo(x, precision float64) float64 { return math.Round(x*precision) / precision }

// workOf returns the upstream time that all callers of a kind need, in seconds per second.
func workOf(k *rpc.KindLoad) float64 {
	rate := 0.0
	for _, from := range k.From {
		rate += from.Rate
	}
	return rate * k.Work
}
