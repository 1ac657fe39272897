package quota

import (
	"math"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/fleet"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// ringSlots is the number of slots of a ring.
const ringSlots = 9

// ring sums up amounts of the recent past, in slots of equal length.
type ring struct {
	slots [ringSlots]float64
	// newest is the number of the newest slot, counted from the zero time.
	newest int64
}

func (r *ring) advance(now time.Time, slot time.Duration) {
	n := now.UnixNano() / int64(slot)
	if n-r.newest >= ringSlots {
		r.slots, r.newest = [ringSlots]float64{}, n
	}
	for r.newest < n {
		r.newest++
		r.slots[r.newest%ringSlots] = 0
	}
}

func (r *ring) add(amount float64, now time.Time, slot time.Duration) {
	r.advance(now, slot)
	r.slots[r.newest%ringSlots] += amount
}

// remove takes back an amount that was added at a time.
func (r *ring) remove(amount float64, at, now time.Time, slot time.Duration) {
	r.advance(now, slot)
	if n := at.UnixNano() / int64(slot); r.newest-n < ringSlots {
		r.slots[n%ringSlots] = max(r.slots[n%ringSlots]-amount, 0)
	}
}

// addBack adds an amount that came up to now at no less than a rate per second. Each part
// of it counts for the latest time at which it may have come, or an earlier one.
func (r *ring) addBack(amount, rate float64, now time.Time, slot time.Duration) {
	r.advance(now, slot)
	length := time.Duration(now.UnixNano() % int64(slot))
	for back := int64(0); back < ringSlots && amount > 0; back++ {
		part := min(amount, rate*length.Seconds())
		r.slots[(r.newest-back+ringSlots)%ringSlots] += part
		amount -= part
		length = slot
	}
}

func (r *ring) sum(now time.Time, slot time.Duration) float64 {
	r.advance(now, slot)
	total := 0.
	for _, amount := range r.slots {
		total += amount
	}
	return total
}

// bucket is the token bucket of a team. Its level is negative while delayed grants are
// not valid yet, and after a request that exceeds the capacity.
type bucket struct {
	quota fleet.Quota
	limits
	level float64
	// refilledAt is the Ledger's refill time at which level was computed.
	refilledAt float64
	// granted are the tokens that were granted for requests and may not have been spent,
	// leased those of shares, and overflow those that found no room in the bucket during
	// the window.
	granted, leased, overflow ring
	// late is how many tokens may be returned late, as of lateAt.
	late   float64
	lateAt time.Time
	usedAt time.Time
	// since is when the controller began to act, zero for the first one of all.
	since time.Time
	// refused are the costs of refused requests that have been told to come again, less
	// the refill since, as of refusedAt. Without them, all are told to come at the same
	// moment, and most are refused again.
	refused   float64
	refusedAt time.Time
}

// grantedSlot is the length of a slot of bucket.granted. The ring covers hold and up to one
// slot more, so that it never lacks a grant.
const grantedSlot = hold / (ringSlots - 1)

// leasedSlot returns the length of a slot of bucket.leased, which covers the lease.
func (c Config) leasedSlot() time.Duration { return c.Lease / (ringSlots - 1) }

// overflowSlot returns the length of a slot of bucket.overflow. The ring covers the
// window less up to one slot, so that it never has an overflow from before.
func (c Config) overflowSlot() time.Duration { return c.Window / ringSlots }

// afterTakeover reports whether grants of an earlier controller may still be spent, and returns how
// much of that time has passed, from 0 to 1.
func (b *bucket) afterTakeover(now time.Time) (passed float64, recent bool) {
	passed = now.Sub(b.since).Seconds() / hold.Seconds()
	return min(passed, 1), passed < 1
}

// outstanding returns what gateways may hold of grants and leased shares.
func (b *bucket) outstanding(c Config, now time.Time) float64 {
	return b.granted.sum(now, grantedSlot) + b.leased.sum(now, c.leasedSlot())
}

// most returns the largest sum of the level and what is outstanding.
func (b *bucket) most(now time.Time) float64 {
	if _, recent := b.afterTakeover(now); recent {
		return b.capacity * takeoverShare
	}
	return b.capacity
}

// lasting returns up to how much may be outstanding of grants that are not brief.
func (b *bucket) lasting(now time.Time) float64 {
	if passed, recent := b.afterTakeover(now); recent {
		return b.capacity * takeoverShare * passed
	}
	return b.capacity * lastingShare
}

// limit returns the highest level.
func (b *bucket) limit(c Config, now time.Time) float64 {
	return b.most(now) - b.outstanding(c, now)
}

// add raises the level as far as there is room, and returns what found none.
func (b *bucket) add(c Config, tokens float64, now time.Time) (rest float64) {
	level := min(b.level+tokens, max(b.limit(c, now), b.level))
	rest = b.level + tokens - level
	b.level = level
	return rest
}

// refill adds the tokens up to a refill time of the Ledger.
func (b *bucket) refill(c Config, until float64, now time.Time) {
	rest := b.add(c, b.rate*(until-b.refilledAt), now)
	b.overflow.addBack(rest, b.rate*(1-partsShare), now, c.overflowSlot())
	b.refilledAt, b.usedAt = until, now
}

// take debits the tokens of a request.
func (b *bucket) take(tokens float64, now time.Time) {
	b.level -= tokens
	b.granted.add(tokens, now, grantedSlot)
}

// spend records that the tokens of a request that were granted at a time have arrived: the
// request has gone on with them.
func (b *bucket) spend(tokens float64, grantedAt, now time.Time) {
	b.granted.remove(tokens, grantedAt, now, grantedSlot)
}

// grant decides on a request. Refill is the current rate in tokens per second. A request
// above the capacity needs what the bucket holds and what has overflowed in the window, up
// to the debt that a later controller begins with.
func (b *bucket) grant(c Config, cost float64, wait time.Duration, refill float64, now time.Time) Grant {
	missing := cost - b.level
	if cost > b.capacity {
		missing -= min(b.overflow.sum(now, c.overflowSlot()), b.debt)
	}
	lasting := b.outstanding(c, now)+cost <= b.lasting(now)
	if missing <= 0 {
		b.take(cost, now)
		return Grant{Granted: true, Brief: !lasting}
	}
	if d := seconds(missing/refill, maxRetryAfter); lasting && d <= min(wait, maxDelay) {
		b.take(cost, now)
		return Grant{Granted: true, Delay: state.Duration(roundUp(d))}
	}
	if _, recent := b.afterTakeover(now); recent {
		delay := retryAfter(missing, refill)
		if cost > b.most(now) {
			delay = max(delay, b.since.Add(hold).Sub(now))
		}
		return Grant{Later: true, Delay: state.Duration(roundUp(delay))}
	}
	return Grant{Delay: state.Duration(roundUp(b.retryAfter(c, cost, missing, refill, now)))}
}

// retryAfter returns when a request would fit that misses some tokens, behind those that
// were refused before it. While leased tokens leave no room for its cost in the bucket, the
// refill is dropped.
func (b *bucket) retryAfter(c Config, cost, missing, refill float64, now time.Time) time.Duration {
	b.refused = max(b.refused-now.Sub(b.refusedAt).Seconds()*refill, 0)
	b.refusedAt = now
	after := retryAfter(missing+b.refused, refill)
	b.refused = min(b.refused+cost, refill*maxQueuedRetry.Seconds())
	if b.limit(c, now) < min(cost, b.capacity) {
		after += hold
	}
	return after
}

// maxQueuedRetry bounds how far refused requests are spread.
const maxQueuedRetry = 4 * time.Second

// share grants tokens for requests to come, from what is left for the gateways together.
func (b *bucket) share(c Config, want float64, now time.Time) float64 {
	granted := math.Floor(max(min(want, b.level*maxShare, b.lasting(now)-b.outstanding(c, now)), 0))
	if granted > 0 {
		b.level -= granted
		b.leased.add(granted, now, c.leasedSlot())
	}
	return granted
}

// giveStanding grants tokens for the standing share of a gateway with a part. They are
// not leased, so granted does not have them.
func (b *bucket) giveStanding(want, part float64) float64 {
	granted := math.Floor(max(min(want, part*b.standing, b.level), 0))
	b.level -= granted
	return granted
}

// maxShare is the largest fraction of a bucket's level that one gateway gets to hold.
const maxShare = 1. / 8

// giveBack adds returned tokens that were granted at a time within the last hold. Those of a
// request have arrived, so granted lacks them already, or has them for longer than need be.
func (b *bucket) giveBack(c Config, r Return, grantedAt, now time.Time) {
	if r.Share {
		b.leased.remove(r.Tokens, grantedAt, now, c.leasedSlot())
	}
	b.add(c, r.Tokens, now)
}

// giveBackLate adds returned tokens that were granted earlier: they count for another
// window than the requests that get them, so their number is limited.
func (b *bucket) giveBackLate(c Config, tokens float64, now time.Time) {
	perSecond := b.limits.late / 2 / c.Window.Seconds()
	b.late = min(b.late+now.Sub(b.lateAt).Seconds()*perSecond, b.limits.late/2)
	b.lateAt = now
	tokens = min(tokens, b.late)
	b.late -= tokens
	b.add(c, tokens, now)
}

// setQuota applies a changed quota: more capacity adds the difference to the level, less
// truncates the level.
func (b *bucket) setQuota(c Config, q fleet.Quota, now time.Time) {
	if b.quota == q {
		return
	}
	before := b.capacity
	b.quota, b.limits = q, c.limits(q)
	b.level = min(b.level+max(b.capacity-before, 0), b.capacity, max(b.limit(c, now), b.level))
}

// valid reports whether a number of tokens of a message can be computed with.
func valid(tokens float64) bool { return tokens >= 0 && tokens <= math.MaxInt64 }
