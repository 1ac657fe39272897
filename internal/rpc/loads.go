package rpc

import (
	"github.com/lagoonvalve/lagoonvalve/internal/platform"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
	"github.com/lagoonvalve/lagoonvalve/internal/verdict"
)

// StoreSlotParams requests a slot, which is the right to run one load from the
// weight store, or renews or releases the one named by Slot.
type StoreSlotParams struct {
	Upstream state.UpstreamName `json:"upstream"`
	Slot     string             `json:"slot,omitempty"`
	Release  bool               `json:"release,omitempty"`
	state.ReplicaKey
	// Benefit is the cost per second of waiting that the load ends.
	Benefit float64 `json:"benefit"`
	// Forwarded marks a request that another entry forwarded.
	Forwarded bool `json:"forwarded,omitempty"`
}

// StoreSlotResult grants a slot for TTL, or gives the time after which to
// request one again.
type StoreSlotResult struct {
	Slot       string         `json:"slot,omitempty"`
	TTL        state.Duration `json:"ttl,omitempty"`
	RetryAfter state.Duration `json:"retry_after,omitempty"`
}

// StoreShareParams requests a region's share of the limits of the weight store.
type StoreShareParams struct {
	Region state.Region `json:"r"`
	// Active counts the loads that run, Waiting those without a slot. Benefit is
	// the highest among the waiting ones.
	Active  int     `json:"a,omitempty"`
	Waiting int     `json:"w,omitempty"`
	Benefit float64 `json:"b,omitempty"`
	// Number counts the requests of the region's slot broker from 1. Answered is
	// the number of the last request whose answer it received, zero if none.
	Number   uint64 `json:"n"`
	Answered uint64 `json:"k,omitempty"`
	// Forwarded marks a request that another entry forwarded.
	Forwarded bool `json:"f,omitempty"`
}

// StoreShareResult is a region's share of the limits of the weight store: loads
// started per second and loads at once. Given is false if the region gets no share
// yet.
type StoreShareResult struct {
	Given     bool    `json:"g,omitempty"`
	PerSecond float64 `json:"p,omitempty"`
	AtOnce    int     `json:"a,omitempty"`
	// For is how long, counted from the request, the region may use more than
	// its floor, to which it falls back afterwards.
	For state.Duration `json:"t,omitempty"`
}

// WakeParams requests that an agent load a replica, or an adapter on it, for
// which its upstream has a grant.
type WakeParams struct {
	state.ReplicaKey
	Adapter state.AdapterName `json:"adapter,omitempty"`
	// Benefit is the cost per second of waiting that the load ends.
	Benefit float64 `json:"benefit"`
	// Operator marks a request by an operator, which must not be undone before
	// the usual keep-alive has passed.
	Operator bool `json:"operator,omitempty"`
	// Spare marks the load of a spare replica, which must evict nothing.
	// MustShare limits that load to an accelerator that holds other models
	// anyway.
	Spare     bool `json:"spare,omitempty"`
	MustShare bool `json:"beside,omitempty"`
}

// WakeResult is the result for WakeParams and for UnloadParams.
type WakeResult struct {
	State   state.ReplicaState `json:"state,omitempty"`
	ReadyIn state.Duration     `json:"ready_in,omitempty"`
	Refusal *verdict.Verdict   `json:"refusal,omitempty"`
	// Agent and Sequence are those of the agent's last heartbeat, or of its next
	// one if its state has changed since the last.
	Agent    state.FencingToken `json:"agent"`
	Sequence uint64             `json:"sequence"`
}

// UnloadParams requests that an agent unload a replica.
type UnloadParams struct {
	state.ReplicaKey
}

// DrainParams requests that an agent refuse new work, or accept it again.
type DrainParams struct {
	Draining bool `json:"draining"`
}

// AgentStatus is the full state of an agent, as shown by operators' queries.
type AgentStatus struct {
	Heartbeat Heartbeat             `json:"heartbeat"`
	Memory    state.Bytes           `json:"memory"`
	Reserved  state.Bytes           `json:"reserved"`
	Grants    []state.Grant         `json:"grants"`
	Waiting   [state.ClassCount]int `json:"waiting"`
	Unfenced  []state.ReplicaKey    `json:"unfenced_intent,omitempty"`
	Idle      map[string]string     `json:"idle,omitempty"`
	Counters  map[string]uint64     `json:"counters,omitempty"`
	// Cached holds the cache tier of each checkpoint that is not remote, by
	// "model/version".
	Cached map[string]platform.CacheTier `json:"cached,omitempty"`
	// LoadRates holds the bytes of weights that loads read per second, by the
	// cache tier that holds the weights.
	LoadRates map[platform.CacheTier]state.Bytes `json:"load_rates,omitempty"`
	// Concurrency is the highest number of requests that run on the upstream at
	// once.
	Concurrency int `json:"concurrency,omitempty"`
}
