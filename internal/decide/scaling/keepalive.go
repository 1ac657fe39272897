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
	// Start bounds the keep-alive without history, which is the time whose
	// idle cost equals that of a cold start: whatever the next gap, that costs
	// at most twice the best choice. Default 2 min.
	Start time.Duration
	// Hysteresis is the relative gain that a new value must bring; default
	// 0.1.
	Hysteresis float64
	// Memory is how many gaps a history counts for; default 200.
	Memory float64
}

func (c KeepAliveConfig) withDefaults() KeepAliveConfig {
	defaults.Set(&c.IdleWeight, 1)
	defaults.Set(&c.ColdStartWeight, 10)
	defaults.Set(&c.Min, 2*time.Second)
	defaults.Set(&c.Max, time.Hour)
	defaults.Set(&c.Start, 2*time.Minute)
	defaults.Set(&c.Hysteresis, 0.1)
	defaults.Set(&c.Memory, 200)
	return c
}

const (
	// gapBuckets covers gaps of 1 s to about 18 h, two buckets per doubling.
	gapBuckets = 33
	// minGaps is how many gaps must be known before they decide.
	minGaps = 12
)

// KeepAlive derives how long an idle replica stays loaded from the gaps
// between requests. Its size is fixed. It is not safe for concurrent use.
type KeepAlive struct {
	cfg KeepAliveConfig
	// counts and sums hold the decayed gaps by bucket, sums in seconds.
	counts, sums [gapBuckets]float64
	total        float64
	seen         int
	current      time.Duration
	// decided is set once current rests on gaps.
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
	if k.total >= k.cfg.Memory {
		keep := 1 - 1/k.cfg.Memory
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
	k.seen++
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

// Value returns how long an idle replica with the given load time stays. It is
// the end of a bucket of gaps with the least expected cost, and changes only if
// that saves more than the hysteresis. Where no gap was longer, it is at least the
// value without history.
func (k *KeepAlive) Value(load time.Duration) time.Duration {
	if k.seen < minGaps {
		return k.untold(load)
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
	if k.current >= k.longest() {
		// No gap has been longer, so the gaps do not tell what a longer one
		// costs, as before there is a history.
		return max(k.current, k.untold(load))
	}
	return k.current
}

// untold is the keep-alive where gaps decide nothing.
func (k *KeepAlive) untold(load time.Duration) time.Duration {
	return min(max(k.breakEven(load), k.cfg.Min), k.cfg.Start)
}

// longest is the mean of the bucket with the longest gaps known.
func (k *KeepAlive) longest() time.Duration {
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

// cost is the expected cost per gap of a keep-alive: the idle time up to its
// end, and a cold start after each longer gap. One endless gap is added to the
// history, so that of equal values the shorter one is cheaper.
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
