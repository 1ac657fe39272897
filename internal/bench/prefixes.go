package bench

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/decide/routing"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

const (
	// prefixCacheBytes is the prompt text whose KV cache an engine keeps.
	prefixCacheBytes = 512 * 1024
	// prefillBase and prefillPerByte give the time to process a prompt: a
	// tenth of a millisecond per token of four bytes.
	prefillBase    = 40 * time.Millisecond
	prefillPerByte = 25 * time.Microsecond
	// thinkTime is the mean time between an answer and the next turn.
	thinkTime = 8 * time.Second
)

// prefixesExperiment runs sessions whose prompts grow with each turn. Half of
// the models have a system prompt of 512 B and half one of 4 KiB. A session's
// turns reach entries of its region at random. All replicas are loaded, so that there is a
// choice.
var prefixesExperiment = experiment{name: "prefixes", length: 120 * time.Second, rate: steady, preloaded: true, turns: 8}

// turns draws sessions of e.turns turns on average.
func turns(rng *rand.Rand, s size, e experiment) []*request {
	weights := zipf(s.active)
	systems := make([][]byte, s.active)
	for model := range systems {
		systems[model] = text(rng, 512+model%2*3584)
	}
	var all []*request
	session := 0
	for at := time.Duration(0); at < e.length; {
		at += time.Duration(rng.ExpFloat64() * float64(e.turns) / s.rate / e.rate(at) * float64(time.Second))
		session++
		model := pick(rng, weights)
		prompt := slices.Clone(systems[model])
		caller, region := callerName(rng.IntN(20)), rng.IntN(s.regions)
		turn := at
		for range 1 + rng.IntN(2*e.turns-1) {
			prompt = append(prompt, text(rng, 500+rng.IntN(2500))...)
			if turn >= e.length {
				break
			}
			r := draw(rng, s, e, model, turn)
			r.caller, r.session, r.system, r.prompt = caller, session, len(systems[model]), prompt[:len(prompt):len(prompt)]
			for r.entry%s.centres%s.regions != region {
				r.entry = rng.IntN(s.entries)
			}
			r.total -= r.prefill
			r.prefill = prefillBase + time.Duration(len(prompt))*prefillPerByte
			r.total += r.prefill
			r.volume += state.Bytes(len(prompt))
			all = append(all, r)
			turn += r.total + time.Duration(rng.ExpFloat64()*float64(thinkTime))
		}
	}
	slices.SortStableFunc(all, func(a, b *request) int { return a.arrived.Compare(b.arrived) })
	return all
}

func text(rng *rand.Rand, n int) []byte {
	all := make([]byte, n)
	for i := range all {
		all[i] = byte('a' + rng.IntN(26))
	}
	return all
}

// prefixCache is an engine's cache: the prompt bytes of sessions and, by the
// negative of the model, of system prompts, the longest unused dropped first.
type prefixCache struct {
	held  map[int]cachedPrefix
	bytes int
	clock int
}

type cachedPrefix struct{ size, used int }

// use returns how much of a prompt is cached and caches the whole of it.
func (c *prefixCache) use(r *request) int {
	hit := min(max(c.held[r.session].size, c.held[-r.model-1].size), len(r.prompt))
	c.put(-r.model-1, r.system)
	c.put(r.session, len(r.prompt))
	for c.bytes > prefixCacheBytes {
		oldest := 0
		for key, prefix := range c.held {
			if oldest == 0 || prefix.used < c.held[oldest].used {
				oldest = key
			}
		}
		c.bytes -= c.held[oldest].size
		delete(c.held, oldest)
	}
	return hit
}

func (c *prefixCache) put(key, size int) {
	if c.held == nil {
		c.held = make(map[int]cachedPrefix)
	}
	c.clock++
	size = max(size, c.held[key].size)
	c.bytes += size - c.held[key].size
	c.held[key] = cachedPrefix{size: size, used: c.clock}
}

// prefillSaved is how much shorter the cache makes a request.
func (u *upstream) prefillSaved(r *request) time.Duration {
	if len(r.prompt) == 0 {
		return 0
	}
	hit := 0
	if !u.w.exp.noPrefixCache {
		hit = u.prefixes.use(r)
	}
	u.w.result.promptBytes += len(r.prompt)
	u.w.result.hitBytes += hit
	return time.Duration(hit)*prefillPerByte + u.importGain(r, hit)
}

// entryPrefixes is what an entry believes of a model's prefixes.
type entryPrefixes struct {
	beliefs map[int]*routing.PrefixIndex
}

func (e *entry) beliefs(model int) *routing.PrefixIndex {
	if e.prefixes.beliefs == nil {
		e.prefixes.beliefs = make(map[int]*routing.PrefixIndex)
	}
	b := e.prefixes.beliefs[model]
	if b == nil {
		b = routing.NewPrefixIndex(routing.PrefixConfig{})
		e.prefixes.beliefs[model] = b
	}
	return b
}

// blocks are the hashes of the prompt's leading blocks.
func (e *entry) blocks(r *request) []uint64 {
	if r == nil || len(r.prompt) == 0 || e.o.exp.noAffinity {
		return nil
	}
	if r.blocks == nil {
		r.blocks = e.beliefs(r.model).Blocks(nil, modelKey(r.model), r.prompt)
	}
	return r.blocks
}

func (e *entry) prefix(r *request, up int) float64 {
	blocks := e.blocks(r)
	if len(blocks) == 0 {
		return 0
	}
	return e.beliefs(r.model).Share(up, blocks)
}

// rank is the upstream's place in the order for the prompt of r.
func (e *entry) rank(r *request, up int) uint64 {
	blocks := e.blocks(r)
	if len(blocks) == 0 {
		return 0
	}
	return routing.Rank(routing.Affinity(r.caller, blocks), routing.UpstreamHash(state.UpstreamName(modelName(up))))
}

// notePrefix records that an upstream has processed a prompt.
func (e *entry) notePrefix(r *request, up int) {
	if blocks := e.blocks(r); len(blocks) > 0 {
		e.beliefs(r.model).Record(up, blocks)
	}
}

func (r *result) hitShare() float64 { return float64(r.hitBytes) / float64(max(r.promptBytes, 1)) }

// judgePrefixes compares with ours without prefix affinity and with the naive
// version.
func (t *table) judgePrefixes(s size, e experiment, o outcomes) {
	shares := [2]float64{o.naive.hitShare(), o.base.hitShare()}
	t.target(s, e, fmt.Sprintf("hit share of prompt bytes (naive %.2f, without affinity %.2f)", shares[0], shares[1]), o.ours.hitShare(), max(shares[0], shares[1]), false)
	first := func(r *result, q float64) time.Duration { return quantile(r.first, q) }
	for _, q := range []float64{50, 99} {
		t.target(s, e, fmt.Sprintf("p%.0f first token / without affinity", q), ratio(first(o.ours, q), first(o.base, q)), 1, true)
	}
	t.target(s, e, "in time / naive", float64(o.ours.served())/float64(max(o.naive.served(), 1)), 1, false)
	t.target(s, e, "paid MB / without affinity", float64(o.ours.crossed)/float64(cmp.Or(o.base.crossed, 1)), 1.5, true)
}
