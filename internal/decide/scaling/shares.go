package scaling

import (
	"cmp"
	"slices"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/defaults"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// StoreLimits bounds the loads from the weight store. Zero values mean the
// defaults.
type StoreLimits struct {
	// PerSecond is how many loads start in a second; default 3.
	PerSecond float64
	// AtOnce is how many loads run; default 4.
	AtOnce int
}

func (l StoreLimits) withDefaults() StoreLimits {
	defaults.Set(&l.PerSecond, 3)
	defaults.Set(&l.AtOnce, 4)
	return l
}

// Floor is the share of a region that has no other: an even part, but one load
// at a time at least, since a region that is cut off must go on. With more
// regions than loads at once the floors exceed the limit together.
func (l StoreLimits) Floor(regions int) StoreLimits {
	l = l.withDefaults()
	return l.part(max(1, l.AtOnce/max(regions, 1)))
}

// part is the share with n loads at once.
func (l StoreLimits) part(n int) StoreLimits {
	n = min(n, l.AtOnce)
	return StoreLimits{PerSecond: l.PerSecond * float64(n) / float64(l.AtOnce), AtOnce: n}
}

// Times of the shares.
const (
	// ShareTTL bounds the time for which a region may use a share, from its
	// question on. It is also the time before a new keeper of slots uses any.
	ShareTTL = 5 * time.Second
	// ShareInterval is the time between the questions of a region that loads,
	// and bounds the time that an answer takes.
	ShareInterval = time.Second
	// shareSilence is when the floor of a region that does not ask is kept
	// free for it.
	shareSilence = 2500 * time.Millisecond
)

// StoreDemand is what a region wants of the weight store.
type StoreDemand struct {
	// Active loads run, Waiting ones have no slot yet. Benefit is the highest
	// of those that wait.
	Active, Waiting int
	Benefit         float64
}

// StoreShareRequest is a region's question for a share.
type StoreShareRequest struct {
	Region state.Region
	Demand StoreDemand
	// Number counts the questions of a keeper of slots from 1. Answered is
	// the last one whose answer it got, zero if none.
	Number, Answered uint64
}

// StoreShare is a region's part of the limits.
type StoreShare struct {
	StoreLimits
	// For is how long, from the question on, the region may use more than its
	// floor.
	For time.Duration
}

// At returns what a region may use a time after it asked for the share. floor
// is its floor.
func (s StoreShare) At(since time.Duration, floor StoreLimits) StoreLimits {
	switch {
	case since >= ShareTTL:
		return floor
	case since >= s.For && s.AtOnce > floor.AtOnce:
		return floor
	}
	return s.StoreLimits
}

// StoreShares divides the limits of the weight store among the regions of a
// deployment, so that what they may use never exceeds the limits together,
// whichever questions and answers are lost: a share that leaves less than
// their floors to others ends before one of them may fall back to its floor.
// It is not safe for concurrent use.
type StoreShares struct {
	limits  StoreLimits
	floor   StoreLimits
	regions map[state.Region]*shareHolder
	openAt  time.Time
}

// shareLease is a share with the time of its question.
type shareLease struct {
	StoreShare
	at time.Time
}

// shareHolder is what is known of a region. It uses the share held, which its
// questions confirm, or the last one.
type shareHolder struct {
	demand     StoreDemand
	asked      time.Time
	number     uint64
	held, last shareLease
}

// fallback is the earliest time at which the region may use its floor.
func (h *shareHolder) fallback() time.Time { return h.held.at.Add(ShareTTL - ShareInterval) }

// NewStoreShares returns shares for regions. As shares that a predecessor gave
// may still be in use, none is given before ShareTTL has passed.
func NewStoreShares(now time.Time, limits StoreLimits, regions []state.Region) *StoreShares {
	s := &StoreShares{
		limits: limits.withDefaults(), floor: limits.Floor(len(regions)),
		regions: make(map[state.Region]*shareHolder), openAt: now.Add(ShareTTL),
	}
	for _, name := range regions {
		s.regions[name] = &shareHolder{}
	}
	return s
}

// Ask notes a question and returns the region's share. ok is false while a
// predecessor's shares may be in use, and for a region that is not known.
func (s *StoreShares) Ask(now time.Time, q StoreShareRequest) (share StoreShare, ok bool) {
	own := s.regions[q.Region]
	if own == nil {
		return StoreShare{}, false
	}
	if q.Answered > 0 && q.Answered == own.number {
		own.held = own.last
	}
	own.demand, own.number, own.asked = q.Demand, q.Number, now
	if now.Before(s.openAt) {
		return StoreShare{}, false
	}
	free, lasts := s.limits.AtOnce, ShareTTL
	for name, other := range s.regions {
		if name != q.Region {
			free -= s.committed(other, now)
			if left := other.fallback().Sub(now); left > 0 {
				lasts = min(lasts, left)
			}
		}
	}
	given := max(0, min(s.targets(now)[q.Region], free))
	own.last = shareLease{StoreShare{StoreLimits: s.limits.part(given), For: lasts}, now}
	return own.last.StoreShare, true
}

// committed is how many loads at once a region may run.
func (s *StoreShares) committed(h *shareHolder, now time.Time) int {
	used := max(h.demand.Active, h.held.At(now.Sub(h.held.at), s.floor).AtOnce)
	if since := now.Sub(h.last.at); since < ShareTTL {
		used = max(used, h.last.At(since, s.floor).AtOnce)
	}
	if !now.Before(h.fallback()) || now.Sub(h.asked) > shareSilence {
		used = max(used, s.floor.AtOnce)
	}
	return used
}

// targets divides the loads at once: one for each region that wants some, the
// rest by benefit, and what nobody wants one by one to the others, so that
// their next load need not wait for an answer.
func (s *StoreShares) targets(now time.Time) map[state.Region]int {
	left := s.limits.AtOnce
	targets := make(map[state.Region]int, len(s.regions))
	var asking []state.Region
	for name, h := range s.regions {
		if now.Sub(h.asked) > shareSilence {
			left -= s.floor.AtOnce
			continue
		}
		asking = append(asking, name)
	}
	slices.SortFunc(asking, func(a, b state.Region) int {
		return cmp.Or(-cmp.Compare(s.regions[a].demand.Benefit, s.regions[b].demand.Benefit), cmp.Compare(a, b))
	})
	give := func(upTo func(wanted int) int) {
		for _, name := range asking {
			demand := s.regions[name].demand
			if n := min(upTo(demand.Active+demand.Waiting)-targets[name], left); n > 0 {
				targets[name] += n
				left -= n
			}
		}
	}
	give(func(wanted int) int { return min(wanted, 1) })
	give(func(wanted int) int { return wanted })
	give(func(int) int { return 1 })
	return targets
}
