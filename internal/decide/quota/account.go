package quota

import (
	"slices"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/fleet"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// Account is what a gateway holds and waits for. It is not safe for concurrent use.
type Account struct {
	config        Config
	name, address string
	term          state.FencingToken
	seq, acked    uint64
	part          float64
	// succeededAt is the start of the last successful call, zero if there was none.
	succeededAt time.Time
	// askedAt is the start of the last call, and nextAsk the earliest time of the next.
	askedAt, nextAsk time.Time
	// failures counts the asks without an answer since the last successful one.
	failures int
	// confirm requests an ask without requests: the controller does not know yet that
	// its answer has arrived.
	confirm bool
	// inFlight has the teams of the call in progress, and calling is set during it.
	inFlight []asked
	calling  bool
	teams    map[state.TeamName]*teamAccount
	// waiting has the teams with requests that wait, and returning those with tokens to
	// return.
	waiting, returning map[*teamAccount]struct{}
	// lacking has the teams whose standing share was used.
	lacking map[*teamAccount]struct{}
}

// NewAccount returns the account of a gateway that has not called a controller yet.
func NewAccount(c Config, name, address string) *Account {
	return &Account{
		config: c, name: name, address: address,
		teams: make(map[state.TeamName]*teamAccount), waiting: make(map[*teamAccount]struct{}), returning: make(map[*teamAccount]struct{}),
		lacking: make(map[*teamAccount]struct{}),
	}
}

// Request requests the cost of a request, which may wait for it. The outcome may be
// there at once.
func (a *Account) Request(team state.TeamName, q fleet.Quota, cost float64, wait time.Duration, now time.Time) *Ticket {
	t := a.team(team, q)
	t.record(cost, now)
	ticket := &Ticket{Team: team, Cost: cost, Done: make(chan Outcome, 1), latest: now.Add(wait)}
	switch {
	case len(t.queue) == 0 && t.share >= cost && now.Before(t.shareUntil):
		t.share -= cost
		ticket.from = t.shareFrom
		ticket.settle(Outcome{ValidUntil: t.shareUntil})
	case len(t.queue) == 0 && a.takeStanding(t, cost, now):
		ticket.standing = true
		ticket.settle(Outcome{ValidUntil: now})
	case len(t.queue) == 0 && a.takeOwn(t, cost, now):
		ticket.settle(Outcome{ValidUntil: now})
	default:
		t.queue = append(t.queue, ticket)
		a.waiting[t] = struct{}{}
	}
	return ticket
}

// Cancel removes a request whose caller has gone, and returns its tokens if it has got
// them.
func (a *Account) Cancel(ticket *Ticket) {
	if ticket.settled {
		select {
		case o := <-ticket.Done:
			if o.Result == Admitted {
				a.Refund(ticket)
			}
		default:
		}
		return
	}
	ticket.settled = true
	if t := a.teams[ticket.Team]; t != nil {
		t.queue = slices.DeleteFunc(t.queue, func(other *Ticket) bool { return other == ticket })
	}
}

// Refund returns the tokens of a request that was not sent to any upstream. It returns
// false for those of the gateway's part: nothing limits how late they come back.
func (a *Account) Refund(ticket *Ticket) bool {
	t := a.teams[ticket.Team]
	switch {
	case t == nil:
		return false
	case ticket.standing:
		t.standing += ticket.Cost
		return true
	case ticket.from == (origin{}):
		return false
	}
	a.giveBack(t, ticket.Cost, ticket.from)
	return true
}

// Retain forgets the teams that a manifest does not have.
func (a *Account) Retain(teams map[state.TeamName]*fleet.Team) {
	for name, t := range a.teams {
		if teams[name] == nil && len(t.queue) == 0 && len(t.returns) == 0 && len(t.unconfirmed) == 0 {
			delete(a.teams, name)
		}
	}
}

// SinceAnswer returns the time since the start of the last successful call, and false if
// there was none.
func (a *Account) SinceAnswer(now time.Time) (time.Duration, bool) {
	return now.Sub(a.succeededAt), !a.succeededAt.IsZero()
}

// Step ends the requests that can't wait any longer, and serves others from the
// gateway's part. It returns the time of the next step, if no request or answer comes
// before.
func (a *Account) Step(now time.Time) time.Time {
	next := now.Add(keepAlive)
	for t := range a.waiting {
		for len(t.queue) > 0 && a.takeOwn(t, t.queue[0].Cost, now) {
			t.queue[0].settle(Outcome{ValidUntil: now})
			t.queue = t.queue[1:]
		}
		t.queue = slices.DeleteFunc(t.queue, func(ticket *Ticket) bool {
			if ticket.latest.After(now) {
				next = earlier(next, ticket.latest)
				return false
			}
			// A controller that answers decides at once, unless it is new.
			ticket.settle(Outcome{Result: NoController, RetryAfter: max(a.ownFrom().Sub(now), noControllerRetryAfter)})
			return true
		})
		if len(t.queue) == 0 {
			delete(a.waiting, t)
		}
	}
	if a.ownMode(now) && len(a.waiting) > 0 {
		next = earlier(next, now.Add(failedAskDelay))
	}
	if !a.calling {
		next = earlier(next, a.askDue(now))
	}
	return next
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// noControllerRetryAfter is the time after which a request may come again that was
// refused because no controller answered, unless the gateway's own part begins later:
// a takeover takes that long, and one that comes again sooner is refused again.
const noControllerRetryAfter = time.Second
