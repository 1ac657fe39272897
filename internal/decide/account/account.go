// Package account tracks the memory of one upstream and decides which load and
// unload orders its engine gets. It does no I/O: its inputs are events and the
// time, its outputs are commands that the agent carries out.
package account

import (
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/decide/scaling"
	"github.com/lagoonvalve/lagoonvalve/internal/defaults"
	"github.com/lagoonvalve/lagoonvalve/internal/platform"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// Config describes the upstream whose memory is tracked.
type Config struct {
	Upstream state.UpstreamName
	// Memory is the size of the memory that replicas and adapters share.
	Memory  state.Bytes
	Fencing state.FencingKind
	// MaxLoads bounds the replica loads in flight on an engine that
	// enforces fencing; default 2. Other engines get one order at a time.
	MaxLoads int
	// StoreSlots requires a store slot for each load of a checkpoint that is
	// not cached on the host.
	StoreSlots bool
}

const (
	defaultMaxLoads = 2
	// unknownRetryDelay is the time after which a load of unknown outcome is
	// sent again if no listing shows its effect. The first and the repeated
	// load both count as loads that may still take effect, but the memory of
	// their target is counted once.
	unknownRetryDelay = 5 * time.Second
	// maxUnknownLoads bounds the loads of unknown outcome of one replica or
	// adapter.
	maxUnknownLoads = 2
	// orderRetryDelay delays the next order for a replica or adapter after a
	// refusal. It also follows any other answer to a load or unload, until a
	// listing shows the effect.
	orderRetryDelay = time.Second
)

// Catalogue returns the model versions and adapters that can be loaded, with
// their sizes.
type Catalogue interface {
	Version(key state.ReplicaKey) (state.ModelVersion, bool)
	Adapter(name state.AdapterName) (state.Adapter, bool)
	// LargestAdapter returns the size of the largest adapter of a model.
	LargestAdapter(model state.ModelName) state.Bytes
}

// Use is how a replica or one of its adapters is being used.
type Use struct {
	// InFlight counts requests that run on it or are queued for it.
	InFlight int
	LastUsed time.Time
	// KeepAlive is how long it stays loaded without use. Adapters have none:
	// when memory is short, the least recently used one is evicted first.
	KeepAlive time.Duration
}

// UseFunc reports the use of a replica, or of an adapter of it if adapter is
// not empty.
type UseFunc func(key state.ReplicaKey, adapter state.AdapterName) Use

// EarlyEvictionRule reports whether an idle replica may be evicted for a wake
// before its keep-alive ends. The rule bounds how often that happens.
type EarlyEvictionRule func(now time.Time, victim state.ReplicaKey, use Use, wanted WakeRequest) bool

// WakeRequest is a wake whose replica or adapter is not loaded yet.
type WakeRequest struct {
	Key     state.ReplicaKey
	Adapter state.AdapterName
	// Benefit is the cost per second of the waiting that the load ends. Wakes
	// of higher benefit go first.
	Benefit float64
	// Since is the time of the first wake, Until the time at which it
	// expires. With a zero Until it never does.
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

// SendOrder sends an order to the engine. Its outcome is reported to Result.
type SendOrder struct {
	ID    OrderID
	Order platform.Order
	// Eviction marks an unload that makes room for another replica or
	// adapter.
	Eviction bool
}

// AppendIntent appends an intent record. Its outcome is reported to IntentRead
// once the record is read back from the log, or to IntentFailed if it was not
// stored.
type AppendIntent struct {
	Sequence uint64
	Intent   state.Intent
}

// AppendRelease appends a release record. After a call of ReleaseFailed, Tick
// returns the command again.
type AppendRelease struct {
	Release state.Release
}

// RequestStoreSlot requests a store slot for a load. The answer is reported to
// SetStoreSlot or StoreSlotRefused.
type RequestStoreSlot struct {
	Wake WakeRequest
}

func (SendOrder) command()        {}
func (AppendIntent) command()     {}
func (AppendRelease) command()    {}
func (RequestStoreSlot) command() {}

// Stamp is a logical timestamp of listings and orders: a listing was requested
// after an order was sent or answered if its stamp is higher than the order's.
type Stamp uint64

// Account tracks the memory and the orders of one upstream. It is not safe for
// concurrent use.
type Account struct {
	cfg           Config
	catalogue     Catalogue
	mayEvictEarly EarlyEvictionRule

	token      state.FencingToken
	registered bool
	superseded bool
	leaving    bool
	stopping   bool

	grants          map[state.ReplicaKey][]state.Grant
	grantsKnown     bool
	releasing       map[state.Offset]bool
	unloadRequested map[state.ReplicaKey]bool

	stamp       Stamp
	listedStamp Stamp // stamp of the newest listing observed
	incarnation string
	capacity    state.Bytes
	role        string
	cached      map[string]platform.CacheTier
	listed      map[state.ReplicaKey]*replica

	orders    []*order
	nextOrder OrderID
	backoff   map[target]time.Time

	// fenced is set if the engine has accepted an order with the agent's
	// token; fenceStamp is when the answer arrived.
	fenced     bool
	fenceStamp Stamp

	wakes          map[target]*WakeRequest
	adapterLimiter scaling.AdapterLimiter
	storeSlots     map[state.ReplicaKey]*storeSlot

	intent intents
	// predecessorOrders bounds the loads of earlier agents that may still take
	// effect. They concern only predecessorModels.
	predecessorModels []state.ReplicaKey
	predecessorOrders int
}

// target is what an order loads or unloads: a replica, or one of its adapters
// if adapter is not empty.
type target struct {
	key     state.ReplicaKey
	adapter state.AdapterName
}

// replica is a replica that the last listing showed.
type replica struct {
	state    state.ReplicaState
	size     state.Bytes
	since    time.Time // when it was first listed or, later, became ready
	adapters map[state.AdapterName]state.Bytes
}

// order is an order that has no answer yet or whose effect no listing has shown
// yet.
type order struct {
	id            OrderID
	kind          platform.OrderKind
	target        target
	size          state.Bytes
	sentStamp     Stamp
	answeredStamp Stamp // 0 while in flight
	outcome       Outcome
	lastChange    time.Time // when it was sent or, later, answered
	// beforeRestart is set if the engine has restarted since the order was
	// sent. Without a definite answer the order is void; with one it reached
	// the new engine.
	beforeRestart bool
}

// storeSlot is the state of the store slot for a load: held until a time,
// requested, or refused with a time for the next request.
type storeSlot struct {
	heldUntil time.Time
	requested bool
	retryAt   time.Time
}

// New returns the account of an agent that is not registered yet. If
// mayEvictEarly is nil, no replica is evicted before its keep-alive ends.
func New(cfg Config, catalogue Catalogue, mayEvictEarly EarlyEvictionRule) *Account {
	defaults.Set(&cfg.MaxLoads, defaultMaxLoads)
	return &Account{
		cfg:             cfg,
		catalogue:       catalogue,
		mayEvictEarly:   mayEvictEarly,
		grants:          make(map[state.ReplicaKey][]state.Grant),
		releasing:       make(map[state.Offset]bool),
		unloadRequested: make(map[state.ReplicaKey]bool),
		listed:          make(map[state.ReplicaKey]*replica),
		backoff:         make(map[target]time.Time),
		wakes:           make(map[target]*WakeRequest),
		storeSlots:      make(map[state.ReplicaKey]*storeSlot),
		capacity:        cfg.Memory,
	}
}

// Register records that the agent's registration is in the log and which intent
// of its predecessors was in force there. A second call, after an append that
// was stored twice, raises the token: earlier intents of this agent are void
// then and the engine has to receive the new token.
func (a *Account) Register(token state.FencingToken, predecessorIntent state.Intent) {
	if a.registered {
		a.intent.inForce = nil
		a.fenced = false
		a.token = token
		return
	}
	a.token = token
	a.registered = true
	if a.cfg.Fencing == state.FencingEnforced || len(predecessorIntent.Models) == 0 {
		return
	}
	a.predecessorModels = predecessorIntent.Models
	a.predecessorOrders = max(predecessorIntent.Orders, 1)
}

// Supersede records that a later agent is registered. Tick returns no commands
// from then on.
func (a *Account) Supersede() { a.superseded = true }

// Superseded reports whether a later agent is known.
func (a *Account) Superseded() bool { return a.superseded }

// SetGrants replaces the grants in force. A missing grant was released or ended
// with its host.
func (a *Account) SetGrants(grants []state.Grant) {
	clear(a.grants)
	alive := make(map[state.Offset]bool, len(grants))
	for _, g := range grants {
		if g.Upstream != a.cfg.Upstream {
			continue
		}
		a.grants[g.ReplicaKey] = append(a.grants[g.ReplicaKey], g)
		alive[g.ID] = true
	}
	for id := range a.releasing {
		if !alive[id] {
			delete(a.releasing, id)
		}
	}
	a.grantsKnown = true
}

// ReleaseFailed reports that a release may not have been stored, so that Tick
// requests it again.
func (a *Account) ReleaseFailed(grant state.Offset) { delete(a.releasing, grant) }

// Leave makes the account unload everything and release all grants.
func (a *Account) Leave() { a.leaving = true }

// Stop ends the sending of orders; what is loaded stays loaded. The last command
// is an intent that covers only loads that may still take effect.
func (a *Account) Stop() { a.stopping = true }

// granted reports whether a grant allows key to be loaded.
func (a *Account) granted(key state.ReplicaKey) bool {
	for _, g := range a.grants[key] {
		if !g.Revoked && !a.releasing[g.ID] {
			return true
		}
	}
	return false
}
