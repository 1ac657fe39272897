// Package gateway implements the role that routes callers' requests to upstreams
// on a platform that keeps the registry of upstreams and the manifest of routes
// itself. Requests are routed by an immutable view; one control goroutine owns the
// tables from which views are built.
package gateway

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/controller"
	"github.com/lagoonvalve/lagoonvalve/internal/decide/access"
	"github.com/lagoonvalve/lagoonvalve/internal/decide/fairness"
	"github.com/lagoonvalve/lagoonvalve/internal/decide/health"
	"github.com/lagoonvalve/lagoonvalve/internal/decide/quota"
	"github.com/lagoonvalve/lagoonvalve/internal/decide/retry"
	"github.com/lagoonvalve/lagoonvalve/internal/decide/selection"
	"github.com/lagoonvalve/lagoonvalve/internal/fleet"
	"github.com/lagoonvalve/lagoonvalve/internal/forward"
	"github.com/lagoonvalve/lagoonvalve/internal/ingress"
	"github.com/lagoonvalve/lagoonvalve/internal/notices"
	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
	"github.com/lagoonvalve/lagoonvalve/internal/telemetry"
)

// Options configures a gateway.
type Options struct {
	// Name identifies the process among the gateways.
	Name       string
	Control    string
	DataCentre state.DataCentre
	// RegionOf maps each data centre to its region.
	RegionOf  map[state.DataCentre]state.Region
	Manifests fleet.Feed[fleet.Manifest]
	Upstreams fleet.Feed[fleet.Upstream]
	// Quarantines has the quarantines from before the start; nil has none.
	Quarantines fleet.QuarantineStore
	Dialect     fleet.Dialect
	Controller  *controller.Controller
	Caller      rpc.Caller
	Logger      *slog.Logger
	// Notices exchanges notices with the other gateways, which reach this one at
	// NoticeAddress; nil disables notices.
	Notices       *notices.Exchange
	NoticeAddress string
	// Meter records metrics of requests; nil records none.
	Meter Meter
	// RetryShare and RetrySlack bound the retries of all gateways together: a
	// fraction of the requests, plus a fixed number.
	RetryShare, RetrySlack float64
	// Spillover decides when requests leave the data centre; nil leaves that to the load of
	// upstreams as known here.
	Spillover *Spillover
	// EngineMemory makes the memory of engines a limit of admission.
	EngineMemory bool
	// MeasuredSpeed makes the choice of upstreams count with measured speeds.
	MeasuredSpeed bool
	// StallTimeout is how long a write to a caller may make no progress; zero is no limit.
	StallTimeout time.Duration
	// Ingress bounds what callers hold; nil sets no bounds. Its limits follow the manifest.
	Ingress *ingress.Gate
	// BoundReady bounds the server of readiness checks; nil sets no bounds.
	BoundReady func(*http.Server, net.Listener) net.Listener
	// Access decides on the keys of teams.
	Access access.Policy
	// Quotas is what teams may get of their quotas.
	Quotas quota.Config
	// Grace bounds the duration of a planned stop, and RefuseAfter the part of it
	// during which all new requests are still accepted.
	Grace, RefuseAfter time.Duration
}

// Listeners holds the listeners for callers' requests, readiness checks and calls
// from other processes.
type Listeners struct {
	Callers, Ready, Control net.Listener
}

// Gateway routes callers' requests to upstreams.
type Gateway struct {
	opts    Options
	forward *forward.Client
	health  health.Config
	// selection configures the choice of a replica; sentPrompts records which
	// prompt parts were sent to which upstream.
	selection   selection.Config
	sentPrompts *sentPrompts
	// longPrompts records which models receive long prompts.
	longPrompts *longPrompts
	// spillover is nil if it is not enabled.
	spillover   *spillover
	fairShares  *fairShares
	memoryQueue *memoryQueue
	loadQueue   *loadQueue
	modelSpeeds *modelSpeeds
	view        atomic.Pointer[view]
	events      chan tableEvent
	demand      *demand
	// openRequests counts the requests in progress.
	openRequests atomic.Int64
	stopBegan    atomic.Pointer[time.Time]
	stopTimes    stopTimes
	// closing means that a planned stop closes the connections of callers, so that
	// no new request is accepted.
	closing atomic.Bool
	// abortCtx is cancelled shortly before the end of a planned stop, which
	// aborts the requests that are still open.
	abortCtx     context.Context
	abortOpen    context.CancelFunc
	gatewayCount atomic.Int32
	// controllerAnsweredAt is the time of the controller's last answer.
	controllerAnsweredAt atomic.Pointer[time.Time]
	// lastStoreRead is the time of the last successful read of a feed from the
	// platform's store.
	lastStoreRead atomic.Pointer[time.Time]
	// manifestConfirmedAt is tables.manifestConfirmedAt. It is stored after the view with
	// the confirmed manifest.
	manifestConfirmedAt atomic.Pointer[time.Time]
	relayed             relayedFeeds
	crashes             *crashWatch
	answerReports       *answerReports
	quotas              *quotas

	budgets budgets
}

