package controller

import (
	"context"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/decide/residency"
	"github.com/lagoonvalve/lagoonvalve/internal/fleet"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

const (
	// pollEvery is the time between reports asked of an engine whose order is
	// under way. A report is some hundred milliseconds old.
	pollEvery = 150 * time.Millisecond
	// maxPolls bounds the reports asked for at once, each of which takes a
	// connection: a new holder asks all engines.
	maxPolls = 48
	// shortOrder is how long an unload, or the load of an adapter, takes.
	shortOrder = 25 * time.Millisecond
	// resendAfter is when an order whose outcome is not known is sent again.
	// The engine accepts at most one of the two, since both expect the same
	// number of orders before.
	resendAfter = 700 * time.Millisecond
	// conflictPause is the pause before an order that met another one is sent
	// again, and maxConflicts how often that is done.
	conflictPause = 60 * time.Millisecond
	maxConflicts  = 1
	// reservedFor is how long room is kept for a model after an unload.
	reservedFor = 3 * time.Second
	// disagreeFor is how long the registry may show something else than what
	// the controller believes before it asks the engine.
	disagreeFor = 4 * time.Second
)

// orderState says how far an order is.
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
	sent      time.Time
	// takes is how long the load of a model takes.
	takes time.Duration
	// due is when it should be carried out, or when a conflicting order is
	// sent again.
	due       time.Time
	conflicts int
}

// engine is what the controller believes of a model engine. Its life begins
// with a report asked of it, and anew when the engine has started again.
type engine struct {
	upstream *fleet.Upstream
	// known says that a report has been read.
	known            bool
	accepted         int
	replicas         []fleet.Replica
	inMemory, onDisk []state.ModelName
	pending          *pendingOrder
	// reserved is the model that the last unload made room for.
	reserved   state.ModelName
	reservedAt time.Time
	polling    bool
	nextPoll   time.Time
	// changed is when replicas changed last, and revision numbers that change
	// among those of all engines.
	changed  time.Time
	revision uint64
}

// serving returns the replicas that requests may be sent to: without what a
// pending order takes away.
func (e *engine) serving() []fleet.Replica {
	if e.pending != nil && e.pending.Kind == fleet.Unload {
		return residency.ApplyOrder(e.replicas, e.pending.Order)
	}
	return e.replicas
}

// believed returns what the engine holds as far as known.
func (e *engine) believed() []fleet.Replica {
	if e.replicas == nil {
		return e.upstream.Replicas
	}
	return e.replicas
}

// reservation returns the model that room is kept for. Whoever waited for it may
// be gone, so it lapses.
func (e *engine) reservation(now time.Time) state.ModelName {
	lapsed := e.pending == nil && now.Sub(e.reservedAt) > reservedFor
	if e.reserved == "" || lapsed || fleet.Holds(e.replicas, fleet.Target{Model: e.reserved}) {
		e.reserved = ""
	}
	return e.reserved
}

// update takes an entry of the registry.
func (e *engine) update(u *fleet.Upstream, now time.Time) {
	if !u.Started.Equal(e.upstream.Started) {
		*e = engine{upstream: u, revision: e.revision}
		return
	}
	fresh := u.Report != e.upstream.Report
	e.upstream = u
	if !fresh || !e.known || e.pending != nil || now.Sub(e.changed) < disagreeFor {
		return
	}
	e.inMemory, e.onDisk = u.InMemory, u.OnDisk
	if !sameReplicas(e.replicas, u.Replicas) {
		// Something else than an order of this controller changed it.
		e.known = false
	}
}

// sameReplicas compares two lists as sets.
func sameReplicas(a, b []fleet.Replica) bool {
	return covers(a, b) && covers(b, a)
}

func covers(a, b []fleet.Replica) bool {
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

// reported takes an engine's report. It returns whether what the engine serves
// may have changed.
func (e *engine) reported(r fleet.EngineReport, now time.Time) bool {
	p := e.pending
	if p == nil {
		if r.Busy || r.Accepted < e.accepted {
			// An order of an earlier holder is under way, or the report is older
			// than the last order.
			e.nextPoll = now.Add(pollEvery)
			return false
		}
		e.take(r)
		return true
	}
	switch {
	case r.Accepted <= p.Expect && p.state == orderUnknown:
		e.accepted = r.Accepted
		e.nextPoll = now.Add(pollEvery)
		return false
	case r.Accepted <= p.Expect || r.Busy:
		e.nextPoll = now.Add(pollEvery)
		return false
	}
	e.pending = nil
	e.take(r)
	return true
}

func (e *engine) take(r fleet.EngineReport) {
	e.known, e.accepted = true, r.Accepted
	e.replicas, e.inMemory, e.onDisk = r.Replicas, r.InMemory, r.OnDisk
}

// finished ends a short order that was accepted some time ago without asking
// the engine. If it is not done after all, the next order is refused as a
// conflict and a report is asked for.
func (e *engine) finished(now time.Time) bool {
	p := e.pending
	if p == nil || p.state != orderAccepted || now.Before(p.due) || longOrder(p.Order) {
		return false
	}
	e.pending = nil
	e.accepted = p.Expect + 1
	e.replicas = residency.ApplyOrder(e.replicas, p.Order)
	return true
}

// longOrder reports whether the end of an order is learned from a report.
func longOrder(o fleet.Order) bool { return o.Kind == fleet.Load && o.Adapter == "" }

// needsReport reports whether to ask the engine now.
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
	return p.state == orderUnknown || p.state == orderAccepted && longOrder(p.Order) && !now.Before(p.due)
}

// needsResend reports whether to send the pending order once more.
func (e *engine) needsResend(now time.Time) bool {
	p := e.pending
	if p == nil || !e.known {
		return false
	}
	return p.state == orderUnknown && now.Sub(p.sent) > resendAfter || p.state == orderConflicted && !now.Before(p.due)
}

// poll asks an engine for its report.
func (c *Controller) poll(ctx context.Context, e *engine, now time.Time) {
	e.polling, e.nextPoll = true, now.Add(pollEvery)
	c.polls++
	u := e.upstream
	go func() {
		report, err := c.opts.Engines.Report(ctx, u)
		c.events <- func(c *Controller, now time.Time) {
			e.polling = false
			c.polls--
			if c.engines[u.Name] != e || !e.upstream.Started.Equal(u.Started) {
				return
			}
			if err != nil {
				c.opts.Logger.Warn("engine gives no report", "upstream", u.Name, "error", err)
				return
			}
			if e.reported(report, now) {
				c.changed(e, now)
			}
		}
	}()
}
