// Package retry decides from a verdict whether a request gets a further
// attempt, within a budget and the request's deadline.
package retry

import (
	"math/rand/v2"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/defaults"
	"github.com/lagoonvalve/lagoonvalve/internal/verdict"
)

// Config holds the settings of a retry budget. Zero values mean the defaults.
type Config struct {
	// Share is the number of retries per request; default 0.2.
	Share float64
	// Burst is how many retries may be saved up; default 20.
	Burst float64
	// MaxAttempts bounds the attempts of a request; default 4.
	MaxAttempts int
	// BaseDelay is the first backoff; default 20 ms. It doubles per attempt.
	BaseDelay time.Duration
	// MaxDelay bounds the backoff; default 2 s.
	MaxDelay time.Duration
}

func (c Config) withDefaults() Config {
	defaults.Set(&c.Share, 0.2)
	defaults.Set(&c.Burst, 20)
	defaults.Set(&c.MaxAttempts, 4)
	defaults.Set(&c.BaseDelay, 20*time.Millisecond)
	defaults.Set(&c.MaxDelay, 2*time.Second)
	return c
}

// Attempt describes a failed attempt.
type Attempt struct {
	Verdict *verdict.Verdict
	// Number of attempts made so far, at least 1.
	Number int
	// Repeatable says that the work may run more than once.
	Repeatable bool
	// Streamed says that the caller has received part of the answer.
	Streamed bool
	Deadline time.Time
	// Cost is the predicted service time of a further attempt.
	Cost time.Duration
}

// Budget limits retries to a share of the traffic. It is not safe for
// concurrent use.
type Budget struct {
	cfg    Config
	tokens float64
}

// NewBudget returns a budget with a full burst.
func NewBudget(cfg Config) *Budget {
	cfg = cfg.withDefaults()
	return &Budget{cfg: cfg, tokens: cfg.Burst}
}

// RecordRequest counts a first attempt, which earns a share of a retry.
func (b *Budget) RecordRequest() { b.tokens = min(b.tokens+b.cfg.Share, b.cfg.Burst) }

// Decide returns how long to wait before a further attempt. It reports false,
// and takes nothing from the budget, if there must be none.
func (b *Budget) Decide(now time.Time, rng *rand.Rand, a Attempt) (time.Duration, bool) {
	if !b.Allows(now, a) {
		return 0, false
	}
	wait := b.backoff(rng, a)
	if !now.Add(wait + a.Cost).Before(a.Deadline) {
		return 0, false
	}
	b.tokens--
	return wait, true
}

// Allows reports whether a further attempt could be made now, apart from its
// delay. It takes nothing from the budget.
func (b *Budget) Allows(now time.Time, a Attempt) bool {
	return permits(a) && a.Number < b.cfg.MaxAttempts && b.tokens >= 1 && now.Add(a.Cost).Before(a.Deadline)
}

// permits reports whether the verdict allows a further attempt.
func permits(a Attempt) bool {
	if a.Streamed || a.Verdict == nil || !transient[a.Verdict.Reason] {
		return false
	}
	switch a.Verdict.Execution {
	case verdict.NotRun:
		return true
	case verdict.MayHaveRun:
		return a.Repeatable
	default:
		return false
	}
}

// transient lists the reasons that another upstream or a later moment may
// remove. All others, quarantine among them, are final.
var transient = map[verdict.Reason]bool{
	verdict.ReasonQueueFull:       true,
	verdict.ReasonShed:            true,
	verdict.ReasonNoReplica:       true,
	verdict.ReasonNoCapacity:      true,
	verdict.ReasonDraining:        true,
	verdict.ReasonNotReady:        true,
	verdict.ReasonUpstreamFailed:  true,
	verdict.ReasonUpstreamCrashed: true,
	verdict.ReasonStreamCut:       true,
	verdict.ReasonLoadFailed:      true,
	verdict.ReasonUnknownOutcome:  true,
	verdict.ReasonDeadlineUnmet:   true,
}

// backoff draws between half and all of the exponential delay, and waits at
// least as long as the upstream asked. The backoff library draws from a global
// random source, which a pure decision must not.
func (b *Budget) backoff(rng *rand.Rand, a Attempt) time.Duration {
	delay := b.cfg.BaseDelay
	for range a.Number - 1 {
		delay = min(2*delay, b.cfg.MaxDelay)
	}
	wait := delay/2 + time.Duration(rng.Int64N(int64(delay/2)+1))
	return max(wait, a.Verdict.RetryAfter)
}
