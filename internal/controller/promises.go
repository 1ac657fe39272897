package controller

import (
	"context"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

const (
	// overdue is how much longer than usual a holder has failed to renew its
	// lease before it asks the other gateways for promises.
	overdue = 200 * time.Millisecond
	// cutAfter is how much longer than usual it has failed to renew before it
	// may resign, and reachedFor how long another gateway must have reached the
	// store meanwhile: at the end of an outage, the holder may be the next.
	cutAfter   = writeTimeout + 100*time.Millisecond
	reachedFor = 300 * time.Millisecond
	// startSlack is how late the first try to renew a lease may begin.
	startSlack = 2 * tick
	// promiseWait bounds the wait for the goroutine of Run.
	promiseWait = 100 * time.Millisecond
)

// promiseTable holds the other gateways' word of the lease and the store while
// the holder can't renew its lease. While nobody can write to the store, nobody
// can take the lease; promises make sure of it, so that orders go on in an
// outage. It belongs to the goroutine of Run.
type promiseTable map[string]*gatewayPromise

// gatewayPromise is a gateway's word. Its life begins with the first question of
// the gateway; it ends, while the lease is renewed, once the gateway has been
// silent for as long as a lease lasts.
type gatewayPromise struct {
	// address is where the gateway takes notices; empty for none.
	address string
	heard   time.Time
	// promised is from when on the gateway leaves the lease alone for TTL; zero
	// if it does not.
	promised time.Time
	// reached is when the holder learned that the gateway has read from the
	// store since the holder tried to renew its lease; zero if it has not.
	reached time.Time
}

// heardPromise takes a gateway's word. A promise to another holder bears a time
// of that one's clock, and does not count.
func (c *Controller) heardPromise(params rpc.ResidencyParams, now time.Time) {
	p, ok := c.promises[params.Gateway]
	if !ok {
		p = &gatewayPromise{address: params.Peer.NoticeAddress}
		c.promises[params.Gateway] = p
		c.promises.replaced(params.Gateway, p.address)
	}
	p.heard = now
	if token, holds := c.machine.MayAct(now); !holds || token != params.Term {
		return
	}
	if params.Promised != 0 {
		p.promised = time.Unix(0, params.Promised)
	}
	if p.reached.IsZero() && params.StoreAge.Std() < c.late(now)-startSlack {
		p.reached = now
	}
}

// late returns for how long the holder has tried to renew its lease.
func (c *Controller) late(now time.Time) time.Duration {
	return c.machine.SinceRenewal(now) - c.opts.Election.Renew
}

// replaced drops the processes before a gateway at its address: they have ended.
func (t promiseTable) replaced(gateway, address string) {
	for name, p := range t {
		if address != "" && p.address == address && name != gateway {
			delete(t, name)
		}
	}
}

// renewed forgets what was said while the lease could not be renewed.
func (t promiseTable) renewed(silence time.Duration, now time.Time) {
	for name, p := range t {
		p.promised, p.reached = time.Time{}, time.Time{}
		if now.Sub(p.heard) > silence {
			delete(t, name)
		}
	}
}

// since returns from when on all other gateways have promised to leave the lease
// alone; zero if one has not, or has reached the store, so that a gateway unknown
// here might write there. Without other gateways nobody promises.
func (t promiseTable) since(self string) time.Time {
	soonest := time.Time{}
	for name, p := range t {
		switch {
		case name == self:
		case p.promised.IsZero() || !p.reached.IsZero():
			return time.Time{}
		case soonest.IsZero() || p.promised.Before(soonest):
			soonest = p.promised
		}
	}
	return soonest
}

// reached reports whether another gateway has reached the store for a while.
func (t promiseTable) reached(self string, now time.Time) bool {
	for name, p := range t {
		if name != self && !p.reached.IsZero() && now.Sub(p.reached) >= reachedFor {
			return true
		}
	}
	return false
}

// stepPromises has a holder that can't renew its lease go by the promises of the
// other gateways, or resign if one of them could hold the lease instead. A new
// holder does not know all gateways yet.
func (c *Controller) stepPromises(now time.Time) {
	late := c.late(now)
	if !c.acting || late < overdue {
		c.asks.Store(false)
		c.promises.renewed(c.opts.Election.TTL, now)
		return
	}
	c.asks.Store(true)
	if late >= cutAfter && c.promises.reached(c.opts.HolderName, now) {
		c.resign(now)
		return
	}
	if now.Sub(c.actingSince) < 2*c.opts.Election.TTL {
		return
	}
	since := c.promises.since(c.opts.HolderName)
	if extended := !since.IsZero(); extended != c.extended {
		c.extended = extended
		c.opts.Logger.Info("lease held by promises", "held", extended, "unrenewed", c.machine.SinceRenewal(now), "gateways", len(c.promises))
	}
	c.machine.SetPromisedAt(since)
}

// Promise asks this process not to take the lease of the holder that has answered
// so, and reports whether it agrees.
func (c *Controller) Promise(ctx context.Context, at state.Offset) bool {
	agreed := make(chan bool, 1)
	c.post(func(c *Controller, now time.Time) {
		// A write under way may be of this process's own lease.
		agreed <- !c.writing && c.machine.Promise(at, now)
	})
	select {
	case ok := <-agreed:
		return ok
	case <-time.After(promiseWait):
		return false
	case <-ctx.Done():
		return false
	}
}
