package agent_test

import (
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lagoonvalve/lagoonvalve/internal/agent"
	"github.com/lagoonvalve/lagoonvalve/internal/decide/admission"
	"github.com/lagoonvalve/lagoonvalve/internal/platform"
	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// bareCopy is the least that a relay does: it sends the request on and copies
// the answer with a flush after each read.
func bareCopy(base string) http.Handler {
	transport := &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true}
	buffers := sync.Pool{New: func() any { return new([16 << 10]byte) }}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		out, _ := http.NewRequestWithContext(r.Context(), r.Method, base+r.URL.Path, r.Body)
		out.ContentLength = r.ContentLength
		resp, err := transport.RoundTrip(out)
		if err != nil {
			w.WriteHeader(http.StatusBadGateway)
			return
		}
		defer func() { _ = resp.Body.Close() }()
		for name, values := range resp.Header {
			w.Header()[name] = values
		}
		w.WriteHeader(resp.StatusCode)
		buf := buffers.Get().(*[16 << 10]byte)
		defer buffers.Put(buf)
		for {
			n, err := resp.Body.Read(buf[:])
			_, _ = w.Write(buf[:n])
			_ = http.NewResponseController(w).Flush()
			if err != nil {
				return
			}
		}
	})
}

// serviceAgent is an agent in front of a plain service; secured is its TLS.
func serviceAgent(t testing.TB, base string, concurrency int, secured *tls.Config) http.Handler {
	t.Helper()
	a, err := agent.New(agent.Config{
		Upstream: state.Upstream{
			Name: "u1", Kind: state.PlainService, Region: "north",
			ControlAddr: controlAddr, TrafficAddr: trafficAddr, Services: []state.ServiceName{"s"},
		},
		BaseURL:     base,
		Concurrency: concurrency,
	}, agent.Deps{
		Parts:    &fakeParts{log: &fakeLog{}},
		Appender: &fakeLog{},
		Caller:   &fakeCaller{},
		Queue:    newClassQueue(256, 64*state.MiB),
		TLS:      secured,
	})
	if err != nil {
		t.Fatal(err)
	}
	return a
}

var answers = map[string]func(w http.ResponseWriter){
	"whole=1KiB": func(w http.ResponseWriter) { _, _ = io.WriteString(w, strings.Repeat("x", 1<<10)) },
	"whole=1MiB": func(w http.ResponseWriter) {
		w.Header().Set("Content-Length", "1048576")
		_, _ = io.WriteString(w, strings.Repeat("x", 1<<20))
	},
	"events=64": func(w http.ResponseWriter) {
		w.Header().Set("Content-Type", "text/event-stream")
		for range 64 {
			_, _ = io.WriteString(w, "data: token\n\n")
			_ = http.NewResponseController(w).Flush()
		}
	},
}

func BenchmarkRelay(b *testing.B) {
	for name, write := range answers {
		engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { write(w) }))
		b.Run("bare/"+name, func(b *testing.B) { benchRelay(b, bareCopy(engine.URL)) })
		b.Run("agent/"+name, func(b *testing.B) { benchRelay(b, serviceAgent(b, engine.URL, 64, nil)) })
		engine.Close()
	}
}

func benchRelay(b *testing.B, relay http.Handler) {
	server := httptest.NewServer(relay)
	defer server.Close()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true}}
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			resp, err := client.Post(server.URL+"/v1/services/s/x", "application/json", strings.NewReader("{}"))
			if err != nil {
				b.Error(err)
				return
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
			if resp.StatusCode != http.StatusOK {
				b.Errorf("status %d", resp.StatusCode)
			}
		}
	})
}

