package agent_test

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lagoonvalve/lagoonvalve/internal/agent"
	"github.com/lagoonvalve/lagoonvalve/internal/platform"
	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

const (
	controlAddr = "agent:1"
	trafficAddr = "agent:2"
	region      = platform.Stream("region/north")
)

var modelA = state.ReplicaKey{Model: "a", Version: "v1"}

// world is an agent with everything around it.
type world struct {
	*GomegaWithT
	net    *memNet
	log    *fakeLog
	engine *fakeEngine
	caller *fakeCaller
	parts  *fakeParts
	queue  agent.Queue
	// body is that of the requests.
	body   string
	cfg    agent.Config
	client *http.Client
	stop   context.CancelFunc
	ended  chan error
	agent  *agent.Agent
}

func newWorld(t testing.TB) *world {
	n := &memNet{listeners: make(map[string]*memListener)}
	w := &world{
		GomegaWithT: NewWithT(t),
		net:         n,
		log:         &fakeLog{streams: make(map[platform.Stream][]state.StoredRecord)},
		engine:      &fakeEngine{net: n},
		caller:      &fakeCaller{},
		body:        `{"prompt":"x"}`,
		client:      &http.Client{Transport: &http.Transport{DialContext: n.Dial}},
	}
	w.engine.handle(func(out http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(out, "answer") })
	w.engine.start()
	w.parts = &fakeParts{log: w.log}
	w.queue = newClassQueue(256, 64*state.MiB)
	w.cfg = agent.Config{
		Upstream: state.Upstream{
			Name: "u1", Kind: state.ModelRunner, Region: "north", Memory: 100,
			ControlAddr: controlAddr, TrafficAddr: trafficAddr, Fencing: state.FencingIgnored,
		},
		Incarnation: "first",
		BaseURL:     "http://engine:80",
		Concurrency: 2,
	}
	w.grant()
	return w
}

func (w *world) grant() {
	body, _ := json.Marshal(state.GrantBody{ReplicaKey: modelA, Upstream: "u1"})
	_, err := w.log.Append(context.Background(), region, state.Record{ID: "g", Kind: state.KindGrant, Body: body})
	w.Expect(err).NotTo(HaveOccurred())
}

// start runs an agent and lets it settle.
func (w *world) start() {
	w.launch()
	settle(2 * time.Second)
}

func (w *world) launch() {
	transport := agent.NewTransport(w.cfg.Concurrency, nil)
	transport.DialContext = w.net.Dial
	a, err := agent.New(w.cfg, agent.Deps{
		Engine:    w.engine,
		Parts:     w.parts,
		Appender:  w.log,
		Caller:    w.caller,
		Queue:     w.queue,
		Watcher:   func() (string, bool) { return "watcher", true },
		Transport: transport,
		Listen:    w.net.Listen,
		Logger:    slog.New(slog.DiscardHandler),
	})
	w.Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	w.stop, w.ended, w.agent = cancel, ended, a
	go func() { ended <- a.Run(ctx) }()
}

// end stops the agent and everything else in the bubble.
func (w *world) end() {
	w.stop()
	w.Expect(<-w.ended).To(Succeed())
	w.client.CloseIdleConnections()
	_ = w.engine.server.Close()
	settle(3 * time.Minute)
}

// settle lets virtual time pass.
func settle(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

// call calls a method of the agent.
func (w *world) call(method string, params, result any) {
	ctx := context.Background()
	client := rpc.NewClient()
	client.Dial = func(ctx context.Context, _ *net.Dialer, _, addr string) (net.Conn, error) {
		return w.net.Dial(ctx, "mem", addr)
	}
	defer client.Close()
	w.Expect(client.Call(ctx, controlAddr, method, params, result)).To(Succeed())
}

func (w *world) wake() rpc.WakeResult {
	var result rpc.WakeResult
	w.call(rpc.MethodWake, rpc.WakeParams{ReplicaKey: modelA}, &result)
	settle(time.Second)
	return result
}

// awake starts an agent with model a loaded.
func (w *world) awake() {
	w.start()
	w.Expect(w.wake().Refusal).To(BeNil())
}

type answer struct {
	status  int
	header  http.Header
	trailer http.Header
	body    string
	err     error
}

func (a answer) verdict() string { return a.header.Get("Lagoon-Verdict") }
func (a answer) reason() string  { return a.header.Get("Lagoon-Reason") }

// request sends a request as an entry does; headers are name, value pairs.
func (w *world) request(ctx context.Context, headers ...string) answer {
	return w.requestPath(ctx, "/v1/completions", headers...)
}

// requestPath sends a request with the given path as an entry does.
func (w *world) requestPath(ctx context.Context, path string, headers ...string) answer {
	req, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+trafficAddr+path, strings.NewReader(w.body))
	req.Header.Set(agent.HeaderModel, "a")
	req.Header.Set(agent.HeaderVersion, "v1")
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := w.client.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return answer{resp.StatusCode, resp.Header, resp.Trailer, string(body), err}
}

// requests sends a request in the background.
func (w *world) background(headers ...string) chan answer {
	done := make(chan answer, 1)
	go func() { done <- w.request(context.Background(), headers...) }()
	synctest.Wait()
	return done
}

// hold makes the engine keep requests until the returned function is called.
func (w *world) hold() (release func()) {
	gate := make(chan struct{})
	w.engine.handle(func(out http.ResponseWriter, r *http.Request) {
		select {
		case <-gate:
			_, _ = io.WriteString(out, "answer")
		case <-r.Context().Done():
		}
	})
	return func() { close(gate) }
}

const claimID = "00dc6acf-ac00-7000-8000-000000000001"

var anyone = context.Background()

// inBubble runs a scenario in virtual time.
func inBubble(t *testing.T, scenario func(w *world)) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		scenario(w)
		w.end()
	})
}

func (w *world) claimStatus(id, incarnation string) (result rpc.ClaimStatusResult) {
	w.call(rpc.MethodClaimStatus, rpc.ClaimStatusParams{Claim: id, Agent: 1, AgentIncarnation: incarnation}, &result)
	return result
}

func stream(events bool) http.HandlerFunc {
	return func(out http.ResponseWriter, r *http.Request) {
		if events {
			out.Header().Set("Content-Type", "text/event-stream")
		}
		_, _ = io.WriteString(out, "data: 1\n\n")
		_ = http.NewResponseController(out).Flush()
		<-r.Context().Done()
	}
}
