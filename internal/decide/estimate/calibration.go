package estimate

import "time"

// SlowdownTracker tells how much slower than usual an upstream is now, from the
// times to first token that its agent measures beside it. It is not safe for
// concurrent use.
type SlowdownTracker struct {
	// usual follows the median of all measurements slowly, recent quickly.
	usual, recent medianTracker
	// prompt follows the median size of a prompt.
	prompt medianTracker
}

// The steps of both medians per measurement. A tenfold slowdown shows in the
// recent one after about six measurements; the usual one moves so little that
// it is about right for the length of a disturbance.
const (
	usualStep  = 0.0125
	recentStep = 0.5
)

// Observe adds the time from the start of service to the first token of a
// request with a prompt of some size in bytes.
func (c *SlowdownTracker) Observe(first time.Duration, prompt int) {
	c.usual.addStep(first.Seconds(), usualStep)
	c.recent.addStep(first.Seconds(), recentStep)
	c.prompt.addStep(float64(prompt), usualStep)
}

// ObserveOverdue adds a wait for a first token that has not come yet. The wait is a
// lower bound of the time to the token, so the recent median becomes at least as
// long and never shorter: counted as a measurement, it would pull the factor of
// a tenfold slowdown down to about three. Raised by steps, it would show a
// tenfold slowdown of an upstream with few requests only after several of them.
// A single slow token counts until a few usual ones have come.
func (c *SlowdownTracker) ObserveOverdue(waited time.Duration, prompt int) {
	c.recent.value = max(c.recent.value, waited.Seconds()/c.length(prompt))
}

// OverdueAfter is how long to wait for a first token before the wait counts as
// overdue, and between further such notes: an upstream that slows down tenfold
// shows it late otherwise. It is zero without measurements.
func (c *SlowdownTracker) OverdueAfter(prompt int) time.Duration {
	return 3 * seconds(c.usual.value*c.length(prompt))
}

// length is how much longer than usual a prompt is, at least 1. The time to the
// first token grows at most as much, so a long prompt is not taken for a slow
// upstream.
func (c *SlowdownTracker) length(prompt int) float64 {
	return max(1, float64(prompt)/max(c.prompt.value, 1))
}

// Factor is by how much to multiply predicted service times, at least 1.
func (c *SlowdownTracker) Factor() float64 {
	// Below twice the usual time, the noise of single measurements prevails.
	const noise = 2
	if c.usual.value <= 0 || c.recent.value < noise*c.usual.value {
		return 1
	}
	return c.recent.value / c.usual.value
}
