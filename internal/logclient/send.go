package logclient

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/go-faster/errors"

	"github.com/lagoonvalve/lagoonvalve/internal/ctxtime"
	"github.com/lagoonvalve/lagoonvalve/internal/defaults"
	"github.com/lagoonvalve/lagoonvalve/internal/platform"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// Bounds of the delay between retries.
const (
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 2 * time.Second
)

// newBackoff returns jittered exponential delays between retries, with upper
// bound maxDelay; zero means maxRetryDelay.
func newBackoff(maxDelay time.Duration) *backoff.ExponentialBackOff {
	defaults.Set(&maxDelay, maxRetryDelay)
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval = min(minRetryDelay, maxDelay)
	delays.MaxInterval = maxDelay
	return delays
}

// sendLoop appends the batches of one stream, one at a time, until ctx ends.
func (w *Writer) sendLoop(ctx context.Context, q *queue) {
	delays := newBackoff(w.cfg.MaxRetryDelay(q.stream))
	for w.awaitBatch(ctx, q) {
		if w.budget.Wait(ctx) != nil {
			return
		}
		// The batch is taken after the wait for the budget, so that it
		// includes the calls queued during the wait.
		batch := w.takeBatch(q)
		if len(batch) == 0 {
			continue
		}
		unsent := w.sendBatch(ctx, q, batch)
		if len(unsent) == 0 {
			delays.Reset()
			continue
		}
		w.requeue(q, unsent)
		if !ctxtime.Sleep(ctx, delays.NextBackOff()) {
			return
		}
	}
}

// awaitBatch returns true once the queue's oldest call has waited for
// WriterConfig.Delay or a batch is full, and false if ctx ends.
func (w *Writer) awaitBatch(ctx context.Context, q *queue) bool {
	due := time.NewTimer(time.Hour)
	defer due.Stop()
	for {
		remaining, waiting := w.untilDue(q)
		if waiting && remaining <= 0 {
			return ctx.Err() == nil
		}
		if waiting {
			due.Reset(remaining)
		}
		select {
		case <-due.C:
		case <-q.ready:
		case <-ctx.Done():
			return false
		}
	}
}

// untilDue returns the time until the next batch is due; ok is false if the
// queue is empty.
func (w *Writer) untilDue(q *queue) (remaining time.Duration, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(q.calls) == 0 {
		return 0, false
	}
	if w.full(q) {
		return 0, true
	}
	return w.cfg.Delay - time.Since(q.calls[0].queuedAt), true
}

// takeBatch removes the next batch from the queue: one call while singleSends is
// positive, otherwise as many as the batch limits allow.
func (w *Writer) takeBatch(q *queue) []*appendCall {
	w.mu.Lock()
	defer w.mu.Unlock()
	count, records, bytes := 0, 0, 0
	for _, call := range q.calls {
		records += len(call.records)
		bytes += call.size
		if count > 0 && (q.singleSends > 0 || records > w.cfg.MaxBatch || bytes > w.cfg.MaxBatchBytes) {
			break
		}
		count++
		call.sending = true
		q.addSize(call, -1)
	}
	if q.singleSends > 0 {
		q.singleSends--
	}
	batch := append([]*appendCall(nil), q.calls[:count]...)
	q.calls = append(q.calls[:0], q.calls[count:]...)
	return batch
}

// requeue puts calls that were not stored back at the front of the queue and
// drops those whose callers no longer wait.
func (w *Writer) requeue(q *queue, batch []*appendCall) {
	w.mu.Lock()
	defer w.mu.Unlock()
	kept := make([]*appendCall, 0, len(batch)+len(q.calls))
	for _, call := range batch {
		call.sending = false
		if call.abandoned {
			w.releaseBuffer(call)
			continue
		}
		q.addSize(call, 1)
		kept = append(kept, call)
	}
	q.calls = append(kept, q.calls...)
}

// sendBatch makes one append and returns the calls that are to be sent again,
// none of which is known to be stored.
func (w *Writer) sendBatch(ctx context.Context, q *queue, batch []*appendCall) []*appendCall {
	if err := w.initSearchStart(ctx, q); err != nil {
		return batch
	}
	records := flatten(batch)
	first, err := w.log.Append(ctx, q.stream, records)
	switch {
	case err == nil:
		return w.finishStored(ctx, q, batch, first, len(records))
	case errors.Is(err, platform.ErrUnknownOutcome):
		return w.resolve(ctx, q, batch, true)
	case errors.Is(err, platform.ErrRejected):
		return w.handleRejected(q, batch, err)
	case errors.Is(err, platform.ErrUnavailable):
		return batch
	default:
		// Any other error leaves open whether the records were stored.
		return w.resolve(ctx, q, batch, true)
	}
}

// initSearchStart reads the end of the stream before the queue's first append,
// as the offset at which later searches for its records begin.
func (w *Writer) initSearchStart(ctx context.Context, q *queue) error {
	if q.searchStart != state.NoOffset {
		return nil
	}
	page, err := w.log.Read(ctx, q.stream, 0, 1, 0)
	if err != nil && !errors.Is(err, platform.ErrTruncated) {
		return err
	}
	q.searchStart = page.End
	return nil
}

// finishStored returns the offsets of a successful append to the callers. If a
// call was sent before, the stream is searched, because the offset of an earlier
// copy of its records takes precedence.
func (w *Writer) finishStored(ctx context.Context, q *queue, batch []*appendCall, first state.Offset, records int) []*appendCall {
	for _, call := range batch {
		if call.resent {
			return w.resolve(ctx, q, batch, false)
		}
	}
	q.searchStart = first + state.Offset(records)
	w.mu.Lock()
	defer w.mu.Unlock()
	next := first
	for _, call := range batch {
		w.finish(call, result{first: next})
		next += state.Offset(len(call.records))
	}
	return nil
}

// handleRejected finishes a call that the log rejects. The calls of a larger
// batch are sent again one by one, so that only the rejected call fails.
func (w *Writer) handleRejected(q *queue, batch []*appendCall, err error) []*appendCall {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(batch) > 1 {
		q.singleSends = len(batch)
		return batch
	}
	if batch[0].resent {
		err = errors.Wrap(platform.ErrUnknownOutcome, "rejected after an append of unknown outcome")
	}
	w.finish(batch[0], result{err: err})
	return nil
}

func (w *Writer) finish(call *appendCall, outcome result) {
	w.releaseBuffer(call)
	call.done <- outcome
}

func (w *Writer) finishAll(batch []*appendCall, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, call := range batch {
		w.finish(call, result{err: err})
	}
}

func flatten(batch []*appendCall) []state.Record {
	count := 0
	for _, call := range batch {
		count += len(call.records)
	}
	records := make([]state.Record, 0, count)
	for _, call := range batch {
		records = append(records, call.records...)
	}
	return records
}
