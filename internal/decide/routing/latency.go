package routing

import (
	"slices"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/defaults"
)

// LatencyConfig holds the settings of outlier ejection. Zero values mean the
// defaults.
type LatencyConfig struct {
	// Smoothing is the weight of a new measurement in the moving averages;
	// default 0.2.
	Smoothing float64
	// MinSamples is how many measurements an upstream needs before it can be
	// ejected; default 5.
	MinSamples int
	// Factor is the multiple of the median latency of the upstreams in rotation
	// above which an upstream is ejected; default 3.
	Factor float64
	// Floor is the excess over the median up to which no upstream is ejected;
	// default 20 ms. For the time between tokens a quarter of it applies.
	Floor time.Duration
	// MaxShare is the largest fraction of the upstreams that may be ejected at
	// the same time; default 0.3. At least one upstream stays in rotation.
	MaxShare float64
	// ProbeAfter is the time from the ejection to the first probe; default
	// 2 s. It doubles with each failed probe up to ProbeMax.
	ProbeAfter time.Duration
	// ProbeMax bounds the time between probes; default 15 s.
	ProbeMax time.Duration
	// ReturnSteps is how many successful probes bring an upstream back to its
	// full share of requests; default 4.
	ReturnSteps int
}

func (c LatencyConfig) withDefaults() LatencyConfig {
	defaults.Set(&c.Smoothing, 0.2)
	defaults.Set(&c.MinSamples, 5)
	defaults.Set(&c.Factor, 3)
	defaults.Set(&c.Floor, 20*time.Millisecond)
	defaults.Set(&c.MaxShare, 0.3)
	defaults.Set(&c.ProbeAfter, 2*time.Second)
	defaults.Set(&c.ProbeMax, 15*time.Second)
	defaults.Set(&c.ReturnSteps, 4)
	return c
}

// upstreamLatency holds an entry's measurements of one upstream and the state of
// its ejection.
type upstreamLatency struct {
	samples int
	// firstToken and betweenTokens are moving averages of the time to first
	// token and of the time between tokens, in seconds.
	firstToken, betweenTokens float64
	// ejected is set while the upstream is out of rotation or gets only a part
	// of its requests after successful probes.
	ejected bool
	// probing is set while a probe is under way.
	probing bool
	// goodProbes counts successful probes since the ejection or the last failed
	// probe.
	goodProbes int
	// probeAt is when the next probe is due.
	probeAt time.Time
	// backoff is the time between probes.
	backoff time.Duration
}

// Ejection is the latency by which an upstream was ejected, if it was.
type Ejection int

// The values of Ejection.
const (
	NotEjected Ejection = iota
	EjectedFirstToken
	EjectedBetweenTokens
)

// LatencyTracker holds an entry's own measurements of the upstreams that serve
// one replica key. Upstreams are identified by the caller's indices. It is not
// safe for concurrent use.
type LatencyTracker struct {
	cfg       LatencyConfig
	upstreams map[int]*upstreamLatency
	// sinceMedians counts the measurements since the medians were computed.
	sinceMedians                          int
	medianFirstToken, medianBetweenTokens float64
	// scratch is the reused buffer for computing a median.
	scratch []float64
}

// NewLatencyTracker returns a tracker without measurements.
func NewLatencyTracker(cfg LatencyConfig) *LatencyTracker {
	return &LatencyTracker{cfg: cfg.withDefaults(), upstreams: make(map[int]*upstreamLatency)}
}

// Observe records a measurement: the time to first token less the predicted
// queueing time, and the mean time between tokens (zero if there was only one).
// It returns whether and by which latency the upstream was ejected now.
func (t *LatencyTracker) Observe(now time.Time, upstream int, first, between time.Duration) Ejection {
	u := t.upstreams[upstream]
	if u == nil {
		u = &upstreamLatency{}
		t.upstreams[upstream] = u
	}
	if u.ejected && !u.probing && u.goodProbes == 0 {
		// The answer belongs to a request sent before the ejection, not to a
		// probe.
		return NotEjected
	}
	if u.ejected {
		t.observeProbe(now, u, first, between)
		return NotEjected
	}
	u.samples++
	t.sinceMedians++
	weight := max(t.cfg.Smoothing, 1/float64(u.samples))
	u.firstToken += weight * (first.Seconds() - u.firstToken)
	if between > 0 {
		if u.betweenTokens == 0 {
			u.betweenTokens = between.Seconds()
		}
		u.betweenTokens += weight * (between.Seconds() - u.betweenTokens)
	}
	if u.samples < t.cfg.MinSamples || !t.isOutlier(u.firstToken, u.betweenTokens) || !t.eject(now, u) {
		return NotEjected
	}
	if outlier(u.firstToken, t.medianFirstToken, t.cfg.Factor, t.cfg.Floor.Seconds()) {
		return EjectedFirstToken
	}
	return EjectedBetweenTokens
}

// ObservePending records that a request has waited for its first token for the
// given time without an answer. It raises the average but never lowers it, so
// that an upstream that has stopped is ejected before it answers.
func (t *LatencyTracker) ObservePending(now time.Time, upstream int, waited time.Duration) Ejection {
	u := t.upstreams[upstream]
	if u == nil || u.ejected || waited.Seconds() <= u.firstToken {
		return NotEjected
	}
	return t.Observe(now, upstream, waited, 0)
}

