package controller

import (
	"slices"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/decide/residency"
	"github.com/lagoonvalve/lagoonvalve/internal/fleet"
)

// orderState is the progress of a pending order.
type orderState uint8

const (
	orderSending orderState = iota + 1
	orderAccepted
	orderUnknown
)

// pendingOrder is an order that may still change what an engine holds.
type pendingOrder struct {
	fleet.Order
	state     orderState
	fromStore bool
	sentAt    time.Time
	// loadTime is the expected duration if the order loads a model.
	loadTime time.Duration
	// short is set if the order is expected to be complete shortOrderDuration
	// after its acceptance; otherwise only a report shows its completion.
	short bool
	// due is when the order should be complete.
	due time.Time
}

// forModel reports whether the order loads or unloads a model, which an engine does
// for one model at a time.
func (p *pendingOrder) forModel() bool { return p.Adapter == "" }

// needsResend reports whether to send the order again now, because its outcome is
// unknown. The engine accepts it once at most: both calls expect the same number of
// accepted orders.
func (p *pendingOrder) needsResend(now time.Time) bool {
	return p != nil && p.state == orderUnknown && now.Sub(p.sentAt) > resendAfter
}

// pipeline holds the pending orders of an engine: at most one for a model and
// residency.MaxAdapterOrders for adapters, which engines carry out concurrently. An
// order is sent only after the outcome of the previous one is known.
type pipeline struct {
	model    *pendingOrder
	adapters []*pendingOrder
}

func (l *pipeline) empty() bool { return l.model == nil && len(l.adapters) == 0 }

// all returns the pending orders. The caller may remove orders meanwhile.
func (l *pipeline) all() []*pendingOrder {
	list := slices.Clone(l.adapters)
	if l.model != nil {
		list = append(list, l.model)
	}
	return list
}

func (l *pipeline) add(p *pendingOrder) {
	if p.forModel() {
		l.model = p
		return
	}
	l.adapters = append(l.adapters, p)
}

// remove removes an order; it has no effect if the order is not pending.
func (l *pipeline) remove(p *pendingOrder) {
	if l.model == p {
		l.model = nil
	}
	l.adapters = slices.DeleteFunc(l.adapters, func(other *pendingOrder) bool { return other == p })
}

// unresolved returns the order that the engine may or may not have accepted; nil if
// there is none.
func (l *pipeline) unresolved() *pendingOrder {
	for _, p := range l.all() {
		if p.state != orderAccepted {
			return p
		}
	}
	return nil
}

// fill sets the pending orders of a planner's view of the engine.
func (l *pipeline) fill(view *residency.Upstream) {
	if l.model != nil {
		view.Pending = &l.model.Order
	}
	for _, p := range l.adapters {
		view.PendingAdapters = append(view.PendingAdapters, p.Order)
	}
}
