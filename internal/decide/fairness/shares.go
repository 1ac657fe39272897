package fairness

import (
	"math"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/fleet"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// Shares records what teams have used lately, as seen by one gateway. It is not safe for
// concurrent use. A team takes memory from its first use until its use has decayed.
type Shares struct {
	cfg   Config
	teams map[state.TeamName]*use
	// used and weight are the sums over teams. used was last decayed at decayedAt.
	used, weight float64
	decayedAt    time.Time
	sweptAt      time.Time
	// aged is when a request of a service and level was last moved ahead.
	aged map[place]time.Time
	// lastBehind is when a request was last moved back.
	lastBehind time.Time
}

// use is what a team has used: tokens that decay from the time at.
type use struct {
	tokens, weight float64
	at             time.Time
}

// NewShares returns a record without any use.
func NewShares(cfg Config) *Shares {
	return &Shares{cfg: cfg, teams: make(map[state.TeamName]*use), aged: make(map[place]time.Time)}
}

// decayed returns a quantity of the time at as of the time now.
func decayed(x float64, at, now time.Time, window time.Duration) float64 {
	if !now.After(at) {
		return x
	}
	return x * math.Exp(-now.Sub(at).Seconds()/window.Seconds())
}

// Use records tokens that a team uses.
func (s *Shares) Use(p *Policy, team state.TeamName, cost fleet.Tokens, now time.Time) {
	s.add(p, team, float64(cost), now)
}

// Return takes back tokens that were recorded at an earlier time, of a request that was not
// answered: a team that gets nothing must not count as one that uses much.
func (s *Shares) Return(p *Policy, team state.TeamName, cost fleet.Tokens, usedAt, now time.Time) {
	s.add(p, team, -decayed(float64(cost), usedAt, now, s.cfg.UsageWindow), now)
}

func (s *Shares) add(p *Policy, team state.TeamName, tokens float64, now time.Time) {
	if now.Sub(s.sweptAt) >= s.cfg.UsageWindow {
		s.sweep(now)
	}
	u, ok := s.teams[team]
	if !ok {
		u = &use{at: now}
		s.teams[team] = u
	}
	// The manifest may have changed the weight.
	weight := p.weight(team)
	s.weight += weight - u.weight
	u.weight = weight
	before := decayed(u.tokens, u.at, now, s.cfg.UsageWindow)
	u.tokens, u.at = max(before+tokens, 0), now
	s.used = max(decayed(s.used, s.decayedAt, now, s.cfg.UsageWindow)+u.tokens-before, 0)
	s.decayedAt = now
}

// minUse is the use, in tokens, below which a team is not active any more.
const minUse = 1

// sweep removes what has decayed and computes the sums anew, which ends rounding errors.
func (s *Shares) sweep(now time.Time) {
	s.sweptAt, s.decayedAt, s.used, s.weight = now, now, 0, 0
	for name, u := range s.teams {
		u.tokens, u.at = decayed(u.tokens, u.at, now, s.cfg.UsageWindow), now
		if u.tokens < minUse {
			delete(s.teams, name)
			continue
		}
		s.used += u.tokens
		s.weight += u.weight
	}
	for p, at := range s.aged {
		if now.Sub(at) >= s.cfg.YieldTime {
			delete(s.aged, p)
		}
	}
}

// stepsBehind returns by how many steps the requests of a team go back: its use per weight
// is compared with that of all other active teams together.
func (s *Shares) stepsBehind(p *Policy, team state.TeamName, now time.Time) int {
	u, ok := s.teams[team]
	if !ok {
		return 0
	}
	own := decayed(u.tokens, u.at, now, s.cfg.UsageWindow)
	others := decayed(s.used, s.decayedAt, now, s.cfg.UsageWindow) - own
	othersWeight := s.weight - u.weight
	if others < minUse || othersWeight <= 0 {
		return 0
	}
	ratio := own / p.weight(team) * othersWeight / others
	switch {
	case ratio >= s.cfg.FarBehindRatio:
		return 2
	case ratio >= s.cfg.BehindRatio:
		return 1
	default:
		return 0
	}
}
