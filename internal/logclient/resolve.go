package logclient

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/lagoonvalve/lagoonvalve/internal/ctxtime"
	"github.com/lagoonvalve/lagoonvalve/internal/platform"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// readLimit bounds the records of a page that is read back.
const readLimit = 500

// search is what reading back has shown of a batch.
type search struct {
	// first has the offset of the first copy of each item that was found.
	first map[*item]state.Offset
	// end is the offset up to which was read.
	end state.Offset
	// truncated means that records that could be the batch's are lost.
	truncated bool
}

// resolve reads the stream back until it is known what of the batch was
// stored, and reports the offsets. It returns the items that did not appear
// within the settle time and are to be sent again; none if resend is false.
func (w *Writer) resolve(ctx context.Context, q *queue, batch []*item, resend bool) []*item {
	settled := time.Now().Add(w.cfg.Settle)
	delays := newBackoff(w.cfg.MaxRetryDelay(q.stream))
	for {
		late := !time.Now().Before(settled)
		found, err := w.find(ctx, q, batch)
		if err == nil {
			batch = w.report(batch, found)
		}
		switch {
		case len(batch) == 0:
			q.floor = found.end
			return nil
		case err == nil && late && resend:
			w.markResent(batch)
			return batch
		case err == nil && late:
			w.finishAll(batch, errors.Wrap(platform.ErrUnknownOutcome, "stored, but not shown by the log"))
			return nil
		}
		if w.allAbandoned(batch) || !ctxtime.Sleep(ctx, delays.NextBackOff()) {
			w.finishAll(batch, errors.Wrap(platform.ErrUnknownOutcome, "not resolved before the end of the call"))
			return nil
		}
	}
}

// report ends the items whose fate found shows and returns the others.
func (w *Writer) report(batch []*item, found search) []*item {
	w.mu.Lock()
	defer w.mu.Unlock()
	var open []*item
	for _, entry := range batch {
		first, ok := found.first[entry]
		switch {
		case ok && (!found.truncated || !entry.resent):
			w.finish(entry, result{first: first})
		case found.truncated:
			// The records, or an earlier copy of them, may be among the lost.
			w.finish(entry, result{err: errors.Wrap(platform.ErrUnknownOutcome, "records truncated before they were read back")})
		default:
			open = append(open, entry)
		}
	}
	return open
}

// find reads the stream from the floor to its present end.
func (w *Writer) find(ctx context.Context, q *queue, batch []*item) (search, error) {
	wanted := make(map[string]*item, len(batch))
	for _, entry := range batch {
		wanted[entry.records[0].ID] = entry
	}
	found := search{first: make(map[*item]state.Offset, len(batch)), end: q.floor}
	for {
		page, err := w.log.Read(ctx, q.stream, found.end, readLimit, 0)
		switch {
		case errors.Is(err, platform.ErrTruncated) && page.Oldest > found.end:
			found.truncated = true
			found.end = page.Oldest
			continue
		case err != nil:
			return found, err
		}
		for _, record := range page.Records {
			entry, ok := wanted[record.ID]
			if !ok {
				continue
			}
			if _, known := found.first[entry]; !known {
				found.first[entry] = record.Offset
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

func (w *Writer) markResent(batch []*item) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, entry := range batch {
		entry.resent = true
	}
}

func (w *Writer) allAbandoned(batch []*item) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, entry := range batch {
		if !entry.abandoned {
			return false
		}
	}
	return true
}
