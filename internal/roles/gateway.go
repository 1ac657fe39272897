package roles

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/go-faster/errors"

	"github.com/lagoonvalve/lagoonvalve/internal/boottime"
	"github.com/lagoonvalve/lagoonvalve/internal/controller"
	"github.com/lagoonvalve/lagoonvalve/internal/ctxtime"
	"github.com/lagoonvalve/lagoonvalve/internal/decide/access"
	"github.com/lagoonvalve/lagoonvalve/internal/decide/election"
	"github.com/lagoonvalve/lagoonvalve/internal/decide/quota"
	"github.com/lagoonvalve/lagoonvalve/internal/fleet"
	"github.com/lagoonvalve/lagoonvalve/internal/gateway"
	"github.com/lagoonvalve/lagoonvalve/internal/notices"
	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
	"github.com/lagoonvalve/lagoonvalve/internal/settings"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
	"github.com/lagoonvalve/lagoonvalve/internal/telemetry"
)

// GatewayPlatform is what a platform gives to a gateway.
type GatewayPlatform struct {
	Manifests fleet.Feed[fleet.Manifest]
	Upstreams fleet.Feed[fleet.Upstream]
	Lease     fleet.LeaseStore
	// Quarantines keeps quarantines beyond the end of all processes.
	Quarantines fleet.QuarantineStore
	Engines     fleet.EngineControl
	Dialect     fleet.Dialect
	// ReadyPath is where the load balancer asks for readiness.
	ReadyPath string
}

// leaseMargin is how much earlier than the lease's end its holder stops. It
// covers the time from the last check to an order's arrival.
const leaseMargin = 500 * time.Millisecond

// StartGateway runs a gateway until ctx ends.
func StartGateway(ctx context.Context, cfg settings.Gateway, on GatewayPlatform, process Process[settings.Gateway]) error {
	listeners, err := bindGateway(ctx, cfg)
	if err != nil {
		return err
	}
	limitHeap(cfg.Common)
	exchange, err := bindNotices(ctx, cfg, process.Logger)
	if err != nil {
		return err
	}
	go reload(ctx, cfg, process, func(settings.Gateway) {})
	meter, err := serveMetrics(ctx, cfg, process.Logger)
	if err != nil {
		return err
	}
	// Without an address for metrics, meter and counter are nil.
	counter, _ := meter.(refusalMeter)
	listeners.Control = boundControl(cfg.Common, listeners.Control, process.Logger, counter)
	client := rpc.NewClient()
	defer client.Close()
	client.Dial = boundAnswers(cfg.Common, client.Dial, process.Logger, counter)
	name := fmt.Sprintf("%s/%d", cfg.Name, time.Now().UnixNano())
	process.Logger.Info("gateway starts", "holder", name, "data_centre", cfg.DataCentre, "store", cfg.Store, "pid", os.Getpid())
	quotas := quota.Config{
		Window: cfg.Quotas.Window.Std(), Overshoot: cfg.Quotas.Overshoot, Slack: cfg.Quotas.Slack, Lease: cfg.Quotas.ShareLease.Std(),
		LargestRequest: cfg.Quotas.LargestRequest,
	}
	leader := controller.New(controller.Options{
		HolderName:  name,
		Host:        string(cfg.Host),
		Control:     cfg.Listen.Control,
		Lease:       on.Lease,
		Engines:     on.Engines,
		Quarantines: on.Quarantines,
		Logger:      process.Logger,
		Now:         boottime.Now,
		Election: election.Settings{
			TTL: cfg.Lease.TTL.Std(), Renew: cfg.Lease.Renew.Std(), Margin: leaseMargin, Settle: cfg.Lease.Settle.Std(), FirstEpoch: fleet.LogEpoch(cfg.Lease.FirstEpoch),
			ClaimDelay: election.ClaimDelay(election.Capacity{Processor: cfg.Capacity.ProcessorShare, Link: cfg.Capacity.LinkMbps}),
		},
		Announce:         announce(exchange),
		StoreLoadsAtOnce: cfg.StoreLoadsAtOnce,
		Quotas:           quotas,
	})
	g := gateway.New(gateway.Options{
		Name:          name,
		Control:       cfg.Listen.Control,
		DataCentre:    cfg.DataCentre,
		RegionOf:      regions(cfg.DataCentres),
		Manifests:     on.Manifests,
		Upstreams:     on.Upstreams,
		Quarantines:   on.Quarantines,
		Dialect:       on.Dialect,
		Controller:    leader,
		Caller:        client,
		Logger:        process.Logger,
		Notices:       exchange,
		NoticeAddress: cfg.NoticeListen,
		Meter:         meter,
		Access:        access.Policy{RevocationBound: cfg.Teams.RevocationBound.Std()},
		Quotas:        quotas,
		Spillover:     spillover(cfg.Spillover),
		EngineMemory:  cfg.Admission.EngineMemory,
		MeasuredSpeed: cfg.Selection.MeasuredSpeed,
		StallTimeout:  cfg.StallTimeout.Std(),
		RetryShare:    cfg.Retries.Share,
		RetrySlack:    cfg.Retries.Slack,
		Grace:         cfg.Shutdown.DrainTimeout.Std(),
		RefuseAfter:   cfg.RefuseAfter.Std(),
		Ingress:       newIngress(cfg.Common, gateway.CallerLimits(), process.Logger, counter),
		BoundReady: func(server *http.Server, l net.Listener) net.Listener {
			return boundReadiness(server, l, "ready", process.Logger)
		},
	})
	err = g.Run(ctx, listeners, readiness(on.ReadyPath, g.Ready))
	process.Logger.Info("gateway ends", "error", err)
	return err
}

