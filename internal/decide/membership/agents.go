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

// agent is what a watcher knows of one upstream's agent.
type agent struct {
	upstream state.Upstream
	former   bool
	// since is when the watch began.
	since    time.Time
	seen     time.Time
	runs     runs
	token    state.FencingToken
	sequence uint64
	// complete says that a full heartbeat was seen.
	complete bool
	state    rpc.AgentState
	replicas map[state.ReplicaKey]state.Replica
	// slowdown is the one of the last heartbeat.
	slowdown float64
	leaving  bool
	silent   bool
}

// offered returns the replicas that may get new work.
func (a *agent) offered() map[state.ReplicaKey]state.Replica {
	if a.former || a.silent || a.leaving || a.state == rpc.AgentDraining {
		return nil
	}
	return a.replicas
}

type replicaID struct {
	upstream state.UpstreamName
	key      state.ReplicaKey
}

// told is what a home has been told of a replica.
type told struct {
	change rpc.ReplicaChange
	home   state.EntryName
}

// Agents is a watcher's table of the agents it watches.
type Agents struct {
	settings Settings
	agents   map[state.UpstreamName]*agent
	current  map[replicaID]rpc.ReplicaChange
	told     map[replicaID]told
	// revision counts the changes of what agents offer.
	revision uint64
}

// NewAgents returns an empty table.
func NewAgents(settings Settings) *Agents {
	return &Agents{
		settings: settings,
		agents:   map[state.UpstreamName]*agent{},
		current:  map[replicaID]rpc.ReplicaChange{},
		told:     map[replicaID]told{},
	}
}

// Watch sets the upstreams to watch. Silence of a new one, or of one on another
// host than before, counts from now. Nothing is reported of those that are no
// longer watched: their new watcher does that.
func (a *Agents) Watch(upstreams iter.Seq[WatchedUpstream], now time.Time) {
	keep := make(map[state.UpstreamName]bool, len(a.agents))
	for u := range upstreams {
		keep[u.Name] = true
		known, ok := a.agents[u.Name]
		switch {
		case !ok || known.upstream.Host != u.Host:
			known = &agent{upstream: u.Upstream, former: u.Former, since: now, token: state.NoOffset}
			a.agents[u.Name] = known
			if ok {
				a.offer(known)
			}
		case known.former != u.Former:
			known.upstream, known.former = u.Upstream, u.Former
			a.offer(known)
		default:
			known.upstream = u.Upstream
		}
		if u.Former {
			known.token = max(known.token, u.Agent)
		}
	}
	for name := range a.agents {
		if !keep[name] {
			delete(a.agents, name)
		}
	}
	maps.DeleteFunc(a.current, func(id replicaID, _ rpc.ReplicaChange) bool { return !keep[id.upstream] })
	maps.DeleteFunc(a.told, func(id replicaID, _ told) bool { return !keep[id.upstream] })
}

// SetLeaving notes which hosts the host list shows as leaving. Their replicas
// are withdrawn from the homes.
func (a *Agents) SetLeaving(leaving func(state.HostName) bool) {
	for _, known := range a.agents {
		if now := leaving(known.upstream.Host); now != known.leaving {
			known.leaving = now
			a.offer(known)
		}
	}
}

// Sender returns the upstream whose agent sent a heartbeat. ok is false if it is
// not watched, or if the heartbeat is not full and no full one of its
// registration was seen.
func (a *Agents) Sender(h rpc.Heartbeat) (name state.UpstreamName, ok bool) {
	if h.Full {
		_, ok = a.agents[h.Upstream]
		return h.Upstream, ok
	}
	for name, known := range a.agents {
		if known.token == h.Agent && known.complete {
			return name, true
		}
	}
	return "", false
}

// Observe notes a heartbeat. It answers with SendFull if it does not know what
// the heartbeat says to be unchanged.
func (a *Agents) Observe(h rpc.Heartbeat, now time.Time) rpc.HeartbeatResult {
	name, ok := a.Sender(h)
	if !ok {
		return rpc.HeartbeatResult{SendFull: !h.Full}
	}
	known := a.agents[name]
	answer := rpc.HeartbeatResult{Leaving: known.leaving}
	switch {
	case h.Full:
		a.observeFull(known, h, now)
	case h.Sequence < known.sequence:
		// Overtaken by a newer one.
	case h.Sequence > known.sequence:
		answer.SendFull = true
	default:
		known.seen = now
		if known.silent {
			known.silent = false
			a.offer(known)
		}
	}
	return answer
}

