package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"os"
	"reflect"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lagoonvalve/lagoonvalve/internal/audit"
	"github.com/lagoonvalve/lagoonvalve/internal/ctxtime"
	"github.com/lagoonvalve/lagoonvalve/internal/decide/admission"
	"github.com/lagoonvalve/lagoonvalve/internal/platform"
	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
	"github.com/lagoonvalve/lagoonvalve/internal/settings"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
	"github.com/lagoonvalve/lagoonvalve/internal/telemetry"
	"github.com/lagoonvalve/lagoonvalve/internal/verdict"
)

func newTestEntry(t *testing.T, cfg settings.Entry) *Entry {
	t.Helper()
	meter, err := telemetry.Start(t.Context(), settings.DefaultEntry().Common)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return New(cfg, Deps{Logger: slog.New(slog.DiscardHandler), Meter: meter})
}

// settingChecks tells for each setting of an entry what its component sees of
// it, as a number.
var settingChecks = map[string]func(e *Entry) float64{
	"body_bytes":       func(e *Entry) float64 { return float64(e.gateway.currentLimits().bodyLimit) },
	"queue_requests":   func(e *Entry) float64 { return float64(e.gateway.waiting.maxRequests.Load()) },
	"queue_bytes":      func(e *Entry) float64 { return float64(e.gateway.waiting.maxBytes.Load()) },
	"default_deadline": func(e *Entry) float64 { return float64(deadlineOf(e, nil)) },
	"max_deadline": func(e *Entry) float64 {
		day := (24 * time.Hour).Milliseconds()
		return float64(deadlineOf(e, &day))
	},
	"starvation_bound": func(e *Entry) float64 { return float64(e.gateway.cfg.route.queue.StarvationBound) },
	"cross_region_bytes_per_second": func(e *Entry) float64 {
		if !e.gateway.remoteAllowed(time.Now(), 0) {
			return 0
		}
		return 1
	},
	"log_appends_per_second": func(e *Entry) float64 { return e.writer.AppendsPerSecond() },
	"store_loads_per_second": func(e *Entry) float64 { return e.control.slotKeeper.limits.PerSecond },
	"store_loads_at_once":    func(e *Entry) float64 { return float64(e.control.slotKeeper.limits.AtOnce) },
	"caller_in_flight": func(e *Entry) float64 {
		return float64(acquired(e, func(i int) (state.CallerName, state.ModelName) { return "c", name("m", i) }))
	},
	"model_in_flight": func(e *Entry) float64 {
		return float64(acquired(e, func(i int) (state.CallerName, state.ModelName) { return state.CallerName(name("c", i)), "m" }))
	},
	"idle":       func(e *Entry) float64 { return e.control.homes.policy.Config.IdleWeight },
	"cold_start": func(e *Entry) float64 { return e.control.homes.policy.Config.ColdStartWeight },

	"tail_latency": func(e *Entry) float64 { return e.control.homes.policy.Config.TailWeight },
}

func name(prefix string, i int) state.ModelName { return state.ModelName(fmt.Sprint(prefix, i)) }

func deadlineOf(e *Entry, millis *int64) time.Duration {
	now := time.Now()
	req, _ := newRequest(now, attributes{deadlineMillis: millis}, e.gateway.currentLimits())
	return req.deadline.Sub(now)
}

// acquired counts how many requests the limiter admits, and releases them.
func acquired(e *Entry, names func(i int) (state.CallerName, state.ModelName)) int {
	limiter := e.gateway.limiter
	for i := 0; ; i++ {
		caller, model := names(i)
		if limiter.Acquire(caller, 0, model) == nil {
			continue
		}
		for j := range i {
			limiter.Release(names(j))
		}
		return i
	}
}

