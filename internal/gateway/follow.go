package gateway

import (
	"context"
	"log/slog"
	"time"

	"github.com/go-faster/errors"

	"github.com/lagoonvalve/lagoonvalve/internal/ctxtime"
	"github.com/lagoonvalve/lagoonvalve/internal/fleet"
	"github.com/lagoonvalve/lagoonvalve/internal/platform"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

const (
	// followWait is how long a read waits for a change. A read whose connection
	// falls silent is noticed only after it, and a change must be in force
	// within about 3 s.
	followWait = 1500 * time.Millisecond
	// firstRetry and lastRetry bound the time between reads that fail.
	firstRetry = 100 * time.Millisecond
	lastRetry  = time.Second
	// reliedOnWait is the same for a reader by which others go: they have to
	// notice as well when it falls silent.
	reliedOnWait = 500 * time.Millisecond
	// relayedPoll is the time between looks whether a feed is still relayed.
	relayedPoll = 100 * time.Millisecond
	// outageAfter is how long reads fail before entries that are missing
	// afterwards are taken for lapsed.
	outageAfter = 500 * time.Millisecond
)

// follower reads a feed and hands over its pages.
type follower[T any] struct {
	name   string
	feed   fleet.Feed[T]
	logger *slog.Logger
	// pace is the least time between reads.
	pace time.Duration
	// apply takes a page; whole says that it has all keys, and outage that
	// reads failed for a while before it.
	apply func(page fleet.Page[T], whole, outage bool)

	// relayed reports whether the values come from elsewhere at the moment, so
	// that they need not be read; nil if they never do.
	relayed func(now time.Time) bool
	// reliedOn reports whether other processes go by this one's reading; nil if
	// they never do.
	reliedOn func() bool
	// wasRead is told of each read that succeeded.
	wasRead func(now time.Time)

	failedSince time.Time
	retry       time.Duration
}

// run follows the feed until ctx ends.
func (f *follower[T]) run(ctx context.Context) {
	next := state.NoOffset
	for ctx.Err() == nil {
		began := time.Now()
		if f.relayed != nil && next != state.NoOffset && f.relayed(began) {
			f.pause(ctx)
			next = state.NoOffset
			continue
		}
		page, err := f.read(ctx, next)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			if errors.Is(err, platform.ErrTruncated) {
				f.logger.Info("feed truncated", "feed", f.name, "from", next)
				next = state.NoOffset
			}
			f.failed(ctx, err)
			continue
		}
		f.wasRead(time.Now())
		outage := f.recovered()
		f.apply(page, next == state.NoOffset, outage)
		next = page.Next
		ctxtime.Sleep(ctx, f.pace-time.Since(began))
	}
}

// pause waits until the values have to be read again.
func (f *follower[T]) pause(ctx context.Context) {
	f.logger.Info("feed relayed", "feed", f.name)
	began := time.Now()
	for f.relayed(time.Now()) && ctxtime.Sleep(ctx, relayedPoll) {
	}
	f.logger.Info("feed read again", "feed", f.name, "relayed_for", time.Since(began))
}

func (f *follower[T]) read(ctx context.Context, next state.Offset) (fleet.Page[T], error) {
	if next == state.NoOffset {
		return f.feed.Newest(ctx)
	}
	wait := followWait
	if f.reliedOn != nil && f.reliedOn() {
		wait = reliedOnWait
	}
	if !f.failedSince.IsZero() {
		// The first answer after an outage is wanted at once.
		wait = 0
	}
	return f.feed.Follow(ctx, next, wait)
}

func (f *follower[T]) failed(ctx context.Context, err error) {
	if f.failedSince.IsZero() {
		f.failedSince, f.retry = time.Now(), firstRetry
		f.logger.Warn("feed lost", "feed", f.name, "error", err)
	}
	ctxtime.Sleep(ctx, f.retry)
	f.retry = min(2*f.retry, lastRetry)
}

// recovered notes a read that succeeded and reports whether reads had failed
// for long.
func (f *follower[T]) recovered() bool {
	if f.failedSince.IsZero() {
		return false
	}
	away := time.Since(f.failedSince)
	f.failedSince = time.Time{}
	f.logger.Info("feed regained", "feed", f.name, "away", away)
	return away > outageAfter
}
