package entry

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/decide/lease"
	"github.com/lagoonvalve/lagoonvalve/internal/decide/membership"
	"github.com/lagoonvalve/lagoonvalve/internal/decide/quarantine"
	"github.com/lagoonvalve/lagoonvalve/internal/decide/scaling"
	"github.com/lagoonvalve/lagoonvalve/internal/logclient"
	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

const (
	// tickInterval is the time between runs of the systems.
	tickInterval = 100 * time.Millisecond
	// maxCommands bounds the commands that run at once.
	maxCommands = 128
	// eventBuffer bounds the events that wait for the control goroutine.
	eventBuffer = 1024
)

// event is something that the control goroutine has to hear of.
type event interface {
	apply(c *control, now time.Time)
}

// command is work outside the control goroutine. The event that it returns,
// if any, goes back to it.
type command func(ctx context.Context) event

// controlConfig holds the settings of the control side.
type controlConfig struct {
	self       state.ProcessID
	name       state.EntryName
	region     state.Region
	dataCentre state.DataCentre
	address    string
	peers      []rpc.Peer
	// remotes are the entries of other regions in the settings.
	remotes []rpc.Peer
	// regions has the control addresses of other regions' entries.
	regions   map[state.Region]map[state.EntryName]string
	store     scaling.StoreLimits
	home      scaling.HomeConfig
	retention time.Duration
	// seed is that of the random choices.
	seed uint64
}

// controlDeps holds what commands work with.
type controlDeps struct {
	caller   rpc.Caller
	appender logclient.Appender
	logger   *slog.Logger
	counters counters
	// quarantine writes a quarantine to the streams of all regions.
	quarantine func(ctx context.Context, body state.Quarantine) error
	// decided hears of automatic decisions for the audit trail.
	decided func(decision state.Audit)
}

// counters counts events by metric name.
type counters interface {
	Add(name string, delta uint64)
}

// control owns the tables of an entry. Only its run goroutine touches them;
// traffic reads the published view.
type control struct {
	cfg       controlConfig
	deps      controlDeps
	events    chan event
	slots     chan struct{}
	published atomic.Pointer[view]
	dirty     bool

	config *state.Config
	region *state.RegionTables
	// configRead is when the configuration was last read to its end, in Unix
	// nanoseconds.
	configRead atomic.Int64
	// awaited counts the own changes that wait for their place in the log.
	awaited     atomic.Int64
	configReady bool
	regionReady bool

	peers      peerTable
	agents     *membership.Agents
	fleet      fleetTable
	homes      homeTable
	lease      *lease.Machine
	decider    decider
	crashes    *quarantine.Tracker
	changes    changeWaiters
	slotKeeper slotKeeper
	leaving    bool
}

func newControl(cfg controlConfig, deps controlDeps, now time.Time) *control {
	membershipSettings := membership.DefaultSettings()
	c := &control{
		cfg:     cfg,
		deps:    deps,
		events:  make(chan event, eventBuffer),
		slots:   make(chan struct{}, maxCommands),
		config:  state.NewConfig(),
		region:  state.NewRegionTables(),
		peers:   newPeerTable(cfg, now),
		agents:  membership.NewAgents(membershipSettings),
		fleet:   newFleetTable(membershipSettings),
		homes:   newHomeTable(cfg.home),
		lease:   lease.NewMachine(cfg.self, lease.DefaultSettings(), now),
		crashes: quarantine.NewTracker(quarantine.DefaultSettings()),
	}
	c.configRead.Store(now.UnixNano())
	c.slotKeeper.limits, c.slotKeeper.regions = cfg.store, storeRegions(cfg)
	c.slotKeeper.assign(c.peers.ring.Owner(roleStoreSlots, ""), cfg.name, cfg.self.Incarnation, now)
	return c
}

// run applies events and ticks until ctx ends.
func (c *control) run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case e := <-c.events:
			e.apply(c, time.Now())
			c.drainEvents()
		case now := <-ticker.C:
			c.tick(ctx, now)
		}
		c.publish()
		c.runWakes(ctx)
	}
}

// drainEvents applies what has already arrived, so that a burst is published
// once.
func (c *control) drainEvents() {
	for range eventBuffer {
		select {
		case e := <-c.events:
			e.apply(c, time.Now())
		default:
			return
		}
	}
}

// tick runs the systems over the tables.
func (c *control) tick(ctx context.Context, now time.Time) {
	c.probePeers(ctx, now)
	c.watchAgents(ctx, now)
	c.keepSlots(ctx, now)
	c.decideHomes(now)
	c.decideRegion(ctx, now)
	c.crashes.Expire(now)
}

// post hands an event to the control goroutine. It reports false if ctx ended
// first.
func (c *control) post(ctx context.Context, e event) bool {
	select {
	case c.events <- e:
		return true
	case <-ctx.Done():
		return false
	}
}

// start runs a command in its own goroutine. A command beyond maxCommands is
// dropped and counted; the systems order again on a later tick.
func (c *control) start(ctx context.Context, run command) bool {
	select {
	case c.slots <- struct{}{}:
	default:
		c.deps.counters.Add("lagoonvalve_control_commands_dropped_total", 1)
		return false
	}
	go func() {
		defer func() { <-c.slots }()
		if e := run(ctx); e != nil {
			c.post(ctx, e)
		}
	}()
	return true
}

// view returns what traffic may read.
func (c *control) view() *view { return c.published.Load() }

func (c *control) publish() {
	if !c.dirty {
		return
	}
	c.dirty = false
	config := c.config.View()
	region := c.region.View()
	old := c.published.Load()
	c.published.Store(&view{
		config:    config,
		region:    region,
		adapters:  adapterIndex(old, config),
		replaced:  make(chan struct{}),
		ready:     c.configReady && c.regionReady,
		ring:      c.peers.ring,
		addresses: c.peers.addresses(),
		services:  serviceReplicas(config, region, c.cfg.region),
	})
	if old != nil {
		close(old.replaced)
	}
}

// adapterIndex keeps the index of the last view while the configuration is the
// same.
func adapterIndex(old *view, config *state.ConfigView) state.AdapterIndex {
	if old != nil && old.config.Offset() == config.Offset() {
		return old.adapters
	}
	return state.NewAdapterIndex(config)
}

// serviceReplicas lists the upstreams of each plain service, this region's if
// it has any.
func serviceReplicas(config *state.ConfigView, region *state.RegionView, own state.Region) map[state.ServiceName][]rpc.ReplicaAt {
	all := make(map[state.ServiceName][]rpc.ReplicaAt)
	for upstream := range config.Upstreams() {
		if upstream.Kind == state.ModelRunner || upstream.Region != own || config.Drained(upstream.Name) {
			continue
		}
		for _, service := range upstream.Services {
			all[service] = append(all[service], replicaAt(upstream, region, state.ReplicaKey{}))
		}
	}
	return all
}

// replicaAt describes a ready replica on upstream.
func replicaAt(upstream state.Upstream, region *state.RegionView, key state.ReplicaKey) rpc.ReplicaAt {
	at := rpc.ReplicaAt{
		Replica:     state.Replica{ReplicaKey: key, Upstream: upstream.Name, State: state.ReplicaReady},
		TrafficAddr: upstream.TrafficAddr,
		ControlAddr: upstream.ControlAddr,
		DataCentre:  upstream.DataCentre,
		Region:      upstream.Region,
		Agent:       state.NoOffset,
	}
	if agent, ok := region.Agent(upstream.Name); ok {
		at.Agent = agent.Token
		at.AgentIncarnation = agent.Incarnation
	}
	return at
}
