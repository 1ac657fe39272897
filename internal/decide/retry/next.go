package retry

import "time"

// Step is what becomes of a request after a failed attempt.
type Step uint8

const (
	// Refuse answers the caller with the verdict of the attempt.
	Refuse Step = iota
	// Elsewhere sends the request to a replica that has not failed it.
	Elsewhere
	// Again sends the request, after a backoff, to a replica that has failed it.
	Again
	// AwaitLoad waits until a replica of the request's target is loaded.
	AwaitLoad
)

// String returns the form of s in logs.
func (s Step) String() string {
	switch s {
	case Elsewhere:
		return "elsewhere"
	case Again:
		return "again"
	case AwaitLoad:
		return "await-load"
	default:
		return "refuse"
	}
}

// Replicas counts the replicas of a request's target after a failed attempt. Those that
// can't be reached or don't hold the target any more do not count.
type Replicas struct {
	// Untried have not failed the request and can take it in time.
	Untried int
	// Failed have refused or failed the request and may be asked again.
	Failed int
	// Unfit must not get the request now: they want a pause, have reached their rate limit,
	// or refuse or fail other requests as well.
	Unfit int
}

// Next returns what becomes of a request after a failed attempt. It takes nothing from the
// budget. A load is awaited only if no replica is left at all: while there is one, even one
// that must not get the request now, nothing loads another for it.
func (b *Budget) Next(now time.Time, a Attempt, r Replicas) Step {
	switch {
	case !b.Allows(now, a):
		return Refuse
	case r.Untried > 0:
		return Elsewhere
	case r.Failed > 0:
		return Again
	case r.Unfit > 0:
		return Refuse
	default:
		return AwaitLoad
	}
}
