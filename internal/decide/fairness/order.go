package fairness

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/fleet"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// Queued is a request that waits at the gateway together with others.
type Queued struct {
	Request
	// Cost is what the request will count for in the use of its team.
	Cost  fleet.Tokens
	Since time.Time
}

// queuePlace is where a request goes on among others. LastStep is set for those that go on
// with the last step of the band of their level.
type queuePlace struct {
	level    int
	lastStep bool
}

// teamQueue has the requests of a team with the same place, by their indices and in the
// order of their arrival.
type teamQueue struct {
	// used is the use of the team per weight, with that of the requests that go on
	// before.
	used, weight float64
	waiting      []int
}

// Order returns the indices of requests that wait for the same upstreams, in the order in
// which they go on: by priority, then that of the team that has used least by its weight,
// then by arrival. Each request counts as used for those behind it. Requests that would miss
// their deadlines behind the prompts of the others age as in Rank, those of teams far over their
// shares go back, and others yield; these go on with the last step of a band, so after all
// others of it. Waits are those at the service. The record of use does not change.
func (s *Shares) Order(p *Policy, queued []Queued, waits *Waits, now time.Time) []int {
	places := s.places(p, queued, waits, now)
	order := make([]int, len(queued))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Or(comparePlaces(places[a], places[b]), queued[a].Since.Compare(queued[b].Since))
	})
	teams := make(map[state.TeamName]*teamQueue)
	for from, to := 0, 0; from < len(order); from = to {
		for to < len(order) && places[order[to]] == places[order[from]] {
			to++
		}
		s.takeTurns(p, queued, order[from:to], teams, now)
	}
	return order
}

func comparePlaces(a, b queuePlace) int {
	switch {
	case a.level != b.level:
		return a.level - b.level
	case a.lastStep == b.lastStep:
		return 0
	case a.lastStep:
		return 1
	default:
		return -1
	}
}

// places returns the places of requests by their ranks. A request is expected to wait for the
// prompts of its level and of all more urgent ones, or longer if waits says so. All are ranked
// twice, so that more urgent ones yield to those that have aged.
func (s *Shares) places(p *Policy, queued []Queued, waits *Waits, now time.Time) []queuePlace {
	trial := *s
	trial.aged = maps.Clone(s.aged)
	work := make([]time.Duration, max(len(p.priorities), 1))
	for _, q := range queued {
		work[p.level(q.Priority)] += q.Work
	}
	expected, sum := *waits, time.Duration(0)
	for level := range work {
		sum += work[level]
		first, _ := p.band(level)
		expected[first].wait, expected[first].at = max(sum, expected.Expected(first, now, s.cfg.WaitMemory)), now
	}
	places := make([]queuePlace, len(queued))
	for range 2 {
		for i, q := range queued {
			places[i] = p.queuePlace(q.Request, trial.Rank(p, q.Request, &Load{Waits: &expected, ServiceWaits: &expected}, now))
		}
	}
	return places
}

func (p *Policy) queuePlace(r Request, rank Rank) queuePlace {
	level := p.level(r.Priority)
	first, last := p.band(level)
	if rank.Reason == Aged {
		return queuePlace{level: level - 1, lastStep: true}
	}
	return queuePlace{level: level, lastStep: rank.Engine == last && first < last}
}

// takeTurns orders requests with the same place, which are in the order of their arrival.
// Teams has the use of teams that had requests before, and gets that of the others.
func (s *Shares) takeTurns(p *Policy, queued []Queued, run []int, teams map[state.TeamName]*teamQueue, now time.Time) {
	var active []*teamQueue
	for _, i := range run {
		team := queued[i].Team
		t := teams[team]
		if t == nil {
			t = &teamQueue{weight: p.weight(team)}
			if u, ok := s.teams[team]; ok {
				t.used = decayed(u.tokens, u.at, now, s.cfg.UsageWindow) / t.weight
			}
			teams[team] = t
		}
		if len(t.waiting) == 0 {
			active = append(active, t)
		}
		t.waiting = append(t.waiting, i)
	}
	for n := range run {
		next := slices.MinFunc(active, func(a, b *teamQueue) int {
			return cmp.Or(cmp.Compare(a.used, b.used), queued[a.waiting[0]].Since.Compare(queued[b.waiting[0]].Since))
		})
		i := next.waiting[0]
		run[n], next.waiting = i, next.waiting[1:]
		next.used += float64(queued[i].Cost) / next.weight
		if len(next.waiting) == 0 {
			active = slices.DeleteFunc(active, func(t *teamQueue) bool { return t == next })
		}
	}
}
