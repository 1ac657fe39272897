// Package entry is the entry host's process: it takes requests of callers and
// operators, admits, routes and relays them, and shares the soft roles of its
// region with the other entries.
package entry

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"
	"golang.org/x/sync/errgroup"

	"github.com/lagoonvalve/lagoonvalve/internal/audit"
	"github.com/lagoonvalve/lagoonvalve/internal/ctxtime"
	"github.com/lagoonvalve/lagoonvalve/internal/decide/admission"
	"github.com/lagoonvalve/lagoonvalve/internal/decide/estimate"
	"github.com/lagoonvalve/lagoonvalve/internal/decide/retry"
	"github.com/lagoonvalve/lagoonvalve/internal/decide/routing"
	"github.com/lagoonvalve/lagoonvalve/internal/decide/scaling"
	"github.com/lagoonvalve/lagoonvalve/internal/headers"
	"github.com/lagoonvalve/lagoonvalve/internal/ingress"
	"github.com/lagoonvalve/lagoonvalve/internal/logclient"
	"github.com/lagoonvalve/lagoonvalve/internal/platform"
	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
	"github.com/lagoonvalve/lagoonvalve/internal/settings"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

const (
	// hostsInterval is the time between readings of the host list.
	hostsInterval = 2 * time.Second
	// keptConnections bounds the idle connections to each agent.
	keptConnections = 64
	// expireInterval is the time between searches for requests that can no
	// longer be served in time.
	expireInterval = 20 * time.Millisecond
	// forgetInterval is the time between searches for unused routes.
	forgetInterval = 10 * time.Second
)

// Deps holds what an entry works with.
type Deps struct {
	Log    platform.Log
	Hosts  platform.HostList
	Caller rpc.Caller
	Logger *slog.Logger
	// Ingress bounds what callers hold, and BoundOperators the operators' server; nil sets
	// no bounds.
	Ingress        *ingress.Gate
	BoundOperators func(*http.Server, net.Listener) net.Listener
	// Metrics serves the metrics page; nil serves none.
	Metrics http.Handler
	// Meter measures; it is required.
	Meter Meter
	// Dial opens connections to agents and Scheme is that of their URLs;
	// defaults are clear text and "http".
	Dial   rpc.DialFunc
	Scheme string
	// Counter counts the bytes between processes.
	Counter rpc.ByteCounter
	// Retention is how long the log keeps records.
	Retention time.Duration
}

// Listeners are the addresses that the entry serves, already bound.
type Listeners struct {
	Callers, Operators, Control net.Listener
}

// Entry is a running entry.
type Entry struct {
	// cfg holds the settings of the start; settings those of the last reload.
	cfg       settings.Entry
	settings  atomic.Pointer[settings.Entry]
	deps      Deps
	meter     Meter
	caller    rpc.Caller
	control   *control
	gateway   *gateway
	shards    *claimShards
	writer    *logclient.Writer
	relay     *logclient.Relay
	router    *claimRouter
	snapshots *snapshotServer
	ledger    *ledger
	history   *history
	trail     *audit.Trail
	reports   *audit.Reporter
	// auditReader reads the trail and the reports of other processes.
	auditReader *auditReader
	// stopping is set once the drain of a planned stop has ended.
	stopping ctxtime.StopSchedule
}

// New returns an entry. It does nothing before Run.
func New(cfg settings.Entry, deps Deps) *Entry {
	deps.Log = countedLog{deps.Log, deps.Meter}
	e := &Entry{cfg: cfg, deps: deps, caller: deps.Caller, meter: deps.Meter, history: newHistory()}
	e.settings.Store(&cfg)
	self := state.ProcessID{Name: cfg.Name, Incarnation: uuid.NewString()}
	e.writer = logclient.NewWriter(deps.Log, logclient.WriterConfig{
		AppendsPerSecond: float64(cfg.Limits.LogAppendsPerSecond),
		MaxRetryDelay:    appendRetry,
	})
	e.relay = logclient.NewRelay(deps.Log, e.writer, logclient.RelayConfig{Tail: logclient.TailOptions{ReadLimit: e.readPace()}},
		platform.StreamConfig, platform.RegionStream(cfg.Region))
	e.trail = audit.NewTrail(self, cfg.Region, auditAppender{e.writer}, audit.Options{})
	e.control = newControl(e.controlConfig(self), controlDeps{
		caller: deps.Caller, appender: e.writer, logger: deps.Logger, counters: deps.Meter,
		quarantine: e.quarantineAutomatically, decided: e.trail.Automatic,
	}, time.Now())
	e.snapshots = &snapshotServer{control: e.control}
	e.shards = newClaimShards(self, deps.Log, e.writer, deps.Caller, e.agentAddress, deps.Logger)
	e.shards.meter = deps.Meter
	e.ledger = newLedger(time.Now())
	e.reports = audit.NewReporter(e.ledger.counts, self, cfg.Region, auditAppender{e.writer})
	e.auditReader = newAuditReader(deps.Log, cfg.Region, e.observeAudit)
	e.gateway = e.newGateway(self)
	e.applyLimits(cfg.Limits)
	return e
}

