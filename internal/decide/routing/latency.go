package routing

import (
	"slices"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/defaults"
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

// upstreamLatency is what an entry measured of one upstream.
type upstreamLatency struct {
	samples int
	// first and between are smoothed, in seconds.
	first, between float64
	// ejected is set while the upstream is out of rotation or returning.
	ejected bool
	// probing is set while a probe is under way.
	probing bool
	// step counts good probes since the ejection.
	step int
	// probeAt is when the next probe is due.
	probeAt time.Time
	// backoff is the time between probes.
	backoff time.Duration
}

// Ejection says by which measure an upstream was ejected.
type Ejection int

// The measures of an ejection.
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
	// changes counts measurements since the medians were computed.
	changes                    int
	medianFirst, medianBetween float64
	// scratch holds values while a median is taken.
	scratch []float64
}

// NewLatencyTracker returns a tracker without measurements.
func NewLatencyTracker(cfg LatencyConfig) *LatencyTracker {
	return &LatencyTracker{cfg: cfg.withDefaults(), upstreams: make(map[int]*upstreamLatency)}
}

// Observe adds a measurement: the time to the first token less the predicted
// queueing, and the mean time between tokens (zero if there was only one). It
// reports whether the upstream was ejected for it.
func (t *LatencyTracker) Observe(now time.Time, upstream int, first, between time.Duration) Ejection {
	u := t.upstreams[upstream]
	if u == nil {
		u = &upstreamLatency{}
		t.upstreams[upstream] = u
	}
	if u.ejected && !u.probing && u.step == 0 {
		// The answer belongs to a request sent before the ejection.
		return NotEjected
	}
	if u.ejected {
		t.observeProbe(now, u, first, between)
		return NotEjected
	}
	u.samples++
	t.changes++
	weight := max(t.cfg.Smoothing, 1/float64(u.samples))
	u.first += weight * (first.Seconds() - u.first)
	if between > 0 {
		if u.between == 0 {
			u.between = between.Seconds()
		}
		u.between += weight * (between.Seconds() - u.between)
	}
	if u.samples < t.cfg.MinSamples || !t.slow(u.first, u.between) || !t.eject(now, u) {
		return NotEjected
	}
	if outlier(u.first, t.medianFirst, t.cfg.Factor, t.cfg.Floor.Seconds()) {
		return EjectedFirstToken
	}
	return EjectedBetweenTokens
}

// ObservePending notes that a request has waited for its first token for so long
// without an answer. It raises the estimate but never lowers it, so that a
// stopped upstream is noticed before it answers.
func (t *LatencyTracker) ObservePending(now time.Time, upstream int, waited time.Duration) Ejection {
	u := t.upstreams[upstream]
	if u == nil || u.ejected || waited.Seconds() <= u.first {
		return NotEjected
	}
	return t.Observe(now, upstream, waited, 0)
}

// slow reports whether the latencies are outliers among the upstreams that are
// in rotation.
func (t *LatencyTracker) slow(first, between float64) bool {
	t.refreshMedians()
	floor := t.cfg.Floor.Seconds()
	if outlier(first, t.medianFirst, t.cfg.Factor, floor) {
		return true
	}
	return outlier(between, t.medianBetween, t.cfg.Factor, floor/4)
}

func outlier(value, median, factor, floor float64) bool {
	return value > 0 && median > 0 && value > factor*median && value > median+floor
}

// refreshMedians computes the medians again once an eighth of the upstreams
// may have changed, so that many upstreams do not make a measurement costly.
func (t *LatencyTracker) refreshMedians() {
	if t.changes <= len(t.upstreams)/8 {
		return
	}
	t.changes = 0
	t.medianFirst = t.median(func(u *upstreamLatency) float64 { return u.first })
	t.medianBetween = t.median(func(u *upstreamLatency) float64 { return u.between })
}

// median returns the lower median, so that of two upstreams the faster one is
// the measure; zero without values.
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

// eject takes an upstream out of rotation unless the cap is reached.
func (t *LatencyTracker) eject(now time.Time, u *upstreamLatency) bool {
	out := 0
	for _, other := range t.upstreams {
		if other.ejected {
			out++
		}
	}
	if out+1 > t.maxEjected() {
		return false
	}
	u.ejected = true
	u.step = 0
	u.backoff = t.cfg.ProbeAfter
	u.probeAt = now.Add(u.backoff)
	return true
}

// maxEjected is the cap on ejected upstreams. It allows none of three or
// fewer; Slowdown steers choices among those.
func (t *LatencyTracker) maxEjected() int {
	n := len(t.upstreams)
	return min(int(t.cfg.MaxShare*float64(n)), n-1)
}

func (t *LatencyTracker) observeProbe(now time.Time, u *upstreamLatency, first, between time.Duration) {
	u.probing = false
	if t.slow(first.Seconds(), between.Seconds()) {
		u.step = 0
		u.backoff = min(2*u.backoff, t.cfg.ProbeMax)
		u.probeAt = now.Add(u.backoff)
		return
	}
	u.step++
	u.backoff = t.cfg.ProbeAfter
	u.probeAt = now
	if u.step < t.cfg.ReturnSteps {
		return
	}
	*u = upstreamLatency{samples: 1, first: first.Seconds(), between: between.Seconds()}
}

// Expected returns the time to first token to expect of an upstream that is not
// a straggler: at most the median of the peers, and the median for an upstream
// without measurements. A straggler's own time would put off the hedge that is
// to make up for it.
func (t *LatencyTracker) Expected(upstream int) (latency time.Duration, ok bool) {
	t.refreshMedians()
	first := t.medianFirst
	ok = first > 0
	if u := t.upstreams[upstream]; u != nil && u.samples > 0 && (!ok || u.first < first) {
		first, ok = u.first, true
	}
	return time.Duration(first * float64(time.Second)), ok
}

// Slowdown returns how many times slower than the median of its peers an
// upstream is, at least 1.
func (t *LatencyTracker) Slowdown(upstream int) float64 {
	u := t.upstreams[upstream]
	if u == nil || u.samples == 0 {
		return 1
	}
	t.refreshMedians()
	slowdown := 1.0
	if t.medianFirst > 0 {
		slowdown = max(slowdown, u.first/t.medianFirst)
	}
	if t.medianBetween > 0 {
		slowdown = max(slowdown, u.between/t.medianBetween)
	}
	return slowdown
}

// Ejected reports whether an upstream gets no request now. While it returns,
// an ejected upstream admits a probe when one is due and then a growing share
// of requests; roll is a random number from 0 to 1.
func (t *LatencyTracker) Ejected(now time.Time, upstream int, roll float64) bool {
	u := t.upstreams[upstream]
	if u == nil || !u.ejected {
		return false
	}
	if now.Before(u.probeAt) {
		return true
	}
	if u.step == 0 {
		return false
	}
	return roll >= float64(u.step)/float64(t.cfg.ReturnSteps)
}

// RecordProbe notes that a request was sent to an upstream that was out of rotation.
func (t *LatencyTracker) RecordProbe(now time.Time, upstream int) {
	u := t.upstreams[upstream]
	if u != nil && u.ejected && u.step == 0 {
		u.probing = true
		// Until the probe answers, the next one waits its turn.
		u.probeAt = now.Add(u.backoff)
	}
}

// Forget drops an upstream.
func (t *LatencyTracker) Forget(upstream int) { delete(t.upstreams, upstream) }
