package logclient_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	. "github.com/onsi/gomega"

	"github.com/lagoonvalve/lagoonvalve/internal/logclient"
	"github.com/lagoonvalve/lagoonvalve/internal/platform"
	"github.com/lagoonvalve/lagoonvalve/internal/standin"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// writerTest runs f with a running writer to log, or to stored if log is nil.
// It must be called within synctest.Test.
func writerTest(t *testing.T, stored *standin.Log, log platform.Log, cfg logclient.WriterConfig, f func(g *WithT, w *logclient.Writer)) {
	t.Helper()
	if log == nil {
		log = stored
	}
	ctx, cancel := context.WithCancel(t.Context())
	w := logclient.NewWriter(log, cfg)
	done := make(chan error, 1)
	go func() { done <- w.Run(ctx) }()
	f(NewWithT(t), w)
	cancel()
	if err := <-done; err != nil {
		t.Error(err)
	}
	synctest.Wait()
}

type outcome struct {
	offsets []state.Offset
	err     error
}

func appendAsync(ctx context.Context, w *logclient.Writer, records ...state.Record) <-chan outcome {
	done := make(chan outcome, 1)
	go func() {
		offsets, err := w.Append(ctx, stream, records...)
		done <- outcome{offsets, err}
	}()
	return done
}

func storedIDs(log *standin.Log) []string {
	var list []string
	for _, r := range log.Records(stream) {
		list = append(list, r.ID)
	}
	return list
}

// Guards against concurrent calls that are not batched into one append, and
// against offsets returned to the wrong caller.
func TestWriterSharesAppends(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stored := standin.NewLog(standin.LogConfig{})
		writerTest(t, stored, nil, logclient.WriterConfig{}, func(g *WithT, w *logclient.Writer) {
			began := time.Now()
			results := make([]<-chan outcome, 100)
			for i := range results {
				results[i] = appendAsync(t.Context(), w, numberedRecords(fmt.Sprint(i), 2)...)
			}
			for i, result := range results {
				got := <-result
				g.Expect(got.err).NotTo(HaveOccurred())
				g.Expect(got.offsets[1]).To(Equal(got.offsets[0] + 1))
				g.Expect(stored.Records(stream)[got.offsets[1]].ID).To(Equal(fmt.Sprintf("%d-1", i)))
			}
			g.Expect(stored.Appends()).To(Equal(1))
			g.Expect(time.Since(began)).To(Equal(50 * time.Millisecond))
		})
	})
}

// Guards against a writer that exceeds its append rate and burst.
func TestWriterKeepsBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stored := standin.NewLog(standin.LogConfig{})
		cfg := logclient.WriterConfig{Delay: -1, AppendsPerSecond: 10, AppendBurst: 3}
		writerTest(t, stored, nil, cfg, func(g *WithT, w *logclient.Writer) {
			var results []<-chan outcome
			for i := range 2000 {
				results = append(results, appendAsync(t.Context(), w, record(fmt.Sprint(i))))
				time.Sleep(5 * time.Millisecond)
			}
			for _, result := range results {
				g.Expect((<-result).err).NotTo(HaveOccurred())
			}
			g.Expect(stored.Appends()).To(BeNumerically("~", 102, 3))
		})
	})
}

// Guards against records that are lost or refused during an outage of the log
// that ends before the context of the call, and against records that are stored
// after their call returned platform.ErrUnavailable.
func TestWriterRetriesOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stored := standin.NewLog(standin.LogConfig{})
		stored.SetFaults(standin.LogFaults{Outage: true})
		writerTest(t, stored, nil, logclient.WriterConfig{}, func(g *WithT, w *logclient.Writer) {
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			short := appendAsync(ctx, w, record("short"))
			long := appendAsync(t.Context(), w, record("long"))
			got := <-short
			g.Expect(errors.Is(got.err, platform.ErrUnavailable)).To(BeTrue(), "%v", got.err)
			stored.SetFaults(standin.LogFaults{OutageNext: 2})
			got = <-long
			g.Expect(got.err).NotTo(HaveOccurred())
			g.Expect(got.offsets).To(Equal([]state.Offset{0}))
			g.Expect(storedIDs(stored)).To(Equal([]string{"long"}), "a refused record must not be stored later")
		})
	})
}

// Guards against a second copy of the records, or a wrong offset, after the
// answer to an append was lost, also if the search for the records fails at
// first.
func TestWriterResolvesLostAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stored := standin.NewLog(standin.LogConfig{})
		writerTest(t, stored, nil, logclient.WriterConfig{}, func(g *WithT, w *logclient.Writer) {
			g.Expect((<-appendAsync(t.Context(), w, record("first"))).err).NotTo(HaveOccurred())
			stored.SetFaults(standin.LogFaults{DelayNext: 1, NextDelay: state.Duration(time.Second), LoseNext: 1})
			lost := appendAsync(t.Context(), w, numberedRecords("lost", 2)...)
			time.Sleep(500 * time.Millisecond)
			stored.SetFaults(standin.LogFaults{Outage: true})
			time.Sleep(time.Minute)
			select {
			case got := <-lost:
				t.Fatalf("result before the outcome could be determined: %+v", got)
			default:
			}
			stored.SetFaults(standin.LogFaults{})
			got := <-lost
			g.Expect(got.err).NotTo(HaveOccurred())
			g.Expect(got.offsets).To(Equal([]state.Offset{1, 2}))
			g.Expect(storedIDs(stored)).To(Equal([]string{"first", "lost-0", "lost-1"}))
		})
	})
}

