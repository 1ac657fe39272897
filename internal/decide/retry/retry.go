// Package retry decides from a verdict whether a request gets a further
// attempt, within a budget and the request's deadline.
package retry

import (
	"math/rand/v2"
	"time"

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
type Budget struct{ cfg Config }

// NewBudget returns a budget with a full burst.
func NewBudget(cfg Config) *Budget { return &Budget{cfg: cfg} }

// Request counts a first attempt, which earns a share of a retry.
func (b *Budget) Request() {}

// Decide returns how long to wait before a further attempt. It reports false,
// and takes nothing from the budget, if there must be none.
func (b *Budget) Decide(now time.Time, rng *rand.Rand, a Attempt) (time.Duration, bool) {
	return 0, false
}
