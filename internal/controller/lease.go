package controller

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/lagoonvalve/lagoonvalve/internal/decide/election"
	"github.com/lagoonvalve/lagoonvalve/internal/fleet"
	"github.com/lagoonvalve/lagoonvalve/internal/platform"
)

// releaseTimeout bounds the write that gives the lease up at the end.
const releaseTimeout = 500 * time.Millisecond

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
		c.leaseBusy = true
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
		before := c.machine.Leader()
		c.machine.Observed(record, at, end, now)
		if leader := c.machine.Leader(); leader != before {
			c.opts.Logger.Info("controller known", "address", leader, "offset", at)
		}
		c.publishLeader()
	}
}

func (c *Controller) writeLease(ctx context.Context, step election.Step, began time.Time) {
	err := c.opts.Lease.Write(ctx, step.Record, step.End)
	c.events <- func(c *Controller, now time.Time) { c.wroteLease(step, began, err, now) }
}

func (c *Controller) wroteLease(step election.Step, began time.Time, err error, now time.Time) {
	c.leaseBusy = false
	unknown := err != nil && !errors.Is(err, fleet.ErrConflict) && !errors.Is(err, platform.ErrUnavailable)
	held := c.machine.Elected(now)
	c.machine.Written(step.Record, step.End, began, err == nil, unknown, now)
	if err != nil {
		c.opts.Logger.Warn("lease not written", "error", err, "at", step.End, "unknown", unknown)
	} else if !held {
		c.opts.Logger.Info("lease taken", "at", step.End)
	}
	c.publishLeader()
}

func (c *Controller) publishLeader() {
	leader := c.machine.Leader()
	c.leader.Store(&leader)
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
