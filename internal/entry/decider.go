package entry

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"github.com/lagoonvalve/lagoonvalve/internal/decide/lease"
	"github.com/lagoonvalve/lagoonvalve/internal/decide/membership"
	"github.com/lagoonvalve/lagoonvalve/internal/decide/placement"
	"github.com/lagoonvalve/lagoonvalve/internal/platform"
	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

const (
	// planInterval is the time between plans of the decider.
	planInterval = time.Second
	// appendTimeout bounds the decider's appends; what was not stored by then
	// is planned again from the tables.
	appendTimeout = 5 * time.Second
	// demandKept is how long a home's wish for replicas counts.
	demandKept = 10 * time.Second
)

// fleetTable is the decider's picture of the region's upstreams.
type fleetTable struct {
	fleet   *membership.Fleet
	watched time.Time
	// upstreams caches what control.watched returns.
	upstreams watchedTable
	reported  time.Time
	demands   map[state.ModelName]demandNoted
	caches    cacheTable
	// hosts is the last reading of the host list.
	hosts []platform.HostInfo
	// entryHashes holds the hashes of the entry addresses that the watched
	// agents know.
	entryHashes map[state.UpstreamName]uint64
}

type demandNoted struct {
	placement.Demand
	at time.Time
}

func newFleetTable(settings membership.Settings) fleetTable {
	return fleetTable{
		entryHashes: make(map[state.UpstreamName]uint64),
		fleet:       membership.NewFleet(settings),
		demands:     make(map[state.ModelName]demandNoted),
	}
}

// decider holds what the region's decider has under way.
type decider struct {
	planned   time.Time
	appending bool
	leasing   bool
	// seen is the end of the last own append; no plan is made before the
	// tables have reached it.
	seen     state.Offset
	snapshot snapshotState
}

// hostsRead is a reading of the host list.
type hostsRead struct{ hosts []platform.HostInfo }

func (e hostsRead) apply(c *control, now time.Time) {
	c.fleet.hosts = e.hosts
	c.fleet.fleet.RecordHosts(e.hosts, now)
}

// reportReceived is an entry's report to the decider. All upstreams that the
// entry watches are live but for the exceptions, so that a report's size does
// not grow with the fleet.
type reportReceived struct{ params rpc.ReportParams }

func (e reportReceived) apply(c *control, now time.Time) {
	for _, demand := range e.params.Demands {
		c.fleet.demands[demand.Model] = demandNoted{
			Demand: placement.Demand{Replicas: demand.Replicas, Benefit: demand.Benefit, Loaded: demand.Loaded}, at: now,
		}
	}
	if e.params.Ring != c.peers.ringSum {
		return
	}
	exceptions := make(map[state.UpstreamName]rpc.AgentException, len(e.params.Exceptions))
	for _, exception := range e.params.Exceptions {
		exceptions[exception.Upstream] = exception
	}
	region := c.region.View()
	for _, upstream := range c.watched() {
		if c.peers.ring.Owner(membership.RoleWatcher, string(upstream.Name)) != e.params.From {
			continue
		}
		health := membership.Live
		if exception, ok := exceptions[upstream.Name]; ok {
			if exception.Host != upstream.Host {
				continue // The watcher's tables are not those of this entry.
			}
			health = membership.Health(exception.Health)
		}
		agent, _ := region.Agent(upstream.Name)
		c.fleet.fleet.RecordReport(membership.AgentReport{
			Upstream: upstream.Name, Host: upstream.Host, Incarnation: agent.Incarnation, Agent: agent.Token, Health: health,
		}, now)
	}
}

// decideRegion keeps the lease and, while this entry holds it, plans grants.
func (c *control) decideRegion(ctx context.Context, now time.Time) {
	if !c.configReady || !c.regionReady {
		return
	}
	c.stepLease(ctx, now)
	held, ok := c.region.View().Lease()
	if !ok || held.Writer != c.cfg.self || !c.lease.Deciding(now) || c.leaving {
		return
	}
	c.askCaches(ctx, now)
	if c.decider.appending || now.Sub(c.decider.planned) < planInterval || c.region.Offset() < c.decider.seen {
		return
	}
	c.decider.planned = now
	plan := placement.MakePlan(c.planInput(held.Epoch, now))
	if records := c.planRecords(plan); len(records) > 0 {
		c.decider.appending = c.appendRegion(ctx, records, func(last state.Offset) event { return planAppended{last: last} })
	}
	c.snapshotIfDue(ctx, now)
}

