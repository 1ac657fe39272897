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

// Bounds of the delay between attempts.
const (
	firstRetry = 50 * time.Millisecond
	lastRetry  = 2 * time.Second
)

// newBackoff returns jittered exponential delays between attempts, which grow
// up to last; zero means lastRetry.
func newBackoff(last time.Duration) *backoff.ExponentialBackOff {
	defaults.Set(&last, lastRetry)
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval = min(firstRetry, last)
	delays.MaxInterval = last
	return delays
}

// serve sends the appends of one stream, one at a time.
func (w *Writer) serve(ctx context.Context, q *queue) {
	delays := newBackoff(w.cfg.MaxRetryDelay(q.stream))
	for w.awaitBatch(ctx, q) {
		if w.budget.Wait(ctx) != nil {
			return
		}
		// The batch is taken after the wait for the budget, so that it holds
		// what came meanwhile.
		batch := w.take(q)
		if len(batch) == 0 {
			continue
		}
		left := w.send(ctx, q, batch)
		if len(left) == 0 {
			delays.Reset()
			continue
		}
		w.requeue(q, left)
		if !ctxtime.Sleep(ctx, delays.NextBackOff()) {
			return
		}
	}
}

// awaitBatch returns true once the queue's oldest item has waited for the
// group commit delay or a batch is full, and false if ctx ends.
func (w *Writer) awaitBatch(ctx context.Context, q *queue) bool {
	due := time.NewTimer(time.Hour)
	defer due.Stop()
	for {
		left, waiting := w.untilDue(q)
		if waiting && left <= 0 {
			return ctx.Err() == nil
		}
		if waiting {
			due.Reset(left)
		}
		select {
		case <-due.C:
		case <-q.ready:
		case <-ctx.Done():
			return false
		}
	}
}

// untilDue returns when the next batch is due; ok is false if nothing waits.
func (w *Writer) untilDue(q *queue) (left time.Duration, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(q.items) == 0 {
		return 0, false
	}
	if w.full(q) {
		return 0, true
	}
	return w.cfg.Delay - time.Since(q.items[0].since), true
}

// take removes the next batch from the queue.
func (w *Writer) take(q *queue) []*item {
	w.mu.Lock()
	defer w.mu.Unlock()
	count, records, bytes := 0, 0, 0
	for _, entry := range q.items {
		records += len(entry.records)
		bytes += entry.size
		if count > 0 && (q.alone > 0 || records > w.cfg.MaxBatch || bytes > w.cfg.MaxBatchBytes) {
			break
		}
		count++
		entry.sending = true
		q.count(entry, -1)
	}
	if q.alone > 0 {
		q.alone--
	}
	batch := append([]*item(nil), q.items[:count]...)
	q.items = append(q.items[:0], q.items[count:]...)
	return batch
}

// requeue puts items that were not stored back in front, but for those whose
// callers have left.
func (w *Writer) requeue(q *queue, batch []*item) {
	w.mu.Lock()
	defer w.mu.Unlock()
	kept := make([]*item, 0, len(batch)+len(q.items))
	for _, entry := range batch {
		entry.sending = false
		if entry.abandoned {
			w.free(entry)
			continue
		}
		q.count(entry, 1)
		kept = append(kept, entry)
	}
	q.items = append(kept, q.items...)
}

// send makes one append and returns the items that are to be sent again, none
// of which is known to be stored.
func (w *Writer) send(ctx context.Context, q *queue, batch []*item) []*item {
	if err := w.learnFloor(ctx, q); err != nil {
		return batch
	}
	records := flatten(batch)
	first, err := w.log.Append(ctx, q.stream, records)
	switch {
	case err == nil:
		return w.stored(ctx, q, batch, first, len(records))
	case errors.Is(err, platform.ErrUnknownOutcome):
		return w.resolve(ctx, q, batch, true)
	case errors.Is(err, platform.ErrRejected):
		return w.rejected(q, batch, err)
	case errors.Is(err, platform.ErrUnavailable):
		return batch
	default:
		// An error that the port does not know shows nothing about the effect.
		return w.resolve(ctx, q, batch, true)
	}
}

// learnFloor asks for the stream's end before its first append, so that a
// later search for records has a start.
func (w *Writer) learnFloor(ctx context.Context, q *queue) error {
	if q.floor != state.NoOffset {
		return nil
	}
	page, err := w.log.Read(ctx, q.stream, 0, 1, 0)
	if err != nil && !errors.Is(err, platform.ErrTruncated) {
		return err
	}
	q.floor = page.End
	return nil
}

// stored reports the offsets of a successful append. Items that were sent
// before may have an earlier copy, whose offset counts.
func (w *Writer) stored(ctx context.Context, q *queue, batch []*item, first state.Offset, records int) []*item {
	for _, entry := range batch {
		if entry.resent {
			return w.resolve(ctx, q, batch, false)
		}
	}
	q.floor = first + state.Offset(records)
	w.mu.Lock()
	defer w.mu.Unlock()
	next := first
	for _, entry := range batch {
		w.finish(entry, result{first: next})
		next += state.Offset(len(entry.records))
	}
	return nil
}

// rejected ends an item that the log rejects. Items of a rejected batch are
// sent again one by one, so that only the cause is refused.
func (w *Writer) rejected(q *queue, batch []*item, err error) []*item {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(batch) > 1 {
		q.alone = len(batch)
		return batch
	}
	if batch[0].resent {
		err = errors.Wrap(platform.ErrUnknownOutcome, "rejected after an append of unknown outcome")
	}
	w.finish(batch[0], result{err: err})
	return nil
}

func (w *Writer) finish(entry *item, outcome result) {
	w.free(entry)
	entry.done <- outcome
}

func (w *Writer) finishAll(batch []*item, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, entry := range batch {
		w.finish(entry, result{err: err})
	}
}

func flatten(batch []*item) []state.Record {
	count := 0
	for _, entry := range batch {
		count += len(entry.records)
	}
	records := make([]state.Record, 0, count)
	for _, entry := range batch {
		records = append(records, entry.records...)
	}
	return records
}
