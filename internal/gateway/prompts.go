package gateway

import (
	"log/slog"
	"math/bits"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lagoonvalve/lagoonvalve/internal/decide/routing"
	"github.com/lagoonvalve/lagoonvalve/internal/decide/selection"
	"github.com/lagoonvalve/lagoonvalve/internal/fleet"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// maxPrefixBlocks bounds the prompt parts that a gateway records for upstreams.
const maxPrefixBlocks = 8192

// sentPrompts records which parts of prompts were sent to which upstream. Its
// methods may be called from any goroutine.
type sentPrompts struct {
	mu       sync.Mutex
	prefixes *routing.PrefixIndex
}

func newSentPrompts() *sentPrompts {
	return &sentPrompts{prefixes: routing.NewPrefixIndex(routing.PrefixConfig{MaxBlocks: maxPrefixBlocks})}
}

// prompt identifies the parts of a request's prompt. A cached part can be reused
// only for the same model and adapter and after the same preceding parts, so each
// identifier is a hash over the model, the adapter and all parts up to that one.
type prompt struct {
	model uint64
	parts []uint64
	// ids are the identifiers of the parts as the caller sent them, which don't
	// depend on the model or on other parts.
	ids []uint64
}

func newPrompt(call *fleet.RequestInfo) prompt {
	p := prompt{model: xxhash.Sum64String(string(call.Model))}
	chain := p.model ^ bits.RotateLeft64(xxhash.Sum64String(string(call.Adapter)), 1)
	for _, part := range call.Parts {
		chain = bits.RotateLeft64(chain, 7)*0x9e3779b97f4a7c15 ^ part.ID
		p.parts = append(p.parts, chain)
		p.ids = append(p.ids, part.ID)
	}
	return p
}

// LogValue implements slog.LogValuer: the identifiers of the parts as the caller
// sent them, by which the failed requests with a part can be found.
func (p prompt) LogValue() slog.Value {
	var b strings.Builder
	for i, id := range p.ids {
		if i > 0 {
			b.WriteByte(',')
		}
		b.WriteString(strconv.FormatUint(id, 16))
	}
	return slog.StringValue(b.String())
}

// longPromptTTL is how long a model counts as one that receives long prompts.
const longPromptTTL = 20 * time.Second

// longPrompts records when models last received long prompts. Its methods may be
// called from any goroutine.
type longPrompts struct {
	// minimum is the number of tokens from which a prompt is long.
	minimum fleet.Tokens

	mu   sync.Mutex
	last map[state.ModelName]time.Time
}

func newLongPrompts(minimum fleet.Tokens) *longPrompts {
	return &longPrompts{minimum: minimum, last: make(map[state.ModelName]time.Time)}
}

// record records a prompt and reports whether its model has received long ones lately.
func (l *longPrompts) record(model state.ModelName, tokens fleet.Tokens, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if tokens >= l.minimum {
		l.last[model] = now
	}
	last, ok := l.last[model]
	if ok && now.Sub(last) > longPromptTTL {
		delete(l.last, model)
		return false
	}
	return ok
}

// lately returns what record would return, and records nothing.
func (l *longPrompts) lately(model state.ModelName, tokens fleet.Tokens, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	last, ok := l.last[model]
	return tokens >= l.minimum || ok && now.Sub(last) <= longPromptTTL
}

// selectionRequest returns the input for the choice of a replica. The last part of
// the prompt is specific to the request and not shared.
func (p prompt) selectionRequest(call *fleet.RequestInfo, longPrompts bool) selection.Request {
	req := selection.Request{ModelHash: p.model, Prompt: call.Prompt, LongPrompts: longPrompts}
	if n := len(p.parts) - 1; n > 0 {
		req.SharedID = p.parts[n-1]
		for _, part := range call.Parts[:n] {
			req.Shared += part.Tokens
		}
	}
	return req
}

// cachedTokens returns how many leading tokens of a prompt were sent to an upstream
// before.
func (s *sentPrompts) cachedTokens(upstream int, p prompt, parts []fleet.PromptPart) fleet.Tokens {
	s.mu.Lock()
	share := s.prefixes.Share(upstream, p.parts)
	s.mu.Unlock()
	tokens := fleet.Tokens(0)
	for _, part := range parts[:int(share*float64(len(p.parts))+0.5)] {
		tokens += part.Tokens
	}
	return tokens
}

// sharedParts returns the identifiers of the parts that other requests may share:
// all but the last, which is specific to the request.
func (p prompt) sharedParts() []uint64 { return p.parts[:max(len(p.parts)-1, 0)] }

// record records that parts of a prompt were sent to an upstream.
func (s *sentPrompts) record(upstream int, parts []uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.prefixes.Record(upstream, parts)
}
