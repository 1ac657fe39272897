package agent

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/lagoonvalve/lagoonvalve/internal/decide/account"
	"github.com/lagoonvalve/lagoonvalve/internal/platform"
	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

const (
	tickInterval = 50 * time.Millisecond
	// listingInterval is the time between listings of a quiet engine, and
	// busyInterval that while orders are out.
	listingInterval = time.Second
	busyInterval    = 100 * time.Millisecond
	listingTimeout  = 5 * time.Second
	// slotTimeout bounds the question for a store slot. Without an answer
	// the load starts anyway: slots save the store's speed, not memory.
	slotTimeout = 500 * time.Millisecond
	// unreachableSlot is how long a load may go on without a slot.
	unreachableSlot = 10 * time.Second
	eventBacklog    = 256
	// remoteRate, diskRate and memoryRate are assumed, in bytes per second,
	// until the first load from there is measured.
	remoteRate = float64(512 * state.MiB)
	diskRate   = 2 * remoteRate
	memoryRate = 4 * remoteRate
)

// control owns the account and the part. Its methods run on its goroutine
// unless they say otherwise.
type control struct {
	agent   *Agent
	account *account.Account
	parts   partTables
	ctx     context.Context
	events  chan func()

	// floor is the lowest offsets at which an entry's answer counts.
	floor rpc.PartOffsets
	// endPoll ends the present wait for a change of the part.
	endPoll context.CancelFunc
	// uncovered lists the listed replicas whose sizes are not known yet, and
	// also those that the part is asked for beyond grants and intent.
	uncovered []state.ReplicaKey
	also      []state.ReplicaKey

	registration registration
	phase        rpc.AgentState
	drained      bool // by an order or by configuration
	leaving      bool

	listingAt   time.Time
	listingBusy bool
	// down says that the engine refused its last listing, as it does while
	// it restarts. A listing that only takes long says nothing.
	down        bool
	appended    map[string]waitingIntent // by record id
	loadStarted map[state.ReplicaKey]loadStart
	// loadRates holds the bytes of weights per second by the place that they
	// are loaded from.
	loadRates map[platform.CacheTier]float64
	slots     map[state.ReplicaKey]string
	shut      map[target]struct{} // what no request may use
	measured  time.Time           // when the gauges were last set
	heart     heart
}

func newControl(ctx context.Context, a *Agent) *control {
	c := &control{
		agent:  a,
		ctx:    ctx,
		events: make(chan func(), eventBacklog),
		phase:  rpc.AgentStarting,
		loadRates: map[platform.CacheTier]float64{
			platform.CacheRemote: remoteRate, platform.CacheDisk: diskRate, platform.CacheMemory: memoryRate,
		},
		floor:        rpc.PartOffsets{Config: state.NoOffset, Region: state.NoOffset},
		registration: registration{token: state.NoOffset},
		appended:     make(map[string]waitingIntent),
		loadStarted:  make(map[state.ReplicaKey]loadStart),
		slots:        make(map[state.ReplicaKey]string),
		shut:         make(map[target]struct{}),
	}
	if !a.service {
		c.account = account.New(account.Config{
			Upstream:   a.cfg.Upstream.Name,
			Memory:     a.cfg.Upstream.Memory,
			Fencing:    a.cfg.Upstream.Fencing,
			MaxLoads:   a.cfg.MaxLoads,
			StoreSlots: a.deps.SlotOwner != nil,
		}, &c.parts, a.deps.Burst)
	}
	return c
}

// run is the control loop.
func (c *control) run() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-c.ctx.Done():
			return
		case event := <-c.events:
			event()
		case <-ticker.C:
		}
		c.tick(time.Now())
	}
}

// post hands an event to the control goroutine. Any goroutine may call it.
func (c *control) post(event func()) bool {
	select {
	case c.events <- event:
		return true
	case <-c.ctx.Done():
		return false
	}
}

// ask runs f on the control goroutine and waits for it. Any other goroutine
// may call it.
func (c *control) ask(ctx context.Context, f func()) error {
	done := make(chan struct{})
	posted := c.post(func() {
		defer close(done)
		f()
	})
	if !posted {
		return errors.New("agent stopped")
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-c.ctx.Done():
		return errors.New("agent stopped")
	}
}

func (c *control) tick(now time.Time) {
	c.register(now)
	c.measure(now)
	if c.account != nil {
		c.list(now)
		c.wishAdapters(now)
		c.decide(now)
	}
	c.publish()
	c.beat(now)
}

// decide carries out what the account decides. It decides nothing while the
// size of a listed replica is not known.
func (c *control) decide(now time.Time) {
	if len(c.uncovered) > 0 {
		return
	}
	for _, cmd := range c.account.Tick(now, c.use) {
		c.execute(now, cmd)
	}
}

