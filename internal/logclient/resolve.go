package logclient

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/lagoonvalve/lagoonvalve/internal/ctxtime"
	"github.com/lagoonvalve/lagoonvalve/internal/platform"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// readPageLimit is the maximum number of records in a page when a stream is
// searched for records or snapshots.
const readPageLimit = 500

// searchResult is the result of searching a stream for the records of a batch.
type searchResult struct {
	// first has, for each call that was found, the offset of the first copy of
	// its first record.
	first map[*appendCall]state.Offset
	// end is the offset up to which the stream was read.
	end state.Offset
	// truncated means that part of the searched range was truncated, so that
	// records of the batch may have been stored there.
	truncated bool
}

// resolve searches the stream for the records of a batch until it is known
// which calls were stored, and returns the offsets to their callers. Its result
// is the calls that did not appear within the settle time and are to be sent
// again; none if resend is false.
func (w *Writer) resolve(ctx context.Context, q *queue, batch []*appendCall, resend bool) []*appendCall {
	deadline := time.Now().Add(w.cfg.Settle)
	delays := newBackoff(w.cfg.MaxRetryDelay(q.stream))
	for {
		settled := !time.Now().Before(deadline)
		found, err := w.searchStream(ctx, q, batch)
		if err == nil {
			batch = w.finishFound(batch, found)
		}
		switch {
		case len(batch) == 0:
			q.searchStart = found.end
			return nil
		case err == nil && settled && resend:
			w.markResent(batch)
			return batch
		case err == nil && settled:
			w.finishAll(batch, errors.Wrap(platform.ErrUnknownOutcome, "log acknowledged the append but does not return its records"))
			return nil
		}
		if w.allAbandoned(batch) || !ctxtime.Sleep(ctx, delays.NextBackOff()) {
			w.finishAll(batch, errors.Wrap(platform.ErrUnknownOutcome, "outcome not determined before the callers gave up or the writer stopped"))
			return nil
		}
	}
}

// finishFound finishes the calls whose outcome is determined by found and
// returns the others.
func (w *Writer) finishFound(batch []*appendCall, found searchResult) []*appendCall {
	w.mu.Lock()
	defer w.mu.Unlock()
	var unresolved []*appendCall
	for _, call := range batch {
		first, ok := found.first[call]
		switch {
		case ok && (!found.truncated || !call.resent):
			w.finish(call, result{first: first})
		case found.truncated:
			// The records, or an earlier copy of them, may have been truncated.
			w.finish(call, result{err: errors.Wrap(platform.ErrUnknownOutcome, "records truncated before they were read back")})
		default:
			unresolved = append(unresolved, call)
		}
	}
	return unresolved
}

// searchStream reads the stream from q.searchStart to its current end and looks
// for the records of the batch by their ids.
func (w *Writer) searchStream(ctx context.Context, q *queue, batch []*appendCall) (searchResult, error) {
	byID := make(map[string]*appendCall, len(batch))
	for _, call := range batch {
		byID[call.records[0].ID] = call
	}
	found := searchResult{first: make(map[*appendCall]state.Offset, len(batch)), end: q.searchStart}
	for {
		page, err := w.log.Read(ctx, q.stream, found.end, readPageLimit, 0)
		switch {
		case errors.Is(err, platform.ErrTruncated) && page.Oldest > found.end:
			found.truncated = true
			found.end = page.Oldest
			continue
		case err != nil:
			return found, err
		}
		for _, record := range page.Records {
			call, ok := byID[record.ID]
			if !ok {
				continue
			}
			if _, known := found.first[call]; !known {
				found.first[call] = record.Offset
			}
		}
		if page.Next <= found.end {
			return found, nil
		}
		found.end = page.Next
		if page.Next >= page.End {
			return found, nil
		}
	}
}

func (w *Writer) markResent(batch []*appendCall) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, call := range batch {
		call.resent = true
	}
}

func (w *Writer) allAbandoned(batch []*appendCall) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, call := range batch {
		if !call.abandoned {
			return false
		}
	}
	return true
}
