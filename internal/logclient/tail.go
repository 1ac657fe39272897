package logclient

import (
	"context"
	"sort"
	"time"

	"github.com/go-faster/errors"

	"github.com/lagoonvalve/lagoonvalve/internal/ctxtime"
	"github.com/lagoonvalve/lagoonvalve/internal/defaults"
	"github.com/lagoonvalve/lagoonvalve/internal/platform"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// emptyPageDelay is the delay after an empty page. It prevents a busy loop if
// the log answers such reads without waiting.
const emptyPageDelay = 20 * time.Millisecond

// firstReadWait is the long-poll time of a tail's first read. It is not zero,
// because relays pass reads without wait on to the log.
const firstReadWait = time.Millisecond

func (o TailOptions) withDefaults() TailOptions {
	defaults.Set(&o.Limit, 500)
	defaults.Set(&o.Wait, 10*time.Second)
	if o.OnEvent == nil {
		o.OnEvent = func(Event) {}
	}
	return o
}

// Tail reads stream, beginning at offset from, and passes its pages to handle,
// each offset once and in order. An empty page indicates to the caller that the
// stream has been read up to page.End. Tail returns the error of handle, a
// *TruncatedError or the context's error.
func Tail(ctx context.Context, log platform.Log, stream platform.Stream, from state.Offset, opts TailOptions,
	handle func(page platform.Page) error,
) error {
	opts = opts.withDefaults()
	delays := newBackoff(opts.MaxRetryDelay)
	limiter := newReadLimiter(opts.ReadLimit)
	next := from
	// The first read waits only briefly, so that the caller can determine early
	// that a stream without new records has been read to its end.
	wait := min(firstReadWait, opts.Wait)
	behind := false
	for {
		// Reads that catch up with a long stream are not rate-limited: their
		// number depends on the number of records, not on how often records
		// were appended.
		if !behind && !limiter.wait(ctx) {
			return ctx.Err()
		}
		page, err := log.Read(ctx, stream, next, opts.Limit, wait)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if truncatedBefore(page, err, next) {
			return &TruncatedError{Stream: stream, From: next, Oldest: page.Oldest, End: page.End}
		}
		behind = false
		if event := checkPage(page, err, next); event.Kind != "" {
			event.Stream = stream
			opts.OnEvent(event)
			if !ctxtime.Sleep(ctx, delays.NextBackOff()) {
				return ctx.Err()
			}
			continue
		}
		delays.Reset()
		wait = opts.Wait
		page = dropBefore(page, next)
		if err := handle(page); err != nil {
			return err
		}
		if page.Next == next && !ctxtime.Sleep(ctx, emptyPageDelay) {
			return ctx.Err()
		}
		behind = page.Next > next && page.Next < page.End
		next = page.Next
	}
}

// truncatedBefore reports whether the record at next has been truncated and is
// not in page.
func truncatedBefore(page platform.Page, err error, next state.Offset) bool {
	if err != nil {
		return errors.Is(err, platform.ErrTruncated)
	}
	if page.Oldest <= next {
		return false
	}
	// Records may have been truncated after they were read into this page.
	return len(page.Records) == 0 || page.Records[0].Offset > next
}

// checkPage returns the event for a failed read or a page that must be
// discarded, and otherwise an event without kind.
func checkPage(page platform.Page, err error, next state.Offset) Event {
	event := Event{Expected: next, Err: err}
	switch {
	case err != nil:
		event.Kind = EventUnavailable
	case page.From > next:
		event.Kind, event.Got = EventGap, page.From
	case page.Next < next, page.End < next:
		event.Kind, event.Got = EventStale, page.Next
	case !ordered(page):
		event.Kind, event.Got = EventDisordered, page.From
	}
	return event
}

// ordered reports whether the offsets ascend and are within the page's bounds.
func ordered(page platform.Page) bool {
	last := page.From - 1
	for i := range page.Records {
		if page.Records[i].Offset <= last {
			return false
		}
		last = page.Records[i].Offset
	}
	return last < page.Next || len(page.Records) == 0
}

// dropBefore returns page without the records before next, which have already
// been handled.
func dropBefore(page platform.Page, next state.Offset) platform.Page {
	if page.From >= next {
		return page
	}
	skip := sort.Search(len(page.Records), func(i int) bool { return page.Records[i].Offset >= next })
	page.Records = page.Records[skip:]
	page.From = next
	return page
}
