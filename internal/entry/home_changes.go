package entry

import (
	"slices"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// reportOrder says when an agent reported its state.
type reportOrder struct {
	agent    state.FencingToken
	sequence uint64
}

// report is a change in its order.
type report struct {
	reportOrder
	incarnation string
	watcher     string
	revision    uint64
	at          time.Time
}

func changeReport(watcher string, change *rpc.ReplicaChange, now time.Time) report {
	return report{
		reportOrder: reportOrder{change.Replica.Agent, change.Sequence},
		incarnation: change.Replica.AgentIncarnation,
		watcher:     watcher,
		revision:    change.Revision,
		at:          now,
	}
}

// covers reports whether other is r again or was overtaken by it. Reports of
// two incarnations without a registration, or equal sequences from two
// watchers, have no order.
func (r *report) covers(other *report) bool {
	switch {
	case other.agent != r.agent:
		return other.agent < r.agent
	case other.incarnation != r.incarnation:
		return false
	case other.sequence != r.sequence:
		return other.sequence < r.sequence
	}
	return other.watcher == r.watcher && other.revision <= r.revision
}

// answeredAfter reports whether an agent's answer to a wake, given after the
// report answered, is later than what the change says.
func answeredAfter(answered reportOrder, change *rpc.ReplicaChange) bool {
	if change.Withdrawn {
		return false
	}
	return answered.agent == change.Replica.Agent && answered.sequence >= change.Sequence
}

// changesReceived are replica changes that a watcher has seen.
type changesReceived struct {
	// watcher is the incarnation of the watcher.
	watcher string
	changes []rpc.ReplicaChange
}

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
		if ends := change.Gone || change.Replica.State == state.ReplicaUnloading; ends && !change.Withdrawn {
			// The checkpoint may be cached now.
			c.homes.factsOf(change.Replica.Upstream).stale = true
		}
		if h.change(e.watcher, change, now) {
			touched[h] = true
		}
	}
	for h := range touched {
		c.homes.bump(h)
		h.answer(c, now)
	}
}

// change applies one change and reports whether the set differs.
func (h *home) change(watcher string, change rpc.ReplicaChange, now time.Time) bool {
	name := change.Replica.Upstream
	known, ok := h.replicas[name]
	if ok && change.Replica.Agent < known.at.Agent {
		return false // A late change of the agent's predecessor.
	}
	next := changeReport(watcher, &change, now)
	if last, seen := h.reports[name]; seen && last.covers(&next) {
		return false
	}
	h.reports[name] = next
	if change.Gone || change.Replica.State == state.ReplicaUnloading {
		return ok && h.end(known, &change)
	}
	readyAt := now.Add(h.usualLoad())
	if ok {
		known.ended = nil
		if known.polling && change.Replica.State == state.ReplicaLoading {
			return false
		}
		if answeredAfter(known.answered, &change) {
			change.Replica.State, readyAt = known.at.State, known.readyAt
		}
	}
	if ok && known.at.State == change.Replica.State && known.at.Agent == change.Replica.Agent &&
		known.at.AgentIncarnation == change.Replica.AgentIncarnation && known.at.Slowdown == change.Replica.Slowdown &&
		slices.Equal(known.at.Adapters, change.Replica.Adapters) {
		return false
	}
	replica := &homeReplica{at: change.Replica, readyAt: readyAt, polled: now}
	if ok {
		replica.woken = known.woken
		replica.polling = known.polling
		replica.answered = known.answered
	}
	h.replicas[name] = replica
	return true
}

// end takes a replica out of the set unless its agent has said later that it
// has it. While a wake is in flight that is not known yet.
func (h *home) end(known *homeReplica, change *rpc.ReplicaChange) bool {
	switch {
	case answeredAfter(known.answered, change):
		return false
	case known.polling:
		known.ended = change
		return false
	}
	delete(h.replicas, change.Replica.Upstream)
	return true
}
