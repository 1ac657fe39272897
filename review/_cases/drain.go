package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["drain-behind-limit"] = drainBehindLimit }

const (
	// limitPerS is the rate limit that the runner in need names.
	limitPerS = 2.0
	// lingerMs is how much longer than drainMs a draining runner serves, as on the
	// users' sheet placas-cr.
	lingerMs = 1500 * time.Millisecond
	// streamEvents and eventGap make a stream of 1.2 s.
	streamEvents = 12
	eventGap     = 100 * time.Millisecond
)

// arrival is a request that has reached a runner.
type arrival struct {
	id string
	at time.Time
}

// drainBehindLimit lets the only runner of a rare model name a rate limit, so that
// requests for it wait, and drains it.
func drainBehindLimit(w *world) int {
	w.putManifest(7, []route{
		{prefix: "/rare/", kind: "stream", service: "runners", timeoutMs: 20000, aimMs: 3000, attempt: 1},
		{prefix: "/busy/", kind: "stream", service: "runners", timeoutMs: 20000, aimMs: 3000, attempt: 1},
	}, "runners", []string{"rare", "other", "busy-1", "busy-2"}, 2.8)
	var mu sync.Mutex
	var arrivals []arrival
	stream := func(limit bool) func(run) {
		return func(x run) {
			if limit {
				mu.Lock()
				arrivals = append(arrivals, arrival{x.id, x.began})
				mu.Unlock()
				if trouble {
					x.w.Header().Set("Server-Limit", fmt.Sprintf("%.1f", limitPerS))
				}
			}
			x.w.Header().Set("Content-Type", "text/event-stream")
			for i := firstEvent(x.r); i <= streamEvents; i++ {
				if _, err := fmt.Fprint(x.w, event(i)); err != nil || http.NewResponseController(x.w).Flush() != nil {
					return
				}
				time.Sleep(eventGap)
			}
		}
	}
	inNeed := w.addRunner("i-in-need", "runners", []string{"rare", "other"}, stream(true))
	w.addRunner("i-other", "runners", []string{"busy-1", "busy-2"}, stream(false))
	w.addGateways(3)

	c := newConsumers()
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	ask := func(prefix string, model func(n int) string) func(n int) request {
		return func(n int) request {
			return request{path: prefix + "2f", model: model(n), tokens: "800,48", prompt: fmt.Sprintf("5c1e07a2:600,%x:200", 0x1000000+n), deadlineMs: 20000}
		}
	}
	go c.flow(ctx, 4, w.gateways, ask("/rare/", func(int) string { return "rare" }))
	go c.flow(ctx, 6, w.gateways, ask("/busy/", func(n int) string { return fmt.Sprint("busy-", 1+n%2) }))
	note("traffic starts: 4 requests a second for the rare model, 6 for the busy ones")
	time.Sleep(12 * time.Second)

	confirmed := inNeed.drain()
	note("the store has confirmed that the runner in need is draining")
	time.Sleep(drainMs + lingerMs)
	inNeed.leave()
	note("the runner has removed its entry and ended")
	time.Sleep(2 * time.Second)
	stop()
	c.open.Wait()

	late, cut := 0, 0
	seen := c.byID()
	for _, a := range arrivals {
		after := a.at.Sub(confirmed)
		if after <= drainMs {
			continue
		}
		late++
		o := seen[a.id]
		note("DRAIN: request %s, sent %.3f s before the confirmation, reached the draining runner %.3f s after it; consumer: status %d, complete: %v",
			a.id, confirmed.Sub(o.sent).Seconds(), after.Seconds(), o.status, o.err == nil)
		if !o.served() {
			cut++
		}
	}
	note("%s", c.summary())
	note("requests that reached the runner in all: %d; later than drainMs after the confirmation: %d; of these not served: %d", len(arrivals), late, cut)
	if len(arrivals) < 10 {
		cannotRun("only %d requests reached the runner", len(arrivals))
	}
	if late > 0 {
		return broken
	}
	return held
}
