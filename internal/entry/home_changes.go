package entry

import (
	"slices"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// changesReceived are replica changes that a watcher has seen.
type changesReceived struct{ changes []rpc.ReplicaChange }

func (e changesReceived) apply(c *control, now time.Time) {
	touched := make(map[*home]bool)
	region := c.region.View()
	for _, change := range e.changes {
		if agent, ok := region.Agent(change.Replica.Upstream); ok && change.Replica.Agent < agent.Token && !change.Gone {
			// A late change of a predecessor of the agent. Its successor's
			// replicas are reported under the newer registration.
			continue
		}
		if _, known := c.homes.byKey[change.Replica.ReplicaKey]; !known && change.Gone {
			continue
		}
		h := c.homes.of(change.Replica.ReplicaKey)
		if h.lastUsed.IsZero() {
			h.lastUsed = now
		}
		if h.change(change, now) {
			touched[h] = true
		}
	}
	for h := range touched {
		c.homes.bump(h)
		h.answer(c, now)
	}
}

// change applies one change and reports whether the set differs.
func (h *home) change(change rpc.ReplicaChange, now time.Time) bool {
	name := change.Replica.Upstream
	known, ok := h.replicas[name]
	if ok && change.Replica.Agent < known.at.Agent {
		return false // A late change of the agent's predecessor.
	}
	if change.Gone || change.Replica.State == state.ReplicaUnloading {
		// A wake in flight that is younger than the change knows better.
		if ok && known.polling {
			return false
		}
		delete(h.replicas, name)
		return ok
	}
	if ok && known.at.State == change.Replica.State && known.at.Agent == change.Replica.Agent &&
		known.at.AgentIncarnation == change.Replica.AgentIncarnation && known.at.Slowdown == change.Replica.Slowdown &&
		slices.Equal(known.at.Adapters, change.Replica.Adapters) {
		return false
	}
	if ok && known.polling && change.Replica.State == state.ReplicaLoading {
		return false
	}
	replica := &homeReplica{at: change.Replica, readyAt: now.Add(h.loadTime), polled: now}
	if ok {
		replica.woken = known.woken
		replica.polling = known.polling
	}
	h.replicas[name] = replica
	return true
}
