package entry

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lagoonvalve/lagoonvalve/internal/audit"
	"github.com/lagoonvalve/lagoonvalve/internal/decide/claims"
	"github.com/lagoonvalve/lagoonvalve/internal/oplang"
	"github.com/lagoonvalve/lagoonvalve/internal/platform"
	"github.com/lagoonvalve/lagoonvalve/internal/settings"
	"github.com/lagoonvalve/lagoonvalve/internal/standin"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
	"github.com/lagoonvalve/lagoonvalve/internal/verdict"
)

// Guards against a stop that ignores shutdown.drain_timeout or
// shutdown.stop_timeout, at the start or after a reload, and against steps that
// take longer together than the settings say.
func TestShutdownSettingsBoundTheStop(t *testing.T) {
	shutdown := settings.Shutdown{DrainTimeout: state.Duration(7 * time.Second), StopTimeout: state.Duration(3 * time.Second)}
	for _, reload := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			cfg := settings.DefaultEntry()
			if !reload {
				cfg.Shutdown = shutdown
			}
			e := newTestEntry(t, cfg)
			e.deps.Logger = slog.New(slog.DiscardHandler)
			if reload {
				now := cfg
				now.Shutdown = shutdown
				e.Reload(t.Context(), settings.Reload(cfg, now))
			}
			g.Expect(e.gateway.inFlight.enter()).To(BeTrue())
			e.ledger.counts.Add("c", audit.Served, verdict.ReasonOK)
			started := time.Now()
			// The request in flight never ends, and the writer of the log does
			// not run: each step takes its whole time, and some is left for
			// the connections and the last metrics.
			e.stop()
			g.Expect(time.Since(started)).To(Equal(7*time.Second + 2100*time.Millisecond))
			g.Expect(e.closeBy().Sub(started)).To(Equal(7*time.Second + 2400*time.Millisecond))
			g.Expect(e.StopBy().Sub(started)).To(Equal(7*time.Second + 3*time.Second))
		})
	}
}

// Guards against outcomes of claims that a planned stop drops, on their way to
// the owner or while it holds them back, and against a stop that waits longer
// for them than it may.
func TestPlannedStopSendsOutcomes(t *testing.T) {
	for _, c := range []struct {
		faults standin.LogFaults
		stored int
		took   time.Duration
	}{
		{standin.LogFaults{}, 1, 100 * time.Millisecond},
		{standin.LogFaults{OutageNext: 1}, 1, time.Second},
		{standin.LogFaults{Outage: true}, 0, settings.DefaultEntry().Shutdown.StopTimeout.Std()},
	} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			w := newClaimsWorld(t, 1)
			defer w.stop()
			deps := newTestEntry(t, settings.DefaultEntry()).deps
			deps.Log = w.log
			e := New(settings.DefaultEntry(), deps)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			go func() { _ = e.writer.Run(ctx) }()
			e.router = w.entries[0].router
			key := keyAt(time.Now(), 1)
			_, _ = w.send(e.router, key, completes)
			w.log.SetFaults(c.faults)
			started := time.Now()
			e.flushLast(started.Add(settings.DefaultEntry().Shutdown.StopTimeout.Std()))
			g.Expect(time.Since(started)).To(BeNumerically("<=", c.took))
			stored := 0
			for _, record := range w.log.Records(platform.ClaimStream(claims.ShardOf("c", key))) {
				if record.Kind == state.KindClaimDone {
					stored++
				}
			}
			g.Expect(stored).To(Equal(c.stored))
		})
	}
}

