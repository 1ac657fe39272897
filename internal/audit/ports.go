// Package audit keeps the audit trail of changes and automatic decisions, and
// the exact counts of what each caller's requests came to.
package audit

import (
	"context"

	"github.com/lagoonvalve/lagoonvalve/internal/platform"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// Appender appends records to a stream of the log. The error wraps
// platform.ErrUnavailable if nothing was stored.
type Appender interface {
	Append(ctx context.Context, stream platform.Stream, records ...state.Record) error
}

// Outcome is what a request came to.
type Outcome uint8

// The outcomes.
const (
	// Served means answered in time.
	Served Outcome = iota
	// Late means answered after the deadline.
	Late
	// Refused means ended with a verdict that the work was not run.
	Refused
	// Lost means ended with any other verdict.
	Lost
)

var outcomeNames = [...]string{"served", "late", "refused", "lost"}

// String returns "served", "late", "refused" or "lost".
func (o Outcome) String() string { return outcomeNames[o] }
