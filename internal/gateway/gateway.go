// Package gateway is the role that stands between callers and upstreams on a
// platform that registers upstreams and keeps the manifest of routes itself.
// Callers' requests are routed by an immutable view; one control goroutine owns
// the tables that views are made from.
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
	"github.com/lagoonvalve/lagoonvalve/internal/decide/health"
	"github.com/lagoonvalve/lagoonvalve/internal/decide/retry"
	"github.com/lagoonvalve/lagoonvalve/internal/decide/selection"
	"github.com/lagoonvalve/lagoonvalve/internal/fleet"
	"github.com/lagoonvalve/lagoonvalve/internal/forward"
	"github.com/lagoonvalve/lagoonvalve/internal/notices"
	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// Options are what a gateway needs.
type Options struct {
	// Name names the process among the gateways.
	Name       string
	Control    string
	DataCentre state.DataCentre
	// RegionOf gives the region of each data centre.
	RegionOf   map[state.DataCentre]state.Region
	Manifests  fleet.Feed[fleet.Manifest]
	Upstreams  fleet.Feed[fleet.Upstream]
	Dialect    fleet.Dialect
	Controller *controller.Controller
	Caller     rpc.Caller
	Logger     *slog.Logger
	// Notices exchanges notices with the other gateways, which reach this one
	// at NoticeAddress; nil for none.
	Notices       *notices.Exchange
	NoticeAddress string
	// Meter counts what happens to requests; nil counts nothing.
	Meter Meter
	// RetryShare and RetrySlack bound the further attempts of all gateways
	// together: a share of the requests, and a number on top.
	RetryShare, RetrySlack float64
	// Grace is how long a planned stop may take, and RefuseAfter for how long
	// at most it takes all new requests.
	Grace, RefuseAfter time.Duration
}

// Listeners are where a gateway serves.
type Listeners struct {
	Callers, Ready, Control net.Listener
}

// Gateway takes requests and passes them on.
type Gateway struct {
	opts    Options
	forward *forward.Client
	health  health.Config
	// selection weighs replicas, and prompts remembers what was sent to them.
	selection selection.Config
	prompts   *prompts
	view      atomic.Pointer[view]
	events    chan tableEvent
	wanted    *wanted
	// open counts the requests being served.
	open     atomic.Int64
	stopping atomic.Pointer[time.Time]
	stop     stopTimes
	// stopped ends shortly before the end of a planned stop.
	stopped  context.Context
	endStop  context.CancelFunc
	gateways atomic.Int32
	// storeRead is when a feed was last read from the platform's store.
	storeRead atomic.Pointer[time.Time]
	relay     relay

	budgets budgets
}

// budgets holds the retry budget of each service.
type budgets struct {
	mu        sync.Mutex
	byService map[state.ServiceName]*retry.Budget
}

// tableEvent changes the tables in the control goroutine. It reports whether a
// new view is needed.
type tableEvent func(t *tables, now time.Time) bool

const (
	eventRoom = 256
	// housekeeping is the time between checks of what has expired.
	housekeeping = 500 * time.Millisecond
	// manifestPace and upstreamPace are the least times between reads of the
	// two feeds. Each read has its price.
	manifestPace = 200 * time.Millisecond
	upstreamPace = 600 * time.Millisecond
)

// New returns a gateway that knows nothing yet.
func New(opts Options) *Gateway {
	if opts.Meter == nil {
		opts.Meter = noMeter{}
	}
	g := &Gateway{
		opts:    opts,
		stop:    newStopTimes(opts.Grace, opts.RefuseAfter),
		forward: forward.NewClient(opts.Dialect),
		health:  health.DefaultConfig(),

		selection: selection.DefaultConfig(),
		prompts:   newPrompts(),
		events:    make(chan tableEvent, eventRoom),
		wanted:    newWanted(),
		budgets:   budgets{byService: make(map[state.ServiceName]*retry.Budget)},
	}
	g.stopped, g.endStop = context.WithCancel(context.Background())
	g.storeRead.Store(new(time.Time))
	g.relay.forget()
	g.view.Store(newTables(opts.DataCentre, opts.RegionOf).view(time.Now()))
	return g
}