// Guards against a request that waits, or a stream that is open, at the end of
// the drain and goes on until the process ends, so that nobody counts it.
func TestStopEndsRequestsWithVerdicts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		e := newTestEntry(t, settings.DefaultEntry())
		b := newGatewayBench(t, agentsOf(answers{"a": func(r *http.Request) (*http.Response, error) {
			resp := reply(http.StatusOK, nil, &heldBody{strings.NewReader("data: t1\n\n"), r.Context()})
			resp.Header.Set("Content-Type", "text/event-stream")
			return resp, nil
		}}), "a")
		b.gateway.sink = requestSink{meter: e.meter, ledger: e.ledger}
		e.gateway = b.gateway
		unloaded := func(r *request) { r.target = target{key: state.ReplicaKey{Model: "m", Version: "v"}} }
		ended := make(chan error, 2)
		for _, change := range []func(*request){nil, unloaded} {
			go func() {
				_, err := b.send(t.Context(), true, func(r *request) {
					r.deadline = time.Now().Add(10 * time.Minute)
					if change != nil {
						change(r)
					}
				})
				ended <- err
			}()
		}
		synctest.Wait()
		started := time.Now()
		e.stop()
		g.Expect(ended).To(HaveLen(2))
		counted := make(map[audit.Outcome]verdict.Reason)
		for _, row := range e.ledger.counts.Total(time.Now()).Rows {
			counted[row.Outcome] = row.Reason
		}
		g.Expect(counted).To(Equal(map[audit.Outcome]verdict.Reason{
			audit.Refused: verdict.ReasonDraining, audit.Lost: verdict.ReasonDraining,
		}))
		shutdown := settings.DefaultEntry().Shutdown
		g.Expect(time.Since(started)).To(BeNumerically("<=", shutdown.DrainTimeout.Std()+shutdown.StopTimeout.Std()))
	})
}

// Guards against counts that grow without a bound with the names of callers,
// and against a bound that loses requests or that an answer does not show.
func TestCountsBeyondTheBoundAreToldInEachForm(t *testing.T) {
	const (
		bound   = 60_000
		surplus = 500
	)
	g := NewWithT(t)
	e := newTestEntry(t, settings.DefaultEntry())
	for i := range bound + surplus {
		e.ledger.counts.Add(state.CallerName(fmt.Sprint("c", i)), audit.Served, verdict.ReasonOK)
	}
	rows := source{entry: e}.counts(t.Context())
	// One cell more holds all that is beyond the bound.
	g.Expect(rows).To(HaveLen(bound + 1))
	table := oplang.Table{Columns: sourceTables["counts"].columns, Rows: rows}
	var total int64
	for _, row := range rows {
		var requests int64
		_, err := fmt.Sscan(row[table.Column("requests")].String(), &requests)
		g.Expect(err).NotTo(HaveOccurred())
		total += requests
	}
	g.Expect(total).To(BeEquivalentTo(bound + surplus))
	for _, format := range []oplang.Format{oplang.FormatTable, oplang.FormatJSON, oplang.FormatCSV} {
		var out strings.Builder
		g.Expect(oplang.Write(&out, table, format)).To(Succeed())
		g.Expect(strings.Count(out.String(), "(other callers)")).To(Equal(1), string(format))
		g.Expect(strings.Count(out.String(), "served")).To(Equal(bound+1), string(format))
	}
}

// slowEnd is a body whose last read returns some time after its request ended.
type slowEnd struct {
	heldBody
	after time.Duration
}

// Read implements io.Reader.
func (b *slowEnd) Read(p []byte) (int, error) {
	n, err := b.heldBody.Read(p)
	if err != nil {
		time.Sleep(b.after)
	}
	return n, err
}

// Guards against an answer that counts as late although it ended before the
// caller's own deadline, in the time that is reserved for refusals.
func TestAnswerInTheReserveIsNotLate(t *testing.T) {
	for after, want := range map[time.Duration]audit.Outcome{
		10 * time.Millisecond: audit.Served,
		60 * time.Millisecond: audit.Late,
	} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			e := newTestEntry(t, settings.DefaultEntry())
			b := newGatewayBench(t, agentsOf(answers{"a": func(r *http.Request) (*http.Response, error) {
				held := heldBody{strings.NewReader("data: [DONE]\n\n"), r.Context()}
				resp := reply(http.StatusOK, nil, &slowEnd{held, after})
				resp.Header.Set("Content-Type", "text/event-stream")
				resp.ContentLength = -1
				return resp, nil
			}}), "a")
			b.gateway.sink = requestSink{meter: e.meter, ledger: e.ledger}
			_, err := b.send(t.Context(), true, func(r *request) { r.deadline = time.Now().Add(2 * time.Second) })
			g.Expect(err).NotTo(HaveOccurred())
			counted := e.ledger.counts.Total(time.Now()).Rows
			g.Expect(counted).To(HaveLen(1))
			g.Expect(counted[0].Outcome).To(Equal(want), after.String())
		})
	}
}
