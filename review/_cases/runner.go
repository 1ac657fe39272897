package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	heartbeat = 1200 * time.Millisecond
	// drainMs is how long a runner serves at least after the store has confirmed
	// that it is draining.
	drainMs = 3000 * time.Millisecond
)

// run is one request that a runner works on.
type run struct {
	runner *runner
	id     string
	w      http.ResponseWriter
	r      *http.Request
	began  time.Time
}

// runner stands in for a model runner. It registers in the store, answers reports
// and orders, and passes requests to serve.
type runner struct {
	id, service, addr string
	born              int64
	// orderTime is how long a load takes.
	orderTime time.Duration
	serve     func(run)
	world     *world
	server    *http.Server
	stop      chan struct{}
	stopOnce  sync.Once

	mu     sync.Mutex
	models []string
	seq    int
	// silent says that the runner does not reach the store.
	silent   bool
	orders   int
	busy     bool
	draining bool
}

type order struct {
	Opcode  string `json:"opcode"`
	Model   string `json:"model"`
	Adapter string `json:"adapter"`
	Expect  int    `json:"expect"`
	Holder  string `json:"holder"`
	Fence   int64  `json:"fence"`
}

func (w *world) addRunner(id, service string, models []string, serve func(run)) *runner {
	r := &runner{
		id: id, service: service, born: time.Now().UnixMilli(), orderTime: 6 * time.Second, serve: serve, world: w,
		stop: make(chan struct{}), models: models,
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	r.addr = l.Addr().String()
	r.server = &http.Server{Handler: r}
	go func() { _ = r.server.Serve(l) }()
	w.runners = append(w.runners, r)
	r.register()
	go r.beat()
	return r
}

func (r *runner) beat() {
	// Runners don't write at the same moments.
	time.Sleep(rand.N(heartbeat))
	for {
		select {
		case <-r.stop:
			return
		case <-time.After(heartbeat):
			r.register()
		}
	}
}

// register writes the runner's entry.
func (r *runner) register() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.silent || r.world.store.isDown() {
		return
	}
	r.seq++
	state := "ready"
	if r.draining {
		state = "draining"
	}
	r.world.store.put("keyed.servers", r.id, map[string]any{
		"service": r.service, "addr": r.addr, "zone": "zone-1", "version": "1", "slots": 64, "state": state, "seq": r.seq, "born": r.born,
		"coldRemainingMs": 0, "models": r.held(), "atHand": map[string]any{"inMemory": []string{}, "onDisk": []string{}},
	})
}

// held lists the models; the lock is held.
func (r *runner) held() []map[string]any {
	list := []map[string]any{}
	for _, m := range r.models {
		list = append(list, map[string]any{"name": m, "version": 1, "adapters": []string{}})
	}
	return list
}

func (r *runner) holds(model string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, m := range r.models {
		if m == model {
			return true
		}
	}
	return model == ""
}

// drain reports the runner as draining and returns the time of the store's
// confirmation.
func (r *runner) drain() time.Time {
	r.mu.Lock()
	r.draining = true
	r.mu.Unlock()
	r.register()
	return time.Now()
}

// leave removes the entry and ends the runner.
func (r *runner) leave() {
	r.stopOnce.Do(func() { close(r.stop) })
	r.world.store.put("keyed.servers", r.id, nil)
	_ = r.server.Close()
}

// exit ends the runner without a word.
func (r *runner) exit() {
	r.stopOnce.Do(func() { close(r.stop) })
	_ = r.server.Close()
}

func (r *runner) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	id := req.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", id)
	if want := req.Header.Get("X-Expect-Instance"); want != "" && want != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch req.URL.Path {
	case "/lagoonvalve/report":
		r.mu.Lock()
		defer r.mu.Unlock()
		_ = json.NewEncoder(w).Encode(map[string]any{
			"stage": "colocated", "models": r.held(), "busy": r.busy, "seq": r.orders, "queued": 0, "running": 0, "kvUsed": 0, "kvTotal": 256000,
		})
		return
	case "/lagoonvalve/order":
		r.takeOrder(w, req)
		return
	}
	if !r.holds(req.Header.Get("X-Model")) {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return
	}
	w.Header().Set("X-Server-Seal", "seal-"+r.id)
	began := time.Now()
	note("runner %s: begins to run request %s, from event %d", r.id, id, firstEvent(req))
	r.serve(run{runner: r, id: id, w: w, r: req, began: began})
	note("runner %s: run of request %s has ended", r.id, id)
}

func (r *runner) takeOrder(w http.ResponseWriter, req *http.Request) {
	var o order
	if json.NewDecoder(req.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	note("runner %s: order %s %s from %s, generation %d", r.id, o.Opcode, o.Model, o.Holder, o.Fence)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.busy || o.Expect != r.orders {
		w.WriteHeader(http.StatusConflict)
		return
	}
	r.orders++
	r.busy = true
	took := r.orderTime
	if o.Opcode == "unload" {
		took = 10 * time.Millisecond
		r.remove(o.Model)
	}
	time.AfterFunc(took, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.busy = false
		if o.Opcode == "load" {
			r.models = append(r.models, o.Model)
		}
	})
	w.WriteHeader(http.StatusAccepted)
}

// remove drops a model; the lock is held.
func (r *runner) remove(model string) {
	var kept []string
	for _, m := range r.models {
		if m != model {
			kept = append(kept, m)
		}
	}
	r.models = kept
}

// event returns the bytes of one event of a stream.
func event(i int) string { return fmt.Sprintf("id: %d\ndata: token-%d\n\n", i, i) }

// firstEvent returns the number of the first event that a request asks for.
func firstEvent(r *http.Request) int {
	if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		return last + 1
	}
	return 1
}

// setSilent cuts the runner off from the store, or ends that.
func (r *runner) setSilent(silent bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.silent = silent
}
