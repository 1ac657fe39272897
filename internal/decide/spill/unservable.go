package spill

import (
	"math"
	"time"
)

const (
	// certainAge is the age up to which figures are recent enough to refuse a request by
	// them: those of a controller in office are at most 2 s old.
	certainAge = 3 * time.Second
	// queueFactor is how many requests have to be open for each slot of a data centre, so
	// that a request there waits for at least as long as it then needs.
	queueFactor = 2
	// lateShare is the share of its time left that requests must have taken lately for one to
	// be too late. Their mean stays below the time that callers have, since these leave then.
	lateShare = 0.9
	// minRetryAfter is the time between two plans: a request that comes again sooner meets
	// the same figures. maxRetryAfter bounds what a wrong figure can do.
	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
)

// unservable is what of the demand of a data centre is certainly not served in time anywhere.
type unservable struct {
	// timeLeft is the time left up to which a request is too late, and share the fraction of
	// the demand that exceeds the capacity; both are zero if one may have room.
	timeLeft time.Duration
	share    float64
	// drainTime is how long the queues need to drain, at least.
	drainTime time.Duration
}

// findUnservable requires that every data centre has a queue: requests that ended there lately
// took as long as one that is sent now will. Missing figures are no queue.
func findUnservable(k Kind, self *Place, places []Place) unservable {
	if k.Age > certainAge || k.MayLoad {
		return unservable{}
	}
	waiting := math.Inf(1)
	for i := range places {
		p := &places[i]
		switch {
		case p.AllSlots <= 0:
		case p.Open < queueFactor*p.AllSlots:
			return unservable{}
		default:
			waiting = min(waiting, 1-p.AllSlots/p.Open)
		}
	}
	if math.IsInf(waiting, 1) {
		return unservable{}
	}
	return unservable{
		timeLeft: time.Duration(float64(k.Took) / lateShare), share: beyondCapacity(k, self),
		// Of the time at an upstream, the share of the open requests that don't run is waiting.
		drainTime: time.Duration(waiting * float64(k.Took)),
	}
}

// beyondCapacity returns the fraction of the demand of a data centre that all its slots
// would not serve if each request needed the least work. The work measured in an overload
// includes waiting: a share by that would leave slots idle, and swing.
func beyondCapacity(k Kind, self *Place) float64 {
	offered := self.Offered * float64(k.LeastWork) / float64(k.Work)
	if offered <= 0 {
		return 0
	}
	k.Work = k.LeastWork
	needed := load(k, &Place{Offered: offered, Queued: max(self.Open-offered, 0)})
	return min(max(needed-self.AllSlots, 0)/offered, 1)
}

// retryAfter returns when a refused request may come again: once the queues of now have
// drained. Spread, from 0 to 1, keeps those that are refused together from coming together.
func (u *unservable) retryAfter(spread float64) time.Duration {
	return min(time.Duration((1+spread)*float64(max(u.drainTime, minRetryAfter))), maxRetryAfter)
}
