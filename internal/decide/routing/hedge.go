package routing

import (
	"time"
)

// HedgeConfig governs hedging. Zero values mean the defaults.
type HedgeConfig struct {
	// Share is the number of hedges per request; default 0.05.
	Share float64
	// Burst is how many hedges may be saved up; default 10.
	Burst float64
	// Factor is how many times the expected first-token time an attempt must
	// have waited; default 2.
	Factor float64
	// Floor is the shortest wait before a hedge; default 50 ms.
	Floor time.Duration
}

// HedgeBudget decides on second attempts for slow requests. It is not safe
// for concurrent use.
type HedgeBudget struct{ cfg HedgeConfig }

// NewHedgeBudget returns a budget that starts empty.
func NewHedgeBudget(cfg HedgeConfig) *HedgeBudget { return &HedgeBudget{cfg: cfg} }

// Request counts a first attempt, which earns a share of a hedge.
func (b *HedgeBudget) Request() {}

// Delay returns how long to wait for a first token, expected to take expected,
// before a hedge.
func (b *HedgeBudget) Delay(expected time.Duration) time.Duration { return 0 }

// Take takes a hedge from the budget. It reports false for work that is not
// repeatable, if the first token has arrived, or if the budget is used up.
func (b *HedgeBudget) Take(repeatable, started bool) bool { return false }
