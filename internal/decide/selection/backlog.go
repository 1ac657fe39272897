package selection

import "time"

// Backlog estimates how much of the work that other gateways have sent to an
// upstream is still to be done. It is a leaky bucket: the upstream does one second
// of work per second. The zero value describes an idle upstream.
type Backlog struct {
	work    time.Duration
	updated time.Time
}

// maxBacklog is the upper bound of the estimate: a single wrong report must not keep
// an upstream out of use for long.
const maxBacklog = 4 * time.Second

// Add adds work that was sent at the time now.
func (b *Backlog) Add(work time.Duration, now time.Time) {
	b.work = min(b.Remaining(now)+max(work, 0), maxBacklog)
	b.updated = now
}

// Remaining returns the work that remains at the time now.
func (b *Backlog) Remaining(now time.Time) time.Duration {
	return max(b.work-max(now.Sub(b.updated), 0), 0)
}
