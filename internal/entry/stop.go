package entry

import (
	"context"
	"time"
)

// The shares of the stop timeout, in percent, by which the steps after the drain have ended.
// What is left after the last is for the last push of metrics.
const (
	requestsShare    = 25
	recordsShare     = 70
	connectionsShare = 80
)

// stop drains the entry. Peers hear that it is leaving with the next pings.
func (e *Entry) stop() {
	e.deps.Logger.Info("entry is stopping")
	shutdown := e.settings.Load().Shutdown
	ctx, cancel := context.WithTimeout(context.Background(), shutdown.DrainTimeout.Std())
	defer cancel()
	e.control.post(ctx, leavingSet{})
	empty, drained := e.gateway.drain(ctx)
	stop := &e.stopping
	stop.Begin(shutdown.StopTimeout.Std())
	if !drained {
		e.deps.Logger.Warn("requests were still in flight at the end of the drain")
		e.endRequests(empty, stop.DeadlineAt(requestsShare))
	}
	e.flushLast(stop.DeadlineAt(recordsShare))
}

// endRequests ends the requests in flight with a verdict, so that the last
// counts hold them.
func (e *Entry) endRequests(empty <-chan struct{}, by time.Time) {
	e.gateway.inFlight.endAll()
	ctx, cancel := context.WithDeadline(context.Background(), by)
	defer cancel()
	select {
	case <-empty:
	case <-ctx.Done():
		e.deps.Logger.Warn("requests did not end with their contexts")
	}
}

// StopBy returns when a planned stop has to be over, or the zero time before
// the end of its drain.
func (e *Entry) StopBy() time.Time { return e.stopping.DeadlineAt(100) }

// closeBy returns until when connections may become idle.
func (e *Entry) closeBy() time.Time { return e.stopping.DeadlineAt(connectionsShare) }

// leavingSet makes the entry give up its roles.
type leavingSet struct{}

func (leavingSet) apply(c *control, _ time.Time) {
	c.leaving = true
	c.peers.detector.Leave()
}
