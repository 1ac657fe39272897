package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/lagoonvalve/lagoonvalve/internal/fleet"
	"github.com/lagoonvalve/lagoonvalve/internal/ingress"
	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
	"github.com/lagoonvalve/lagoonvalve/internal/stall"
)

const (
	maxHeaderBytes    = 64 << 10
	readHeaderTimeout = 10 * time.Second
	// idleTimeout is longer than callers keep idle connections, so that no request
	// is sent on a connection that is being closed.
	idleTimeout = time.Minute
	// idleMargin is how much longer than the manifest says connections may be idle, for the
	// same reason.
	idleMargin = 5 * time.Second
)

// CallerLimits returns the limits on callers that no manifest can raise.
func CallerLimits() ingress.Limits {
	return ingress.Limits{HeadBytes: maxHeaderBytes, HeadTimeout: readHeaderTimeout, IdleTimeout: idleTimeout}
}

// limitCallers applies the limits of the manifest in force if it has changed.
func (g *Gateway) limitCallers(old *fleet.Manifest) {
	manifest := g.view.Load().manifest
	if g.opts.Ingress == nil || manifest == nil || manifest == old {
		return
	}
	limits := ingress.Limits{HeadBytes: manifest.Callers.HeadBytes, HeadTimeout: manifest.Callers.HeadTimeout}
	if manifest.Callers.IdleTimeout > 0 {
		limits.IdleTimeout = manifest.Callers.IdleTimeout + idleMargin
	}
	g.opts.Ingress.SetLimits(limits)
}

// serve runs the servers until ctx ends, and then drains.
func (g *Gateway) serve(ctx, background context.Context, listeners Listeners, ready http.Handler) error {
	callers := &http.Server{
		Handler:           http.HandlerFunc(g.handle),
		MaxHeaderBytes:    maxHeaderBytes,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
	}
	readiness := &http.Server{Handler: ready, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout}
	if g.opts.BoundReady != nil {
		listeners.Ready = g.opts.BoundReady(readiness, listeners.Ready)
	}
	listeners.Callers = stall.Listener(listeners.Callers, g.opts.StallTimeout)
	if g.opts.Ingress != nil {
		// The outermost connections have to be those of the gate.
		g.opts.Ingress.Configure(callers)
		listeners.Callers = g.opts.Ingress.Listen(listeners.Callers)
	}
	control := rpc.NewServer(map[string]rpc.MethodFunc{
		rpc.MethodResidency: rpc.Method(g.opts.Controller.Residency),
		rpc.MethodWanted:    rpc.Method(g.opts.Controller.ReportDemand),
		rpc.MethodCrashes:   rpc.Method(g.opts.Controller.ReportCrashes),
		rpc.MethodAnswers:   rpc.Method(g.opts.Controller.ReportAnswers),
		rpc.MethodExplain:   rpc.Method(g.Explain),
		rpc.MethodPermit:    rpc.Method(g.opts.Controller.Permit),
		rpc.MethodQuota:     rpc.Method(g.opts.Controller.Quota),
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
		g.drain(background)
		g.closeCallers(callers)
	}
	// No open request could still be finished.
	_, _ = callers.Close(), readiness.Close()
	_ = listeners.Control.Close()
	return err
}

// Ready reports whether the gateway accepts new connections: it has a manifest, which is
// recent enough to check the keys of teams, and is not stopping.
func (g *Gateway) Ready() bool {
	manifest := g.view.Load().manifest
	if manifest == nil || g.stopBegan.Load() != nil {
		return false
	}
	return !manifest.HasTeams() || !g.opts.Access.Stale(g.manifestState())
}
