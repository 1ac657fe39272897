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
	// shortOrderDuration is how long the load of an adapter takes, or the unload
	// of a model that no request uses.
	shortOrderDuration = 25 * time.Millisecond
	// resendAfter is the delay before an order with an unknown outcome is sent
	// again. The engine accepts at most one of the two, since both expect the
	// same number of accepted orders.
	resendAfter = 700 * time.Millisecond
	// conflictReportAge is how old a report may be: after a conflict, a later one
	// is valid even if it counts fewer accepted orders than the controller.
	conflictReportAge = time.Second
	// minResidency is the shortest time that a model stays loaded.
	minResidency = 2 * time.Second
	// reservationTTL is how long memory stays reserved for a model after an
	// unload.
	reservationTTL = 3 * time.Second
	// maxRestart is how long a crashed engine is taken to hold nothing unless the
	// registry shows that it has restarted.
	maxRestart = 8 * time.Second
	// maxCrashAge is how old the report of a crash may be to change the engine's state.
	maxCrashAge = 3 * time.Second
	// registryMismatchGrace is how long after a change the registry may differ
	// from the controller's state before the controller polls the engine.
	registryMismatchGrace = 4 * time.Second
)

// engine is the controller's view of a model engine. It starts out unknown,
// until the engine's first report, and is reset when the engine restarts.
type engine struct {
	upstream *fleet.Upstream
	// known is set if the state is known, from a report and the orders since.
	known          bool
	acceptedOrders int
	// conflictAt is when the engine last refused an order as a conflict; zero
	// once a report has shown its state. It takes no order meanwhile.
	conflictAt       time.Time
	replicas         []fleet.Replica
	inMemory, onDisk []state.ModelName
	// keepUntil is until when a model that was loaded stays: an earlier unload
	// would waste the load.
	keepUntil map[state.ModelName]time.Time
	orders    pipeline
	// reservedModel is the model that the last unload made room for.
	reservedModel state.ModelName
	reservedAt    time.Time
	polling       bool
	nextPoll      time.Time
	// crashedAt is when the engine crashed; zero if it has not, or has restarted
	// since. It holds nothing and takes no orders.
	crashedAt time.Time
	// changedAt is when replicas last changed, and revision the number of that
	// change among the changes of all engines.
	changedAt time.Time
	revision  uint64
}

// serving returns the replicas that requests may be sent to: those that no
// pending unload removes.
func (e *engine) serving() []fleet.Replica {
	replicas := e.replicas
	for _, p := range e.orders.all() {
		if p.Kind == fleet.Unload {
			replicas = residency.ApplyOrder(replicas, p.Order)
		}
	}
	return replicas
}

// takesOrders reports whether an order may be sent now: the number of accepted
// orders is certain only while no other order's outcome is open.
func (e *engine) takesOrders() bool {
	return e.known && e.crashedAt.IsZero() && e.conflictAt.IsZero() && e.orders.unresolved() == nil
}

