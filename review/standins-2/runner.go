//go:build review

package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// runner stands in for a runner: one request at a time on a channel, some slots, a short queue,
// an entry in the store that is written every second.
type runner struct {
	id, service, zone string
	listener          net.Listener
	born              time.Time
	store             *store
	slots, queue      int
	// engine is set for a runner of models.
	engine *engine
	// serve answers a request that has got a slot. It returns the bytes of the answer, and
	// whether the channel is kept.
	serve func(r *runner, b *boot, req *http.Request, body []byte) (answer []byte, keep bool)
	// after is called with each complete answer; what it returns is sent late, where the next
	// answer on the channel is due. Nil sends nothing.
	after func(r *runner, id string, answer []byte) []byte

	mu    sync.Mutex
	boot  *boot
	beats int
	// beatAt is when the entry was last written.
	beatAt   time.Time
	draining bool
	gone     bool
	// removed says that the runner has removed its entry, and leaves.
	removed bool
	conns   map[net.Conn]bool
}

// heartbeat is the time between two writes of an entry.
const heartbeat = 1200 * time.Millisecond

// boot is the work of one start of a runner.
type boot struct {
	running, waiting int
	// freed is closed when a slot has become free, and ended when the runner crashes.
	freed, ended chan struct{}
}

func newBoot() *boot { return &boot{freed: make(chan struct{}), ended: make(chan struct{})} }

func startRunner(s *store, id, service string, slots, queue int, engine *engine) *runner {
	l, err := net.Listen("tcp", freeAddr())
	check(err)
	r := &runner{id: id, service: service, zone: "z", listener: l, born: time.Now(), store: s, slots: slots, queue: queue, engine: engine,
		boot: newBoot(), conns: map[net.Conn]bool{}}
	r.register()
	go func() {
		for range time.Tick(heartbeat) {
			r.mu.Lock()
			gone := r.gone
			r.mu.Unlock()
			if !gone {
				r.register()
			}
		}
	}()
	go r.accept(l)
	return r
}

func (r *runner) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		r.conns[c] = true
		r.mu.Unlock()
		go func() {
			r.channel(c)
			r.mu.Lock()
			delete(r.conns, c)
			r.mu.Unlock()
		}()
	}
}

func (r *runner) register() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.gone {
		return
	}
	r.beatAt = time.Now()
	if r.removed {
		r.store.put("keyed.servers", r.id, nil)
		return
	}
	r.beats++
	state := "ready"
	if r.draining {
		state = "draining"
	}
	value, err := json.Marshal(map[string]any{
		"service": r.service, "addr": r.listener.Addr().String(), "zone": r.zone, "version": 1, "slots": r.slots, "state": state,
		"coldRemainingMs": 0, "seq": r.beats, "born": r.born.UnixMilli(), "stage": "colocated", "models": r.engine.held(), "atHand": r.engine.hand(),
	})
	check(err)
	r.store.put("keyed.servers", r.id, value)
}

// enter takes a slot, after a wait in the queue if there is room in that. It returns false if
// the runner is full or has crashed.
func (r *runner) enter() (*boot, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.boot
	if b.running < r.slots {
		b.running++
		return b, true
	}
	if b.waiting >= r.queue {
		return b, false
	}
	b.waiting++
	for b.running >= r.slots {
		freed := b.freed
		r.mu.Unlock()
		select {
		case <-freed:
		case <-b.ended:
			r.mu.Lock()
			return b, false
		}
		r.mu.Lock()
	}
	b.waiting--
	b.running++
	return b, true
}

func (r *runner) leave(b *boot) {
	r.mu.Lock()
	b.running--
	close(b.freed)
	b.freed = make(chan struct{})
	r.mu.Unlock()
}

func answerOf(status, id, headers string, body string) []byte {
	return fmt.Appendf(nil, "HTTP/1.1 %s\r\nX-Attempt-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, id, headers, len(body), body)
}

const notExecuted = "X-Not-Executed: 1\r\n"

// channel serves the requests of one channel.
func (r *runner) channel(c net.Conn) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	var late []byte
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		id := req.Header.Get("X-Attempt-Id")
		if late != nil {
			if _, err := c.Write(late); err != nil {
				return
			}
			late = nil
		}
		answer, keep := r.answer(req, id, body)
		answer = r.sayLeaving(answer)
		if _, err := c.Write(answer); err != nil || !keep {
			return
		}
		if r.after != nil && id != "" {
			late = r.after(r, id, answer)
		}
	}
}

func (r *runner) answer(req *http.Request, id string, body []byte) ([]byte, bool) {
	switch {
	case req.Header.Get("X-Expect-Instance") != r.id:
		return answerOf("421 Misdirected Request", id, notExecuted, ""), true
	case req.URL.Path == "/lagoonvalve/report":
		r.mu.Lock()
		waiting, running := r.boot.waiting, r.boot.running
		r.mu.Unlock()
		return answerOf("200 OK", id, "Content-Type: application/json\r\n", r.engine.report(waiting, running)), true
	case req.URL.Path == "/lagoonvalve/order":
		status := r.engine.order(r.id, body)
		return answerOf(status, id, "", ""), true
	case id == "":
		return answerOf("400 Bad Request", id, notExecuted, ""), true
	case !r.engine.holds(req.Header.Get("X-Model")):
		return answerOf("421 Misdirected Request", id, notExecuted, ""), true
	}
	b, ok := r.enter()
	if !ok {
		note("runner %s refused %s", r.id, id)
		return answerOf("503 Service Unavailable", id, notExecuted, ""), true
	}
	defer r.leave(b)
	note("runner %s runs %s", r.id, id)
	return r.serve(r, b, req, body)
}

// crash ends the runner as the end of its process would: all channels end, and nothing listens
// at its address. It is back, as a new boot, after a while. It returns false if the runner is
// down already.
func (r *runner) crash(down time.Duration) bool {
	r.mu.Lock()
	if r.gone {
		r.mu.Unlock()
		return false
	}
	r.gone = true
	addr := r.listener.Addr().String()
	_ = r.listener.Close()
	for c := range r.conns {
		_ = c.Close()
	}
	close(r.boot.ended)
	r.boot = newBoot()
	r.mu.Unlock()
	note("runner %s crashes for %v", r.id, down)
	time.AfterFunc(down, func() {
		l, err := net.Listen("tcp", addr)
		check(err)
		r.mu.Lock()
		r.listener, r.born, r.beats, r.gone = l, time.Now(), 0, false
		r.mu.Unlock()
		note("runner %s is back", r.id)
		r.register()
		go r.accept(l)
	})
	return true
}

// work takes a time, or until the runner crashes.
func (b *boot) work(d time.Duration) {
	select {
	case <-time.After(d):
	case <-b.ended:
	}
}

// leaves removes the runner's entry in the store. The runner serves on for a while, and then
// ends. Until then it writes with each heartbeat that it has no entry.
func (r *runner) leaves(serves time.Duration) {
	r.mu.Lock()
	r.removed = true
	r.mu.Unlock()
	r.register()
	note("runner %s has removed its entry", r.id)
	time.AfterFunc(serves, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.gone = true
		_ = r.listener.Close()
		for c := range r.conns {
			_ = c.Close()
		}
		close(r.boot.ended)
		note("runner %s has ended", r.id)
	})
}

// sayLeaving adds to an answer that the runner leaves, if it does.
func (r *runner) sayLeaving(answer []byte) []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.removed && !r.draining {
		return answer
	}
	return bytes.Replace(answer, []byte("\r\n"), []byte("\r\nServer-Leaving: 1\r\n"), 1)
}
