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
	// storeShare is the part of the weight store's rate that is used.
	storeShare = 0.9
	// storeBurst is how many loads may begin at once.
	storeBurst = 2.0
)

// demandGrace is how long a new holder waits for the gateways' reports before
// it makes a plan.
const demandGrace = 600 * time.Millisecond

// unloadNotice is how long before an unload the gateways are told, so that
// their requests go elsewhere.
const unloadNotice = 50 * time.Millisecond

// loadBudget paces loads from the weight store.
type loadBudget struct {
	tokens float64
	at     time.Time
}

func (b *loadBudget) refill(perSecond float64, now time.Time) {
	if b.at.IsZero() {
		b.at = now
	}
	b.tokens = min(b.tokens+now.Sub(b.at).Seconds()*perSecond*storeShare, storeBurst)
	b.at = now
}

// act runs what only the holder of the lease does.
func (c *Controller) act(ctx context.Context, now time.Time) {
	token, holds := c.machine.MayAct(now)
	if holds != c.acting {
		c.switchOver(token, holds, now)
	}
	if holds {
		c.announce(now)
	}
	f := c.fleet.Load()
	if !holds || f == nil || f.Manifest == nil {
		return
	}
	c.syncRegistry(f, now)
	c.syncEngines(f, now)
	for _, e := range c.engines {
		if e.finished(now) {
			c.changed(e, now)
		}
		if c.polls < maxPolls && e.needsReport(now) {
			c.poll(ctx, e, now)
		}
		if e.needsResend(now) {
			c.send(ctx, e, now)
		}
	}
	if now.Sub(c.actingSince) < demandGrace {
		c.show(token)
		return
	}
	c.loads.refill(storeRate(f.Manifest), now)
	demand := c.demand.current(now)
	for _, service := range f.Manifest.Services {
		if service.Engine != nil {
			c.plan(ctx, service, demand, now)
		}
	}
	c.show(token)
}

// storeRate returns the loads a second that the weight store allows. The
// engines of all services share it.
func storeRate(m *fleet.Manifest) float64 {
	rate := math.Inf(1)
	for _, service := range m.Services {
		if service.Engine != nil {
			rate = min(rate, service.Engine.LoadsPerSecond)
		}
	}
	return rate
}

// storeLoads returns how many loads from the weight store may begin now.
func (c *Controller) storeLoads() int {
	under := 0
	for _, e := range c.engines {
		if e.pending != nil && e.pending.fromStore {
			under++
		}
	}
	return max(min(int(c.loads.tokens), c.opts.StoreLoadsAtOnce-under), 0)
}

// switchOver begins or ends the work of a holder. A new holder knows nothing:
// it asks each engine, and starts no load from the store at once.
func (c *Controller) switchOver(token state.FencingToken, holds bool, now time.Time) {
	c.acting, c.actingSince = holds, now
	c.engines = make(map[state.UpstreamName]*engine)
	c.registry, c.synced = make(map[state.UpstreamName]*registryEntry), nil
	c.loads = loadBudget{at: now}
	c.promises, c.extended = make(promiseTable), false
	c.opts.Logger.Info("controller acts", "acting", holds, "term", token)
	if !holds {
		c.shown.publish(nil)
	}
}

