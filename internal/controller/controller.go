// Package controller implements the controller of a deployment: the gateway
// that holds the lease and sends the model engines their orders. All gateways
// run this package; those without the lease only watch it. One goroutine owns
// the state.
package controller

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/decide/election"
	"github.com/lagoonvalve/lagoonvalve/internal/decide/quota"
	"github.com/lagoonvalve/lagoonvalve/internal/fleet"
	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
	"github.com/lagoonvalve/lagoonvalve/internal/verdict"
)

// Options configures a Controller.
type Options struct {
	// HolderName identifies this process as a holder of the lease. It differs for
	// each start of the process.
	HolderName string
	// Host is the host's name, which the lease records and the orders carry.
	Host string
	// Control is the address at which other processes reach this one.
	Control string
	Lease   fleet.LeaseStore
	Engines fleet.EngineControl
	// Quarantines keeps the quarantines; nil keeps none.
	Quarantines fleet.QuarantineStore
	Logger      *slog.Logger
	// Now is a clock that continues while the host is suspended.
	Now      func() time.Time
	Election election.Settings
	// Announce reports to the other gateways that this process is the
	// controller, and the position of its lease record; nil disables
	// announcements.
	Announce func(leader Leader, at fleet.LogPosition)
	// StoreLoadsAtOnce bounds the concurrent loads from the weight store.
	StoreLoadsAtOnce int
	// Quotas is what teams may get of their quotas.
	Quotas quota.Config
}

// Fleet is the manifest and the upstreams that the controller works on. It is
// immutable.
type Fleet struct {
	Manifest  *fleet.Manifest
	Upstreams []*fleet.Upstream
}

const (
	// planInterval is the time between plans while no event arrives.
	planInterval = 50 * time.Millisecond
	// minPlanInterval is the shortest time between plans. Each of many gateways
	// reports its demand several times a second, and a plan covers all engines.
	minPlanInterval = 10 * time.Millisecond
	// standbyInterval is the time between checks of the lease while another
	// process holds it.
	standbyInterval = 250 * time.Millisecond
	// minReadInterval is the shortest time between reads of the lease.
	minReadInterval = 300 * time.Millisecond
)

// Controller watches the lease and, while it holds the lease, sends orders to
// the model engines.
type Controller struct {
	opts      Options
	events    chan event
	fleet     atomic.Pointer[Fleet]
	leader    atomic.Pointer[Leader]
	publisher publisher
	// releaseBy is when the release of the lease has to be over; nil leaves it open.
	releaseBy atomic.Pointer[time.Time]

	// The fields below belong to the goroutine of Run; asksForPromises is also
	// read by Residency.
	machine          *election.Machine
	leaseCallPending bool
	// leaseWritePending is set while a write of the lease is in progress.
	leaseWritePending bool
	lastLeaseRead     time.Time
	acting            bool
	// term is the token of the lease by which this process acts.
	term state.FencingToken
	// nextPlan is the earliest time of the next plan.
	nextPlan time.Time
	// promises holds the promises of the other gateways. heldByPromises is set
	// while these promises extend the lease, and asksForPromises while results
	// request them.
	promises        promiseTable
	heldByPromises  bool
	asksForPromises atomic.Bool
	// announcedAt is when this process was last announced as the controller.
	announcedAt time.Time
	// resignations counts the leases given up without a write.
	resignations int
	// actingSince is when this process last began or stopped acting as the
	// controller.
	actingSince time.Time
	engines     map[state.UpstreamName]*engine
	// registry holds the upstreams as listed in syncedFleet, and those that it
	// no longer lists.
	registry    map[state.UpstreamName]*registryEntry
	syncedFleet *Fleet
	// manifestVersion is the version of the manifest that is published to
	// gateways.
	manifestVersion fleet.Version
	// pendingPolls counts the reports that were requested from engines and have
	// not arrived.
	pendingPolls int
	demand       *demandTable
	loads        loadSums
	storeLimiter storeLoadLimiter
	crashes      crashTable
	limits       map[state.UpstreamName]*upstreamLimit
	// leaving has the starts, in Unix milliseconds, of upstreams that have announced in
	// an answer that they leave.
	leaving map[state.UpstreamName]int64
	quotas  quotaState
}

// Leader is the holder of the lease in this process's record. Both fields are
// empty if there is none.
type Leader struct {
	// Holder is the holder's name, which differs for each start of a process.
	Holder string
	// Control is the address at which other processes reach the holder.
	Control string
}

// event changes the state of a controller. It runs in the goroutine of Run.
type event func(c *Controller, now time.Time)

