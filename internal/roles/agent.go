package roles

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"github.com/lagoonvalve/lagoonvalve/internal/agent"
	"github.com/lagoonvalve/lagoonvalve/internal/audit"
	"github.com/lagoonvalve/lagoonvalve/internal/certs"
	"github.com/lagoonvalve/lagoonvalve/internal/decide/admission"
	"github.com/lagoonvalve/lagoonvalve/internal/logclient"
	"github.com/lagoonvalve/lagoonvalve/internal/platform"
	"github.com/lagoonvalve/lagoonvalve/internal/settings"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
	"github.com/lagoonvalve/lagoonvalve/internal/telemetry"
)

const (
	// auditInterval is the time between writes of an agent's audit trail.
	auditInterval = 2 * time.Second
	// auditRecent and auditPending bound an agent's audit trail. It answers no
	// queries, and a load or unload takes a second at least, so that the bound
	// covers several minutes without the log.
	auditRecent  = 1
	auditPending = 500
	// namesInterval is the time between changes of the names that have label
	// values of their own.
	namesInterval = time.Minute
	// operatorsRetry is the time between attempts to bind the operators'
	// address.
	operatorsRetry = 500 * time.Millisecond
)

// RunAgent runs an agent until ctx ends.
func RunAgent(ctx context.Context, cfg settings.Agent, logger *slog.Logger) error {
	return StartAgent(ctx, cfg, Process[settings.Agent]{Logger: logger})
}

// StartAgent runs an agent that takes reloads until ctx ends.
func StartAgent(ctx context.Context, cfg settings.Agent, process Process[settings.Agent]) error {
	logger := process.Logger
	shared, err := openShared(ctx, cfg.Common, logger)
	if err != nil {
		return err
	}
	defer shared.close()
	limitHeap(cfg.Common)
	meter, secured, client := shared.meter, shared.secured, shared.client
	entries := newDirectory(client, entryAddresses(cfg.Common))
	log := logclient.NewRelayClient(client, entries.addresses)
	// Entries put the records of many agents into one append, so the agent
	// does not wait for more of its own.
	writer := logclient.NewWriter(log, logclient.WriterConfig{Delay: -1})
	// The writer and the trail outlive ctx, so that the last records are
	// written.
	background, stopBackground := context.WithCancel(context.WithoutCancel(ctx))
	defer stopBackground()
	go func() {
		if err := writer.Run(background); err != nil {
			logger.Error("log writer ended", "error", err)
		}
	}()
	a, trail, retention, err := newAgent(cfg, writer, entries, shared)
	if err != nil {
		return err
	}
	go keepTrail(background, trail, meter)
	go reload(ctx, cfg, process, func(now settings.Agent) {
		a.Do(func() { retention.configure(now.Weights) })
		a.SetShutdown(now.Shutdown.DrainTimeout.Std(), now.Shutdown.StopTimeout.Std())
		shared.stopTimeout.Store(int64(now.Shutdown.StopTimeout))
	})
	go serveAgentOperators(background, cfg, a, meter, secured.operators, logger)
	err = a.Run(ctx)
	shared.stopBy = shared.endBy(a.StopBy())
	last, cancel := context.WithDeadline(background, shared.endBy(a.RecordsBy()))
	defer cancel()
	if flushErr := trail.Flush(last); flushErr != nil {
		logger.Warn("last audit entries not written", "error", flushErr)
	}
	return err
}

func newAgent(cfg settings.Agent, writer *logclient.Writer, entries *directory,
	shared *sharedParts,
) (*agent.Agent, *audit.Trail, *retention, error) {
	meter, secured := shared.meter, shared.secured
	config := agentConfig(cfg)
	config.Incarnation = uuid.NewString()
	self := state.ProcessID{Name: cfg.Name, Incarnation: config.Incarnation}
	trail := audit.NewTrail(self, cfg.Region, trailAppender{writer}, audit.Options{Recent: auditRecent, Pending: auditPending})
	keep := newRetention(cfg.Weights, agent.DefaultKeepAlive)
	deps := agent.Deps{
		Parts:     agent.NewPartClient(entries.next, entries.addresses),
		Appender:  writer,
		Queue:     admission.NewQueue(queueConfig(cfg)),
		Caller:    entries,
		Watcher:   entries.watch,
		SlotOwner: entries.watch,
		KeepAlive: keep.keepAlive,
		Gap:       keep.observe,
		Burst:     keep.burst,
		Listen: func(ctx context.Context, addr string) (net.Listener, error) {
			listener, err := bind(ctx, addr, secured.internal)
			if err == nil && addr == cfg.Listen.Control {
				listener = boundControl(cfg.Common, listener, shared.logger, meter)
			}
			return listener, err
		},
		TLS:      shared.authorities,
		Logger:   shared.logger,
		Ingress:  newIngress(cfg.Common, agent.CallerLimits(), shared.logger, meter),
		Counters: meter,
		Meter:    meter,
		Bytes:    meter,
		Decided:  trail.Automatic,
	}
	if cfg.Upstream.Kind != state.PlainService {
		deps.Engine = platform.NewHTTPEngine(cfg.Upstream.URL, shared.http, 0)
	}
	a, err := agent.New(config, deps)
	return a, trail, keep, err
}

