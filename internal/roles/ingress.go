package roles

import (
	"cmp"
	"context"
	"log/slog"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/ingress"
	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
	"github.com/lagoonvalve/lagoonvalve/internal/settings"
	"github.com/lagoonvalve/lagoonvalve/internal/stall"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// refusalMeter counts what limits on callers refuse.
type refusalMeter interface {
	CallerRefused(listener string, limit ingress.Limit)
}

const (
	// heapShare is the fraction of the host's memory above which the runtime collects
	// garbage more often. Without it, the memory of ended requests adds to that of others.
	heapShare = 0.4
	// auxiliaryTimeout bounds, at the listeners for readiness, metrics and operators, the
	// time for a head and for a body, which are small, and for an answer of the first two.
	auxiliaryTimeout   = 10 * time.Second
	auxiliaryHeadLines = 64
	// controlDivisor is the inverse of the fraction of the descriptors that connections of
	// other processes may take, and minControlConnections the least number of them.
	controlDivisor        = 8
	minControlConnections = 256
	// messageShare is the fraction of the host's memory, as a divisor, that messages being
	// read and calls being handled may hold at the control listener, and as much for the
	// answers of other processes: 18 MiB on the smallest host.
	messageShare = 8
	// controlStall is how long another process may take nothing of an answer.
	controlStall = 10 * time.Second
)

// auxiliaryBounds bound a listener for readiness, metrics or operators.
type auxiliaryBounds struct {
	// memory bounds the memory of requests that have not ended.
	memory      state.Bytes
	connections int
	headBytes   state.Bytes
	idle        time.Duration
}

var (
	// readinessBounds are for readiness and metrics, whose requests have no body.
	readinessBounds = auxiliaryBounds{memory: 4 * state.MiB, connections: 64, headBytes: 8 * state.KiB, idle: time.Minute}
	// operatorsBounds are for the operators' server of an entry, which reads statements and
	// answers with listings.
	operatorsBounds = auxiliaryBounds{memory: 16 * state.MiB, connections: 256, headBytes: 64 * state.KiB, idle: 2 * time.Minute}
)

// limitHeap makes the runtime keep the heap within the host's memory, unless the environment
// sets a limit. Limits on callers bound the memory in use, and this one bounds the garbage.
func limitHeap(common settings.Common) {
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(int64(heapShare * float64(hostMemory(common))))
	}
}

func hostMemory(common settings.Common) state.Bytes {
	return cmp.Or(common.MemoryLimit, ingress.HostMemory())
}

func hostDescriptors(common settings.Common) int {
	return cmp.Or(common.MaxDescriptors, ingress.HostDescriptors())
}

// boundReadiness bounds a server for readiness or metrics, and returns its bounded listener.
func boundReadiness(server *http.Server, listener net.Listener, name string, logger *slog.Logger) net.Listener {
	server.WriteTimeout = auxiliaryTimeout
	return readinessBounds.apply(server, listener, name, logger)
}

// apply bounds a server and returns its bounded listener.
func (b auxiliaryBounds) apply(server *http.Server, listener net.Listener, name string, logger *slog.Logger) net.Listener {
	gate := ingress.New(ingress.Config{
		Name: name, Memory: b.memory, Connections: b.connections, HeadLines: auxiliaryHeadLines,
		BodyGrace: auxiliaryTimeout, BodyRate: state.KiB, Logger: logger,
		Limits: ingress.Limits{HeadBytes: b.headBytes, HeadTimeout: auxiliaryTimeout, IdleTimeout: b.idle},
	})
	gate.Configure(server)
	return gate.Listen(listener)
}

// boundControl bounds the number of connections of other processes, and the memory of their
// messages. Meter may be nil.
func boundControl(common settings.Common, listener net.Listener, logger *slog.Logger, meter refusalMeter) net.Listener {
	connections := max(hostDescriptors(common)/controlDivisor, minControlConnections)
	return newMessageGate("control", connections, common, logger, meter).ListenRaw(stall.Listener(listener, controlStall))
}

// boundAnswers bounds the memory of the answers of other processes to calls over the
// connections that dial opens. Meter may be nil.
func boundAnswers(common settings.Common, dial rpc.DialFunc, logger *slog.Logger, meter refusalMeter) rpc.DialFunc {
	gate := newMessageGate("answers", hostDescriptors(common), common, logger, meter)
	return func(ctx context.Context, dialer *net.Dialer, network, addr string) (net.Conn, error) {
		conn, err := dial(ctx, dialer, network, addr)
		if err != nil {
			return nil, err
		}
		return gate.Raw(conn)
	}
}

func newMessageGate(name string, connections int, common settings.Common, logger *slog.Logger, meter refusalMeter) *ingress.Gate {
	cfg := ingress.Config{
		Name: name, Memory: hostMemory(common) / messageShare, Connections: connections, Logger: logger,
	}
	if meter != nil {
		cfg.Count = func(limit ingress.Limit) { meter.CallerRefused(name, limit) }
	}
	return ingress.New(cfg)
}

// newIngress returns the bounds of a process's listener for callers. Meter may be nil.
func newIngress(common settings.Common, limits ingress.Limits, logger *slog.Logger, meter refusalMeter) *ingress.Gate {
	const name = "callers"
	memory := state.Bytes(common.Ingress.MemoryShare * float64(hostMemory(common)))
	cfg := ingress.Config{
		Name:        name,
		Memory:      memory,
		Connections: ingress.MaxConnections(hostDescriptors(common), memory),
		HeadLines:   common.Ingress.HeadLines,
		BodyGrace:   common.Ingress.BodyGrace.Std(),
		BodyRate:    common.Ingress.MinBodyRate,
		Limits:      limits,
		Logger:      logger,
	}
	if meter != nil {
		cfg.Count = func(limit ingress.Limit) { meter.CallerRefused(name, limit) }
	}
	logger.Info("limits on callers", "memory", cfg.Memory.String(), "connections", cfg.Connections, "head_lines", cfg.HeadLines)
	return ingress.New(cfg)
}
