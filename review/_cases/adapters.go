package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

func init() { cases["adapters-beyond-places"] = adaptersBeyondPlaces }

// adapterModels have as many adapters as the users' sheet placas-cr-grown.
var adapterModels = []struct {
	name     string
	adapters int
}{{"m0", 97}, {"m1", 96}}

const (
	adapterEngines = 18
	// adapterRate is the requests a second.
	adapterRate = 90
	// meanEvents is the mean number of events of a stream, at most 238.
	meanEvents = 72.9
	calmFor    = 5 * time.Second
	shiftedFor = 100 * time.Second
)

// adaptersBeyondPlaces moves demand from a few adapters to all of them, more than
// the runners have places for.
func adaptersBeyondPlaces(w *world) int {
	routes := []route{{prefix: "/notes/", kind: "stream", service: "runners", resumable: true, timeoutMs: 15000, aimMs: 500, attempt: 2}}
	w.putAdapterManifest(7, routes)
	var mu sync.Mutex
	var over []string
	done := make(chan struct{})
	overloaded := func(e *engine, why string) {
		mu.Lock()
		defer mu.Unlock()
		note("LIMIT: runner %s got %s and has no room for it: it crashes", e.id, why)
		over = append(over, e.id)
		if len(over) == 1 {
			close(done)
		}
	}
	streams := func(rw http.ResponseWriter, r *http.Request) {
		rw.Header().Set("Content-Type", "text/event-stream")
		last := min(max(int(meanEvents*rand.ExpFloat64()), 10), 238)
		for i := firstEvent(r); i <= last; i++ {
			if _, err := fmt.Fprint(rw, event(i)); err != nil || http.NewResponseController(rw).Flush() != nil {
				return
			}
			time.Sleep(shortEventGap)
		}
	}
	for i := range adapterEngines {
		w.addEngine(fmt.Sprint("i-", i+1), []string{"m0", "m1"}, streams, overloaded)
	}
	w.addGateways(3)

	c := newConsumers()
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	began := time.Now()
	go c.flow(ctx, adapterRate, w.gateways, func(n int) request {
		m := adapterModels[rand.IntN(len(adapterModels))]
		a := rand.IntN(m.adapters)
		if !trouble || time.Since(began) < calmFor {
			a = rand.IntN(20)
		}
		return request{path: "/notes/2f", model: fmt.Sprintf("%s/a%d", m.name, a+1), tokens: "830,290", prompt: fmt.Sprintf("5c1e07a2:630,%x:200", 0x1000000+n), deadlineMs: 15000}
	})
	note("traffic starts: %d requests a second, for 40 adapters", adapterRate)
	time.Sleep(calmFor)
	if trouble {
		note("demand moves to all 193 adapters")
	}
	select {
	case <-done:
		time.Sleep(2 * time.Second)
	case <-time.After(shiftedFor):
	}
	stop()
	c.open.Wait()
	mu.Lock()
	defer mu.Unlock()
	note("%s", c.summary())
	note("runners that were ordered to load more than they have room for: %d", len(over))
	if len(over) > 0 {
		return broken
	}
	return held
}

// putAdapterManifest publishes a manifest with models that have adapters.
func (w *world) putAdapterManifest(version int, routes []route) {
	list := []map[string]any{}
	for i, r := range routes {
		list = append(list, map[string]any{
			"name": fmt.Sprint("r-", i), "host": host, "pathPrefix": r.prefix, "kind": r.kind, "timeoutMs": r.timeoutMs,
			"targetLatencyMs": r.aimMs, "priority": 0, "service": r.service, "attempts": r.attempt, "sticky": true, "resumable": r.resumable, "gapAimMs": 250,
		})
	}
	models := []map[string]any{}
	for _, m := range adapterModels {
		models = append(models, map[string]any{
			"name": m.name, "weightsMb": modelMb, "loadS": loadS.Seconds(), "adapters": m.adapters, "adapterMb": adapterMb, "warmS": 0.6, "diskS": diskS.Seconds(),
		})
	}
	w.store.put("keyed.op", "config", map[string]any{
		"version": version, "routes": list,
		"services": []map[string]any{{
			"name": "runners", "healthPath": "/healthz", "maxConns": 370, "protocol": "h1", "tls": false,
			"engine": map[string]any{"slots": 64, "kvCapacity": 256000, "weightsMb": weightsMb, "adapterSlots": adapterSlots, "loadsPerS": 2.8, "models": models},
		}},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
}