// crash records that the engine has crashed, which ends its orders and empties it.
func (e *engine) crash(now time.Time) {
	*e = engine{upstream: e.upstream, known: true, replicas: []fleet.Replica{}, onDisk: e.onDisk, crashedAt: now, revision: e.revision, polling: e.polling}
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
	expired := e.orders.model == nil && now.Sub(e.reservedAt) > reservationTTL
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
	if !newReport || !e.known || !e.orders.empty() || now.Sub(e.changedAt) < registryMismatchGrace {
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

// applyReport applies an engine's report, which may be older than the last
// orders. It reports whether the replicas that the engine serves may have changed.
func (e *engine) applyReport(r fleet.EngineReport, now time.Time) bool {
	if !e.crashedAt.IsZero() {
		// The report is from before the crash.
		return false
	}
	e.nextPoll = now.Add(pollInterval)
	e.resolve(r, now)
	changed := e.completeReported(r, now)
	outdated := r.Accepted < e.acceptedOrders && now.Sub(e.conflictAt) < conflictReportAge
	if r.Busy || outdated || e.known && e.conflictAt.IsZero() && r.Accepted < e.acceptedOrders || !e.orders.empty() {
		return changed
	}
	e.setReport(r, now)
	return true
}

// resolve determines from a report whether an order without an answer was accepted.
// If it was not, the order stays unresolved and is sent again.
func (e *engine) resolve(r fleet.EngineReport, now time.Time) {
	p := e.orders.unresolved()
	if p == nil || p.state != orderUnknown {
		return
	}
	if r.Accepted <= p.Expect {
		e.acceptedOrders = r.Accepted
		return
	}
	p.state, p.due = orderAccepted, now
	e.acceptedOrders = r.Accepted
}

// completeReported removes the accepted orders that a report shows to be complete,
// and applies them. It reports whether there were any.
func (e *engine) completeReported(r fleet.EngineReport, now time.Time) bool {
	changed := false
	for _, p := range e.orders.all() {
		if p.state != orderAccepted || r.Accepted <= p.Expect || r.Busy && p.forModel() {
			continue
		}
		if fleet.Holds(r.Replicas, p.Target) != (p.Kind == fleet.Load) {
			if p.forModel() {
				// Something other than an order has changed the replicas.
				e.orders.remove(p)
				e.known, changed = false, true
			}
			continue
		}
		e.complete(p, now)
		changed = true
	}
	if changed {
		e.inMemory, e.onDisk = r.InMemory, r.OnDisk
	}
	return changed
}

// complete applies an order that the engine has carried out.
func (e *engine) complete(p *pendingOrder, now time.Time) {
	e.orders.remove(p)
	e.replicas = residency.ApplyOrder(e.replicas, p.Order)
	if p.forModel() && p.Kind == fleet.Load {
		if e.keepUntil == nil {
			e.keepUntil = make(map[state.ModelName]time.Time)
		}
		e.keepUntil[p.Model] = now.Add(max(p.loadTime, minResidency))
	}
}

// recentLoads returns the models that were loaded so recently that they stay.
func (e *engine) recentLoads(now time.Time) []state.ModelName {
	var recent []state.ModelName
	for model, until := range e.keepUntil {
		if now.Before(until) {
			recent = append(recent, model)
		} else {
			delete(e.keepUntil, model)
		}
	}
	return recent
}

// setReport replaces the state by that of a report. Adapters that were on their way then
// hold places: those whose loads were taken for complete go on being served, and the
// others count as loads that were accepted.
func (e *engine) setReport(r fleet.EngineReport, now time.Time) {
	before := e.replicas
	e.known, e.acceptedOrders, e.conflictAt = true, r.Accepted, time.Time{}
	e.replicas, e.inMemory, e.onDisk = r.Replicas, r.InMemory, r.OnDisk
	for _, t := range r.Coming {
		p := &pendingOrder{Order: fleet.Order{Kind: fleet.Load, Target: t, Expect: r.Accepted - 1}, state: orderAccepted, short: true}
		switch {
		case fleet.Holds(e.replicas, t):
		case fleet.Holds(before, t):
			e.replicas = residency.ApplyOrder(e.replicas, p.Order)
		default:
			p.due = now.Add(shortOrderDuration)
			e.orders.add(p)
		}
	}
}

// completeShortOrders treats short orders as complete shortOrderDuration after they
// were accepted, without polling the engine. If an unload is still in progress, the
// engine refuses the next order as a conflict and is polled then.
func (e *engine) completeShortOrders(now time.Time) bool {
	changed := false
	for _, p := range e.orders.all() {
		if p.state == orderAccepted && p.short && !now.Before(p.due) {
			e.complete(p, now)
			changed = true
		}
	}
	return changed
}

// needsReport reports whether to poll the engine now.
func (e *engine) needsReport(now time.Time) bool {
	if e.polling || now.Before(e.nextPoll) {
		return false
	}
	if !e.crashedAt.IsZero() {
		if now.Sub(e.crashedAt) < maxRestart {
			return false
		}
		// The registry does not show the restart of every upstream.
		e.known, e.crashedAt = false, time.Time{}
	}
	if !e.known || !e.conflictAt.IsZero() {
		return true
	}
	for _, p := range e.orders.all() {
		if p.state == orderUnknown || p.state == orderAccepted && !p.short && !now.Before(p.due) {
			return true
		}
	}
	return false
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
