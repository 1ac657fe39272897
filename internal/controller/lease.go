package controller

import (
	"context"
	"fmt"
	"time"

	"github.com/go-faster/errors"

	"github.com/lagoonvalve/lagoonvalve/internal/decide/election"
	"github.com/lagoonvalve/lagoonvalve/internal/fleet"
	"github.com/lagoonvalve/lagoonvalve/internal/platform"
)

// releaseTimeout bounds the write that gives the lease up at the end.
const releaseTimeout = 500 * time.Millisecond

// writeTimeout bounds the wait for the answer to a write of the lease. Whether a
// write without an answer was stored is then read, which takes less time than
// to wait for an answer that was lost.
const writeTimeout = 400 * time.Millisecond

// stepLease starts the next call to the lease store. One is under way at a
// time.
func (c *Controller) stepLease(ctx context.Context, now time.Time) {
	if c.leaseBusy {
		return
	}
	step := c.machine.Next(now, false)
	switch step.Action {
	case election.Read:
		if now.Sub(c.lastRead) < readPace {
			return
		}
		c.lastRead, c.leaseBusy = now, true
		go c.readLease(ctx)
	case election.Write:
		c.leaseBusy, c.writing = true, true
		go c.writeLease(ctx, step, now)
	case election.Wait:
	}
}

func (c *Controller) readLease(ctx context.Context) {
	record, at, end, err := c.opts.Lease.Read(ctx)
	c.events <- func(c *Controller, now time.Time) {
		c.leaseBusy = false
		if err != nil {
			c.opts.Logger.Warn("lease not read", "error", err)
			return
		}
		before := c.Leader()
		c.machine.ObserveRead(record, at, end, now)
		c.publishLeader()
		if leader := c.Leader(); leader != before {
			c.opts.Logger.Info("controller known", "holder", leader.Holder, "address", leader.Control, "offset", at)
		}
	}
}

func (c *Controller) writeLease(ctx context.Context, step election.Step, began time.Time) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	err := c.opts.Lease.Write(ctx, step.Record, step.End)
	c.events <- func(c *Controller, now time.Time) { c.wroteLease(step, began, err, now) }
}

func (c *Controller) wroteLease(step election.Step, began time.Time, err error, now time.Time) {
	c.leaseBusy, c.writing = false, false
	unknown := err != nil && !errors.Is(err, fleet.ErrConflict) && !errors.Is(err, platform.ErrUnavailable)
	held := c.machine.HoldsLease(now)
	c.machine.ObserveWrite(step.Record, step.End, began, err == nil, unknown, now)
	if err != nil {
		c.opts.Logger.Warn("lease not written", "error", err, "at", step.End, "unknown", unknown)
	} else if !held {
		c.opts.Logger.Info("lease taken", "at", step.End)
	}
	c.publishLeader()
}

func (c *Controller) publishLeader() {
	holder, control := c.machine.Leader()
	c.leader.Store(&Leader{Holder: holder, Control: control})
}

// announceEvery is the time between announcements, which may be lost.
const announceEvery = time.Second

func (c *Controller) announce(now time.Time) {
	if c.opts.Announce == nil || now.Sub(c.announced) < announceEvery {
		return
	}
	c.announced = now
	c.opts.Announce(Leader{Holder: *c.shown.holder.Load(), Control: c.opts.Control}, c.machine.Offset())
}

// resign gives the lease up without a write, so that another process can take it
// at once instead of after its end.
func (c *Controller) resign(now time.Time) {
	c.resigned++
	name := fmt.Sprintf("%s+%d", c.opts.HolderName, c.resigned)
	c.opts.Logger.Warn("lease given up without a write", "unrenewed", c.machine.SinceRenewal(now), "holder", name)
	c.machine.Resign(name, now)
	c.shown.holder.Store(&name)
}

// release gives the lease up so that another process need not wait for its end.
func (c *Controller) release() {
	c.shown.close()
	now := c.opts.Now()
	step := c.machine.Next(now, true)
	if step.Action != election.Write || c.leaseBusy {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	err := c.opts.Lease.Write(ctx, step.Record, step.End)
	c.opts.Logger.Info("lease given up", "at", step.End, "error", err)
}
