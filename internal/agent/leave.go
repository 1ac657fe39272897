package agent

import (
	"context"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/verdict"
)

// leaveReason says why an agent stops; higher ones do more.
type leaveReason int

const (
	leaveSuperseded leaveReason = iota + 1
	leaveStop
	// leaveHost also unloads everything and gives the grants back.
	leaveHost
)

const (
	leavePoll = 20 * time.Millisecond
)

// The shares of the settle time, in percent, by which the steps after the drain have ended.
// What is left after the last is for the last push of metrics.
const (
	runsShare        = 25
	unloadsShare     = 40
	ordersShare      = 60
	connectionsShare = 70
	recordsShare     = 85
)

// leave starts the shutdown. Any goroutine may call it.
func (a *Agent) leave(why leaveReason) {
	select {
	case a.leaving <- why:
	default:
	}
}

// shutDown ends the agent's work: no new work from now on, then running work
// and the unloads of a host that leaves within the shutdown timeout, then what
// is left, orders and the last records within the settle time.
func (a *Agent) shutDown(c *control, why leaveReason) {
	drained := time.Now().Add(time.Duration(a.drainTime.Load()))
	a.deps.Logger.Info("leaving", "upstream", a.cfg.Upstream.Name, "host_leaving", why == leaveHost)
	_ = c.ask(c.ctx, func() {
		c.leaving = true
		c.publish()
	})
	a.dispatcher.close(verdict.Refuse(verdict.ReasonDraining, "the upstream is leaving"))
	idle := func() bool { return a.dispatcher.running.Load() == 0 }
	left := func() bool { return c.account.Left() }
	leavesHost := why == leaveHost && c.account != nil
	finished := a.await(c.ctx, drained, idle)
	if finished && leavesHost {
		_ = c.ask(c.ctx, func() { c.account.Leave() })
		a.awaitControl(c, drained, left)
	}
	stop := &a.stopping
	stop.Begin(time.Duration(a.settleTime.Load()))
	if !finished {
		a.deps.Logger.Warn("ending work that still runs", "requests", a.dispatcher.running.Load())
	}
	a.endRuns()
	a.await(c.ctx, stop.DeadlineAt(runsShare), idle)
	if c.account == nil {
		return
	}
	if leavesHost {
		_ = c.ask(c.ctx, func() { c.account.Leave() })
		a.awaitControl(c, stop.DeadlineAt(unloadsShare), left)
	}
	_ = c.ask(c.ctx, func() { c.account.Stop() })
	if !a.awaitControl(c, stop.DeadlineAt(ordersShare), func() bool { return c.account.Stopped() }) {
		a.deps.Logger.Warn("leaving before all orders and records were confirmed")
	}
}

// RecordsBy returns until when the last records of a planned stop may be
// written, or the zero time before the end of its drain.
func (a *Agent) RecordsBy() time.Time { return a.stopping.DeadlineAt(recordsShare) }

// StopBy returns when a planned stop has to be over, or the zero time.
func (a *Agent) StopBy() time.Time { return a.stopping.DeadlineAt(100) }

// await polls until done or until the given time.
func (a *Agent) await(ctx context.Context, by time.Time, done func() bool) bool {
	timer := time.NewTimer(time.Until(by))
	defer timer.Stop()
	ticker := time.NewTicker(leavePoll)
	defer ticker.Stop()
	for !done() {
		select {
		case <-ticker.C:
		case <-timer.C:
			return done()
		case <-ctx.Done():
			return false
		}
	}
	return true
}

// awaitControl is await for a condition of the control goroutine.
func (a *Agent) awaitControl(c *control, by time.Time, done func() bool) bool {
	return a.await(c.ctx, by, func() bool {
		ok := false
		_ = c.ask(c.ctx, func() { ok = done() })
		return ok
	})
}
