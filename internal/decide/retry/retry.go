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
	// Share is the number of retries that each request adds to the budget;
	// default 0.2.
	Share float64
	// Burst bounds the unused retries that the budget keeps; default 20.
	Burst float64
	// MaxAttempts bounds the attempts of a request; default 4.
	MaxAttempts int
	// BaseDelay is the first backoff; default 20 ms. It doubles per attempt.
	BaseDelay time.Duration
	// RepeatDelay is the first backoff before the request goes to a replica that has
	// failed it; default 200 ms. It doubles with each such repeat.
	RepeatDelay time.Duration
	// MaxDelay bounds the backoff; default 2 s.
	MaxDelay time.Duration
}

func (c Config) withDefaults() Config {
	defaults.Set(&c.Share, 0.2)
	defaults.Set(&c.Burst, 20)
	defaults.Set(&c.MaxAttempts, 4)
	defaults.Set(&c.BaseDelay, 20*time.Millisecond)
	defaults.Set(&c.RepeatDelay, 200*time.Millisecond)
	defaults.Set(&c.MaxDelay, 2*time.Second)
	return c
}

// Attempt describes a failed attempt.
type Attempt struct {
	Verdict *verdict.Verdict
	// Number is the number of attempts made so far, at least 1.
	Number int
	// SameReplica is set if the next attempt goes to a replica that has failed the
	// request. Repeats is how many such attempts there were before.
	SameReplica bool
	Repeats     int
	// Repeatable is set if the work may run more than once.
	Repeatable bool
	// Streamed is set if the caller has received part of the answer.
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

// RecordRequest records the first attempt of a request, which adds Share to the
// budget.
func (b *Budget) RecordRequest() { b.tokens = min(b.tokens+b.cfg.Share, b.cfg.Burst) }

// Decide returns how long to wait before a further attempt. It reports false,
// and takes nothing from the budget, if no further attempt is allowed.
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
	return b.obstacle(now, a) == NoObstacle
}

// transientReasons lists the reasons that may not hold on another upstream or at
// a later time. All others, quarantine among them, are final.
var transientReasons = map[verdict.Reason]bool{
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

// backoff returns a random delay between half and all of the exponential delay,
// but at least the upstream's RetryAfter. The backoff library is not used, since
// it draws from a global random source and Decide must depend on its arguments
// only.
func (b *Budget) backoff(rng *rand.Rand, a Attempt) time.Duration {
	delay, doublings := b.cfg.BaseDelay, a.Number-1
	if a.SameReplica {
		delay, doublings = b.cfg.RepeatDelay, a.Repeats
	}
	for range doublings {
		delay = min(2*delay, b.cfg.MaxDelay)
	}
	wait := delay/2 + time.Duration(rng.Int64N(int64(delay/2)+1))
	return max(wait, a.Verdict.RetryAfter)
}
