package entry

import (
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/decide/membership"
	"github.com/lagoonvalve/lagoonvalve/internal/decide/scaling"
	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// roleStoreSlots is the soft role of the entry that hands out the slots of the
// weight store.
const roleStoreSlots membership.Role = "store-slots"

// slotKeeper hands out the region's slots of the weight store while this entry
// has that role. A broker that takes over waits one TTL before its first grant,
// so that the slots of its predecessor have ended.
type slotKeeper struct {
	broker *scaling.Broker
	owner  state.EntryName
	// limits are those of the store, for all regions together.
	limits scaling.StoreLimits
	// regions are those that share the store, in order.
	regions []state.Region
	region  regionShare
}

// assign follows the role; a new broker starts when this entry gets it.
func (k *slotKeeper) assign(owner, self state.EntryName, incarnation string, now time.Time) {
	if owner == k.owner && k.broker != nil {
		return
	}
	k.owner = owner
	k.region = regionShare{asked: now}
	if owner == self || k.broker == nil {
		k.broker = scaling.NewBroker(now, incarnation, scaling.BrokerConfig{})
	}
}

// slotAsked is an agent's question for a store slot.
type slotAsked struct {
	params rpc.StoreSlotParams
	reply  chan rpc.StoreSlotResult
}

func (e slotAsked) apply(c *control, now time.Time) {
	e.reply <- answerSlot(c.slotKeeper.broker, e.params, now)
}

func answerSlot(broker *scaling.Broker, p rpc.StoreSlotParams, now time.Time) rpc.StoreSlotResult {
	if p.Release {
		broker.Release(now, p.Slot)
		return rpc.StoreSlotResult{}
	}
	if p.Slot != "" && broker.Renew(now, p.Slot) {
		return rpc.StoreSlotResult{Slot: p.Slot}
	}
	answer := broker.Request(now, scaling.SlotRequest{Upstream: p.Upstream, Key: p.ReplicaKey, Benefit: p.Benefit})
	return rpc.StoreSlotResult{
		Slot:       answer.Slot,
		TTL:        state.Duration(answer.TTL),
		RetryAfter: state.Duration(answer.RetryAfter),
	}
}
