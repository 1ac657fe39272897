package load

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/ctxtime"
)

// Run sends the load and returns once every request has an outcome. When ctx
// ends, the rest of the plan is not sent.
func Run(ctx context.Context, cfg Config, transport http.RoundTripper) (*Report, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	plan := Plan(cfg)
	results := newRecorder(cfg)
	s := &sender{cfg: cfg, client: &http.Client{Transport: transport}, start: time.Now()}
	open := make(chan struct{}, cfg.MaxOpen)
	var group sync.WaitGroup
	for _, a := range plan {
		if !ctxtime.Sleep(ctx, time.Until(s.start.Add(a.At))) {
			break
		}
		select {
		case open <- struct{}{}:
		default:
			results.add(measurement{arrival: a, outcome: unsent})
			continue
		}
		group.Go(func() {
			defer func() { <-open }()
			results.add(s.send(ctx, a))
		})
	}
	group.Wait()
	return results.report(len(plan), time.Since(s.start)), nil
}

// NewTransport returns a transport that keeps as many connections as requests
// may be open.
func NewTransport(maxOpen int) *http.Transport {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.Proxy = nil
	transport.MaxIdleConns = maxOpen
	transport.MaxIdleConnsPerHost = maxOpen
	return transport
}
