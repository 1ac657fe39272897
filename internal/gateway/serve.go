package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/lagoonvalve/lagoonvalve/internal/ctxtime"
	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
)

const (
	maxHeaderBytes    = 64 << 10
	readHeaderTimeout = 10 * time.Second
	// idleTimeout is longer than callers keep idle connections, so that no
	// request meets the closing of one.
	idleTimeout = time.Minute
	// openPoll is the time between looks at the open requests of a stop.
	openPoll = 20 * time.Millisecond
)

// serve runs the servers until ctx ends, and then the planned stop.
func (g *Gateway) serve(ctx, parts context.Context, listeners Listeners, ready http.Handler) error {
	callers := &http.Server{
		Handler:           http.HandlerFunc(g.handle),
		MaxHeaderBytes:    maxHeaderBytes,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
	}
	checks := &http.Server{Handler: ready, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout}
	control := rpc.NewServer(map[string]rpc.MethodFunc{
		rpc.MethodResidency: rpc.Method(g.opts.Controller.Residency),
		rpc.MethodWanted:    rpc.Method(g.opts.Controller.ReportDemand),
	})
	failed := make(chan error, 3)
	var running sync.WaitGroup
	serve := func(server *http.Server, l net.Listener) {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			failed <- errors.Wrap(err, "serve")
		}
	}
	running.Go(func() { serve(callers, listeners.Callers) })
	running.Go(func() { serve(checks, listeners.Ready) })
	running.Go(func() {
		if err := control.Serve(parts, listeners.Control); err != nil {
			failed <- err
		}
	})
	g.opts.Logger.Info("gateway serves", "callers", listeners.Callers.Addr().String(), "control", g.opts.Control)
	var err error
	select {
	case err = <-failed:
	case <-ctx.Done():
		g.drain()
	}
	// Nothing is open any more that could be finished.
	_, _ = callers.Close(), checks.Close()
	_ = listeners.Control.Close()
	return err
}

// Ready reports whether the gateway wants new connections: it knows a manifest
// and does not stop.
func (g *Gateway) Ready() bool {
	return g.view.Load().manifest != nil && g.stopping.Load() == nil
}

// drain finishes the open requests of a planned stop. New ones are taken for a
// while, as callers learn of the stop late, and then only those that surely end
// before it.
func (g *Gateway) drain() {
	began := time.Now()
	g.stopping.Store(&began)
	g.opts.Logger.Info("stop begins", "open", g.open.Load())
	verdicts := time.AfterFunc(g.stop.verdicts, g.endStop)
	defer verdicts.Stop()
	for time.Since(began) < g.stop.end {
		if time.Since(began) > g.stop.refuse && g.open.Load() == 0 {
			break
		}
		ctxtime.Sleep(context.Background(), openPoll)
	}
	g.opts.Logger.Info("stop ends", "open", g.open.Load(), "took", time.Since(began))
}

// refusesNew reports whether a planned stop has gone so far that a new request
// might not end before it.
func (g *Gateway) refusesNew(now, deadline time.Time) bool {
	began := g.stopping.Load()
	if began == nil || now.Sub(*began) <= g.stop.refuse {
		return false
	}
	return deadline.After(began.Add(g.stop.verdicts))
}
