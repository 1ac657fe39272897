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
)

// snapshotState says what the last snapshots of this process covered.
type snapshotState struct {
	writing bool
	at      time.Time
	region  state.Offset
	config  state.Offset
}

// snapshotIfDue writes snapshots at a quarter of the log's retention or after
// snapshotRecords, so that a record is always in a snapshot before the log
// drops it.
func (c *control) snapshotIfDue(ctx context.Context, now time.Time) {
	s := &c.decider.snapshot
	if s.at.IsZero() {
		// Takeovers must not put the next snapshot off again and again, so a
		// new decider writes its first one soon.
		s.at = now.Add(firstSnapshot - c.cfg.retention/4)
		s.region, s.config = c.region.Offset(), c.config.Offset()
		return
	}
	grown := c.region.Offset()-s.region >= snapshotRecords || c.config.Offset()-s.config >= snapshotRecords
	if s.writing || (!grown && now.Sub(s.at) < c.cfg.retention/4) {
		return
	}
	s.at = now
	s.writing = true
	data, covered := c.region.Snapshot()
	s.region = covered
	c.writeSnapshot(ctx, platform.RegionStream(c.cfg.region), covered, data)
	if c.writesConfigSnapshot() {
		data, covered := c.config.Snapshot()
		s.config = covered
		c.writeSnapshot(ctx, platform.StreamConfig, covered, data)
	}
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

func (c *control) writeSnapshot(ctx context.Context, stream platform.Stream, covered state.Offset, data []byte) {
	records, err := logclient.SnapshotRecords(c.cfg.self, uuid.NewString, covered, data)
	if err != nil {
		c.deps.logger.Error("snapshot can't be encoded", "stream", stream, "error", err)
		return
	}
	started := c.start(ctx, func(ctx context.Context) event {
		ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
		defer cancel()
		err := logclient.WriteSnapshot(ctx, c.deps.appender, stream, records)
		return snapshotWritten{stream: stream, err: err}
	})
	if !started {
		c.decider.snapshot.writing = false
	}
}

// snapshotWritten ends the writing of a snapshot. After a failure the next
// one is due at once.
type snapshotWritten struct {
	stream platform.Stream
	err    error
}

func (e snapshotWritten) apply(c *control, _ time.Time) {
	c.decider.snapshot.writing = false
	if e.err != nil {
		c.decider.snapshot.at = time.Now().Add(-c.cfg.retention)
		c.deps.logger.Warn("snapshot not written; it is repeated", "stream", e.stream, "error", e.err)
	}
}
