package membership

import (
	"iter"
	"slices"

	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// WatchedUpstream is an upstream whose agent may still run.
type WatchedUpstream struct {
	state.Upstream
	// Former is set if the configuration does not have the upstream on the host
	// where its agent is registered. It gets no work and no grants, and is
	// watched until its host is gone; Upstream then holds only the name, host
	// and region.
	Former bool
	// Agent is the token of a former upstream's registration. An agent without
	// one, or with an earlier one, may be that of another upstream of the same
	// name.
	Agent state.FencingToken
}

// WatchedUpstreams iterates over the upstreams of a region in order of name:
// those configured and those that still have a registration. Those whose
// registration does not name a host are left out unless they are configured,
// since nothing could show that their agents no longer run.
func WatchedUpstreams(config *state.ConfigView, tables *state.RegionView, region state.Region) iter.Seq[WatchedUpstream] {
	return func(yield func(WatchedUpstream) bool) {
		// Both tables are in order of name and are merged; a look-up for each
		// upstream would take longer.
		agents := slices.Collect(tables.Agents())
		for u := range config.Upstreams() {
			for len(agents) > 0 && agents[0].Upstream < u.Name {
				if !yieldFormer(yield, agents[0], region) {
					return
				}
				agents = agents[1:]
			}
			registered := len(agents) > 0 && agents[0].Upstream == u.Name
			more := true
			switch {
			case registered && (u.Region != region || agents[0].OnOtherHostThan(u.Host)):
				more = yieldFormer(yield, agents[0], region)
			case u.Region == region:
				more = yield(WatchedUpstream{Upstream: u, Agent: state.NoOffset})
			}
			if !more {
				return
			}
			if registered {
				agents = agents[1:]
			}
		}
		for _, agent := range agents {
			if !yieldFormer(yield, agent, region) {
				return
			}
		}
	}
}

func yieldFormer(yield func(WatchedUpstream) bool, agent state.AgentRegistration, region state.Region) bool {
	return agent.Host == "" || yield(WatchedUpstream{
		Upstream: state.Upstream{Name: agent.Upstream, Host: agent.Host, Region: region},
		Former:   true,
		Agent:    agent.Token,
	})
}

// Upstreams iterates over the upstreams with the hosts on which they are watched.
func Upstreams(watched []WatchedUpstream) iter.Seq[state.Upstream] {
	return func(yield func(state.Upstream) bool) {
		for _, w := range watched {
			if !yield(w.Upstream) {
				return
			}
		}
	}
}