// budgets holds the retry budget of each service.
type budgets struct {
	mu        sync.Mutex
	byService map[state.ServiceName]*retry.Budget
}

// tableEvent updates the tables in the control goroutine. It reports whether a
// new view has to be published.
type tableEvent func(t *tables, now time.Time) bool

const (
	eventBuffer = 256
	// housekeepingInterval is the interval at which expired upstreams and idle
	// connections are removed.
	housekeepingInterval = 500 * time.Millisecond
	// manifestReadInterval and upstreamReadInterval are the minimum intervals
	// between reads of the two feeds. Each read has a cost at the platform.
	manifestReadInterval = 200 * time.Millisecond
	upstreamReadInterval = 600 * time.Millisecond
)

// New returns a gateway without a manifest or upstreams.
func New(opts Options) *Gateway {
	if opts.Meter == nil {
		opts.Meter = noMeter{}
	}
	g := &Gateway{
		opts:      opts,
		stopTimes: newStopTimes(opts.Grace, opts.RefuseAfter),
		forward:   forward.NewClient(opts.Dialect),
		health:    health.DefaultConfig(),

		selection:   selection.DefaultConfig(),
		sentPrompts: newSentPrompts(),
		longPrompts: newLongPrompts(selection.DefaultConfig().LongPrompt),
		fairShares:  newFairShares(fairness.DefaultConfig()),
		memoryQueue: newMemoryQueue(),
		modelSpeeds: newModelSpeeds(),
		events:      make(chan tableEvent, eventBuffer),
		demand:      newDemand(),
		crashes:     newCrashWatch(),

		answerReports: newAnswerReports(),
		quotas:        newQuotas(opts.Quotas, opts.Name, opts.Control),
		budgets:       budgets{byService: make(map[state.ServiceName]*retry.Budget)},
	}
	g.loadQueue = newLoadQueue(&g.view)
	opts.Meter.ObserveQuotas(telemetry.QuotaSource{Holdings: g.quotas.holdings, Outstanding: opts.Controller.QuotasOutstanding})
	g.spillover = newSpillover(&g.opts, g.selection)
	g.abortCtx, g.abortOpen = context.WithCancel(context.Background())
	g.lastStoreRead.Store(new(time.Time))
	g.manifestConfirmedAt.Store(new(time.Time))
	g.relayed.reset()
	g.view.Store(newTables(opts.DataCentre, opts.RegionOf).view(time.Now()))
	return g
}

// Run serves requests until ctx ends, and then drains.
func (g *Gateway) Run(ctx context.Context, listeners Listeners, ready http.Handler) error {
	// The background goroutines keep running while a planned stop finishes requests.
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	var running sync.WaitGroup
	defer running.Wait()
	defer cancel()
	running.Go(func() { g.control(background) })
	running.Go(func() { g.followManifests(background) })
	running.Go(func() { g.followUpstreams(background) })
	running.Go(func() { g.followResidency(background) })
	running.Go(func() { g.reportDemand(background) })
	running.Go(func() { g.reportCrashes(background) })
	running.Go(func() { g.reportAnswers(background) })
	running.Go(func() { g.followQuotas(background) })
	if g.opts.Quarantines != nil {
		running.Go(func() { g.loadQuarantines(background) })
	}
	if g.opts.Notices != nil && g.opts.EngineMemory {
		running.Go(func() { g.reportHeldMemory(background) })
	}
	if g.opts.Notices != nil {
		running.Go(func() {
			g.opts.Notices.Run(background, notices.Handler{Sent: g.handleSent, Controller: g.handleAnnouncement})
		})
	}
	running.Go(func() { g.opts.Controller.Run(background) })
	return g.serve(ctx, background, listeners, ready)
}

// control owns the tables and publishes views of them.
func (g *Gateway) control(ctx context.Context) {
	t := newTables(g.opts.DataCentre, g.opts.RegionOf)
	ticker := time.NewTicker(housekeepingInterval)
	defer ticker.Stop()
	for {
		publish := false
		select {
		case <-ctx.Done():
			return
		case e := <-g.events:
			publish = e(t, time.Now())
		case <-ticker.C:
			now := time.Now()
			for _, name := range t.expire(now) {
				g.opts.Logger.Info("upstream gone", "upstream", name, "grace", reregisterGrace)
				publish = true
			}
			g.forward.CloseExpired(now)
		}
		if publish {
			g.publish(t)
		}
		if confirmed := t.manifestConfirmedAt; confirmed.After(*g.manifestConfirmedAt.Load()) {
			g.manifestConfirmedAt.Store(&confirmed)
		}
	}
}

