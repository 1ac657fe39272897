package estimate

import "time"

// SlowdownTracker estimates how much slower than usual an upstream is now, from the
// times to first token that its agent measures. It is not safe for concurrent use.
type SlowdownTracker struct {
	// usual and recent track the median time to first token, in seconds: usual
	// slowly, recent quickly.
	usual, recent medianTracker
	// prompt tracks the median size of a prompt, in bytes.
	prompt medianTracker
}

// The relative steps of both medians per measurement. A tenfold slowdown shows in the
// recent median after about six measurements. The usual median moves so little that
// it stays about right while a slowdown lasts.
const (
	usualStep  = 0.0125
	recentStep = 0.5
)

// Observe adds the time from the start of service to the first token of a request
// with a prompt of the given size in bytes.
func (c *SlowdownTracker) Observe(first time.Duration, prompt int) {
	c.usual.addStep(first.Seconds(), usualStep)
	c.recent.addStep(first.Seconds(), recentStep)
	c.prompt.addStep(float64(prompt), usualStep)
}

// ObserveOverdue adds the time that a request has waited for a first token that has not
// arrived yet. The wait is a lower bound of the time to first token, so it raises the
// recent median to at least this time and never lowers it: counted as a measurement,
// it would pull the factor of a tenfold slowdown down to about three. It raises the
// median at once: by steps, a tenfold slowdown of an upstream with few requests would
// show only after several of them. The effect of a single slow token lasts until a
// few usual ones have been measured.
func (c *SlowdownTracker) ObserveOverdue(waited time.Duration, prompt int) {
	c.recent.value = max(c.recent.value, waited.Seconds()/c.relativePromptSize(prompt))
}

// OverdueAfter returns how long to wait for a first token before it is reported as
// overdue, and between further reports. Without such reports, a tenfold slowdown would
// show late. It is zero if there are no measurements.
func (c *SlowdownTracker) OverdueAfter(prompt int) time.Duration {
	return 3 * seconds(c.usual.value*c.relativePromptSize(prompt))
}

// relativePromptSize returns the size of a prompt as a multiple of the usual size, at
// least 1. The time to first token grows at most by this factor, so that a long prompt
// is not mistaken for a slow upstream.
func (c *SlowdownTracker) relativePromptSize(prompt int) float64 {
	return max(1, float64(prompt)/max(c.prompt.value, 1))
}

// Factor returns the factor by which predicted service times must be multiplied, at
// least 1.
func (c *SlowdownTracker) Factor() float64 {
	// Below twice the usual time, the noise of single measurements dominates.
	const noise = 2
	if c.usual.value <= 0 || c.recent.value < noise*c.usual.value {
		return 1
	}
	return c.recent.value / c.usual.value
}
