package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// host is the host of all routes.
const host = "ficu95.example"

// outcome is what a consumer saw of one request.
type outcome struct {
	id, gateway, path string
	sent, ended       time.Time
	// status is zero if the channel ended without an answer.
	status int
	body   string
	// err is nil if the answer is complete.
	err error
}

func (o outcome) served() bool { return o.status == http.StatusOK && o.err == nil }

// consumers send requests, each with its own id, and keep what they saw.
type consumers struct {
	client *http.Client
	ids    atomic.Int64
	open   sync.WaitGroup

	mu   sync.Mutex
	seen []outcome
}

func newConsumers() *consumers {
	return &consumers{client: &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 64}}}
}

// request describes what a consumer sends.
type request struct {
	path, model, tokens, prompt string
	deadlineMs                  int
}

// send sends one request and waits for the end of its answer.
func (c *consumers) send(ctx context.Context, g *gateway, what request) outcome {
	o := outcome{id: fmt.Sprintf("%016x", c.ids.Add(1)), gateway: g.name, path: what.path, sent: time.Now()}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(what.deadlineMs)*time.Millisecond+2*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+g.callers+what.path, strings.NewReader("prompt of "+o.id))
	must(err)
	// A repetition by the library would hide what became of the first sending.
	req.GetBody = nil
	req.Host = host
	req.Header.Set("X-Attempt-Id", o.id)
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(what.deadlineMs))
	if what.model != "" {
		req.Header.Set("X-Model", what.model)
		req.Header.Set("X-Token-Count", what.tokens)
		req.Header.Set("X-Prompt-Prefix", what.prompt)
	}
	resp, err := c.client.Do(req)
	if err == nil {
		var body []byte
		body, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		o.status, o.body = resp.StatusCode, string(body)
	}
	o.err, o.ended = err, time.Now()
	note("consumer: request %s %s by %s, sent %.3f s ago, got status %d, complete: %v", o.id, what.path, g.name, o.ended.Sub(o.sent).Seconds(), o.status, err == nil)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seen = append(c.seen, o)
	return o
}

// flow sends perSecond requests a second to the gateways in turn until ctx ends.
func (c *consumers) flow(ctx context.Context, perSecond float64, gateways []*gateway, what func(n int) request) {
	ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		c.open.Add(1)
		go func() {
			defer c.open.Done()
			c.send(context.Background(), gateways[n%len(gateways)], what(n))
		}()
	}
}

// byID returns the outcomes by the ids of their requests.
func (c *consumers) byID() map[string]outcome {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := make(map[string]outcome, len(c.seen))
	for _, o := range c.seen {
		all[o.id] = o
	}
	return all
}

// summary counts outcomes by status.
func (c *consumers) summary() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := map[int]int{}
	incomplete := 0
	for _, o := range c.seen {
		counts[o.status]++
		if o.status != 0 && o.err != nil {
			incomplete++
		}
	}
	return fmt.Sprintf("requests by status (0: no answer): %v; answers that broke off: %d", counts, incomplete)
}

// route is a route of the manifest.
type route struct {
	prefix, kind, service     string
	resumable                 bool
	timeoutMs, aimMs, attempt int
}

// putManifest publishes a manifest with the given routes, one engine service with
// the given models and any plain services that the routes name.
func (w *world) putManifest(version int, routes []route, engine string, models []string, loadsPerS float64) {
	list := []map[string]any{}
	services := []map[string]any{}
	listed := map[string]bool{}
	for i, r := range routes {
		list = append(list, map[string]any{
			"name": fmt.Sprint("r-", i), "host": host, "pathPrefix": r.prefix, "kind": r.kind, "timeoutMs": r.timeoutMs,
			"targetLatencyMs": r.aimMs, "priority": 1, "service": r.service, "attempts": r.attempt, "sticky": r.service == engine,
			"resumable": r.resumable, "gapAimMs": 250,
		})
		if listed[r.service] {
			continue
		}
		listed[r.service] = true
		service := map[string]any{"name": r.service, "healthPath": "/healthz", "maxConns": 370, "protocol": "h1", "tls": false}
		if r.service == engine {
			service["engine"] = engineSpec(models, loadsPerS)
		}
		services = append(services, service)
	}
	w.store.put("keyed.op", "config", map[string]any{
		"version": version, "routes": list, "services": services,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 5000, "idleTimeoutMs": 30000},
	})
}

// engineSpec has the figures of the users' sheet placas-cr.
func engineSpec(models []string, loadsPerS float64) map[string]any {
	list := []map[string]any{}
	for _, m := range models {
		list = append(list, map[string]any{
			"name": m, "weightsMb": 72700, "loadS": 6.0, "adapters": 0, "adapterMb": 66, "warmS": 0.6, "diskS": 1.3,
		})
	}
	return map[string]any{
		"slots": 64, "kvCapacity": 256000, "weightsMb": 160000, "adapterSlots": 8, "loadsPerS": loadsPerS, "models": list,
	}
}

// choose returns the outcomes on a route, at one gateway or, if none is named, at all.
func (c *consumers) choose(prefix, gateway string) []outcome {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []outcome
	for _, o := range c.seen {
		if strings.HasPrefix(o.path, prefix) && (gateway == "" || o.gateway == gateway) {
			list = append(list, o)
		}
	}
	return list
}

// asked returns how many requests were sent on a route.
func (c *consumers) asked(prefix string) int { return len(c.choose(prefix, "")) }

// servedShare returns the share of the requests on a route that were served.
func (c *consumers) servedShare(prefix string) float64 { return c.servedShareAt(prefix, "") }

// servedShareAt returns that share for one gateway.
func (c *consumers) servedShareAt(prefix, gateway string) float64 {
	list := c.choose(prefix, gateway)
	served := 0
	for _, o := range list {
		if o.served() {
			served++
		}
	}
	return float64(served) / float64(max(len(list), 1))
}
