package routing

import (
	"math/rand/v2"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/defaults"
)

// DelayConfig holds the terms by which the expected delay of a candidate is
// increased or reduced. Zero values mean the defaults.
type DelayConfig struct {
	// RegionPenalty is added for another data centre of the region; default
	// 2 ms, the round trip between data centres of a region.
	RegionPenalty time.Duration
	// RemotePenalty is added for another region; default 500 ms. It covers the
	// round trip and the cost of paid traffic.
	RemotePenalty time.Duration
	// AdapterPenalty is added if the adapter must be loaded; default 12 ms.
	AdapterPenalty time.Duration
	// PrefixWeight is the fraction of the estimated gain from a cached prefix
	// that counts; default 0.8, because the estimate may be wrong.
	PrefixWeight float64
}

func (c DelayConfig) withDefaults() DelayConfig {
	defaults.Set(&c.RegionPenalty, 2*time.Millisecond)
	defaults.Set(&c.RemotePenalty, 500*time.Millisecond)
	defaults.Set(&c.AdapterPenalty, 12*time.Millisecond)
	defaults.Set(&c.PrefixWeight, 0.8)
	return c
}

// delay predicts the time that a request will spend at a candidate, with the
// penalties of DelayConfig.
func (c *DelayConfig) delay(cand *Candidate, req *Request) time.Duration {
	slots := max(cand.Slots, 1)
	load := cand.Queue + cand.Sent
	expected := cand.Latency
	if waiting := load + 1 - slots; waiting > 0 {
		expected += cand.Latency * time.Duration(waiting) / time.Duration(slots)
	}
	// A batch runs more slowly the fuller it is, so of two replicas with free
	// slots the emptier one is faster. The divisor 10 keeps this term below the
	// cost of a queued request.
	expected += cand.Latency * time.Duration(min(load, slots)) / time.Duration(10*slots)
	if !cand.AdapterLoaded {
		expected += c.AdapterPenalty
	}
	// The gain from a cached prefix counts in proportion to the free slots, so
	// that it never outweighs a queue and requests do not accumulate at a replica
	// whose cache contents are only estimated.
	if cand.Prefix > 0 && load < slots {
		free := float64(slots-load) / float64(slots)
		expected -= time.Duration(c.PrefixWeight * cand.Prefix * free * float64(req.Prefill))
	}
	switch cand.Locality {
	case SameRegion:
		expected += c.RegionPenalty
	case OtherRegion:
		expected += c.RemotePenalty
	}
	return expected
}

func usable(cand *Candidate, req *Request) bool {
	if cand.Ejected || cand.Replica == req.Exclude {
		return false
	}
	return cand.Locality != OtherRegion || req.Remote
}

// LeastDelay selects the candidate with the smallest expected delay of all.
// Entries that act on the same reports all select the same replica, so it serves
// only as a baseline for TwoChoices.
type LeastDelay struct{ Config DelayConfig }

// Select implements Policy.
func (p LeastDelay) Select(_ *rand.Rand, candidates []Candidate, req Request) (int, bool) {
	cfg := p.Config.withDefaults()
	best, bestDelay := -1, time.Duration(0)
	for i := range candidates {
		if !usable(&candidates[i], &req) {
			continue
		}
		if delay := cfg.delay(&candidates[i], &req); best < 0 || delay < bestDelay {
			best, bestDelay = i, delay
		}
	}
	return best, best >= 0
}

// TwoChoices compares two random candidates of each locality, the one with the
// largest cached prefix and two random ones with the adapter, and selects the one
// with the smallest expected delay (power of two choices). Sampling keeps entries
// that act on the same old reports from all selecting the same replica.
type TwoChoices struct{ Config DelayConfig }

// Select implements Policy.
func (p TwoChoices) Select(rng *rand.Rand, candidates []Candidate, req Request) (int, bool) {
	cfg := p.Config.withDefaults()
	var seen [OtherRegion + 1]int
	var sampled [OtherRegion + 1][2]int
	bestPrefix := -1
	withAdapter, sampledAdapters := 0, [2]int{}
	for i := range candidates {
		cand := &candidates[i]
		if !usable(cand, &req) {
			continue
		}
		if cand.Prefix > 0 && (bestPrefix < 0 || cand.Prefix > candidates[bestPrefix].Prefix) {
			bestPrefix = i
		}
		if req.Adapter && cand.AdapterLoaded {
			reservoirSample(rng, &sampledAdapters, withAdapter, i)
			withAdapter++
		}
		reservoirSample(rng, &sampled[cand.Locality], seen[cand.Locality], i)
		seen[cand.Locality]++
	}
	best, bestDelay := bestPrefix, time.Duration(0)
	if bestPrefix >= 0 {
		bestDelay = cfg.delay(&candidates[bestPrefix], &req)
	}
	for locality := range sampled {
		for _, i := range sampled[locality][:min(seen[locality], 2)] {
			delay := cfg.delay(&candidates[i], &req)
			tie := delay == bestDelay && rng.Uint32()&1 == 0
			if best < 0 || delay < bestDelay || tie {
				best, bestDelay = i, delay
			}
		}
	}
	for _, i := range sampledAdapters[:min(withAdapter, 2)] {
		if delay := cfg.delay(&candidates[i], &req); best < 0 || delay < bestDelay {
			best, bestDelay = i, delay
		}
	}
	return best, best >= 0
}

// reservoirSample adds an item to a random sample of two (reservoir sampling):
// each pair of the items seen so far is equally likely to be kept.
func reservoirSample(rng *rand.Rand, kept *[2]int, seen, item int) {
	if seen < 2 {
		kept[seen] = item
		return
	}
	if at := rng.IntN(seen + 1); at < 2 {
		kept[at] = item
	}
}
