// Package controller is the part of a gateway that, while it holds the lease of
// the deployment, gives the model engines their orders. All gateways run it;
// the others only watch the lease. One goroutine owns its state.
package controller

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/decide/election"
	"github.com/lagoonvalve/lagoonvalve/internal/fleet"
	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
	"github.com/lagoonvalve/lagoonvalve/internal/verdict"
)

// Options are what a controller needs.
type Options struct {
	// HolderName is the holder's name, different for each start of the process.
	HolderName string
	// Host is the name that orders bear: that of the host.
	Host string
	// Control is the address for other processes.
	Control string
	Lease   fleet.LeaseStore
	Engines fleet.EngineControl
	Logger  *slog.Logger
	// Now is a clock that counts while the host is suspended.
	Now      func() time.Time
	Election election.Settings
	// Announce tells the other gateways that this process is the controller by
	// its lease record at an offset; nil tells nobody.
	Announce func(leader Leader, at state.Offset)
	// StoreLoadsAtOnce bounds the loads from the weight store under way.
	StoreLoadsAtOnce int
}

// Fleet is what the controller acts on. It is immutable.
type Fleet struct {
	Manifest  *fleet.Manifest
	Upstreams []*fleet.Upstream
}

const (
	// tick is the time between plans while nothing happens.
	tick = 50 * time.Millisecond
	// actPace is the least time between plans. Each of many gateways reports
	// its demand several times a second, and a plan looks at all engines.
	actPace = 10 * time.Millisecond
	// standbyTick is the time between looks at the lease of another holder.
	standbyTick = 250 * time.Millisecond
	// readPace is the least time between reads of the lease.
	readPace = 300 * time.Millisecond
)

// Controller watches the lease and, while it holds it, gives orders.
type Controller struct {
	opts   Options
	events chan event
	fleet  atomic.Pointer[Fleet]
	leader atomic.Pointer[Leader]
	shown  board

	// The rest belongs to the goroutine of Run.
	machine   *election.Machine
	leaseBusy bool
	// writing says that a write of the lease is under way.
	writing  bool
	lastRead time.Time
	acting   bool
	// nextAct is when the next plan is due at the soonest.
	nextAct time.Time
	// promises are those of the other gateways; extended says that the lease is
	// held by them, and asks that they are asked for.
	promises promiseTable
	extended bool
	asks     atomic.Bool
	// announced is when the other gateways were told of this holder.
	announced time.Time
	// resigned counts the leases given up without a write.
	resigned int
	// actingSince is when acting began or ended.
	actingSince time.Time
	engines     map[state.UpstreamName]*engine
	// registry holds the upstreams as the registry lists them, by the fleet
	// synced.
	registry map[state.UpstreamName]*registryEntry
	synced   *Fleet
	// told is the version of the manifest that gateways are told of.
	told fleet.Version
	// polls counts the reports that engines were asked for and have not given.
	polls  int
	demand *demandTable
	loads  loadBudget
}

// Leader is the holder of the lease as far as known. Both are empty if there is
// none.
type Leader struct {
	// Holder is its name, different for each start of a process.
	Holder string
	// Control is its address for other processes.
	Control string
}

// event changes the state of a controller in its goroutine.
type event func(c *Controller, now time.Time)

// eventRoom is how many events may wait for the goroutine.
const eventRoom = 256

// New returns a controller that holds nothing.
func New(opts Options) *Controller {
	c := &Controller{
		opts:    opts,
		events:  make(chan event, eventRoom),
		machine: election.NewMachine(opts.HolderName, opts.Host, opts.Control, opts.Election),
		engines: make(map[state.UpstreamName]*engine),
		demand:  newDemandTable(),

		promises: make(promiseTable),
	}
	c.shown.init(opts.HolderName)
	return c
}

// Update gives the controller the present fleet.
func (c *Controller) Update(f *Fleet) { c.fleet.Store(f) }