// use reports the use of a replica or an adapter to the account.
func (c *control) use(key state.ReplicaKey, adapter state.AdapterName) account.Use {
	found, ok := c.agent.usages.all.Load(target{key, adapter})
	u := account.Use{KeepAlive: c.agent.cfg.KeepAlive}
	if ok {
		in := found.(*usage)
		u.InFlight = max(int(in.inFlight.Load()), 0)
		u.LastUsed = in.last()
	}
	if c.agent.deps.KeepAlive != nil {
		u.KeepAlive = c.agent.deps.KeepAlive(key, c.loadTime(key, c.cachedAt(key)))
	}
	if keepAlive, ok := c.parts.part.KeepAlive[key.Model]; ok {
		u.KeepAlive = keepAlive.Std()
	}
	return u
}

// wishAdapters wishes for the adapters that queued requests wait for.
func (c *control) wishAdapters(now time.Time) {
	c.agent.missing.Range(func(k, v any) bool {
		t, until := k.(target), v.(time.Time)
		if now.After(until) || c.agent.view.Load().ready[t.key][t.adapter] {
			c.agent.missing.Delete(k)
			return true
		}
		// A refusal reaches the requests when their deadline passes.
		_ = c.account.Wake(account.WakeRequest{Key: t.key, Adapter: t.adapter, Benefit: 1, Since: now, Until: until})
		return true
	})
}

// list asks the engine for a listing when one is due.
func (c *control) list(now time.Time) {
	if c.listingBusy || now.Before(c.listingAt) {
		return
	}
	c.listingBusy = true
	stamp := c.account.BeginListing()
	go func() {
		ctx, cancel := context.WithTimeout(c.ctx, listingTimeout)
		defer cancel()
		status, err := c.agent.deps.Engine.Status(ctx)
		c.post(func() { c.listed(stamp, status, err) })
	}()
}

func (c *control) listed(stamp account.Stamp, status platform.EngineStatus, err error) {
	now := time.Now()
	c.listingBusy = false
	c.listingAt = now.Add(listingInterval)
	if err != nil {
		c.agent.deps.Counters.Add("agent_listing_failures_total", 1)
		c.listingAt = now.Add(busyInterval)
		c.down = errors.Is(err, platform.ErrUnavailable)
		return
	}
	c.down = false
	if before := c.account.Incarnation(); before != "" && before != status.Incarnation {
		c.agent.deps.Logger.Warn("the engine restarted", "incarnation", status.Incarnation)
		c.agent.deps.Counters.Add("agent_engine_restarts_total", 1)
	}
	c.noteListed(status.Replicas)
	c.account.Observe(now, stamp, status)
	c.agent.crashes.observe(status.Incarnation)
	c.openUsages()
	if c.account.HasPendingOrders() {
		c.listingAt = now.Add(busyInterval)
	}
}

// relist asks for a listing at once. Any goroutine may call it.
func (c *control) relist() {
	c.post(func() { c.listingAt = time.Time{} })
}

// openUsages lets requests use what is not being unloaded any more. A request
// for an adapter that is gone may then wait for its next load.
func (c *control) openUsages() {
	for t := range c.shut {
		if !c.account.Unloading(t.key, t.adapter) {
			c.agent.usages.of(t).open()
			delete(c.shut, t)
		}
	}
}

// publish makes a new snapshot for traffic if anything in it changed.
func (c *control) publish() {
	c.updatePhase()
	next := &view{state: c.phase, token: c.registration.token}
	if c.account != nil {
		next.ready = readySet(c.offered())
	}
	if !next.equal(c.agent.view.Load()) {
		c.agent.view.Store(next)
		c.agent.wakeDispatcher()
	}
}

func (c *control) updatePhase() {
	draining := c.drained || c.leaving || c.parts.part.Drained
	listed := c.account == nil || c.account.Listed()
	switch {
	case draining:
		c.phase = rpc.AgentDraining
	case listed:
		c.phase = rpc.AgentServing
	default:
		c.phase = rpc.AgentStarting
	}
}

// offered lists the replicas that may get work: none while the engine is down.
func (c *control) offered() []state.Replica {
	if c.account == nil || c.down {
		return nil
	}
	return c.account.Replicas()
}

func readySet(replicas []state.Replica) map[state.ReplicaKey]map[state.AdapterName]bool {
	ready := make(map[state.ReplicaKey]map[state.AdapterName]bool, len(replicas))
	for _, r := range replicas {
		if r.State != state.ReplicaReady {
			continue
		}
		adapters := make(map[state.AdapterName]bool, len(r.Adapters))
		for _, name := range r.Adapters {
			adapters[name] = true
		}
		ready[r.ReplicaKey] = adapters
	}
	return ready
}
