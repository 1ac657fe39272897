// Package account keeps the memory account of one upstream and decides on the
// orders to its engine. It is pure: its inputs are events and the time, its
// outputs are commands that the agent carries out.
package account

import (
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/platform"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// Config describes the upstream of an account.
type Config struct {
	Upstream state.UpstreamName
	// Memory is what replicas and adapters share.
	Memory  state.Bytes
	Fencing state.FencingKind
	// MaxLoads bounds the replica loads in flight on an engine that
	// enforces fencing; default 2. Other engines get one order at a time.
	MaxLoads int
}

// Catalogue gives the sizes of what can be loaded.
type Catalogue interface {
	Version(key state.ReplicaKey) (state.ModelVersion, bool)
	Adapter(name state.AdapterName) (state.Adapter, bool)
}

// Use says how a replica or one of its adapters is being used.
type Use struct {
	// InFlight counts requests that run on it or are queued for it.
	InFlight int
	LastUsed time.Time
	// KeepAlive is how long it stays loaded without use. Adapters have none:
	// they are evicted by last use when memory is short.
	KeepAlive time.Duration
}

// UseFunc reports the use of a replica, or of an adapter of it if adapter is
// not empty.
type UseFunc func(key state.ReplicaKey, adapter state.AdapterName) Use

// BurstRule decides whether an idle replica whose keep-alive has not ended
// may be evicted for a wake. The rule bounds how often that happens.
type BurstRule func(now time.Time, victim state.ReplicaKey, use Use, wanted Wish) bool

// Wish is a wake that is not yet fulfilled.
type Wish struct {
	Key     state.ReplicaKey
	Adapter state.AdapterName
	// Benefit is what the waiters lose per second without the load.
	Benefit float64
	// Since is when the wish was first made, Until when it lapses.
	Since, Until time.Time
}

// OrderID names an order that the account issued.
type OrderID uint64

// Outcome is how an order ended.
type Outcome uint8

// The outcomes of orders.
const (
	// Unknown means that the order may have taken effect or still may.
	Unknown Outcome = iota
	// Done means that the engine carried the order out.
	Done
	// Refused means that the order had no effect and will have none.
	Refused
	// Stale means that the engine refused the order's fencing token: a later
	// agent is registered.
	Stale
)

// Command is something that the agent must do for the account.
type Command interface{ command() }

// SendOrder sends an order to the engine; its outcome goes to Result.
type SendOrder struct {
	ID    OrderID
	Order platform.Order
}

// AppendIntent appends an intent record. Its outcome goes to IntentRead once
// the record is read at its place in the log, or to IntentFailed if it was not
// stored.
type AppendIntent struct {
	Sequence uint64
	Intent   state.Intent
}

// AppendRelease appends a release record. ReleaseFailed asks for another try.
type AppendRelease struct {
	Release state.Release
}

// AskSlot asks for a store slot for a load; the answer goes to SetSlot.
type AskSlot struct {
	Wish Wish
}

func (SendOrder) command()     {}
func (AppendIntent) command()  {}
func (AppendRelease) command() {}
func (AskSlot) command()       {}

// Stamp orders listings and orders: a listing is taken after an order if its
// stamp is the higher one.
type Stamp uint64
