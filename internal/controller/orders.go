package controller

import (
	"context"
	"math"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/ctxtime"
	"github.com/lagoonvalve/lagoonvalve/internal/decide/residency"
	"github.com/lagoonvalve/lagoonvalve/internal/fleet"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

const (
	// storeRateShare is the share of the weight store's permitted load rate
	// that is used.
	storeRateShare = 0.9
	// storeLoadBurst is how many loads from the weight store may start at once.
	storeLoadBurst = 2.0
)

// demandGrace is how long a new holder waits for the gateways' demand reports
// before it makes a plan.
const demandGrace = 600 * time.Millisecond

// unloadLeadTime is the time between the gateways' notification of an unload
// and the order, so that they send their requests elsewhere.
const unloadLeadTime = 50 * time.Millisecond

// storeLoadLimiter is a token bucket that limits the rate of loads from the
// weight store.
type storeLoadLimiter struct {
	tokens     float64
	refilledAt time.Time
}

func (l *storeLoadLimiter) refill(perSecond float64, now time.Time) {
	if l.refilledAt.IsZero() {
		l.refilledAt = now
	}
	l.tokens = min(l.tokens+now.Sub(l.refilledAt).Seconds()*perSecond*storeRateShare, storeLoadBurst)
	l.refilledAt = now
}

// act does the work of the controller while this process holds the lease.
func (c *Controller) act(ctx context.Context, now time.Time) {
	token, holds := c.machine.MayAct(now)
	if holds != c.acting || holds && token != c.term {
		c.setActing(token, holds, now)
	}
	if holds {
		c.announce(now)
	}
	f := c.fleet.Load()
	if !holds || f == nil || f.Manifest == nil {
		return
	}
	c.stepCrashes(now)
	c.stepQuarantineStore(ctx, now)
	c.syncRegistry(f, now)
	c.dropAnswers()
	c.stepLoads(now)
	c.syncEngines(f, now)
	for _, e := range c.engines {
		if e.completeShortOrders(now) {
			c.markChanged(e, now)
		}
		if c.pendingPolls < maxPendingPolls && e.needsReport(now) {
			c.poll(ctx, e, now)
		}
		if p := e.orders.unresolved(); e.known && p.needsResend(now) {
			c.sendOrder(ctx, e, p, now)
		}
	}
	if now.Sub(c.actingSince) < demandGrace {
		c.publishSnapshot(token)
		return
	}
	c.storeLimiter.refill(storeRate(f.Manifest), now)
	demand := c.demand.current(now)
	for _, service := range f.Manifest.Services {
		if service.Engine != nil {
			c.plan(ctx, service, demand, now)
		}
	}
	c.publishSnapshot(token)
}

// storeRate returns how many loads per second the weight store permits. The
// engines of all services share this rate.
func storeRate(m *fleet.Manifest) float64 {
	rate := math.Inf(1)
	for _, service := range m.Services {
		if service.Engine != nil {
			rate = min(rate, service.Engine.LoadsPerSecond)
		}
	}
	return rate
}

// availableStoreLoads returns how many loads from the weight store may start
// now.
func (c *Controller) availableStoreLoads() int {
	inProgress := 0
	for _, e := range c.engines {
		if p := e.orders.model; p != nil && p.fromStore {
			inProgress++
		}
	}
	return max(min(int(c.storeLimiter.tokens), c.opts.StoreLoadsAtOnce-inProgress), 0)
}

// setActing starts or stops acting as the controller. A new holder has no
// state: it polls each engine, and its limiter permits no load from the store
// at first.
func (c *Controller) setActing(token state.FencingToken, holds bool, now time.Time) {
	c.acting, c.term, c.actingSince = holds, token, now
	c.engines = make(map[state.UpstreamName]*engine)
	c.registry, c.syncedFleet = make(map[state.UpstreamName]*registryEntry), nil
	c.storeLimiter = storeLoadLimiter{refilledAt: now}
	c.promises, c.heldByPromises = make(promiseTable), false
	c.crashes, c.limits = newCrashTable(), make(map[state.UpstreamName]*upstreamLimit)
	c.leaving = make(map[state.UpstreamName]int64)
	c.resetQuotas(token, holds, now)
	c.loads.withdraw()
	c.opts.Logger.Info("controller acts", "acting", holds, "term", token)
	if !holds {
		c.publisher.publish(nil)
	}
}

// syncEngines adds, updates and removes engines to match the registry.
func (c *Controller) syncEngines(f *Fleet, now time.Time) {
	live := make(map[state.UpstreamName]bool, len(f.Upstreams))
	for _, u := range f.Upstreams {
		service := f.Manifest.Services[u.Service]
		if service == nil || service.Engine == nil || u.Draining || c.isLeaving(u) {
			continue
		}
		live[u.Name] = true
		if e, ok := c.engines[u.Name]; ok {
			e.applyRegistryEntry(u, now)
		} else {
			c.engines[u.Name] = &engine{upstream: u}
		}
	}
	for name := range c.engines {
		if !live[name] {
			delete(c.engines, name)
		}
	}
}

// plan makes a plan for the engines of a service and sends its orders.
func (c *Controller) plan(ctx context.Context, service *fleet.Service, demand map[fleet.Target]residency.Demand, now time.Time) {
	in := residency.Input{Engine: service.Engine, Demand: demand, Lacking: c.demand.lacking(service.Name, now), StoreLoads: c.availableStoreLoads()}
	for _, e := range c.engines {
		if e.upstream.Service != service.Name {
			continue
		}
		view := residency.Upstream{
			Name: e.upstream.Name, DataCentre: e.upstream.DataCentre,
			Replicas: e.knownReplicas(), InMemory: e.inMemory, OnDisk: e.onDisk,
			Reserved: e.reservation(now), Blocked: !e.takesOrders(), Recent: e.recentLoads(now),
		}
		e.orders.fill(&view)
		in.Upstreams = append(in.Upstreams, view)
	}
	for _, step := range residency.Plan(in) {
		c.beginOrder(ctx, service, step, demand[step.Target], now)
	}
}

// beginOrder starts a new order to an engine.
func (c *Controller) beginOrder(ctx context.Context, service *fleet.Service, step residency.Step, demand residency.Demand, now time.Time) {
	e := c.engines[step.Upstream]
	token, _ := c.machine.MayAct(now)
	p := &pendingOrder{
		Order: fleet.Order{
			Kind: step.Kind, Target: step.Target, Expect: e.acceptedOrders, Holder: c.opts.Host, Token: token,
		},
		fromStore: step.FromStore,
	}
	if step.FromStore {
		c.storeLimiter.tokens--
	}
	e.orders.add(p)
	if step.Reserve != "" {
		e.reservedModel, e.reservedAt = step.Reserve, now
	}
	c.opts.Logger.Info("order", "kind", p.Kind.String(), "model", p.Model, "adapter", p.Adapter, "upstream", step.Upstream,
		"expect", p.Expect, "term", token, "from_store", p.fromStore, "waiting", demand.Waiting, "rate", demand.Rate)
	switch {
	case p.forModel() && p.Kind == fleet.Load:
		p.loadTime = fleet.LoadTime(service.Engine.Models[p.Model], e.inMemory, e.onDisk)
	case p.Kind == fleet.Unload:
		// An unload waits for the requests that use its target. If a model is still
		// in use, the engine refuses the next order, but not if an adapter is.
		p.short = p.forModel() && demand.Running == 0
		c.markChanged(e, now)
	default:
		p.short = true
	}
	c.sendOrder(ctx, e, p, now)
}

// sendOrder sends a pending order of an engine. It checks the lease again
// right before the call, since the process may have been suspended meanwhile.
func (c *Controller) sendOrder(ctx context.Context, e *engine, p *pendingOrder, now time.Time) {
	u, until := e.upstream, c.machine.ValidUntil()
	first := p.state == 0
	p.state, p.sentAt = orderSending, now
	go func() {
		if first && p.forModel() && p.Kind == fleet.Unload {
			ctxtime.Sleep(ctx, unloadLeadTime)
		}
		result, err := fleet.OrderRefused, error(nil)
		if c.opts.Now().Before(until) {
			result, err = c.opts.Engines.Order(ctx, u, p.Order)
		}
		c.events <- func(c *Controller, now time.Time) { c.handleOrderResult(e, p, result, err, now) }
	}()
}

// handleOrderResult applies the result of an order.
func (c *Controller) handleOrderResult(e *engine, p *pendingOrder, result fleet.OrderResult, err error, now time.Time) {
	if p != e.orders.unresolved() {
		return
	}
	if result != fleet.OrderAccepted {
		c.opts.Logger.Info("order not accepted", "kind", p.Kind.String(), "model", p.Model, "adapter", p.Adapter,
			"upstream", e.upstream.Name, "result", result, "error", err)
	}
	switch result {
	case fleet.OrderAccepted:
		p.state, p.due = orderAccepted, now.Add(max(p.loadTime, shortOrderDuration))
		e.acceptedOrders = p.Expect + 1
	case fleet.OrderAlreadySatisfied:
		if p.Kind == fleet.Unload && p.Adapter != "" {
			// If no request uses an adapter, the engine unloads it at once and
			// counts the order as accepted.
			e.acceptedOrders = p.Expect + 1
		}
		e.complete(p, now)
		c.markChanged(e, now)
	case fleet.OrderUnknown:
		p.state = orderUnknown
	case fleet.OrderConflict:
		// Another order is in progress, such as an unload that still waits for
		// requests, or the number of accepted orders differs.
		e.orders.remove(p)
		e.conflictAt, e.nextPoll = now, now
		c.markChanged(e, now)
	default:
		e.orders.remove(p)
		e.known = false
		e.nextPoll = now.Add(pollInterval)
		c.markChanged(e, now)
	}
}

// markChanged records that the replicas that an engine serves have changed.
func (c *Controller) markChanged(e *engine, now time.Time) {
	c.publisher.revision++
	e.changedAt, e.revision = now, c.publisher.revision
}
