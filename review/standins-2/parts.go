//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

func init() { cases["parts"] = parts }

// resident returns the resident memory of a process in bytes.
func resident(pid int) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			return kb << 10
		}
	}
	return 0
}

// parts: clients send prompts of many parts, within the limit on heads. Runners crash one after
// the other.
func parts() {
	const (
		crowd  = 680
		length = 75 * time.Second
		down   = 2 * time.Second
	)
	s := startStore()
	s.putManifest(1, []route{newRoute("caption", "stream", "models", 2, 20000, route{"resumable": true, "gapAimMs": 250, "sticky": true})},
		[]map[string]any{plainService("models", 370)})
	set := defaults()
	var runners []*runner
	for i := range 4 {
		r := startRunner(s, fmt.Sprint("i-", i+1), "models", 64, 192, nil)
		r.serve = func(r *runner, b *boot, req *http.Request, _ []byte) ([]byte, bool) {
			id := req.Header.Get("X-Attempt-Id")
			b.work(4 * time.Second)
			return answerOf("200 OK", id, "Content-Type: text/event-stream\r\nX-Server-Seal: seal-"+r.id+"\r\n", "id: 1\ndata: of "+id+"\n\n"), true
		}
		runners = append(runners, r)
	}
	startGateway(s, 1, set).awaitReady()
	// The first one has become the controller by then.
	time.Sleep(2 * time.Second)
	g := startGateway(s, 2, set)
	g.awaitReady()
	time.Sleep(time.Second)
	began := time.Now()
	over := func() bool { return time.Since(began) > length }
	var served, refused, other atomic.Int32
	for i := range crowd {
		go func() {
			for n := 0; !over(); n++ {
				id := fmt.Sprintf("l%d-%d", i, n)
				switch send(g.callers, "POST", "/caption/"+id, id, 20000, "X-Prompt-Prefix: "+longPrompt()+"\r\nX-Token-Count: 4000,10\r\n", "").status {
				case http.StatusOK:
					served.Add(1)
				case http.StatusServiceUnavailable:
					refused.Add(1)
					time.Sleep(200 * time.Millisecond)
				default:
					other.Add(1)
					time.Sleep(50 * time.Millisecond)
				}
			}
		}()
	}
	var crashes atomic.Int32
	if disturbed {
		go func() {
			time.Sleep(3 * time.Second)
			for n := 0; !over(); n++ {
				crashes.Add(1)
				runners[n%len(runners)].crash(down)
				time.Sleep(down + 300*time.Millisecond)
			}
		}()
	}
	limit := int64(set.memoryMB) * 1_000_000
	peak := int64(0)
	after := int32(0)
	for n := 0; !over(); n++ {
		time.Sleep(100 * time.Millisecond)
		for _, g := range gateways {
			if g.ended() {
				finish(broken, "broken: %s has ended by itself", g.name)
			}
		}
		size := resident(g.cmd.Process.Pid)
		if size > limit && peak <= limit {
			after = crashes.Load()
			note("BROKEN %s holds %d bytes, its machine has %d", g.name, size, limit)
		}
		peak = max(peak, size)
		if n%20 == 0 {
			note("%s holds %d bytes after %d crashes", g.name, size, crashes.Load())
		}
	}
	code, text := held, "held"
	if peak > limit {
		code, text = broken, "broken"
	}
	finish(code, "%s: %s held up to %d bytes of a machine's %d, more than it has after %d crashes; %d crashes; %d requests served, %d refused, %d failed",
		text, g.name, peak, limit, after, crashes.Load(), served.Load(), refused.Load(), other.Load())
}

// longPrompt returns a prompt of about 2,200 parts. The head stays below 16,384 bytes.
func longPrompt() string {
	var list strings.Builder
	for list.Len() < 15700 {
		fmt.Fprintf(&list, "%04x:1,", rand.IntN(1<<16))
	}
	return strings.TrimSuffix(list.String(), ",")
}
