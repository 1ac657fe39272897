// Package account keeps the memory account of one upstream and decides on the
// orders to its engine. It is pure: its inputs are events and the time, its
// outputs are commands that the agent carries out.
package account

import (
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/decide/scaling"
	"github.com/lagoonvalve/lagoonvalve/internal/defaults"
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
	// StoreSlots says that a load of a checkpoint that is not cached on the
	// host needs a store slot.
	StoreSlots bool
}

const (
	defaultMaxLoads = 2
	// retryUnknown is the time after which a load of unknown outcome is sent
	// again if no listing shows it. The memory of both is counted.
	retryUnknown = 5 * time.Second
	// maxUnknown bounds the loads of unknown outcome of one replica.
	maxUnknown = 2
	// retryOrder delays the next order after a refused one.
	retryOrder = time.Second
)

// Catalogue gives the sizes of what can be loaded.
type Catalogue interface {
	Version(key state.ReplicaKey) (state.ModelVersion, bool)
	Adapter(name state.AdapterName) (state.Adapter, bool)
	// LargestAdapter returns the size of the largest adapter of a model.
	LargestAdapter(model state.ModelName) state.Bytes
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

// EarlyEvictionRule decides whether an idle replica whose keep-alive has not ended
// may be evicted for a wake. The rule bounds how often that happens.
type EarlyEvictionRule func(now time.Time, victim state.ReplicaKey, use Use, wanted WakeRequest) bool

// WakeRequest is a wake that is not yet fulfilled.
type WakeRequest struct {
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
	// Eviction says that an unload makes room for something else.
	Eviction bool
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

// RequestStoreSlot asks for a store slot for a load; the answer goes to SetStoreSlot.
type RequestStoreSlot struct {
	Wake WakeRequest
}

func (SendOrder) command()        {}
func (AppendIntent) command()     {}
func (AppendRelease) command()    {}
func (RequestStoreSlot) command() {}

// Stamp orders listings and orders: a listing is taken after an order if its
// stamp is the higher one.
type Stamp uint64

// Account is the memory account of one upstream. It belongs to one goroutine.
type Account struct {
	cfg       Config
	catalogue Catalogue
	burst     EarlyEvictionRule

	token      state.FencingToken
	registered bool
	superseded bool
	leaving    bool
	stopping   bool

	grants      map[state.ReplicaKey][]state.Grant
	grantsKnown bool
	releasing   map[state.Offset]bool
	unwanted    map[state.ReplicaKey]bool

	stamp       Stamp
	listedAt    Stamp // stamp of the last listing that was used
	incarnation string
	capacity    state.Bytes
	role        string
	cached      map[string]platform.CacheTier
	listed      map[state.ReplicaKey]*replica

	orders    []*order
	nextOrder OrderID
	backoff   map[target]time.Time

	// fence is when the engine accepted an order with the agent's token.
	fenced bool
	fence  Stamp

	wishes map[target]*WakeRequest
	pacer  scaling.AdapterPacer
	slots  map[state.ReplicaKey]*slot

	intent intents
	// predecessor may still have this many orders for models of its set.
	predecessor       []state.ReplicaKey
	predecessorOrders int
}

// target is what a load or unload concerns: a replica, or an adapter of it.
type target struct {
	key     state.ReplicaKey
	adapter state.AdapterName
}

// replica is a replica that the last listing showed.
type replica struct {
	state    state.ReplicaState
	size     state.Bytes
	since    time.Time
	adapters map[state.AdapterName]state.Bytes
}

// order is an order that may not yet have had its effect.
type order struct {
	id       OrderID
	kind     platform.OrderKind
	target   target
	size     state.Bytes
	sent     Stamp
	answered Stamp // 0 while in flight
	outcome  Outcome
	at       time.Time // when it was sent, later when it was answered
	// old says that the engine has restarted since. Without a definite
	// answer the order is void; with one it reached the new engine.
	old bool
}

type slot struct {
	until   time.Time
	pending bool
	retry   time.Time
}

// New returns the account of an agent that is not registered yet. Without a
// burst rule no replica is evicted before its keep-alive ends.
func New(cfg Config, catalogue Catalogue, burst EarlyEvictionRule) *Account {
	defaults.Set(&cfg.MaxLoads, defaultMaxLoads)
	return &Account{
		cfg:       cfg,
		catalogue: catalogue,
		burst:     burst,
		grants:    make(map[state.ReplicaKey][]state.Grant),
		releasing: make(map[state.Offset]bool),
		unwanted:  make(map[state.ReplicaKey]bool),
		listed:    make(map[state.ReplicaKey]*replica),
		backoff:   make(map[target]time.Time),
		wishes:    make(map[target]*WakeRequest),
		slots:     make(map[state.ReplicaKey]*slot),
		capacity:  cfg.Memory,
	}
}

// Register tells the account that the agent's registration is in the log and
// which intent its predecessors left at that place. A second call, after an
// append that was stored twice, raises the token: earlier intents of this
// agent are void then and the engine has to learn the new token.
func (a *Account) Register(token state.FencingToken, left state.Intent) {
	if a.registered {
		a.intent.inForce = nil
		a.fenced = false
		a.token = token
		return
	}
	a.token = token
	a.registered = true
	if a.cfg.Fencing == state.FencingEnforced || len(left.Models) == 0 {
		return
	}
	a.predecessor = left.Models
	a.predecessorOrders = max(left.Orders, 1)
}

// Supersede tells the account that a later agent is registered. It orders
// nothing from then on.
func (a *Account) Supersede() { a.superseded = true }

// Superseded reports whether a later agent is known.
func (a *Account) Superseded() bool { return a.superseded }

// SetGrants replaces the grants in force. Grants that are not listed any more
// were released or ended with their host.
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

// ReleaseFailed says that a release was not stored; it will be asked for
// again.
func (a *Account) ReleaseFailed(grant state.Offset) { delete(a.releasing, grant) }

// Leave makes the account unload everything and release all grants.
func (a *Account) Leave() { a.leaving = true }

// Stop ends all orders; what is loaded stays loaded. The last command is an
// intent that covers only what may still take effect.
func (a *Account) Stop() { a.stopping = true }

// granted reports whether key may be loaded.
func (a *Account) granted(key state.ReplicaKey) bool {
	for _, g := range a.grants[key] {
		if !g.Revoked && !a.releasing[g.ID] {
			return true
		}
	}
	return false
}
