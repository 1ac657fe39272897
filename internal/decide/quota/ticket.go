package quota

import (
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// Result is how a request for tokens ended.
type Result uint8

// The results.
const (
	// Admitted means that the request has its tokens.
	Admitted Result = iota
	// Exhausted means that the team has used its quota.
	Exhausted
	// NoController means that no controller could be asked.
	NoController
)

// String returns the name of the result in logs and metrics.
func (r Result) String() string { return [...]string{"admitted", "exhausted", "no_controller"}[r] }

// Outcome is the end of a request for tokens.
type Outcome struct {
	Result Result
	// Delay is the time after which an admitted request may go on, if that is not after
	// ValidUntil. It is zero for a request that may go on at once.
	Delay      time.Duration
	ValidUntil time.Time
	// RetryAfter is when a refused request may come again.
	RetryAfter time.Duration
}

// Ticket is a request of a gateway for tokens.
type Ticket struct {
	Team state.TeamName
	Cost float64
	// Done receives the outcome.
	Done chan Outcome

	latest time.Time
	from   origin
	// standing says that the tokens are of the standing share.
	standing bool
	// settled is set once the outcome was sent or the ticket was cancelled.
	settled bool
}

func (t *Ticket) settle(o Outcome) {
	if !t.settled {
		t.settled = true
		t.Done <- o
	}
}