// eventQueueSize is how many events may wait for the goroutine of Run.
const eventQueueSize = 256

// New returns a controller that does not hold the lease.
func New(opts Options) *Controller {
	c := &Controller{
		opts:    opts,
		events:  make(chan event, eventQueueSize),
		machine: election.NewMachine(opts.HolderName, opts.Host, opts.Control, opts.Election),
		engines: make(map[state.UpstreamName]*engine),
		demand:  newDemandTable(),

		promises: make(promiseTable),
		crashes:  newCrashTable(),
		limits:   make(map[state.UpstreamName]*upstreamLimit),
		leaving:  make(map[state.UpstreamName]int64),
	}
	c.publisher.init(opts.HolderName, opts.Now)
	return c
}

// Update sets the current fleet.
func (c *Controller) Update(f *Fleet) { c.fleet.Store(f) }

// Leader returns the holder of the lease in this process's record.
func (c *Controller) Leader() Leader {
	if leader := c.leader.Load(); leader != nil {
		return *leader
	}
	return Leader{}
}

// ObservePosition records the position of the newest lease record, as reported by
// the controller.
func (c *Controller) ObservePosition(at fleet.LogPosition) {
	c.post(func(c *Controller, now time.Time) { c.machine.ObservePosition(at, now) })
}

// RequestLeaseRead requests a read of the lease, because its holder does not
// answer.
func (c *Controller) RequestLeaseRead() {
	c.post(func(c *Controller, _ time.Time) { c.machine.RequestRead() })
}

// ObserveEnd records proof that a holder no longer acts: nothing listens at its
// address, or a process with another name does.
func (c *Controller) ObserveEnd(holder string) {
	c.post(func(c *Controller, now time.Time) {
		if c.machine.ObserveEnd(holder, now) {
			c.opts.Logger.Info("holder ended", "holder", holder)
		}
	})
}

// ObserveAnnouncement records another process's announcement that it is the
// controller, with the position of its lease record. For a process that can't
// reach the store, this is the only way to detect the new holder.
func (c *Controller) ObserveAnnouncement(leader Leader, at fleet.LogPosition) {
	c.post(func(c *Controller, now time.Time) {
		if !c.machine.ObserveAnnouncement(leader.Holder, leader.Control, at, now) {
			return
		}
		c.opts.Logger.Info("controller known", "holder", leader.Holder, "address", leader.Control, "offset", at.Offset, "epoch", at.Epoch, "announced", true)
		c.publishLeader()
	})
}

// post queues an event. It drops the event if the queue is full.
func (c *Controller) post(e event) {
	select {
	case c.events <- e:
	default:
		c.opts.Logger.Warn("controller event dropped")
	}
}

// Run watches the lease, and acts as the controller while it holds the lease,
// until ctx ends. Then it releases the lease, which takes at most releaseTimeout and ends
// at the time of SetReleaseBy.
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

// step does what is due and returns the time until the next step.
func (c *Controller) step(ctx context.Context, now time.Time) time.Duration {
	c.stepLease(ctx, now)
	c.stepPromises(now)
	c.renewQuotas(now)
	if remaining := c.nextPlan.Sub(now); remaining > 0 {
		return remaining
	}
	c.act(ctx, now)
	if !c.acting {
		return standbyInterval
	}
	c.nextPlan = now.Add(minPlanInterval)
	return planInterval
}

// drainEvents handles all events in the queue, so that one plan covers them
// all.
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

// errNotController is returned by a process that does not hold the lease.
func errNotController() error {
	return verdict.Refuse(verdict.ReasonNotReady, "not the controller")
}

// ReportDemand records the demand that a gateway reports.
func (c *Controller) ReportDemand(_ context.Context, params rpc.WantedParams) (rpc.WantedResult, error) {
	if c.publisher.snapshot() == nil {
		return rpc.WantedResult{}, errNotController()
	}
	c.post(func(c *Controller, now time.Time) { c.demand.recordDemand(params, now) })
	return rpc.WantedResult{}, nil
}

// Residency returns what the upstreams hold once that differs from the
// gateway's record, or at the end of the requested wait.
func (c *Controller) Residency(ctx context.Context, params rpc.ResidencyParams) (rpc.ResidencyResult, error) {
	c.post(func(c *Controller, now time.Time) {
		c.demand.recordPeer(params.Gateway, params.Peer, now)
		c.recordPromise(params, now)
	})
	result, err := c.publisher.await(ctx, params)
	if err == nil && c.asksForPromises.Load() {
		result.Unrenewed = c.opts.Now().UnixNano()
	}
	c.loads.addTo(&result, params, c.opts.Now())
	return result, err
}
