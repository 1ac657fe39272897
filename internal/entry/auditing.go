package entry

import (
	"context"
	"sync"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/ctxtime"
	"github.com/lagoonvalve/lagoonvalve/internal/logclient"
	"github.com/lagoonvalve/lagoonvalve/internal/platform"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

const (
	// auditInterval is the time between writes of the audit trail.
	auditInterval = 2 * time.Second
	// countsInterval is the time between reports of the counts per caller.
	// At 350 entries, one report a minute is 6 appends a second.
	countsInterval = time.Minute
)

// auditAppender adapts the log writer to the audit trail.
type auditAppender struct{ writer logclient.Appender }

// Append implements audit.Appender.
func (a auditAppender) Append(ctx context.Context, stream platform.Stream, records ...state.Record) error {
	_, err := a.writer.Append(ctx, stream, records...)
	return err
}

// flushAudit writes the trail and the counts to the log from time to time.
// What can't be written waits within its bounds.
func (e *Entry) flushAudit(ctx context.Context) error {
	reported, closed := time.Now(), time.Now()
	for ctxtime.Sleep(ctx, auditInterval) {
		now := time.Now()
		e.flushTrail(ctx)
		if now.Sub(closed) >= countWindow {
			closed = now
			e.ledger.counts.CloseWindow(now)
		}
		if now.Sub(reported) >= countsInterval {
			reported = now
			e.flushCounts(ctx, now, false)
		}
	}
	return nil
}

func (e *Entry) flushTrail(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	if err := e.trail.Flush(ctx); err != nil {
		e.meter.Add("lagoonvalve_audit_flush_failures_total", 1)
	}
}

func (e *Entry) flushCounts(ctx context.Context, now time.Time, final bool) {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	if err := e.reports.Flush(ctx, now, final); err != nil {
		e.meter.Add("lagoonvalve_audit_flush_failures_total", 1)
	}
}

// flushLast writes what is left of the trail, the final counts and the outcomes
// of claims at a graceful stop.
func (e *Entry) flushLast(by time.Time) {
	ctx, cancel := context.WithDeadline(context.Background(), by)
	defer cancel()
	var claims sync.WaitGroup
	claims.Go(func() { e.router.flush(ctx) })
	e.flushTrail(ctx)
	e.flushCounts(ctx, time.Now(), true)
	claims.Wait()
}
