package logclient_test

import (
	"bytes"
	"fmt"
	"testing"
	"testing/synctest"

	. "github.com/onsi/gomega"

	"github.com/lagoonvalve/lagoonvalve/internal/logclient"
	"github.com/lagoonvalve/lagoonvalve/internal/standin"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

func snapshotParts(g *WithT, name string, covered state.Offset, fill byte) (parts []state.Record, data []byte) {
	data = bytes.Repeat([]byte{fill}, 100<<10)
	count := 0
	newID := func() string {
		count++
		return fmt.Sprintf("%s-%d", name, count)
	}
	parts, err := logclient.SnapshotRecords(state.ProcessID{Name: "e"}, newID, covered, data)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(parts).To(HaveLen(3))
	for _, part := range parts {
		g.Expect(len(part.Body)).To(BeNumerically("<=", 64<<10))
	}
	return parts, data
}

// Guards against a snapshot with missing or repeated parts or with parts of
// different snapshots, and against an older snapshot that replaces newer state.
func TestSnapshotReaderReturnsOnlyCompleteAndNewer(t *testing.T) {
	g := NewWithT(t)
	older, _ := snapshotParts(g, "older", 10, 'o')
	newer, data := snapshotParts(g, "newer", 20, 'n')
	broken, _ := snapshotParts(g, "broken", 30, 'b')
	reader := logclient.NewSnapshotReader(5)
	add := func(r state.Record) (logclient.Snapshot, bool) {
		return reader.Add(state.StoredRecord{Offset: 100, Record: r})
	}
	for _, r := range []state.Record{broken[0], broken[2], broken[2], older[0], newer[2], older[1], newer[0], newer[0], record("other")} {
		_, ok := add(r)
		g.Expect(ok).To(BeFalse())
	}
	got, ok := add(newer[1])
	g.Expect(ok).To(BeTrue())
	g.Expect(got.Covered).To(Equal(state.Offset(20)))
	g.Expect(bytes.Equal(got.Data, data)).To(BeTrue())
	_, ok = add(older[2])
	g.Expect(ok).To(BeFalse(), "older set")
	ahead := logclient.NewSnapshotReader(25)
	for _, r := range newer {
		_, ok = ahead.Add(state.StoredRecord{Offset: 100, Record: r})
		g.Expect(ok).To(BeFalse(), "reader is ahead")
	}
}

// Guards against a restart that uses a snapshot that was not written completely
// or whose first parts were truncated from the log.
func TestLatestSnapshotFromLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stored := standin.NewLog(standin.LogConfig{})
		writerTest(t, stored, nil, logclient.WriterConfig{Delay: -1}, func(g *WithT, w *logclient.Writer) {
			_, err := w.Append(t.Context(), stream, numberedRecords("a", 30)...)
			g.Expect(err).NotTo(HaveOccurred())
			first, _ := snapshotParts(g, "first", 5, 'f')
			second, data := snapshotParts(g, "second", 8, 's')
			cut, _ := snapshotParts(g, "cut", 20, 'c')
			g.Expect(logclient.WriteSnapshot(t.Context(), w, stream, first)).To(Succeed())
			g.Expect(logclient.WriteSnapshot(t.Context(), w, stream, second)).To(Succeed())
			g.Expect(logclient.WriteSnapshot(t.Context(), w, stream, cut[:2])).To(Succeed())
			got, ok, err := logclient.LatestSnapshot(t.Context(), stored, stream, state.NoOffset)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(ok).To(BeTrue())
			g.Expect(got.Covered).To(Equal(state.Offset(8)))
			g.Expect(bytes.Equal(got.Data, data)).To(BeTrue())
			stored.Truncate(stream, 34)
			_, ok, err = logclient.LatestSnapshot(t.Context(), stored, stream, state.NoOffset)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(ok).To(BeFalse())
		})
	})
}

// Guards against a search that reads all that a snapshot covers: in a long stream it takes
// longer than its caller waits, and finds nothing.
func TestLatestSnapshotReadsWhatFollows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stored := standin.NewLog(standin.LogConfig{})
		writerTest(t, stored, nil, logclient.WriterConfig{Delay: -1}, func(g *WithT, w *logclient.Writer) {
			const covered = 1999
			for range 10 {
				_, err := w.Append(t.Context(), stream, numberedRecords("a", (covered+1)/10)...)
				g.Expect(err).NotTo(HaveOccurred())
			}
			parts, _ := snapshotParts(g, "s", covered, 's')
			g.Expect(logclient.WriteSnapshot(t.Context(), w, stream, parts)).To(Succeed())
			counted := &countingLog{Log: stored}
			got, ok, err := logclient.LatestSnapshot(t.Context(), counted, stream, covered-1)
			g.Expect([]any{got.Covered, ok, err}).To(Equal([]any{state.Offset(covered), true, nil}))
			g.Expect(counted.count()).To(Equal(1))
		})
	})
}
