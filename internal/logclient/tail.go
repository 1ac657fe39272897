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

// emptyPause keeps a log that answers empty pages without waiting from being
// asked in a busy loop.
const emptyPause = 20 * time.Millisecond

// firstWait is the long poll of a tail's first read. It is not zero, since
// relays pass reads without wait on to the log.
const firstWait = time.Millisecond

func (o TailOptions) withDefaults() TailOptions {
	defaults.Set(&o.Limit, 500)
	defaults.Set(&o.Wait, 10*time.Second)
	if o.OnEvent == nil {
		o.OnEvent = func(Event) {}
	}
	return o
}

// Tail reads stream from offset from on and hands its pages to handle, each
// offset once and in order. A page may be empty; it then tells the caller that
// it has read up to page.End. Tail returns the error of handle, a
// *TruncatedError or the context's error.
func Tail(ctx context.Context, log platform.Log, stream platform.Stream, from state.Offset, opts TailOptions,
	handle func(page platform.Page) error,
) error {
	opts = opts.withDefaults()
	delays := newBackoff(opts.MaxRetryDelay)
	reads := newPacer(opts.ReadLimit)
	next := from
	// The first read hardly waits, so that the caller soon learns that a
	// stream without new records has been read to its end.
	wait := min(firstWait, opts.Wait)
	behind := false
	for {
		// Catching up with a long stream is not paced: the number of its pages
		// is bounded by the records, not by the time that they took to come.
		if !behind && !reads.wait(ctx) {
			return ctx.Err()
		}
		page, err := log.Read(ctx, stream, next, opts.Limit, wait)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if lost(page, err, next) {
			return &TruncatedError{Stream: stream, From: next, Oldest: page.Oldest, End: page.End}
		}
		behind = false
		if event := judge(page, err, next); event.Kind != "" {
			event.Stream = stream
			opts.OnEvent(event)
			if !ctxtime.Sleep(ctx, delays.NextBackOff()) {
				return ctx.Err()
			}
			continue
		}
		delays.Reset()
		wait = opts.Wait
		page = after(page, next)
		if err := handle(page); err != nil {
			return err
		}
		if page.Next == next && !ctxtime.Sleep(ctx, emptyPause) {
			return ctx.Err()
		}
		behind = page.Next > next && page.Next < page.End
		next = page.Next
	}
}

// lost reports whether records from next on are gone.
func lost(page platform.Page, err error, next state.Offset) bool {
	if err != nil {
		return errors.Is(err, platform.ErrTruncated)
	}
	if page.Oldest <= next {
		return false
	}
	// Records may have been truncated after they were read for this page.
	return len(page.Records) == 0 || page.Records[0].Offset > next
}

// judge returns an event if page cannot be handled at next, and otherwise an
// event without kind.
func judge(page platform.Page, err error, next state.Offset) Event {
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

// ordered reports whether the records ascend within the page's bounds.
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

// after returns page without the records before next.
func after(page platform.Page, next state.Offset) platform.Page {
	if page.From >= next {
		return page
	}
	skip := sort.Search(len(page.Records), func(i int) bool { return page.Records[i].Offset >= next })
	page.Records = page.Records[skip:]
	page.From = next
	return page
}
