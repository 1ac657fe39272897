package entry

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"
	. "github.com/onsi/gomega"

	"github.com/lagoonvalve/lagoonvalve/internal/logclient"
	"github.com/lagoonvalve/lagoonvalve/internal/platform"
	"github.com/lagoonvalve/lagoonvalve/internal/standin"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// faultyLog answers reads with repeated, cut, shifted, reordered, empty and
// lost pages.
type faultyLog struct {
	platform.Log
	mu      sync.Mutex
	random  *rand.Rand
	earlier []platform.Page
	faults  map[string]int
	// searches counts the searches for snapshots.
	searches int
}

// Read implements platform.Log.
func (l *faultyLog) Read(ctx context.Context, stream platform.Stream, from state.Offset, limit int, wait time.Duration) (platform.Page, error) {
	page, err := l.Log.Read(ctx, stream, from, limit, wait)
	l.mu.Lock()
	defer l.mu.Unlock()
	// A search begins at a record that the log has lost, and does not wait for new ones.
	if wait == 0 && errors.Is(err, platform.ErrTruncated) {
		l.searches++
	}
	if err != nil || l.faults == nil {
		return page, err
	}
	l.earlier = append(l.earlier, page)
	kind := []string{"none", "none", "repeated", "cut", "shifted", "reordered", "empty", "lost"}[l.random.IntN(8)]
	l.faults[kind]++
	switch kind {
	case "repeated":
		return l.earlier[l.random.IntN(len(l.earlier))], nil
	case "cut":
		keep := l.random.IntN(len(page.Records) + 1)
		page.Records = page.Records[:keep]
		page.Next = page.From + state.Offset(keep)
	case "shifted":
		if len(page.Records) > 1 {
			page.Records, page.From = page.Records[1:], page.From+1
		}
	case "reordered":
		page.Records = slices.Clone(page.Records)
		slices.Reverse(page.Records)
	case "empty":
		page.Records, page.Next = nil, page.From
	case "lost":
		return platform.Page{}, errors.Wrap(platform.ErrUnavailable, "answer lost")
	}
	return page, nil
}

// heal ends the faults and returns their numbers by kind.
func (l *faultyLog) heal() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	made := l.faults
	l.faults = nil
	return made
}

// naiveReader applies all records of a stream in their order.
type naiveReader struct {
	tables *state.Config
	// at holds the snapshot of the tables after each offset.
	at []string
}

func (n *naiveReader) apply(records ...state.StoredRecord) {
	for _, record := range records {
		n.tables.Apply(record)
		data, _ := n.tables.Snapshot()
		n.at = append(n.at, string(data))
	}
}

// randomChange changes one of a few callers, sometimes with a stale revision.
func randomChange(random *rand.Rand, c *state.Config) state.ConfigChange {
	name := state.CallerName(fmt.Sprint("c", random.IntN(5)))
	_, revision, _ := c.View().Caller(name)
	change := state.ConfigChange{Entity: state.EntityCaller, Name: string(name), Expected: revision, Actor: "op"}
	if random.IntN(5) == 0 {
		change.Expected += state.Revision(random.IntN(3))
	}
	if random.IntN(6) > 0 {
		change.Value = []byte(fmt.Sprintf(`{"name":%q,"team":"t","weight":%d}`, name, 1+random.IntN(50)))
	}
	return change
}

// Guards against tables that go back, skip or repeat a record, or that end at
// another state than a plain reader's, when pages come repeated, cut, shifted,
// reordered, empty or not at all, and while the log drops records that only
// snapshots cover.
func TestTablesEqualThoseOfANaiveReader(t *testing.T) {
	faults := make(map[string]int)
	searches := 0
	for seed := range uint64(30) {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			random := rand.New(rand.NewPCG(seed, 1))
			stored := standin.NewLog(standin.LogConfig{})
			log := &faultyLog{Log: stored, random: rand.New(rand.NewPCG(seed, 2)), faults: make(map[string]int)}
			naive := &naiveReader{tables: state.NewConfig()}
			appendAll := func(records ...state.Record) {
				first, err := stored.Append(t.Context(), platform.StreamConfig, records)
				g.Expect(err).NotTo(HaveOccurred())
				for i, record := range records {
					naive.apply(state.StoredRecord{Offset: first + state.Offset(i), Time: time.Now(), Record: record})
				}
			}
			c := newControl(controlConfig{name: "a", region: "r"},
				controlDeps{logger: slog.New(slog.DiscardHandler), counters: noCounters{}}, time.Now())
			ctx, stop := context.WithCancel(t.Context())
			defer stop()
			go func() { _ = c.run(ctx) }()
			appendAll(newTestRecord(g, state.KindConfigChange, teamChange("t")))
			go func() { _ = c.followStream(ctx, log, platform.StreamConfig) }()

			seen := state.NoOffset
			check := func() {
				got := <-c.snapshotNow()
				if got == nil {
					return
				}
				g.Expect(got.covered).To(BeNumerically(">=", seen), "seed %d: went back", seed)
				seen = got.covered
				g.Expect(string(got.data)).To(Equal(naive.at[seen]), "seed %d: tables at %d", seed, seen)
			}
			for range 80 {
				for range random.IntN(4) {
					appendAll(newTestRecord(g, state.KindConfigChange, randomChange(random, naive.tables)))
				}
				if random.IntN(10) == 0 {
					data, covered := naive.tables.Snapshot()
					records, err := logclient.SnapshotRecords(c.cfg.self, uuid.NewString, covered, data)
					g.Expect(err).NotTo(HaveOccurred())
					appendAll(records...)
					if random.IntN(2) == 0 {
						stored.Truncate(platform.StreamConfig, covered+1)
					}
				}
				time.Sleep(time.Duration(random.IntN(2000)) * time.Millisecond)
				check()
			}
			for kind, n := range log.heal() {
				faults[kind] += n
			}
			time.Sleep(30 * time.Second)
			check()
			g.Expect(seen).To(Equal(state.Offset(len(naive.at)-1)), "seed %d: not read to the end", seed)
			stop()
			synctest.Wait()
			searches += log.searches
		})
	}
	g := NewWithT(t)
	for _, kind := range []string{"none", "repeated", "cut", "shifted", "reordered", "empty", "lost"} {
		g.Expect(faults[kind]).To(BeNumerically(">", 100), kind)
	}
	g.Expect(searches).To(BeNumerically(">", 20), "searches for snapshots")
}
