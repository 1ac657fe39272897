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

func init() { cases["drill"] = drill }

// drill: a runner that has nothing in work leaves in the planned way, by removing its entry; so no
// answer of its says that it leaves. After that the store comes back as a copy from before, and
// requests come again.
func drill() {
	const (
		drain  = 3 * time.Second
		linger = 2500 * time.Millisecond
	)
	s := startStore()
	s.putManifest(1, []route{
		newRoute("note", "stream", "models", 1, 15000, route{"resumable": false, "gapAimMs": 250, "sticky": true}),
	}, []map[string]any{plainService("models", 370)})
	var mu sync.Mutex
	type run struct {
		runner string
		at     time.Time
		id     string
	}
	var runs []run
	var runners []*runner
	for i := range 4 {
		r := startRunner(s, fmt.Sprint("i-", i+1), "models", 64, 192, nil)
		r.serve = func(r *runner, b *boot, req *http.Request, _ []byte) ([]byte, bool) {
			id := req.Header.Get("X-Attempt-Id")
			mu.Lock()
			runs = append(runs, run{r.id, time.Now(), id})
			mu.Unlock()
			var text strings.Builder
			for n := range 20 {
				b.work(75 * time.Millisecond)
				fmt.Fprintf(&text, "id: %d\ndata: of %s\n\n", n+1, id)
			}
			return answerOf("200 OK", id, "Content-Type: text/event-stream\r\nX-Server-Seal: seal-"+r.id+"\r\n", text.String()), true
		}
		runners = append(runners, r)
	}
	for i := range 3 {
		startGateway(s, i+1, defaults())
	}
	for _, g := range gateways {
		g.awaitReady()
	}
	time.Sleep(8 * time.Second)
	began := time.Now()
	over := func() bool { return time.Since(began) > 22*time.Second }
	var clients sync.WaitGroup
	// Nobody asks for the models of the service while quiet is set.
	var quiet atomic.Bool
	results := map[string]int{}
	for i, g := range gateways {
		for k := range 10 {
			clients.Go(func() {
				for n := 0; !over(); n++ {
					if quiet.Load() {
						// Consumers come again at any time, not all at once.
						for quiet.Load() {
							time.Sleep(20 * time.Millisecond)
						}
						time.Sleep(time.Duration(rand.IntN(2000)) * time.Millisecond)
						continue
					}
					id := fmt.Sprintf("c%d-%d-%d", i, k, n)
					a := send(g.callers, "POST", "/note/1", id, 15000, "X-Token-Count: 300,80\r\n", "hello")
					mu.Lock()
					results[id] = a.status
					mu.Unlock()
					time.Sleep(time.Duration(50+rand.IntN(100)) * time.Millisecond)
				}
			})
		}
	}
	time.Sleep(3 * time.Second)
	quiet.Store(true)
	time.Sleep(3 * time.Second)
	x := runners[0]
	x.leaves(drain + linger)
	left := time.Now()
	time.Sleep(drain)
	if disturbed {
		// The runner's next heartbeat is more than a second away.
		for x.sinceBeat() > 100*time.Millisecond {
			time.Sleep(5 * time.Millisecond)
		}
		note("the store comes back as a copy that is 5 s old")
		s.rewind(5*time.Second, 300*time.Millisecond)
	}
	quiet.Store(false)
	clients.Wait()
	mu.Lock()
	defer mu.Unlock()
	late, cut := 0, 0
	for _, r := range runs {
		if r.runner != x.id || r.at.Sub(left) <= drain {
			continue
		}
		late++
		if results[r.id] != http.StatusOK {
			cut++
		}
		note("BROKEN %s reached %s %v after its leaving was confirmed; its client got %d", r.id, r.runner, r.at.Sub(left).Round(time.Millisecond), results[r.id])
	}
	code, text := held, "held"
	if late > 0 {
		code, text = broken, "broken"
	}
	finish(code, "%s: %d requests reached the runner later than %v after the confirmation that it had gone, %d of them were lost when it ended; %d requests in all", text, late, drain, cut, len(results))
}

func (r *runner) sinceBeat() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Since(r.beatAt)
}
