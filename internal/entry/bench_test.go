package entry

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"

	"github.com/lagoonvalve/lagoonvalve/internal/logclient"
	"github.com/lagoonvalve/lagoonvalve/internal/platform"
	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
	"github.com/lagoonvalve/lagoonvalve/internal/standin"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
	"github.com/lagoonvalve/lagoonvalve/internal/testenv"
	"github.com/lagoonvalve/lagoonvalve/internal/verdict"
)

// benchAnswers are the kinds of answers that the relay benchmarks send.
var benchAnswers = map[string]func(w http.ResponseWriter){
	"1KiB": func(w http.ResponseWriter) { _, _ = w.Write(make([]byte, 1<<10)) },
	"1MiB": func(w http.ResponseWriter) { _, _ = w.Write(make([]byte, 1<<20)) },
	"64events": func(w http.ResponseWriter) {
		for range 64 {
			_, _ = io.WriteString(w, "data: {\"choices\":[{\"text\":\"token\"}]}\n\n")
			_ = http.NewResponseController(w).Flush()
		}
	},
}

// bareCopy is the baseline of the relay: it sends a request on and copies the
// answer, without any decision.
func bareCopy(target string, client *http.Client) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		out, err := http.NewRequestWithContext(r.Context(), r.Method, target+r.URL.Path, r.Body)
		if err != nil {
			return
		}
		resp, err := client.Do(out)
		if err != nil {
			return
		}
		defer func() { _ = resp.Body.Close() }()
		buffer := make([]byte, relayBufferSize)
		for {
			n, err := resp.Body.Read(buffer)
			_, _ = w.Write(buffer[:n])
			_ = http.NewResponseController(w).Flush()
			if err != nil {
				return
			}
		}
	})
}

// BenchmarkRelay compares the entry with the bare copy in one run; the target
// is at least half of its throughput.
func BenchmarkRelay(b *testing.B) {
	for name, write := range benchAnswers {
		upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			(&verdict.Verdict{Execution: verdict.Ran, Reason: verdict.ReasonOK}).SetHeaders(w.Header())
			write(w)
		}))
		defer upstream.Close()
		bare := httptest.NewServer(bareCopy(upstream.URL, newTrafficClient(nil, true)))
		defer bare.Close()
		entry := httptest.NewServer(benchGateway(b, upstream.Listener.Addr().String()))
		defer entry.Close()
		for kind, server := range map[string]*httptest.Server{"bare": bare, "entry": entry} {
			b.Run(name+"/"+kind, func(b *testing.B) { benchRequests(b, server.URL) })
		}
	}
}

func benchGateway(b *testing.B, upstream string) http.Handler {
	b.Helper()
	bench := newGatewayBench(&testing.T{}, agentsOf(nil))
	bench.client = newTrafficClient(nil, true)
	bench.target = target{key: state.ReplicaKey{Model: "m", Version: "v"}}
	route := bench.routes.of(bench.target, bench.cfg.route)
	route.setReplicas(1, []rpc.ReplicaAt{{
		Replica: state.Replica{Upstream: "a"}, TrafficAddr: upstream, DataCentre: "dc", Region: "north",
	}}, &bench.loads)
	return withExchange(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		now := time.Now()
		req := &request{id: "r", target: bench.target, arrived: now, deadline: now.Add(time.Minute), idempotent: true, body: body}
		_ = bench.serve(r.Context(), bench.view(), attributes{}, req)
	}))
}

func benchRequests(b *testing.B, url string) {
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		client := newTrafficClient(nil, true)
		for pb.Next() {
			resp, err := client.Post(url+"/v1/completions", "application/json", strings.NewReader(`{"model":"m"}`))
			if err != nil {
				b.Error(err)
				return
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
		}
	})
}

// BenchmarkPick measures a choice among the ready replicas of a model.
func BenchmarkPick(b *testing.B) {
	for _, replicas := range []int{5, 35, 140} {
		b.Run(fmt.Sprintf("replicas=%d", replicas), func(b *testing.B) {
			cfg := routeConfig{slots: 16, place: "dc", region: "north", seed: 1}
			var loads loadTable
			r := newRoute(target{}, cfg)
			var set []rpc.ReplicaAt
			for i := range replicas {
				set = append(set, rpc.ReplicaAt{Replica: state.Replica{Upstream: state.UpstreamName(fmt.Sprintf("runner-%d", i))}, DataCentre: "dc"})
			}
			r.setReplicas(1, set, &loads)
			req := &request{cost: time.Second, body: bytes.Repeat([]byte("x"), 2048)}
			r.fillBlocks(req)
			now := time.Now()
			b.ReportAllocs()
			for b.Loop() {
				if _, _, ok := r.pick(now, req, &cfg, "", false); !ok {
					b.Fatal("no replica")
				}
			}
		})
	}
}

