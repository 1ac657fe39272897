package ctxtime

import "time"

// Stop is the time of the last part of a planned stop. Its steps end at shares
// of it, so that a step that waits for a service that is away leaves time to
// the steps after it.
type Stop struct {
	began  time.Time
	length time.Duration
}

// NewStop returns the stop that begins now and takes at most length.
func NewStop(length time.Duration) Stop { return Stop{began: time.Now(), length: length} }

// At returns the end of a share of the stop in percent.
func (s Stop) At(percent time.Duration) time.Time {
	return s.began.Add(s.length * percent / 100)
}
