package controller

import (
	"context"
	"fmt"
	"time"

	"github.com/go-faster/errors"

	"github.com/lagoonvalve/lagoonvalve/internal/ctxtime"
	"github.com/lagoonvalve/lagoonvalve/internal/decide/election"
	"github.com/lagoonvalve/lagoonvalve/internal/fleet"
	"github.com/lagoonvalve/lagoonvalve/internal/platform"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

const (
	// releaseTimeout bounds the release of the lease at shutdown.
	releaseTimeout = 2 * time.Second
	// releasePause is the least time between two calls to the store during a release.
	releasePause = 20 * time.Millisecond
)

// writeTimeout bounds the wait for the answer to a write of the lease. After
// that, a read finds out whether the write was stored, which is faster than
// waiting for an answer that may have been lost.
const writeTimeout = 400 * time.Millisecond

// stepLease starts the next call to the lease store. Only one is in progress at
// a time.
func (c *Controller) stepLease(ctx context.Context, now time.Time) {
	if c.leaseCallPending {
		return
	}
	step := c.machine.Next(now, false)
	if step.Action == election.Read && now.Sub(c.lastLeaseRead) < minReadInterval {
		return
	}
	c.startLeaseCall(ctx, step, now)
}

// startLeaseCall starts a step's call to the lease store. A write goes on when ctx ends, so
// that its outcome is known at the end of the process.
func (c *Controller) startLeaseCall(ctx context.Context, step election.Step, now time.Time) {
	switch step.Action {
	case election.Read:
		c.lastLeaseRead, c.leaseCallPending = now, true
		go c.readLease(ctx)
	case election.Write:
		c.leaseCallPending, c.leaseWritePending = true, true
		go c.writeLease(context.WithoutCancel(ctx), step, now)
	case election.Wait:
	}
}

func (c *Controller) readLease(ctx context.Context) {
	read, err := c.opts.Lease.Read(ctx)
	c.events <- func(c *Controller, now time.Time) {
		c.leaseCallPending = false
		c.observeEpoch(read.Epoch, now)
		if err != nil {
			c.opts.Logger.Warn("lease not read", "error", err)
			return
		}
		before := c.Leader()
		c.machine.ObserveRead(read, now)
		c.publishLeader()
		if leader := c.Leader(); leader != before {
			c.opts.Logger.Info("controller known", "holder", leader.Holder, "address", leader.Control, "offset", read.At, "epoch", read.Epoch)
		}
	}
}

// ObserveEpoch records that an answer of the log came in an epoch.
func (c *Controller) ObserveEpoch(epoch fleet.LogEpoch) {
	c.post(func(c *Controller, now time.Time) { c.observeEpoch(epoch, now) })
}

func (c *Controller) observeEpoch(epoch fleet.LogEpoch, now time.Time) {
	if c.machine.ObserveEpoch(epoch, now) {
		c.opts.Logger.Warn("log in new epoch", "epoch", epoch, "holds", c.machine.HoldsLease(now))
	}
}

func (c *Controller) writeLease(ctx context.Context, step election.Step, began time.Time) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	epoch, err := c.opts.Lease.Write(ctx, step.Record, step.End)
	c.events <- func(c *Controller, now time.Time) { c.handleLeaseWrite(step, began, epoch, err, now) }
}

func (c *Controller) handleLeaseWrite(step election.Step, began time.Time, epoch fleet.LogEpoch, err error, now time.Time) {
	c.leaseCallPending, c.leaseWritePending = false, false
	unknown := err != nil && !errors.Is(err, fleet.ErrConflict) && !errors.Is(err, platform.ErrUnavailable)
	held := c.machine.HoldsLease(now)
	c.observeEpoch(epoch, now)
	c.machine.ObserveWrite(step.Record, step.End, began, election.WriteResult{Stored: err == nil, Unknown: unknown, Epoch: epoch}, now)
	switch {
	case err != nil:
		c.opts.Logger.Warn("lease not written", "error", err, "at", step.End, "unknown", unknown, "release", step.Record.Released)
	case epoch != step.Record.Epoch || epoch != c.machine.Epoch():
		c.opts.Logger.Warn("lease written in another epoch", "at", step.End, "decided_in", step.Record.Epoch, "epoch", epoch, "release", step.Record.Released)
	case step.Record.Released:
		c.opts.Logger.Info("lease given up", "at", step.End)
	case !held:
		c.opts.Logger.Info("lease taken", "at", step.End, "epoch", epoch)
	}
	c.publishLeader()
}

func (c *Controller) publishLeader() {
	holder, control := c.machine.Leader()
	c.leader.Store(&Leader{Holder: holder, Control: control})
}

// announceInterval is the time between announcements. They are repeated because
// they may be lost.
const announceInterval = time.Second

func (c *Controller) announce(now time.Time) {
	at := c.machine.Position()
	// After a loss, the holder may have no record until it has written the next one.
	if c.opts.Announce == nil || now.Sub(c.announcedAt) < announceInterval || at.Offset == state.NoOffset {
		return
	}
	c.announcedAt = now
	c.opts.Announce(Leader{Holder: *c.publisher.holderName.Load(), Control: c.opts.Control}, at)
}

// resign gives the lease up without a write, so that another process can take
// it at once instead of when it expires.
func (c *Controller) resign(now time.Time) {
	c.stopQuotas()
	c.resignations++
	name := fmt.Sprintf("%s+%d", c.opts.HolderName, c.resignations)
	c.opts.Logger.Warn("lease given up without a write", "unrenewed", c.machine.SinceRenewal(now), "holder", name)
	c.machine.Resign(name, now)
	c.publisher.holderName.Store(&name)
}

// SetReleaseBy sets when the release of the lease has to be over at the end of Run. Without
// it, only releaseTimeout bounds the release.
func (c *Controller) SetReleaseBy(at time.Time) { c.releaseBy.Store(&at) }

// release gives the lease up with a write, so that another process need not
// wait until it expires. It waits for a write that is on its way, and resolves an unknown
// outcome first.
func (c *Controller) release() {
	c.publisher.close()
	c.stopQuotas()
	by := time.Time{}
	if at := c.releaseBy.Load(); at != nil {
		by = *at
	}
	ctx, cancel := context.WithDeadline(context.Background(), ctxtime.EarlierDeadline(releaseTimeout, by))
	defer cancel()
	for calls := 0; c.leaseWritePending || c.machine.NeedsRelease(c.opts.Now()); {
		if !c.leaseCallPending {
			if calls++; calls > 1 {
				ctxtime.Sleep(ctx, releasePause)
			}
			now := c.opts.Now()
			c.startLeaseCall(ctx, c.machine.Next(now, true), now)
		}
		select {
		case e := <-c.events:
			e(c, c.opts.Now())
		case <-ctx.Done():
			c.opts.Logger.Warn("lease not given up in time")
			return
		}
	}
}