// Guards against a setting that has no effect, at the start or, unless it needs
// a restart, on reload.
func TestEachSettingReachesItsComponent(t *testing.T) {
	second := state.Duration(time.Second)
	changed := settings.DefaultEntry()
	changed.Limits = settings.EntryLimits{
		BodyBytes: 2048, QueueRequests: 7, QueueBytes: 4096, ModelInFlight: 11, CallerInFlight: 13,
		DefaultDeadline: 2 * second, MaxDeadline: 3 * second, StarvationBound: 5, LogAppendsPerSecond: 17,
		StoreLoadsPerSecond: 23, StoreLoadsAtOnce: 29,
	}
	changed.Weights = settings.EntryWeights{Weights: settings.Weights{Idle: 2, ColdStart: 19}, TailLatency: 7}
	want := map[string]float64{
		"body_bytes": 2048, "queue_requests": 7, "queue_bytes": 4096, "model_in_flight": 11, "caller_in_flight": 13,
		"default_deadline": 2e9, "max_deadline": 3e9, "starvation_bound": 5, "log_appends_per_second": 17,
		"cross_region_bytes_per_second": 0, "idle": 2, "cold_start": 19, "tail_latency": 7,
		"store_loads_per_second": 23, "store_loads_at_once": 29,
	}
	for _, table := range []any{changed.Limits, changed.Weights} {
		for _, field := range reflect.VisibleFields(reflect.TypeOf(table)) {
			if field.Anonymous {
				continue
			}
			key := field.Tag.Get("toml")
			NewWithT(t).Expect(settingChecks).To(HaveKey(key))
			NewWithT(t).Expect(want).To(HaveKey(key))
		}
	}
	started := newTestEntry(t, changed)
	reloaded := newTestEntry(t, settings.DefaultEntry())
	before := make(map[string]float64)
	for key, check := range settingChecks {
		before[key] = check(reloaded)
	}
	reloaded.Reload(t.Context(), settings.Reload(settings.DefaultEntry(), changed))
	(<-reloaded.control.events).apply(reloaded.control, time.Now())
	for key, check := range settingChecks {
		t.Run(key, func(t *testing.T) {
			g := NewWithT(t)
			g.Expect(before[key]).NotTo(Equal(want[key]))
			g.Expect(check(started)).To(Equal(want[key]))
			if key == "starvation_bound" || strings.HasPrefix(key, "store_") {
				g.Expect(check(reloaded)).To(Equal(before[key]))
				return
			}
			g.Expect(check(reloaded)).To(Equal(want[key]))
		})
	}
	changed.Tokens = []settings.Token{{Name: "x"}}
	started.Reload(t.Context(), changed)
	NewWithT(t).Expect(started.tokens()).To(HaveLen(1))
}

// Guards against queue bounds that hold for each model but not for the entry,
// and against a request of a low class that keeps a higher one out.
func TestWaitingBoundsHoldOverAllModels(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx, leave := context.WithCancel(t.Context())
		b := newGatewayBench(t, agentsOf(nil))
		b.waiting.set(2, 100)
		ended := make(map[string]chan verdict.Reason)
		enter := func(id string, class state.Class, size int) {
			ended[id] = make(chan verdict.Reason, 1)
			req := &request{
				number: uint64(len(ended)), class: class, body: make([]byte, size), arrived: time.Now(),
				deadline: time.Now().Add(time.Hour), target: target{key: state.ReplicaKey{Model: state.ModelName(id), Version: "v"}},
			}
			e := &execution{gateway: b.gateway, request: req, route: b.routes.of(req.target, b.cfg.route)}
			go func() { ended[id] <- e.wait(ctx).Reason }()
			synctest.Wait()
		}
		enter("low-old", state.ClassLow, 10)
		enter("low-new", state.ClassLow, 10)
		enter("low-third", state.ClassLow, 10)
		g.Expect(ended["low-third"]).To(Receive(Equal(verdict.ReasonQueueFull)))
		enter("high", state.ClassHigh, 10)
		g.Expect(ended["low-new"]).To(Receive(Equal(verdict.ReasonShed)))
		g.Expect(ended["low-old"]).NotTo(Receive())
		enter("big", state.ClassHigh, 95)
		g.Expect(ended["big"]).To(Receive(Equal(verdict.ReasonQueueFull)))
		g.Expect(ended["low-old"]).NotTo(Receive())
		g.Expect(b.waiting.requests.Load()).To(BeEquivalentTo(2))
		leave()
		synctest.Wait()
		g.Expect(b.waiting.requests.Load()).To(BeZero())
		g.Expect(b.waiting.bytes.Load()).To(BeZero())
	})
}

