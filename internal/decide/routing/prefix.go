package routing

import (
	"math/bits"

	"github.com/cespare/xxhash/v2"

	"github.com/lagoonvalve/lagoonvalve/internal/defaults"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// PrefixConfig bounds prefix beliefs. Zero values mean the defaults.
type PrefixConfig struct {
	// MaxBlocks bounds the (block, upstream) beliefs; default 16384. The
	// oldest belief is dropped first.
	MaxBlocks int
	// BlockBytes is the size of a hashed block of the prompt; default 512.
	BlockBytes int
	// MaxPrefix bounds the blocks hashed per prompt; default 32.
	MaxPrefix int
}

// belief names one block at one upstream.
type belief struct {
	block    uint64
	upstream int
}

// PrefixIndex remembers which upstreams probably hold which prompt prefixes
// in their caches. A belief is a hint: it may be wrong or missing. It is not
// safe for concurrent use.
type PrefixIndex struct {
	cfg PrefixConfig
	// places holds each belief's place in the ring.
	places map[belief]int
	ring   []belief
	next   int
}

// NewPrefixIndex returns an empty set of beliefs.
func NewPrefixIndex(cfg PrefixConfig) *PrefixIndex {
	defaults.Set(&cfg.MaxBlocks, 16384)
	defaults.Set(&cfg.BlockBytes, 512)
	defaults.Set(&cfg.MaxPrefix, 32)
	return &PrefixIndex{cfg: cfg, places: make(map[belief]int)}
}

// Blocks appends the chained hashes of the leading blocks of a prompt for a
// replica key to dst.
func (b *PrefixIndex) Blocks(dst []uint64, key state.ReplicaKey, prompt []byte) []uint64 {
	chain := xxhash.Sum64String(string(key.Model)) ^ bits.RotateLeft64(xxhash.Sum64String(string(key.Version)), 1)
	for range b.cfg.MaxPrefix {
		if len(prompt) < b.cfg.BlockBytes {
			break
		}
		chain = bits.RotateLeft64(chain, 7)*0x9e3779b97f4a7c15 ^ xxhash.Sum64(prompt[:b.cfg.BlockBytes])
		dst = append(dst, chain)
		prompt = prompt[b.cfg.BlockBytes:]
	}
	return dst
}

// Record notes that an upstream has processed a prompt.
func (b *PrefixIndex) Record(upstream int, blocks []uint64) {
	for _, block := range blocks {
		entry := belief{block: block, upstream: upstream}
		if at, ok := b.places[entry]; ok {
			// A renewed belief moves to the young end of the ring.
			b.ring[at] = belief{upstream: -1}
		}
		b.add(entry)
	}
}

func (b *PrefixIndex) add(entry belief) {
	if len(b.ring) < b.cfg.MaxBlocks {
		b.places[entry] = len(b.ring)
		b.ring = append(b.ring, entry)
		return
	}
	if oldest := b.ring[b.next]; oldest.upstream >= 0 {
		delete(b.places, oldest)
	}
	b.ring[b.next] = entry
	b.places[entry] = b.next
	b.next = (b.next + 1) % len(b.ring)
}

// Share returns the believed share of blocks that an upstream holds.
func (b *PrefixIndex) Share(upstream int, blocks []uint64) float64 {
	for i, block := range blocks {
		if _, ok := b.places[belief{block: block, upstream: upstream}]; !ok {
			return float64(i) / float64(len(blocks))
		}
	}
	if len(blocks) == 0 {
		return 0
	}
	return 1
}

// Forget drops beliefs about an upstream, for instance after its engine
// restarted.
func (b *PrefixIndex) Forget(upstream int) {
	for i, entry := range b.ring {
		if entry.upstream == upstream {
			delete(b.places, entry)
			b.ring[i] = belief{upstream: -1}
		}
	}
}

// Len counts the beliefs.
func (b *PrefixIndex) Len() int { return len(b.places) }

const (
	// affinityBlocks is the length of the prefix by which sessions meet at a
	// replica: longer than most system prompts that sessions share, and not
	// longer than the first prompt of most sessions.
	affinityBlocks = 4
	// assumedShare of a prompt is assumed to be cached where entries agree to
	// send it. It lies below what an entry believes that has seen the session.
	assumedShare = 0.5
)

// Affinity names the start of a prompt of a caller; zero if the prompt is
// shorter than a block.
func Affinity(caller state.CallerName, blocks []uint64) uint64 {
	if len(blocks) == 0 {
		return 0
	}
	return blocks[min(len(blocks), affinityBlocks)-1] ^ xxhash.Sum64String(string(caller))
}

// UpstreamHash is what Rank needs of an upstream's name. Callers keep it, since
// a choice ranks all candidates.
func UpstreamHash(upstream state.UpstreamName) uint64 { return xxhash.Sum64String(string(upstream)) }

// Rank is the place of an upstream in an order for an affinity that all entries
// agree on (rendezvous hashing).
func Rank(affinity, upstreamHash uint64) uint64 {
	if affinity == 0 {
		return 0
	}
	mixed := (affinity ^ upstreamHash) * 0x9e3779b97f4a7c15
	return mixed ^ mixed>>29
}

// AssumePrefix takes the usable candidate of the highest rank outside other
// regions for one that holds part of the prompt: the entries that have served
// earlier turns of the session have sent them there.
func AssumePrefix(candidates []Candidate) {
	best := -1
	for i := range candidates {
		cand := &candidates[i]
		if cand.Rank == 0 || cand.Ejected || cand.Locality == OtherRegion {
			continue
		}
		if best < 0 || cand.Rank > candidates[best].Rank {
			best = i
		}
	}
	if best >= 0 {
		candidates[best].Prefix = max(candidates[best].Prefix, assumedShare)
	}
}
