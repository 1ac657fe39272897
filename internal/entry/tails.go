package entry

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/lagoonvalve/lagoonvalve/internal/ctxtime"
	"github.com/lagoonvalve/lagoonvalve/internal/logclient"
	"github.com/lagoonvalve/lagoonvalve/internal/platform"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// Bounds of the wait before a stream is read again after its reading failed.
// The longer one keeps entries that find no snapshot from reading the whole
// stream twice a second.
const (
	tailPause    = 500 * time.Millisecond
	maxTailPause = 10 * time.Second
)

// tables are what a stream's records are applied to.
type tables interface {
	Apply(p state.StoredRecord) state.Outcome
	Offset() state.Offset
	Snapshot() ([]byte, state.Offset)
	Restore(data []byte, covered state.Offset) error
}

// followStream reads a stream from its start or its newest snapshot on and
// hands it to the control goroutine, until ctx ends.
func (c *control) followStream(ctx context.Context, log platform.Log, stream platform.Stream) error {
	from := state.Offset(0)
	pause := tailPause
	recovery := &recovery{control: c, log: log, stream: stream}
	for ctx.Err() == nil {
		err := logclient.Tail(ctx, log, stream, from, c.tailOptions(), func(page platform.Page) error {
			done := make(chan state.Offset, 1)
			if !c.post(ctx, pageRead{stream: stream, page: page, done: done}) {
				return ctx.Err()
			}
			select {
			case applied := <-done:
				from = applied + 1
				pause = tailPause
				return nil
			case <-ctx.Done():
				return ctx.Err()
			}
		})
		if ctx.Err() != nil {
			return nil
		}
		var lost *logclient.TruncatedError
		if errors.As(err, &lost) {
			if next, ok := recovery.from(ctx, lost); ok {
				from = next
				continue
			}
		} else {
			c.deps.logger.Warn("reading a stream failed; it is repeated", "stream", stream, "error", err)
		}
		ctxtime.Sleep(ctx, pause)
		pause = min(2*pause, maxTailPause)
	}
	return nil
}

func (c *control) tailOptions() logclient.TailOptions {
	return logclient.TailOptions{OnEvent: func(e logclient.Event) {
		c.deps.counters.Add("lagoonvalve_log_read_events_total", 1)
	}}
}

// tablesOf returns the tables that a stream is applied to.
func (c *control) tablesOf(stream platform.Stream) tables {
	if stream == platform.StreamConfig {
		return c.config
	}
	return c.region
}

// pageRead is a page of a stream; done gets the offset applied.
type pageRead struct {
	stream platform.Stream
	page   platform.Page
	done   chan state.Offset
}

func (e pageRead) apply(c *control, now time.Time) {
	t := c.tablesOf(e.stream)
	for _, record := range e.page.Records {
		outcome := t.Apply(record)
		c.changes.resolve(record.ID, outcome)
		c.noteOutcome(record, outcome)
	}
	if e.page.Next >= e.page.End {
		if e.stream == platform.StreamConfig {
			c.configRead.Store(now.UnixNano())
		}
		c.noteReadToEnd(e.stream)
	}
	c.dirty = c.dirty || len(e.page.Records) > 0
	e.done <- max(t.Offset(), e.page.Next-1)
}

// noteReadToEnd makes the entry ready once both streams were read to the end.
func (c *control) noteReadToEnd(stream platform.Stream) {
	known := &c.regionReady
	if stream == platform.StreamConfig {
		known = &c.configReady
	}
	if *known {
		return
	}
	*known = true
	c.dirty = true
	c.deps.logger.Info("stream read to its end", "stream", stream, "offset", c.tablesOf(stream).Offset())
}

func (c *control) noteOutcome(record state.StoredRecord, outcome state.Outcome) {
	switch {
	case outcome.Effect == state.EffectApplied && record.Kind == state.KindLeaseTake:
		held, _ := c.region.View().Lease()
		c.deps.logger.Info("decider changed", "holder", held.Holder, "epoch", held.Epoch)
		if held.Writer == c.cfg.self {
			c.deps.decided(state.Audit{
				Time: record.Time, Action: "decide", Name: string(c.cfg.region),
				Detail: "this entry became the region's decider", Offset: record.Offset,
			})
		}
	case outcome.Effect == state.EffectConflict || outcome.Effect == state.EffectInvalid:
		c.deps.counters.Add("lagoonvalve_records_without_effect_total", 1)
	}
}

// snapshotRead is a snapshot of a stream; done gets the offset applied.
type snapshotRead struct {
	stream   platform.Stream
	snapshot logclient.Snapshot
	done     chan state.Offset
}

func (e snapshotRead) apply(c *control, _ time.Time) {
	t := c.tablesOf(e.stream)
	if err := t.Restore(e.snapshot.Data, e.snapshot.Covered); err != nil {
		c.deps.logger.Warn("snapshot not applied", "stream", e.stream, "error", err)
	}
	c.dirty = true
	e.done <- t.Offset()
}

// changeWaiters holds who waits for the outcome of records that this process
// appended.
type changeWaiters struct {
	byRecord map[string]chan state.Outcome
}

func (w *changeWaiters) resolve(record string, outcome state.Outcome) {
	if waiter, ok := w.byRecord[record]; ok {
		delete(w.byRecord, record)
		waiter <- outcome
	}
}

// waiterAdded registers a waiter; the channel needs a buffer of one.
type waiterAdded struct {
	record  string
	outcome chan state.Outcome
}

func (e waiterAdded) apply(c *control, _ time.Time) {
	if c.changes.byRecord == nil {
		c.changes.byRecord = make(map[string]chan state.Outcome)
	}
	c.changes.byRecord[e.record] = e.outcome
}

// waiterRemoved ends a wait.
type waiterRemoved struct{ record string }

func (e waiterRemoved) apply(c *control, _ time.Time) { delete(c.changes.byRecord, e.record) }