func (c *control) stepLease(ctx context.Context, now time.Time) {
	held, ok := c.region.View().Lease()
	in := lease.Input{Lease: held, Held: ok, Entries: c.peers.live, Leaving: c.leaving}
	if health, known := c.peers.process(held.Writer); ok && known {
		in.HolderLeaving = health == membership.Leaving
	}
	action := c.lease.Step(in, now)
	if c.decider.leasing {
		return
	}
	var record state.Record
	var err error
	switch {
	case action.Take != nil:
		record, err = state.NewRecord(uuid.NewString(), c.cfg.self, state.KindLeaseTake, *action.Take)
	case action.Renew != nil:
		record, err = state.NewRecord(uuid.NewString(), c.cfg.self, state.KindLeaseRenew, *action.Renew)
	default:
		return
	}
	if err != nil {
		return
	}
	c.decider.leasing = c.appendRegion(ctx, []state.Record{record}, func(state.Offset) event { return leaseAppended{} })
}

// leaseAppended ends an append of the lease, whatever its outcome: whether it
// took effect shows in the tables.
type leaseAppended struct{}

func (leaseAppended) apply(c *control, _ time.Time) { c.decider.leasing = false }

// planAppended ends the append of a plan.
type planAppended struct{ last state.Offset }

func (e planAppended) apply(c *control, _ time.Time) {
	c.decider.appending = false
	c.decider.seen = max(c.decider.seen, e.last)
}

// appendRegion starts an append and reports whether it could be started.
func (c *control) appendRegion(ctx context.Context, records []state.Record, done func(last state.Offset) event) bool {
	return c.start(ctx, func(ctx context.Context) event {
		ctx, cancel := context.WithTimeout(ctx, appendTimeout)
		defer cancel()
		offsets, err := c.deps.appender.Append(ctx, platform.RegionStream(c.cfg.region), records...)
		if err != nil {
			c.deps.counters.Add("lagoonvalve_region_append_failures_total", 1)
		}
		last := state.NoOffset
		if len(offsets) > 0 {
			last = offsets[len(offsets)-1]
		}
		return done(last)
	})
}

func (c *control) planInput(epoch state.Epoch, now time.Time) placement.Input {
	config := c.config.View()
	demands := make(map[state.ModelName]placement.Demand)
	for model, noted := range c.fleet.demands {
		if now.Sub(noted.at) > demandKept {
			delete(c.fleet.demands, model)
			continue
		}
		demands[model] = noted.Demand
	}
	return placement.Input{
		Settings: placement.DefaultSettings(),
		Region:   c.cfg.region,
		Epoch:    epoch,
		Config:   config,
		Tables:   c.region.View(),
		Health:   c.fleet.fleet.Health(membership.Upstreams(c.watched()), now),
		Demand:   demands,
		Cached:   c.fleet.caches.byCheckpoint(config),
	}
}

func (c *control) planRecords(plan placement.Plan) []state.Record {
	var records []state.Record
	add := func(record state.Record, err error) {
		if err != nil {
			c.deps.logger.Error("record can't be encoded", "error", errors.Wrap(err, "plan"))
			return
		}
		records = append(records, record)
	}
	for _, gone := range plan.Gone {
		c.deps.logger.Info("host is gone; its grants end", "host", gone.Host)
		c.deps.decided(state.Audit{
			Time: time.Now(), Action: "host-gone", Name: string(gone.Host), Detail: "its grants end", Offset: state.NoOffset,
		})
		add(state.NewRecord(uuid.NewString(), c.cfg.self, state.KindHostGone, gone))
	}
	for _, grant := range plan.Grants {
		add(state.NewRecord(uuid.NewString(), c.cfg.self, state.KindGrant, grant))
	}
	for _, revoke := range plan.Revokes {
		add(state.NewRecord(uuid.NewString(), c.cfg.self, state.KindRevoke, revoke))
	}
	return records
}
