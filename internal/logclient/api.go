// Package logclient is the client of the platform's log. It appends records in
// batches within a rate budget, resolves appends of unknown outcome, tails
// streams in order and without gaps, relays reads and appends for other
// processes, and stores snapshots in streams.
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
// The error wraps platform.ErrUnavailable if the records were not stored and
// never will be, platform.ErrUnknownOutcome if that is not known, and
// platform.ErrRejected or *BufferFullError if the records were refused.
type Appender interface {
	Append(ctx context.Context, stream platform.Stream, records ...state.Record) ([]state.Offset, error)
}

// BufferFullError means that the records were refused because the append buffer
// is full. Nothing was stored. It wraps platform.ErrUnavailable.
type BufferFullError struct {
	Stream   platform.Stream
	Buffered int
	Limit    int
}

// Error implements error.
func (e *BufferFullError) Error() string {
	return fmt.Sprintf("append buffer full: %d records buffered, limit %d", e.Buffered, e.Limit)
}

// Unwrap returns platform.ErrUnavailable.
func (e *BufferFullError) Unwrap() error { return platform.ErrUnavailable }

// TruncatedError is returned by a Tail whose next offset has been truncated
// from the log. The caller is expected to load a snapshot and to tail from the
// offset after Snapshot.Covered. It wraps platform.ErrTruncated.
type TruncatedError struct {
	Stream platform.Stream
	// From is the offset that the Tail would have read next.
	From state.Offset
	// Oldest is the first offset that the log still has, End the one after
	// its last.
	Oldest state.Offset
	End    state.Offset
}

// Error implements error.
func (e *TruncatedError) Error() string {
	return fmt.Sprintf("records from offset %d on were truncated; the oldest available offset is %d", e.From, e.Oldest)
}

// Unwrap returns platform.ErrTruncated.
func (e *TruncatedError) Unwrap() error { return platform.ErrTruncated }

// EventKind is the kind of an Event.
type EventKind string

// The kinds of events. After each the read is repeated with a backoff.
const (
	// EventGap is a page that starts after the requested offset. It is
	// discarded.
	EventGap EventKind = "gap"
	// EventStale is a page that ends before the requested offset, for example
	// one from a relay that lags. It is discarded.
	EventStale EventKind = "stale"
	// EventDisordered is a page whose offsets do not ascend or are outside its
	// bounds. It is discarded.
	EventDisordered EventKind = "disordered"
	// EventUnavailable is a failed read.
	EventUnavailable EventKind = "unavailable"
)

// Event reports a failed read or a discarded page of a Tail.
type Event struct {
	Kind   EventKind
	Stream platform.Stream
	// Expected is the requested offset. Got is the offset that a discarded
	// page starts at or, for EventStale, continues at.
	Expected state.Offset
	Got      state.Offset
	Err      error
}

// TailOptions configures a Tail.
type TailOptions struct {
	// Limit is the maximum number of records in a page; default 500.
	Limit int
	// Wait is the long-poll time of a read; default 10 s.
	Wait time.Duration
	// MaxRetryDelay is the upper bound of the exponential delay after failed
	// reads; default 2 s.
	MaxRetryDelay time.Duration
	// ReadLimit limits the rate of reads; by default it is not limited.
	ReadLimit ReadLimit
	// OnEvent is called with each event; it must not block.
	OnEvent func(Event)
}

// ErrStopped means that the writer was stopped before the records were sent.
var ErrStopped = errors.Wrap(platform.ErrUnavailable, "writer stopped")
