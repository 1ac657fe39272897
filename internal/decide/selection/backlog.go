package selection

import "time"

// Backlog estimates the work that an upstream still has to do of what others
// have sent to it. It is a leaky bucket: the upstream does a second of work in
// a second. Its zero value is that of an idle upstream.
type Backlog struct {
	work time.Duration
	at   time.Time
}

// maxBacklog bounds what is believed: a wrong word must not keep an upstream
// out of use for long.
const maxBacklog = 4 * time.Second

// Add adds work that was sent at a time.
func (b *Backlog) Add(work time.Duration, now time.Time) {
	b.work = min(b.Remaining(now)+max(work, 0), maxBacklog)
	b.at = now
}

// Remaining returns the work that is left at a time.
func (b *Backlog) Remaining(now time.Time) time.Duration {
	return max(b.work-max(now.Sub(b.at), 0), 0)
}
