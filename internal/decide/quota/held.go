package quota

import (
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// Holding is what a gateway may spend of a team's quota without a call.
type Holding struct {
	Team state.TeamName
	// Share is what is left of its share, Standing of its standing share, and Own of its
	// part of the quota, which it uses while no controller answers.
	Share, Standing, Own float64
}

// Holdings returns what the gateway holds of each team that it has had requests of. The
// account does not change.
func (a *Account) Holdings(now time.Time) []Holding {
	list := make([]Holding, 0, len(a.teams))
	for _, t := range a.teams {
		h := Holding{Team: t.name, Standing: a.standingTokens(t, now), Own: a.ownTokens(t, now)}
		if now.Before(t.shareUntil) {
			h.Share = t.share
		}
		list = append(list, h)
	}
	return list
}

// Outstanding is what the controller has granted of a team's quota, and may be unspent.
type Outstanding struct {
	Team state.TeamName
	// Shares were granted as shares within the last lease and not returned. Requests were
	// granted for requests that may not have gone on yet. Standing shares are in neither.
	Shares, Requests float64
}

// Outstanding returns what was granted of each team that has been asked for in this term.
// The ledger does not change.
func (l *Ledger) Outstanding(now time.Time) []Outstanding {
	list := make([]Outstanding, 0, len(l.buckets))
	for name, b := range l.buckets {
		// Sums advance rings, so they are of copies.
		granted, leased := b.granted, b.leased
		list = append(list, Outstanding{
			Team: name, Shares: leased.sum(now, l.config.leasedSlot()), Requests: granted.sum(now, grantedSlot),
		})
	}
	return list
}
