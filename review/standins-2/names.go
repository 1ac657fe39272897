//go:build review

package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["names"] = names }

// names: beside ordinary callers, a client asks for models that do not exist, with long names.
func names() {
	const (
		memoryMB = 160000
		length   = 80 * time.Second
		trouble  = 38 * time.Second
	)
	catalogue := []model{{"m0", 72700, 37}}
	var rare []string
	for i := 1; i <= 9; i++ {
		rare = append(rare, fmt.Sprint("m", i))
		catalogue = append(catalogue, model{fmt.Sprint("m", i), 72700, 0})
	}
	s := startStore()
	s.putManifest(1, []route{
		newRoute("caption", "stream", "models", 2, 5000, route{"resumable": true, "gapAimMs": 250, "sticky": true, "targetLatencyMs": 800}),
	}, []map[string]any{engineService("models", 370, memoryMB, catalogue)})
	serve := func(r *runner, b *boot, req *http.Request, _ []byte) ([]byte, bool) {
		b.work(100 * time.Millisecond)
		id := req.Header.Get("X-Attempt-Id")
		return answerOf("200 OK", id, "Content-Type: text/event-stream\r\nX-Server-Seal: seal-"+r.id+"\r\n", "id: 1\ndata: of "+id+"\n\nid: 2\ndata: end\n\n"), true
	}
	for i := range 6 {
		r := startRunner(s, fmt.Sprint("i-", i+1), "models", 64, 192, newEngine(catalogue, memoryMB, "m0"))
		r.serve = serve
	}
	for i := range 3 {
		startGateway(s, i+1, defaults())
	}
	for _, g := range gateways {
		g.awaitReady()
	}
	time.Sleep(2 * time.Second)
	began := time.Now()
	over := func() bool { return time.Since(began) > length }
	var clients sync.WaitGroup
	var hostile atomic.Int32
	if disturbed {
		for i, g := range gateways {
			clients.Go(func() {
				for n := 0; !over(); n++ {
					hostile.Add(1)
					name := fmt.Sprintf("%s%d-%d", strings.Repeat("<", 490), i, n)
					send(g.callers, "POST", "/caption/x", fmt.Sprintf("h%d-%d", i, n), 5000, "X-Model: "+name+"\r\nX-Token-Count: 800,40\r\n", "hello")
					time.Sleep(25 * time.Millisecond)
				}
			})
		}
	}
	time.Sleep(trouble)
	var targets []*target
	for i, name := range rare {
		t := &target{name: name}
		targets = append(targets, t)
		clients.Go(func() {
			for n := 0; !over(); n++ {
				t.asked.Add(1)
				if a := send(gateways[i%len(gateways)].callers, "POST", "/caption/1", fmt.Sprintf("c%d-%d", i, n), 5000, "X-Model: "+name+"\r\nX-Token-Count: 800,40\r\n", "hello"); a.status == 200 {
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
	finish(code, "%s: of %d models that ordinary callers asked for, %d were never served; %d requests for models that do not exist", text, len(targets), never, hostile.Load())
}
