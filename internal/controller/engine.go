package controller

import (
	"context"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/decide/residency"
	"github.com/lagoonvalve/lagoonvalve/internal/fleet"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

const (
	// pollInterval is the time between report requests to an engine with an
	// order in progress. A report is some hundred milliseconds old.
	pollInterval = 150 * time.Millisecond
	// maxPendingPolls bounds the concurrent report requests, each of which
	// takes a connection: a new holder polls all engines.
	maxPendingPolls = 48
	// shortOrderDuration is how long an unload, or the load of an adapter,
	// takes.
	shortOrderDuration = 25 * time.Millisecond
	// resendAfter is the delay before an order with an unknown outcome is sent
	// again. The engine accepts at most one of the two, since both expect the
	// same number of accepted orders.
	resendAfter = 700 * time.Millisecond
	// conflictRetryDelay is the delay before an order that was refused as a
	// conflict is sent again, and maxConflictRetries how often it is sent
	// again.
	conflictRetryDelay = 60 * time.Millisecond
	maxConflictRetries = 1
	// reservationTTL is how long memory stays reserved for a model after an
	// unload.
	reservationTTL = 3 * time.Second
	// registryMismatchGrace is how long after a change the registry may differ
	// from the controller's state before the controller polls the engine.
	registryMismatchGrace = 4 * time.Second
)

// orderState is the progress of a pending order.
type orderState uint8

const (
	orderSending orderState = iota + 1
	orderAccepted
	orderUnknown
	orderConflicted
)

// pendingOrder is an order that may still change what an engine holds.
type pendingOrder struct {
	fleet.Order
	state     orderState
	fromStore bool
	sentAt    time.Time
	// loadTime is the expected duration if the order loads a model.
	loadTime time.Duration
	// due is when the order should be complete, or when an order that was
	// refused as a conflict is sent again.
	due       time.Time
	conflicts int
}

// engine is the controller's view of a model engine. It starts out unknown,
// until the engine's first report, and is reset when the engine restarts.
type engine struct {
	upstream *fleet.Upstream
	// known says that the state is known, from a report and the orders since.
	known            bool
	acceptedOrders   int
	replicas         []fleet.Replica
	inMemory, onDisk []state.ModelName
	pending          *pendingOrder
	// reservedModel is the model that the last unload made room for.
	reservedModel state.ModelName
	reservedAt    time.Time
	polling       bool
	nextPoll      time.Time
	// changedAt is when replicas last changed, and revision the number of that
	// change among the changes of all engines.
	changedAt time.Time
	revision  uint64
}

// serving returns the replicas that requests may be sent to: those that a
// pending unload doesn't remove.
func (e *engine) serving() []fleet.Replica {
	if e.pending != nil && e.pending.Kind == fleet.Unload {
		return residency.ApplyOrder(e.replicas, e.pending.Order)
	}
	return e.replicas
}

// knownReplicas returns the replicas on the engine as last known, from the
// registry if there was no report yet.
func (e *engine) knownReplicas() []fleet.Replica {
	if e.replicas == nil {
		return e.upstream.Replicas
	}
	return e.replicas
}

// reservation returns the model that memory is reserved for. It expires, since
// the requests that waited for the model may be gone.
func (e *engine) reservation(now time.Time) state.ModelName {
	expired := e.pending == nil && now.Sub(e.reservedAt) > reservationTTL
	if e.reservedModel == "" || expired || fleet.Holds(e.replicas, fleet.Target{Model: e.reservedModel}) {
		e.reservedModel = ""
	}
	return e.reservedModel
}

// applyRegistryEntry applies the newest registry entry of the upstream.
func (e *engine) applyRegistryEntry(u *fleet.Upstream, now time.Time) {
	if !u.Started.Equal(e.upstream.Started) {
		*e = engine{upstream: u, revision: e.revision}
		return
	}
	newReport := u.Report != e.upstream.Report
	e.upstream = u
	if !newReport || !e.known || e.pending != nil || now.Sub(e.changedAt) < registryMismatchGrace {
		return
	}
	e.inMemory, e.onDisk = u.InMemory, u.OnDisk
	if !sameReplicas(e.replicas, u.Replicas) {
		// The replicas were changed by something other than an order of this
		// controller.
		e.known = false
	}
}

// sameReplicas compares two lists as sets.
func sameReplicas(a, b []fleet.Replica) bool {
	return containsAll(a, b) && containsAll(b, a)
}

func containsAll(a, b []fleet.Replica) bool {
	for _, r := range b {
		if !fleet.Holds(a, fleet.Target{Model: r.Model}) {
			return false
		}
		for _, adapter := range r.Adapters {
			if !fleet.Holds(a, fleet.Target{Model: r.Model, Adapter: adapter}) {
				return false
			}
		}
	}
	return true
}

// applyReport applies an engine's report. It reports whether the replicas that
// the engine serves may have changed.
func (e *engine) applyReport(r fleet.EngineReport, now time.Time) bool {
	p := e.pending
	if p == nil {
		if r.Busy || r.Accepted < e.acceptedOrders {
			// An order of an earlier holder is in progress, or the report is
			// older than the last order.
			e.nextPoll = now.Add(pollInterval)
			return false
		}
		e.setReport(r)
		return true
	}
	switch {
	case r.Accepted <= p.Expect && p.state == orderUnknown:
		e.acceptedOrders = r.Accepted
		e.nextPoll = now.Add(pollInterval)
		return false
	case r.Accepted <= p.Expect || r.Busy:
		e.nextPoll = now.Add(pollInterval)
		return false
	}
	e.pending = nil
	e.setReport(r)
	return true
}

func (e *engine) setReport(r fleet.EngineReport) {
	e.known, e.acceptedOrders = true, r.Accepted
	e.replicas, e.inMemory, e.onDisk = r.Replicas, r.InMemory, r.OnDisk
}

// completeShortOrder treats a short order as complete shortOrderDuration after
// it was accepted, without polling the engine. If the order is still in
// progress, the engine refuses the next one as a conflict and is polled then.
func (e *engine) completeShortOrder(now time.Time) bool {
	p := e.pending
	if p == nil || p.state != orderAccepted || now.Before(p.due) || isModelLoad(p.Order) {
		return false
	}
	e.pending = nil
	e.acceptedOrders = p.Expect + 1
	e.replicas = residency.ApplyOrder(e.replicas, p.Order)
	return true
}

// isModelLoad reports whether the order loads a model. Only a report shows when
// such an order is complete; all others are short.
func isModelLoad(o fleet.Order) bool { return o.Kind == fleet.Load && o.Adapter == "" }

// needsReport reports whether to poll the engine now.
func (e *engine) needsReport(now time.Time) bool {
	if e.polling || now.Before(e.nextPoll) {
		return false
	}
	if !e.known {
		return true
	}
	p := e.pending
	if p == nil {
		return false
	}
	return p.state == orderUnknown || p.state == orderAccepted && isModelLoad(p.Order) && !now.Before(p.due)
}

// needsResend reports whether to send the pending order again now.
func (e *engine) needsResend(now time.Time) bool {
	p := e.pending
	if p == nil || !e.known {
		return false
	}
	return p.state == orderUnknown && now.Sub(p.sentAt) > resendAfter || p.state == orderConflicted && !now.Before(p.due)
}

// poll requests a report from an engine.
func (c *Controller) poll(ctx context.Context, e *engine, now time.Time) {
	e.polling, e.nextPoll = true, now.Add(pollInterval)
	c.pendingPolls++
	u := e.upstream
	go func() {
		report, err := c.opts.Engines.Report(ctx, u)
		c.events <- func(c *Controller, now time.Time) {
			e.polling = false
			c.pendingPolls--
			if c.engines[u.Name] != e || !e.upstream.Started.Equal(u.Started) {
				return
			}
			if err != nil {
				c.opts.Logger.Warn("engine report request failed", "upstream", u.Name, "error", err)
				return
			}
			if e.applyReport(report, now) {
				c.markChanged(e, now)
			}
		}
	}()
}