// Guards against sending a record again while its first append may still take
// effect, and against returning the offset of a later copy if there are two.
func TestWriterAppendTakesEffectLate(t *testing.T) {
	for name, tc := range map[string]struct {
		late   time.Duration
		copies int
	}{
		"within settle": {late: 9 * time.Second, copies: 1},
		// The first append takes effect while the second is delayed.
		"after settle": {late: 20500 * time.Millisecond, copies: 2},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				stored := standin.NewLog(standin.LogConfig{})
				log := timeoutLog{stored, 6 * time.Second}
				writerTest(t, stored, log, logclient.WriterConfig{}, func(g *WithT, w *logclient.Writer) {
					stored.SetFaults(standin.LogFaults{DelayNext: 1, NextDelay: state.Duration(tc.late)})
					late := appendAsync(t.Context(), w, record("late"))
					time.Sleep(4 * time.Second)
					// The second append is delayed too, but answered within the
					// timeout.
					stored.SetFaults(standin.LogFaults{DelayNext: 1, NextDelay: state.Duration(5900 * time.Millisecond)})
					got := <-late
					g.Expect(got.err).NotTo(HaveOccurred())
					g.Expect(got.offsets).To(Equal([]state.Offset{0}))
					time.Sleep(time.Minute)
					g.Expect(storedIDs(stored)).To(HaveLen(tc.copies))
				})
			})
		})
	}
}

// Guards against unbounded buffering, and against a refusal that does not wrap
// platform.ErrUnavailable, which indicates to the caller that nothing was
// stored.
func TestWriterRefusesWhenFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stored := standin.NewLog(standin.LogConfig{})
		stored.SetFaults(standin.LogFaults{Outage: true})
		writerTest(t, stored, nil, logclient.WriterConfig{MaxBuffered: 10}, func(g *WithT, w *logclient.Writer) {
			ctx, cancel := context.WithCancel(t.Context())
			waiting := appendAsync(ctx, w, numberedRecords("kept", 10)...)
			synctest.Wait()
			_, err := w.Append(t.Context(), stream, record("refused"))
			var full *logclient.BufferFullError
			g.Expect(errors.As(err, &full)).To(BeTrue(), "%v", err)
			g.Expect(full.Buffered).To(Equal(10))
			g.Expect(errors.Is(err, platform.ErrUnavailable)).To(BeTrue())
			cancel()
			<-waiting
			stored.SetFaults(standin.LogFaults{})
			_, err = w.Append(t.Context(), stream, record("later"))
			g.Expect(err).NotTo(HaveOccurred(), "buffer space must be released")
			g.Expect(storedIDs(stored)).To(Equal([]string{"later"}))
		})
	})
}

// Guards against one rejected record that blocks the stream or makes other
// calls in the same batch fail.
func TestWriterIsolatesRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stored := standin.NewLog(standin.LogConfig{})
		writerTest(t, stored, rejectingLog{stored, "bad"}, logclient.WriterConfig{}, func(g *WithT, w *logclient.Writer) {
			good := appendAsync(t.Context(), w, record("good"))
			bad := appendAsync(t.Context(), w, record("bad"))
			more := appendAsync(t.Context(), w, record("more"))
			g.Expect((<-good).err).NotTo(HaveOccurred())
			g.Expect((<-more).err).NotTo(HaveOccurred())
			g.Expect(errors.Is((<-bad).err, platform.ErrRejected)).To(BeTrue())
		})
	})
}

// Guards against reporting records as stored or not stored, or sending them
// again, after they may have been truncated before the search for them.
func TestWriterReportsTruncatedReadBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stored := standin.NewLog(standin.LogConfig{})
		writerTest(t, stored, nil, logclient.WriterConfig{}, func(g *WithT, w *logclient.Writer) {
			stored.SetFaults(standin.LogFaults{DelayNext: 1, NextDelay: state.Duration(time.Second), LoseNext: 1})
			lost := appendAsync(t.Context(), w, record("lost"))
			time.Sleep(500 * time.Millisecond)
			stored.SetFaults(standin.LogFaults{Outage: true})
			time.Sleep(time.Minute)
			stored.Truncate(stream, 1)
			stored.SetFaults(standin.LogFaults{})
			g.Expect(errors.Is((<-lost).err, platform.ErrUnknownOutcome)).To(BeTrue())
			g.Expect(storedIDs(stored)).To(BeEmpty(), "must not be sent again")
		})
	})
}
