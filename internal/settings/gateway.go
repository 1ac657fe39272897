package settings

import (
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// Gateway holds the settings of the role gateway.
type Gateway struct {
	Common
	// ReadyListen is the HTTP address of the readiness check, which reports to
	// the load balancer whether the process accepts new connections. Required.
	ReadyListen string `toml:"ready_listen" validate:"required,listen_address"`
	// NoticeListen is the UDP address at which this gateway receives notices
	// of other gateways, such as those of requests that they send to
	// upstreams. Default: none, no notices are exchanged.
	NoticeListen string `toml:"notice_listen" validate:"omitempty,listen_address"`
	// Store is the address of the platform's store, "host:port". Required.
	Store string `toml:"store" validate:"required,dial_address"`
	// StoreTimeout limits a call to the store, in addition to the wait that the
	// call itself requests from the store. Default 1s.
	StoreTimeout state.Duration `toml:"store_timeout" validate:"min_duration=10ms,max_duration=1m"`
	// EngineTimeout limits a call to the control API of an engine. Default 1s.
	EngineTimeout state.Duration `toml:"engine_timeout" validate:"min_duration=10ms,max_duration=1m"`
	// DataCentres lists the data centres with their regions.
	DataCentres []DataCentre `toml:"data_centres" validate:"max=1024,dive"`
	// Lease holds the timing of the controller's lease; all gateways must use
	// the same.
	Lease Lease `toml:"lease"`
	// Capacity is what the host gives this process. Hosts of larger capacity become the
	// controller first.
	Capacity Capacity `toml:"capacity"`
	// Retries limits the further attempts that all gateways together make.
	Retries Retries `toml:"retries"`
	// Teams holds how the keys of teams are checked.
	Teams Teams `toml:"teams"`
	// Quotas holds how much of their quotas teams may get; all gateways must use the
	// same.
	Quotas Quotas `toml:"quotas"`
	// Spillover decides when requests leave the data centre.
	Spillover Spillover `toml:"spillover"`
	// Admission holds limits on what is sent to upstreams.
	Admission Admission `toml:"admission"`
	// Selection holds how an upstream is chosen.
	Selection Selection `toml:"selection"`
	// RefuseAfter is the maximum time for which the gateway still accepts all
	// new requests after a planned stop has begun. Default 2500ms.
	RefuseAfter state.Duration `toml:"refuse_after" validate:"min_duration=0s,max_duration=1h"`
	// StallTimeout is the maximum time for which a write to a caller may make no
	// progress: the caller has stopped reading, and its request ends. Default 30s.
	StallTimeout state.Duration `toml:"stall_timeout" validate:"min_duration=1s,max_duration=1h"`
	// StoreLoadsAtOnce is the maximum number of concurrent loads from the
	// weight store: as many as the store serves at full speed. Default 4.
	StoreLoadsAtOnce int `toml:"store_loads_at_once" validate:"min=1,max=10000"`
}

// DataCentre assigns a data centre to a region.
type DataCentre struct {
	// Name of the data centre. Required.
	Name state.DataCentre `toml:"name" validate:"required,max=128"`
	// Region of the data centre. Required.
	Region state.Region `toml:"region" validate:"required,max=128"`
}

// Lease holds the timing of the controller's lease.
type Lease struct {
	// TTL is how long the lease is valid after its last renewal. Default 5s.
	TTL state.Duration `toml:"ttl" validate:"min_duration=500ms,max_duration=5m"`
	// Renew is the time between renewals. Default 800ms.
	Renew state.Duration `toml:"renew" validate:"min_duration=100ms,max_duration=1m"`
	// Settle is how long a host that held the lease before and takes it back
	// from another host waits until it gives orders again. It must not exceed
	// TTL, nor be shorter than the time within which engines regard orders
	// from alternating holders as a conflict. Default 3300ms.
	Settle state.Duration `toml:"settle" validate:"min_duration=0s,max_duration=5m"`
	// FirstEpoch is the epoch that the platform's log names before it has ever come
	// back as an older copy of itself. Up to it, an empty lease log is taken at once,
	// and later only after TTL. Default 0.
	FirstEpoch uint64 `toml:"first_epoch" validate:"max=2097151"`
}

// Capacity is what a host gives the process.
type Capacity struct {
	// ProcessorShare is the share of a core. Default: unknown, which counts as enough.
	ProcessorShare float64 `toml:"processor_share" validate:"min=0,max=1024"`
	// LinkMbps is the rate of the host's link in megabits per second. Default: unknown,
	// which counts as enough.
	LinkMbps float64 `toml:"link_mbps" validate:"min=0,max=10000000"`
}

// Retries limits the attempts of requests after the first.
type Retries struct {
	// Share is the maximum number of further attempts per request, on average.
	// Default 0.2.
	Share float64 `toml:"share" validate:"min=0,max=1"`
	// Slack is the number of further attempts allowed on top of Share, for all
	// gateways together, in any window of a few seconds. Default 16.
	Slack float64 `toml:"slack" validate:"min=0,max=100000"`
}

// Teams holds how the keys of teams are checked.
type Teams struct {
	// RevocationBound is the time after the removal of a key from which no new request
	// with it may run. A gateway that can't tell whether a key was removed within this
	// time refuses all requests that need one. Default: none, such a gateway continues
	// to use the manifest that it has.
	RevocationBound state.Duration `toml:"revocation_bound" validate:"omitempty,min_duration=1s,max_duration=1h"`
}

// Quotas holds how much of their quotas teams may get: in any window, their requests cost
// at most (rate x window + burst) x (1 + overshoot) + slack, summed over all gateways.
type Quotas struct {
	// Window is the time over which requests are summed up. Default 8s.
	Window state.Duration `toml:"window" validate:"min_duration=2s,max_duration=10m"`
	// Overshoot is the share of the quota that teams may get beyond it. What is allowed
	// beyond the quota makes wrong refusals rare. Default 0.
	Overshoot float64 `toml:"overshoot" validate:"min=0,max=10"`
	// Slack is the number of tokens that a team may get beyond its quota. It is not
	// added to quotas that are counted in requests. Default 0.
	Slack float64 `toml:"slack" validate:"min=0,max=1000000000000"`
	// LargestRequest is up to how many tokens a request may cost that exceeds the capacity
	// of its team's bucket, which is about the burst. After each takeover, such teams get
	// nothing for the time in which they gain the difference. Default 0: twice the burst.
	LargestRequest float64 `toml:"largest_request" validate:"min=0,max=1000000000000"`
	// ShareLease is how long tokens that were granted to a gateway are valid, from the
	// start of the call that requested them. Default 500ms.
	ShareLease state.Duration `toml:"share_lease" validate:"min_duration=100ms,max_duration=1s"`
}

// Spillover decides when requests leave the data centre of their gateway.
type Spillover struct {
	// Enabled makes the gateways of a data centre send the part of their requests
	// elsewhere that its own upstreams can't serve in time, as far as there is room, refuse
	// requests that certainly none serves in time, and ask the controller for replicas where
	// their callers are. All gateways should use the same. Default false: only the load of upstreams as this
	// gateway knows it decides.
	Enabled bool `toml:"enabled"`
	// DataCentrePrice and RegionPrice are the latency, per kilobyte of a request and its
	// response, that it is worth to keep these bytes from being sent between data centres
	// of a region and between regions: at 500us, a request of 20 KB stays unless it would
	// wait for 10ms longer. Default 0s, only latency counts.
	DataCentrePrice state.Duration `toml:"data_centre_price" validate:"min_duration=0s,max_duration=1m"`
	RegionPrice     state.Duration `toml:"region_price" validate:"min_duration=0s,max_duration=1m"`
}

// Admission holds limits on what is sent to upstreams.
type Admission struct {
	// EngineMemory makes the tokens that the requests of all gateways hold at an
	// engine a limit: a request beyond it goes elsewhere, waits or is refused. All
	// gateways must use the same. Default false.
	EngineMemory bool `toml:"engine_memory"`
}

// Selection holds how an upstream is chosen.
type Selection struct {
	// MeasuredSpeed makes the choice use measured prefill times of upstreams and models
	// instead of one default time for all. Default false.
	MeasuredSpeed bool `toml:"measured_speed"`
}

// DefaultGateway returns the settings that a gateway uses for keys missing from
// its file.
func DefaultGateway() Gateway {
	g := Gateway{
		Common:           defaultCommon(),
		StoreTimeout:     state.Duration(time.Second),
		EngineTimeout:    state.Duration(time.Second),
		RefuseAfter:      state.Duration(2500 * time.Millisecond),
		StallTimeout:     state.Duration(30 * time.Second),
		StoreLoadsAtOnce: 4,
		Lease: Lease{
			TTL:    state.Duration(5 * time.Second),
			Renew:  state.Duration(800 * time.Millisecond),
			Settle: state.Duration(3300 * time.Millisecond),
		},
		Retries: Retries{Share: 0.2, Slack: 16},
		Quotas:  Quotas{Window: state.Duration(8 * time.Second), ShareLease: state.Duration(500 * time.Millisecond)},
	}
	g.Telemetry.LogFormat = "json"
	return g
}
