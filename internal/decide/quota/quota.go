// Package quota decides on the token quotas of teams, which all gateways keep together.
// The controller's Ledger has one token bucket for each team and grants tokens; each
// gateway's Account holds what was granted to it, and the requests that wait for tokens.
// docs/design/quotas.md has the proof that a team gets no more than Config allows.
//
// The package has no clock: times are arguments, of a clock that continues while the
// host is suspended.
package quota

import (
	"cmp"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/fleet"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// Config is what a team may get. All gateways must use the same.
type Config struct {
	// Window is the time over which a team's requests are summed up. They cost at most
	// (rate x Window + burst) x (1 + Overshoot) + Slack in any window. Slack is in
	// tokens, and is not added to a quota that is counted in requests.
	Window           time.Duration
	Overshoot, Slack float64
	// Lease is how long granted tokens are valid after the start of the call that
	// requested them.
	Lease time.Duration
	// LargestRequest is up to how many tokens a request above the capacity of a bucket may
	// cost; zero stands for twice the burst. The buckets of a new controller begin with a
	// debt of what it exceeds their capacity by.
	LargestRequest float64
}

const (
	// CallTimeout bounds a call to the controller: a later answer is ignored. After a
	// takeover in a large fleet, the controller's host is busy for seconds.
	CallTimeout = 1500 * time.Millisecond
	// maxDelay bounds the delay of a grant.
	maxDelay = 300 * time.Millisecond
	// wakeMargin is how late a request may go on after the delay of its grant. Then it is
	// refused, since the controller counts its tokens as spent.
	wakeMargin = 200 * time.Millisecond
	// reserveAfter is the time after the last acknowledged exchange with a gateway from
	// which the controller reserves the gateway's part, and ownPartAfter the time after
	// the start of its last successful call from which the gateway uses it. A gateway
	// must not use its part before it is reserved and before all grants that were
	// delayed at the time have become valid, so they are CallTimeout and maxDelay
	// apart, with 100 ms to spare.
	reserveAfter = 1200 * time.Millisecond
	ownPartAfter = reserveAfter + CallTimeout + maxDelay + 100*time.Millisecond
	// partLifetime is the time after the start of a gateway's last successful call at
	// which its part ends. It covers a takeover of 4 s. A new controller reserves the
	// parts of the gateways that it has not heard from for as long, also if all of them
	// were killed, so it is not longer.
	partLifetime = 6 * time.Second
	// partsShare is the fraction of the rate that all parts have together. The rest
	// can be granted at once by a new controller, which knows no gateway.
	partsShare = 0.5
	// lateShare is the fraction of what is allowed beyond the exact quota that tokens
	// returned after their lease may use.
	lateShare = 1. / 8
	// standingShare is the fraction of it that gateways hold as standing shares.
	standingShare = 1. / 6
	// minCapacityShare and maxCapacityShare bound the capacity of a bucket, as
	// fractions of what a team may get in a window. A bucket without any capacity, or
	// without any rate, would serve almost nothing.
	minCapacityShare, maxCapacityShare = 1. / 16, 1. / 2
	// lastingShare is the fraction of a bucket's capacity up to which grants are valid on an
	// answer that takes up to CallTimeout; those beyond it are brief. takeoverShare is the
	// fraction that a new controller may have in the level and in grants together, while
	// such grants of its predecessor may be spent, and up to which its own ones become
	// lasting during that time. lastingShare and twice takeoverShare are 1 at most.
	lastingShare, takeoverShare = 1. / 2, 1. / 4
	// briefHold is how long after the start of the call a brief grant may be used. No new
	// controller grants tokens of a refill as soon after the last answer of the former one.
	briefHold = 300 * time.Millisecond
	// maxRetryAfter bounds the time after which a request is said to fit. Other
	// requests make a longer forecast meaningless.
	maxRetryAfter = 30 * time.Second
	// minRetryAfter is the shortest such time, since a caller's repetition needs a call
	// as well.
	minRetryAfter = 50 * time.Millisecond
)

// hold is the longest time from a grant for a request to the moment at which the request may
// go on.
const hold = CallTimeout + maxDelay

// limits are the parameters of a team's bucket.
type limits struct {
	// rate is in tokens per second, and capacity in tokens.
	rate, capacity float64
	// debt is how far requests above the capacity may bring the level below zero.
	debt float64
	// late is how many tokens may be returned late in a window.
	late float64
	// standing is how many tokens all gateways together hold without an end, for
	// requests that are too small to wait for a call.
	standing float64
}

// limits returns the bucket of a quota. Whatever is granted, held or returned, at most
//
//	capacity + rate x (Window + partsShare x Lease) + late + standing
//
// tokens are spent in a window, which is what the quota allows. What is left beyond the
// burst and the rate goes to the capacity and to the rate in equal parts: bursts need the
// one, and a team that asks for more than its quota all the time the other.
func (c Config) limits(q fleet.Quota) limits {
	exact := q.PerSecond*c.Window.Seconds() + q.Burst
	allowed := exact * (1 + c.Overshoot)
	if !q.PerRequest {
		allowed += c.Slack
	}
	l := limits{late: (allowed - exact) * lateShare, standing: (allowed - exact) * standingShare}
	allowed -= l.late + l.standing
	span := c.Window.Seconds() + partsShare*c.Lease.Seconds()
	spare := allowed - q.Burst - q.PerSecond*span
	l.capacity = min(max(q.Burst+min(spare, max(spare, 0)/2), allowed*minCapacityShare), allowed*maxCapacityShare)
	l.rate = (allowed - l.capacity) / span
	largest := 1.
	if !q.PerRequest {
		largest = cmp.Or(c.LargestRequest, 2*q.Burst)
	}
	l.debt = max(largest-l.capacity, 0)
	return l
}

// Largest returns how many tokens a request of a team may cost at most; one that costs more
// never fits.
func (c Config) Largest(q fleet.Quota) float64 {
	l := c.limits(q)
	return l.capacity + l.debt
}

// partRate returns the rate in tokens per second of a part.
func (l limits) partRate(part float64) float64 { return l.rate * partsShare * part }

// Ask is what a gateway requests of the controller. Its keys are short, since each of many
// gateways sends some a second.
type Ask struct {
	Gateway string `json:"g"`
	// Address is where the gateway can be reached. Another gateway with the same
	// address has ended.
	Address string `json:"d"`
	// Term is that of the controller that is asked, as far as it is known.
	Term state.FencingToken `json:"e"`
	// Seq numbers the asks of the gateway, and Acked is that of the last one whose answer
	// it has received; zero if there is none in this term.
	Seq   uint64 `json:"s"`
	Acked uint64 `json:"a,omitempty"`
	// Part is the gateway's part, from 0 to 1.
	Part float64 `json:"p,omitempty"`
	// Leaving says that the gateway uses neither its part nor any tokens any more.
	Leaving bool      `json:"x,omitempty"`
	Teams   []TeamAsk `json:"t,omitempty"`
}

// TeamAsk is what a gateway requests for a team.
type TeamAsk struct {
	Team     state.TeamName `json:"t"`
	Requests []Request      `json:"r,omitempty"`
	// Share is how many tokens the gateway wants to hold for further requests, and
	// Standing how many its standing share lacks.
	Share    float64 `json:"s,omitempty"`
	Standing float64 `json:"h,omitempty"`
	// Returned are unused tokens.
	Returned []Return `json:"b,omitempty"`
}

// Return is tokens that are returned.
type Return struct {
	Tokens float64 `json:"n"`
	// Granted is the Time of the Answer that granted them, and Earlier says that it was
	// of another term.
	Granted int64 `json:"a,omitempty"`
	Earlier bool  `json:"e,omitempty"`
	// Share says that they are of a share.
	Share bool `json:"s,omitempty"`
	// First is the Seq of the first ask that returned them, if the outcome of that one is
	// unknown; zero if this is the first. Each ask since then has returned them as well.
	First uint64 `json:"f,omitempty"`
}

// Request is a request that waits for tokens.
type Request struct {
	Cost float64 `json:"c"`
	// Wait is how long it may wait; zero is the longest delay of a grant or more.
	Wait state.Duration `json:"w,omitempty"`
}

// Answer is the controller's answer to an Ask.
type Answer struct {
	Term state.FencingToken `json:"e"`
	// Refused says that the ask was of another term or came too late, and was ignored.
	Refused bool `json:"r,omitempty"`
	// Time is the time of the answer in milliseconds, by the clock of the controller.
	Time int64 `json:"n,omitempty"`
	// Part is the gateway's part from now on.
	Part float64 `json:"p,omitempty"`
	// Teams are in the order of the ask.
	Teams []TeamAnswer `json:"t,omitempty"`
}

// TeamAnswer answers a TeamAsk. Grants are in the order of its requests.
type TeamAnswer struct {
	// Unknown says that the controller's manifest does not have the team.
	Unknown  bool    `json:"u,omitempty"`
	Grants   []Grant `json:"g,omitempty"`
	Share    float64 `json:"s,omitempty"`
	Standing float64 `json:"h,omitempty"`
	// Left is the level of the bucket after the grants, zero while it is negative.
	Left float64 `json:"l,omitempty"`
}

// Grant is the answer to a Request.
type Grant struct {
	Granted bool `json:"k,omitempty"`
	// Brief says that the grant ends briefHold after the start of the call.
	Brief bool `json:"b,omitempty"`
	// Later says that the controller is too new to grant the tokens before Delay. The request
	// may wait and be asked for again.
	Later bool `json:"l,omitempty"`
	// Delay is the time after which a granted request may be sent, or after which one
	// that was not granted would fit.
	Delay state.Duration `json:"d,omitempty"`
}

// retryAfter returns the time that it takes to gain tokens at a rate per second.
func retryAfter(tokens, rate float64) time.Duration {
	return max(seconds(tokens/rate, maxRetryAfter), minRetryAfter)
}

// seconds returns a number of seconds, at most the given limit.
func seconds(s float64, limit time.Duration) time.Duration {
	if s >= limit.Seconds() {
		return limit
	}
	return time.Duration(s * float64(time.Second))
}
