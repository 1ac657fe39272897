package routing

import "github.com/lagoonvalve/lagoonvalve/internal/state"

// PrefixConfig bounds prefix beliefs. Zero values mean the defaults.
type PrefixConfig struct {
	// MaxBlocks bounds the (block, upstream) beliefs; default 16384. The
	// oldest belief is dropped first.
	MaxBlocks int
	// BlockBytes is the size of a hashed block of the prompt; default 512.
	BlockBytes int
	// MaxPrefix bounds the blocks hashed per prompt; default 16.
	MaxPrefix int
}

// PrefixBeliefs remembers which upstreams probably hold which prompt prefixes
// in their caches. A belief is a hint: it may be wrong or missing. It is not
// safe for concurrent use.
type PrefixBeliefs struct{ cfg PrefixConfig }

// NewPrefixBeliefs returns an empty set of beliefs.
func NewPrefixBeliefs(cfg PrefixConfig) *PrefixBeliefs { return &PrefixBeliefs{cfg: cfg} }

// Blocks appends the chained hashes of the leading blocks of a prompt for a
// replica key to dst.
func (b *PrefixBeliefs) Blocks(dst []uint64, key state.ReplicaKey, prompt []byte) []uint64 {
	return dst
}

// Record notes that an upstream has processed a prompt.
func (b *PrefixBeliefs) Record(upstream int, blocks []uint64) {}

// Share returns the believed share of blocks that an upstream holds.
func (b *PrefixBeliefs) Share(upstream int, blocks []uint64) float64 { return 0 }

// Forget drops beliefs about an upstream, for instance after its engine
// restarted.
func (b *PrefixBeliefs) Forget(upstream int) {}
