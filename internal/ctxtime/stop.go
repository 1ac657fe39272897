package ctxtime

import (
	"sync/atomic"
	"time"
)

// StopSchedule divides the last part of a planned stop among its steps. Each
// step ends at a percentage of the time, so that a step that waits for an
// unavailable service leaves time for the steps after it. In the zero value the
// stop has not begun.
type StopSchedule struct{ running atomic.Pointer[stopPeriod] }

type stopPeriod struct {
	began  time.Time
	length time.Duration
}

// Begin marks the beginning of the stop, which takes at most length.
func (s *StopSchedule) Begin(length time.Duration) { s.running.Store(&stopPeriod{time.Now(), length}) }

// DeadlineAt returns the time at which the given percentage of the stop's
// length has passed, or the zero time if the stop has not begun.
func (s *StopSchedule) DeadlineAt(percent time.Duration) time.Time {
	running := s.running.Load()
	if running == nil {
		return time.Time{}
	}
	return running.began.Add(running.length * percent / 100)
}

// EarlierDeadline returns the time d from now, or planned if that is earlier. A
// zero planned time is ignored.
func EarlierDeadline(d time.Duration, planned time.Time) time.Time {
	deadline := time.Now().Add(d)
	if !planned.IsZero() && planned.Before(deadline) {
		return planned
	}
	return deadline
}