func (g *Gateway) publish(t *tables) {
	f := t.fleet()
	g.opts.Controller.Update(f)
	g.forward.Retain(f.Upstreams)
	v := t.view(time.Now())
	old := g.view.Swap(v)
	close(old.changed)
	g.beginLoadRound(v)
	g.limitCallers(old.manifest)
}

// post passes an event to the control goroutine.
func (g *Gateway) post(ctx context.Context, e tableEvent) {
	select {
	case g.events <- e:
	case <-ctx.Done():
	}
}

// recordManifestRead records a successful read of the manifest feed from the
// platform's store.
func (g *Gateway) recordManifestRead(now time.Time) {
	g.lastStoreRead.Store(&now)
	g.opts.Controller.RecordManifestRead(now)
}

// recordRegistryRead records a successful read of the registry from the platform's
// store.
func (g *Gateway) recordRegistryRead(now time.Time) {
	g.lastStoreRead.Store(&now)
	g.opts.Controller.RecordRegistryRead(now)
}

func (g *Gateway) followManifests(ctx context.Context) {
	f := follower[fleet.Manifest]{
		name: "manifest", feed: g.opts.Manifests, logger: g.opts.Logger, minInterval: manifestReadInterval, onRead: g.recordManifestRead,
		relayed: g.manifestRelayed, shared: g.opts.Controller.IsActing, onEpoch: g.opts.Controller.ObserveEpoch,
	}
	f.apply = func(page fleet.Page[fleet.Manifest], _, _ bool) {
		readAt := f.readBegan
		g.post(ctx, func(t *tables, _ time.Time) bool {
			applied := g.applyManifests(t, page)
			if t.manifest != nil && page.Next >= page.End && uint64(t.manifest.Version) >= g.relayed.manifestVersion.Load() {
				t.confirmManifest(t.manifest.Version, readAt)
				g.opts.Controller.ConfirmManifest(t.manifest.Version, readAt)
			}
			return applied
		})
	}
	f.run(ctx)
}

func (g *Gateway) applyManifests(t *tables, page fleet.Page[fleet.Manifest]) bool {
	applied := false
	for _, c := range page.Changes {
		if c.Invalid != nil {
			g.opts.Logger.Warn("manifest ignored", "error", c.Invalid)
		}
		if c.Value != nil && t.applyManifest(c.Value) {
			applied = true
			g.opts.Logger.Info("manifest in force", "version", c.Value.Version)
		}
	}
	return applied
}

func (g *Gateway) followUpstreams(ctx context.Context) {
	f := follower[fleet.Upstream]{
		name: "upstreams", feed: g.opts.Upstreams, logger: g.opts.Logger, minInterval: upstreamReadInterval, onRead: g.recordRegistryRead,
		relayed: g.registryRelayed, onRelayed: g.requestRegistry, shared: g.opts.Controller.IsActing,
		onEpoch: g.opts.Controller.ObserveEpoch,
		apply: func(page fleet.Page[fleet.Upstream], complete, outage bool) {
			g.post(ctx, func(t *tables, now time.Time) bool {
				g.applyUpstreams(t, page, complete, outage, now)
				return true
			})
		},
	}
	f.run(ctx)
}

func (g *Gateway) applyUpstreams(t *tables, page fleet.Page[fleet.Upstream], complete, outage bool, now time.Time) {
	listed := make(map[state.UpstreamName]bool, len(page.Changes))
	for _, c := range page.Changes {
		name := state.UpstreamName(c.Key)
		switch {
		case c.Invalid != nil:
			// An upstream that another writer's entry has replaced writes its own again.
			listed[name] = true
			g.opts.Logger.Warn("upstream entry ignored", "upstream", name, "error", c.Invalid)
		case c.Value == nil:
			g.opts.Logger.Info("upstream entry removed", "upstream", name, "outage", outage)
			t.removeUpstream(name, now, outage)
		default:
			listed[name] = true
			if t.applyUpstream(c.Value) {
				g.opts.Logger.Info("upstream", "upstream", name, "service", c.Value.Service, "address", c.Value.Address,
					"draining", c.Value.Draining, "report", c.Value.Report)
			}
		}
	}
	if !complete {
		return
	}
	for name := range t.upstreams {
		if !listed[name] {
			t.removeUpstream(name, now, outage)
		}
	}
}