// isOutlier reports whether one of the latencies is an outlier among the
// upstreams in rotation.
func (t *LatencyTracker) isOutlier(first, between float64) bool {
	t.refreshMedians()
	floor := t.cfg.Floor.Seconds()
	if outlier(first, t.medianFirstToken, t.cfg.Factor, floor) {
		return true
	}
	return outlier(between, t.medianBetweenTokens, t.cfg.Factor, floor/4)
}

func outlier(value, median, factor, floor float64) bool {
	return value > 0 && median > 0 && value > factor*median && value > median+floor
}

// refreshMedians recomputes the medians once there are more new measurements
// than an eighth of the upstreams, so that the cost of a measurement stays low
// with many upstreams.
func (t *LatencyTracker) refreshMedians() {
	if t.sinceMedians <= len(t.upstreams)/8 {
		return
	}
	t.sinceMedians = 0
	t.medianFirstToken = t.median(func(u *upstreamLatency) float64 { return u.firstToken })
	t.medianBetweenTokens = t.median(func(u *upstreamLatency) float64 { return u.betweenTokens })
}

// median returns the lower median, so that two upstreams are compared with the
// faster one; zero without values.
func (t *LatencyTracker) median(value func(*upstreamLatency) float64) float64 {
	t.scratch = t.scratch[:0]
	for _, u := range t.upstreams {
		if !u.ejected && value(u) > 0 {
			t.scratch = append(t.scratch, value(u))
		}
	}
	if len(t.scratch) == 0 {
		return 0
	}
	slices.Sort(t.scratch)
	return t.scratch[(len(t.scratch)-1)/2]
}

// eject takes an upstream out of rotation and returns true unless the largest
// number of ejected upstreams is reached.
func (t *LatencyTracker) eject(now time.Time, u *upstreamLatency) bool {
	count := 0
	for _, other := range t.upstreams {
		if other.ejected {
			count++
		}
	}
	if count+1 > t.maxEjected() {
		return false
	}
	u.ejected = true
	u.goodProbes = 0
	u.backoff = t.cfg.ProbeAfter
	u.probeAt = now.Add(u.backoff)
	return true
}

// maxEjected returns the largest number of ejected upstreams. With the default
// MaxShare it is zero for three or fewer upstreams; among those, only Slowdown
// influences the choice.
func (t *LatencyTracker) maxEjected() int {
	n := len(t.upstreams)
	return min(int(t.cfg.MaxShare*float64(n)), n-1)
}

func (t *LatencyTracker) observeProbe(now time.Time, u *upstreamLatency, first, between time.Duration) {
	u.probing = false
	if t.isOutlier(first.Seconds(), between.Seconds()) {
		u.goodProbes = 0
		u.backoff = min(2*u.backoff, t.cfg.ProbeMax)
		u.probeAt = now.Add(u.backoff)
		return
	}
	u.goodProbes++
	u.backoff = t.cfg.ProbeAfter
	u.probeAt = now
	if u.goodProbes < t.cfg.ReturnSteps {
		return
	}
	*u = upstreamLatency{samples: 1, firstToken: first.Seconds(), betweenTokens: between.Seconds()}
}

// Expected returns the time to first token to be expected of an upstream if it
// is not a straggler: its own average, but at most the median of the upstreams in
// rotation, and the median if it has no measurements. A straggler's own average
// would delay the hedge that is meant to compensate for it.
func (t *LatencyTracker) Expected(upstream int) (latency time.Duration, ok bool) {
	t.refreshMedians()
	first := t.medianFirstToken
	ok = first > 0
	if u := t.upstreams[upstream]; u != nil && u.samples > 0 && (!ok || u.firstToken < first) {
		first, ok = u.firstToken, true
	}
	return time.Duration(first * float64(time.Second)), ok
}

// Slowdown returns how many times slower an upstream is than the median of the
// upstreams in rotation, at least 1.
func (t *LatencyTracker) Slowdown(upstream int) float64 {
	u := t.upstreams[upstream]
	if u == nil || u.samples == 0 {
		return 1
	}
	t.refreshMedians()
	slowdown := 1.0
	if t.medianFirstToken > 0 {
		slowdown = max(slowdown, u.firstToken/t.medianFirstToken)
	}
	if t.medianBetweenTokens > 0 {
		slowdown = max(slowdown, u.betweenTokens/t.medianBetweenTokens)
	}
	return slowdown
}

// Ejected reports whether an upstream must not get this request. An ejected
// upstream accepts a probe when one is due, and after successful probes a growing
// share of requests; roll is a random number from 0 to 1 that decides on these.
func (t *LatencyTracker) Ejected(now time.Time, upstream int, roll float64) bool {
	u := t.upstreams[upstream]
	if u == nil || !u.ejected {
		return false
	}
	if now.Before(u.probeAt) {
		return true
	}
	if u.goodProbes == 0 {
		return false
	}
	return roll >= float64(u.goodProbes)/float64(t.cfg.ReturnSteps)
}

// RecordProbe records that a request was sent to an upstream. If the upstream is
// ejected and has no successful probe yet, the request is its probe.
func (t *LatencyTracker) RecordProbe(now time.Time, upstream int) {
	u := t.upstreams[upstream]
	if u != nil && u.ejected && u.goodProbes == 0 {
		u.probing = true
		// If the probe is not answered, the next one is due after the backoff.
		u.probeAt = now.Add(u.backoff)
	}
}

// Forget removes an upstream and its measurements.
func (t *LatencyTracker) Forget(upstream int) { delete(t.upstreams, upstream) }
