// Package roles builds the processes of the system from their settings.
package roles

import (
	"context"
	"log/slog"
	"net"
	"time"

	"github.com/go-faster/errors"

	"github.com/lagoonvalve/lagoonvalve/internal/agent"
	"github.com/lagoonvalve/lagoonvalve/internal/decide/admission"
	"github.com/lagoonvalve/lagoonvalve/internal/entry"
	"github.com/lagoonvalve/lagoonvalve/internal/logclient"
	"github.com/lagoonvalve/lagoonvalve/internal/platform"
	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
	"github.com/lagoonvalve/lagoonvalve/internal/settings"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
	"github.com/lagoonvalve/lagoonvalve/internal/telemetry"
)

// logRetention is how long the platform's log is taken to keep records.
const logRetention = 24 * time.Hour

// RunEntry runs an entry until ctx ends.
func RunEntry(ctx context.Context, cfg settings.Entry, logger *slog.Logger) error {
	meter, err := telemetry.Start(ctx, cfg.Common)
	if err != nil {
		return err
	}
	defer shutdownTelemetry(meter, cfg.Common, logger)
	listeners, err := bindEntry(ctx, cfg)
	if err != nil {
		return err
	}
	caller := rpc.NewClient()
	caller.Counter = meter
	defer caller.Close()
	e := entry.New(cfg, entry.Deps{
		Log:       platform.NewHTTPLog(cfg.Platform.Log, platform.HTTPOptions{}),
		Hosts:     platform.NewHTTPHostList(cfg.Platform.Hosts, platform.HTTPOptions{}),
		Caller:    caller,
		Logger:    logger,
		Metrics:   meter.Handler(),
		Meter:     meter,
		Counter:   meter,
		Retention: logRetention,
	})
	return e.Run(ctx, listeners)
}

func bindEntry(ctx context.Context, cfg settings.Entry) (entry.Listeners, error) {
	var listeners entry.Listeners
	bind := func(addr string, into *net.Listener) error {
		listener, err := new(net.ListenConfig).Listen(ctx, "tcp", addr)
		if err != nil {
			return errors.Wrap(err, "bind")
		}
		*into = listener
		return nil
	}
	if err := bind(cfg.Listen.Control, &listeners.Control); err != nil {
		return listeners, err
	}
	if err := bind(cfg.Listen.Callers, &listeners.Callers); err != nil {
		return listeners, err
	}
	return listeners, bind(cfg.Listen.Operators, &listeners.Operators)
}

func shutdownTelemetry(meter *telemetry.Telemetry, common settings.Common, logger *slog.Logger) {
	ctx, cancel := context.WithTimeout(context.Background(), common.Shutdown.StopTimeout.Std())
	defer cancel()
	if err := meter.Shutdown(ctx); err != nil {
		logger.Warn("last metrics not pushed", "error", err)
	}
}

// RunAgent runs an agent until ctx ends.
func RunAgent(ctx context.Context, cfg settings.Agent, logger *slog.Logger) error {
	client := rpc.NewClient()
	defer client.Close()
	entries := newDirectory(client, entryAddresses(cfg.Common))
	log := logclient.NewRelayClient(client, entries.addresses)
	// Entries put the records of many agents into one append, so the agent
	// does not wait for more of its own.
	writer := logclient.NewWriter(log, logclient.WriterConfig{Delay: -1})
	writing, stopWriting := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWriting()
	go func() {
		if err := writer.Run(writing); err != nil {
			logger.Error("log writer ended", "error", err)
		}
	}()
	deps := agent.Deps{
		Parts:     agent.NewPartClient(client, entries.addresses),
		Appender:  writer,
		Queue:     admission.NewQueue(queueConfig(cfg)),
		Caller:    entries,
		Watcher:   entries.watch,
		SlotOwner: entries.watch,
		Logger:    logger,
	}
	if cfg.Upstream.Kind != state.PlainService {
		deps.Engine = platform.NewHTTPEngine(cfg.Upstream.URL, platform.HTTPOptions{}, 0)
	}
	a, err := agent.New(agentConfig(cfg), deps)
	if err != nil {
		return err
	}
	return a.Run(ctx)
}

func queueConfig(cfg settings.Agent) admission.Config {
	return admission.Config{
		MaxRequests: cfg.Limits.QueueRequests,
		MaxBytes:    cfg.Limits.QueueBytes,
		Concurrency: cfg.Upstream.Concurrency,
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
		BaseURL:       cfg.Upstream.URL,
		Concurrency:   cfg.Upstream.Concurrency,
		MaxLong:       max(1, int(cfg.Limits.LongShare*float64(cfg.Upstream.Concurrency))),
		QueueRequests: cfg.Limits.QueueRequests,
		QueueBytes:    cfg.Limits.QueueBytes,
		MaxBody:       cfg.Limits.BodyBytes,
		Shutdown:      cfg.Shutdown.DrainTimeout.Std(),
	}
}

func entryAddresses(common settings.Common) []string {
	var addresses []string
	for _, peer := range common.Peers {
		if peer.Region == common.Region {
			addresses = append(addresses, peer.Control)
		}
	}
	return addresses
}
