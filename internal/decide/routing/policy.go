package routing

import (
	"math/rand/v2"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/defaults"
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

func (c DelayConfig) withDefaults() DelayConfig {
	defaults.Set(&c.RegionPenalty, 2*time.Millisecond)
	defaults.Set(&c.RemotePenalty, 500*time.Millisecond)
	defaults.Set(&c.AdapterPenalty, 12*time.Millisecond)
	defaults.Set(&c.PrefixWeight, 0.8)
	return c
}

// delay predicts the time that a request spends at a candidate.
func (c *DelayConfig) delay(cand *Candidate, req *Request) time.Duration {
	slots := max(cand.Slots, 1)
	load := cand.Queue + cand.Sent
	expected := cand.Latency
	if waiting := load + 1 - slots; waiting > 0 {
		expected += cand.Latency * time.Duration(waiting) / time.Duration(slots)
	}
	// Batches slow down as they fill, so of two replicas with free slots the
	// emptier one is faster; a tenth keeps this below a queued request.
	expected += cand.Latency * time.Duration(min(load, slots)) / time.Duration(10*slots)
	if !cand.AdapterLoaded {
		expected += c.AdapterPenalty
	}
	// The gain of a cached prefix counts as far as slots are free, so that it
	// never makes up for a queue and requests do not gather where the cache is
	// only believed to be.
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

// LeastDelay compares all candidates and takes the smallest expected delay.
// Entries that act on the same reports all choose the same replica, so it
// serves as a yardstick for TwoChoices.
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

// TwoChoices samples two candidates of each locality, one by its prefix and two
// that hold the adapter, and takes the one with the smallest expected delay.
// Sampling keeps entries that act on the same old reports from all choosing the
// same replica.
type TwoChoices struct{ Config DelayConfig }

// Select implements Policy.
func (p TwoChoices) Select(rng *rand.Rand, candidates []Candidate, req Request) (int, bool) {
	cfg := p.Config.withDefaults()
	var seen [OtherRegion + 1]int
	var sampled [OtherRegion + 1][2]int
	affine := -1
	holders, held := 0, [2]int{}
	for i := range candidates {
		cand := &candidates[i]
		if !usable(cand, &req) {
			continue
		}
		if cand.Prefix > 0 && (affine < 0 || cand.Prefix > candidates[affine].Prefix) {
			affine = i
		}
		if req.Adapter && cand.AdapterLoaded {
			reservoir(rng, &held, holders, i)
			holders++
		}
		reservoir(rng, &sampled[cand.Locality], seen[cand.Locality], i)
		seen[cand.Locality]++
	}
	best, bestDelay := affine, time.Duration(0)
	if affine >= 0 {
		bestDelay = cfg.delay(&candidates[affine], &req)
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
	for _, i := range held[:min(holders, 2)] {
		if delay := cfg.delay(&candidates[i], &req); best < 0 || delay < bestDelay {
			best, bestDelay = i, delay
		}
	}
	return best, best >= 0
}

// reservoir keeps two of the items seen so far, each pair equally likely.
func reservoir(rng *rand.Rand, kept *[2]int, seen, item int) {
	if seen < 2 {
		kept[seen] = item
		return
	}
	if at := rng.IntN(seen + 1); at < 2 {
		kept[at] = item
	}
}
