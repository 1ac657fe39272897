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
	// TTL is how long a slot lasts without renewal; default 5 s.
	TTL time.Duration
	// Interest is how long a waiting request for a slot is remembered;
	// default 1 s.
	Interest time.Duration
	// Poll is the least time after which a refused holder asks again;
	// default 100 ms.
	Poll time.Duration
	// MaxPending bounds the remembered requests; default 4096.
	MaxPending int
}

func (c BrokerConfig) withDefaults() BrokerConfig {
	c.StoreLimits = c.StoreLimits.withDefaults()
	defaults.Set(&c.TTL, 5*time.Second)
	defaults.Set(&c.Interest, time.Second)
	defaults.Set(&c.Poll, 100*time.Millisecond)
	defaults.Set(&c.MaxPending, 4096)
	return c
}

// SlotRequest asks for the right to load.
type SlotRequest struct {
	Upstream state.UpstreamName
	Key      state.ReplicaKey
	// Benefit is what the waiting requests lose per second without the load.
	Benefit float64
}

// SlotAnswer grants a slot or says when to ask again.
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

type slotInterest struct {
	benefit float64
	// since orders requests of equal benefit.
	since uint64
	until time.Time
}

// Broker gives out slots of the weight store as leases, the highest benefit
// first. A new broker waits one TTL before its first grant, so that slots of a
// predecessor have ended. It is not safe for concurrent use.
type Broker struct {
	cfg         BrokerConfig
	incarnation string
	openAt      time.Time
	leases      map[string]slotLease
	pending     map[slotHolder]slotInterest
	count       uint64
	// starts spaces loads evenly: a burst at the store would share its
	// bandwidth and slow all of its loads.
	starts *rate.Limiter
}

// NewBroker returns a broker that starts at now. The incarnation makes its
// slots differ from those of other brokers.
func NewBroker(now time.Time, incarnation string, cfg BrokerConfig) *Broker {
	cfg = cfg.withDefaults()
	return &Broker{
		cfg:         cfg,
		incarnation: incarnation,
		openAt:      now.Add(cfg.TTL),
		leases:      make(map[string]slotLease),
		pending:     make(map[slotHolder]slotInterest),
		starts:      rate.NewLimiter(rate.Limit(cfg.PerSecond), 1),
	}
}

// Request asks for a slot. A repeated request by a holder returns its slot.
func (b *Broker) Request(now time.Time, r SlotRequest) SlotAnswer {
	b.expire(now)
	holder := slotHolder{upstream: r.Upstream, key: r.Key}
	for slot, lease := range b.leases {
		if lease.holder == holder {
			b.leases[slot] = slotLease{holder: holder, until: now.Add(b.cfg.TTL)}
			return SlotAnswer{Slot: slot, TTL: b.cfg.TTL}
		}
	}
	b.note(now, holder, r.Benefit)
	if now.Before(b.openAt) {
		return SlotAnswer{RetryAfter: max(b.openAt.Sub(now), b.cfg.Poll)}
	}
	if len(b.leases) >= b.cfg.AtOnce || !b.first(holder) || !b.starts.AllowN(now, 1) {
		return SlotAnswer{RetryAfter: b.cfg.Poll}
	}
	delete(b.pending, holder)
	b.count++
	slot := b.incarnation + "/" + strconv.FormatUint(b.count, 10)
	b.leases[slot] = slotLease{holder: holder, until: now.Add(b.cfg.TTL)}
	return SlotAnswer{Slot: slot, TTL: b.cfg.TTL}
}

func (b *Broker) note(now time.Time, holder slotHolder, benefit float64) {
	interest, known := b.pending[holder]
	if !known {
		if len(b.pending) >= b.cfg.MaxPending {
			return
		}
		b.count++
		interest.since = b.count
	}
	interest.benefit = benefit
	interest.until = now.Add(b.cfg.Interest)
	b.pending[holder] = interest
}

// first reports whether no other request has a higher benefit.
func (b *Broker) first(holder slotHolder) bool {
	own, known := b.pending[holder]
	if !known {
		return false
	}
	for other, interest := range b.pending {
		if other == holder {
			continue
		}
		if interest.benefit > own.benefit || interest.benefit == own.benefit && interest.since < own.since {
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
	for holder, interest := range b.pending {
		if !now.Before(interest.until) {
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

// SetLimits changes the limits. Slots beyond them end as their loads do.
func (b *Broker) SetLimits(now time.Time, limits StoreLimits) {
	b.cfg.StoreLimits = limits
	if b.starts.Limit() != rate.Limit(limits.PerSecond) {
		b.starts.SetLimitAt(now, rate.Limit(limits.PerSecond))
	}
}

// Demand returns what the broker's holders have and want.
func (b *Broker) Demand(now time.Time) StoreDemand {
	b.expire(now)
	demand := StoreDemand{Active: len(b.leases), Waiting: len(b.pending)}
	for _, interest := range b.pending {
		demand.Benefit = max(demand.Benefit, interest.benefit)
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
