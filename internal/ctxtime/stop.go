package ctxtime

import (
	"sync/atomic"
	"time"
)

// Stop is the time of the last part of a planned stop. Its steps end at shares
// of it, so that a step that waits for a service that is away leaves time to
// the steps after it. The zero value is a stop that has not begun.
type Stop struct{ running atomic.Pointer[span] }

type span struct {
	began  time.Time
	length time.Duration
}

// Begin begins the stop, which takes at most length.
func (s *Stop) Begin(length time.Duration) { s.running.Store(&span{time.Now(), length}) }

// At returns the end of a share of the stop in percent, or the zero time before
// it has begun.
func (s *Stop) At(percent time.Duration) time.Time {
	running := s.running.Load()
	if running == nil {
		return time.Time{}
	}
	return running.began.Add(running.length * percent / 100)
}

// Within returns the end of a time from now, or planned if that is earlier; a
// zero planned time is none.
func Within(d time.Duration, planned time.Time) time.Time {
	by := time.Now().Add(d)
	if !planned.IsZero() && planned.Before(by) {
		return planned
	}
	return by
}