// BenchmarkDemand measures a home's answer to an entry's backlog with the
// homes of a two-year region in its table.
func BenchmarkDemand(b *testing.B) {
	c := newControl(controlConfig{name: "entry-1", region: "north"}, controlDeps{}, time.Now())
	for i := range 590 {
		c.homes.of(state.ReplicaKey{Model: state.ModelName(fmt.Sprintf("model-%d", i)), Version: "v"})
	}
	params := rpc.DemandParams{ReplicaKey: state.ReplicaKey{Model: "m", Version: "v"}, Entry: "entry-2"}
	reply := make(chan rpc.DemandResult, 1)
	b.ReportAllocs()
	for b.Loop() {
		demandReceived{params: params, reply: reply}.apply(c, time.Now())
		<-reply
	}
}

// BenchmarkHomes measures a run over the homes of an entry at the two-year
// size, and their memory: 13 models, each with 35 replicas and the backlogs of
// 44 entries.
func BenchmarkHomes(b *testing.B) {
	for _, models := range []int{13, 130} {
		b.Run(fmt.Sprintf("models=%d", models), func(b *testing.B) {
			now := time.Now()
			c := newControl(controlConfig{name: "entry-1", region: "north"}, controlDeps{}, now)
			before := testenv.LiveHeapBytes()
			for i := range models {
				fillHome(c, state.ReplicaKey{Model: state.ModelName(fmt.Sprintf("model-%d", i)), Version: "v"}, now)
			}
			used := testenv.LiveHeapBytes() - before
			b.ReportAllocs()
			for b.Loop() {
				c.decideHomes(now)
			}
			b.ReportMetric(float64(used)/float64(models), "heap-B/model")
			runtime.KeepAlive(c)
		})
	}
}

func fillHome(c *control, key state.ReplicaKey, now time.Time) {
	h := c.homes.of(key)
	h.lastUsed = now
	for i := range 35 {
		h.change("watcher", rpc.ReplicaChange{Sequence: 1, Revision: uint64(i), Replica: rpc.ReplicaAt{
			Replica: state.Replica{
				ReplicaKey: key, Upstream: state.UpstreamName(fmt.Sprintf("runner-%05d", i)), State: state.ReplicaReady,
				Adapters: []state.AdapterName{"a1", "a2", "a3"},
			},
			TrafficAddr: fmt.Sprintf("10.20.30.%d:7000", i), ControlAddr: fmt.Sprintf("10.20.30.%d:7001", i),
			AgentIncarnation: uuid.NewString(),
		}}, now)
	}
	for i := range 44 {
		h.demands[state.EntryName(fmt.Sprintf("entry-%d", i))] = demandSeen{backlog: rpc.Backlog{Rate: 0.1, Sent: 3}, at: now}
	}
}

// BenchmarkShardTakeover measures a new owner from the first question to the
// first grant, with 200,000 records of claims and outcomes in the log, less room
// for the benchmark's own: were one left out, keys would be too old for 5 min.
func BenchmarkShardTakeover(b *testing.B) {
	const number, records = 3, claimReadBack - 100
	log := standin.NewLog(standin.LogConfig{})
	process := state.ProcessID{Name: "entry-1", Incarnation: uuid.NewString()}
	var batch []state.Record
	for n := range records / 2 {
		claim, _ := state.NewRecord(uuid.NewString(), process, state.KindClaim, state.Claim{
			Caller: state.CallerName(fmt.Sprint("caller-", n%40)), Key: keyAt(time.Now(), n), Fingerprint: uint64(n),
			Entry: process, Upstream: "upstream-0001", AgentIncarnation: process.Incarnation,
		})
		done, _ := state.NewRecord(uuid.NewString(), process, state.KindClaimDone, state.ClaimDone{Claim: claim.ID, Status: 200})
		batch = append(batch, claim, done)
	}
	if _, err := log.Append(b.Context(), platform.ClaimStream(number), batch); err != nil {
		b.Fatal(err)
	}
	server := httptest.NewServer(log)
	defer server.Close()
	for name, read := range map[string]platform.Log{"direct": log, "http": platform.NewHTTPLog(server.URL, platform.HTTPOptions{})} {
		b.Run(name, func(b *testing.B) {
			asked := 0
			for b.Loop() {
				ctx, cancel := context.WithCancel(b.Context())
				writer := logclient.NewWriter(read, logclient.WriterConfig{AppendsPerSecond: 1000, AppendBurst: 100})
				shards := newClaimShards(process, read, writer, nil, nil, slog.New(slog.DiscardHandler))
				go func() { _ = writer.Run(ctx) }()
				go func() { _ = shards.run(ctx) }()
				for granted := false; !granted; asked++ {
					params := rpc.ClaimParams{Claim: state.Claim{Caller: "c", Key: keyOfShard(number, "c", asked)}}
					result, err := shards.ask(ctx, params)
					granted = err == nil && result.Granted != ""
				}
				cancel()
			}
			b.ReportMetric(float64(asked)/float64(b.N), "asked/op")
		})
	}
}
