package gateway

import (
	"math/bits"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/lagoonvalve/lagoonvalve/internal/decide/routing"
	"github.com/lagoonvalve/lagoonvalve/internal/decide/selection"
	"github.com/lagoonvalve/lagoonvalve/internal/fleet"
)

// maxBeliefs bounds what a gateway remembers of prompt parts at upstreams.
const maxBeliefs = 8192

// prompts remembers which parts of prompts were sent where. Its methods may be
// called from any goroutine.
type prompts struct {
	mu      sync.Mutex
	beliefs *routing.PrefixIndex
}

func newPrompts() *prompts {
	return &prompts{beliefs: routing.NewPrefixIndex(routing.PrefixConfig{MaxBlocks: maxBeliefs})}
}

// prompt names the parts of a request's prompt. A part is kept for one model
// and adapter, and counts only after all parts before it, so each name covers
// those as well.
type prompt struct {
	model uint64
	parts []uint64
}

func newPrompt(call *fleet.RequestInfo) prompt {
	p := prompt{model: xxhash.Sum64String(string(call.Model))}
	chain := p.model ^ bits.RotateLeft64(xxhash.Sum64String(string(call.Adapter)), 1)
	for _, part := range call.Parts {
		chain = bits.RotateLeft64(chain, 7)*0x9e3779b97f4a7c15 ^ part.ID
		p.parts = append(p.parts, chain)
	}
	return p
}

// request returns what the choice of a replica needs to know. The last part is
// the request's own.
func (p prompt) request(call *fleet.RequestInfo) selection.Request {
	req := selection.Request{ModelHash: p.model, Prompt: call.Prompt}
	if n := len(p.parts) - 1; n > 0 {
		req.SharedID = p.parts[n-1]
		for _, part := range call.Parts[:n] {
			req.Shared += part.Tokens
		}
	}
	return req
}

// cached returns how many leading tokens of a prompt were sent to an upstream
// before.
func (b *prompts) cached(upstream int, p prompt, parts []fleet.PromptPart) fleet.Tokens {
	b.mu.Lock()
	share := b.beliefs.Share(upstream, p.parts)
	b.mu.Unlock()
	tokens := fleet.Tokens(0)
	for _, part := range parts[:int(share*float64(len(p.parts))+0.5)] {
		tokens += part.Tokens
	}
	return tokens
}

// shared returns the names of the parts that other requests share: all but the
// last, which is the request's own.
func (p prompt) shared() []uint64 { return p.parts[:max(len(p.parts)-1, 0)] }

// sent notes that parts of a prompt were sent to an upstream.
func (b *prompts) sent(upstream int, parts []uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.beliefs.Record(upstream, parts)
}