// observeFull takes in a full heartbeat unless a later one has overtaken it.
func (a *Agents) observeFull(known *agent, h rpc.Heartbeat, now time.Time) {
	if h.Agent < known.token {
		return // A predecessor's late heartbeat.
	}
	stale, restarted := known.runs.advance(h.Incarnation)
	if stale || !restarted && h.Sequence < known.sequence {
		return
	}
	known.complete = true
	known.sequence, known.token, known.state = h.Sequence, h.Agent, h.State
	known.slowdown = h.Slowdown
	known.seen, known.silent = now, false
	known.replicas = make(map[state.ReplicaKey]state.Replica, len(h.Replicas))
	for _, replica := range h.Replicas {
		known.replicas[replica.ReplicaKey] = replica
	}
	a.offer(known)
}

// offer brings current in line with what the agent offers.
func (a *Agents) offer(known *agent) {
	a.revision++
	offered := known.offered()
	for id, change := range a.current {
		if _, still := offered[id.key]; id.upstream == known.upstream.Name && !still && !change.Gone {
			// What ends it is the agent's latest report, which may be one of
			// a successor.
			change.Replica.Agent, change.Replica.AgentIncarnation = known.token, known.runs.current
			change.Gone, change.Withdrawn = true, known.former || known.silent || known.leaving
			change.Sequence, change.Revision = known.sequence, a.revision
			a.current[id] = change
		}
	}
	for key, replica := range offered {
		a.current[replicaID{known.upstream.Name, key}] = rpc.ReplicaChange{
			Replica: rpc.ReplicaAt{
				Replica:          replica,
				TrafficAddr:      known.upstream.TrafficAddr,
				ControlAddr:      known.upstream.ControlAddr,
				DataCentre:       known.upstream.DataCentre,
				Region:           known.upstream.Region,
				Agent:            known.token,
				AgentIncarnation: known.runs.current,
				Slowdown:         known.slowdown,
			},
			Sequence: known.sequence,
			Revision: a.revision,
		}
	}
}

// Tick notes agents that have fallen silent. Their replicas are gone.
func (a *Agents) Tick(now time.Time) {
	for _, known := range a.agents {
		if !known.silent && a.judge(known, now) == Dead {
			known.silent = true
			a.offer(known)
		}
	}
}

func (a *Agents) judge(known *agent, now time.Time) Health {
	if known.seen.IsZero() {
		if now.Sub(known.since) >= a.settings.AgentDeadAfter {
			return Dead
		}
		return Unknown
	}
	silent := now.Sub(known.seen)
	switch {
	case silent >= a.settings.AgentDeadAfter:
		return Dead
	case known.leaving || known.state == rpc.AgentDraining:
		return Leaving
	case silent >= a.settings.AgentSuspectAfter:
		return Suspect
	}
	return Live
}

// Health returns the state of a watched upstream.
func (a *Agents) Health(name state.UpstreamName, now time.Time) Health {
	known, ok := a.agents[name]
	if !ok {
		return Unknown
	}
	return a.judge(known, now)
}

// Changes returns the replica changes since the last call, batched by home in
// order of name. A home that newly has a model gets all of its replicas; one
// that loses a model must forget them, since it is not told of later changes.
func (a *Agents) Changes(ring *Ring) []HomeBatch {
	batches := map[state.EntryName][]rpc.ReplicaChange{}
	homes := map[state.ModelName]state.EntryName{}
	for id, change := range a.current {
		home, ok := homes[id.key.Model]
		if !ok {
			home = ring.Owner(RoleHome, string(id.key.Model))
			homes[id.key.Model] = home
		}
		before, known := a.told[id]
		if known && before.home == home && sameChange(before.change, change) {
			continue
		}
		batches[home] = append(batches[home], change)
		a.told[id] = told{change, home}
		if change.Gone {
			delete(a.current, id)
			delete(a.told, id)
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

// Requeue puts back a batch that its home did not confirm.
func (a *Agents) Requeue(batch HomeBatch) {
	for _, change := range batch.Changes {
		id := replicaID{change.Replica.Upstream, change.Replica.ReplicaKey}
		if _, watched := a.agents[id.upstream]; !watched {
			continue
		}
		delete(a.told, id)
		if _, newer := a.current[id]; !newer {
			a.current[id] = change
		}
	}
}

// ResendToHome makes the next Changes tell home everything again. It is called when
// the home has restarted.
func (a *Agents) ResendToHome(home state.EntryName) {
	maps.DeleteFunc(a.told, func(_ replicaID, t told) bool { return t.home == home })
}

// Reports returns what the decider should know of the watched agents.
func (a *Agents) Reports(now time.Time) []AgentReport {
	reports := make([]AgentReport, 0, len(a.agents))
	for name, known := range a.agents {
		reports = append(reports, AgentReport{
			Upstream: name, Host: known.upstream.Host, Incarnation: known.runs.current, Agent: known.token, Health: a.judge(known, now),
		})
	}
	return reports
}
