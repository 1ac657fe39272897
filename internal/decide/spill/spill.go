// Package spill decides how much of a data centre's demand is served by upstreams
// elsewhere. It works on offered load: the slots that the callers of a data centre need on
// average, wherever their requests are sent. What is sent elsewhere doesn't change these
// figures, so decisions from old ones do not feed back into themselves. All gateways
// compute the same plan from the same figures, and each sends its data centre's share, so
// that together they send no more than the room there is.
//
// Waits are estimated by Sakasegawa's approximation of the M/M/c queue (H. Sakasegawa,
// An approximation formula for Lq, 1977).
package spill

import (
	"math"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/decide/routing"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// Config holds what leaving a data centre costs.
type Config struct {
	// SameRegionLatency and OtherRegionLatency are the round-trip times that a request
	// gains if it is sent to another data centre of the region, and to another region.
	SameRegionLatency, OtherRegionLatency time.Duration
	// SameRegionPrice and OtherRegionPrice are the latency that one kilobyte (1,024 bytes)
	// between data centres of a region, and between regions, is worth.
	SameRegionPrice, OtherRegionPrice time.Duration
}

// Place is a data centre as it matters to one kind of request.
type Place struct {
	DataCentre state.DataCentre
	Region     state.Region
	// Slots is how many requests of the kind its usable upstreams run at a time.
	Slots float64
	// SlotsEach is the mean number of slots of one upstream.
	SlotsEach float64
	// Offered is how many slots the demand of the data centre's own callers needs.
	Offered float64
	// Queued is how many requests of these callers wait for a slot.
	Queued float64
	// Open is how many requests of these callers have not ended, wherever they are.
	Open float64
	// AllSlots is how many requests of the kind its upstreams could run at a time at most:
	// those that can't be used now count, and slots that others hold.
	AllSlots float64
	// Reach is how well the planning gateway reaches the data centre.
	Reach Reach
}

// Reach says how well a gateway reaches a data centre by its own requests.
type Reach struct {
	// Extra is the latency beyond the usual one.
	Extra time.Duration
	// Probe limits what is sent there to probeShare of the demand, and Lost to nothing.
	Probe, Lost bool
}

// Kind describes the requests that a plan is made for: those of a service, or of one of
// its models.
type Kind struct {
	// Work is for how long a request occupies a slot.
	Work time.Duration
	// TimeLeft is for how long callers wait for an answer.
	TimeLeft time.Duration
	// Bytes is the mean size of request and response together.
	Bytes float64
	// Age is the age of the offered loads.
	Age time.Duration
	// Took is the least mean time of all data centres for which their requests have lately
	// been at upstreams, queues there included; zero if it is not known.
	Took time.Duration
	// LeastWork is the least Work known: that without waiting for other requests.
	LeastWork time.Duration
	// MayLoad means that an upstream anywhere doesn't hold the model and may load it, or be
	// loading it now.
	MayLoad bool
	// LoadTime is how long a load of the model at the planning data centre takes, and
	// EvictionLoss the waiting, in seconds, that the load causes elsewhere. LoadTime is
	// zero if no load is possible.
	LoadTime, EvictionLoss time.Duration
}

const (
	// lendLevel is the utilisation up to which a data centre takes requests of others.
	// Above it, the variation of its own demand would make its own callers wait. A data
	// centre sends nothing away below the same level, so none both sends and receives.
	lendLevel = 0.85
	// fullConfidence is the age up to which figures are used as they are, and maxAge the
	// age from which they are not used: room is assumed to shrink linearly in between.
	// Figures are usually at most 2 s old; 6 s cover a change of the controller.
	fullConfidence = 6 * time.Second
	maxAge         = 12 * time.Second
	// probeShare is the fraction of its demand that a data centre sends to one that was
	// lost, until a request succeeds.
	probeShare = 0.02
	// loadHorizon is for how long demand is assumed to last when a load is weighed
	// against sending requests elsewhere.
	loadHorizon = 30 * time.Second
	// minDrainTime is the time over which what is queued is served beside new requests, at
	// least. It is no shorter than twice the age of the figures, so that a queue is not
	// answered again and again before the answer shows, nor than drainWorks times the work
	// of a request: the number of open long requests varies by chance, which is no queue.
	minDrainTime = 2 * time.Second
	drainWorks   = 4
	// bisections halve the interval of a utilisation to below a thousandth.
	bisections = 12
)

// Share is a part of a data centre's demand that goes to another one.
type Share struct {
	DataCentre state.DataCentre
	Locality   routing.Locality
	// Fraction of the demand, 0 to 1.
	Fraction float64
}

// Plan is what a data centre does with its demand for one kind of request. The zero value
// keeps all of it.
type Plan struct {
	// Shares are the parts that go elsewhere, those inside the region first.
	Shares []Share
	// Excess is the fraction of the demand that neither the data centre's own slots nor
	// the shares serve in time.
	Excess float64
	// LoadHere says that a further replica here would cost less than going on without it.
	LoadHere bool
	// Offered and Slots are the figures of the data centre itself by which the plan was
	// made, and Age is theirs.
	Offered, Slots float64
	Age            time.Duration
	// homeWait is the expected wait of a request that stays, before any has left.
	homeWait   time.Duration
	unservable unservable
	cfg        Config
}

// Make returns the plan of the data centre home. The places include home; those that are
// not known to hold upstreams for the kind have no slots.
func Make(cfg Config, k Kind, home int, places []Place) Plan {
	if home < 0 || home >= len(places) || k.Work <= 0 {
		return Plan{}
	}
	self := &places[home]
	plan := Plan{Offered: self.Offered, Slots: self.Slots, Age: k.Age, homeWait: wait(k, load(k, self), self), cfg: cfg}
	if k.Age >= maxAge || self.Offered <= 0 {
		return plan
	}
	f := newFlows(cfg, k, home, places)
	f.move(routing.SameRegion)
	f.move(routing.OtherRegion)
	sent := 0.0
	for to, amount := range f.sent {
		if amount <= 0 {
			continue
		}
		fraction := min(amount/self.Offered, 1)
		sent += amount
		plan.Shares = append(plan.Shares, Share{DataCentre: places[to].DataCentre, Locality: f.locality(home, to), Fraction: fraction})
	}
	sortShares(plan.Shares)
	// At a utilisation of 1 a queue would stay as long as it is, so its share counts too.
	plan.Excess = min(max(load(k, self)-sent-self.Slots, 0), max(self.Offered-sent, 0)) / self.Offered
	plan.LoadHere = loadPays(cfg, k, plan)
	plan.unservable = findUnservable(k, self, places)
	plan.unservable.share = min(plan.unservable.share, plan.Excess)
	return plan
}

// Lacking returns how many slots the demand needs beyond those here, if a load here pays.
func (p *Plan) Lacking() float64 {
	if !p.LoadHere {
		return 0
	}
	lacking := p.Excess
	for _, s := range p.Shares {
		lacking += s.Fraction
	}
	return lacking * p.Offered
}

// loadPays reports whether the cost of all that leaves or is not served within
// loadHorizon exceeds the cost of a load.
func loadPays(cfg Config, k Kind, plan Plan) bool {
	if k.LoadTime <= 0 || k.LoadTime >= loadHorizon {
		return false
	}
	perRequest := plan.Excess * k.TimeLeft.Seconds()
	for _, s := range plan.Shares {
		perRequest += s.Fraction * cfg.cost(s.Locality, k.Bytes).Seconds()
	}
	rate := plan.Offered / k.Work.Seconds()
	return rate*perRequest*(loadHorizon-k.LoadTime).Seconds() > (k.LoadTime + k.EvictionLoss).Seconds()
}

// cost returns what leaving the data centre costs a request.
func (c Config) cost(l routing.Locality, bytes float64) time.Duration {
	switch l {
	case routing.SameRegion:
		return c.SameRegionLatency + c.Price(l, bytes)
	case routing.OtherRegion:
		return c.OtherRegionLatency + c.Price(l, bytes)
	default:
		return 0
	}
}

// Price returns the latency that it is worth not to send bytes to a locality.
func (c Config) Price(l routing.Locality, bytes float64) time.Duration {
	const kilobyte = 1024
	switch l {
	case routing.SameRegion:
		return time.Duration(bytes / kilobyte * float64(c.SameRegionPrice))
	case routing.OtherRegion:
		return time.Duration(bytes / kilobyte * float64(c.OtherRegionPrice))
	default:
		return 0
	}
}

// Usable reports whether the figures were recent enough for a plan.
func (p *Plan) Usable() bool { return p.Offered > 0 && p.Age < maxAge }

// load returns the slots that a data centre's callers need to have their new requests and
// the queue served.
func load(k Kind, p *Place) float64 {
	return p.Offered + p.Queued*float64(k.Work)/float64(max(minDrainTime, 2*k.Age, drainWorks*k.Work))
}

// wait returns the expected wait for a slot of a place with an offered load; it is
// k.TimeLeft at most.
func wait(k Kind, offered float64, p *Place) time.Duration {
	if offered >= p.Slots {
		return k.TimeLeft
	}
	return min(waitAt(k, offered/p.Slots, p.SlotsEach), k.TimeLeft)
}

// waitAt returns the expected wait at a utilisation below 1. Gateways don't know what
// others have just sent to an upstream, so the slots of several are not pooled.
func waitAt(k Kind, utilisation, slotsEach float64) time.Duration {
	c := max(slotsEach, 1)
	factor := math.Pow(utilisation, math.Sqrt(2*(c+1))-1) / (c * (1 - utilisation))
	return time.Duration(min(factor*float64(k.Work), float64(k.TimeLeft)))
}

// sendLevel returns the utilisation above which a request had better leave at the given
// cost, lendLevel at least; it is infinite if leaving never pays.
func sendLevel(k Kind, slotsEach float64, cost time.Duration) float64 {
	if cost >= k.TimeLeft {
		return math.Inf(1)
	}
	low, high := lendLevel, 1.0
	for range bisections {
		if mid := (low + high) / 2; waitAt(k, mid, slotsEach) < cost {
			low = mid
		} else {
			high = mid
		}
	}
	return low
}
