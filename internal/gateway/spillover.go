package gateway

import (
	"log/slog"
	"math"
	"sync"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/decide/routing"
	"github.com/lagoonvalve/lagoonvalve/internal/decide/selection"
	"github.com/lagoonvalve/lagoonvalve/internal/decide/spill"
	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// Spillover configures when requests leave the data centre.
type Spillover struct {
	// DataCentrePrice and RegionPrice are the latency that one kilobyte between data
	// centres of a region, and between regions, is worth.
	DataCentrePrice, RegionPrice time.Duration
}

const (
	// kindWindow is the time constant of the figures of a kind of request. A shorter one
	// would take the chance arrivals of a few requests a second for a change of demand.
	kindWindow = 3 * time.Second
	// planInterval is the time between plans for a kind, that of new figures.
	planInterval = time.Second
	// sendingEnds is for how long a kind must not be sent elsewhere until that is logged.
	sendingEnds = 10 * time.Second
	// offPlanPenalty is how much better an upstream in a data centre other than the planned
	// one must be to be chosen: plans don't know of pauses, rate limits and the prompts
	// that wait at a single upstream.
	offPlanPenalty = 250 * time.Millisecond
	// maxKinds bounds the kinds of request that are tracked. Requests of others are chosen
	// for as without spillover.
	maxKinds = 1024
)

// requestKind identifies the requests that a plan is made for.
type requestKind struct {
	service state.ServiceName
	model   state.ModelName
}

// kindUse is the recent use of a kind by this gateway's callers. The sums decay with
// kindWindow.
type kindUse struct {
	open      int
	arrivals  float64
	ended     float64
	busy      float64 // seconds at upstreams
	timeLeft  float64 // seconds
	bytes     float64
	decayedAt time.Time
	// head is the mean time to the head of a response in this data centre, in seconds;
	// zero before the first.
	head float64

	// leastWork is the least work that the loads have shown, as of leastWorkAt.
	leastWork   time.Duration
	leastWorkAt time.Time

	plan      spill.Plan
	plannedAt time.Time
	// sentAt is when a plan last had shares, while that is logged as sending.
	sentAt time.Time
}

// decay has no effect for a time before that of the last one: a request may have begun long
// before it is counted.
func (k *kindUse) decay(now time.Time) {
	if !now.After(k.decayedAt) {
		return
	}
	factor := math.Exp(-now.Sub(k.decayedAt).Seconds() / kindWindow.Seconds())
	k.arrivals *= factor
	k.ended *= factor
	k.busy *= factor
	k.timeLeft *= factor
	k.bytes *= factor
	k.decayedAt = now
}

// meanOf returns sum/count, zero without any.
func meanOf(sum, count float64) float64 {
	if count <= 0 {
		return 0
	}
	return sum / count
}

// spillover decides when requests leave the data centre. Its methods may be called from
// any goroutine; those of a nil spillover do nothing.
type spillover struct {
	cfg      spill.Config
	home     state.DataCentre
	regionOf map[state.DataCentre]state.Region
	logger   *slog.Logger

	mu    sync.Mutex
	kinds map[requestKind]*kindUse
	links map[state.DataCentre]*spill.Link
	// loads are those that the controller published last, silent its data centres without
	// reports, and loadsAt the time of the loads by the clock that counts suspension.
	loads         map[requestKind]rpc.KindLoad
	silent        map[state.DataCentre]bool
	loadsAt       time.Time
	loadsRevision uint64
}

func newSpillover(opts *Options, weights selection.Config) *spillover {
	if opts.Spillover == nil {
		return nil
	}
	return &spillover{
		cfg: spill.Config{
			SameRegionLatency: weights.SameRegionCost, OtherRegionLatency: weights.OtherRegionCost,
			SameRegionPrice: opts.Spillover.DataCentrePrice, OtherRegionPrice: opts.Spillover.RegionPrice,
		},
		home: opts.DataCentre, regionOf: opts.RegionOf, logger: opts.Logger,
		kinds: make(map[requestKind]*kindUse), links: make(map[state.DataCentre]*spill.Link),
	}
}

// revision returns the revision of the loads that this gateway has.
func (s *spillover) revision() uint64 {
	if s == nil {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.loadsRevision
}

// apply records loads that the controller published in answer to a request sent at a time.
func (s *spillover) apply(loads *rpc.DataCentreLoads, sentAt time.Time) {
	if s == nil || loads == nil {
		return
	}
	kinds := make(map[requestKind]rpc.KindLoad, len(loads.Kinds))
	for _, k := range loads.Kinds {
		kinds[requestKind{k.Service, k.Model}] = k
	}
	silent := make(map[state.DataCentre]bool, len(loads.Silent))
	for _, dc := range loads.Silent {
		silent[dc] = true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loads, s.silent, s.loadsRevision = kinds, silent, loads.Revision
	s.loadsAt = sentAt.Add(-loads.Age.Std())
}

// use returns the use of a kind; nil if too many are tracked.
func (s *spillover) use(kind requestKind, now time.Time) *kindUse {
	k, ok := s.kinds[kind]
	if !ok {
		if len(s.kinds) >= maxKinds {
			return nil
		}
		k = &kindUse{decayedAt: now}
		s.kinds[kind] = k
	}
	return k
}

// begin counts a request that has arrived with a time until its caller needs an answer.
func (s *spillover) begin(kind requestKind, timeLeft time.Duration, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if k := s.use(kind, now); k != nil {
		k.decay(now)
		k.open++
		k.arrivals++
		k.timeLeft += timeLeft.Seconds()
	}
}

// end counts a request that has ended after some time at upstreams. A request that none
// has run says nothing about the work of its kind.
func (s *spillover) end(kind requestKind, busy time.Duration, bytes int64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k, ok := s.kinds[kind]
	if !ok {
		return
	}
	k.open = max(k.open-1, 0)
	if busy > 0 {
		k.decay(now)
		k.ended++
		k.busy += busy.Seconds()
		k.bytes += float64(bytes)
	}
}

// report returns the demand for all kinds, and stops tracking those without any.
func (s *spillover) report(now time.Time) []rpc.KindDemand {
	if s == nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []rpc.KindDemand
	for kind, k := range s.kinds {
		k.decay(now)
		s.logSending(kind, k, now)
		rate := k.arrivals / kindWindow.Seconds()
		if rate < minRate && k.open == 0 && k.sentAt.IsZero() {
			delete(s.kinds, kind)
			continue
		}
		demand := rpc.KindDemand{
			Service: kind.service, Model: kind.model, Rate: roundTo3(rate),
			Work: math.Round(meanOf(k.busy, k.ended)*1e5) / 1e5, Open: k.open,
		}
		if k.planIsCurrent(now) {
			demand.Lacking = roundTo3(k.plan.Lacking())
		}
		list = append(list, demand)
	}
	return list
}

// planIsCurrent reports whether requests follow the last plan.
func (k *kindUse) planIsCurrent(now time.Time) bool { return now.Sub(k.plannedAt) < 2*planInterval }

// logSending logs when requests of a kind begin and end to be sent elsewhere by plan. Each
// kind logs at most two lines in sendingEnds.
func (s *spillover) logSending(kind requestKind, k *kindUse, now time.Time) {
	current := k.planIsCurrent(now) && len(k.plan.Shares) > 0
	switch {
	case current && k.sentAt.IsZero():
		share := k.plan.Shares[0]
		s.logger.Info("spillover begins", "data_centre", s.home, "service", kind.service, "model", kind.model, "to", share.DataCentre,
			"share", share.Fraction, "destinations", len(k.plan.Shares), "offered", k.plan.Offered, "slots", k.plan.Slots, "age", k.plan.Age)
		k.sentAt = now
	case current:
		k.sentAt = now
	case !k.sentAt.IsZero() && now.Sub(k.sentAt) >= sendingEnds:
		s.logger.Info("spillover ends", "data_centre", s.home, "service", kind.service, "model", kind.model,
			"offered", k.plan.Offered, "slots", k.plan.Slots, "age", k.plan.Age)
		k.sentAt = time.Time{}
	}
}

// recordHead records the time to the head of a response, or that none came, from a data
// centre.
func (s *spillover) recordHead(kind requestKind, dc state.DataCentre, took time.Duration, failed bool, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := s.kinds[kind]
	if dc == s.home {
		if k != nil && !failed {
			k.recordHomeHead(took)
		}
		return
	}
	link := s.links[dc]
	if link == nil {
		link = &spill.Link{}
		s.links[dc] = link
	}
	switch {
	case failed:
		link.Failed(now)
	case k == nil || k.head == 0:
		link.Succeeded(0, now)
	default:
		usual := time.Duration(k.head*float64(time.Second)) + s.latency(dc)
		link.Succeeded(took-usual, now)
	}
}

// recordHomeHead adds a sample to the mean time to a head in this data centre.
func (k *kindUse) recordHomeHead(took time.Duration) {
	const weight = 0.1
	if k.head == 0 {
		k.head = took.Seconds()
		return
	}
	k.head += weight * (took.Seconds() - k.head)
}

// latency returns the usual latency to a data centre.
func (s *spillover) latency(dc state.DataCentre) time.Duration {
	switch localityOf(dc, s.home, s.regionOf) {
	case routing.SameRegion:
		return s.cfg.SameRegionLatency
	case routing.OtherRegion:
		return s.cfg.OtherRegionLatency
	default:
		return 0
	}
}
