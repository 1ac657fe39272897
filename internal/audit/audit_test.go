package audit_test

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/lagoonvalve/lagoonvalve/internal/audit"
	"github.com/lagoonvalve/lagoonvalve/internal/platform"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
	"github.com/lagoonvalve/lagoonvalve/internal/testenv"
	"github.com/lagoonvalve/lagoonvalve/internal/verdict"
)

func TestMain(m *testing.M) { testenv.Main(m, testenv.RapidDefaults{Seed: 1}) }

var (
	writer = state.ProcessID{Name: "entry-1", Incarnation: "i1"}
	start  = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
)

// fakeLog stores records. Fail, if set, is the error of each append; an
// unknown outcome stores the records nevertheless.
type fakeLog struct {
	mu      sync.Mutex
	fail    error
	records []state.StoredRecord
	appends int
}

func (l *fakeLog) Append(_ context.Context, stream platform.Stream, records ...state.Record) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if stream != "audit/north" {
		return errors.Errorf("wrong stream %s", stream)
	}
	l.appends++
	if l.fail != nil && !errors.Is(l.fail, platform.ErrUnknownOutcome) {
		return l.fail
	}
	for _, r := range records {
		l.records = append(l.records, state.StoredRecord{Offset: state.Offset(len(l.records)), Record: r})
	}
	return l.fail
}

func (l *fakeLog) entries(g *WithT) []state.Audit {
	entries := make([]state.Audit, len(l.records))
	for i, r := range l.records {
		entry, err := state.DecodeBody[state.Audit](r.Record)
		g.Expect(err).NotTo(HaveOccurred())
		entries[i] = entry
	}
	return entries
}

func entry(n int) state.Audit {
	return state.Audit{Time: start.Add(time.Duration(n) * time.Second), Actor: "ann", Action: "change", Name: fmt.Sprint(n)}
}

// Guards against entries lost, reordered or given new ids while the log is
// away, and against one append per entry.
func TestTrailKeepsItsEntriesWhileTheLogIsAway(t *testing.T) {
	g := NewWithT(t)
	log := &fakeLog{fail: platform.ErrUnknownOutcome}
	trail := audit.NewTrail(writer, "north", log, audit.Options{Batch: 10})
	for n := range 25 {
		trail.Operator(entry(n))
	}
	g.Expect(trail.Flush(t.Context())).To(MatchError(platform.ErrUnknownOutcome))
	log.fail = nil
	g.Expect(trail.Flush(t.Context())).To(Succeed())
	g.Expect(log.appends).To(Equal(4))
	ids := make(map[string]string)
	for i, a := range log.entries(g) {
		ids[log.records[i].ID] = a.Name
	}
	g.Expect(ids).To(HaveLen(25))
	g.Expect(log.entries(g)[34].Name).To(Equal("24"))
}

// Guards against unbounded memory, against automatic decisions that take the
// room of operators' changes, and against a silent gap in the trail.
func TestTrailIsBoundedAndTellsOfItsGap(t *testing.T) {
	g := NewWithT(t)
	log := &fakeLog{fail: platform.ErrUnavailable}
	trail := audit.NewTrail(writer, "north", log, audit.Options{Pending: 20, Batch: 5, Recent: 7})
	for n := range 100 {
		trail.Automatic(entry(n))
	}
	trail.Operator(entry(100))
	g.Expect(trail.Flush(t.Context())).To(MatchError(platform.ErrUnavailable))
	waiting, discarded := trail.Pending()
	g.Expect(waiting).To(BeNumerically("<=", 20))
	g.Expect(discarded).To(Equal(uint64(85)))
	log.fail = nil
	g.Expect(trail.Flush(t.Context())).To(Succeed())
	entries := log.entries(g)
	g.Expect(entries).To(ContainElement(HaveField("Name", "100")))
	last := entries[len(entries)-1]
	g.Expect(last.Action).To(Equal("discard"))
	g.Expect(string(last.After)).To(Equal(`{"discarded":85}`))
	g.Expect(entries[0].Actor).To(Equal("entry-1"))
	g.Expect(trail.Recent(start, 100)).To(HaveLen(7))
}

