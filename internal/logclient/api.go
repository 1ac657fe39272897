// Package logclient makes the platform's log usable for many records and many
// readers: appends in batches within a budget, appends of unknown outcome
// resolved, reading without gaps or steps back, relaying to other processes,
// and snapshots.
package logclient

import (
	"context"
	"fmt"
	"time"

	"github.com/go-faster/errors"

	"github.com/lagoonvalve/lagoonvalve/internal/platform"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// Appender appends records and returns their offsets, which are consecutive.
// The error wraps platform.ErrUnavailable if nothing was stored and nothing
// will be, platform.ErrUnknownOutcome if that is not known, and
// platform.ErrRejected or *BufferFullError if the records were refused.
type Appender interface {
	Append(ctx context.Context, stream platform.Stream, records ...state.Record) ([]state.Offset, error)
}

// BufferFullError refuses records because too many wait to be appended.
// Nothing was stored. It wraps platform.ErrUnavailable.
type BufferFullError struct {
	Stream   platform.Stream
	Buffered int
	Limit    int
}

// Error implements error.
func (e *BufferFullError) Error() string {
	return fmt.Sprintf("append buffer full: %d records wait, limit %d", e.Buffered, e.Limit)
}

// Unwrap returns platform.ErrUnavailable.
func (e *BufferFullError) Unwrap() error { return platform.ErrUnavailable }

// TruncatedError ends a Tail whose next offset is older than the log's
// retention. The caller loads a snapshot and tails from after its covered
// offset. It wraps platform.ErrTruncated.
type TruncatedError struct {
	Stream platform.Stream
	// From is the offset that was to be read next.
	From state.Offset
	// Oldest and End bound what the log has.
	Oldest state.Offset
	End    state.Offset
}

// Error implements error.
func (e *TruncatedError) Error() string {
	return fmt.Sprintf("records from %d on are lost; the oldest kept is %d", e.From, e.Oldest)
}

// Unwrap returns platform.ErrTruncated.
func (e *TruncatedError) Unwrap() error { return platform.ErrTruncated }

// EventKind is what a Tail noticed.
type EventKind string

// The kinds of events.
const (
	// EventGap is a page that starts beyond the offset asked for. It is not
	// handled; the read is repeated.
	EventGap EventKind = "gap"
	// EventStale is a page that ends before the offset asked for, such as one
	// from a relay that lags. It is not handled.
	EventStale EventKind = "stale"
	// EventDisordered is a page whose records do not ascend within its
	// bounds. It is not handled.
	EventDisordered EventKind = "disordered"
	// EventUnavailable is a failed read; it is repeated after a backoff.
	EventUnavailable EventKind = "unavailable"
)

// Event is something unusual that a Tail noticed and dealt with.
type Event struct {
	Kind   EventKind
	Stream platform.Stream
	// Expected is the offset that was to be read next, Got the one that the
	// page started or ended with.
	Expected state.Offset
	Got      state.Offset
	Err      error
}

// TailOptions configures a Tail.
type TailOptions struct {
	// Limit bounds the records of a page; default 500.
	Limit int
	// Wait is the long poll of a read; default 10 s.
	Wait time.Duration
	// MaxRetryDelay bounds the growing delay after failed reads; default 2 s.
	MaxRetryDelay time.Duration
	// ReadLimit bounds the reads; by default they are not bounded.
	ReadLimit ReadLimit
	// OnEvent is told what the Tail noticed; it must not block.
	OnEvent func(Event)
}

// ErrStopped means that the writer was stopped before the records were sent.
var ErrStopped = errors.Wrap(platform.ErrUnavailable, "writer stopped")
