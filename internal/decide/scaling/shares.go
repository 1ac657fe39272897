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
	// PerSecond is how many loads may start per second; default 3.
	PerSecond float64
	// AtOnce is how many loads may run at once; default 4.
	AtOnce int
}

func (l StoreLimits) withDefaults() StoreLimits {
	defaults.Set(&l.PerSecond, 3)
	defaults.Set(&l.AtOnce, 4)
	return l
}

// Floor returns the share that a region may use without a granted one: an equal
// part, but at least one load at a time, since a region that is partitioned from
// the others must still be able to load. With more regions than AtOnce, the
// floors together exceed the limit.
func (l StoreLimits) Floor(regions int) StoreLimits {
	l = l.withDefaults()
	return l.scaledTo(max(1, l.AtOnce/max(regions, 1)))
}

// scaledTo returns the limits with at most n loads at once and PerSecond reduced
// in proportion.
func (l StoreLimits) scaledTo(n int) StoreLimits {
	n = min(n, l.AtOnce)
	return StoreLimits{PerSecond: l.PerSecond * float64(n) / float64(l.AtOnce), AtOnce: n}
}

const (
	// ShareTTL bounds the time for which a region may use a share, counted from
	// its request for it. It is also how long a new slot broker waits before it
	// uses a share.
	ShareTTL = 5 * time.Second
	// ShareInterval is the time between the share requests of a region that
	// loads, and the timeout of such a request.
	ShareInterval = time.Second
	// regionSilence is the time without a request from a region after which its
	// floor is reserved for it.
	regionSilence = 2500 * time.Millisecond
)

// StoreDemand is a region's demand for loads from the weight store.
type StoreDemand struct {
	// Active counts the loads that run, Waiting those without a slot. Benefit
	// is the highest among the waiting ones.
	Active, Waiting int
	Benefit         float64
}

// StoreShareRequest is a region's request for a share.
type StoreShareRequest struct {
	Region state.Region
	Demand StoreDemand
	// Number counts the requests of the region's slot broker from 1. Answered
	// is the number of the last request whose answer it received, zero if none.
	Number, Answered uint64
}

// StoreShare is a region's part of the limits.
type StoreShare struct {
	StoreLimits
	// For is how long, counted from the request, the region may use more than
	// its floor.
	For time.Duration
}

// At returns what a region with the given floor may use when the time since has
// passed from its request for the share.
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
// deployment. The shares in use together never exceed the limits, whichever
// requests and answers are lost: a share that leaves other regions less than
// their floors expires before one of them may fall back to its floor. It is not
// safe for concurrent use.
type StoreShares struct {
	limits     StoreLimits
	floor      StoreLimits
	regions    map[state.Region]*regionState
	grantsFrom time.Time
}

// grantedShare is a share with the time at which it was requested.
type grantedShare struct {
	StoreShare
	askedAt time.Time
}

// regionState is what is known of a region. The region uses either the share
// whose receipt its requests have confirmed or the latest one granted.
type regionState struct {
	demand            StoreDemand
	lastAsked         time.Time
	number            uint64
	confirmed, latest grantedShare
}

// fallbackAt returns the earliest time at which the region may fall back to its
// floor. The region counts ShareTTL from the time at which it sent its request,
// which is up to ShareInterval before the request was answered.
func (h *regionState) fallbackAt() time.Time {
	return h.confirmed.askedAt.Add(ShareTTL - ShareInterval)
}

// NewStoreShares returns the division of limits among regions. Shares that a
// predecessor granted may still be in use, so none is granted before ShareTTL
// has passed.
func NewStoreShares(now time.Time, limits StoreLimits, regions []state.Region) *StoreShares {
	s := &StoreShares{
		limits: limits.withDefaults(), floor: limits.Floor(len(regions)),
		regions: make(map[state.Region]*regionState), grantsFrom: now.Add(ShareTTL),
	}
	for _, name := range regions {
		s.regions[name] = &regionState{}
	}
	return s
}

// Ask records a region's request and returns its share. ok is false while a
// predecessor's shares may be in use, and for an unknown region.
func (s *StoreShares) Ask(now time.Time, q StoreShareRequest) (share StoreShare, ok bool) {
	own := s.regions[q.Region]
	if own == nil {
		return StoreShare{}, false
	}
	if q.Answered > 0 && q.Answered == own.number {
		own.confirmed = own.latest
	}
	own.demand, own.number, own.lastAsked = q.Demand, q.Number, now
	if now.Before(s.grantsFrom) {
		return StoreShare{}, false
	}
	free, lifetime := s.limits.AtOnce, ShareTTL
	for name, other := range s.regions {
		if name != q.Region {
			free -= s.committed(other, now)
			if left := other.fallbackAt().Sub(now); left > 0 {
				lifetime = min(lifetime, left)
			}
		}
	}
	granted := max(0, min(s.targets(now)[q.Region], free))
	own.latest = grantedShare{StoreShare{StoreLimits: s.limits.scaledTo(granted), For: lifetime}, now}
	return own.latest.StoreShare, true
}

// committed returns the most loads at once that a region may be running: its
// reported loads, either share that it may be using, and its floor once it may
// fall back to that.
func (s *StoreShares) committed(region *regionState, now time.Time) int {
	used := max(region.demand.Active, region.confirmed.At(now.Sub(region.confirmed.askedAt), s.floor).AtOnce)
	if since := now.Sub(region.latest.askedAt); since < ShareTTL {
		used = max(used, region.latest.At(since, s.floor).AtOnce)
	}
	if !now.Before(region.fallbackAt()) || now.Sub(region.lastAsked) > regionSilence {
		used = max(used, s.floor.AtOnce)
	}
	return used
}

// targets divides the loads at once: first one to each region with demand, then
// the rest to the regions in order of benefit. What is left goes to the regions
// that have none yet, one each, so that their next load need not wait for an
// answer.
func (s *StoreShares) targets(now time.Time) map[state.Region]int {
	left := s.limits.AtOnce
	targets := make(map[state.Region]int, len(s.regions))
	var active []state.Region
	for name, h := range s.regions {
		if now.Sub(h.lastAsked) > regionSilence {
			left -= s.floor.AtOnce
			continue
		}
		active = append(active, name)
	}
	slices.SortFunc(active, func(a, b state.Region) int {
		return cmp.Or(-cmp.Compare(s.regions[a].demand.Benefit, s.regions[b].demand.Benefit), cmp.Compare(a, b))
	})
	give := func(upTo func(wanted int) int) {
		for _, name := range active {
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
