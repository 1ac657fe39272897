// Package selection chooses the replica of a request among those that hold its
// model. Engines read long prompts in pieces between the tokens of running
// streams, so a long prompt slows down every stream beside it. Of each model
// with several replicas, one is therefore kept for short prompts as far as load
// allows (size-based assignment); all gateways agree on which without a word.
package selection

import (
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/decide/routing"
	"github.com/lagoonvalve/lagoonvalve/internal/fleet"
)

// Config weighs what makes a replica better or worse.
type Config struct {
	// PrefillPerToken is the assumed time to read a token of a prompt.
	PrefillPerToken time.Duration
	// LongPrompt is the number of tokens from which a prompt is long.
	LongPrompt fleet.Tokens
	// ShortLane is added for a long prompt at the replica that is kept for
	// short ones, and LongLane for a short prompt at the others.
	ShortLane, LongLane time.Duration
	// PerRunning is added for each running request.
	PerRunning time.Duration
	// SameRegion and OtherRegion are added for the way to another data centre.
	SameRegion, OtherRegion time.Duration
	// SharedWeight is the part of the reading of shared prompt parts that is
	// expected to be saved at the replica where all gateways send them.
	SharedWeight float64
}

// DefaultConfig returns the defaults.
func DefaultConfig() Config {
	return Config{
		PrefillPerToken: 25 * time.Microsecond,
		LongPrompt:      2000,
		ShortLane:       250 * time.Millisecond,
		LongLane:        100 * time.Millisecond,
		PerRunning:      3 * time.Millisecond,
		SameRegion:      2 * time.Millisecond,
		OtherRegion:     60 * time.Millisecond,
		SharedWeight:    0.5,
	}
}

// Candidate is a replica that holds what the request needs.
type Candidate struct {
	// Hash identifies the upstream in rankings.
	Hash     uint64
	Locality routing.Locality
	Running  int
	// PendingPrefill is the expected time to read the prompts sent there before.
	PendingPrefill time.Duration
	// Cached is how many tokens of the prompt are believed to be kept there.
	Cached fleet.Tokens
	// Ejected replicas are chosen only if all are.
	Ejected bool
}

// Request is what the choice needs to know of a request.
type Request struct {
	// ModelHash ranks the replicas for the lane of short prompts.
	ModelHash uint64
	Prompt    fleet.Tokens
	// Shared is the number of tokens of the parts that other requests share,
	// and SharedID names them.
	Shared   fleet.Tokens
	SharedID uint64
}

// Select returns the index of the replica with the least cost, or -1 if there
// are none.
func (c Config) Select(candidates []Candidate, req Request) int {
	short, home := -1, -1
	if len(candidates) > 1 && req.Prompt > 0 {
		short = highest(candidates, req.ModelHash, -1)
		home = highest(candidates, req.SharedID, short)
	}
	best, bestCost := -1, time.Duration(0)
	for i := range candidates {
		cost := c.cost(&candidates[i], req, i == short, i == home, short >= 0)
		switch {
		case best < 0,
			candidates[best].Ejected && !candidates[i].Ejected,
			candidates[best].Ejected == candidates[i].Ejected && cost < bestCost:
			best, bestCost = i, cost
		}
	}
	return best
}

// highest returns the candidate of the highest rank for a key, without one.
func highest(candidates []Candidate, key uint64, without int) int {
	best, rank := -1, uint64(0)
	for i := range candidates {
		if r := routing.Rank(key, candidates[i].Hash); i != without && (best < 0 || r > rank) {
			best, rank = i, r
		}
	}
	return best
}

func (c Config) cost(cand *Candidate, req Request, short, home, lanes bool) time.Duration {
	unread := max(req.Prompt-cand.Cached, 0)
	cost := time.Duration(unread)*c.PrefillPerToken + cand.PendingPrefill + time.Duration(cand.Running)*c.PerRunning
	long := req.Prompt >= c.LongPrompt
	switch {
	case !lanes:
	case long && short:
		cost += c.ShortLane
	case !long && !short:
		cost += c.LongLane
	}
	if long && home {
		saved := max(req.Shared-cand.Cached, 0)
		cost -= time.Duration(c.SharedWeight * float64(time.Duration(saved)*c.PrefillPerToken))
	}
	switch cand.Locality {
	case routing.SameRegion:
		cost += c.SameRegion
	case routing.OtherRegion:
		cost += c.OtherRegion
	}
	return cost
}
