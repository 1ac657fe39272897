//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
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

// parts: clients send prompts of many parts, within the limit on heads. Runners crash, a quarter
// of them at a time. The platform ends a gateway that exceeds the memory of its machine, and
// starts it again.
func parts() {
	const (
		crowd  = 680
		length = 98 * time.Second
		down   = 2 * time.Second
		ends   = 3
	)
	s := startStore()
	s.putManifest(1, []route{newRoute("caption", "stream", "models", 2, 20000, route{"resumable": true, "gapAimMs": 250, "sticky": true})},
		[]map[string]any{plainService("models", 370)})
	set := defaults()
	var runners []*runner
	for i := range 12 {
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
	for i := range 2 {
		startGateway(s, i+2, set).awaitReady()
	}
	time.Sleep(time.Second)
	began := time.Now()
	over := func() bool { return time.Since(began) > length }
	var served, refused, other atomic.Int32
	for _, g := range gateways[1:] {
		for i := range crowd {
			go func() {
				for n := 0; !over(); n++ {
					id := fmt.Sprintf("%s-l%d-%d", g.name, i, n)
					switch send(g.callers, "POST", "/caption/"+id, id, 20000, "X-Prompt-Prefix: "+longPrompt()+"\r\nX-Token-Count: 4000,10\r\n", "").status {
					case http.StatusOK:
						served.Add(1)
					case http.StatusServiceUnavailable:
						refused.Add(1)
						time.Sleep(200 * time.Millisecond)
					default:
						other.Add(1)
						time.Sleep(500 * time.Millisecond)
					}
				}
			}()
		}
	}
	var crashes atomic.Int32
	if disturbed {
		go func() {
			time.Sleep(3 * time.Second)
			for n := 0; !over(); n++ {
				for k := range 3 {
					crashes.Add(1)
					runners[(3*n+k)%len(runners)].crash(down)
				}
				time.Sleep(down + 300*time.Millisecond)
			}
		}()
	}
	ended, peak := make([]int, len(gateways)), make([]int64, len(gateways))
	var watchers sync.WaitGroup
	for i, g := range gateways {
		watchers.Go(func() { ended[i], peak[i] = g.keep(over) })
	}
	watchers.Wait()
	machines := 0
	for i, g := range gateways {
		note("%s ended %d times, highest memory seen %d of %d bytes", g.name, ended[i], peak[i], g.limit())
		if ended[i] >= ends {
			machines++
		}
	}
	code, text := held, "held"
	// The rule: on a tenth of the machines in use, two at least, three times.
	if machines >= 2 {
		code, text = broken, "broken"
	}
	finish(code, "%s: processes ended by themselves %d times on %d machines; by machine %v, highest memory seen %v of %d bytes; %d crashes of runners; %d requests served, %d refused, %d failed",
		text, ends, machines, ended, peak, gateways[0].limit(), crashes.Load(), served.Load(), refused.Load(), other.Load())
}

func (g *gateway) limit() int64 { return int64(g.settings.memoryMB) * 1_000_000 }

// keep does what the platform does for a process: it ends one that exceeds its memory, and starts
// one that has ended again after a short delay. It returns how often the process ended, and the
// highest memory seen.
func (g *gateway) keep(over func() bool) (ended int, peak int64) {
	for n := 0; !over(); n++ {
		time.Sleep(50 * time.Millisecond)
		size := resident(g.cmd.Process.Pid)
		peak = max(peak, size)
		if n%40 == 0 {
			note("%s holds %d bytes", g.name, size)
		}
		if size > g.limit() {
			note("%s holds %d bytes, its machine has %d: it is killed", g.name, size, g.limit())
			_ = g.cmd.Process.Kill()
			<-g.done
		}
		if !g.ended() {
			continue
		}
		ended++
		note("%s has ended, %d times now", g.name, ended)
		time.Sleep(500 * time.Millisecond)
		if over() {
			break
		}
		g.start()
	}
	return ended, peak
}

// longPrompt returns a prompt of about 2,200 parts. The head stays below 16,384 bytes.
func longPrompt() string {
	var list strings.Builder
	for list.Len() < 15700 {
		fmt.Fprintf(&list, "%04x:1,", rand.IntN(1<<16))
	}
	return strings.TrimSuffix(list.String(), ",")
}
