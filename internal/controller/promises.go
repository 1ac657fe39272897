package controller

import (
	"context"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/fleet"
	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
)

const (
	// askPromisesAfter is how long the renewal of the lease must be overdue
	// before the holder requests promises from the other gateways.
	askPromisesAfter = 200 * time.Millisecond
	// resignAfter is how long the renewal must be overdue before the holder may
	// resign, and minStoreReach how long ago another gateway must have reported
	// that it reaches the store: at the end of an outage, the holder may be the
	// next to reach it.
	resignAfter   = writeTimeout + 100*time.Millisecond
	minStoreReach = 300 * time.Millisecond
	// renewalStartSlack is how long after its due time the first attempt to
	// renew the lease may start.
	renewalStartSlack = 2 * planInterval
	// promiseTimeout bounds the wait for the goroutine of Run.
	promiseTimeout = 100 * time.Millisecond
)

// promiseTable holds the promises of the other gateways, by name, and
// whether they reach the store while the holder can't renew its lease. While
// nobody can write to the store, nobody can take the lease, so orders may
// continue during an outage; promises of all other gateways not to take the
// lease ensure that this holds. The table belongs to the goroutine of Run.
type promiseTable map[string]*gatewayPromise

// gatewayPromise is the state of one gateway. It is added at the gateway's
// first request, and removed while the lease is renewed once the gateway has
// sent nothing for the lease's TTL.
type gatewayPromise struct {
	// address is where the gateway receives notices; empty if it receives none.
	address    string
	lastReport time.Time
	// promisedAt is the time from which the gateway has promised not to take
	// the lease for TTL; zero if it has not.
	promisedAt time.Time
	// reachedStoreAt is when the gateway reported that it has read from
	// the store after the holder's first attempt to renew the lease; zero if it
	// has not.
	reachedStoreAt time.Time
}

// recordPromise records the promise and the store access that a gateway reports
// with a request. A promise to another holder is ignored, since its time comes
// from that holder's clock.
func (c *Controller) recordPromise(params rpc.ResidencyParams, now time.Time) {
	p, ok := c.promises[params.Gateway]
	if !ok {
		p = &gatewayPromise{address: params.Peer.NoticeAddress}
		c.promises[params.Gateway] = p
		c.promises.dropPredecessors(params.Gateway, p.address)
	}
	p.lastReport = now
	if token, holds := c.machine.MayAct(now); !holds || token != params.Term {
		return
	}
	if params.Promised != 0 {
		p.promisedAt = time.Unix(0, params.Promised)
	}
	if p.reachedStoreAt.IsZero() && params.StoreAge.Std() < c.renewalDelay(now)-renewalStartSlack {
		p.reachedStoreAt = now
	}
}

// renewalDelay returns for how long the renewal of the lease has been due.
func (c *Controller) renewalDelay(now time.Time) time.Duration {
	return c.machine.SinceRenewal(now) - c.opts.Election.Renew
}

// dropPredecessors removes earlier processes at the address of a gateway: they
// have ended.
func (t promiseTable) dropPredecessors(gateway, address string) {
	for name, p := range t {
		if address != "" && p.address == address && name != gateway {
			delete(t, name)
		}
	}
}

// reset clears the promises and store accesses once the lease is renewed, and
// removes the gateways that have sent nothing for maxSilence.
func (t promiseTable) reset(maxSilence time.Duration, now time.Time) {
	for name, p := range t {
		p.promisedAt, p.reachedStoreAt = time.Time{}, time.Time{}
		if now.Sub(p.lastReport) > maxSilence {
			delete(t, name)
		}
	}
}

// oldest returns the time of the oldest promise if all other gateways have
// promised not to take the lease. It returns zero if one has not, or if one
// reaches the store, since a gateway that is not in the table might then write
// there too. It is also zero if there are no other gateways.
func (t promiseTable) oldest(self string) time.Time {
	oldest := time.Time{}
	for name, p := range t {
		switch {
		case name == self:
		case p.promisedAt.IsZero() || !p.reachedStoreAt.IsZero():
			return time.Time{}
		case oldest.IsZero() || p.promisedAt.Before(oldest):
			oldest = p.promisedAt
		}
	}
	return oldest
}

// storeReached reports whether another gateway reported at least minStoreReach
// ago that it reaches the store.
func (t promiseTable) storeReached(self string, now time.Time) bool {
	for name, p := range t {
		if name != self && !p.reachedStoreAt.IsZero() && now.Sub(p.reachedStoreAt) >= minStoreReach {
			return true
		}
	}
	return false
}

// stepPromises handles an overdue renewal: the promises of the other gateways
// extend the lease, or the holder resigns if another gateway could hold the
// lease instead. A new holder does not use promises for two TTLs, since it has
// no complete record of the gateways yet.
func (c *Controller) stepPromises(now time.Time) {
	overdue := c.renewalDelay(now)
	if !c.acting || overdue < askPromisesAfter {
		c.asksForPromises.Store(false)
		c.promises.reset(c.opts.Election.TTL, now)
		return
	}
	c.asksForPromises.Store(true)
	if overdue >= resignAfter && c.promises.storeReached(c.opts.HolderName, now) {
		c.resign(now)
		return
	}
	if now.Sub(c.actingSince) < 2*c.opts.Election.TTL {
		return
	}
	promisedAt := c.promises.oldest(c.opts.HolderName)
	if held := !promisedAt.IsZero(); held != c.heldByPromises {
		c.heldByPromises = held
		c.opts.Logger.Info("lease held by promises", "held", held, "unrenewed", c.machine.SinceRenewal(now), "gateways", len(c.promises))
	}
	c.machine.SetPromisedAt(promisedAt)
}

// Promise requests, for the holder whose lease record is at a position, that
// this process not take the lease for TTL from now on. It reports whether the
// process agrees.
func (c *Controller) Promise(ctx context.Context, at fleet.LogPosition) bool {
	agreed := make(chan bool, 1)
	c.post(func(c *Controller, now time.Time) {
		// A write in progress may take the lease for this process.
		agreed <- !c.leaseWritePending && c.machine.Promise(at, now)
	})
	select {
	case ok := <-agreed:
		return ok
	case <-time.After(promiseTimeout):
		return false
	case <-ctx.Done():
		return false
	}
}