// Leader returns the lease's holder as far as known.
func (c *Controller) Leader() Leader {
	if leader := c.leader.Load(); leader != nil {
		return *leader
	}
	return Leader{}
}

// ObserveOffset notes that another process has answered as the controller with its
// newest lease record at an offset.
func (c *Controller) ObserveOffset(at state.Offset) {
	c.post(func(c *Controller, now time.Time) { c.machine.ObserveOffset(at, now) })
}

// RequestLeaseRead notes that the holder does not answer, so that its lease is read again.
func (c *Controller) RequestLeaseRead() {
	c.post(func(c *Controller, _ time.Time) { c.machine.RequestRead() })
}

// ObserveEnd notes proof that a holder acts no more: nothing listens at its address,
// or a process of another name does.
func (c *Controller) ObserveEnd(holder string) {
	c.post(func(c *Controller, now time.Time) {
		if c.machine.ObserveEnd(holder, now) {
			c.opts.Logger.Info("holder ended", "holder", holder)
		}
	})
}

// ObserveAnnouncement takes the word of another process that it is the controller by a
// record at an offset. A process that can't reach the store learns of the new
// holder by this alone.
func (c *Controller) ObserveAnnouncement(leader Leader, at state.Offset) {
	c.post(func(c *Controller, now time.Time) {
		if !c.machine.ObserveAnnouncement(leader.Holder, leader.Control, at, now) {
			return
		}
		c.opts.Logger.Info("controller known", "holder", leader.Holder, "address", leader.Control, "offset", at, "announced", true)
		c.publishLeader()
	})
}

// post hands an event over unless the goroutine is far behind.
func (c *Controller) post(e event) {
	select {
	case c.events <- e:
	default:
		c.opts.Logger.Warn("controller event dropped")
	}
}

// Run watches the lease and acts until ctx ends. Then it gives the lease up
// within the time of one write.
func (c *Controller) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			c.release()
			return
		case e := <-c.events:
			e(c, c.opts.Now())
			c.drainEvents()
		case <-timer.C:
		}
		timer.Reset(c.step(ctx, c.opts.Now()))
	}
}

// step does what is due and returns when to come back.
func (c *Controller) step(ctx context.Context, now time.Time) time.Duration {
	c.stepLease(ctx, now)
	c.stepPromises(now)
	if early := c.nextAct.Sub(now); early > 0 {
		return early
	}
	c.act(ctx, now)
	if !c.acting {
		return standbyTick
	}
	c.nextAct = now.Add(actPace)
	return tick
}

// drainEvents takes what has come meanwhile, so that one plan serves it all.
func (c *Controller) drainEvents() {
	for {
		select {
		case e := <-c.events:
			e(c, c.opts.Now())
		default:
			return
		}
	}
}

// errNotController is the answer of a process that does not hold the lease.
func errNotController() error {
	return verdict.Refuse(verdict.ReasonNotReady, "not the controller")
}

// ReportDemand takes a gateway's demand.
func (c *Controller) ReportDemand(_ context.Context, params rpc.WantedParams) (rpc.WantedResult, error) {
	if c.shown.load() == nil {
		return rpc.WantedResult{}, errNotController()
	}
	c.post(func(c *Controller, now time.Time) { c.demand.report(params, now) })
	return rpc.WantedResult{}, nil
}

// Residency answers with what the upstreams hold once that differs from what
// the asker knows, or at the end of its wait.
func (c *Controller) Residency(ctx context.Context, params rpc.ResidencyParams) (rpc.ResidencyResult, error) {
	c.post(func(c *Controller, now time.Time) {
		c.demand.asked(params.Gateway, params.Peer, now)
		c.heardPromise(params, now)
	})
	result, err := c.shown.await(ctx, params)
	if err == nil && c.asks.Load() {
		result.Unrenewed = c.opts.Now().UnixNano()
	}
	return result, err
}
