package scaling

import (
	"strconv"
	"time"

	"golang.org/x/time/rate"

	"github.com/lagoonvalve/lagoonvalve/internal/defaults"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// BrokerConfig holds the settings of the store slot broker. Zero values mean
// the defaults.
type BrokerConfig struct {
	StoreLimits
	// TTL is the lease time of a slot; default 5 s.
	TTL time.Duration
	// PendingTTL is how long a waiting request stays pending unless its
	// requester repeats it; default 1 s.
	PendingTTL time.Duration
	// Poll is the least time after which a refused requester retries; default
	// 100 ms.
	Poll time.Duration
	// MaxPending bounds the pending requests; default 4096.
	MaxPending int
}

func (c BrokerConfig) withDefaults() BrokerConfig {
	c.StoreLimits = c.StoreLimits.withDefaults()
	defaults.Set(&c.TTL, 5*time.Second)
	defaults.Set(&c.PendingTTL, time.Second)
	defaults.Set(&c.Poll, 100*time.Millisecond)
	defaults.Set(&c.MaxPending, 4096)
	return c
}

// SlotRequest is a request for a slot to load a replica from the weight store.
type SlotRequest struct {
	Upstream state.UpstreamName
	Key      state.ReplicaKey
	// Benefit is the cost per second of waiting that the load ends.
	Benefit float64
}

// SlotAnswer grants a slot or gives the delay before a retry.
type SlotAnswer struct {
	// Slot is empty if none was granted.
	Slot       string
	TTL        time.Duration
	RetryAfter time.Duration
}

type slotHolder struct {
	upstream state.UpstreamName
	key      state.ReplicaKey
}

type slotLease struct {
	holder slotHolder
	until  time.Time
}

type pendingRequest struct {
	benefit float64
	// sequence orders requests of equal benefit, the oldest first.
	sequence uint64
	until    time.Time
}

// Broker grants slots of the weight store as leases, the highest benefit
// first. A new broker waits one TTL before its first grant, so that all slots
// granted by its predecessor have expired. It is not safe for concurrent use.
type Broker struct {
	cfg         BrokerConfig
	incarnation string
	grantsFrom  time.Time
	leases      map[string]slotLease
	pending     map[slotHolder]pendingRequest
	sequence    uint64
	// startLimiter spaces the starts of loads evenly: loads that start together
	// would share the store's bandwidth and slow each other down.
	startLimiter *rate.Limiter
}

// NewBroker returns a broker that starts at now. The incarnation prefixes its
// slot names, so that they differ from those of other brokers.
func NewBroker(now time.Time, incarnation string, cfg BrokerConfig) *Broker {
	cfg = cfg.withDefaults()
	return &Broker{
		cfg:          cfg,
		incarnation:  incarnation,
		grantsFrom:   now.Add(cfg.TTL),
		leases:       make(map[string]slotLease),
		pending:      make(map[slotHolder]pendingRequest),
		startLimiter: rate.NewLimiter(rate.Limit(cfg.PerSecond), 1),
	}
}

// Request handles a request for a slot. A request by the holder of a slot
// renews that slot and returns it.
func (b *Broker) Request(now time.Time, r SlotRequest) SlotAnswer {
	b.expire(now)
	holder := slotHolder{upstream: r.Upstream, key: r.Key}
	for slot, lease := range b.leases {
		if lease.holder == holder {
			b.leases[slot] = slotLease{holder: holder, until: now.Add(b.cfg.TTL)}
			return SlotAnswer{Slot: slot, TTL: b.cfg.TTL}
		}
	}
	b.addPending(now, holder, r.Benefit)
	if now.Before(b.grantsFrom) {
		return SlotAnswer{RetryAfter: max(b.grantsFrom.Sub(now), b.cfg.Poll)}
	}
	if len(b.leases) >= b.cfg.AtOnce || !b.hasHighestBenefit(holder) || !b.startLimiter.AllowN(now, 1) {
		return SlotAnswer{RetryAfter: b.cfg.Poll}
	}
	delete(b.pending, holder)
	b.sequence++
	slot := b.incarnation + "/" + strconv.FormatUint(b.sequence, 10)
	b.leases[slot] = slotLease{holder: holder, until: now.Add(b.cfg.TTL)}
	return SlotAnswer{Slot: slot, TTL: b.cfg.TTL}
}

func (b *Broker) addPending(now time.Time, holder slotHolder, benefit float64) {
	request, known := b.pending[holder]
	if !known {
		if len(b.pending) >= b.cfg.MaxPending {
			return
		}
		b.sequence++
		request.sequence = b.sequence
	}
	request.benefit = benefit
	request.until = now.Add(b.cfg.PendingTTL)
	b.pending[holder] = request
}

// hasHighestBenefit reports whether holder is pending and no other pending
// request comes first, by benefit and then by age.
func (b *Broker) hasHighestBenefit(holder slotHolder) bool {
	own, known := b.pending[holder]
	if !known {
		return false
	}
	for other, request := range b.pending {
		if other == holder {
			continue
		}
		if request.benefit > own.benefit || request.benefit == own.benefit && request.sequence < own.sequence {
			return false
		}
	}
	return true
}

func (b *Broker) expire(now time.Time) {
	for slot, lease := range b.leases {
		if !now.Before(lease.until) {
			delete(b.leases, slot)
		}
	}
	for holder, request := range b.pending {
		if !now.Before(request.until) {
			delete(b.pending, holder)
		}
	}
}

// Renew extends a slot and reports whether it is still held.
func (b *Broker) Renew(now time.Time, slot string) bool {
	b.expire(now)
	lease, ok := b.leases[slot]
	if !ok {
		return false
	}
	lease.until = now.Add(b.cfg.TTL)
	b.leases[slot] = lease
	return true
}

// SetLimits changes the limits. Slots already granted beyond them stay until
// they are released or expire.
func (b *Broker) SetLimits(now time.Time, limits StoreLimits) {
	b.cfg.StoreLimits = limits
	if b.startLimiter.Limit() != rate.Limit(limits.PerSecond) {
		b.startLimiter.SetLimitAt(now, rate.Limit(limits.PerSecond))
	}
}

// Demand returns the slots held, the pending requests and their highest
// benefit.
func (b *Broker) Demand(now time.Time) StoreDemand {
	b.expire(now)
	demand := StoreDemand{Active: len(b.leases), Waiting: len(b.pending)}
	for _, request := range b.pending {
		demand.Benefit = max(demand.Benefit, request.benefit)
	}
	return demand
}

// Release gives a slot back.
func (b *Broker) Release(now time.Time, slot string) {
	b.expire(now)
	delete(b.leases, slot)
}

// Held counts the slots held.
func (b *Broker) Held(now time.Time) int {
	b.expire(now)
	return len(b.leases)
}
