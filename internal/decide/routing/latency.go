package routing

import (
	"time"
)

// LatencyConfig governs outlier ejection. Zero values mean the defaults.
type LatencyConfig struct {
	// Smoothing is the weight of a new measurement; default 0.2.
	Smoothing float64
	// MinSamples is how many measurements an upstream needs before it can be
	// ejected; default 5.
	MinSamples int
	// Factor is how many times the median of the peers' latency an upstream
	// must show to be ejected; default 3.
	Factor float64
	// Floor is the excess over the median below which nothing is ejected;
	// default 20 ms.
	Floor time.Duration
	// MaxShare caps the share of the upstreams ejected; default 0.3. One
	// upstream always stays.
	MaxShare float64
	// ProbeAfter is the time from the ejection to the first probe; default
	// 2 s. It doubles with each failed probe up to ProbeMax.
	ProbeAfter time.Duration
	// ProbeMax bounds the time between probes; default 15 s.
	ProbeMax time.Duration
	// ReturnSteps is how many good probes restore the full share; default 4.
	ReturnSteps int
}

// LatencyTracker holds an entry's own measurements of the upstreams that serve
// one replica key. Upstreams are identified by the caller's indices. It is not
// safe for concurrent use.
type LatencyTracker struct{ cfg LatencyConfig }

// NewLatencyTracker returns a tracker without measurements.
func NewLatencyTracker(cfg LatencyConfig) *LatencyTracker { return &LatencyTracker{cfg: cfg} }

// Observe adds a measurement: the time to the first token less the predicted
// queueing, and the mean time between tokens (zero if there was only one).
func (t *LatencyTracker) Observe(now time.Time, upstream int, first, between time.Duration) {}

// Pending notes that a request has waited for its first token for so long
// without an answer. It raises the estimate but never lowers it, so that a
// stopped upstream is noticed before it answers.
func (t *LatencyTracker) Pending(now time.Time, upstream int, waited time.Duration) {}

// First returns the smoothed time to first token; ok is false without
// measurements.
func (t *LatencyTracker) First(upstream int) (latency time.Duration, ok bool) { return 0, false }

// Slowdown returns how many times slower than the median of its peers an
// upstream is, at least 1.
func (t *LatencyTracker) Slowdown(upstream int) float64 { return 1 }

// Ejected reports whether an upstream gets no request now. While it returns,
// an ejected upstream admits a probe when one is due and then a growing share
// of requests; roll is a random number from 0 to 1.
func (t *LatencyTracker) Ejected(now time.Time, upstream int, roll float64) bool { return false }

// Probe notes that a request was sent to an upstream that was out of rotation.
func (t *LatencyTracker) Probe(now time.Time, upstream int) {}

// Forget drops an upstream.
func (t *LatencyTracker) Forget(upstream int) {}