func (e *Entry) controlConfig(self state.ProcessID) controlConfig {
	cfg := controlConfig{
		self:       self,
		name:       state.EntryName(e.cfg.Name),
		region:     e.cfg.Region,
		dataCentre: e.cfg.DataCentre,
		address:    e.cfg.Listen.Control,
		regions:    otherRegions(e.cfg),
		store:      scaling.StoreLimits{PerSecond: e.cfg.Limits.StoreLoadsPerSecond, AtOnce: e.cfg.Limits.StoreLoadsAtOnce},
		home:       homeConfig(e.cfg.Weights),
		retention:  e.deps.Retention,
		seed:       rand.Uint64(),
	}
	for _, peer := range e.cfg.Peers {
		known := rpc.Peer{Name: peer.Name, Control: peer.Control}
		if peer.Region == e.cfg.Region {
			cfg.peers = append(cfg.peers, known)
		} else {
			cfg.remotes = append(cfg.remotes, known)
		}
	}
	return cfg
}

func (e *Entry) newGateway(self state.ProcessID) *gateway {
	sink := requestSink{meter: e.deps.Meter, ledger: e.ledger, decided: e.trail.Automatic}
	g := &gateway{
		cfg: gatewayConfig{
			scheme:        e.deps.Scheme,
			defaultCaller: state.Caller{Name: "anonymous", HighestClass: state.ClassNormal, Weight: 1},
		},
		view:       e.control.view,
		sink:       sink,
		client:     newTrafficClient(e.deps.Dial, true),
		onceClient: newTrafficClient(e.deps.Dial, false),
		limiter:    admission.NewLimiter(admission.LimiterConfig{}),
		estimator:  estimate.New(estimate.Config{}),
		retries:    retry.NewBudget(retry.Config{}),
		hedges:     routing.NewHedgeBudget(routing.HedgeConfig{}),
		volume:     routing.NewVolumeBudget(routing.VolumeConfig{}),
	}
	g.cfg.route = routeConfig{
		queue:       roomQueue(e.cfg.Limits.StarvationBound),
		slots:       startSlots,
		place:       e.cfg.DataCentre,
		region:      e.cfg.Region,
		seed:        rand.Uint64(),
		loads:       &g.loads,
		coldStarted: sink.coldStarted,
	}
	for _, peer := range e.cfg.Peers {
		if peer.Region != e.cfg.Region && peer.Callers != "" {
			g.cfg.remotes = append(g.cfg.remotes, remoteEntry{name: peer.Name, region: peer.Region, callers: peer.Callers})
		}
	}
	e.router = &claimRouter{
		process: self,
		name:    state.EntryName(e.cfg.Name),
		region:  e.cfg.Region,
		regions: otherRegions(e.cfg),
		view:    e.control.view,
		local:   e.shards,
		caller:  e.deps.Caller,
	}
	g.claims = e.router
	return g
}

func otherRegions(cfg settings.Entry) map[state.Region]map[state.EntryName]string {
	regions := make(map[state.Region]map[state.EntryName]string)
	for _, peer := range cfg.Peers {
		if peer.Region == cfg.Region {
			continue
		}
		if regions[peer.Region] == nil {
			regions[peer.Region] = make(map[state.EntryName]string)
		}
		regions[peer.Region][peer.Name] = peer.Control
	}
	return regions
}

