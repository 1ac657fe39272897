package quota

import (
	"math"
	"slices"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

const (
	// keepAlive is the longest time between two asks of a gateway that has no requests.
	// The controller reserves the part of a gateway if two of them are missing.
	keepAlive = 500 * time.Millisecond
	// minAskInterval is the shortest time between the starts of two asks. Requests that
	// arrive meanwhile share one.
	minAskInterval = 2 * time.Millisecond
	// failedAskDelay is the delay after an ask that failed. It doubles with each further
	// one up to maxFailedAskDelay: a controller whose link or host is overloaded would get
	// more asks the fewer it answers.
	failedAskDelay    = 50 * time.Millisecond
	maxFailedAskDelay = 800 * time.Millisecond
	// minShareRequests is how many requests of a team a gateway must expect within a
	// lease to hold a share for them. A share for fewer is mostly returned.
	minShareRequests = 3
)

// asked is what was requested for a team.
type asked struct {
	team     *teamAccount
	requests []*Ticket
}

// askDue returns when the next ask is due.
func (a *Account) askDue(now time.Time) time.Time {
	due := a.askedAt.Add(keepAlive)
	if a.confirm || len(a.waiting) > 0 {
		due = now
	}
	if due.Before(a.nextAsk) {
		return a.nextAsk
	}
	return due
}

// Ask returns what to request of the controller now. It returns false if no ask is due or
// one is in progress. Succeed or Fail ends it.
func (a *Account) Ask(now time.Time) (Ask, bool) {
	if a.calling || a.askDue(now).After(now) {
		return Ask{}, false
	}
	a.calling, a.confirm, a.askedAt, a.nextAsk = true, false, now, now.Add(minAskInterval)
	a.seq++
	a.part = a.partAt(now)
	ask := Ask{Gateway: a.name, Address: a.address, Term: a.term, Seq: a.seq, Acked: a.acked, Part: a.part}
	a.inFlight = a.inFlight[:0]
	for t := range a.waiting {
		ask.Teams = append(ask.Teams, a.askFor(t, now))
	}
	for t := range a.returning {
		if t.askedBy != a.seq && len(t.returns)+len(t.unconfirmed) > 0 {
			ask.Teams = append(ask.Teams, a.askFor(t, now))
		}
	}
	for t := range a.lacking {
		if t.askedBy != a.seq && a.lacks(t) > 0 {
			ask.Teams = append(ask.Teams, a.askFor(t, now))
		}
	}
	clear(a.returning)
	clear(a.lacking)
	return ask, true
}

func (a *Account) askFor(t *teamAccount, now time.Time) TeamAsk {
	if t.share > 0 && !now.Before(t.shareUntil) {
		a.giveBack(t, t.share, t.shareFrom)
		t.share = 0
	}
	t.askedBy = a.seq
	ask := TeamAsk{Team: t.name, Standing: a.lacks(t)}
	ask.Returned = a.returnAll(t)
	t.decay(now)
	if t.requests*a.config.Lease.Seconds() >= minShareRequests {
		if want := t.costs * a.config.Lease.Seconds(); t.share < want/2 && len(t.queue) > 0 {
			ask.Share = math.Floor(want)
		}
	}
	tickets := slices.Clone(t.queue)
	for _, ticket := range tickets {
		ask.Requests = append(ask.Requests, Request{Cost: ticket.Cost, Wait: waitOf(ticket.latest.Sub(now))})
	}
	a.inFlight = append(a.inFlight, asked{team: t, requests: tickets})
	return ask
}

// waitOf returns the longest wait of a request as an ask has it.
func waitOf(left time.Duration) state.Duration {
	if left >= maxDelay {
		return 0
	}
	return state.Duration(max(left.Truncate(time.Millisecond), time.Millisecond))
}

// Leave returns the last ask of a gateway that stops.
func (a *Account) Leave() Ask {
	a.seq++
	ask := Ask{Gateway: a.name, Address: a.address, Term: a.term, Seq: a.seq, Acked: a.acked, Part: a.part, Leaving: true}
	a.part = 0
	return ask
}

// Fail ends an ask without an answer.
func (a *Account) Fail(now time.Time) {
	a.calling = false
	a.returnAgain()
	a.nextAsk = now.Add(min(failedAskDelay<<min(a.failures, maxDoublings), maxFailedAskDelay))
	a.failures++
	a.Step(now)
}

// maxDoublings keeps the delay of failed asks from overflowing.
const maxDoublings = 10

// Succeed applies the answer to the ask that began at a time.
func (a *Account) Succeed(answer Answer, began, now time.Time) {
	a.calling = false
	if answer.Refused || answer.Term != a.term || len(answer.Teams) != len(a.inFlight) || now.Sub(began) > CallTimeout {
		a.returnAgain()
		if answer.Term > a.term {
			a.forgetReturns()
			a.term, a.acked, a.confirm = answer.Term, 0, true
		} else {
			a.nextAsk = now.Add(failedAskDelay)
		}
		a.Step(now)
		return
	}
	a.confirm = a.acked == 0
	a.failures = 0
	a.acked, a.part, a.succeededAt = a.seq, answer.Part, began
	for i, one := range a.inFlight {
		a.apply(one, answer.Teams[i], origin{term: a.term, at: answer.Time}, began, now)
	}
	a.Step(now)
}

// askAgain delays the next ask up to the earliest time at which a request may get its tokens.
func (a *Account) askAgain(at, now time.Time) {
	if !a.nextAsk.After(now) || at.Before(a.nextAsk) {
		a.nextAsk = at
	}
}

// apply applies the answer for a team. Tokens for requests that have ended meanwhile are
// returned.
func (a *Account) apply(one asked, answer TeamAnswer, from origin, began, now time.Time) {
	t := one.team
	t.unconfirmed = t.unconfirmed[:0]
	if answer.Unknown {
		// The controller reads the manifest soon.
		a.nextAsk = now.Add(failedAskDelay)
	}
	for i, grant := range answer.Grants {
		if i >= len(one.requests) {
			break
		}
		ticket := one.requests[i]
		switch {
		case grant.Granted && (ticket.settled || grant.Brief && now.Sub(began) > briefHold):
			a.giveBack(t, ticket.Cost, from)
		case grant.Granted:
			ticket.from = from
			delay := grant.Delay.Std()
			ticket.settle(Outcome{Delay: delay, ValidUntil: earlier(began.Add(CallTimeout), now.Add(wakeMargin)).Add(delay)})
		case grant.Later && ticket.latest.After(now.Add(grant.Delay.Std())):
			a.askAgain(now.Add(min(grant.Delay.Std(), keepAlive)), now)
		case grant.Later:
			ticket.settle(Outcome{Result: NoController, RetryAfter: grant.Delay.Std()})
		default:
			ticket.settle(Outcome{Result: Exhausted, RetryAfter: grant.Delay.Std()})
		}
	}
	t.queue = slices.DeleteFunc(t.queue, func(ticket *Ticket) bool { return ticket.settled })
	if len(t.queue) == 0 {
		delete(a.waiting, t)
	}
	t.standing += answer.Standing
	t.left, t.leftAt = answer.Left, now
	if answer.Share > 0 {
		a.giveBack(t, t.share, t.shareFrom)
		from.share = true
		t.share, t.shareFrom, t.shareUntil = answer.Share, from, began.Add(a.config.Lease)
	}
}
