package platform

import (
	"cmp"
	"context"

	"github.com/go-faster/errors"

	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// ErrStaleToken means that the engine refused an order whose fencing token is out
// of date.
var ErrStaleToken = errors.New("stale fencing token")

// ErrNoMemory means that the engine has too little free memory for the order.
var ErrNoMemory = errors.New("engine out of memory")

// OrderKind is the kind of operation that an order requests.
type OrderKind string

// The kinds of orders.
const (
	OrderLoad          OrderKind = "load"
	OrderUnload        OrderKind = "unload"
	OrderLoadAdapter   OrderKind = "load-adapter"
	OrderUnloadAdapter OrderKind = "unload-adapter"
	OrderRole          OrderKind = "role"
)

// Order is a command to an engine, such as to load a model. Engine.Do returns once
// the engine has carried it out or refused it.
type Order struct {
	Kind OrderKind `json:"kind"`
	state.ReplicaKey
	Adapter state.AdapterName `json:"adapter,omitempty"`
	// Size is the memory that the replica or adapter needs.
	Size state.Bytes `json:"size,omitempty"`
	// Weights is the part of Size that is fetched as weights.
	Weights state.Bytes `json:"weights,omitempty"`
	// Role is "prefill", "decode" or "both", for OrderRole.
	Role string `json:"role,omitempty"`
	// Token is the fencing token of the agent that gives the order; the newest
	// agent of the upstream has the highest.
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

// TierOf returns the cache tier of a checkpoint; one that is not listed is remote.
func TierOf(cached map[string]CacheTier, checkpoint string) CacheTier {
	return cmp.Or(cached[checkpoint], CacheRemote)
}

// EngineStatus is the status that an engine reports.
type EngineStatus struct {
	// Incarnation changes when the engine restarts.
	Incarnation string          `json:"incarnation"`
	Memory      state.Bytes     `json:"memory"`
	Replicas    []EngineReplica `json:"replicas"`
	// Cached maps checkpoints, as "model/version", to their cache tiers. A
	// checkpoint that is not listed is remote.
	Cached map[string]CacheTier `json:"cached,omitempty"`
	// Running and Waiting are numbers of requests; they may be out of date.
	Running int    `json:"running"`
	Waiting int    `json:"waiting"`
	Role    string `json:"role"`
}

// EngineReplica is the state of one replica in an engine.
type EngineReplica struct {
	state.ReplicaKey
	State    state.ReplicaState  `json:"state"`
	Size     state.Bytes         `json:"size"`
	Adapters []state.AdapterName `json:"adapters,omitempty"`
}

// Engine is the control interface of a model engine.
type Engine interface {
	Status(ctx context.Context) (EngineStatus, error)
	// Do carries out an order. The error wraps ErrStaleToken, ErrNoMemory,
	// ErrUnavailable (not carried out) or ErrUnknownOutcome.
	Do(ctx context.Context, order Order) error
}