// newTrafficClient returns a client for requests to agents. It follows no
// redirects, since answers belong to the caller.
func newTrafficClient(dial rpc.DialFunc, keep bool) *http.Client {
	dialer := &net.Dialer{Timeout: time.Second}
	open := dialer.DialContext
	if dial != nil {
		open = func(ctx context.Context, network, addr string) (net.Conn, error) {
			return dial(ctx, dialer, network, addr)
		}
	}
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         open,
			DialTLSContext:      open,
			MaxIdleConnsPerHost: keptConnections,
			IdleConnTimeout:     idleTimeout,
			DisableKeepAlives:   !keep,
			DisableCompression:  true,

			MaxResponseHeaderBytes: int64(headers.MaxResponseHead),
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Run serves until ctx ends, then stops gracefully: it takes no new requests,
// lets those in flight finish within the drain timeout, gives the rest a verdict
// and ends within the stop timeout. It returns an error if it could not serve.
func (e *Entry) Run(ctx context.Context, listeners Listeners) error {
	running, stopRunning := context.WithCancel(context.WithoutCancel(ctx))
	defer stopRunning()
	followers := &followers{
		gateway: e.gateway, control: e.control, caller: e.caller,
		running: running, active: make(map[target]chan struct{}),
	}
	e.gateway.kick = followers.kick
	e.gateway.touch = followers.touch
	e.gateway.suspects = newSuspects(e, running)
	e.router.running = running

	group, groupCtx := errgroup.WithContext(running)
	e.startControl(groupCtx, group)
	e.startServers(groupCtx, group, listeners)
	e.deps.Logger.Info("entry started",
		"callers", listeners.Callers.Addr().String(), "control", listeners.Control.Addr().String())

	select {
	case <-ctx.Done():
		e.stop()
	case <-groupCtx.Done():
	}
	stopRunning()
	return group.Wait()
}

func (e *Entry) startControl(ctx context.Context, group *errgroup.Group) {
	region := platform.RegionStream(e.cfg.Region)
	group.Go(func() error { return e.writer.Run(ctx) })
	group.Go(func() error { return e.relay.Run(ctx) })
	group.Go(func() error { return e.control.run(ctx) })
	group.Go(func() error { return e.shards.run(ctx) })
	group.Go(func() error { return e.control.followStream(ctx, e.relay, platform.StreamConfig) })
	group.Go(func() error { return e.control.followStream(ctx, e.relay, region) })
	group.Go(func() error { return e.readHosts(ctx) })
	group.Go(func() error { return e.flushAudit(ctx) })
	group.Go(func() error { return e.measure(ctx) })
	group.Go(func() error { return e.keepRooms(ctx) })
	group.Go(func() error { return e.forgetUnused(ctx) })
}

func (e *Entry) startServers(ctx context.Context, group *errgroup.Group, listeners Listeners) {
	callersServer := newHTTPServer(callersHandler(callersAPI{gateway: e.gateway}, e.readiness))
	api := operatorsAPI{control: e.control, tokens: e.tokens, run: statements{e}, change: e.change}
	operatorsServer := newHTTPServer(operatorsHandler(api, e.readiness, e.deps.Metrics))
	if e.deps.Ingress != nil {
		e.deps.Ingress.Configure(callersServer)
		listeners.Callers = e.deps.Ingress.Listen(listeners.Callers)
	}
	if e.deps.BoundOperators != nil {
		listeners.Operators = e.deps.BoundOperators(operatorsServer, listeners.Operators)
	}
	group.Go(func() error { return serveHTTP(ctx, callersServer, listeners.Callers, e.closeBy) })
	group.Go(func() error { return serveHTTP(ctx, operatorsServer, listeners.Operators, e.closeBy) })
	control := rpc.NewServer(e.methods())
	control.Counter = e.deps.Counter
	group.Go(func() error { return control.Serve(ctx, listeners.Control) })
}

// readHosts reads the platform's host list.
func (e *Entry) readHosts(ctx context.Context) error {
	for ctx.Err() == nil {
		limited, cancel := context.WithTimeout(ctx, hostsInterval)
		hosts, err := e.deps.Hosts.Hosts(limited)
		cancel()
		if err == nil {
			e.control.post(ctx, hostsRead{hosts: hosts})
		} else {
			e.meter.Add("lagoonvalve_host_list_failures_total", 1)
		}
		ctxtime.Sleep(ctx, hostsInterval)
	}
	return nil
}

// keepRooms ends waiting requests in time.
func (e *Entry) keepRooms(ctx context.Context) error {
	for ctxtime.Sleep(ctx, expireInterval) {
		now := time.Now()
		e.gateway.routes.each(func(r *route) { r.room.expire(now) })
	}
	return nil
}

// forgetUnused drops the routes and loads that are no longer needed.
func (e *Entry) forgetUnused(ctx context.Context) error {
	for ctxtime.Sleep(ctx, forgetInterval) {
		e.gateway.routes.dropIdle(time.Now())
		current := e.control.view()
		if current == nil {
			continue
		}
		e.gateway.loads.forgetExcept(func(name state.UpstreamName) bool {
			_, _, ok := current.config.Upstream(name)
			return ok
		})
	}
	return nil
}

// Ready waits until the entry takes requests or ctx ends.
func (e *Entry) Ready(ctx context.Context) error {
	for e.readiness() != nil {
		if !ctxtime.Sleep(ctx, expireInterval) {
			return errors.Wrap(ctx.Err(), "wait for the entry")
		}
	}
	return nil
}
