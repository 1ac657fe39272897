// Package roles builds the processes of the system from their settings.
package roles

import (
	"context"
	"crypto/tls"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/lagoonvalve/lagoonvalve/internal/certs"
	"github.com/lagoonvalve/lagoonvalve/internal/entry"
	"github.com/lagoonvalve/lagoonvalve/internal/platform"
	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
	"github.com/lagoonvalve/lagoonvalve/internal/settings"
	"github.com/lagoonvalve/lagoonvalve/internal/telemetry"
)

// logRetention is how long the platform's log is taken to keep records.
const logRetention = 24 * time.Hour

// Process holds what a role gets from its process besides its settings.
type Process[S settings.Settings] struct {
	Logger *slog.Logger
	// Level changes the logger's level on reload; nil leaves it.
	Level *slog.LevelVar
	// Reloads gives settings that were read again; nil gives none.
	Reloads <-chan S
}

// RunEntry runs an entry until ctx ends.
func RunEntry(ctx context.Context, cfg settings.Entry, logger *slog.Logger) error {
	return StartEntry(ctx, cfg, Process[settings.Entry]{Logger: logger})
}

// StartEntry runs an entry that takes reloads until ctx ends.
func StartEntry(ctx context.Context, cfg settings.Entry, process Process[settings.Entry]) error {
	logger := process.Logger
	shared, err := openShared(ctx, cfg.Common, logger)
	if err != nil {
		return err
	}
	defer shared.close()
	meter, secured := shared.meter, shared.secured
	listeners, err := bindEntry(ctx, cfg, secured)
	if err != nil {
		return err
	}
	limitHeap(cfg.Common)
	listeners.Control = boundControl(cfg.Common, listeners.Control, logger, meter)
	e := entry.New(cfg, entry.Deps{
		Log:     platform.NewHTTPLog(cfg.Platform.Log, shared.http),
		Hosts:   platform.NewHTTPHostList(cfg.Platform.Hosts, shared.http),
		Caller:  shared.client,
		Logger:  logger,
		Ingress: newIngress(cfg.Common, entry.CallerLimits(), logger, meter),
		BoundOperators: func(server *http.Server, l net.Listener) net.Listener {
			return operatorsBounds.apply(server, l, "operators", logger)
		},
		Metrics:   meter.Handler(),
		Meter:     meter,
		Dial:      secured.internal.Dial,
		Scheme:    secured.internal.Scheme(),
		Counter:   meter,
		Retention: logRetention,
	})
	go reload(ctx, cfg, process, func(now settings.Entry) {
		e.Reload(ctx, now)
		shared.stopTimeout.Store(int64(now.Shutdown.StopTimeout))
	})
	err = e.Run(ctx, listeners)
	shared.stopBy = e.StopBy()
	return err
}

// sharedParts are the parts that entries and agents have in common.
type sharedParts struct {
	meter   *telemetry.Telemetry
	secured certificates
	client  *rpc.Client
	// http is for calls of the platform, and authorities is its TLS.
	http        platform.HTTPOptions
	authorities *tls.Config
	// stopTimeout is Shutdown.StopTimeout of the last reload, in nanoseconds.
	stopTimeout atomic.Int64
	// stopBy is when a planned stop has to be over; zero where none was begun.
	stopBy time.Time
	logger *slog.Logger
}

// close ends all of them.
func (p *sharedParts) close() {
	p.client.Close()
	shutdownTelemetry(p.meter, p.endBy(p.stopBy), p.logger)
}

// endBy returns planned, or the end of a stop timeout from now if it is zero.
func (p *sharedParts) endBy(planned time.Time) time.Time {
	if planned.IsZero() {
		return time.Now().Add(time.Duration(p.stopTimeout.Load()))
	}
	return planned
}

// openShared starts telemetry, reads the certificates and makes the client of
// calls to other processes.
func openShared(ctx context.Context, common settings.Common, logger *slog.Logger) (*sharedParts, error) {
	authorities, err := common.TLS.Platform.ClientConfig()
	if err != nil {
		return nil, errors.Wrap(err, "TLS")
	}
	meter, err := telemetry.Start(ctx, common)
	if err != nil {
		return nil, err
	}
	secured, err := openCertificates(common.TLS, logger)
	if err != nil {
		shutdownTelemetry(meter, time.Now().Add(common.Shutdown.StopTimeout.Std()), logger)
		return nil, err
	}
	client := rpc.NewClient()
	client.Counter = meter
	client.Dial = boundAnswers(common, secured.internal.Dial, logger, meter)
	shared := &sharedParts{meter: meter, secured: secured, client: client, logger: logger, authorities: authorities}
	shared.http = platformOptions(authorities)
	shared.stopTimeout.Store(int64(common.Shutdown.StopTimeout))
	return shared, nil
}

// platformOptions are those of the clients of the platform.
func platformOptions(authorities *tls.Config) platform.HTTPOptions {
	if authorities == nil {
		return platform.HTTPOptions{}
	}
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.TLSClientConfig = authorities
	return platform.HTTPOptions{Client: &http.Client{Transport: transport}}
}

// certificates are those of a process by the other side of a connection.
type certificates struct{ callers, operators, internal *certs.Source }

func openCertificates(files settings.TLS, logger *slog.Logger) (c certificates, err error) {
	failed := func(err error) { logger.Warn("changed certificate can't be used; the former one stays", "error", err) }
	for _, one := range []struct {
		files settings.Certificate
		into  **certs.Source
	}{{files.Callers, &c.callers}, {files.Operators, &c.operators}, {files.Internal, &c.internal}} {
		if *one.into, err = certs.Open(one.files, failed); err != nil {
			return c, errors.Wrap(err, "TLS")
		}
	}
	return c, nil
}

func bindEntry(ctx context.Context, cfg settings.Entry, secured certificates) (entry.Listeners, error) {
	var listeners entry.Listeners
	for _, one := range []struct {
		addr   string
		source *certs.Source
		into   *net.Listener
	}{
		{cfg.Listen.Control, secured.internal, &listeners.Control},
		{cfg.Listen.Callers, secured.callers, &listeners.Callers},
		{cfg.Listen.Operators, secured.operators, &listeners.Operators},
	} {
		listener, err := bind(ctx, one.addr, one.source)
		if err != nil {
			return listeners, err
		}
		*one.into = listener
	}
	return listeners, nil
}

func bind(ctx context.Context, addr string, source *certs.Source) (net.Listener, error) {
	listener, err := new(net.ListenConfig).Listen(ctx, "tcp", addr)
	if err != nil {
		return nil, errors.Wrap(err, "bind")
	}
	return source.Listener(listener), nil
}

func shutdownTelemetry(meter *telemetry.Telemetry, by time.Time, logger *slog.Logger) {
	ctx, cancel := context.WithDeadline(context.Background(), by)
	defer cancel()
	if err := meter.Shutdown(ctx); err != nil {
		logger.Warn("last metrics not pushed", "error", err)
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
