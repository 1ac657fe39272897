package routing

import (
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/defaults"
)

// HedgeConfig holds the settings of hedging. Zero values mean the defaults.
type HedgeConfig struct {
	// Share is how many hedges each request adds to the budget; default 0.05.
	Share float64
	// Burst is how many hedges may be saved up; default 10.
	Burst float64
	// Factor is the wait before a hedge as a multiple of the expected time to
	// first token; default 3. With 2, attempts delayed by short queues use up
	// the budget before stragglers need it.
	Factor float64
	// Floor is the shortest wait before a hedge; default 50 ms.
	Floor time.Duration
	// MaxSlowdown is the slowdown from which no hedge is sent to a replica,
	// because it would not answer sooner; default 3.
	MaxSlowdown float64
}

// HedgeBudget limits hedges, second attempts of slow requests, with a token
// bucket. It is not safe for concurrent use.
type HedgeBudget struct {
	cfg    HedgeConfig
	tokens float64
}

// NewHedgeBudget returns a budget that starts empty.
func NewHedgeBudget(cfg HedgeConfig) *HedgeBudget {
	defaults.Set(&cfg.Share, 0.05)
	defaults.Set(&cfg.Burst, 10)
	defaults.Set(&cfg.Factor, 3)
	defaults.Set(&cfg.Floor, 50*time.Millisecond)
	defaults.Set(&cfg.MaxSlowdown, 3)
	return &HedgeBudget{cfg: cfg}
}

// RecordRequest records a first attempt, which adds Share to the budget.
func (b *HedgeBudget) RecordRequest() { b.tokens = min(b.tokens+b.cfg.Share, b.cfg.Burst) }

// Delay returns how long to wait for a first token before a hedge, where
// expected is the expected time to first token.
func (b *HedgeBudget) Delay(expected time.Duration) time.Duration {
	return max(b.cfg.Floor, time.Duration(b.cfg.Factor*float64(expected)))
}

// WorthSending reports whether a hedge is worth sending to a replica whose
// upstream is estimated to be slowdown times slower than usual.
func (b *HedgeBudget) WorthSending(slowdown float64) bool { return slowdown < b.cfg.MaxSlowdown }

// Take takes a hedge from the budget. It takes nothing and returns false if the
// request is not repeatable, if its first token has arrived (started), or if the
// budget is used up.
func (b *HedgeBudget) Take(repeatable, started bool) bool {
	// The slack covers rounding errors in sums of Share.
	const slack = 1e-9
	if !repeatable || started || b.tokens < 1-slack {
		return false
	}
	b.tokens--
	return true
}
