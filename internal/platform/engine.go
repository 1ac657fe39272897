package platform

import (
	"cmp"
	"context"

	"github.com/go-faster/errors"

	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// ErrStaleToken means that the engine refused an order with an old token.
var ErrStaleToken = errors.New("stale fencing token")

// ErrNoMemory means that the engine has no memory for the order.
var ErrNoMemory = errors.New("engine out of memory")

// OrderKind is what an order asks of an engine.
type OrderKind string

// The kinds of orders.
const (
	OrderLoad          OrderKind = "load"
	OrderUnload        OrderKind = "unload"
	OrderLoadAdapter   OrderKind = "load-adapter"
	OrderUnloadAdapter OrderKind = "unload-adapter"
	OrderRole          OrderKind = "role"
)

// Order is an order to an engine. It returns once the engine has carried it
// out or refused it.
type Order struct {
	Kind OrderKind `json:"kind"`
	state.ReplicaKey
	Adapter state.AdapterName `json:"adapter,omitempty"`
	// Size is the memory of the replica or adapter.
	Size state.Bytes `json:"size,omitempty"`
	// Weights is the part of Size that is fetched.
	Weights state.Bytes `json:"weights,omitempty"`
	// Role is "prefill", "decode" or "both", for OrderRole.
	Role string `json:"role,omitempty"`
	// Token orders the agents of the engine's upstream.
	Token state.FencingToken `json:"token"`
}

// CacheTier says where a checkpoint is cached.
type CacheTier string

// The cache tiers, nearest first.
const (
	CacheMemory CacheTier = "memory"
	CacheDisk   CacheTier = "disk"
	CacheRemote CacheTier = "remote"
)

// TierOf returns where a checkpoint is; what is not listed is remote.
func TierOf(cached map[string]CacheTier, checkpoint string) CacheTier {
	return cmp.Or(cached[checkpoint], CacheRemote)
}

// EngineStatus is what an engine says of itself.
type EngineStatus struct {
	// Incarnation changes when the engine restarts.
	Incarnation string          `json:"incarnation"`
	Memory      state.Bytes     `json:"memory"`
	Replicas    []EngineReplica `json:"replicas"`
	// Cached says where checkpoints are, by "model/version". What is not
	// listed is remote.
	Cached map[string]CacheTier `json:"cached,omitempty"`
	// Running and Waiting are requests, as of some time ago.
	Running int    `json:"running"`
	Waiting int    `json:"waiting"`
	Role    string `json:"role"`
}

// EngineReplica is a replica in an engine.
type EngineReplica struct {
	state.ReplicaKey
	State    state.ReplicaState  `json:"state"`
	Size     state.Bytes         `json:"size"`
	Adapters []state.AdapterName `json:"adapters,omitempty"`
}

// Engine is the control side of a model engine.
type Engine interface {
	Status(ctx context.Context) (EngineStatus, error)
	// Do carries out an order. The error wraps ErrStaleToken, ErrNoMemory,
	// ErrUnavailable (not carried out) or ErrUnknownOutcome.
	Do(ctx context.Context, order Order) error
}
