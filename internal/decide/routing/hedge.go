package routing

import (
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/defaults"
)

// HedgeConfig governs hedging. Zero values mean the defaults.
type HedgeConfig struct {
	// Share is the number of hedges per request; default 0.05.
	Share float64
	// Burst is how many hedges may be saved up; default 10.
	Burst float64
	// Factor is how many times the expected first-token time an attempt must
	// have waited; default 3. With 2, short queues use the budget up before
	// stragglers need it.
	Factor float64
	// Floor is the shortest wait before a hedge; default 50 ms.
	Floor time.Duration
	// MaxSlowdown is the slowdown from which a replica gets no hedge, because
	// it would not answer sooner; default 3.
	MaxSlowdown float64
}

// HedgeBudget decides on second attempts for slow requests. It is not safe
// for concurrent use.
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

// RecordRequest counts a first attempt, which earns a share of a hedge.
func (b *HedgeBudget) RecordRequest() { b.tokens = min(b.tokens+b.cfg.Share, b.cfg.Burst) }

// Delay returns how long to wait for a first token, expected to take expected,
// before a hedge.
func (b *HedgeBudget) Delay(expected time.Duration) time.Duration {
	return max(b.cfg.Floor, time.Duration(b.cfg.Factor*float64(expected)))
}

// WorthSending reports whether a replica whose upstream is believed to be slowdown
// times slower than usual is worth a hedge.
func (b *HedgeBudget) WorthSending(slowdown float64) bool { return slowdown < b.cfg.MaxSlowdown }

// Take takes a hedge from the budget. It reports false for work that is not
// repeatable, if the first token has arrived, or if the budget is used up.
func (b *HedgeBudget) Take(repeatable, started bool) bool {
	// The slack covers the rounding of sums of Share.
	const slack = 1e-9
	if !repeatable || started || b.tokens < 1-slack {
		return false
	}
	b.tokens--
	return true
}
