package membership

import (
	"cmp"
	"iter"
	"maps"
	"slices"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// watchedAgent is a watcher's record of the agent of one upstream.
type watchedAgent struct {
	upstream state.Upstream
	former   bool
	// watchedSince is when this watcher began to watch the upstream on its host.
	watchedSince  time.Time
	lastHeartbeat time.Time
	incarnations  incarnationHistory
	token         state.FencingToken
	sequence      uint64
	// fullSeen is set if a full heartbeat has been applied.
	fullSeen bool
	state    rpc.AgentState
	replicas map[state.ReplicaKey]state.Replica
	// slowdown is the one in the last full heartbeat.
	slowdown float64
	leaving  bool
	silent   bool
}

// availableReplicas returns the replicas that may get new work.
func (a *watchedAgent) availableReplicas() map[state.ReplicaKey]state.Replica {
	if a.former || a.silent || a.leaving || a.state == rpc.AgentDraining {
		return nil
	}
	return a.replicas
}

type replicaID struct {
	upstream state.UpstreamName
	key      state.ReplicaKey
}

// sentChange is the last change of a replica that was sent, with its home.
type sentChange struct {
	change rpc.ReplicaChange
	home   state.EntryName
}

// Agents is a watcher's table of the agents that it watches.
type Agents struct {
	settings Settings
	agents   map[state.UpstreamName]*watchedAgent
	// current holds the latest change of each replica.
	current  map[replicaID]rpc.ReplicaChange
	lastSent map[replicaID]sentChange
	// revision counts the changes of the agents' available replicas.
	revision uint64
}

// NewAgents returns an empty table.
func NewAgents(settings Settings) *Agents {
	return &Agents{
		settings: settings,
		agents:   map[state.UpstreamName]*watchedAgent{},
		current:  map[replicaID]rpc.ReplicaChange{},
		lastSent: map[replicaID]sentChange{},
	}
}

// Watch replaces the set of watched upstreams. The silence of an upstream that is
// new or has moved to another host is measured from now. An upstream that is no
// longer watched is dropped without a replica change: its new watcher reports it.
func (a *Agents) Watch(upstreams iter.Seq[WatchedUpstream], now time.Time) {
	keep := make(map[state.UpstreamName]bool, len(a.agents))
	for u := range upstreams {
		keep[u.Name] = true
		agent, ok := a.agents[u.Name]
		switch {
		case !ok || agent.upstream.Host != u.Host:
			agent = &watchedAgent{upstream: u.Upstream, former: u.Former, watchedSince: now, token: state.NoOffset}
			a.agents[u.Name] = agent
			if ok {
				a.updateReplicas(agent)
			}
		case agent.former != u.Former:
			agent.upstream, agent.former = u.Upstream, u.Former
			a.updateReplicas(agent)
		default:
			agent.upstream = u.Upstream
		}
		if u.Former {
			agent.token = max(agent.token, u.Agent)
		}
	}
	for name := range a.agents {
		if !keep[name] {
			delete(a.agents, name)
		}
	}
	maps.DeleteFunc(a.current, func(id replicaID, _ rpc.ReplicaChange) bool { return !keep[id.upstream] })
	maps.DeleteFunc(a.lastSent, func(id replicaID, _ sentChange) bool { return !keep[id.upstream] })
}

// SetLeaving records which hosts the host list shows as leaving. Their replicas
// are withdrawn from the homes.
func (a *Agents) SetLeaving(leaving func(state.HostName) bool) {
	for _, agent := range a.agents {
		if isLeaving := leaving(agent.upstream.Host); isLeaving != agent.leaving {
			agent.leaving = isLeaving
			a.updateReplicas(agent)
		}
	}
}

// Sender returns the upstream whose agent sent a heartbeat. ok is false if the
// upstream is not watched, or if the heartbeat is not full and no full one of the
// same registration has been applied.
func (a *Agents) Sender(h rpc.Heartbeat) (name state.UpstreamName, ok bool) {
	if h.Full {
		_, ok = a.agents[h.Upstream]
		return h.Upstream, ok
	}
	for name, agent := range a.agents {
		if agent.token == h.Agent && agent.fullSeen {
			return name, true
		}
	}
	return "", false
}

// Observe applies a heartbeat. The result requests a full heartbeat if this
// one refers to an earlier full one that the watcher does not have.
func (a *Agents) Observe(h rpc.Heartbeat, now time.Time) rpc.HeartbeatResult {
	name, ok := a.Sender(h)
	if !ok {
		return rpc.HeartbeatResult{SendFull: !h.Full}
	}
	agent := a.agents[name]
	answer := rpc.HeartbeatResult{Leaving: agent.leaving}
	switch {
	case h.Full:
		a.observeFull(agent, h, now)
	case h.Sequence < agent.sequence:
		// Out of order: a newer heartbeat has been applied.
	case h.Sequence > agent.sequence:
		answer.SendFull = true
	default:
		agent.lastHeartbeat = now
		if agent.silent {
			agent.silent = false
			a.updateReplicas(agent)
		}
	}
	return answer
}

// observeFull applies a full heartbeat unless a newer one has been applied.
func (a *Agents) observeFull(agent *watchedAgent, h rpc.Heartbeat, now time.Time) {
	if h.Agent < agent.token {
		return // A late heartbeat of an earlier registration.
	}
	stale, restarted := agent.incarnations.advance(h.Incarnation)
	if stale || !restarted && h.Sequence < agent.sequence {
		return
	}
	agent.fullSeen = true
	agent.sequence, agent.token, agent.state = h.Sequence, h.Agent, h.State
	agent.slowdown = h.Slowdown
	agent.lastHeartbeat, agent.silent = now, false
	agent.replicas = make(map[state.ReplicaKey]state.Replica, len(h.Replicas))
	for _, replica := range h.Replicas {
		agent.replicas[replica.ReplicaKey] = replica
	}
	a.updateReplicas(agent)
}

// updateReplicas brings current in line with the agent's available replicas.
func (a *Agents) updateReplicas(agent *watchedAgent) {
	a.revision++
	available := agent.availableReplicas()
	for id, change := range a.current {
		if _, still := available[id.key]; id.upstream == agent.upstream.Name && !still && !change.Gone {
			// The change bears the registration, incarnation and sequence of
			// the latest heartbeat, which may be that of an agent started
			// after the one that reported the replica.
			change.Replica.Agent, change.Replica.AgentIncarnation = agent.token, agent.incarnations.current
			change.Gone, change.Withdrawn = true, agent.former || agent.silent || agent.leaving
			change.Sequence, change.Revision = agent.sequence, a.revision
			a.current[id] = change
		}
	}
	for key, replica := range available {
		a.current[replicaID{agent.upstream.Name, key}] = rpc.ReplicaChange{
			Replica: rpc.ReplicaAt{
				Replica:          replica,
				TrafficAddr:      agent.upstream.TrafficAddr,
				ControlAddr:      agent.upstream.ControlAddr,
				DataCentre:       agent.upstream.DataCentre,
				Region:           agent.upstream.Region,
				Agent:            agent.token,
				AgentIncarnation: agent.incarnations.current,
				Slowdown:         agent.slowdown,
			},
			Sequence: agent.sequence,
			Revision: a.revision,
		}
	}
}

// Tick marks agents as silent once they are dead. Their replicas become gone.
func (a *Agents) Tick(now time.Time) {
	for _, agent := range a.agents {
		if !agent.silent && a.healthOf(agent, now) == Dead {
			agent.silent = true
			a.updateReplicas(agent)
		}
	}
}

func (a *Agents) healthOf(agent *watchedAgent, now time.Time) Health {
	if agent.lastHeartbeat.IsZero() {
		if now.Sub(agent.watchedSince) >= a.settings.AgentDeadAfter {
			return Dead
		}
		return Unknown
	}
	silent := now.Sub(agent.lastHeartbeat)
	switch {
	case silent >= a.settings.AgentDeadAfter:
		return Dead
	case agent.leaving || agent.state == rpc.AgentDraining:
		return Leaving
	case silent >= a.settings.AgentSuspectAfter:
		return Suspect
	}
	return Live
}

// Health returns the state of an upstream, Unknown if it is not watched.
func (a *Agents) Health(name state.UpstreamName, now time.Time) Health {
	agent, ok := a.agents[name]
	if !ok {
		return Unknown
	}
	return a.healthOf(agent, now)
}

// Changes returns the replica changes since the last call, batched by home and
// ordered by home name. A home that takes over a model gets all of its replicas;
// one that loses a model must drop them, since it gets no later changes.
func (a *Agents) Changes(ring *Ring) []HomeBatch {
	batches := map[state.EntryName][]rpc.ReplicaChange{}
	homes := map[state.ModelName]state.EntryName{}
	for id, change := range a.current {
		home, ok := homes[id.key.Model]
		if !ok {
			home = ring.Owner(RoleHome, string(id.key.Model))
			homes[id.key.Model] = home
		}
		before, known := a.lastSent[id]
		if known && before.home == home && sameChange(before.change, change) {
			continue
		}
		batches[home] = append(batches[home], change)
		a.lastSent[id] = sentChange{change, home}
		if change.Gone {
			delete(a.current, id)
			delete(a.lastSent, id)
		}
	}
	out := make([]HomeBatch, 0, len(batches))
	for _, home := range slices.Sorted(maps.Keys(batches)) {
		slices.SortFunc(batches[home], compareChanges)
		out = append(out, HomeBatch{Home: home, Changes: batches[home]})
	}
	return out
}

func compareChanges(a, b rpc.ReplicaChange) int {
	return cmp.Or(
		cmp.Compare(a.Replica.Upstream, b.Replica.Upstream),
		cmp.Compare(a.Replica.Model, b.Replica.Model),
		cmp.Compare(a.Replica.Version, b.Replica.Version),
	)
}

func sameChange(a, b rpc.ReplicaChange) bool {
	return a.Gone == b.Gone && a.Replica.State == b.Replica.State && a.Replica.Agent == b.Replica.Agent &&
		a.Replica.AgentIncarnation == b.Replica.AgentIncarnation && a.Replica.Slowdown == b.Replica.Slowdown &&
		slices.Equal(a.Replica.Adapters, b.Replica.Adapters)
}

// Requeue queues a batch again that its home did not confirm.
func (a *Agents) Requeue(batch HomeBatch) {
	for _, change := range batch.Changes {
		id := replicaID{change.Replica.Upstream, change.Replica.ReplicaKey}
		if _, watched := a.agents[id.upstream]; !watched {
			continue
		}
		delete(a.lastSent, id)
		if _, newer := a.current[id]; !newer {
			a.current[id] = change
		}
	}
}

// ResendToHome makes the next call of Changes return all replicas of home
// again, for a home that has restarted and lost them.
func (a *Agents) ResendToHome(home state.EntryName) {
	maps.DeleteFunc(a.lastSent, func(_ replicaID, t sentChange) bool { return t.home == home })
}

// Reports returns the reports on the watched agents for the region's decider.
func (a *Agents) Reports(now time.Time) []AgentReport {
	reports := make([]AgentReport, 0, len(a.agents))
	for name, agent := range a.agents {
		reports = append(reports, AgentReport{
			Upstream: name, Host: agent.upstream.Host, Incarnation: agent.incarnations.current, Agent: agent.token, Health: a.healthOf(agent, now),
		})
	}
	return reports
}
