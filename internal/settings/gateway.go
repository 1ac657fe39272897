package settings

import (
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// Gateway holds the settings of the role gateway.
type Gateway struct {
	Common
	// ReadyListen is the HTTP address where the load balancer asks whether
	// the process takes new connections. Required.
	ReadyListen string `toml:"ready_listen" validate:"required,listen_address"`
	// NoticeListen is the UDP address where other gateways tell of what they
	// send to upstreams. Default: none, and nothing is told.
	NoticeListen string `toml:"notice_listen" validate:"omitempty,listen_address"`
	// Store is the address of the platform's store, "host:port". Required.
	Store string `toml:"store" validate:"required,dial_address"`
	// StoreTimeout bounds a call to the store beyond the time that the call
	// itself asks the store to wait. Default 1s.
	StoreTimeout state.Duration `toml:"store_timeout" validate:"min_duration=10ms,max_duration=1m"`
	// EngineTimeout bounds a call to the control side of an engine.
	// Default 1s.
	EngineTimeout state.Duration `toml:"engine_timeout" validate:"min_duration=10ms,max_duration=1m"`
	// DataCentres lists the data centres with their regions.
	DataCentres []DataCentre `toml:"data_centres" validate:"max=1024,dive"`
	// Lease holds the times of the controller's lease; all gateways must have
	// the same.
	Lease Lease `toml:"lease"`
	// Retries bounds what all gateways together send more than once.
	Retries Retries `toml:"retries"`
	// RefuseAfter is how long a planned stop still takes new requests.
	// Default 2500ms.
	RefuseAfter state.Duration `toml:"refuse_after" validate:"min_duration=0s,max_duration=1h"`
	// StoreLoadsAtOnce is how many loads from the weight store run at full
	// speed. Default 4.
	StoreLoadsAtOnce int `toml:"store_loads_at_once" validate:"min=1,max=10000"`
}

// DataCentre says in which region a data centre is.
type DataCentre struct {
	// Name of the data centre. Required.
	Name state.DataCentre `toml:"name" validate:"required,max=128"`
	// Region of the data centre. Required.
	Region state.Region `toml:"region" validate:"required,max=128"`
}

// Lease holds the times of the controller's lease.
type Lease struct {
	// TTL is how long the lease outlives its last renewal. Default 5s.
	TTL state.Duration `toml:"ttl" validate:"min_duration=500ms,max_duration=5m"`
	// Renew is the time between renewals. Default 800ms.
	Renew state.Duration `toml:"renew" validate:"min_duration=100ms,max_duration=1m"`
	// Settle is how long a host that has held the lease waits before it gives
	// orders again after another host. It must not be shorter than the time
	// within which engines take holders in turns for a conflict, nor longer
	// than TTL. Default 3300ms.
	Settle state.Duration `toml:"settle" validate:"min_duration=0s,max_duration=5m"`
}

// Retries bounds further attempts.
type Retries struct {
	// Share is the number of further attempts per request. Default 0.2.
	Share float64 `toml:"share" validate:"min=0,max=1"`
	// Slack is the number on top, for all gateways together, in any window of
	// some seconds. Default 16.
	Slack float64 `toml:"slack" validate:"min=0,max=100000"`
}

// DefaultGateway returns the settings of a gateway whose file is empty.
func DefaultGateway() Gateway {
	g := Gateway{
		Common:           defaultCommon(),
		StoreTimeout:     state.Duration(time.Second),
		EngineTimeout:    state.Duration(time.Second),
		RefuseAfter:      state.Duration(2500 * time.Millisecond),
		StoreLoadsAtOnce: 4,
		Lease: Lease{
			TTL:    state.Duration(5 * time.Second),
			Renew:  state.Duration(800 * time.Millisecond),
			Settle: state.Duration(3300 * time.Millisecond),
		},
		Retries: Retries{Share: 0.2, Slack: 16},
	}
	g.Telemetry.LogFormat = "json"
	return g
}
