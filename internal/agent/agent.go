// Package agent is the process beside one upstream. All traffic and all orders
// to the upstream pass through it; it owns the upstream's memory account and
// the queue in front of it.
package agent

import (
	"context"
	"crypto/tls"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/decide/account"
	"github.com/lagoonvalve/lagoonvalve/internal/decide/admission"
	"github.com/lagoonvalve/lagoonvalve/internal/ingress"
	"github.com/lagoonvalve/lagoonvalve/internal/platform"
	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
	"github.com/lagoonvalve/lagoonvalve/internal/telemetry"
	"github.com/lagoonvalve/lagoonvalve/internal/verdict"
)

// Config is the configuration of an agent.
type Config struct {
	// Upstream is the agent's upstream, with both listen addresses.
	Upstream state.Upstream
	// Incarnation is unique to this run; default a random UUID.
	Incarnation string
	// BaseURL is where the engine or service answers HTTP requests.
	BaseURL string
	// Concurrency bounds the requests running on the upstream; default 16.
	Concurrency int
	// MaxLong bounds the long requests among them; default half of
	// Concurrency, at least 1.
	MaxLong int
	// QueueBytes is the bound on the queue's bodies; default 64 MiB.
	QueueBytes state.Bytes
	// MaxBody bounds a request's body; default 8 MiB.
	MaxBody state.Bytes
	// DefaultDeadline is for requests that name none; default 30 s.
	DefaultDeadline time.Duration
	// KeepAlive is for models that set none; default 5 min.
	KeepAlive time.Duration
	// WakeFor is how long a wake's wish lasts without another; default 30 s.
	WakeFor time.Duration
	// Shutdown bounds the time for running work when leaving; default 20 s.
	Shutdown time.Duration
	// Settle bounds the time for the last orders and records after that;
	// default 10 s.
	Settle time.Duration
	// OrderTimeout bounds an order to the engine; default 5 min.
	OrderTimeout time.Duration
	// MaxLoads bounds the loads in flight; default 2.
	MaxLoads int
	// MaxClaims bounds the claims that the agent remembers; default 100,000.
	// At the bound it refuses further claimed requests.
	MaxClaims int
}

// Queue holds the requests that wait for the upstream. The agent calls it
// from one goroutine at a time.
type Queue interface {
	// Offer queues an item whose predicted wait is wait. It returns the
	// items shed for it, or why the item is refused.
	Offer(now time.Time, it admission.Item, wait time.Duration) (shed []admission.Item, refusal *verdict.Verdict)
	// Next removes and returns the next item that fits.
	Next(now time.Time, fits func(admission.Item) bool) (admission.Item, bool)
	Remove(id uint64) bool
	// Expire removes and returns the items whose deadline has passed.
	Expire(now time.Time) []admission.Item
	Waiting() [state.ClassCount]int
	// Work is the predicted service time of all items.
	Work() time.Duration
	Len() int
}

// Appender appends records and resolves lost answers where it can.
type Appender interface {
	// Append stores records as one append and returns their offsets. The
	// error wraps platform.ErrUnavailable if nothing was stored, and
	// platform.ErrUnknownOutcome if that is not known.
	Append(ctx context.Context, stream platform.Stream, records ...state.Record) ([]state.Offset, error)
}

// Counters counts events. Names are metric names that end in "_total", without
// the prefix "lagoonvalve_".
type Counters interface {
	Add(name string, delta uint64)
}

// Meter measures what happens at the upstream. *telemetry.Instruments
// implements it.
type Meter interface {
	QueueWait(class state.Class, d time.Duration)
	Waiting(class state.Class, requests int)
	ModelLoad(model state.ModelName, result telemetry.LoadResult)
	AdapterLoad(adapter state.AdapterName, result telemetry.LoadResult)
	Idle(model state.ModelName, d time.Duration)
}

// Deps holds what an agent works with.
type Deps struct {
	// Engine is the control side of the engine; nil for plain services.
	Engine platform.Engine
	// Parts answers with the region's decisions and the configuration.
	Parts    Parts
	Appender Appender
	// Queue is the queue before the upstream.
	Queue  Queue
	Caller rpc.Caller
	// Watcher returns the control address of the entry that watches the
	// upstream; ok is false if none is known.
	Watcher func() (addr string, ok bool)
	// SlotOwner returns the control address of the entry that hands out
	// store slots; without one, loads need no slot.
	SlotOwner func() (addr string, ok bool)
	// KeepAlive says how long an idle replica of a model that sets no
	// keep-alive stays loaded, given the time to load it again; default
	// Config.KeepAlive. It is called on each tick.
	KeepAlive func(key state.ReplicaKey, load time.Duration) time.Duration
	// Gap hears of each time that a replica was without requests; default
	// none. Gap, KeepAlive and Burst are called on one goroutine.
	Gap func(key state.ReplicaKey, gap time.Duration)
	// Burst decides on evictions before the end of keep-alive; default none.
	Burst account.EarlyEvictionRule
	// Transport carries requests to the upstream; default one made for it.
	Transport http.RoundTripper
	// TLS is that of the default Transport; nil trusts the host's authorities.
	TLS *tls.Config
	// Listen binds a listen address; default TCP.
	Listen func(ctx context.Context, addr string) (net.Listener, error)
	Logger *slog.Logger
	// Ingress bounds what callers of the agent hold; nil sets no bounds.
	Ingress  *ingress.Gate
	Counters Counters
	// Meter measures; default nothing.
	Meter Meter
	// Bytes counts the bytes between processes; nil counts none.
	Bytes rpc.ByteCounter
	// Decided hears of loads, unloads and evictions for the audit trail;
	// default none. It must not wait.
	Decided func(decision state.Audit)
}
