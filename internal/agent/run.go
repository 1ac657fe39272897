package agent

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"net/url"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"

	"github.com/lagoonvalve/lagoonvalve/internal/ctxtime"
	"github.com/lagoonvalve/lagoonvalve/internal/ingress"
	"github.com/lagoonvalve/lagoonvalve/internal/platform"
	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

const (
	bindRetry         = 200 * time.Millisecond
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 64 << 10
	expiryInterval    = 5 * time.Millisecond
	closeTimeout      = 2 * time.Second
)

// Agent is a running agent.
type Agent struct {
	cfg       Config
	deps      Deps
	base      *url.URL
	process   state.ProcessID
	region    platform.Stream
	service   bool
	services  map[state.ServiceName]bool
	transport http.RoundTripper

	dispatcher *dispatcher
	claims     *claims
	crashes    *crashes
	usages     usages
	view       atomic.Pointer[view]
	// missing holds the adapters that queued requests wait for, by target,
	// with the time until which they wait.
	missing sync.Map
	// bodies is the memory of the requests that are being read or served.
	bodies  atomic.Int64
	changed chan struct{}
	// drainTime and settleTime bound the shutdown, in nanoseconds.
	drainTime, settleTime atomic.Int64
	// stopping is set once the drain of a planned stop has ended.
	stopping ctxtime.StopSchedule
	// gaps carries the gaps between requests to the control goroutine.
	gaps chan requestGap

	leaving  chan leaveReason
	shutdown context.Context
	endRuns  context.CancelFunc
	control  *control
	// stopControl ends the control goroutine after the shutdown.
	stopControl context.CancelFunc
}

// New returns an agent. It reports which setting is invalid.
func New(cfg Config, deps Deps) (*Agent, error) {
	cfg = cfg.withDefaults()
	if err := cfg.check(); err != nil {
		return nil, err
	}
	base, err := cfg.baseURL()
	if err != nil {
		return nil, err
	}
	if err := deps.check(cfg); err != nil {
		return nil, err
	}
	deps = deps.withDefaults(cfg)
	a := &Agent{
		cfg:       cfg,
		deps:      deps,
		base:      base,
		process:   state.ProcessID{Name: string(cfg.Upstream.Name), Incarnation: cfg.Incarnation},
		region:    platform.RegionStream(cfg.Upstream.Region),
		service:   cfg.Upstream.Kind == state.PlainService,
		services:  make(map[state.ServiceName]bool),
		transport: deps.Transport,
		claims:    newClaims(cfg.Incarnation, cfg.MaxClaims),
		leaving:   make(chan leaveReason, 1),
		changed:   make(chan struct{}, 1),
		gaps:      make(chan requestGap, gapBacklog),
	}
	for _, name := range cfg.Upstream.Services {
		a.services[name] = true
	}
	a.SetShutdown(cfg.Shutdown, cfg.Settle)
	a.start()
	return a, nil
}

// start makes the parts that refer to each other.
func (a *Agent) start() {
	a.shutdown, a.endRuns = context.WithCancel(context.Background())
	ctx, stop := context.WithCancel(context.Background())
	a.stopControl = stop
	a.view.Store(&view{state: rpc.AgentStarting, token: state.NoOffset})
	a.dispatcher = newDispatcher(a.deps.Queue, a.cfg.Concurrency, a.cfg.MaxLong, a.isReady)
	a.control = newControl(ctx, a)
	a.crashes = newCrashes(a.deps.Engine, a.control.relist)
}

// Run binds the control address, serves, and registers. It returns nil after
// a graceful shutdown, which begins when ctx ends, when the host leaves or
// when a later agent is registered.
func (a *Agent) Run(ctx context.Context) error {
	defer a.stopControl()
	control, err := a.bind(ctx, a.cfg.Upstream.ControlAddr)
	if err != nil {
		return ignoreEnd(ctx, err)
	}
	defer func() { _ = control.Close() }()
	traffic, err := a.bind(ctx, a.cfg.Upstream.TrafficAddr)
	if err != nil {
		return ignoreEnd(ctx, err)
	}
	return a.serveUntilLeft(ctx, control, traffic)
}

