package quota

import (
	"math"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/fleet"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// teamAccount is what a gateway holds for a team.
type teamAccount struct {
	name  state.TeamName
	quota fleet.Quota
	limits
	// share are tokens for requests to come.
	share      float64
	shareFrom  origin
	shareUntil time.Time
	// standing are the tokens of the standing share.
	standing float64
	// returns are tokens to return, and unconfirmed those that were returned by asks without
	// an answer.
	returns, unconfirmed []returned
	queue                []*Ticket
	// askedBy is the last ask that had the team.
	askedBy uint64
	// left is what the controller had left for the team at leftAt; leftAt is zero before
	// the first answer.
	left   float64
	leftAt time.Time
	// costs and requests are the recent ones per second, as of ratedAt.
	costs, requests float64
	ratedAt         time.Time
	// own are tokens of the gateway's part as of ownAt, for the time without a
	// controller that began at ownFrom.
	own            float64
	ownFrom, ownAt time.Time
}

func (a *Account) team(name state.TeamName, q fleet.Quota) *teamAccount {
	t := a.teams[name]
	if t == nil {
		t = &teamAccount{name: name}
		a.teams[name] = t
	}
	if t.quota != q {
		t.quota, t.limits = q, a.config.limits(q)
	}
	return t
}

// rateSpan is the time over which the rates of requests and costs are averaged.
const rateSpan = time.Second

// record adds a request to the team's rates.
func (t *teamAccount) record(cost float64, now time.Time) {
	t.decay(now)
	t.costs += cost / rateSpan.Seconds()
	t.requests += 1 / rateSpan.Seconds()
}

func (t *teamAccount) decay(now time.Time) {
	kept := max(1-now.Sub(t.ratedAt).Seconds()/rateSpan.Seconds(), 0)
	t.costs, t.requests, t.ratedAt = t.costs*kept, t.requests*kept, now
}

// ownFrom returns when the gateway begins to use its part.
func (a *Account) ownFrom() time.Time { return a.succeededAt.Add(ownPartAfter) }

// ownMode reports whether the gateway uses its part of the quotas.
func (a *Account) ownMode(now time.Time) bool {
	return a.part > 0 && !now.Before(a.ownFrom()) && now.Before(a.succeededAt.Add(partLifetime))
}

// Left returns what may be spent of a team's quota as far as the gateway knows: what the
// controller had left at its last answer for the team, and what is held here. It returns
// false if there was no answer.
func (a *Account) Left(team state.TeamName, now time.Time) (tokens float64, age time.Duration, ok bool) {
	t := a.teams[team]
	if t == nil || t.leftAt.IsZero() {
		return 0, 0, false
	}
	tokens = t.left + t.standing
	if now.Before(t.shareUntil) {
		tokens += t.share
	}
	return tokens, now.Sub(t.leftAt), true
}

// partAt returns the gateway's part, zero once it has ended.
func (a *Account) partAt(now time.Time) float64 {
	if now.Sub(a.succeededAt) >= partLifetime {
		return 0
	}
	return a.part
}

// standingTokens returns what is left of the standing share of a team: at most the gateway's
// part of it.
func (a *Account) standingTokens(t *teamAccount, now time.Time) float64 {
	return min(t.standing, a.partAt(now)*t.limits.standing)
}

// lacks returns how many tokens the standing share of a team is short of. It is larger
// with a larger part of the gateway.
func (a *Account) lacks(t *teamAccount) float64 {
	return math.Floor(max(a.part*t.limits.standing-t.standing, 0))
}

// takeStanding takes tokens of the standing share. It ends with the gateway's part.
func (a *Account) takeStanding(t *teamAccount, cost float64, now time.Time) bool {
	a.part = a.partAt(now)
	t.standing = a.standingTokens(t, now)
	a.lacking[t] = struct{}{}
	if t.standing < cost {
		return false
	}
	t.standing -= cost
	return true
}

// takeOwn takes tokens of the gateway's part.
func (a *Account) takeOwn(t *teamAccount, cost float64, now time.Time) bool {
	if !a.ownMode(now) {
		return false
	}
	t.own, t.ownFrom, t.ownAt = a.ownTokens(t, now), a.ownFrom(), now
	if t.own < cost {
		return false
	}
	t.own -= cost
	return true
}

// ownTokens returns what is left of the gateway's part for a team.
func (a *Account) ownTokens(t *teamAccount, now time.Time) float64 {
	if !a.ownMode(now) {
		return 0
	}
	own, at := t.own, t.ownAt
	if from := a.ownFrom(); !t.ownFrom.Equal(from) {
		own, at = 0, from
	}
	perSecond := t.partRate(a.part)
	return min(own+now.Sub(at).Seconds()*perSecond, perSecond*a.config.Lease.Seconds())
}
