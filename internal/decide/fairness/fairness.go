// Package fairness orders the requests of teams that share engines. An engine serves its
// queue by a priority from 0 to 9 that the gateway sets, so an order by that priority holds
// for the requests of all gateways.
//
// Each priority of the manifest gets a band of engine priorities. Within its band, and only
// while an upstream's capacity is scarce, a request goes back by one or two steps if its
// team has used more than its weighted share lately. This is an approximation of start-time
// fair queueing (Goyal, Vin, Cheng, 1996) with two thresholds in place of exact tags: a
// gateway cannot change the priority of a request that it has sent.
//
// A request that would miss its deadline in its own band, and not in the last step of the
// band before, goes there. It is then level with the last of the more urgent requests and
// never ahead of a whole band.
package fairness

import (
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/fleet"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// EnginePriorities is the number of priorities in an engine's queue; 0 is served first.
const EnginePriorities = 10

// Config holds the thresholds.
type Config struct {
	// UsageWindow is the time constant with which the recorded use of teams decays.
	UsageWindow time.Duration
	// BehindRatio and FarBehindRatio are how many times as much as the others, relative to
	// the weights, a team has to have used to go back by one and by two steps.
	BehindRatio, FarBehindRatio float64
	// ScarceDelay is the expected delay at an upstream from which its capacity is scarce.
	ScarceDelay time.Duration
	// WaitMemory is the time constant with which observed delays decay.
	WaitMemory time.Duration
	// YieldTime is how long more urgent requests of a service yield after a less urgent
	// one was moved ahead, or after a team was moved back.
	YieldTime time.Duration
	// Slack is how many times the expected time to its first token a request must have
	// left to be in time. Waits are averages of the past, and those of requests that were
	// given up end at their deadlines.
	Slack float64
}

// DefaultConfig returns the default thresholds.
func DefaultConfig() Config {
	return Config{
		UsageWindow: 5 * time.Second,
		// A team at its share that sends in small bursts stays below one half more.
		BehindRatio: 1.5, FarBehindRatio: 3,
		// An engine with room in its batch begins a long prompt within the time of one
		// other long prompt.
		ScarceDelay: 400 * time.Millisecond,
		WaitMemory:  2 * time.Second,
		YieldTime:   time.Second,
		Slack:       2,
	}
}

// Reason is why a request gets its engine priority.
type Reason uint8

// The reasons.
const (
	// Usual is the first step of the band of the request's priority.
	Usual Reason = iota
	// Behind means that the team has used more than its share.
	Behind
	// Aged means that the request would miss its deadline in its own band.
	Aged
	// Yields means that the request can wait and another one was aged.
	Yields
)

// String returns the name of the reason in logs.
func (r Reason) String() string { return [...]string{"usual", "behind", "aged", "yields"}[r] }

// Request is a request about to be sent to an upstream.
type Request struct {
	// Team is empty if the request has none; such requests share one weight.
	Team     state.TeamName
	Service  state.ServiceName
	Priority int
	// TimeLeft is the time until the deadline, and Work the time that an idle upstream
	// needs for the prompt.
	TimeLeft, Work time.Duration
}

// Rank is the place of a request in the queues of engines and of the gateway.
type Rank struct {
	Engine int
	Reason Reason
}

// Rank returns the rank of a request at an upstream with the given load.
func (s *Shares) Rank(p *Policy, r Request, load *Load, now time.Time) Rank {
	level := p.level(r.Priority)
	first, last := p.band(level)
	if !s.cfg.Scarce(load, now) {
		return Rank{Engine: first}
	}
	if steps := s.stepsBehind(p, r.Team, now); steps > 0 {
		s.lastBehind = now
		return Rank{Engine: min(first+steps, last), Reason: Behind}
	}
	if level > 0 {
		_, ahead := p.band(level - 1)
		// The pending prompts are mostly those of more urgent requests, and are known
		// before any wait is.
		late := !s.inTime(s.expected(load, first, r, now), r) || !s.inTime(load.PendingPrefill+r.Work, r)
		if late && s.expected(load, ahead, r, now) <= r.TimeLeft {
			s.aged[place{r.Service, level}] = now
			return Rank{Engine: ahead, Reason: Aged}
		}
	}
	if s.mustYield(r, level, now) && s.inTime(s.expected(load, last, r, now), r) {
		return Rank{Engine: last, Reason: Yields}
	}
	return Rank{Engine: first}
}

// expected returns the expected time to the first token with an engine priority.
func (s *Shares) expected(load *Load, engine int, r Request, now time.Time) time.Duration {
	return load.expectedWait(engine, now, s.cfg.WaitMemory) + r.Work
}

// inTime reports whether a request with an expected time to its first token is likely to be
// served in time.
func (s *Shares) inTime(expected time.Duration, r Request) bool {
	return s.cfg.Slack*float64(expected) < float64(r.TimeLeft)
}

// mustYield reports whether a request yields if it can wait. While a team is over its
// share, the last step of the band is for that team's requests only.
func (s *Shares) mustYield(r Request, level int, now time.Time) bool {
	at, ok := s.aged[place{r.Service, level + 1}]
	return ok && now.Sub(at) < s.cfg.YieldTime && now.Sub(s.lastBehind) >= s.cfg.YieldTime
}

// Waiting is a request that waits at the gateway for capacity.
type Waiting struct {
	Rank  Rank
	Since time.Time
}

// Compare orders waiting requests, the first to be sent first: by engine priority and then
// by arrival. Its results are those of cmp.Compare.
func Compare(a, b Waiting) int {
	if a.Rank.Engine != b.Rank.Engine {
		return a.Rank.Engine - b.Rank.Engine
	}
	return a.Since.Compare(b.Since)
}

// place is a level of a policy at a service.
type place struct {
	service state.ServiceName
	level   int
}

// CostOf returns what a request counts for in the use of its team: its declared tokens, or
// the team's default cost. It is 1 at least.
func CostOf(team *fleet.Team, prompt, maxAnswer fleet.Tokens) fleet.Tokens {
	cost := max(prompt, 0) + max(maxAnswer, 0)
	if cost == 0 && team != nil {
		cost = team.Quota.DefaultCost
	}
	return max(cost, 1)
}
