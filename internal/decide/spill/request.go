package spill

import (
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/decide/routing"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// Action is what becomes of a request.
type Action uint8

// The actions.
const (
	// Stay keeps the request in its data centre.
	Stay Action = iota
	// SameRegion and OtherRegion send it to another data centre.
	SameRegion
	OtherRegion
	// LoadHere keeps it until a further replica is loaded here.
	LoadHere
	// RefuseNow refuses it, since it would not be served in time.
	RefuseNow
)

// String returns the action as in metrics and logs.
func (a Action) String() string {
	switch a {
	case Stay:
		return "stay"
	case SameRegion:
		return "same_region"
	case OtherRegion:
		return "other_region"
	case LoadHere:
		return "load_here"
	case RefuseNow:
		return "refuse_now"
	default:
		return "unknown"
	}
}

// Reason is why a request stays or leaves.
type Reason uint8

// The reasons.
const (
	// WithinCapacity: the request belongs to the share that the data centre serves itself.
	WithinCapacity Reason = iota
	// Overload: it belongs to a share that goes elsewhere.
	Overload
	// Price, Cached and TimeLeft: it belongs to such a share, but stays since its bytes are
	// worth more than the wait, its prompt is cached here, or it has too little time left.
	Price
	Cached
	TimeLeft
	// NoRoom: neither the data centre nor another one has room for it.
	NoRoom
)

// String returns the reason as in metrics and logs.
func (r Reason) String() string {
	switch r {
	case WithinCapacity:
		return "within_capacity"
	case Overload:
		return "overload"
	case Price:
		return "price"
	case Cached:
		return "cached_here"
	case TimeLeft:
		return "time_left"
	case NoRoom:
		return "no_room"
	default:
		return "unknown"
	}
}

// Request is what matters of a single request.
type Request struct {
	// TimeLeft is the time until its caller needs the answer.
	TimeLeft time.Duration
	// Work is its expected time at an upstream.
	Work time.Duration
	// Bytes is the expected size of request and response.
	Bytes float64
	// Overtakes means that upstreams may serve it before others that wait.
	Overtakes bool
	// CachedWork is the prefill time that prompt parts cached at home save, beyond what
	// those cached elsewhere would save there.
	CachedWork time.Duration
}

// Decision is what becomes of a request, and why.
type Decision struct {
	Action Action
	Reason Reason
	// To is the data centre that it is sent to, empty unless it leaves.
	To state.DataCentre
	// Wait is the expected wait of a request that stays, Cost what leaving costs.
	Wait, Cost time.Duration
	// RetryAfter is set with RefuseNow if it is certain that no data centre serves the
	// request in time: it is the time after which it may come again. Without it the request
	// belongs to the excess, but might be served in place of another one.
	RetryAfter time.Duration
}

// Decide returns what becomes of a request. Of all requests, each with a draw from [0, 1),
// the shares of the plan leave. It allocates nothing.
func (p *Plan) Decide(r Request, draw float64) Decision {
	d := Decision{Wait: min(p.homeWait, r.TimeLeft)}
	for i := range p.Shares {
		s := &p.Shares[i]
		if draw >= s.Fraction {
			draw -= s.Fraction
			continue
		}
		d.Cost = p.cfg.cost(s.Locality, r.Bytes)
		switch {
		case r.Work+p.cfg.cost(s.Locality, 0) >= r.TimeLeft:
			d.Reason = TimeLeft
		case d.Cost >= d.Wait:
			d.Reason = Price
		case d.Cost+r.CachedWork >= d.Wait:
			d.Reason = Cached
		default:
			d.Action, d.Reason, d.To = SameRegion, Overload, s.DataCentre
			if s.Locality == routing.OtherRegion {
				d.Action = OtherRegion
			}
		}
		return d
	}
	if draw < p.Excess {
		d.Action, d.Reason = RefuseNow, NoRoom
		switch {
		case draw < p.unservable.share && r.TimeLeft <= p.unservable.timeLeft && !r.Overtakes:
			d.RetryAfter = p.unservable.retryAfter(draw / p.unservable.share)
		case p.LoadHere:
			d.Action = LoadHere
		}
	}
	return d
}