// spillover returns the settings of spillover between data centres; nil if it is disabled.
func spillover(cfg settings.Spillover) *gateway.Spillover {
	if !cfg.Enabled {
		return nil
	}
	return &gateway.Spillover{DataCentrePrice: cfg.DataCentrePrice.Std(), RegionPrice: cfg.RegionPrice.Std()}
}

// namesRotation is the time between changes of the names that metrics show.
const namesRotation = time.Minute

// serveMetrics serves counters and histograms on the operators' address. It
// returns nil if the settings name none.
func serveMetrics(ctx context.Context, cfg settings.Gateway, logger *slog.Logger) (gateway.Meter, error) {
	if cfg.Listen.Operators == "" {
		return nil, nil
	}
	meter, err := telemetry.Start(ctx, cfg.Common)
	if err != nil {
		return nil, err
	}
	listener, err := bind(ctx, cfg.Listen.Operators, nil)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", meter.Handler())
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	listener = boundReadiness(server, listener, "operators", logger)
	context.AfterFunc(ctx, func() { _ = server.Close() })
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			logger.Error("metrics not served", "error", err)
		}
	}()
	go func() {
		for ctxtime.Sleep(ctx, namesRotation) {
			meter.RotateNames()
		}
	}()
	return meter, nil
}

func regions(list []settings.DataCentre) map[state.DataCentre]state.Region {
	regionOf := make(map[state.DataCentre]state.Region, len(list))
	for _, dc := range list {
		regionOf[dc.Name] = dc.Region
	}
	return regionOf
}

// readiness answers the load balancer.
func readiness(path string, ready func() bool) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+path, func(w http.ResponseWriter, _ *http.Request) {
		if !ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}

// announce returns how the controller tells other gateways of itself.
func announce(exchange *notices.Exchange) func(controller.Leader, fleet.LogPosition) {
	if exchange == nil {
		return nil
	}
	return func(leader controller.Leader, at fleet.LogPosition) {
		exchange.Announce(notices.ControllerNotice{Holder: leader.Holder, Control: leader.Control, LeaseOffset: at.Offset, LeaseEpoch: uint64(at.Epoch)})
	}
}

// bindNotices binds the address for notices; it returns nil if there is none.
func bindNotices(ctx context.Context, cfg settings.Gateway, logger *slog.Logger) (*notices.Exchange, error) {
	if cfg.NoticeListen == "" {
		return nil, nil
	}
	var config net.ListenConfig
	conn, err := config.ListenPacket(ctx, "udp", cfg.NoticeListen)
	if err != nil {
		return nil, errors.Wrap(err, "listen for notices")
	}
	return notices.New(conn, logger), nil
}

func bindGateway(ctx context.Context, cfg settings.Gateway) (listeners gateway.Listeners, err error) {
	for _, one := range []struct {
		addr string
		into *net.Listener
	}{{cfg.Listen.Callers, &listeners.Callers}, {cfg.ReadyListen, &listeners.Ready}, {cfg.Listen.Control, &listeners.Control}} {
		if *one.into, err = bind(ctx, one.addr, nil); err != nil {
			return listeners, err
		}
	}
	return listeners, nil
}
