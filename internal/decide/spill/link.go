package spill

import "time"

const (
	// lostFailures is the number of failures in a row after which a data centre counts as
	// lost to a gateway.
	lostFailures = 3
	// lostHold is for how long nothing is sent to a lost data centre before it is probed.
	lostHold = 5 * time.Second
	// extraHalfLife is the time in which a measured extra latency halves without new
	// samples, so that a link that was slow is tried again.
	extraHalfLife = 5 * time.Second
	// extraWeight is the weight of a new sample of the extra latency.
	extraWeight = 0.25
)

// Link is what a gateway's own requests show of the way to a data centre. The zero value is
// a link that works as usual.
type Link struct {
	extra     time.Duration
	sampledAt time.Time
	failures  int
	failedAt  time.Time
}

// Succeeded records a request that took the given time more than usual.
func (l *Link) Succeeded(extra time.Duration, now time.Time) {
	l.failures = 0
	current := l.decayed(now)
	l.extra = current + time.Duration(extraWeight*float64(max(extra, 0)-current))
	l.sampledAt = now
}

// Failed records a request without an answer.
func (l *Link) Failed(now time.Time) {
	l.failures++
	l.failedAt = now
}

// Reach returns how well the data centre is reached.
func (l *Link) Reach(now time.Time) Reach {
	r := Reach{Extra: l.decayed(now)}
	if l.failures >= lostFailures {
		r.Lost = now.Sub(l.failedAt) < lostHold
		r.Probe = !r.Lost
	}
	return r
}

func (l *Link) decayed(now time.Time) time.Duration {
	halvings := min(max(now.Sub(l.sampledAt), 0)/extraHalfLife, 30)
	return l.extra >> uint(halvings)
}
