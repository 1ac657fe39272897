package quota

import (
	"slices"

	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// origin is the answer that granted tokens: its term and its time. The zero value is the
// gateway's own part.
type origin struct {
	term state.FencingToken
	at   int64
	// share is set for the tokens of a share.
	share bool
}

// returned is tokens to return.
type returned struct {
	tokens float64
	from   origin
	// first is the first ask that has returned them, zero if none has.
	first uint64
}

// giveBack keeps tokens until they can be returned.
func (a *Account) giveBack(t *teamAccount, tokens float64, from origin) {
	if tokens <= 0 {
		return
	}
	a.returning[t] = struct{}{}
	for i := range t.returns {
		if t.returns[i].from == from || i == maxReturns-1 {
			t.returns[i].tokens += tokens
			t.returns[i].from = earliest(t.returns[i].from, from)
			return
		}
	}
	t.returns = append(t.returns, returned{tokens: tokens, from: from})
}

// maxReturns bounds the answers whose tokens are told apart when they are returned.
const maxReturns = 8

func earliest(a, b origin) origin {
	if b.term < a.term || b.term == a.term && b.at < a.at {
		return b
	}
	return a
}

// returnAll returns what an ask has to return for a team. All of it is unconfirmed until the
// ask is answered.
func (a *Account) returnAll(t *teamAccount) (list []Return) {
	for _, r := range slices.Concat(t.unconfirmed, t.returns) {
		list = append(list, Return{Tokens: r.tokens, Granted: r.from.at, Earlier: r.from.term != a.term, Share: r.from.share, First: r.first})
	}
	for _, r := range t.returns {
		r.first = a.seq
		t.unconfirmed = append(t.unconfirmed, r)
	}
	t.returns = t.returns[:0]
	// What is left out of one ask may not be returned by a later one.
	t.unconfirmed = t.unconfirmed[max(len(t.unconfirmed)-2*maxReturns, 0):]
	return list
}

// returnAgain includes what the ask in progress has returned in the next one.
func (a *Account) returnAgain() {
	for _, one := range a.inFlight {
		if len(one.team.unconfirmed) > 0 {
			a.returning[one.team] = struct{}{}
		}
	}
}

// forgetReturns forgets the unconfirmed tokens of earlier asks, which another controller may
// have credited. Those of the last ask were refused, so they are returned for the first time
// by the next one.
func (a *Account) forgetReturns() {
	for _, one := range a.inFlight {
		t := one.team
		for _, r := range t.unconfirmed {
			if r.first == a.seq {
				a.giveBack(t, r.tokens, r.from)
			}
		}
		t.unconfirmed = t.unconfirmed[:0]
	}
}
