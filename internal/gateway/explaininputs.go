package gateway

import (
	"fmt"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/decide/routing"
	"github.com/lagoonvalve/lagoonvalve/internal/decide/selection"
	"github.com/lagoonvalve/lagoonvalve/internal/decide/spill"
)

// explainCandidate returns what counts for and against an upstream in the choice.
func (x *exchange) explainCandidate(c *selection.Candidate, m *member) (pros, cons []string) {
	weights := x.gateway.selection
	switch m.locality {
	case routing.SameDataCentre:
		pros = append(pros, "in this data centre")
	case routing.SameRegion:
		cons = append(cons, fmt.Sprintf("another data centre of the region, %v", weights.SameRegionCost))
	case routing.OtherRegion:
		cons = append(cons, fmt.Sprintf("another region, %v", weights.OtherRegionCost))
	}
	if c.Cached > 0 {
		pros = append(pros, fmt.Sprintf("%d prompt tokens probably cached", c.Cached))
	}
	add := func(holds bool, format string, args ...any) {
		if holds {
			cons = append(cons, fmt.Sprintf(format, args...))
		}
	}
	penalty := x.spillPenalty(m)
	add(c.Ejected, "ejected after failures")
	add(c.Avoided, "refused the latest requests")
	add(c.Delay > penalty, "a pause or a rate limit for %v", c.Delay-penalty)
	add(penalty > 0, "spillover prefers another data centre by %v", penalty)
	add(c.Running > 0, "%d running requests of this gateway, of %d slots", c.Running, m.upstream.Slots)
	add(c.PendingPrefill > 0, "prompts of %v waiting, own and as other gateways told", c.PendingPrefill.Round(time.Millisecond))
	return pros, cons
}

// loadsFrom returns the time of the loads of data centres, zero before the first.
func (s *spillover) loadsFrom() time.Time {
	if s == nil {
		return time.Time{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.loadsAt
}

// planOf returns the plan that a request of a kind would find now.
func (s *spillover) planOf(kind requestKind, of kindUpstreams, timeLeft time.Duration, now time.Time) spill.Plan {
	s.mu.Lock()
	defer s.mu.Unlock()
	load, known := s.loads[kind]
	if !known {
		return spill.Plan{}
	}
	k := s.previewUse(kind, timeLeft, now)
	return s.previewPlan(kind, &k, load, of, now)
}

// typicalDraw returns a draw in the middle of the largest of the shares, those of the requests
// that stay and of the excess included.
func (s *spillover) typicalDraw(kind requestKind, of kindUpstreams, timeLeft time.Duration, now time.Time) float64 {
	if s == nil {
		return 0
	}
	plan := s.planOf(kind, of, timeLeft, now)
	begin, largest, draw := 0.0, 0.0, 0.0
	consider := func(fraction float64) {
		if fraction > largest {
			largest, draw = fraction, begin+fraction/2
		}
		begin += fraction
	}
	for _, share := range plan.Shares {
		consider(share.Fraction)
	}
	consider(plan.Excess)
	consider(1 - begin)
	return draw
}
