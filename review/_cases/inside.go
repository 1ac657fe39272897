package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["end-inside-event"] = endInsideEvent }

// endInsideEvent lets a runner truncate a few streams inside an event, with the end
// of the body marked as usual, on a route that may be resumed.
func endInsideEvent(w *world) int {
	w.putManifest(7, []route{
		{prefix: "/notes/", kind: "stream", service: "runners", resumable: true, timeoutMs: 15000, aimMs: 500, attempt: 2},
	}, "runners", []string{"notes", "other"}, 2.8)
	var mu sync.Mutex
	answers := 0
	truncated := map[string]bool{}
	truncates := func(x run) bool {
		mu.Lock()
		defer mu.Unlock()
		if x.runner.id != "i-faulty" || firstEvent(x.r) != 1 {
			return false
		}
		answers++
		if !trouble || answers%spoiledEvery != 0 {
			return false
		}
		truncated[x.id] = true
		return true
	}
	serve := func(x run) {
		truncate := truncates(x)
		x.w.Header().Set("Content-Type", "text/event-stream")
		for i := firstEvent(x.r); i <= longStreamEvents; i++ {
			text := event(i)
			if truncate && i == spoiledAt {
				text = text[:len(text)/2]
			}
			if _, err := fmt.Fprint(x.w, text); err != nil || http.NewResponseController(x.w).Flush() != nil {
				return
			}
			if truncate && i == spoiledAt {
				note("runner %s: truncates its answer to request %s inside event %d", x.runner.id, x.id, i)
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
	time.Sleep(30 * time.Second)
	stop()
	c.open.Wait()

	var whole strings.Builder
	for i := 1; i <= longStreamEvents; i++ {
		whole.WriteString(event(i))
	}
	wrong := 0
	for id, o := range c.byID() {
		if !o.served() || o.body == whole.String() {
			continue
		}
		wrong++
		note("ORDER: request %s (truncated by its runner: %v) got a success that ends as complete with %q", id, truncated[id], o.body[max(len(o.body)-24, 0):])
	}
	note("%s", c.summary())
	note("answers that a runner truncated: %d; successes that look complete and are not: %d", len(truncated), wrong)
	if trouble && len(truncated) == 0 {
		cannotRun("no answer was truncated")
	}
	if wrong > 0 {
		return broken
	}
	return held
}
