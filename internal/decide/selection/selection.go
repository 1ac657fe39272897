// Package selection chooses the replica for a request among those that hold its
// model. Engines process a long prompt in chunks between the tokens of running
// streams (chunked prefill), so it slows down every stream on the same replica.
// Of each model with several replicas and long prompts, one is therefore reserved for
// short prompts as far as the load allows (size-based assignment). All gateways
// determine the same one by rendezvous hashing, without communication.
package selection

import (
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/decide/routing"
	"github.com/lagoonvalve/lagoonvalve/internal/fleet"
)

// Config holds the weights of the cost of a replica.
type Config struct {
	// PrefillPerToken is the assumed time to prefill one token of a prompt.
	PrefillPerToken time.Duration
	// LongPrompt is the number of tokens from which a prompt counts as long.
	LongPrompt fleet.Tokens
	// LongPromptPenalty is added for a long prompt at the replica reserved for
	// short prompts, and ShortPromptPenalty for a short prompt at the others.
	LongPromptPenalty, ShortPromptPenalty time.Duration
	// PerRunningRequest is added for each running request.
	PerRunningRequest time.Duration
	// SameRegionCost and OtherRegionCost are added for the latency to another
	// data centre of the same region, and to another region.
	SameRegionCost, OtherRegionCost time.Duration
	// SharedWeight is the share of the prefill time of shared prompt parts that
	// is expected to be saved at the replica to which all gateways send them.
	SharedWeight float64
}

// DefaultConfig returns the default weights.
func DefaultConfig() Config {
	return Config{
		PrefillPerToken:    25 * time.Microsecond,
		LongPrompt:         2000,
		LongPromptPenalty:  250 * time.Millisecond,
		ShortPromptPenalty: 100 * time.Millisecond,
		PerRunningRequest:  3 * time.Millisecond,
		SameRegionCost:     2 * time.Millisecond,
		OtherRegionCost:    60 * time.Millisecond,
		SharedWeight:       0.5,
	}
}

// Candidate is a replica that holds what the request needs.
type Candidate struct {
	// Hash identifies the upstream in rendezvous hashing.
	Hash     uint64
	Locality routing.Locality
	Running  int
	// PendingPrefill is the expected time to prefill the prompts that were sent to the
	// replica before.
	PendingPrefill time.Duration
	// PerToken is the measured time to prefill one token of the request's prompt; zero
	// stands for the assumed one.
	PerToken time.Duration
	// Cached is how many tokens of the prompt the replica is estimated to have
	// cached.
	Cached fleet.Tokens
	// Delay is the expected time until the request may be sent to the replica.
	Delay time.Duration
	// Ejected replicas are chosen only if all are, and Avoided ones only if there are
	// none but these and ejected ones.
	Ejected, Avoided bool
}

// preference orders candidates before their costs do; the lowest is the best.
func (c *Candidate) preference() int {
	switch {
	case c.Ejected:
		return 2
	case c.Avoided:
		return 1
	default:
		return 0
	}
}

// Request describes a request for the choice of a replica.
type Request struct {
	// ModelHash is the hash of the model name. It determines the replica reserved
	// for short prompts.
	ModelHash uint64
	// LongPrompts is set if the model has received long prompts lately.
	LongPrompts bool
	Prompt      fleet.Tokens
	// Shared is the number of tokens in the prompt parts that other requests
	// share, and SharedID is the hash of these parts.
	Shared   fleet.Tokens
	SharedID uint64
}

// Select returns the index of the candidate with the lowest cost, or -1 if there
// are none.
func (c Config) Select(candidates []Candidate, req Request) int {
	reserved, shared := -1, -1
	if len(candidates) > 1 && req.Prompt > 0 {
		if req.LongPrompts {
			reserved = highestRanked(candidates, req.ModelHash, -1)
		}
		shared = highestRanked(candidates, req.SharedID, reserved)
	}
	best, bestCost, bestPreference := -1, time.Duration(0), 0
	for i := range candidates {
		cost := c.cost(&candidates[i], req, i == reserved, i == shared, reserved >= 0)
		preference := candidates[i].preference()
		if best < 0 || preference < bestPreference || preference == bestPreference && cost < bestCost {
			best, bestCost, bestPreference = i, cost, preference
		}
	}
	return best
}

// highestRanked returns the index of the candidate with the highest rank for a key,
// other than the excluded one.
func highestRanked(candidates []Candidate, key uint64, excluded int) int {
	best, rank := -1, uint64(0)
	for i := range candidates {
		if r := routing.Rank(key, candidates[i].Hash); i != excluded && (best < 0 || r > rank) {
			best, rank = i, r
		}
	}
	return best
}

// cost returns the cost of a request at a candidate: its expected delay and penalties.
// isReserved is set if the candidate is the replica reserved for short prompts,
// isShared if all gateways send the request's shared prompt parts there, and
// hasReserved if any candidate is reserved.
func (c Config) cost(cand *Candidate, req Request, isReserved, isShared, hasReserved bool) time.Duration {
	uncached := max(req.Prompt-cand.Cached, 0)
	perToken := cand.PerToken
	if perToken <= 0 {
		perToken = c.PrefillPerToken
	}
	cost := cand.Delay + time.Duration(uncached)*perToken + cand.PendingPrefill + time.Duration(cand.Running)*c.PerRunningRequest
	long := req.Prompt >= c.LongPrompt
	switch {
	case !hasReserved:
	case long && isReserved:
		cost += c.LongPromptPenalty
	case !long && !isReserved:
		cost += c.ShortPromptPenalty
	}
	if long && isShared {
		saved := max(req.Shared-cand.Cached, 0)
		cost -= time.Duration(c.SharedWeight * float64(time.Duration(saved)*perToken))
	}
	switch cand.Locality {
	case routing.SameRegion:
		cost += c.SameRegionCost
	case routing.OtherRegion:
		cost += c.OtherRegionCost
	}
	return cost
}
