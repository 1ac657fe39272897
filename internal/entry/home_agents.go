package entry

import (
	"cmp"
	"context"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/platform"
	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

const (
	// knownFor is how long a home goes by what an agent has said of its
	// caches. A stale answer costs a slower load. 13 models with 3 grants each
	// are at most 39 questions of 440 B, 28 B/s.
	knownFor = 10 * time.Minute
	// loadKnownFor is how long it goes by the agent's load.
	loadKnownFor = 10 * time.Second
	// askedAgain is the shortest time between questions to one agent.
	askedAgain = 30 * time.Second
)

// agentFacts is what an agent has said of itself. All homes of the entry share
// it.
type agentFacts struct {
	asked time.Time
	// at is when the agent answered; zero if it has not.
	at    time.Time
	agent state.FencingToken
	slots int
	// load is its requests for each slot.
	load   float64
	cached map[string]platform.CacheTier
	rates  map[platform.CacheTier]state.Bytes
	// stale says that the caches have changed since.
	stale bool
}

// factsOf returns what is known of an agent.
func (t *homeTable) factsOf(name state.UpstreamName) *agentFacts {
	known, ok := t.agents[name]
	if !ok {
		known = &agentFacts{}
		t.agents[name] = known
	}
	return known
}

// note takes in an agent's answer.
func (f *agentFacts) note(status rpc.AgentStatus, now time.Time) {
	*f = agentFacts{
		asked: now, at: now, agent: status.Heartbeat.Agent,
		slots: cmp.Or(max(status.Concurrency, 0), startSlots), cached: status.Cached, rates: status.LoadRates,
	}
	f.load = float64(status.Heartbeat.Queue+status.Heartbeat.Running) / float64(f.slots)
}

// slotsOr returns the agent's concurrency, or the usual one if not known.
func (f *agentFacts) slotsOr(usual int) int { return cmp.Or(f.slots, usual) }

// loadAt is the agent's load, or zero if the last answer is too old to say.
func (f *agentFacts) loadAt(now time.Time) float64 {
	if now.Sub(f.at) > loadKnownFor {
		return 0
	}
	return f.load
}

// cachedAt says where the agent has a checkpoint. What is not known counts as
// remote, so that no prediction is too short and known copies come first.
func (f *agentFacts) cachedAt(key state.ReplicaKey) platform.CacheTier {
	return platform.TierOf(f.cached, key.Path())
}

// loadTime predicts a load by the agent's rates; zero if it has told none.
func (f *agentFacts) loadTime(from platform.CacheTier, weights state.Bytes) time.Duration {
	return weights.TransferTime(float64(f.rates[from]))
}

// loadTimeOn predicts a load of the model on an upstream.
func (h *home) loadTimeOn(c *control, name state.UpstreamName) time.Duration {
	version, _, _ := c.config.View().Version(h.key)
	return h.loadTimeBy(c.homes.factsOf(name), version)
}

// loadTimeBy predicts a load by what the agent has said. A remote one takes as
// long as those measured, which include the wait for the store.
func (h *home) loadTimeBy(facts *agentFacts, version state.ModelVersion) time.Duration {
	remote := cmp.Or(h.loadTime, facts.loadTime(platform.CacheRemote, version.Weights), startLoadTime)
	from := facts.cachedAt(h.key)
	cached := facts.loadTime(from, version.Weights)
	if from == platform.CacheRemote || cached == 0 {
		return max(remote, wakePoll)
	}
	return max(min(cached, remote), wakePoll)
}

// askAgent asks an agent for what it has cached if that is not known, or has
// changed while the upstream has no replica of the model.
func (c *control) askAgent(upstream state.Upstream, agent state.FencingToken, replica bool, now time.Time) {
	facts := c.homes.factsOf(upstream.Name)
	old := facts.stale || now.Sub(facts.at) > knownFor
	if known := !facts.at.IsZero() && facts.agent >= agent; known && (replica || !old) {
		return
	}
	if now.Sub(facts.asked) < askedAgain && !facts.stale {
		return
	}
	facts.asked, facts.stale = now, false
	c.homes.questions = append(c.homes.questions, func(ctx context.Context) event {
		ctx, cancel := context.WithTimeout(ctx, wakeTimeout)
		defer cancel()
		var status rpc.AgentStatus
		if err := c.deps.caller.Call(ctx, upstream.ControlAddr, rpc.MethodAgentStatus, struct{}{}, &status); err != nil {
			return nil
		}
		return agentAnswered{upstream: upstream.Name, status: status}
	})
}

// agentAnswered is an agent's answer to a question about its caches.
type agentAnswered struct {
	upstream state.UpstreamName
	status   rpc.AgentStatus
}

func (e agentAnswered) apply(c *control, now time.Time) {
	c.homes.factsOf(e.upstream).note(e.status, now)
}

// forgetAgents drops what no home has asked for lately.
func (t *homeTable) forgetAgents(now time.Time) {
	for name, facts := range t.agents {
		if now.Sub(facts.asked) > 2*knownFor && now.Sub(facts.at) > 2*knownFor {
			delete(t.agents, name)
		}
	}
}
