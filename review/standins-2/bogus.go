//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["bogus"] = bogus }

// target is a model or an adapter that ordinary callers ask for.
type target struct {
	name          string
	asked, served atomic.Int32
	first, last   time.Time
}

// bogus: beside ordinary callers, a client asks for adapters that no model has.
func bogus() {
	const (
		memoryMB = 160000
		trouble  = 5 * time.Second
		length   = 45 * time.Second
	)
	catalogue := []model{{"m0", 72700, 37}, {"m1", 72700, 0}, {"m2", 72700, 20}, {"m3", 72700, 0}, {"m4", 72700, 20}, {"m5", 72700, 0}, {"m6", 65100, 0}, {"m7", 65100, 0}, {"m8", 65100, 0}}
	s := startStore()
	s.putManifest(1, []route{
		newRoute("caption", "stream", "models", 2, 5000, route{"resumable": true, "gapAimMs": 250, "sticky": true, "targetLatencyMs": 800}),
	}, []map[string]any{engineService("models", 370, memoryMB, catalogue)})
	serve := func(r *runner, b *boot, req *http.Request, _ []byte) ([]byte, bool) {
		b.work(100 * time.Millisecond)
		id := req.Header.Get("X-Attempt-Id")
		return answerOf("200 OK", id, "Content-Type: text/event-stream\r\nX-Server-Seal: seal-"+r.id+"\r\n", "id: 1\ndata: of "+id+"\n\nid: 2\ndata: end\n\n"), true
	}
	for i, rare := range []string{"m1", "m2", "m3", "m4"} {
		r := startRunner(s, fmt.Sprint("i-", i+1), "models", 64, 192, newEngine(catalogue, memoryMB, "m0", rare))
		r.serve = serve
	}
	for i := range 3 {
		startGateway(s, i+1, defaults())
	}
	for _, g := range gateways {
		g.awaitReady()
	}
	time.Sleep(2 * time.Second)
	var targets []*target
	for _, name := range []string{"m5", "m6", "m7", "m8", "m0/a3", "m0/a9"} {
		targets = append(targets, &target{name: name})
	}
	began := time.Now()
	over := func() bool { return time.Since(began) > length }
	var clients sync.WaitGroup
	var hostile, hostileRefused atomic.Int32
	if disturbed {
		for i := range 12 {
			g := gateways[i%len(gateways)]
			clients.Go(func() {
				for n := 0; !over(); n++ {
					id := fmt.Sprintf("h%d-%d", i, n)
					hostile.Add(1)
					if a := send(g.callers, "POST", "/caption/x", id, 5000, fmt.Sprintf("X-Model: m0/a%d\r\nX-Token-Count: 800,40\r\n", 900+i), "hello"); a.status == 503 {
						hostileRefused.Add(1)
					}
					time.Sleep(50 * time.Millisecond)
				}
			})
		}
	}
	time.Sleep(trouble)
	for i, t := range targets {
		clients.Go(func() {
			for n := 0; !over(); n++ {
				g := gateways[(i+n)%len(gateways)]
				t.asked.Add(1)
				id := fmt.Sprintf("c%d-%d", i, n)
				if a := send(g.callers, "POST", "/caption/1", id, 5000, "X-Model: "+t.name+"\r\nX-Token-Count: 800,40\r\n", "hello"); a.status == 200 {
					t.served.Add(1)
				}
				time.Sleep(time.Second)
			}
		})
	}
	clients.Wait()
	never := 0
	for _, t := range targets {
		if t.served.Load() == 0 {
			never++
			note("BROKEN %s was asked for %d times and never served", t.name, t.asked.Load())
		} else {
			note("%s was asked for %d times and served %d times", t.name, t.asked.Load(), t.served.Load())
		}
	}
	code, text := held, "held"
	if float64(never) > 1+0.1*float64(len(targets)) {
		code, text = broken, "broken"
	}
	finish(code, "%s: of %d models and adapters that ordinary callers asked for, %d were never served; %d requests for adapters that do not exist, %d of them refused", text, len(targets), never, hostile.Load(), hostileRefused.Load())
}
