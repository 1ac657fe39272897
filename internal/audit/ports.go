// Package audit keeps the audit trail of changes and automatic decisions, and
// the exact counts of what each caller's requests came to.
package audit

import (
	"context"

	"github.com/go-faster/errors"

	"github.com/lagoonvalve/lagoonvalve/internal/platform"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
	"github.com/lagoonvalve/lagoonvalve/internal/verdict"
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

// MarshalText implements encoding.TextMarshaler.
func (o Outcome) MarshalText() ([]byte, error) { return []byte(o.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (o *Outcome) UnmarshalText(text []byte) error {
	for i, name := range outcomeNames {
		if name == string(text) {
			*o = Outcome(i)
			return nil
		}
	}
	return errors.Errorf("unknown outcome %q", text)
}

// OutcomeOf tells what a request came to that ended with v; nil means that it
// was answered. Late says that the end was after the deadline.
func OutcomeOf(v *verdict.Verdict, late bool) (Outcome, verdict.Reason) {
	switch {
	case v == nil && late:
		return Late, verdict.ReasonOK
	case v == nil:
		return Served, verdict.ReasonOK
	case v.Execution == verdict.NotRun:
		return Refused, v.Reason
	default:
		return Lost, v.Reason
	}
}