// Run serves until ctx ends and then drains.
func (g *Gateway) Run(ctx context.Context, listeners Listeners, ready http.Handler) error {
	// The parts go on while a planned stop finishes requests.
	parts, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	var running sync.WaitGroup
	defer running.Wait()
	defer cancel()
	running.Go(func() { g.control(parts) })
	running.Go(func() { g.followManifests(parts) })
	running.Go(func() { g.followUpstreams(parts) })
	running.Go(func() { g.followResidency(parts) })
	running.Go(func() { g.reportWanted(parts) })
	if g.opts.Notices != nil {
		running.Go(func() { g.opts.Notices.Run(parts, notices.Handler{Sent: g.noticed, Controller: g.announced}) })
	}
	running.Go(func() { g.opts.Controller.Run(parts) })
	return g.serve(ctx, parts, listeners, ready)
}

// control owns the tables and publishes views of them.
func (g *Gateway) control(ctx context.Context) {
	t := newTables(g.opts.DataCentre, g.opts.RegionOf)
	ticker := time.NewTicker(housekeeping)
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
				g.opts.Logger.Info("upstream gone", "upstream", name, "grace", returnGrace)
				publish = true
			}
			g.forward.CloseExpired(now)
		}
		if publish {
			g.publish(t)
		}
	}
}

func (g *Gateway) publish(t *tables) {
	f := t.fleet()
	g.opts.Controller.Update(f)
	g.forward.Retain(f.Upstreams)
	old := g.view.Swap(t.view(time.Now()))
	close(old.changed)
}

// post hands an event to the control goroutine.
func (g *Gateway) post(ctx context.Context, e tableEvent) {
	select {
	case g.events <- e:
	case <-ctx.Done():
	}
}

// manifestRead notes that the platform's store has answered a read for a manifest.
func (g *Gateway) manifestRead(now time.Time) {
	g.storeRead.Store(&now)
	g.opts.Controller.RecordManifestRead(now)
}

// registryRead notes that the platform's store has answered a read of the
// registry.
func (g *Gateway) registryRead(now time.Time) {
	g.storeRead.Store(&now)
	g.opts.Controller.RecordRegistryRead(now)
}

func (g *Gateway) followManifests(ctx context.Context) {
	f := follower[fleet.Manifest]{
		name: "manifest", feed: g.opts.Manifests, logger: g.opts.Logger, pace: manifestPace, wasRead: g.manifestRead,
		relayed: g.manifestRelayed, reliedOn: g.opts.Controller.IsActing,
		apply: func(page fleet.Page[fleet.Manifest], _, _ bool) {
			g.post(ctx, func(t *tables, _ time.Time) bool { return g.applyManifests(t, page) })
		},
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
		name: "upstreams", feed: g.opts.Upstreams, logger: g.opts.Logger, pace: upstreamPace, wasRead: g.registryRead,
		relayed: g.registryRelayed, reliedOn: g.opts.Controller.IsActing,
		apply: func(page fleet.Page[fleet.Upstream], whole, outage bool) {
			g.post(ctx, func(t *tables, now time.Time) bool {
				g.applyUpstreams(t, page, whole, outage, now)
				return true
			})
		},
	}
	f.run(ctx)
}

func (g *Gateway) applyUpstreams(t *tables, page fleet.Page[fleet.Upstream], whole, outage bool, now time.Time) {
	listed := make(map[state.UpstreamName]bool, len(page.Changes))
	for _, c := range page.Changes {
		name := state.UpstreamName(c.Key)
		switch {
		case c.Invalid != nil:
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
	if !whole {
		return
	}
	for name := range t.upstreams {
		if !listed[name] {
			t.removeUpstream(name, now, outage)
		}
	}
}
