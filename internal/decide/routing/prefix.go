package routing

import (
	"math/bits"

	"github.com/cespare/xxhash/v2"

	"github.com/lagoonvalve/lagoonvalve/internal/defaults"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// PrefixConfig holds the limits of PrefixIndex. Zero values mean the defaults.
type PrefixConfig struct {
	// MaxBlocks bounds the recorded (block, upstream) pairs; default 16384.
	// The oldest pair is dropped first.
	MaxBlocks int
	// BlockBytes is the size of a hashed block of the prompt; default 512.
	BlockBytes int
	// MaxPrefix bounds the blocks hashed per prompt; default 32.
	MaxPrefix int
}

// blockLocation means that an upstream probably has a block in its cache. Unused
// places of the ring have upstream -1.
type blockLocation struct {
	block    uint64
	upstream int
}

// PrefixIndex is an index of the upstreams that probably hold the prefixes of
// prompts in their caches. Its entries are hints: they may be wrong or missing.
// It is not safe for concurrent use.
type PrefixIndex struct {
	cfg PrefixConfig
	// positions holds the index of each location in the ring.
	positions map[blockLocation]int
	// ring holds the locations in the order of their recording; next is the
	// index of the oldest one once the ring is full.
	ring []blockLocation
	next int
}

// NewPrefixIndex returns an empty index.
func NewPrefixIndex(cfg PrefixConfig) *PrefixIndex {
	defaults.Set(&cfg.MaxBlocks, 16384)
	defaults.Set(&cfg.BlockBytes, 512)
	defaults.Set(&cfg.MaxPrefix, 32)
	return &PrefixIndex{cfg: cfg, positions: make(map[blockLocation]int)}
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

// Record records that an upstream has processed a prompt with the given blocks.
func (b *PrefixIndex) Record(upstream int, blocks []uint64) {
	for _, block := range blocks {
		location := blockLocation{block: block, upstream: upstream}
		if at, ok := b.positions[location]; ok {
			// The place is vacated: a repeated location is recorded again as
			// the newest one.
			b.ring[at] = blockLocation{upstream: -1}
		}
		b.add(location)
	}
}

func (b *PrefixIndex) add(location blockLocation) {
	if len(b.ring) < b.cfg.MaxBlocks {
		b.positions[location] = len(b.ring)
		b.ring = append(b.ring, location)
		return
	}
	if oldest := b.ring[b.next]; oldest.upstream >= 0 {
		delete(b.positions, oldest)
	}
	b.ring[b.next] = location
	b.positions[location] = b.next
	b.next = (b.next + 1) % len(b.ring)
}

// Share returns the estimated fraction of the leading blocks that an upstream
// holds.
func (b *PrefixIndex) Share(upstream int, blocks []uint64) float64 {
	for i, block := range blocks {
		if _, ok := b.positions[blockLocation{block: block, upstream: upstream}]; !ok {
			return float64(i) / float64(len(blocks))
		}
	}
	if len(blocks) == 0 {
		return 0
	}
	return 1
}

// Forget drops all locations at an upstream, for instance after its engine has
// restarted.
func (b *PrefixIndex) Forget(upstream int) {
	for i, location := range b.ring {
		if location.upstream == upstream {
			delete(b.positions, location)
			b.ring[i] = blockLocation{upstream: -1}
		}
	}
}

// Len returns the number of recorded locations.
func (b *PrefixIndex) Len() int { return len(b.positions) }

const (
	// affinityBlocks is the length, in blocks, of the prefix that determines the
	// replica of a session: longer than most system prompts that sessions share,
	// and not longer than the first prompt of most sessions.
	affinityBlocks = 4
	// assumedPrefix is the fraction of a prompt that is assumed to be cached at
	// the replica of the highest rank. It is lower than the estimate of an entry
	// that has served the session itself.
	assumedPrefix = 0.5
)

// Affinity returns a key for the start of a caller's prompt, or zero if the
// prompt is shorter than a block.
func Affinity(caller state.CallerName, blocks []uint64) uint64 {
	if len(blocks) == 0 {
		return 0
	}
	return blocks[min(len(blocks), affinityBlocks)-1] ^ xxhash.Sum64String(string(caller))
}

// UpstreamHash returns the hash of an upstream's name for Rank. Its users store
// it, since each choice ranks all candidates.
func UpstreamHash(upstream state.UpstreamName) uint64 { return xxhash.Sum64String(string(upstream)) }

// Rank returns the weight of an upstream for an affinity, which is the same at
// all entries; the upstream with the highest one is preferred (rendezvous
// hashing). It is zero without an affinity.
func Rank(affinity, upstreamHash uint64) uint64 {
	if affinity == 0 {
		return 0
	}
	mixed := (affinity ^ upstreamHash) * 0x9e3779b97f4a7c15
	return mixed ^ mixed>>29
}

// AssumePrefix assumes that the candidate with the highest rank holds part of the
// prompt in its cache: the entries that served earlier turns of the session have
// probably sent them there. Ejected candidates and those in other regions are not
// considered.
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
		candidates[best].Prefix = max(candidates[best].Prefix, assumedPrefix)
	}
}
