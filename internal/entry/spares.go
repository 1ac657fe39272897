package entry

import (
	"math"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

const (
	// steadyOver is the time over which a model's steady rate is averaged.
	// Over a minute, sessions of a few requests looked like steady use.
	steadyOver = 10 * time.Minute
	// spareRefusedFor is how long a grant is not tried for a spare replica
	// after its agent refused one; room seldom appears sooner.
	spareRefusedFor = 5 * time.Minute
	// sparePause is the time between attempts to place a spare replica.
	sparePause = 2 * time.Second
)

// spares is what a home knows for the choice of a spare replica, by which a
// model in steady use does not depend on one upstream.
type spares struct {
	// steady is the mean of the arrivals per second, over steadyOver.
	steady  float64
	updated time.Time
	refused map[state.UpstreamName]time.Time
	// pausedUntil ends the pause after a refusal.
	pausedUntil time.Time
}

// observe takes in the arrivals per second since the last call.
func (s *spares) observe(perSecond float64, now time.Time) {
	if !s.updated.IsZero() {
		share := 1 - math.Exp(-now.Sub(s.updated).Seconds()/steadyOver.Seconds())
		s.steady += share * (perSecond - s.steady)
	}
	s.updated = now
}

// rate is the steady rate for a decision: zero while no spare is to be tried.
func (s *spares) rate(now time.Time) float64 {
	if now.Before(s.pausedUntil) {
		return 0
	}
	return s.steady
}

func (s *spares) refuse(name state.UpstreamName, now time.Time) {
	if s.refused == nil {
		s.refused = make(map[state.UpstreamName]time.Time)
	}
	s.refused[name] = now.Add(spareRefusedFor)
	s.pausedUntil = now.Add(sparePause)
}

func (s *spares) isRefused(name state.UpstreamName, now time.Time) bool {
	until, ok := s.refused[name]
	if ok && now.After(until) {
		delete(s.refused, name)
		return false
	}
	return ok
}
