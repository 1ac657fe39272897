package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

func init() { cases["resume-beside-first-run"] = resumeBesideFirstRun }

const (
	// spoiledEvery is how many answers of the faulty runner there are for each one
	// that is spoiled: 3 in 100.
	spoiledEvery = 33
	// spoiledAt is the event before which the answer is spoiled.
	spoiledAt = 10
	// longStreamEvents and shortEventGap make a stream of 1.5 s.
	longStreamEvents = 73
	shortEventGap    = 20 * time.Millisecond
	// overlapMs is how long a run may go on beside the run that continues it.
	overlapMs = 400 * time.Millisecond
	// closeSeen is how long the stand-in may take to see that its channel is
	// closed.
	closeSeen = 100 * time.Millisecond
)

// span is a run of a request at a runner.
type span struct {
	id, runner   string
	first        int
	began, ended time.Time
	spoiled      bool
}

// resumeBesideFirstRun lets a runner spoil the bodies of a few streams, with bytes
// that are no answer until the caller closes, on a route that may be resumed.
func resumeBesideFirstRun(w *world) int {
	w.putManifest(7, []route{
		{prefix: "/notes/", kind: "stream", service: "runners", resumable: true, timeoutMs: 15000, aimMs: 500, attempt: 2},
	}, "runners", []string{"notes", "other"}, 2.8)
	var mu sync.Mutex
	var spans []*span
	answers := 0
	begin := func(x run) *span {
		mu.Lock()
		defer mu.Unlock()
		s := &span{id: x.id, runner: x.runner.id, first: firstEvent(x.r), began: x.began}
		spans = append(spans, s)
		if x.runner.id == "i-faulty" && s.first == 1 {
			answers++
			s.spoiled = trouble && answers%spoiledEvery == 0
		}
		return s
	}
	end := func(s *span) {
		mu.Lock()
		defer mu.Unlock()
		s.ended = time.Now()
	}
	serve := func(x run) {
		s := begin(x)
		defer end(s)
		if s.spoiled {
			spoil(x)
			return
		}
		x.w.Header().Set("Content-Type", "text/event-stream")
		for i := s.first; i <= longStreamEvents; i++ {
			if _, err := fmt.Fprint(x.w, event(i)); err != nil || http.NewResponseController(x.w).Flush() != nil {
				return
			}
			time.Sleep(shortEventGap)
		}
	}
	w.addRunner("i-faulty", "runners", []string{"notes", "other"}, serve)
	w.addRunner("i-sound", "runners", []string{"notes", "other"}, serve)
	w.addGateways(3)

	c := newConsumers()
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go c.flow(ctx, 10, w.gateways, func(n int) request {
		return request{path: "/notes/2f", model: "notes", tokens: "830,290", prompt: fmt.Sprintf("5c1e07a2:630,%x:200", 0x1000000+n), deadlineMs: 15000}
	})
	note("traffic starts: 10 requests a second")
	time.Sleep(35 * time.Second)
	stop()
	c.open.Wait()
	time.Sleep(500 * time.Millisecond)

	mu.Lock()
	defer mu.Unlock()
	seen := c.byID()
	spoiled, resumed, beside := 0, 0, 0
	for _, s := range spans {
		if !s.spoiled {
			continue
		}
		spoiled++
		for _, next := range spans {
			if next.id != s.id || next == s {
				continue
			}
			resumed++
			overlap := s.ended.Sub(next.began)
			note("request %s: run at %s from event 1, spoiled before event %d; goes on at %s from event %d; the first run ended %.3f s after that began, the second took %.3f s; consumer: status %d, complete: %v",
				s.id, s.runner, spoiledAt, next.runner, next.first, overlap.Seconds(), next.ended.Sub(next.began).Seconds(), seen[s.id].status, seen[s.id].err == nil)
			if overlap > overlapMs+closeSeen {
				beside++
			}
		}
	}
	note("%s", c.summary())
	note("runs: %d; spoiled: %d; gone on elsewhere: %d; with the first run still at work %d ms later: %d", len(spans), spoiled, resumed, overlapMs.Milliseconds(), beside)
	if trouble && spoiled == 0 {
		cannotRun("no answer was spoiled")
	}
	if beside > 0 {
		return broken
	}
	return held
}

// spoil sends the first events, and then bytes that are no part of a chunked body
// until the caller closes the channel. The run goes on until then.
func spoil(x run) {
	conn, buffered, err := http.NewResponseController(x.w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		_, _ = io.Copy(io.Discard, buffered)
	}()
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Seal: seal-%s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
		x.id, x.runner.id)
	for i := 1; ; i++ {
		piece := event(i)
		text := fmt.Sprintf("%x\r\n%s\r\n", len(piece), piece)
		if i >= spoiledAt {
			text = fmt.Sprintf("~spoiled %d~\r\n", i)
		}
		if _, err := io.WriteString(conn, text); err != nil {
			return
		}
		select {
		case <-closed:
			return
		case <-time.After(shortEventGap):
		}
	}
}
