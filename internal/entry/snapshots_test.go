package entry

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lagoonvalve/lagoonvalve/internal/platform"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// slowAppender counts appends by stream and holds those of one stream back.
type slowAppender struct {
	held     platform.Stream
	released chan struct{}
	// fail refuses all appends.
	fail bool

	mu      sync.Mutex
	started map[platform.Stream]int
}

func (a *slowAppender) Append(ctx context.Context, stream platform.Stream, records ...state.Record) ([]state.Offset, error) {
	a.mu.Lock()
	a.started[stream]++
	a.mu.Unlock()
	if a.fail {
		return nil, platform.ErrUnavailable
	}
	if stream == a.held {
		select {
		case <-a.released:
		case <-ctx.Done():
			return nil, platform.ErrUnknownOutcome
		}
	}
	return make([]state.Offset, len(records)), nil
}

func (a *slowAppender) count(stream platform.Stream) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.started[stream]
}

// snapshotBench is the control side of a decider without its loop.
type snapshotBench struct {
	*control
	appender *slowAppender
}

func newSnapshotBench(held platform.Stream) *snapshotBench {
	a := &slowAppender{held: held, released: make(chan struct{}), started: make(map[platform.Stream]int)}
	return &snapshotBench{appender: a, control: newControl(controlConfig{name: "e", region: "r", retention: 24 * time.Hour},
		controlDeps{appender: a, logger: slog.New(slog.DiscardHandler), counters: noCounters{}}, time.Now())}
}

// step writes what is due and hears of what has ended.
func (b *snapshotBench) step(t *testing.T) {
	b.snapshotIfDue(t.Context(), time.Now())
	synctest.Wait()
	b.drainEvents()
}

// grow makes a stream longer by as many records as make a snapshot due.
func grow(t tables) {
	t.Apply(state.StoredRecord{Offset: t.Offset() + snapshotRecords})
}

// Guards against two snapshots of one stream at a time, the second of which
// makes the first one useless, after the snapshot of the other stream ended.
func TestSnapshotsOfAStreamFollowEachOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		b := newSnapshotBench(platform.StreamConfig)
		b.step(t)
		grow(b.config)
		grow(b.region)
		b.step(t)
		g.Expect(b.appender.count(platform.StreamConfig)).To(Equal(1))
		grow(b.config)
		grow(b.region)
		b.step(t)
		g.Expect(b.appender.count(platform.StreamConfig)).To(Equal(1), "the first one is still being written")
		g.Expect(b.appender.count(platform.RegionStream("r"))).To(Equal(2), "it does not hold up the other stream")
		close(b.appender.released)
		synctest.Wait()
		b.drainEvents()
		b.step(t)
		g.Expect(b.appender.count(platform.StreamConfig)).To(Equal(2))
	})
}

// Guards against a snapshot of the region for each 10,000 changes of the
// configuration, and against the reverse.
func TestSnapshotsAreDueByTheirOwnGrowth(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		b := newSnapshotBench("")
		b.step(t)
		grow(b.config)
		b.step(t)
		g.Expect(b.appender.count(platform.StreamConfig)).To(Equal(1))
		g.Expect(b.appender.count(platform.RegionStream("r"))).To(BeZero())
		grow(b.region)
		b.step(t)
		g.Expect(b.appender.count(platform.StreamConfig)).To(Equal(1))
		g.Expect(b.appender.count(platform.RegionStream("r"))).To(Equal(1))
		time.Sleep(b.cfg.retention / 4)
		b.step(t)
		g.Expect(b.appender.count(platform.StreamConfig)).To(Equal(2))
		g.Expect(b.appender.count(platform.RegionStream("r"))).To(Equal(2))
	})
}

// Guards against a snapshot that waits for a quarter of the retention because
// too many other commands ran when it was due.
func TestDroppedSnapshotIsStartedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		b := newSnapshotBench("")
		b.step(t)
		grow(b.region)
		for range maxCommands {
			b.slots <- struct{}{}
		}
		b.step(t)
		g.Expect(b.appender.count(platform.RegionStream("r"))).To(BeZero())
		<-b.slots
		b.step(t)
		g.Expect(b.appender.count(platform.RegionStream("r"))).To(Equal(1))
	})
}

// Guards against a snapshot that fails once and is then put off for a quarter
// of the retention, and against one that is encoded on each tick meanwhile.
func TestFailedSnapshotIsRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		b := newSnapshotBench("")
		b.appender.fail = true
		b.step(t)
		time.Sleep(firstSnapshot)
		b.step(t)
		g.Expect(b.appender.count(platform.RegionStream("r"))).To(Equal(1))
		b.step(t)
		g.Expect(b.appender.count(platform.RegionStream("r"))).To(Equal(1))
		time.Sleep(snapshotRetry)
		b.appender.fail = false
		b.step(t)
		g.Expect(b.appender.count(platform.RegionStream("r"))).To(Equal(2))
		time.Sleep(snapshotRetry)
		b.step(t)
		g.Expect(b.appender.count(platform.RegionStream("r"))).To(Equal(2), "written")
	})
}
