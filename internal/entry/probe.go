package entry

import (
	"context"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/decide/membership"
	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// probeTimeout bounds the time in which a new home finds out what is loaded.
const probeTimeout = 300 * time.Millisecond

// homeProbe is a question of a new home.
type homeProbe struct {
	home *home
	run  command
}

// probe asks the agents of a model's grants what they have loaded. A new home
// knows nothing, because the entry has just started or has just become the
// home; watchers tell it only within a second.
func (c *control) probe(h *home, now time.Time) {
	config := c.config.View()
	h.probeUntil = now.Add(probeTimeout)
	for _, grant := range c.region.View().GrantsOf(h.key.Model) {
		upstream, _, ok := config.Upstream(grant.Upstream)
		if !ok {
			continue
		}
		h.probing++
		at := replicaAt(upstream, c.region.View(), h.key)
		c.homes.probes = append(c.homes.probes, homeProbe{home: h, run: func(ctx context.Context) event {
			ctx, cancel := context.WithTimeout(ctx, probeTimeout)
			defer cancel()
			var status rpc.AgentStatus
			err := c.deps.caller.Call(ctx, upstream.ControlAddr, rpc.MethodAgentStatus, struct{}{}, &status)
			return probeAnswered{home: h, at: at, status: status, failed: err != nil}
		}})
	}
}

// probeAnswered is what an agent has loaded, or that it did not answer.
type probeAnswered struct {
	home   *home
	at     rpc.ReplicaAt
	status rpc.AgentStatus
	failed bool
}

func (e probeAnswered) apply(c *control, now time.Time) {
	h := e.home
	h.probing--
	if !e.failed {
		c.homes.factsOf(e.at.Upstream).note(e.status, now)
	}
	if c.homes.byKey[h.key] != h {
		return // The home has moved away meanwhile.
	}
	if !e.failed {
		for _, replica := range e.status.Heartbeat.Replicas {
			if replica.ReplicaKey == h.key && replica.State != state.ReplicaUnloading {
				h.adopt(c, e.at, replica, reportOrder{e.status.Heartbeat.Agent, e.status.Heartbeat.Sequence}, now)
			}
		}
	}
	if h.probing == 0 {
		c.decideHome(h, now)
		h.answer(c, now)
	}
}

// adopt takes in a replica that another home has woken, unless its agent's
// watcher has told of a later state.
func (h *home) adopt(c *control, at rpc.ReplicaAt, replica state.Replica, answered reportOrder, now time.Time) {
	if _, known := h.replicas[at.Upstream]; known {
		return
	}
	if last, told := h.reports[at.Upstream]; told && last.agent == answered.agent && last.sequence > answered.sequence {
		return
	}
	at.Replica = replica
	h.replicas[at.Upstream] = &homeReplica{at: at, readyAt: now.Add(h.loadTimeOn(c, at.Upstream)), polled: now, answered: answered}
	c.homes.bump(h)
}

// loseHomes forgets the replica sets of models whose home is another entry
// now, since watchers no longer tell this one of changes.
func (c *control) loseHomes() {
	for key, h := range c.homes.byKey {
		if c.peers.ring.Owner(membership.RoleHome, homeKey(key)) == c.cfg.name {
			continue
		}
		for _, parked := range h.parked {
			parked.reply <- rpc.DemandResult{SetVersion: parked.known}
		}
		delete(c.homes.byKey, key)
	}
}
