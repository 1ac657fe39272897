package gateway

import (
	"context"
	"log/slog"
	"time"

	"github.com/go-faster/errors"

	"github.com/lagoonvalve/lagoonvalve/internal/boottime"
	"github.com/lagoonvalve/lagoonvalve/internal/ctxtime"
	"github.com/lagoonvalve/lagoonvalve/internal/fleet"
	"github.com/lagoonvalve/lagoonvalve/internal/platform"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

const (
	// followWait is how long a read waits for a change. A silent connection is
	// noticed only after this time, and a change must be in force within about 3 s.
	followWait = 1500 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the delay between reads that fail.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = time.Second
	// sharedFollowWait replaces followWait while other processes depend on this
	// process's reads: they too have to notice a silent connection in time.
	sharedFollowWait = 500 * time.Millisecond
	// relayedPoll is the interval between checks whether a feed is still relayed.
	relayedPoll = 100 * time.Millisecond
	// minOutage is how long reads must have failed for entries that are missing
	// afterwards to be treated as lapsed during the outage.
	minOutage = 500 * time.Millisecond
)

// follower reads a feed and passes its pages to apply.
type follower[T any] struct {
	name   string
	feed   fleet.Feed[T]
	logger *slog.Logger
	// minInterval is the minimum time between the starts of two reads.
	minInterval time.Duration
	// apply is called with each page. complete means that the page has all keys,
	// outage that reads had failed for longer than minOutage before it, or that the log
	// is in a new epoch: entries may be missing until their upstreams write them again.
	apply func(page fleet.Page[T], complete, outage bool)

	// relayed reports whether the controller currently relays the feed, so that
	// it need not be read; nil if it is never relayed.
	relayed func(now time.Time) bool
	// onRelayed is called when the feed begins to be relayed; nil calls nothing.
	onRelayed func()
	// shared reports whether other processes depend on this process's reads; nil
	// if they never do.
	shared func() bool
	// onRead is called after each successful read.
	onRead func(now time.Time)
	// onEpoch is called with the epoch of the log when it changes; nil calls nothing.
	onEpoch func(epoch fleet.LogEpoch)

	// readBegan is when the latest read began, by a clock that continues while the host
	// is suspended.
	readBegan   time.Time
	failedSince time.Time
	retryDelay  time.Duration
	// epoch is the epoch of the log in the last page; hasEpoch is false before the first.
	epoch    fleet.LogEpoch
	hasEpoch bool
	// hasRead is set once a page was applied.
	hasRead bool
	// afterRewind is set from a change of the epoch to the page that is applied next.
	afterRewind bool
}

// run follows the feed until ctx ends.
func (f *follower[T]) run(ctx context.Context) {
	next := state.NoOffset
	for ctx.Err() == nil {
		began := time.Now()
		if f.relayed != nil && f.hasRead && f.relayed(began) {
			f.waitWhileRelayed(ctx)
			next = state.NoOffset
			continue
		}
		f.readBegan = boottime.Now()
		page, err := f.read(ctx, next)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			if errors.Is(err, platform.ErrTruncated) {
				f.logger.Info("feed truncated", "feed", f.name, "from", next)
				next = state.NoOffset
			}
			f.backOff(ctx, err)
			continue
		}
		changed := f.recordEpoch(page.Epoch)
		if changed && next != state.NoOffset {
			// The page has records of other offsets than those that the last page ended at.
			next = state.NoOffset
			ctxtime.Sleep(ctx, minRetryDelay)
			continue
		}
		f.onRead(time.Now())
		outage := f.recordSuccess()
		f.apply(page, next == state.NoOffset, outage || f.afterRewind)
		f.afterRewind, f.hasRead = false, true
		next = page.Next
		ctxtime.Sleep(ctx, f.minInterval-time.Since(began))
	}
}

// recordEpoch records the epoch of a page and reports whether it differs from that of
// the page before.
func (f *follower[T]) recordEpoch(epoch fleet.LogEpoch) (changed bool) {
	changed = f.hasEpoch && epoch != f.epoch
	if changed {
		f.afterRewind = true
		f.logger.Warn("feed in new epoch of the log", "feed", f.name, "epoch", epoch, "before", f.epoch)
	}
	if f.onEpoch != nil && (changed || !f.hasEpoch) {
		f.onEpoch(epoch)
	}
	f.epoch, f.hasEpoch = epoch, true
	return changed
}

// waitWhileRelayed waits until the feed is no longer relayed.
func (f *follower[T]) waitWhileRelayed(ctx context.Context) {
	f.logger.Info("feed relayed", "feed", f.name)
	if f.onRelayed != nil {
		f.onRelayed()
	}
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
	if f.shared != nil && f.shared() {
		wait = sharedFollowWait
	}
	if !f.failedSince.IsZero() {
		// After an outage, return the current state without waiting for a change.
		wait = 0
	}
	return f.feed.Follow(ctx, next, wait)
}

func (f *follower[T]) backOff(ctx context.Context, err error) {
	if f.failedSince.IsZero() {
		f.failedSince, f.retryDelay = time.Now(), minRetryDelay
		f.logger.Warn("feed lost", "feed", f.name, "error", err)
	}
	ctxtime.Sleep(ctx, f.retryDelay)
	f.retryDelay = min(2*f.retryDelay, maxRetryDelay)
}

// recordSuccess ends an outage, if there was one, and reports whether it was longer
// than minOutage.
func (f *follower[T]) recordSuccess() bool {
	if f.failedSince.IsZero() {
		return false
	}
	duration := time.Since(f.failedSince)
	f.failedSince = time.Time{}
	f.logger.Info("feed regained", "feed", f.name, "away", duration)
	return duration > minOutage
}
