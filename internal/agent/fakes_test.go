package agent_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/platform"
	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// fakeLog is the log and the appender.
type fakeLog struct {
	mu      sync.Mutex
	streams map[platform.Stream][]state.StoredRecord
	down    bool
	lose    bool // store, but lose the answer
}

func (l *fakeLog) set(change func(*fakeLog)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(l)
}

func (l *fakeLog) Append(_ context.Context, stream platform.Stream, records ...state.Record) ([]state.Offset, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return nil, platform.ErrUnavailable
	}
	var offsets []state.Offset
	for _, r := range records {
		offset := state.Offset(len(l.streams[stream]))
		l.streams[stream] = append(l.streams[stream], state.StoredRecord{Offset: offset, Record: r})
		offsets = append(offsets, offset)
	}
	if l.lose {
		return nil, platform.ErrUnknownOutcome
	}
	return offsets, nil
}

func (l *fakeLog) last(stream platform.Stream) state.StoredRecord {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.streams[stream][len(l.streams[stream])-1]
}

func (l *fakeLog) kinds(stream platform.Stream) []state.Kind {
	l.mu.Lock()
	defer l.mu.Unlock()
	var kinds []state.Kind
	for _, p := range l.streams[stream] {
		kinds = append(kinds, p.Kind)
	}
	return kinds
}

// fakeParts derives the upstream's part from the log without the checks of the
// real tables.
type fakeParts struct {
	log *fakeLog

	mu sync.Mutex
	// change alters answers on their way; nil alters none.
	change func(params rpc.PartParams, result *rpc.PartResult)
}

func (f *fakeParts) alter(change func(rpc.PartParams, *rpc.PartResult)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.change = change
}

func (f *fakeParts) Part(ctx context.Context, params rpc.PartParams) (rpc.PartResult, error) {
	deadline := time.Now().Add(params.Wait.Std())
	for ctx.Err() == nil {
		f.log.mu.Lock()
		down, records := f.log.down, slices.Clone(f.log.streams[region])
		f.log.mu.Unlock()
		if down {
			return rpc.PartResult{}, platform.ErrUnavailable
		}
		part := derive(records, params.ExtraReplicas)
		result := rpc.PartResult{
			PartOffsets: rpc.PartOffsets{Config: state.NoOffset, Region: state.Offset(len(records) - 1)}, Part: &part,
		}
		f.mu.Lock()
		if f.change != nil {
			f.change(params, &result)
		}
		f.mu.Unlock()
		if result.Sum = result.Part.Sum(); result.Sum == params.Known {
			result.Part = nil
		}
		if result.Part != nil || !time.Now().Before(deadline) {
			return result, nil
		}
		time.Sleep(10 * time.Millisecond) // virtual time
	}
	return rpc.PartResult{}, ctx.Err()
}

func encode(body any) json.RawMessage {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	return data
}

func decode[T any](p state.StoredRecord) (body T) {
	if err := json.Unmarshal(p.Body, &body); err != nil {
		panic(err)
	}
	return body
}

func derive(records []state.StoredRecord, also []state.ReplicaKey) state.UpstreamPart {
	part := state.UpstreamPart{
		Upstream: "u1", ExtraReplicas: also,
		Versions: []state.ModelVersion{{Model: "a", Name: "v1", Weights: 40, KVHeadroom: 10}},
		Adapters: []state.Adapter{{Name: "x", Model: "a", Size: 1}, {Name: "y", Model: "a", Size: 1}},
	}
	for _, p := range records {
		switch p.Kind {
		case state.KindAgentStart:
			start := decode[state.AgentStart](p)
			if r := part.Registration; r != nil && r.OnOtherHostThan(start.Host) && len(part.Grants) > 0 {
				continue
			}
			part.Registration = &state.AgentRegistration{Upstream: "u1", Incarnation: start.Incarnation, Token: p.Offset, Host: start.Host}
		case state.KindIntent:
			in := decode[state.Intent](p)
			part.Intent = &state.IntentSet{Agent: in.Agent, Offset: p.Offset, Record: p.ID, Models: in.Models, Orders: in.Orders}
		case state.KindGrant:
			body := decode[state.GrantBody](p)
			part.Grants = append(part.Grants, state.Grant{ID: p.Offset, ReplicaKey: body.ReplicaKey, Upstream: body.Upstream})
		case state.KindRevoke:
			body := decode[state.Revoke](p)
			for i := range part.Grants {
				part.Grants[i].Revoked = part.Grants[i].Revoked || part.Grants[i].ID == body.Grant
			}
		case state.KindHostGone:
			part.Registration, part.Grants = nil, nil
		case state.KindRelease:
			body := decode[state.Release](p)
			part.Grants = slices.DeleteFunc(part.Grants, func(g state.Grant) bool { return g.ID == body.Grant })
		}
	}
	return part
}

