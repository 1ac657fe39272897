package scaling

import (
	"math"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/defaults"
)

// KeepAliveConfig holds the settings of keep-alive. Zero values mean the
// defaults.
type KeepAliveConfig struct {
	// IdleWeight is the cost of one idle accelerator second; default 1.
	IdleWeight float64
	// ColdStartWeight is the cost of one second of cold start; default 10.
	ColdStartWeight float64
	// Min and Max bound the keep-alive; defaults 2 s and 1 h.
	Min, Max time.Duration
	// MaxWithoutHistory bounds the keep-alive used without history. That is the
	// break-even time, whose idle cost equals the cost of a cold start: whatever
	// the next gap, it costs at most twice as much as the best choice. Default
	// 2 min.
	MaxWithoutHistory time.Duration
	// Hysteresis is the relative saving that a new value must exceed to replace
	// the current one; default 0.1.
	Hysteresis float64
	// HistoryGaps is the total weight of the observed gaps at which each new
	// gap begins to reduce the weight of the older ones; default 200.
	HistoryGaps float64
}

func (c KeepAliveConfig) withDefaults() KeepAliveConfig {
	defaults.Set(&c.IdleWeight, 1)
	defaults.Set(&c.ColdStartWeight, 10)
	defaults.Set(&c.Min, 2*time.Second)
	defaults.Set(&c.Max, time.Hour)
	defaults.Set(&c.MaxWithoutHistory, 2*time.Minute)
	defaults.Set(&c.Hysteresis, 0.1)
	defaults.Set(&c.HistoryGaps, 200)
	return c
}

const (
	// gapBuckets covers gaps of 1 s to about 18 h, two buckets per doubling.
	gapBuckets = 33
	// minGaps is how many gaps must be observed before the keep-alive is
	// derived from them.
	minGaps = 12
)

// KeepAlive derives how long an idle replica stays loaded from the gaps
// between requests. Its size is fixed. It is not safe for concurrent use.
type KeepAlive struct {
	cfg KeepAliveConfig
	// counts and sums hold the number and the total length of the gaps in each
	// bucket, decayed; sums are in seconds.
	counts, sums [gapBuckets]float64
	total        float64
	observed     int
	current      time.Duration
	// decided is set once current has been derived from gaps.
	decided bool
}

// NewKeepAlive returns a keep-alive without history.
func NewKeepAlive(cfg KeepAliveConfig) *KeepAlive {
	cfg = cfg.withDefaults()
	return &KeepAlive{cfg: cfg}
}

// Observe adds a gap: the time from the end of the last request of a replica
// to the next request.
func (k *KeepAlive) Observe(gap time.Duration) {
	if k.total >= k.cfg.HistoryGaps {
		keep := 1 - 1/k.cfg.HistoryGaps
		for i := range k.counts {
			k.counts[i] *= keep
			k.sums[i] *= keep
		}
		k.total *= keep
	}
	at := bucketOf(gap)
	k.counts[at]++
	k.sums[at] += gap.Seconds()
	k.total++
	k.observed++
}

func bucketOf(gap time.Duration) int {
	if gap <= time.Second {
		return 0
	}
	return min(int(2*math.Log2(gap.Seconds()))+1, gapBuckets-1)
}

func bucketEnd(at int) time.Duration {
	return time.Duration(math.Exp2(float64(at)/2) * float64(time.Second))
}

// Value returns how long an idle replica with the given load time stays loaded.
// It is the end of the bucket with the least expected cost, and changes only if
// the change saves more than the hysteresis. Where no observed gap was longer, it
// is at least the value without history.
func (k *KeepAlive) Value(load time.Duration) time.Duration {
	if k.observed < minGaps {
		return k.valueWithoutHistory(load)
	}
	best := k.cfg.Min
	bestCost := k.cost(best, load)
	for at := range gapBuckets {
		candidate := min(max(bucketEnd(at), k.cfg.Min), k.cfg.Max)
		if cost := k.cost(candidate, load); cost < bestCost {
			best, bestCost = candidate, cost
		}
	}
	if !k.decided || bestCost < (1-k.cfg.Hysteresis)*k.cost(k.current, load) {
		k.current, k.decided = best, true
	}
	if k.current >= k.longestGap() {
		// No longer gap has been observed, so the history says nothing about
		// the cost of one.
		return max(k.current, k.valueWithoutHistory(load))
	}
	return k.current
}

// valueWithoutHistory is the keep-alive where no observed gap applies: the
// break-even time within its bounds.
func (k *KeepAlive) valueWithoutHistory(load time.Duration) time.Duration {
	return min(max(k.breakEven(load), k.cfg.Min), k.cfg.MaxWithoutHistory)
}

// longestGap is the mean of the bucket with the longest observed gaps.
func (k *KeepAlive) longestGap() time.Duration {
	for at := gapBuckets - 1; at >= 0; at-- {
		if k.counts[at] > 0 {
			return time.Duration(k.sums[at] / k.counts[at] * float64(time.Second))
		}
	}
	return 0
}

// breakEven is the idle time that costs as much as a cold start.
func (k *KeepAlive) breakEven(load time.Duration) time.Duration {
	return time.Duration(k.cfg.ColdStartWeight / k.cfg.IdleWeight * float64(load))
}

// cost is the expected cost of a keep-alive over the observed gaps: the idle
// time up to its end, and a cold start after each longer gap. One infinite gap
// without a cold start is added, so that of otherwise equal values the shorter
// one is cheaper.
func (k *KeepAlive) cost(keep, load time.Duration) float64 {
	cost := k.cfg.IdleWeight * keep.Seconds()
	for at := range gapBuckets {
		if k.counts[at] == 0 {
			continue
		}
		if k.sums[at]/k.counts[at] <= keep.Seconds() {
			cost += k.cfg.IdleWeight * k.sums[at]
			continue
		}
		cost += k.counts[at] * (k.cfg.IdleWeight*keep.Seconds() + k.cfg.ColdStartWeight*load.Seconds())
	}
	return cost
}
