package entry

import (
	"context"
	"iter"
	"slices"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/decide/membership"
	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

const (
	// watchInterval is the time between a watcher's batches to homes.
	watchInterval = time.Second
	// reportInterval is the time between reports to the decider.
	reportInterval = 3 * time.Second
	// reportTimeout bounds calls to other entries.
	reportTimeout = 2 * time.Second
)

// watchAgents is the system of the watcher: it notices silent agents and
// tells homes and the decider what has changed.
func (c *control) watchAgents(ctx context.Context, now time.Time) {
	if now.Sub(c.fleet.watched) < watchInterval {
		return
	}
	c.fleet.watched = now
	c.agents.Watch(c.ownUpstreams(), now)
	c.agents.SetLeaving(c.fleet.fleet.HostLeaving)
	c.agents.Tick(now)
	for _, batch := range c.agents.Changes(c.peers.ring) {
		c.sendChanges(ctx, batch)
	}
	if now.Sub(c.fleet.reported) >= reportInterval {
		c.fleet.reported = now
		c.sendReport(ctx, now)
	}
}

// watchedTable holds the upstreams of the region that some entry watches, as of
// the offsets of both streams.
type watchedTable struct {
	config, region state.Offset
	upstreams      []membership.WatchedUpstream
}

// watched returns the upstreams of the region that some entry watches.
func (c *control) watched() []membership.WatchedUpstream {
	t := &c.fleet.upstreams
	config, region := c.config.Offset(), c.region.Offset()
	if t.upstreams == nil || t.config != config || t.region != region {
		all := membership.WatchedUpstreams(c.config.View(), c.region.View(), c.cfg.region)
		*t = watchedTable{config, region, slices.Collect(all)}
	}
	return t.upstreams
}

// ownUpstreams iterates over the upstreams that this entry watches.
func (c *control) ownUpstreams() iter.Seq[membership.WatchedUpstream] {
	return func(yield func(membership.WatchedUpstream) bool) {
		for _, upstream := range c.watched() {
			if c.peers.ring.Owner(membership.RoleWatcher, string(upstream.Name)) != c.cfg.name {
				continue
			}
			if !yield(upstream) {
				return
			}
		}
	}
}

func (c *control) sendChanges(ctx context.Context, batch membership.HomeBatch) {
	if batch.Home == c.cfg.name {
		c.start(ctx, func(context.Context) event {
			return changesReceived{watcher: c.cfg.self.Incarnation, changes: batch.Changes}
		})
		return
	}
	address := c.peers.addresses()[batch.Home]
	c.start(ctx, func(ctx context.Context) event {
		ctx, cancel := context.WithTimeout(ctx, reportTimeout)
		defer cancel()
		params := rpc.ChangesParams{Watcher: c.cfg.self.Incarnation, Changes: batch.Changes}
		if err := c.deps.caller.Call(ctx, address, rpc.MethodChanges, params, &struct{}{}); err != nil {
			return changesLost{batch: batch}
		}
		return nil
	})
}

// changesLost is a batch that did not reach its home; it is sent again.
type changesLost struct{ batch membership.HomeBatch }

func (e changesLost) apply(c *control, _ time.Time) {
	c.agents.Requeue(e.batch)
	c.deps.counters.Add("lagoonvalve_replica_changes_lost_total", uint64(len(e.batch.Changes)))
}

// heartbeatReceived is a heartbeat of an agent.
type heartbeatReceived struct {
	heartbeat rpc.Heartbeat
	reply     chan rpc.HeartbeatResult
}

func (e heartbeatReceived) apply(c *control, now time.Time) {
	name, watched := c.agents.Sender(e.heartbeat)
	var result rpc.HeartbeatResult
	if watched {
		result = c.agents.Observe(e.heartbeat, now)
	} else {
		name = c.senderOf(e.heartbeat)
		owner := c.peers.ring.Owner(membership.RoleWatcher, string(name))
		if name != "" && owner != c.cfg.name {
			result.Watcher = c.peers.addresses()[owner]
		}
		result.SendFull = !e.heartbeat.Full
	}
	addresses := c.peers.liveAddresses()
	if c.fleet.entriesKnown(name, e.heartbeat.Entries, watched) != addressesHash(addresses) {
		result.Entries = addresses
	}
	if upstream, _, ok := c.config.View().Upstream(name); ok {
		result.Leaving = c.fleet.fleet.HostLeaving(upstream.Host)
	}
	e.reply <- result
}

// senderOf finds the upstream of a heartbeat whose agent is not watched here;
// it is empty if the registration is not known.
func (c *control) senderOf(h rpc.Heartbeat) state.UpstreamName {
	if h.Full {
		return h.Upstream
	}
	for agent := range c.region.View().Agents() {
		if agent.Token == h.Agent {
			return agent.Upstream
		}
	}
	return ""
}

// entriesKnown returns the hash of the entry addresses that an agent knows. A
// heartbeat with a hash of zero means the last one named.
func (f *fleetTable) entriesKnown(name state.UpstreamName, named uint64, watched bool) uint64 {
	if !watched {
		delete(f.entryHashes, name)
		return named
	}
	if named == 0 {
		return f.entryHashes[name]
	}
	f.entryHashes[name] = named
	return named
}

// sendReport tells the decider which watched agents are not live and what
// this entry's homes need.
func (c *control) sendReport(ctx context.Context, now time.Time) {
	params := rpc.ReportParams{From: c.cfg.name, Ring: c.peers.ringSum}
	for _, report := range c.agents.Reports(now) {
		if report.Health != membership.Live {
			params.Exceptions = append(params.Exceptions, rpc.AgentException{
				Upstream: report.Upstream, Host: report.Host, Health: uint8(report.Health),
			})
		}
	}
	params.Demands = c.homeDemands()
	held, ok := c.region.View().Lease()
	if !ok {
		return
	}
	if held.Holder == c.cfg.name {
		c.start(ctx, func(context.Context) event { return reportReceived{params: params} })
		return
	}
	address, ok := c.peers.addresses()[held.Holder]
	if !ok {
		return
	}
	c.start(ctx, func(ctx context.Context) event {
		ctx, cancel := context.WithTimeout(ctx, reportTimeout)
		defer cancel()
		// A lost report is replaced by the next one.
		_ = c.deps.caller.Call(ctx, address, rpc.MethodReport, params, &struct{}{})
		return nil
	})
}

// homeDemands lists how many replicas the homes of this entry want.
func (c *control) homeDemands() []rpc.ModelDemand {
	var demands []rpc.ModelDemand
	for _, h := range c.homes.byKey {
		wanted := len(h.replicas) + len(h.decision.Wakes)
		if h.decision.NoReplica {
			wanted++
		}
		if wanted == 0 {
			continue
		}
		var waiting int
		for _, demand := range h.demands {
			for _, n := range demand.backlog.Waiting {
				waiting += n
			}
		}
		demands = append(demands, rpc.ModelDemand{Model: h.key.Model, Replicas: wanted, Loaded: len(h.replicas), Benefit: float64(waiting)})
	}
	return demands
}