// trailAppender adapts the log writer to the audit trail.
type trailAppender struct{ writer *logclient.Writer }

// Append implements audit.Appender.
func (a trailAppender) Append(ctx context.Context, stream platform.Stream, records ...state.Record) error {
	_, err := a.writer.Append(ctx, stream, records...)
	return err
}

// keepTrail writes the audit trail and lets the metrics' names follow their
// use, until ctx ends.
func keepTrail(ctx context.Context, trail *audit.Trail, meter *telemetry.Telemetry) {
	ticker := time.NewTicker(auditInterval)
	defer ticker.Stop()
	rotated := time.Now()
	var discarded uint64
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			if now.Sub(rotated) >= namesInterval {
				rotated = now
				meter.RotateNames()
			}
		}
		limited, cancel := context.WithTimeout(ctx, auditInterval)
		// What can't be written waits within the trail's bounds.
		_ = trail.Flush(limited)
		cancel()
		if _, total := trail.Pending(); total > discarded {
			meter.AuditDiscarded(int(total - discarded))
			discarded = total
		}
	}
}

// serveAgentOperators serves metrics and health if the settings name an
// address for it. The returned function stops serving.
func serveAgentOperators(ctx context.Context, cfg settings.Agent, a *agent.Agent, meter *telemetry.Telemetry,
	source *certs.Source, logger *slog.Logger,
) {
	if cfg.Listen.Operators == "" {
		return
	}
	// A predecessor that still runs or is paused has the address as well as
	// the control address, for which the agent waits.
	listener, err := bind(ctx, cfg.Listen.Operators, source)
	for err != nil {
		select {
		case <-time.After(operatorsRetry):
		case <-ctx.Done():
			return
		}
		listener, err = bind(ctx, cfg.Listen.Operators, source)
	}
	server := &http.Server{Handler: agentOperators(a.Ready, meter.Handler()), ReadHeaderTimeout: standinHeaderTimeout}
	listener = boundReadiness(server, listener, "operators", logger)
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		logger.Error("metrics are no longer served", "error", err)
	}
}

func agentOperators(ready func() error, metrics http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", metrics)
	mux.HandleFunc("GET /livez", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if err := ready(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	})
	return mux
}

func queueConfig(cfg settings.Agent) admission.Config {
	return admission.Config{
		MaxRequests:     cfg.Limits.QueueRequests,
		MaxBytes:        cfg.Limits.QueueBytes,
		Concurrency:     cfg.Upstream.Concurrency,
		StarvationBound: cfg.Limits.StarvationBound,
	}
}

func agentConfig(cfg settings.Agent) agent.Config {
	return agent.Config{
		Upstream: state.Upstream{
			Name:        state.UpstreamName(cfg.Name),
			Kind:        cfg.Upstream.Kind,
			Host:        cfg.Host,
			DataCentre:  cfg.DataCentre,
			Region:      cfg.Region,
			TrafficAddr: cfg.Listen.Callers,
			ControlAddr: cfg.Listen.Control,
			Memory:      cfg.Upstream.Memory,
			Fencing:     cfg.Upstream.Fencing,
		},
		BaseURL:     cfg.Upstream.URL,
		Concurrency: cfg.Upstream.Concurrency,
		MaxLong:     max(1, int(cfg.Limits.LongShare*float64(cfg.Upstream.Concurrency))),
		QueueBytes:  cfg.Limits.QueueBytes,
		MaxBody:     cfg.Limits.BodyBytes,
		Shutdown:    cfg.Shutdown.DrainTimeout.Std(),
		Settle:      cfg.Shutdown.StopTimeout.Std(),
	}
}
