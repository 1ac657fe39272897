//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["poison"] = poison }

// manyParts returns a prompt of so many parts, which no other prompt has.
func manyParts(n int) string {
	list := make([]string, n)
	for i := range list {
		list[i] = fmt.Sprintf("%x:1", rand.Uint32())
	}
	return strings.Join(list, ",")
}

// poison: one part of a prompt crashes each runner that begins to write an answer on it. Beside
// that, a few clients send prompts of many parts.
func poison() {
	const (
		contact  = 4 * time.Second
		length   = 80 * time.Second
		deadly   = "dead0001"
		longEach = 40
	)
	s := startStore()
	s.putManifest(1, []route{
		newRoute("caption", "stream", "models", 2, 15000, route{"resumable": true, "gapAimMs": 250, "sticky": true}),
	}, []map[string]any{plainService("models", 370)})
	var mu sync.Mutex
	var crashes []time.Time
	var reached []time.Time
	for i := range 4 {
		r := startRunner(s, fmt.Sprint("i-", i+1), "models", 64, 192, nil)
		r.serve = func(r *runner, b *boot, req *http.Request, _ []byte) ([]byte, bool) {
			id := req.Header.Get("X-Attempt-Id")
			head := "Content-Type: text/event-stream\r\nX-Server-Seal: seal-" + r.id + "\r\n"
			if strings.Contains(req.Header.Get("X-Prompt-Prefix"), deadly) {
				mu.Lock()
				reached = append(reached, time.Now())
				mu.Unlock()
				b.work(50 * time.Millisecond)
				if r.crash(2 * time.Second) {
					mu.Lock()
					crashes = append(crashes, time.Now())
					mu.Unlock()
				}
				return nil, false
			}
			if strings.HasPrefix(req.URL.Path, "/caption/long") {
				b.work(600 * time.Millisecond)
			} else {
				b.work(100 * time.Millisecond)
			}
			return answerOf("200 OK", id, head, "id: 1\ndata: of "+id+"\n\nid: 2\ndata: end\n\n"), true
		}
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
	var sound, served atomic.Int32
	for i, g := range gateways {
		for k := range 2 {
			clients.Go(func() {
				for n := 0; !over(); n++ {
					id := fmt.Sprintf("c%d-%d-%d", i, k, n)
					prompt := fmt.Sprintf("5eed:120,%x:80,%x:300", 0xa0+n%20, rand.Uint32())
					sound.Add(1)
					if a := send(g.callers, "POST", "/caption/"+id, id, 15000, "X-Prompt-Prefix: "+prompt+"\r\nX-Token-Count: 500,40\r\n", "hello"); a.status == 200 {
						served.Add(1)
					}
					time.Sleep(100 * time.Millisecond)
				}
			})
		}
		if disturbed {
			for k := range longEach {
				clients.Go(func() {
					for n := 0; !over(); n++ {
						id := fmt.Sprintf("l%d-%d-%d", i, k, n)
						send(g.callers, "POST", "/caption/long"+id, id, 15000, "X-Prompt-Prefix: "+manyParts(1200)+"\r\nX-Token-Count: 1200,40\r\n", "hello")
						time.Sleep(20 * time.Millisecond)
					}
				})
			}
		}
	}
	time.Sleep(5 * time.Second)
	for n := 0; !over(); n++ {
		clients.Go(func() {
			id := fmt.Sprintf("p-%d", n)
			prompt := fmt.Sprintf("5eed:120,%s:80,%x:300", deadly, rand.Uint32())
			send(gateways[rand.IntN(len(gateways))].callers, "POST", "/caption/"+id, id, 15000, "X-Prompt-Prefix: "+prompt+"\r\nX-Token-Count: 500,40\r\n", "hello")
		})
		time.Sleep(1500 * time.Millisecond)
	}
	clients.Wait()
	mu.Lock()
	defer mu.Unlock()
	late := 0
	if len(crashes) >= 5 {
		for _, at := range reached {
			if at.Sub(crashes[4]) > contact {
				late++
			}
		}
	}
	code, text := held, "held"
	if late > 3 {
		code, text = broken, "broken"
	}
	finish(code, "%s: %d crashes; %d requests with the deadly part reached runners, %d of them later than %v after the fifth crash; %d of %d sound requests served", text, len(crashes), len(reached), late, contact, served.Load(), sound.Load())
}
