package logclient_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/lagoonvalve/lagoonvalve/internal/logclient"
	"github.com/lagoonvalve/lagoonvalve/internal/platform"
	"github.com/lagoonvalve/lagoonvalve/internal/standin"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

func positions(from, to int) []state.StoredRecord {
	var list []state.StoredRecord
	for i := from; i < to; i++ {
		list = append(list, state.StoredRecord{Offset: state.Offset(i)})
	}
	return list
}

func span(from, to, end int) platform.Page {
	return platform.Page{From: state.Offset(from), Records: positions(from, to), Next: state.Offset(to), End: state.Offset(end)}
}

// scriptedLog answers reads with its pages in their order, and then with the
// right ones.
type scriptedLog struct {
	platform.Log
	pages []platform.Page
	end   int
}

func (l *scriptedLog) Read(_ context.Context, _ platform.Stream, from state.Offset, _ int, _ time.Duration) (platform.Page, error) {
	if len(l.pages) == 0 {
		return span(int(from), l.end, l.end), nil
	}
	page := l.pages[0]
	l.pages = l.pages[1:]
	return page, nil
}

var errDone = errors.New("done")

// collect tails log until it has read up to end.
func collect(ctx context.Context, log platform.Log, from, end state.Offset) (seen []state.Offset, kinds []logclient.EventKind, err error) {
	opts := logclient.TailOptions{OnEvent: func(e logclient.Event) { kinds = append(kinds, e.Kind) }}
	err = logclient.Tail(ctx, log, stream, from, opts, func(page platform.Page) error {
		for _, r := range page.Records {
			seen = append(seen, r.Offset)
		}
		if page.Next >= end {
			return errDone
		}
		return nil
	})
	return seen, kinds, err
}

// Guards against steps back, skipped or repeated records when pages come
// late, twice or out of order.
func TestTailDealsWithBadPages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		swapped := span(4, 6, 9)
		swapped.Records[0], swapped.Records[1] = swapped.Records[1], swapped.Records[0]
		log := &scriptedLog{end: 9, pages: []platform.Page{
			span(0, 2, 9), span(0, 2, 9), span(0, 1, 1), span(5, 7, 9), span(1, 4, 9), swapped,
		}}
		seen, kinds, err := collect(t.Context(), log, 0, 9)
		g.Expect(err).To(MatchError(errDone))
		g.Expect(seen).To(Equal([]state.Offset{0, 1, 2, 3, 4, 5, 6, 7, 8}))
		g.Expect(kinds).To(Equal([]logclient.EventKind{logclient.EventStale, logclient.EventGap, logclient.EventDisordered}))
	})
}

// Guards against any mix of such pages: the result must be that of a plain
// read of the log.
func TestTailEqualsPlainRead(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const end = 12
		draw := rapid.Custom(func(t *rapid.T) platform.Page {
			from := rapid.IntRange(0, end).Draw(t, "from")
			to := rapid.IntRange(from, end).Draw(t, "to")
			return span(from, to, rapid.IntRange(to, end).Draw(t, "end"))
		})
		log := &scriptedLog{end: end, pages: rapid.SliceOfN(draw, 0, 20).Draw(rt, "pages")}
		var seen []state.Offset
		synctest.Test(t, func(t *testing.T) { seen, _, _ = collect(t.Context(), log, 0, end) })
		if len(seen) != end {
			rt.Fatalf("saw %v", seen)
		}
		for i, offset := range seen {
			if offset != state.Offset(i) {
				rt.Fatalf("saw %v", seen)
			}
		}
	})
}

// Guards against a reader that goes on after records were truncated under it.
func TestTailReportsTruncation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		log := standin.NewLog(standin.LogConfig{RetainRecords: 5})
		for range 3 {
			_, err := log.Append(t.Context(), stream, numbered("a", 4))
			g.Expect(err).NotTo(HaveOccurred())
		}
		seen, _, err := collect(t.Context(), log, 2, 12)
		var truncated *logclient.TruncatedError
		g.Expect(errors.As(err, &truncated)).To(BeTrue(), "%v", err)
		g.Expect(*truncated).To(Equal(logclient.TruncatedError{Stream: stream, From: 2, Oldest: 7, End: 12}))
		g.Expect(seen).To(BeEmpty())
		// A log that moves on without an error.
		page := span(9, 9, 12)
		page.From, page.Oldest = 2, 9
		_, _, err = collect(t.Context(), &scriptedLog{pages: []platform.Page{page}, end: 12}, 2, 12)
		g.Expect(errors.As(err, &truncated)).To(BeTrue(), "%v", err)
	})
}

// Guards against a tail that ends, or spins, during an outage.
func TestTailOutlastsOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		log := standin.NewLog(standin.LogConfig{})
		_, err := log.Append(t.Context(), stream, numbered("a", 3))
		g.Expect(err).NotTo(HaveOccurred())
		log.SetFaults(standin.LogFaults{Outage: true})
		time.AfterFunc(time.Minute, func() { log.SetFaults(standin.LogFaults{}) })
		seen, kinds, err := collect(t.Context(), log, 0, 3)
		g.Expect(err).To(MatchError(errDone))
		g.Expect(seen).To(HaveLen(3))
		g.Expect(len(kinds)).To(BeNumerically("<", 90))
	})
}