// syncEngines follows the registry.
func (c *Controller) syncEngines(f *Fleet, now time.Time) {
	live := make(map[state.UpstreamName]bool, len(f.Upstreams))
	for _, u := range f.Upstreams {
		service := f.Manifest.Services[u.Service]
		if service == nil || service.Engine == nil || u.Draining {
			continue
		}
		live[u.Name] = true
		if e, ok := c.engines[u.Name]; ok {
			e.update(u, now)
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

// plan makes and carries out the plan for the engines of a service.
func (c *Controller) plan(ctx context.Context, service *fleet.Service, demand map[fleet.Target]residency.Demand, now time.Time) {
	in := residency.Input{Engine: service.Engine, Demand: demand, StoreLoads: c.storeLoads()}
	for _, e := range c.engines {
		if e.upstream.Service != service.Name {
			continue
		}
		view := residency.Upstream{
			Name: e.upstream.Name, DataCentre: e.upstream.DataCentre,
			Replicas: e.believed(), InMemory: e.inMemory, OnDisk: e.onDisk,
			Reserved: e.reservation(now), Blocked: !e.known,
		}
		if e.pending != nil {
			view.Pending = &e.pending.Order
		}
		in.Upstreams = append(in.Upstreams, view)
	}
	for _, step := range residency.Plan(in) {
		c.begin(ctx, service, step, demand[step.Target], now)
	}
}

// begin gives an engine a new order.
func (c *Controller) begin(ctx context.Context, service *fleet.Service, step residency.Step, demand residency.Demand, now time.Time) {
	e := c.engines[step.Upstream]
	token, _ := c.machine.MayAct(now)
	p := &pendingOrder{
		Order: fleet.Order{
			Kind: step.Kind, Target: step.Target, Expect: e.accepted, Holder: c.opts.Host, Token: token,
		},
		fromStore: step.FromStore,
	}
	if step.FromStore {
		c.loads.tokens--
	}
	e.pending = p
	if step.Reserve != "" {
		e.reserved, e.reservedAt = step.Reserve, now
	}
	c.opts.Logger.Info("order", "kind", p.Kind.String(), "model", p.Model, "adapter", p.Adapter, "upstream", step.Upstream,
		"expect", p.Expect, "term", token, "from_store", p.fromStore, "waiting", demand.Waiting, "rate", demand.Rate)
	p.due = now.Add(shortOrder)
	if longOrder(p.Order) {
		p.takes = fleet.LoadTime(service.Engine.Models[p.Model], e.inMemory, e.onDisk)
	}
	if p.Kind == fleet.Unload {
		c.changed(e, now)
	}
	c.send(ctx, e, now)
}

// send sends the pending order of an engine. The lease is checked once more
// right before, since the process may have been suspended meanwhile.
func (c *Controller) send(ctx context.Context, e *engine, now time.Time) {
	p, u, until := e.pending, e.upstream, c.machine.ValidUntil()
	first := p.state == 0
	p.state, p.sent = orderSending, now
	if longOrder(p.Order) {
		p.due = now.Add(p.takes)
	}
	go func() {
		if first && p.Kind == fleet.Unload {
			ctxtime.Sleep(ctx, unloadNotice)
		}
		result, err := fleet.OrderRefused, error(nil)
		if c.opts.Now().Before(until) {
			result, err = c.opts.Engines.Order(ctx, u, p.Order)
		}
		c.events <- func(c *Controller, now time.Time) { c.ordered(e, p, result, err, now) }
	}()
}

// ordered takes the result of an order.
func (c *Controller) ordered(e *engine, p *pendingOrder, result fleet.OrderResult, err error, now time.Time) {
	if e.pending != p {
		return
	}
	if result != fleet.OrderAccepted {
		c.opts.Logger.Info("order not accepted", "kind", p.Kind.String(), "model", p.Model, "adapter", p.Adapter,
			"upstream", e.upstream.Name, "result", result, "error", err)
	}
	switch result {
	case fleet.OrderAccepted:
		p.state = orderAccepted
		if !longOrder(p.Order) {
			p.due = now.Add(shortOrder)
		}
	case fleet.OrderAlreadySatisfied:
		e.pending = nil
		if p.Kind == fleet.Unload && p.Adapter != "" {
			// An adapter that no request uses is unloaded at once.
			e.accepted = p.Expect + 1
		}
		e.replicas = residency.ApplyOrder(e.replicas, p.Order)
		c.changed(e, now)
	case fleet.OrderUnknown:
		p.state = orderUnknown
	case fleet.OrderConflict:
		c.conflicted(e, p, now)
	default:
		e.pending = nil
		e.known = false
		e.nextPoll = now.Add(pollEvery)
		c.changed(e, now)
	}
}

// conflicted takes the refusal of an order because another is in progress or
// because the number of accepted orders differs. The former is likely after an
// unload, which waits for running requests, so the order is sent once more
// before a report is asked for.
func (c *Controller) conflicted(e *engine, p *pendingOrder, now time.Time) {
	p.conflicts++
	if p.conflicts <= maxConflicts {
		p.state, p.due = orderConflicted, now.Add(conflictPause)
		return
	}
	e.pending, e.known = nil, false
	e.nextPoll = now
	c.changed(e, now)
}

// changed notes that an engine serves something else.
func (c *Controller) changed(e *engine, now time.Time) {
	c.shown.revision++
	e.changed, e.revision = now, c.shown.revision
}
