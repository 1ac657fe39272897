package rpc

import (
	"github.com/lagoonvalve/lagoonvalve/internal/platform"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
	"github.com/lagoonvalve/lagoonvalve/internal/verdict"
)

// StoreSlotParams asks for the right to load from the weight store, renews it
// or gives it back.
type StoreSlotParams struct {
	Upstream state.UpstreamName `json:"upstream"`
	Slot     string             `json:"slot,omitempty"`
	Release  bool               `json:"release,omitempty"`
	state.ReplicaKey
	// Benefit is what the waiters lose per second without the load.
	Benefit float64 `json:"benefit"`
	// Forwarded marks a question that another entry passed on.
	Forwarded bool `json:"forwarded,omitempty"`
}

// StoreSlotResult grants a slot or says when to ask again.
type StoreSlotResult struct {
	Slot       string         `json:"slot,omitempty"`
	TTL        state.Duration `json:"ttl,omitempty"`
	RetryAfter state.Duration `json:"retry_after,omitempty"`
}

// StoreShareParams asks for a region's share of the limits of the weight store.
type StoreShareParams struct {
	Region state.Region `json:"r"`
	// Active loads run, Waiting ones have no slot yet; Benefit is the highest
	// of those that wait.
	Active  int     `json:"a,omitempty"`
	Waiting int     `json:"w,omitempty"`
	Benefit float64 `json:"b,omitempty"`
	// Number counts the questions of a keeper of slots; Answered is the last
	// one whose answer it has.
	Number   uint64 `json:"n"`
	Answered uint64 `json:"k,omitempty"`
	// Forwarded marks a question that another entry passed on.
	Forwarded bool `json:"f,omitempty"`
}

// StoreShareResult is a share. Given is false if there is none yet.
type StoreShareResult struct {
	Given     bool    `json:"g,omitempty"`
	PerSecond float64 `json:"p,omitempty"`
	AtOnce    int     `json:"a,omitempty"`
	// For is how long the region may use more than its floor.
	For state.Duration `json:"t,omitempty"`
}

// WakeParams asks an agent to load a replica or an adapter under its grant.
type WakeParams struct {
	state.ReplicaKey
	Adapter state.AdapterName `json:"adapter,omitempty"`
	// Benefit is what the waiters lose per second without the load.
	Benefit float64 `json:"benefit"`
	// Operator marks an order by an operator, which keep-alive must not
	// undo for its usual time.
	Operator bool `json:"operator,omitempty"`
	// Spare marks a load that must evict nothing, and Beside one that is only
	// wanted on an accelerator that holds other models anyway.
	Spare     bool `json:"spare,omitempty"`
	MustShare bool `json:"beside,omitempty"`
}

// WakeResult answers WakeParams and UnloadParams.
type WakeResult struct {
	State   state.ReplicaState `json:"state,omitempty"`
	ReadyIn state.Duration     `json:"ready_in,omitempty"`
	Refusal *verdict.Verdict   `json:"refusal,omitempty"`
	// Agent and Sequence are those of the agent's last heartbeat, or of the
	// next one if its state has changed since.
	Agent    state.FencingToken `json:"agent"`
	Sequence uint64             `json:"sequence"`
}

// UnloadParams asks an agent to unload a replica.
type UnloadParams struct {
	state.ReplicaKey
}

// DrainParams tells an agent to take no new work, or to take it again.
type DrainParams struct {
	Draining bool `json:"draining"`
}

// AgentStatus is an agent's full account, for queries.
type AgentStatus struct {
	Heartbeat Heartbeat             `json:"heartbeat"`
	Memory    state.Bytes           `json:"memory"`
	Reserved  state.Bytes           `json:"reserved"`
	Grants    []state.Grant         `json:"grants"`
	Waiting   [state.ClassCount]int `json:"waiting"`
	Unfenced  []state.ReplicaKey    `json:"unfenced_intent,omitempty"`
	Idle      map[string]string     `json:"idle,omitempty"`
	Counters  map[string]uint64     `json:"counters,omitempty"`
	// Cached says where the checkpoints are that are not remote, by
	// "model/version".
	Cached map[string]platform.CacheTier `json:"cached,omitempty"`
	// LoadRates holds the bytes of weights a second that loads take, by where
	// the weights are.
	LoadRates map[platform.CacheTier]state.Bytes `json:"load_rates,omitempty"`
	// Concurrency bounds the requests running on the upstream.
	Concurrency int `json:"concurrency,omitempty"`
}