// Guards against secrets or oversized values in the trail.
func TestTrailHoldsNoSecretsAndNoLargeValues(t *testing.T) {
	g := NewWithT(t)
	trail := audit.NewTrail(writer, "north", &fakeLog{}, audit.Options{})
	change := state.ConfigChange{
		Entity: state.EntityCaller, Name: "ann", Actor: "bob", Reason: string(make([]byte, 5000)),
		Value: json.RawMessage(`{"weight":9007199254740993,"auth":[{"API_Token":"hunter2"}]}`),
	}
	large, err := json.Marshal(string(make([]byte, 100_000)))
	g.Expect(err).NotTo(HaveOccurred())
	trail.Operator(audit.ChangeEntry(start, change, large, verdict.Refuse(verdict.ReasonConflict, "revision 3"), 9))
	got := trail.Recent(start, 1)[0]
	g.Expect(string(got.After)).To(Equal(`{"auth":[{"API_Token":"[redacted]"}],"weight":9007199254740993}`))
	g.Expect(string(got.Before)).To(Equal(`"[too large]"`))
	g.Expect(got.Reason).To(HaveLen(1024))
	g.Expect(got.Accepted).To(BeFalse())
	g.Expect(got.Offset).To(Equal(state.NoOffset))
	g.Expect(got.Action).To(Equal("create"))
	g.Expect(got.Detail).To(ContainSubstring("revision 3"))
}

// Guards against own entries shown twice and against lost order.
func TestRecentHoldsEntriesOfAllEntriesOnce(t *testing.T) {
	g := NewWithT(t)
	log := &fakeLog{}
	mine := audit.NewTrail(writer, "north", log, audit.Options{})
	theirs := audit.NewTrail(state.ProcessID{Name: "entry-2"}, "north", log, audit.Options{})
	mine.Operator(entry(1))
	theirs.Operator(entry(2))
	g.Expect(mine.Flush(t.Context())).To(Succeed())
	g.Expect(theirs.Flush(t.Context())).To(Succeed())
	mine.Observe(log.records)
	mine.Observe(log.records)
	g.Expect(mine.Recent(start, 10)).To(HaveExactElements(HaveField("Name", "2"), HaveField("Name", "1")))
	g.Expect(mine.Recent(start.Add(2*time.Second), 10)).To(HaveLen(1))
	g.Expect(mine.Reach()).To(BeZero())
	// Entries that are read late take no room from newer ones.
	small := audit.NewTrail(writer, "north", log, audit.Options{Recent: 2})
	small.Operator(entry(3))
	small.Observe(log.records)
	g.Expect(small.Recent(start, 10)).To(HaveExactElements(HaveField("Name", "3"), HaveField("Name", "2")))
	g.Expect(small.Reach()).To(Equal(entry(2).Time))
}

// Guards against requests lost or counted twice while windows close, reports
// are written and the log fails, with writers at work all the time.
func TestCountsAreExactWhileWindowsClose(t *testing.T) {
	const writers, each = 8, 2000
	g := NewWithT(t)
	counts := audit.NewCounts(start, 1000)
	log := &fakeLog{}
	reporter := audit.NewReporter(counts, writer, "north", log)
	var group sync.WaitGroup
	for w := range writers {
		group.Go(func() {
			for n := range each {
				counts.Add(state.CallerName(fmt.Sprint("c", n%7)), audit.Outcome((w+n)%4), verdict.ReasonShed)
			}
		})
	}
	now := start
	for n := range 50 {
		now = now.Add(time.Second)
		counts.CloseWindow(now)
		log.fail = []error{nil, platform.ErrUnavailable, platform.ErrUnknownOutcome}[n%3]
		_ = reporter.Flush(t.Context(), now, false)
	}
	group.Wait()
	log.fail = nil
	g.Expect(reporter.Flush(t.Context(), now, true)).To(Succeed())
	total := counts.Total(now).Rows
	g.Expect(requests(total)).To(BeEquivalentTo(writers * each))
	g.Expect(counts.Since(start, now).Rows).To(Equal(total))
	settled, err := audit.Settle(log.records)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(settled.Rows).To(Equal(total))
	g.Expect(settled.Processes).To(Equal([]audit.Completeness{
		{Process: writer, From: start, To: now, Final: true},
	}))
}

