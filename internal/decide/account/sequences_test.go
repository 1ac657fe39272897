package account_test

import (
	"slices"
	"time"

	"pgregory.net/rapid"

	"github.com/lagoonvalve/lagoonvalve/internal/decide/account"
	"github.com/lagoonvalve/lagoonvalve/internal/platform"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// settleAndWake wakes a model after everything has settled, so that an order is
// likely to be in flight.
func (m *machine) settleAndWake(t *rapid.T) {
	m.settle(t)
	m.wakeAny(t)
}

func (m *machine) wakeAny(t *rapid.T) {
	w := account.WakeRequest{
		Key:     key(rapid.IntRange(0, len(sizes)-1).Draw(t, "model")),
		Benefit: 10,
		Since:   m.now,
		Until:   m.now.Add(time.Minute),
	}
	if rapid.Bool().Draw(t, "with adapter") {
		w.Adapter = adapterOf(w.Key, 1)
	}
	_ = m.account.Wake(w)
	m.tick(t)
}

// loseResults reports every order in flight to the agent as unknown.
func (m *machine) loseResults() {
	for _, msg := range m.engine.messages {
		if msg.agent == m.agent && !msg.reportedUnknown {
			msg.reportedUnknown = true
			m.stats.unknown++
			m.result(msg, account.Unknown)
		}
	}
}

// replaceAgent ends the agent, and lets its successor register and settle.
func (m *machine) replaceAgent(t *rapid.T) {
	m.stats.successions++
	m.startSuccessor()
	m.settle(t)
}

// successorBeforeLateOrder lets a successor act on its first listing alone while
// an order of its predecessor is still undelivered.
func (m *machine) successorBeforeLateOrder(t *rapid.T) {
	m.settleAndWake(t)
	if rapid.Bool().Draw(t, "revoke") {
		m.revokeUndelivered(t)
	}
	late := m.engine.messages
	m.stats.successions++
	m.startSuccessor()
	m.storeAllAppends()
	m.account.Observe(m.now, m.account.BeginListing(), m.engine.status())
	m.tick(t)
	before := rapid.Bool().Draw(t, "late order before the fence")
	if before {
		m.deliverAll(t, late)
	}
	fence := m.engine.messages[len(late):]
	m.deliverAll(t, fence)
	m.receiveAll()
	m.wakeAny(t)
	m.storeAllAppends()
	m.deliverAll(t, m.engine.messages)
}

// successorReloadsModel lets a successor load the model of its predecessor's
// late order and release it again before the engine receives the late order.
func (m *machine) successorReloadsModel(t *rapid.T) {
	m.settleAndWake(t)
	if len(m.engine.messages) == 0 {
		return
	}
	late := m.engine.messages[len(m.engine.messages)-1]
	m.replaceAgent(t)
	_ = m.account.Wake(account.WakeRequest{Key: late.order.ReplicaKey, Benefit: 10, Since: m.now})
	m.settle(t)
	m.revokeUndelivered(t)
	m.settle(t)
	m.settle(t)
	m.deliverAll(t, m.engine.messages)
}

// outdatedListing lets a listing that was answered before a load arrive after
// the load's result, and perhaps after a later listing.
func (m *machine) outdatedListing(t *rapid.T) {
	m.settleAndWake(t)
	stamp, status := m.account.BeginListing(), m.engine.status()
	m.deliverAll(t, m.engine.messages)
	for _, msg := range m.engine.messages {
		m.engine.finish(msg.order.ReplicaKey, false)
	}
	m.receiveAll()
	if rapid.Bool().Draw(t, "after a later one") {
		m.account.Observe(m.now, m.account.BeginListing(), m.engine.status())
	}
	m.account.Observe(m.now, stamp, status)
	m.wakeAny(t)
	m.wakeAny(t)
	m.deliverAll(t, m.engine.messages)
}

// receiveAll lets the agent receive all answers to its orders.
func (m *machine) receiveAll() {
	m.engine.messages = slices.DeleteFunc(m.engine.messages, func(msg *orderMessage) bool {
		if msg.agent != m.agent || !msg.answered {
			return false
		}
		m.result(msg, msg.outcome)
		return true
	})
}

func (m *machine) storeAllAppends() {
	for len(m.appends) > 0 {
		m.storeAppend(0)
	}
	m.readLog(len(m.log))
}

func (m *machine) deliverAll(t *rapid.T, msgs []*orderMessage) {
	for _, msg := range msgs {
		if !msg.delivered {
			m.engine.deliver(msg)
			m.check(t)
		}
	}
}

// stopGracefully checks that the successor of an agent whose orders have all
// ended reserves no memory, unless that agent itself reserved some or had orders
// of unknown outcome.
func (m *machine) stopGracefully(t *rapid.T) {
	m.settle(t)
	m.account.Stop()
	m.settle(t)
	clean := !m.account.HasPendingOrders() && m.account.Stopped() && m.account.Reserved() == 0
	m.replaceAgent(t)
	if !clean {
		return
	}
	m.stats.graceful++
	if reserved := m.account.Reserved(); reserved != 0 {
		t.Fatalf("%d bytes are reserved after a graceful stop", reserved)
	}
}

// revokeUndelivered revokes the grants of models whose load order the engine has
// not received yet.
func (m *machine) revokeUndelivered(*rapid.T) {
	for _, g := range m.grants(len(m.log)) {
		late := slices.ContainsFunc(m.engine.messages, func(msg *orderMessage) bool {
			return !msg.delivered && msg.order.Kind == platform.OrderLoad && msg.order.ReplicaKey == g.ReplicaKey
		})
		if late && !g.Revoked {
			m.log = append(m.log, logEntry{kind: state.KindRevoke, target: g.ID})
		}
	}
}

// settle completes everything in progress, except late orders of dead agents
// and orders whose result was lost.
func (m *machine) settle(t *rapid.T) {
	for range 4 {
		m.storeAllAppends()
		m.now = m.now.Add(100 * time.Millisecond)
		m.tick(t)
		msgs := m.engine.messages
		m.engine.messages = nil
		for _, msg := range msgs {
			if msg.agent != m.agent || msg.reportedUnknown {
				m.engine.messages = append(m.engine.messages, msg)
				continue
			}
			if !msg.delivered {
				m.engine.deliver(msg)
			}
			m.engine.finish(msg.order.ReplicaKey, false)
			if !msg.answered {
				t.Fatalf("order %+v has no answer", msg.order)
			}
			m.result(msg, msg.outcome)
		}
		m.account.Observe(m.now, m.account.BeginListing(), m.engine.status())
		m.check(t)
	}
}

func (m *machine) toggleUse(t *rapid.T) {
	k := key(rapid.IntRange(0, len(sizes)-1).Draw(t, "model"))
	unloads := slices.ContainsFunc(m.engine.messages, func(msg *orderMessage) bool {
		return msg.order.Kind == platform.OrderUnload && msg.order.ReplicaKey == k
	})
	if unloads {
		t.Skip("being unloaded")
	}
	m.inUse[k] = !m.inUse[k]
}

func (m *machine) result(msg *orderMessage, outcome account.Outcome) {
	m.account.Result(m.now, msg.id, outcome)
}
