package entry

import (
	"context"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/decide/placement"
	"github.com/lagoonvalve/lagoonvalve/internal/platform"
	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

const (
	// cacheInterval is the time between two questions of the decider about
	// cached checkpoints. A question with its answer is about 440 B at four
	// replicas an upstream, 0.9 KB/s of the decider's 3 KB/s. At 1,500
	// upstreams a round takes twelve minutes.
	cacheInterval = 500 * time.Millisecond
	// cacheTimeout bounds such a question.
	cacheTimeout = time.Second
)

// cacheTable holds which checkpoints the upstreams have cached, as the decider
// has asked them one by one. An old answer costs a slower load, nothing else.
type cacheTable struct {
	asked  time.Time
	last   state.UpstreamName
	tables map[state.UpstreamName]map[string]platform.CacheTier
}

// next returns the upstream to ask, in order of name.
func (t *cacheTable) next(config *state.ConfigView, region state.Region) (state.Upstream, bool) {
	var first, following state.Upstream
	for u := range config.Upstreams() {
		if u.Region != region || u.Kind == state.PlainService {
			continue
		}
		if first.Name == "" {
			first = u
		}
		if following.Name == "" && u.Name > t.last {
			following = u
		}
	}
	if following.Name == "" {
		following = first
	}
	return following, following.Name != ""
}

// askCaches asks one upstream's agent what it has cached.
func (c *control) askCaches(ctx context.Context, now time.Time) {
	t := &c.fleet.caches
	if now.Sub(t.asked) < cacheInterval {
		return
	}
	t.asked = now
	upstream, ok := t.next(c.config.View(), c.cfg.region)
	if !ok {
		return
	}
	t.last = upstream.Name
	c.start(ctx, func(ctx context.Context) event {
		ctx, cancel := context.WithTimeout(ctx, cacheTimeout)
		defer cancel()
		var status rpc.AgentStatus
		if err := c.deps.caller.Call(ctx, upstream.ControlAddr, rpc.MethodAgentStatus, struct{}{}, &status); err != nil {
			return nil
		}
		return cachesAnswered{upstream: upstream.Name, cached: status.Cached}
	})
}

// cachesAnswered is what an upstream has cached, by "model/version".
type cachesAnswered struct {
	upstream state.UpstreamName
	cached   map[string]platform.CacheTier
}

func (e cachesAnswered) apply(c *control, _ time.Time) {
	if c.fleet.caches.tables == nil {
		c.fleet.caches.tables = make(map[state.UpstreamName]map[string]platform.CacheTier)
	}
	c.fleet.caches.tables[e.upstream] = e.cached
}

// byCheckpoint turns the answers round for the planner.
func (t *cacheTable) byCheckpoint(config *state.ConfigView) map[state.ReplicaKey][]placement.Cached {
	all := make(map[state.ReplicaKey][]placement.Cached)
	if len(t.tables) == 0 {
		return all
	}
	keys := make(map[string]state.ReplicaKey)
	for version := range config.Versions() {
		keys[version.Key().Path()] = version.Key()
	}
	for upstream := range config.Upstreams() {
		for path, tier := range t.tables[upstream.Name] {
			if key, ok := keys[path]; ok {
				all[key] = append(all[key], placement.Cached{Upstream: upstream.Name, Tier: tier})
			}
		}
	}
	return all
}
