// Package scaling decides which replicas to wake, how long to keep them, what
// to evict and who may load from the weight store. Times come in as arguments.
package scaling

import (
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// HomeConfig holds the settings of a home's decisions. Zero values mean the
// defaults.
type HomeConfig struct {
	// MaxWakes bounds the replicas woken in one decision; default 8.
	MaxWakes int
	// Headroom is the share of a replica's slots that steady traffic should
	// fill at most; default 0.8.
	Headroom float64
	// ColdStartWeight is the cost of a request waiting one second for a
	// load, relative to IdleWeight; default 10 (setting cold_start_weight).
	ColdStartWeight float64
	// IdleWeight is the cost of one idle accelerator second; default 1
	// (setting idle_weight).
	IdleWeight float64
}

// Demand is what waits for a model at one entry.
type Demand struct {
	Waiting [state.ClassCount]int
	// Work is the predicted service time of the waiting requests.
	Work time.Duration
	// Rate is the arrivals per second of the last seconds.
	Rate     float64
	Adapters []state.AdapterName
}

// Replica is a loaded or loading replica as the home sees it.
type Replica struct {
	Upstream state.UpstreamName
	State    state.ReplicaState
	// ReadyIn is the time until a loading replica is ready.
	ReadyIn time.Duration
	// Slots is how many requests the replica runs side by side.
	Slots int
	// Queue is the reported number of waiting and running requests.
	Queue    int
	Adapters []state.AdapterName
	// Draining says that the upstream takes no new work.
	Draining bool
}

// Grant is a standing permit as the home sees it.
type Grant struct {
	Upstream   state.UpstreamName
	DataCentre state.DataCentre
	// LoadTime is the estimated time to load there, including the wait for
	// the store and for evictions.
	LoadTime time.Duration
	// Usable is false if the agent does not answer, drains or cannot make
	// room.
	Usable bool
	Slots  int
}

// HomeInput is the snapshot of one model that a decision is made from.
type HomeInput struct {
	Demands  []Demand
	Replicas []Replica
	// Grants lists the standing grants, including those in use.
	Grants []Grant
	// Service is the mean service time of a request.
	Service     time.Duration
	MinReplicas int
}

// Wake asks for a load under a grant.
type Wake struct {
	Upstream state.UpstreamName
	// Benefit is what the waiting requests lose per second without the load;
	// the store broker orders loads by it.
	Benefit float64
	// ReadyIn is the estimated load time.
	ReadyIn time.Duration
}

// AdapterLoad asks for an adapter on a ready replica.
type AdapterLoad struct {
	Upstream state.UpstreamName
	Adapter  state.AdapterName
}

// HomeDecision is what a home orders for one model.
type HomeDecision struct {
	Wakes    []Wake
	Adapters []AdapterLoad
	// ReadyIn is when the first replica is expected to be ready; zero if one
	// is.
	ReadyIn time.Duration
	// NoReplica says that work waits, nothing is ready or loading and no
	// grant is usable.
	NoReplica bool
}

// Home decides for models. It has no state of its own.
type Home struct{ Config HomeConfig }

// Decide returns the wakes and adapter loads for one model.
func (h Home) Decide(in HomeInput) HomeDecision { return HomeDecision{} }
