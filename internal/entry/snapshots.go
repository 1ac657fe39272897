package entry

import (
	"context"
	"time"

	"github.com/google/uuid"

	"github.com/lagoonvalve/lagoonvalve/internal/logclient"
	"github.com/lagoonvalve/lagoonvalve/internal/platform"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

const (
	// snapshotRecords is how many records after the last snapshot make a new
	// one due.
	snapshotRecords = 10_000
	// firstSnapshot is the time from a decider's first plan to its first
	// snapshot.
	firstSnapshot = time.Minute
	// snapshotTimeout bounds the writing of a snapshot.
	snapshotTimeout = time.Minute
	// snapshotRetry is the time from a failed snapshot to the next. Encoding
	// the configuration of the two-year size takes 75 ms of the control
	// goroutine.
	snapshotRetry = 5 * time.Second
)

// snapshotState says what the last snapshots of this process covered. Each
// stream has its own, since the configuration grows by 75,000 records a day at
// the two-year size and a region's stream by far fewer.
type snapshotState struct {
	region streamSnapshot
	config streamSnapshot
}

// streamSnapshot is the last snapshot of one stream.
type streamSnapshot struct {
	writing bool
	at      time.Time
	covered state.Offset
}

// of returns the state of a stream's snapshots.
func (s *snapshotState) of(stream platform.Stream) *streamSnapshot {
	if stream == platform.StreamConfig {
		return &s.config
	}
	return &s.region
}

// snapshotIfDue writes a stream's snapshot at a quarter of the log's retention
// or after snapshotRecords, so that a record is always in a snapshot before
// the log drops it.
func (c *control) snapshotIfDue(ctx context.Context, now time.Time) {
	if c.snapshotDue(platform.RegionStream(c.cfg.region), c.region, now) {
		c.writeSnapshot(ctx, platform.RegionStream(c.cfg.region), c.region, now)
	}
	if !c.snapshotDue(platform.StreamConfig, c.config, now) {
		return
	}
	if c.writesConfigSnapshot() {
		c.writeSnapshot(ctx, platform.StreamConfig, c.config, now)
		return
	}
	c.decider.snapshot.config = streamSnapshot{at: now, covered: c.config.Offset()}
}

func (c *control) snapshotDue(stream platform.Stream, t tables, now time.Time) bool {
	s := c.decider.snapshot.of(stream)
	if s.at.IsZero() {
		// Takeovers must not put the next snapshot off again and again, so a
		// new decider writes its first one soon.
		s.at = now.Add(firstSnapshot - c.cfg.retention/4)
		s.covered = t.Offset()
	}
	return !s.writing && (t.Offset()-s.covered >= snapshotRecords || now.Sub(s.at) >= c.cfg.retention/4)
}

// writesConfigSnapshot reports whether this region's decider is the one that
// writes the snapshots of the configuration: that of the first region by name.
func (c *control) writesConfigSnapshot() bool {
	for upstream := range c.config.View().Upstreams() {
		if upstream.Region < c.cfg.region {
			return false
		}
	}
	return true
}

func (c *control) writeSnapshot(ctx context.Context, stream platform.Stream, t tables, now time.Time) {
	if len(c.slots) == cap(c.slots) {
		return // Not encoded in vain; the next tick tries again.
	}
	data, covered := t.Snapshot()
	records, err := logclient.SnapshotRecords(c.cfg.self, uuid.NewString, covered, data)
	if err != nil {
		c.deps.logger.Error("snapshot can't be encoded", "stream", stream, "error", err)
		*c.decider.snapshot.of(stream) = streamSnapshot{at: now, covered: covered}
		return
	}
	started := c.start(ctx, func(ctx context.Context) event {
		ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
		defer cancel()
		err := logclient.WriteSnapshot(ctx, c.deps.appender, stream, records)
		return snapshotWritten{stream: stream, err: err}
	})
	if started {
		*c.decider.snapshot.of(stream) = streamSnapshot{writing: true, at: now, covered: covered}
	}
}

// snapshotWritten ends the writing of a snapshot. After a failure the next
// one is due after snapshotRetry.
type snapshotWritten struct {
	stream platform.Stream
	err    error
}

func (e snapshotWritten) apply(c *control, now time.Time) {
	s := c.decider.snapshot.of(e.stream)
	s.writing = false
	if e.err != nil {
		s.at = now.Add(snapshotRetry - c.cfg.retention/4)
		c.deps.logger.Warn("snapshot not written; it is repeated", "stream", e.stream, "error", e.err)
	}
}