// BenchmarkOpenStreams reports the memory of an open stream through a relay,
// with the client's and the engine's share of it.
func BenchmarkOpenStreams(b *testing.B) {
	const streams = 200
	engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		stream(true)(w, r)
	}))
	defer engine.Close()
	relays := map[string]http.Handler{"bare": bareCopy(engine.URL), "agent": serviceAgent(b, engine.URL, streams, nil)}
	for name, relay := range relays {
		b.Run(name, func(b *testing.B) {
			server := httptest.NewServer(relay)
			defer server.Close()
			for b.Loop() {
				b.ReportMetric(float64(openStreams(b, server.URL, streams)), "B/stream")
			}
		})
	}
}

func openStreams(b *testing.B, url string, streams int) uint64 {
	before := memoryInUse()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for range streams {
		req, _ := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/services/s/x", strings.NewReader("{}"))
		resp, err := client.Do(req)
		if err != nil {
			b.Fatal(err)
		}
		defer func() { _ = resp.Body.Close() }()
		_, _ = io.ReadFull(resp.Body, make([]byte, 5))
	}
	return (memoryInUse() - before) / uint64(streams)
}

// BenchmarkMemory reports the memory of an agent with 50 replicas and of 500
// queued requests of 4 KiB on a connection each. The fakes, and both ends of
// the connections, are in it.
func BenchmarkMemory(b *testing.B) {
	const replicas, queued, concurrency = 50, 500, 2
	for b.Loop() {
		w := newWorld(b)
		w.cfg.Concurrency = concurrency
		queue := admission.NewQueue(admission.Config{MaxRequests: queued, MaxBytes: 64 * state.MiB, Concurrency: concurrency, StarvationBound: 16})
		w.queue = queue
		var versions []state.ModelVersion
		for i := range replicas {
			key := state.ReplicaKey{Model: state.ModelName(fmt.Sprint("m", i)), Version: "v1"}
			versions = append(versions, state.ModelVersion{Model: key.Model, Name: key.Version, Weights: 1, KVHeadroom: 1})
			grant := state.Record{ID: fmt.Sprint("g", i), Kind: state.KindGrant, Body: encode(state.GrantBody{ReplicaKey: key, Upstream: "u1"})}
			_, _ = w.log.Append(context.Background(), region, grant)
			w.engine.replicas = append(w.engine.replicas, platform.EngineReplica{ReplicaKey: key, State: state.ReplicaReady, Size: 2})
		}
		w.parts.alter(func(_ rpc.PartParams, result *rpc.PartResult) {
			result.Part.Versions = append(result.Part.Versions, versions...)
		})
		release := w.hold()
		before := memoryInUse()
		w.launch()
		w.Eventually(func() int { return len(loaded(w.caller.sent())) }).WithTimeout(time.Minute).Should(Equal(replicas))
		idle := memoryInUse()
		var sent sync.WaitGroup
		w.body = strings.Repeat("x", 4<<10)
		for i := range queued + concurrency {
			sent.Go(func() {
				got := w.request(anyone, agent.HeaderModel, fmt.Sprint("m", i%replicas), agent.HeaderDeadline, "600000")
				if got.status != http.StatusOK {
					b.Errorf("status %d %s", got.status, got.reason())
				}
			})
		}
		w.Eventually(queue.Len).WithTimeout(time.Minute).Should(Equal(queued))
		full := memoryInUse()
		b.ReportMetric((float64(idle)-float64(before))/(1<<10), "KiB/agent")
		b.ReportMetric((float64(full)-float64(idle))/queued/(1<<10), "KiB/request")
		b.ReportMetric((float64(full)-float64(before))/(1<<20), "MiB")
		release()
		sent.Wait()
		w.stop()
		w.Expect(<-w.ended).To(Succeed())
		w.client.CloseIdleConnections()
		_ = w.engine.server.Close()
	}
}

// loaded lists the replicas that the last full heartbeat names.
func loaded(beats []rpc.Heartbeat) (replicas []state.Replica) {
	for _, beat := range beats {
		if beat.Full {
			replicas = beat.Replicas
		}
	}
	return replicas
}

func memoryInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}