// tokens answers with a stream whose parts come after the given time.
func tokens(pause time.Duration) func(*http.Request) (*http.Response, error) {
	return func(*http.Request) (*http.Response, error) {
		body, w := io.Pipe()
		go func() {
			for range 3 {
				time.Sleep(pause)
				_, _ = w.Write([]byte("data: x\n\n"))
			}
			_ = w.Close()
		}()
		response := reply(http.StatusOK, &verdict.Verdict{Execution: verdict.Ran, Reason: verdict.ReasonOK}, body)
		response.Body = body
		return response, nil
	}
}

// Guards against measurements of requests that nothing feeds: waits, streams,
// cold starts, retries, hedges and ejections.
func TestGatewayFeedsItsMeasurements(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		quick := tokens(time.Millisecond)
		var pause time.Duration
		agents := agentsOf(answers{
			"a": quick, "b": quick, "c": quick,
			"d": inTurn(refused(verdict.ReasonUpstreamFailed), func(r *http.Request) (*http.Response, error) {
				ctxtime.Sleep(r.Context(), pause)
				return quick(r)
			}),
		})
		b := newGatewayBench(t, agents, "a", "b", "c", "d")
		b.target = target{key: state.ReplicaKey{Model: "m", Version: "v"}}
		b.cfg.route.coldStarted = b.sink.coldStarted
		route := b.routes.of(b.target, b.cfg.route)
		all := func() { route.setReplicas(1, b.view().services["tickets"], &b.loads) }
		go func() {
			time.Sleep(time.Second)
			all()
		}()
		// Hedges are for streams; whole answers let d be measured when it is
		// slow.
		for _, stream := range []bool{true, false} {
			for i := range 120 {
				pause = 0
				if i > 60 {
					pause = 400 * time.Millisecond
				}
				_, err := b.send(t.Context(), true, func(r *request) { r.stream = stream })
				g.Expect(err).NotTo(HaveOccurred())
				if len(route.set.Load().replicas) < 4 {
					all()
				}
			}
		}
		g.Expect(b.sink.heard).To(HaveKeyWithValue("cold", 1))
		g.Expect(b.sink.heard["waited"]).To(BeNumerically(">=", 240))
		g.Expect(b.sink.heard["streamed"]).To(Equal(120))
		g.Expect(b.sink.heard["retried"]).To(BeNumerically(">=", 1))
		g.Expect(b.sink.heard["hedged"]).To(BeNumerically(">=", 1))
		g.Expect(b.sink.heard).To(HaveKey("ejected d first_token"))
	})
}

// fakeAuditAppender refuses everything.
type fakeAuditAppender struct{}

func (fakeAuditAppender) Append(context.Context, platform.Stream, ...state.Record) error {
	return platform.ErrUnavailable
}

// discardSpy counts the discarded entries of the trail.
type discardSpy struct {
	Meter
	discarded int
}

func (s *discardSpy) AuditDiscarded(n int) { s.discarded += n }

// Guards against a loss of audit entries that no metric shows.
func TestDiscardedAuditEntriesAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newTestEntry(t, settings.DefaultEntry())
		spy := &discardSpy{Meter: e.meter}
		e.meter = spy
		e.trail = audit.NewTrail(state.ProcessID{Name: "e"}, "north", fakeAuditAppender{}, audit.Options{Pending: 2, Batch: 1})
		for range 5 {
			e.trail.Automatic(state.Audit{Action: "eject"})
		}
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		NewWithT(t).Expect(e.measure(ctx)).To(Succeed())
		NewWithT(t).Expect(spy.discarded).To(Equal(4))
	})
}

// reportOf is a record of counts as an entry writes it.
func reportOf(g Gomega, process state.ProcessID, sequence uint64, final bool, requests uint64) state.StoredRecord {
	body, err := json.Marshal(audit.CountsReport{
		Process: process, Sequence: sequence, Parts: 1, Final: final, To: time.Unix(int64(sequence), 0),
		Rows: []audit.Row{{Cell: audit.Cell{Caller: "c", Outcome: audit.Served, Reason: verdict.ReasonOK}, Requests: requests}},
	})
	g.Expect(err).NotTo(HaveOccurred())
	record, err := state.NewRecord(fmt.Sprint(process, sequence), process, state.KindAudit, state.Audit{
		Action: audit.ActionCounts, After: body, Accepted: true,
	})
	g.Expect(err).NotTo(HaveOccurred())
	return state.StoredRecord{Record: record}
}

