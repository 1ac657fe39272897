package routing

import (
	"math/rand/v2"
	"time"
)

// DelayConfig weighs what adds to or reduces the expected delay. Zero values
// mean the defaults.
type DelayConfig struct {
	// RegionPenalty is added outside the data centre; default 2 ms, the
	// round trip between data centres of a region.
	RegionPenalty time.Duration
	// RemotePenalty is added outside the region; default 500 ms. It stands
	// for the round trip and for the paid volume.
	RemotePenalty time.Duration
	// AdapterPenalty is added if the adapter must be loaded; default 12 ms.
	AdapterPenalty time.Duration
	// PrefixWeight is the share of the believed prefix gain that counts;
	// default 0.8, because beliefs may be wrong.
	PrefixWeight float64
}

// TwoChoices samples two candidates of the nearest locality that is not
// overloaded and takes the one with the smaller expected delay.
type TwoChoices struct{ Config DelayConfig }

// Select implements Policy.
func (p TwoChoices) Select(rng *rand.Rand, candidates []Candidate, req Request) (int, bool) {
	return 0, false
}

// LeastDelay compares all candidates and takes the smallest expected delay.
type LeastDelay struct{ Config DelayConfig }

// Select implements Policy.
func (p LeastDelay) Select(rng *rand.Rand, candidates []Candidate, req Request) (int, bool) {
	return 0, false
}