func requests(rows []audit.Row) (sum uint64) {
	for _, row := range rows {
		sum += row.Requests
	}
	return sum
}

// Guards against windows that differ from a plain list of events.
func TestWindowsMatchAPlainList(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		counts := audit.NewCounts(start, 5)
		now, edges := start, []time.Time{start}
		type event struct {
			at   int
			cell audit.Cell
		}
		var events []event
		for range rapid.IntRange(0, 60).Draw(rt, "steps") {
			if rapid.IntRange(0, 5).Draw(rt, "step") == 0 {
				now = now.Add(time.Minute)
				counts.CloseWindow(now)
				edges = append(edges, now)
				continue
			}
			cell := audit.Cell{
				Caller:  state.CallerName(rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "caller")),
				Outcome: audit.Outcome(rapid.IntRange(0, 3).Draw(rt, "outcome")),
				Reason:  verdict.ReasonOK,
			}
			counts.Add(cell.Caller, cell.Outcome, cell.Reason)
			events = append(events, event{at: len(edges) - 1, cell: cell})
		}
		from := rapid.IntRange(max(0, len(edges)-6), len(edges)-1).Draw(rt, "from")
		want := make(map[audit.Cell]uint64)
		for _, e := range events {
			if e.at >= from {
				want[e.cell]++
			}
		}
		got := counts.Since(edges[from], now)
		if !got.From.Equal(edges[from]) || len(got.Rows) != len(want) {
			rt.Fatalf("from %v: got %v, want %v", edges[from], got, want)
		}
		for _, row := range got.Rows {
			if want[row.Cell] != row.Requests {
				rt.Fatalf("%v: got %d, want %d", row.Cell, row.Requests, want[row.Cell])
			}
		}
	})
}

// Guards against a settlement that hides a missing report, a missing part or
// a process that ended without its final report.
func TestSettlementTellsWhatIsMissing(t *testing.T) {
	g := NewWithT(t)
	log := &fakeLog{}
	counts := audit.NewCounts(start, 1)
	reporter := audit.NewReporter(counts, writer, "north", log)
	for n := range 3 {
		for c := range 500 {
			counts.Add(state.CallerName(fmt.Sprint("c", c)), audit.Served, verdict.ReasonOK)
		}
		g.Expect(reporter.Flush(t.Context(), start.Add(time.Duration(n+1)*time.Minute), false)).To(Succeed())
	}
	g.Expect(log.records).To(HaveLen(6))
	whole, err := audit.Settle(append(log.records, log.records...))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(requests(whole.Rows)).To(BeEquivalentTo(1500))
	g.Expect(whole.Processes[0].Missing).To(Equal(0))
	g.Expect(whole.Processes[0].Final).To(BeFalse())
	for _, lost := range []struct{ from, to, missing int }{{0, 2, 1}, {2, 4, 1}, {3, 4, 1}, {1, 3, 2}} {
		kept := append(append([]state.StoredRecord{}, log.records[:lost.from]...), log.records[lost.to:]...)
		part, err := audit.Settle(kept)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(part.Processes[0].Missing).To(Equal(lost.missing))
	}
}

// Guards against counts reported twice after an append of unknown outcome,
// whether or not it took effect, and lost after one that did not.
func TestUnknownOutcomesNeitherDoubleNorLoseCounts(t *testing.T) {
	for _, fault := range []error{platform.ErrUnknownOutcome, platform.ErrUnavailable, errors.New("cut before the log")} {
		g := NewWithT(t)
		counts := audit.NewCounts(start, 1)
		log := &fakeLog{}
		reporter := audit.NewReporter(counts, writer, "north", log)
		for n := range 6 {
			counts.Add("ann", audit.Late, verdict.ReasonOK)
			log.fail = nil
			if n%2 == 0 {
				log.fail = fault
			}
			err := reporter.Flush(t.Context(), start.Add(time.Duration(n+1)*time.Minute), n == 5)
			g.Expect(err == nil).To(Equal(n%2 == 1))
		}
		settled, err := audit.Settle(log.records)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(requests(settled.Rows)).To(BeEquivalentTo(6))
		g.Expect(settled.Processes).To(HaveExactElements(And(HaveField("Missing", 0), HaveField("Final", true))))
	}
}