// Guards against counts of a live process that appear twice, against counts of
// an ended one that are missing, and against a gap that is not told.
func TestCountsOfEndedProcessesAreSettled(t *testing.T) {
	g := NewWithT(t)
	live, clean := state.ProcessID{Name: "a", Incarnation: "2"}, state.ProcessID{Name: "a", Incarnation: "1"}
	crashed := state.ProcessID{Name: "b", Incarnation: "1"}
	h := newHistory()
	first := reportOf(g, clean, 1, false, 3)
	h.add([]state.StoredRecord{
		first, first, reportOf(g, clean, 2, true, 4), reportOf(g, live, 1, false, 50),
		reportOf(g, crashed, 1, false, 5), reportOf(g, crashed, 3, false, 6),
	})
	cells := func() [][2]string {
		var got [][2]string
		for _, row := range settledRows(h.ended(map[state.ProcessID]bool{live: true})) {
			got = append(got, [2]string{row[3].String(), row[7].String()})
		}
		return got
	}
	g.Expect(cells()).To(Equal([][2]string{{"7", "complete"}, {"11", "not final, 1 reports missing"}}))
	// Beyond the bound the oldest reports go, and are told as missing.
	h.limit = h.size - 1
	h.add(nil)
	h.add([]state.StoredRecord{first})
	h.limit = state.Bytes(len(first.Body)) * 2
	h.add(nil)
	g.Expect(len(h.reports)).To(BeNumerically("<=", 2))
}

// Guards against a queue of a single target that bounds what only the entry
// bounds.
func TestRoomQueueHasNoBoundOfItsOwn(t *testing.T) {
	q := admission.NewQueue(roomQueue(16))
	for i := range 5000 {
		_, refusal := q.Offer(time.Now(), admission.Item{ID: uint64(i + 1), Size: state.GiB, Deadline: time.Now().Add(time.Hour)}, 0)
		NewWithT(t).Expect(refusal).To(BeNil())
	}
}

// Guards against a page that names other columns than the tables have.
func TestDocumentedColumns(t *testing.T) {
	g := NewWithT(t)
	page, err := os.ReadFile("../../docs/oplang.md")
	g.Expect(err).NotTo(HaveOccurred())
	for name, table := range sourceTables {
		names := make([]string, 0, len(table.columns))
		for _, column := range table.columns {
			names = append(names, "`"+column.Name+"`")
		}
		g.Expect(string(page)).To(ContainSubstring("| " + name + " | " + strings.Join(names, ", ") + " |\n"))
	}
}

// Guards against peers of the settings that are left out, or taken for entries
// of another region.
func TestPeersReachTheirComponents(t *testing.T) {
	g := NewWithT(t)
	cfg := settings.DefaultEntry()
	cfg.Name, cfg.Region = "a", "north"
	cfg.Peers = []settings.Peer{
		{Name: "b", Region: "north", Control: "b:2", Callers: "b:1"},
		{Name: "c", Region: "south", Control: "c:2", Callers: "c:1"},
		{Name: "d", Region: "south", Control: "d:2"},
	}
	e := newTestEntry(t, cfg)
	g.Expect(e.control.cfg.peers).To(Equal([]rpc.Peer{{Name: "b", Control: "b:2"}}))
	g.Expect(e.control.cfg.remotes).To(Equal([]rpc.Peer{{Name: "c", Control: "c:2"}, {Name: "d", Control: "d:2"}}))
	g.Expect(e.router.regions).To(Equal(map[state.Region]map[state.EntryName]string{"south": {"c": "c:2", "d": "d:2"}}))
	g.Expect(e.gateway.cfg.remotes).To(Equal([]remoteEntry{{name: "c", region: "south", callers: "c:1"}}))
}
