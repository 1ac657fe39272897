package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["limit-across-holders"] = limitAcrossHolders }

const (
	// sharedLimitPerS is the rate limit that the runner in need names.
	sharedLimitPerS = 20.0
	// contactMs, windowS and the allowance are those of the rule LIMIT.
	contactMs     = 4000 * time.Millisecond
	limitWindow   = 4 * time.Second
	limitFactor   = 1.5
	limitConstant = 5
)

// limitAcrossHolders kills the gateway that grants the permits of a rate limit
// while requests wait for theirs at the other gateways.
func limitAcrossHolders(w *world) int {
	w.putManifest(7, []route{
		{prefix: "/rare/", kind: "stream", service: "runners", timeoutMs: 20000, aimMs: 3000, attempt: 1},
	}, "runners", []string{"rare", "other"}, 2.8)
	var mu sync.Mutex
	var arrivals []arrival
	named := time.Time{}
	w.addRunner("i-in-need", "runners", []string{"rare", "other"}, func(x run) {
		mu.Lock()
		if named.IsZero() {
			named = x.began
		}
		arrivals = append(arrivals, arrival{x.id, x.began})
		mu.Unlock()
		x.w.Header().Set("Server-Limit", fmt.Sprintf("%.1f", sharedLimitPerS))
		x.w.Header().Set("Content-Type", "text/event-stream")
		for i := firstEvent(x.r); i <= streamEvents; i++ {
			if _, err := fmt.Fprint(x.w, event(i)); err != nil || http.NewResponseController(x.w).Flush() != nil {
				return
			}
			time.Sleep(eventGap)
		}
	})
	w.addGateways(6)

	c := newConsumers()
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	holder := w.holder()
	if holder == nil {
		cannotRun("nobody holds the lease")
	}
	go c.flow(ctx, 45, w.gateways, func(n int) request {
		return request{path: "/rare/2f", model: "rare", tokens: "800,48", prompt: fmt.Sprintf("5c1e07a2:600,%x:200", 0x1000000+n), deadlineMs: 20000}
	})
	note("traffic starts: 45 requests a second for the rare model; the limit is %.0f a second", sharedLimitPerS)
	time.Sleep(18 * time.Second)
	if trouble {
		holder.kill()
		note("%s, which holds the lease, is killed", holder.name)
		time.Sleep(300 * time.Millisecond)
		w.boot(holder)
		note("%s is started again", holder.name)
	}
	time.Sleep(12 * time.Second)
	stop()
	c.open.Wait()

	mu.Lock()
	defer mu.Unlock()
	seen := c.byID()
	allowed := limitFactor*sharedLimitPerS*limitWindow.Seconds() + limitConstant
	worst, worstAll, at := 0, 0, time.Time{}
	for i, first := range arrivals {
		if first.at.Sub(named) < contactMs {
			continue
		}
		n, all := 0, 0
		for _, a := range arrivals[i:] {
			if a.at.Sub(first.at) > limitWindow {
				break
			}
			all++
			// A restart of a machine excuses that machine.
			if !trouble || seen[a.id].gateway != holder.name {
				n++
			}
		}
		if n > worst {
			worst, worstAll, at = n, all, first.at
		}
	}
	note("%s", c.summary())
	note("most requests at the runner in %.0f s: %d from the machines that were not restarted (%d in all), from second %.1f on; allowed: %.0f",
		limitWindow.Seconds(), worst, worstAll, at.Sub(record.began).Seconds(), allowed)
	if float64(worst) > allowed {
		return broken
	}
	return held
}