func ignoreEnd(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// bind binds an address exclusively. While a predecessor, running or paused,
// still has it, bind tries again: the agent must not register before its
// predecessor is dead.
func (a *Agent) bind(ctx context.Context, addr string) (net.Listener, error) {
	for attempt := 0; ; attempt++ {
		listener, err := a.deps.Listen(ctx, addr)
		if err == nil {
			return listener, nil
		}
		if attempt == 0 {
			a.deps.Logger.Warn("can't bind yet; a predecessor may still run", "addr", addr, "error", err)
		}
		timer := time.NewTimer(bindRetry)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return nil, errors.Wrapf(err, "bind %s", addr)
		}
	}
}

func (a *Agent) serveUntilLeft(ctx context.Context, controlListener, trafficListener net.Listener) error {
	c := a.control
	server := a.httpServer()
	if a.deps.Ingress != nil {
		a.deps.Ingress.Configure(server)
		trafficListener = a.deps.Ingress.Listen(trafficListener)
	}
	group, running := errgroup.WithContext(c.ctx)
	methods := rpc.NewServer(c.methods())
	methods.Counter = a.deps.Bytes
	group.Go(func() error { return methods.Serve(c.ctx, controlListener) })
	group.Go(func() error { return serveHTTP(server, trafficListener) })
	group.Go(func() error { c.run(); return nil })
	group.Go(func() error { a.expire(c.ctx); return nil })
	group.Go(func() error { c.follow(); return nil })
	group.Go(func() error {
		why := a.awaitEnd(ctx, running)
		a.shutDown(c, why)
		closeBy := ctxtime.EarlierDeadline(closeTimeout, a.stopping.DeadlineAt(connectionsShare))
		closeCtx, cancel := context.WithDeadline(context.Background(), closeBy)
		defer cancel()
		if server.Shutdown(closeCtx) != nil {
			_ = server.Close()
		}
		a.stopControl()
		return nil
	})
	return group.Wait()
}

// Ready is nil if the agent takes requests.
func (a *Agent) Ready() error {
	if now := a.view.Load().state; now != rpc.AgentServing {
		return errors.Errorf("the agent is %s", now)
	}
	return nil
}

// Do runs f on the control goroutine, which also calls Deps.KeepAlive and
// Deps.Burst.
func (a *Agent) Do(f func()) { a.control.post(f) }

// SetShutdown changes Config.Shutdown and Config.Settle.
func (a *Agent) SetShutdown(shutdown, settle time.Duration) {
	a.drainTime.Store(int64(shutdown))
	a.settleTime.Store(int64(settle))
}

// awaitEnd waits for a reason to stop.
func (a *Agent) awaitEnd(ctx, running context.Context) leaveReason {
	select {
	case <-ctx.Done():
		return leaveStop
	case <-running.Done():
		return leaveStop
	case why := <-a.leaving:
		return why
	}
}

// CallerLimits returns the limits on heads and idle connections.
func CallerLimits() ingress.Limits {
	return ingress.Limits{HeadBytes: maxHeaderBytes, HeadTimeout: readHeaderTimeout, IdleTimeout: idleTimeout}
}

func (a *Agent) httpServer() *http.Server {
	return &http.Server{
		Handler:           a,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          slog.NewLogLogger(a.deps.Logger.Handler(), slog.LevelDebug),
	}
}

func serveHTTP(server *http.Server, listener net.Listener) error {
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve traffic")
	}
	return nil
}

// wakeDispatcher lets queued requests start after a change of the view. The
// control goroutine takes no lock of traffic.
func (a *Agent) wakeDispatcher() {
	select {
	case a.changed <- struct{}{}:
	default:
	}
}

// expire refuses queued requests in time and starts those that can start.
func (a *Agent) expire(ctx context.Context) {
	ticker := time.NewTicker(expiryInterval)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			if a.dispatcher.queued.Load() > 0 {
				a.dispatcher.tick(now)
			}
		case <-a.changed:
			a.dispatcher.tick(time.Now())
		case <-ctx.Done():
			return
		}
	}
}
