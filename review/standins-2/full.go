//go:build review

package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["full"] = full }

// full: one client has many requests at one machine, all of them proper; runners work on them.
// Meanwhile ordinary consumers try that machine, which says that it is ready.
func full() {
	const (
		contact   = 4 * time.Second
		length    = 35 * time.Second
		consumers = 10
	)
	s := startStore()
	s.putManifest(1, []route{
		newRoute("note", "stream", "models", 2, 15000, route{"resumable": true, "gapAimMs": 250, "sticky": true}),
		newRoute("lookup", "safe", "catalogue", 2, 1500, nil),
	}, []map[string]any{plainService("models", 370), plainService("catalogue", 110)})
	for i := range 12 {
		r := startRunner(s, fmt.Sprint("i-", i+1), "models", 64, 192, nil)
		r.serve = func(r *runner, b *boot, req *http.Request, _ []byte) ([]byte, bool) {
			b.work(12 * time.Second)
			id := req.Header.Get("X-Attempt-Id")
			return answerOf("200 OK", id, "Content-Type: text/event-stream\r\nX-Server-Seal: seal-"+r.id+"\r\n", "id: 1\ndata: of "+id+"\n\n"), true
		}
	}
	for i := range 3 {
		r := startRunner(s, fmt.Sprint("c-", i+1), "catalogue", 6, 24, nil)
		r.serve = func(r *runner, b *boot, req *http.Request, _ []byte) ([]byte, bool) {
			b.work(15 * time.Millisecond)
			return answerOf("200 OK", req.Header.Get("X-Attempt-Id"), "X-Server-Seal: seal-"+r.id+"\r\n", "record"), true
		}
	}
	for i := range 3 {
		startGateway(s, i+1, defaults())
	}
	for _, g := range gateways {
		g.awaitReady()
	}
	time.Sleep(2 * time.Second)
	g := gateways[0]
	began := time.Now()
	over := func() bool { return time.Since(began) > length }
	var clients sync.WaitGroup
	var sent, whole atomic.Int32
	if disturbed {
		for i := range 1200 {
			clients.Go(func() {
				for n := 0; !over(); n++ {
					c, err := net.DialTimeout("tcp", g.callers, time.Second)
					if err != nil {
						time.Sleep(100 * time.Millisecond)
						continue
					}
					sent.Add(1)
					if a := exchange(c, bufio.NewReader(c), "POST", "/note/1", fmt.Sprintf("h%d-%d", i, n), 15000, "X-Token-Count: 800,240\r\n", "hello"); a.status == 200 {
						whole.Add(1)
					} else {
						time.Sleep(100 * time.Millisecond)
					}
					_ = c.Close()
				}
			})
		}
		time.Sleep(3 * time.Second)
	}
	type try struct {
		at    time.Time
		taken bool
	}
	var mu sync.Mutex
	var tries []try
	for i := range consumers {
		clients.Go(func() {
			time.Sleep(time.Duration(i) * 50 * time.Millisecond)
			for n := 0; !over(); n++ {
				at := time.Now()
				a := send(g.callers, "GET", "/lookup/1", fmt.Sprintf("c%d-%d", i, n), 3000, "", "")
				mu.Lock()
				tries = append(tries, try{at, a.status != 0})
				mu.Unlock()
				time.Sleep(500 * time.Millisecond)
			}
		})
	}
	// The platform asks each second.
	var notReady []time.Time
	client := http.Client{Timeout: time.Second}
	for !over() {
		at := time.Now()
		resp, err := client.Get("http://" + g.ready + "/lagoonvalve/ready")
		if err != nil || resp.StatusCode != 200 {
			notReady = append(notReady, at)
			note("machine is not ready: %v", err)
		}
		if err == nil {
			_ = resp.Body.Close()
		}
		time.Sleep(time.Second)
	}
	clients.Wait()
	// Look for a span of contact in which the machine said that it was ready, seven tries or
	// more were made, and none was taken.
	longest, count := time.Duration(0), 0
	var since time.Time
	n, taken := 0, 0
	for _, t := range tries {
		if t.taken {
			taken++
			since, n = time.Time{}, 0
			continue
		}
		if since.IsZero() {
			since = t.at
		}
		n++
		if d := t.at.Sub(since); d > longest {
			longest, count = d, n
		}
	}
	code, text := held, "held"
	if longest >= contact && count >= 7 && len(notReady) == 0 {
		code, text = broken, "broken"
	}
	finish(code, "%s: %d of %d channels of ordinary consumers got an answer; the longest span without one was %v with %d tries; %d times not ready; the crowd sent %d requests, %d served",
		text, taken, len(tries), longest.Round(time.Millisecond), count, len(notReady), sent.Load(), whole.Load())
}
