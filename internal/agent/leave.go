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

// leave starts the shutdown. Any goroutine may call it.
func (a *Agent) leave(why leaveReason) {
	select {
	case a.leaving <- why:
	default:
	}
}

// shutDown ends the agent's work: no new work from now on, then running work
// within the shutdown timeout, then orders and the last records.
func (a *Agent) shutDown(c *control, why leaveReason) {
	a.deps.Logger.Info("leaving", "upstream", a.cfg.Upstream.Name, "host_leaving", why == leaveHost)
	_ = c.ask(c.ctx, func() {
		c.leaving = true
		c.publish()
	})
	a.dispatcher.close(verdict.Refuse(verdict.ReasonDraining, "the upstream is leaving"))
	finished := a.await(c.ctx, time.Duration(a.drainTime.Load()), func() bool { return a.dispatcher.running.Load() == 0 })
	if !finished {
		a.deps.Logger.Warn("ending work that still runs", "requests", a.dispatcher.running.Load())
	}
	a.endRuns()
	a.await(c.ctx, time.Duration(a.settleTime.Load()), func() bool { return a.dispatcher.running.Load() == 0 })
	if c.account == nil {
		return
	}
	if why == leaveHost {
		_ = c.ask(c.ctx, func() { c.account.Leave() })
		a.awaitControl(c, time.Duration(a.drainTime.Load()), func() bool { return c.account.Left() })
	}
	_ = c.ask(c.ctx, func() { c.account.Stop() })
	a.awaitControl(c, time.Duration(a.settleTime.Load()), func() bool { return c.account.Stopped() })
}

// await polls until done or for the given time.
func (a *Agent) await(ctx context.Context, limit time.Duration, done func() bool) bool {
	timer := time.NewTimer(limit)
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
func (a *Agent) awaitControl(c *control, limit time.Duration, done func() bool) {
	reached := a.await(c.ctx, limit, func() bool {
		ok := false
		_ = c.ask(c.ctx, func() { ok = done() })
		return ok
	})
	if !reached {
		a.deps.Logger.Warn("leaving before all orders and records were confirmed")
	}
}
