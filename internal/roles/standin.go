package roles

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/lagoonvalve/lagoonvalve/internal/platform"
	"github.com/lagoonvalve/lagoonvalve/internal/standin"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// standinHeaderTimeout bounds the reading of a request's head.
const standinHeaderTimeout = 5 * time.Second

// StandinOptions configures a stand-in.
type StandinOptions struct {
	// Listen is the address to serve, "ip:port".
	Listen string
	// Name names an engine or a service.
	Name string
	// Memory and Fencing are an engine's.
	Memory  state.Bytes
	Fencing state.FencingKind
	// ResumeFor is how long an engine keeps streams whose readers have left;
	// zero means that it keeps none.
	ResumeFor time.Duration
	// Store is the URL of the store that an engine loads from; empty means a
	// store of its own.
	Store string
	// Lag is how late the host list is.
	Lag time.Duration
	// Hosts are listed as live at first, in data centre DataCentre.
	Hosts      []state.HostName
	DataCentre state.DataCentre
	// AppendsPerSecond limits the log; zero means no limit.
	AppendsPerSecond float64
	// RetainRecords bounds a stream of the log; zero means no bound.
	RetainRecords int
	// KeyField is the field of a service's JSON body that names a call.
	KeyField string
}

// StandinKinds lists the stand-ins.
var StandinKinds = []string{"log", "store", "hosts", "engine", "service"}

// RunStandin serves a stand-in of the platform until ctx ends.
func RunStandin(ctx context.Context, kind string, opts StandinOptions, logger *slog.Logger) error {
	handler, err := standinHandler(kind, opts)
	if err != nil {
		return err
	}
	listener, err := new(net.ListenConfig).Listen(ctx, "tcp", opts.Listen)
	if err != nil {
		return errors.Wrap(err, "bind")
	}
	logger.Info("stand-in started", "kind", kind, "addr", listener.Addr().String())
	return serveUntil(ctx, listener, handler)
}

func serveUntil(ctx context.Context, listener net.Listener, handler http.Handler) error {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: standinHeaderTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve")
	}
	return nil
}

func standinHandler(kind string, opts StandinOptions) (http.Handler, error) {
	switch kind {
	case "log":
		return standin.NewLog(standin.LogConfig{
			AppendsPerSecond: opts.AppendsPerSecond, RetainRecords: opts.RetainRecords,
		}), nil
	case "store":
		return standin.NewStore(standin.StoreConfig{}), nil
	case "hosts":
		var hosts []platform.HostInfo
		for _, name := range opts.Hosts {
			hosts = append(hosts, platform.HostInfo{Name: name, DataCentre: opts.DataCentre, State: platform.HostLive})
		}
		return standin.NewHosts(opts.Lag, hosts...), nil
	case "engine":
		var store standin.Fetcher = standin.NewStore(standin.StoreConfig{})
		if opts.Store != "" {
			store = &standin.HTTPFetcher{Base: opts.Store}
		}
		return standin.NewEngine(standin.EngineConfig{
			Name: opts.Name, Memory: opts.Memory, Fencing: opts.Fencing, ResumeFor: opts.ResumeFor,
		}, store), nil
	case "service":
		return standin.NewService(opts.Name, opts.KeyField), nil
	default:
		return nil, errors.Errorf("unknown stand-in %q; want one of log, store, hosts, engine, service", kind)
	}
}