// fakeEngine carries out orders at once, but for adapter loads, and answers requests by handler.
type fakeEngine struct {
	net *memNet

	mu          sync.Mutex
	incarnation int
	replicas    []platform.EngineReplica
	orders      []platform.Order
	cached      map[string]platform.CacheTier
	loadTime    time.Duration
	// delay holds listings back until it is closed.
	delay    chan struct{}
	requests int
	handler  http.HandlerFunc
	server   *http.Server
}

func (e *fakeEngine) statusLocked() platform.EngineStatus {
	return platform.EngineStatus{
		Incarnation: fmt.Sprint(e.incarnation),
		Memory:      100,
		Replicas:    slices.Clone(e.replicas),
		Cached:      e.cached,
	}
}

func (e *fakeEngine) Status(ctx context.Context) (platform.EngineStatus, error) {
	e.mu.Lock()
	delay := e.delay
	e.mu.Unlock()
	if delay != nil {
		select {
		case <-delay:
		case <-ctx.Done():
			return platform.EngineStatus{}, ctx.Err()
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.statusLocked(), nil
}

// delayListings holds listings back until the returned function is called.
func (e *fakeEngine) delayListings() (resume func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delay := make(chan struct{})
	e.delay = delay
	return func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.delay = nil
		close(delay)
	}
}

func (e *fakeEngine) Do(_ context.Context, o platform.Order) error {
	if o.Kind == platform.OrderLoad {
		time.Sleep(e.loadTime)
	}
	if o.Kind == platform.OrderLoadAdapter {
		time.Sleep(5 * time.Millisecond) // virtual time
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orders = append(e.orders, o)
	at := slices.IndexFunc(e.replicas, func(r platform.EngineReplica) bool { return r.ReplicaKey == o.ReplicaKey })
	switch {
	case o.Kind == platform.OrderLoad && at < 0:
		e.replicas = append(e.replicas, platform.EngineReplica{
			ReplicaKey: o.ReplicaKey, State: state.ReplicaReady, Size: o.Size,
		})
	case o.Kind == platform.OrderUnload && at >= 0:
		e.replicas = slices.Delete(slices.Clone(e.replicas), at, at+1)
	case o.Kind == platform.OrderLoadAdapter && at >= 0:
		e.replicas[at].Adapters = append(slices.Clone(e.replicas[at].Adapters), o.Adapter)
	case o.Kind == platform.OrderUnloadAdapter && at >= 0:
		e.replicas[at].Adapters = slices.DeleteFunc(slices.Clone(e.replicas[at].Adapters),
			func(name state.AdapterName) bool { return name == o.Adapter })
	}
	return nil
}

func (e *fakeEngine) ordered(kind platform.OrderKind) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	count := 0
	for _, o := range e.orders {
		if o.Kind == kind {
			count++
		}
	}
	return count
}

func (e *fakeEngine) allOrders() []platform.Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.orders)
}

func (e *fakeEngine) handle(handler http.HandlerFunc) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.handler = handler
}

func (e *fakeEngine) served() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.requests
}

func (e *fakeEngine) start() {
	listener, err := e.net.Listen(context.Background(), "engine:80")
	if err != nil {
		panic(err)
	}
	e.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.mu.Lock()
		e.requests++
		handler := e.handler
		e.mu.Unlock()
		// The server notices a client that left only after the body's end.
		_, _ = io.Copy(io.Discard, r.Body)
		handler(w, r)
	})}
	go func() { _ = e.server.Serve(listener) }()
}

// crash ends all connections and comes back empty.
func (e *fakeEngine) crash() {
	e.mu.Lock()
	e.incarnation++
	e.replicas = nil
	e.mu.Unlock()
	_ = e.server.Close()
	e.start()
}

// fakeCaller answers heartbeats.
type fakeCaller struct {
	mu      sync.Mutex
	beats   []rpc.Heartbeat
	leaving bool
	// forgetful answers each short heartbeat as a watcher that has restarted.
	forgetful bool
}

func (c *fakeCaller) Call(_ context.Context, _, method string, params, result any) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if method != rpc.MethodHeartbeat {
		return rpc.ErrUnreachable
	}
	beat := params.(rpc.Heartbeat)
	c.beats = append(c.beats, beat)
	*result.(*rpc.HeartbeatResult) = rpc.HeartbeatResult{Leaving: c.leaving, SendFull: c.forgetful && !beat.Full}
	return nil
}

func (c *fakeCaller) sent() []rpc.Heartbeat {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.beats)
}

func (c *fakeCaller) setForgetful(forgetful bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.forgetful = forgetful
}

func (c *fakeCaller) setLeaving() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaving = true
}
