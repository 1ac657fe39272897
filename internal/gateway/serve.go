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
	// idleTimeout is longer than callers keep idle connections, so that no request
	// is sent on a connection that is being closed.
	idleTimeout = time.Minute
	// drainPoll is the interval between checks for open requests during a stop.
	drainPoll = 20 * time.Millisecond
)

// serve runs the servers until ctx ends, and then drains.
func (g *Gateway) serve(ctx, background context.Context, listeners Listeners, ready http.Handler) error {
	callers := &http.Server{
		Handler:           http.HandlerFunc(g.handle),
		MaxHeaderBytes:    maxHeaderBytes,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
	}
	readiness := &http.Server{Handler: ready, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout}
	control := rpc.NewServer(map[string]rpc.MethodFunc{
		rpc.MethodResidency: rpc.Method(g.opts.Controller.Residency),
		rpc.MethodWanted:    rpc.Method(g.opts.Controller.ReportDemand),
		rpc.MethodCrashes:   rpc.Method(g.opts.Controller.ReportCrashes),
		rpc.MethodAnswers:   rpc.Method(g.opts.Controller.ReportAnswers),
		rpc.MethodPermit:    rpc.Method(g.opts.Controller.Permit),
	})
	failed := make(chan error, 3)
	var running sync.WaitGroup
	serve := func(server *http.Server, l net.Listener) {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			failed <- errors.Wrap(err, "serve")
		}
	}
	running.Go(func() { serve(callers, listeners.Callers) })
	running.Go(func() { serve(readiness, listeners.Ready) })
	running.Go(func() {
		if err := control.Serve(background, listeners.Control); err != nil {
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
	// No open request could still be finished.
	_, _ = callers.Close(), readiness.Close()
	_ = listeners.Control.Close()
	return err
}

// Ready reports whether the gateway accepts new connections: it has a manifest and
// is not stopping.
func (g *Gateway) Ready() bool {
	return g.view.Load().manifest != nil && g.stopBegan.Load() == nil
}

// drain finishes the open requests of a planned stop. Callers detect the stop
// late, so new requests are still accepted for a while, and after that only those
// whose deadline is before open requests are aborted.
func (g *Gateway) drain() {
	began := time.Now()
	g.stopBegan.Store(&began)
	g.opts.Logger.Info("stop begins", "open", g.openRequests.Load())
	abort := time.AfterFunc(g.stopTimes.abortAt, g.abortOpen)
	defer abort.Stop()
	for time.Since(began) < g.stopTimes.endAt {
		if time.Since(began) > g.stopTimes.refuseFrom && g.openRequests.Load() == 0 {
			break
		}
		ctxtime.Sleep(context.Background(), drainPoll)
	}
	g.opts.Logger.Info("stop ends", "open", g.openRequests.Load(), "took", time.Since(began))
}

// refusesNew reports whether a new request is refused because its deadline is after
// the time at which a planned stop aborts open requests. For the first part of a
// stop no request is refused.
func (g *Gateway) refusesNew(now, deadline time.Time) bool {
	began := g.stopBegan.Load()
	if began == nil || now.Sub(*began) <= g.stopTimes.refuseFrom {
		return false
	}
	return deadline.After(began.Add(g.stopTimes.abortAt))
}
