package scaling

import (
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// BrokerConfig holds the settings of the store slot broker. Zero values mean
// the defaults.
type BrokerConfig struct {
	// PerSecond is how many loads may start per second; default 3.
	PerSecond float64
	// AtOnce is how many loads run at full speed together; default 4.
	AtOnce int
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

// Broker gives out slots of the weight store as leases, the highest benefit
// first. A new broker waits one TTL before its first grant, so that slots of a
// predecessor have ended. It is not safe for concurrent use.
type Broker struct{ cfg BrokerConfig }

// NewBroker returns a broker that starts at now. The incarnation makes its
// slots differ from those of other brokers.
func NewBroker(now time.Time, incarnation string, cfg BrokerConfig) *Broker {
	return &Broker{cfg: cfg}
}

// Request asks for a slot. A repeated request by a holder returns its slot.
func (b *Broker) Request(now time.Time, r SlotRequest) SlotAnswer { return SlotAnswer{} }

// Renew extends a slot and reports whether it is still held.
func (b *Broker) Renew(now time.Time, slot string) bool { return false }

// Release gives a slot back.
func (b *Broker) Release(now time.Time, slot string) {}

// Held counts the slots held.
func (b *Broker) Held(now time.Time) int { return 0 }
