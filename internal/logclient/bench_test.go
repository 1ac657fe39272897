package logclient_test

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/lagoonvalve/lagoonvalve/internal/logclient"
	"github.com/lagoonvalve/lagoonvalve/internal/platform"
	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
	"github.com/lagoonvalve/lagoonvalve/internal/standin"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// Guards against a number of appends that grows with the arrival rate of
// records; larger batches must absorb it instead. Logs the records per append
// and the slowest append in virtual time.
func TestWriterAtArrivalRates(t *testing.T) {
	for _, perSecond := range []int{10, 100, 1000, 5000} {
		synctest.Test(t, func(t *testing.T) {
			stored := standin.NewLog(standin.LogConfig{})
			writerTest(t, stored, nil, logclient.WriterConfig{}, func(g *gomega.WithT, w *logclient.Writer) {
				var mu sync.Mutex
				var slowest time.Duration
				var running sync.WaitGroup
				count := 10 * perSecond
				for i := range count {
					running.Go(func() {
						began := time.Now()
						_, err := w.Append(t.Context(), stream, record(fmt.Sprint(i)))
						mu.Lock()
						defer mu.Unlock()
						slowest = max(slowest, time.Since(began))
						g.Expect(err).NotTo(gomega.HaveOccurred())
					})
					time.Sleep(time.Second / time.Duration(perSecond))
				}
				running.Wait()
				g.Expect(stored.Appends()).To(gomega.BeNumerically("<=", 5+20*10+1))
				t.Logf("%d/s: %.1f records per append, slowest %s", perSecond, float64(count)/float64(stored.Appends()), slowest)
			})
		})
	}
}

// BenchmarkWriter appends one record per operation from many callers.
func BenchmarkWriter(b *testing.B) {
	for _, callers := range []int{1, 16, 256} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			stored := standin.NewLog(standin.LogConfig{RetainRecords: 1000})
			w := logclient.NewWriter(stored, logclient.WriterConfig{Delay: -1, AppendsPerSecond: 1e9, AppendBurst: 1e6})
			go func() { _ = w.Run(b.Context()) }()
			one := state.Record{ID: "r", Kind: state.KindAudit, Body: json.RawMessage(`{}`)}
			var running sync.WaitGroup
			b.ReportAllocs()
			b.ResetTimer()
			for c := range callers {
				running.Go(func() {
					for i := c; i < b.N; i += callers {
						if _, err := w.Append(b.Context(), stream, one); err != nil {
							b.Error(err)
							return
						}
					}
				})
			}
			running.Wait()
			b.ReportMetric(float64(b.N)/float64(max(1, stored.Appends())), "records/append")
		})
	}
}

// BenchmarkRelayFanOut appends one record per operation and waits until all
// readers have it, with readers that call the relay directly and readers that
// go through its JSON methods.
func BenchmarkRelayFanOut(b *testing.B) {
	for _, kind := range []string{"direct", "json"} {
		for _, readers := range []int{1, 44, 350} {
			b.Run(fmt.Sprintf("%s/readers=%d", kind, readers), func(b *testing.B) {
				ctx, cancel := context.WithCancel(b.Context())
				defer cancel()
				stored := standin.NewLog(standin.LogConfig{})
				relay := logclient.NewRelay(stored, nil, logclient.RelayConfig{}, stream)
				go func() { _ = relay.Run(ctx) }()
				var log platform.Log = relay
				if kind == "json" {
					caller := unrecordedCaller{&localCaller{methods: map[string]map[string]rpc.MethodFunc{"relay": relay.Methods()}}}
					log = logclient.NewRelayClient(caller, func() []string { return []string{"relay"} })
				}
				runFanOut(ctx, b, stored, log, readers)
				b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*readers), "ns/reader")
			})
		}
	}
}

// unrecordedCaller is a localCaller that empties its list of calls, so that the
// list doesn't grow during a benchmark.
type unrecordedCaller struct{ *localCaller }

func (c unrecordedCaller) Call(ctx context.Context, addr, method string, params, result any) error {
	c.mu.Lock()
	c.calls = c.calls[:0]
	c.mu.Unlock()
	return c.localCaller.Call(ctx, addr, method, params, result)
}

func runFanOut(ctx context.Context, b *testing.B, stored *standin.Log, log platform.Log, readers int) {
	b.Helper()
	var seen sync.WaitGroup
	for range readers {
		go func() {
			_ = logclient.Tail(ctx, log, stream, 0, logclient.TailOptions{}, func(page platform.Page) error {
				seen.Add(-len(page.Records))
				return nil
			})
		}()
	}
	one := state.Record{ID: "r", Kind: state.KindAudit, Body: json.RawMessage(`"` + strings.Repeat("x", 300) + `"`)}
	step := func() {
		seen.Add(readers)
		if _, err := stored.Append(ctx, stream, []state.Record{one}); err != nil {
			b.Fatal(err)
		}
		seen.Wait()
	}
	// Takes the first record out of the measurement: the readers are not yet
	// all waiting at the relay when it is read.
	step()
	b.ReportAllocs()
	for b.Loop() {
		step()
	}
}
