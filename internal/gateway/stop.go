package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/ctxtime"
	"github.com/lagoonvalve/lagoonvalve/internal/verdict"
)

// stopTimes are the times of a planned stop, relative to its beginning.
type stopTimes struct {
	// refuseFrom is when requests whose deadline is after abortAt begin to be
	// refused.
	refuseFrom time.Duration
	// abortAt is when open requests are aborted and answered with a verdict.
	abortAt time.Duration
	// endAt is when all new requests begin to be refused at the latest.
	endAt time.Duration
	// closeAt is when the connections of callers are closed at the latest.
	closeAt time.Duration
	// releaseAt is when the lease is given up at the latest.
	releaseAt time.Duration
}

const (
	// The times of a stop as fractions of its grace. Streams may run for more than
	// five sixths of the grace; the rest is left for the verdicts and the end of the
	// process.
	refuseShare = 0.35
	abortShare  = 0.88
	endShare    = 0.94
	closeShare  = 0.97
	// releaseShare leaves the rest for the end of the process.
	releaseShare = 0.99

	// drainPoll is the interval between checks for open requests during a stop.
	drainPoll = 20 * time.Millisecond
	// closeTimeout bounds the time in which the last responses are written.
	closeTimeout = 300 * time.Millisecond
)

// newStopTimes divides the grace of a planned stop. All new requests are accepted
// for at most refuseAfter.
func newStopTimes(grace, refuseAfter time.Duration) stopTimes {
	share := func(s float64) time.Duration { return time.Duration(s * float64(grace)) }
	return stopTimes{
		refuseFrom: min(refuseAfter, share(refuseShare)),
		abortAt:    share(abortShare),
		endAt:      share(endShare),
		closeAt:    share(closeShare),
		releaseAt:  share(releaseShare),
	}
}

// drain finishes the open requests of a planned stop. Callers detect the stop
// late, so new requests are still accepted for a while, and after that only those
// whose deadline is before open requests are aborted. It returns once no request is
// open and none is accepted any more, or at the end of its time.
func (g *Gateway) drain(ctx context.Context) {
	began := time.Now()
	g.stopBegan.Store(&began)
	g.opts.Controller.SetReleaseBy(began.Add(g.stopTimes.releaseAt))
	g.opts.Logger.Info("stop begins", "open", g.openRequests.Load())
	abort := time.AfterFunc(g.stopTimes.abortAt, g.abortOpen)
	defer abort.Stop()
	// Waiting requests check with each view whether they may still be sent.
	wake := time.AfterFunc(g.stopTimes.refuseFrom, func() {
		g.post(ctx, func(*tables, time.Time) bool { return true })
	})
	defer wake.Stop()
	for time.Since(began) < g.stopTimes.endAt {
		if time.Since(began) > g.stopTimes.refuseFrom && g.openRequests.Load() == 0 {
			g.closing.Store(true)
			// A request may have been accepted between the two.
			if g.openRequests.Load() == 0 {
				break
			}
		}
		ctxtime.Sleep(context.Background(), drainPoll)
	}
	g.closing.Store(true)
	g.opts.Logger.Info("stop ends", "open", g.openRequests.Load(), "took", time.Since(began))
}

// closeCallers closes the server of callers' requests after a drain. net/http writes the
// end of a response after its handler has returned, so connections get some time to
// become idle.
func (g *Gateway) closeCallers(server *http.Server) {
	closeAt := g.stopBegan.Load().Add(g.stopTimes.closeAt)
	ctx, cancel := context.WithDeadline(context.Background(), ctxtime.EarlierDeadline(closeTimeout, closeAt))
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		g.opts.Logger.Info("connections of callers closed while in use", "error", err)
	}
}

// refusesNew reports whether a new request is refused because its deadline is after
// the time at which a planned stop aborts open requests. For the first part of a
// stop no request is refused, and at its end all are.
func (g *Gateway) refusesNew(now, deadline time.Time) bool {
	began := g.stopBegan.Load()
	switch {
	case g.closing.Load():
		return true
	case began == nil || now.Sub(*began) <= g.stopTimes.refuseFrom:
		return false
	default:
		return deadline.After(began.Add(g.stopTimes.abortAt))
	}
}

// stopForbidsSend reports whether a planned stop would abort the request after it was
// sent, and it must not run twice: its caller could not send it again.
func (x *exchange) stopForbidsSend(now time.Time) bool {
	return !x.route.Repeatable() && x.gateway.refusesNew(now, x.deadline)
}

// refuseStopped returns the verdict for a request that a planned stop leaves no time for.
// Other gateways can take it at once.
func refuseStopped() *verdict.Verdict {
	return verdict.Refuse(verdict.ReasonDraining, "a planned stop leaves no time for the request").WithRetryAfter(time.Millisecond)
}
