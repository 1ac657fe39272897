package fairness

import (
	"slices"

	"github.com/lagoonvalve/lagoonvalve/internal/fleet"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// Policy is what a manifest says about teams and priorities. It is immutable.
type Policy struct {
	// priorities are those of the manifest, ascending and without duplicates.
	priorities []int
	// weights has the teams with a quota in tokens.
	weights map[state.TeamName]float64
}

// NewPolicy returns the policy of a manifest with the given teams and the priorities that
// its requests may have. It returns nil with fewer than two teams.
func NewPolicy(priorities []int, teams map[state.TeamName]*fleet.Team) *Policy {
	if len(teams) < 2 {
		return nil
	}
	p := &Policy{priorities: slices.Clone(priorities), weights: make(map[state.TeamName]float64)}
	slices.Sort(p.priorities)
	p.priorities = slices.Compact(p.priorities)
	sum := 0.0
	for name, t := range teams {
		if t.Quota.PerSecond > 0 && !t.Quota.PerRequest {
			p.weights[name] = t.Quota.PerSecond
			sum += t.Quota.PerSecond
		}
	}
	// The mean weight is 1, so that a team without a quota counts as an average one.
	for name, w := range p.weights {
		p.weights[name] = w * float64(len(p.weights)) / sum
	}
	return p
}

// weight returns the weight of a team.
func (p *Policy) weight(team state.TeamName) float64 {
	if w, ok := p.weights[team]; ok {
		return w
	}
	return 1
}

// level returns the index of a priority among those of the manifest, or of the next less
// urgent one if the manifest has changed since the request got it.
func (p *Policy) level(priority int) int {
	i, _ := slices.BinarySearch(p.priorities, priority)
	return max(min(i, len(p.priorities)-1), 0)
}

// band returns the first and the last engine priority of a level. With more than
// EnginePriorities levels, neighbouring ones share an engine priority.
func (p *Policy) band(level int) (first, last int) {
	levels := max(len(p.priorities), 1)
	if levels > EnginePriorities {
		first = level * EnginePriorities / levels
		return first, first
	}
	width := EnginePriorities / levels
	return level * width, (level+1)*width - 1
}

// Band returns the index of the band that an engine priority is in, 0 for that of the most
// urgent priority. With more than EnginePriorities levels, each engine priority is a band.
func (p *Policy) Band(engine int) int {
	return engine / max(EnginePriorities/max(len(p.priorities), 1), 1)
}
