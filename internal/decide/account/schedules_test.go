package account_test

import (
	"slices"
	"time"

	"pgregory.net/rapid"

	"github.com/lagoonvalve/lagoonvalve/internal/decide/account"
	"github.com/lagoonvalve/lagoonvalve/internal/platform"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// pick draws one of the indices for which ok holds, or skips the action.
func pick(t *rapid.T, n int, ok func(int) bool) int {
	var indices []int
	for i := range n {
		if ok(i) {
			indices = append(indices, i)
		}
	}
	if len(indices) == 0 {
		t.Skip("nothing to pick")
	}
	return rapid.SampledFrom(indices).Draw(t, "pick")
}

func (m *machine) actions() map[string]func(*rapid.T) {
	anyKey := rapid.IntRange(0, len(sizes)-1)
	wake := func(t *rapid.T) {
		w := account.WakeRequest{
			Key:     key(anyKey.Draw(t, "model")),
			Benefit: float64(rapid.IntRange(0, 10).Draw(t, "benefit")),
			Since:   m.now,
			Until:   m.now.Add(time.Minute),
		}
		if rapid.Bool().Draw(t, "with adapter") {
			w.Adapter = adapterOf(w.Key, rapid.IntRange(0, 1).Draw(t, "adapter"))
		}
		_ = m.account.Wake(w)
		m.tick(t)
	}
	tick := func(t *rapid.T) {
		m.now = m.now.Add(time.Duration(rapid.SampledFrom([]int{50, 500, 6000}).Draw(t, "ms")) * time.Millisecond)
		m.tick(t)
	}
	return map[string]func(*rapid.T){
		"":                          m.check,
		"settle":                    m.settle,
		"death with an order out":   func(t *rapid.T) { m.orderOut(t); m.die(t) },
		"lost result and death":     func(t *rapid.T) { m.orderOut(t); m.loseResults(); m.settle(t); m.orderOut(t); m.die(t) },
		"lost result and restart":   func(t *rapid.T) { m.orderOut(t); m.loseResults(); m.engine.restart(); m.settle(t) },
		"lost result and soft stop": func(t *rapid.T) { m.orderOut(t); m.loseResults(); m.account.Stop(); m.settle(t); m.die(t) },
		"restart before an order": func(t *rapid.T) {
			m.settle(t)
			m.engine.restart()
			m.wakeAny(t)
			m.loseResults()
			m.settle(t)
		},
		"hasty successor":             m.hastySuccessor,
		"same model again":            m.sameModelAgain,
		"listing from before a load":  m.earlyListing,
		"graceful stop":               m.stopGracefully,
		"revoke what a late load has": m.revokeLate,
		"deliver late orders": func(t *rapid.T) {
			for _, msg := range m.engine.messages {
				if !msg.delivered {
					m.stats.late++
					m.engine.deliver(msg)
					m.check(t)
				}
			}
		},
		"wake":  wake,
		"wake2": wake,
		"tick":  tick,
		"tick2": tick,
		"grant": func(t *rapid.T) {
			k := key(anyKey.Draw(t, "model"))
			if slices.ContainsFunc(m.grants(len(m.log)), func(g state.Grant) bool { return g.ReplicaKey == k }) {
				t.Skip("granted")
			}
			m.log = append(m.log, logEntry{kind: state.KindGrant, grant: state.Grant{ReplicaKey: k, Upstream: upstream}})
		},
		"revoke": func(t *rapid.T) {
			grants := m.grants(len(m.log))
			i := pick(t, len(grants), func(i int) bool { return !grants[i].Revoked })
			m.log = append(m.log, logEntry{kind: state.KindRevoke, target: grants[i].ID})
		},
		"read log": func(t *rapid.T) { m.readLog(rapid.IntRange(1, 100).Draw(t, "records")) },
		"land":     func(t *rapid.T) { m.land(pick(t, len(m.appends), func(int) bool { return true })) },
		"lose append": func(t *rapid.T) {
			i := pick(t, len(m.appends), func(i int) bool { return m.appends[i].entry.kind != state.KindAgentStart })
			p := m.appends[i]
			m.appends = slices.Delete(m.appends, i, i+1)
			switch {
			case p.agent != m.agent:
			case p.entry.kind == state.KindIntent:
				m.account.IntentFailed(p.entry.seq)
			default:
				m.account.ReleaseFailed(p.entry.target)
			}
		},
		"unload":     func(t *rapid.T) { m.account.Unload(key(anyKey.Draw(t, "model"))) },
		"toggle use": m.toggleUse,
		"list":       func(*rapid.T) { m.listings = append(m.listings, &listing{stamp: m.account.BeginListing()}) },
		"list at once": func(*rapid.T) {
			m.account.Observe(m.now, m.account.BeginListing(), m.engine.status())
		},
		"answer listing": func(t *rapid.T) {
			i := pick(t, len(m.listings), func(i int) bool { return m.listings[i].status == nil })
			status := m.engine.status()
			m.listings[i].status = &status
		},
		"receive listing": func(t *rapid.T) {
			i := pick(t, len(m.listings), func(i int) bool { return m.listings[i].status != nil })
			l := m.listings[i]
			m.listings = slices.Delete(m.listings, i, i+1)
			m.account.Observe(m.now, l.stamp, *l.status)
		},
		"deliver order": func(t *rapid.T) {
			msgs := m.engine.messages
			msg := msgs[pick(t, len(msgs), func(i int) bool { return !msgs[i].delivered })]
			if msg.gaveUp || msg.agent != m.agent {
				m.stats.late++
			}
			m.engine.deliver(msg)
			if msg.answered && msg.outcome == account.Stale {
				m.stats.stale++
			}
		},
		"finish order": func(t *rapid.T) {
			m.engine.finish(key(anyKey.Draw(t, "model")), rapid.IntRange(0, 4).Draw(t, "fail") == 0)
		},
		"receive result": func(t *rapid.T) {
			msgs := m.engine.messages
			i := pick(t, len(msgs), func(i int) bool { return msgs[i].answered })
			msg := msgs[i]
			m.engine.messages = slices.Delete(msgs, i, i+1)
			if msg.agent == m.agent {
				m.result(msg, msg.outcome)
			}
		},
		"lose result": func(t *rapid.T) {
			msgs := m.engine.messages
			i := pick(t, len(msgs), func(i int) bool { return !msgs[i].gaveUp && msgs[i].agent == m.agent })
			msgs[i].gaveUp = true
			m.stats.unknown++
			m.result(msgs[i], account.Unknown)
		},
		"engine restart": func(t *rapid.T) {
			if !rarely(t) {
				t.Skip("no restart")
			}
			m.stats.restarts++
			m.engine.restart()
		},
		"agent death": func(t *rapid.T) {
			if !rarely(t) {
				t.Skip("no death")
			}
			m.stats.successions++
			m.succeed()
		},
		"stop": func(t *rapid.T) {
			if !rarely(t) {
				t.Skip("no stop")
			}
			m.account.Stop()
			m.tick(t)
		},
		"stopped": func(t *rapid.T) {
			if !m.started || !m.account.Stopped() {
				t.Skip("not stopped")
			}
			m.stats.graceful++
			m.succeed()
		},
		"leave": func(t *rapid.T) {
			if !rarely(t) {
				t.Skip("no leave")
			}
			m.account.Leave()
		},
	}
}

// rarely is true about once in ten times. Small integers are drawn more often.
func rarely(t *rapid.T) bool { return rapid.IntRange(0, 15).Draw(t, "rarely") == 11 }

// orderOut wakes a model after everything has settled, so that an order is
// likely to be out.
func (m *machine) orderOut(t *rapid.T) {
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

// loseResults lets the agent take every order that is out as unknown.
func (m *machine) loseResults() {
	for _, msg := range m.engine.messages {
		if msg.agent == m.agent && !msg.gaveUp {
			msg.gaveUp = true
			m.stats.unknown++
			m.result(msg, account.Unknown)
		}
	}
}

// die ends the agent and lets its successor register and settle.
func (m *machine) die(t *rapid.T) {
	m.stats.successions++
	m.succeed()
	m.settle(t)
}

// hastySuccessor lets a successor act while an order of its predecessor is
// late, with only the listing from its start.
func (m *machine) hastySuccessor(t *rapid.T) {
	m.orderOut(t)
	if rapid.Bool().Draw(t, "revoke") {
		m.revokeLate(t)
	}
	late := m.engine.messages
	m.stats.successions++
	m.succeed()
	m.landAll()
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
	m.landAll()
	m.deliverAll(t, m.engine.messages)
}

// sameModelAgain lets a successor load what its predecessor's late order
// loads, give it back, and then receives the late order.
func (m *machine) sameModelAgain(t *rapid.T) {
	m.orderOut(t)
	if len(m.engine.messages) == 0 {
		return
	}
	late := m.engine.messages[len(m.engine.messages)-1]
	m.die(t)
	_ = m.account.Wake(account.WakeRequest{Key: late.order.ReplicaKey, Benefit: 10, Since: m.now})
	m.settle(t)
	m.revokeLate(t)
	m.settle(t)
	m.settle(t)
	m.deliverAll(t, m.engine.messages)
}

// earlyListing lets a listing from before a load arrive after its answer, and
// perhaps after a later listing.
func (m *machine) earlyListing(t *rapid.T) {
	m.orderOut(t)
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
	m.engine.messages = slices.DeleteFunc(m.engine.messages, func(msg *message) bool {
		if msg.agent != m.agent || !msg.answered {
			return false
		}
		m.result(msg, msg.outcome)
		return true
	})
}

func (m *machine) landAll() {
	for len(m.appends) > 0 {
		m.land(0)
	}
	m.readLog(len(m.log))
}

func (m *machine) deliverAll(t *rapid.T, msgs []*message) {
	for _, msg := range msgs {
		if !msg.delivered {
			m.engine.deliver(msg)
			m.check(t)
		}
	}
}

// stopGracefully checks that the successor of an agent whose orders all ended
// reserves nothing, unless that agent itself had to reserve or had
// orders of unknown outcome.
func (m *machine) stopGracefully(t *rapid.T) {
	m.settle(t)
	m.account.Stop()
	m.settle(t)
	clean := !m.account.HasPendingOrders() && m.account.Stopped() && m.account.Reserved() == 0
	m.die(t)
	if !clean {
		return
	}
	m.stats.graceful++
	if reserved := m.account.Reserved(); reserved != 0 {
		t.Fatalf("%d bytes are reserved after a graceful stop", reserved)
	}
}

// revokeLate revokes the grants of models whose load may still come.
func (m *machine) revokeLate(*rapid.T) {
	for _, g := range m.grants(len(m.log)) {
		late := slices.ContainsFunc(m.engine.messages, func(msg *message) bool {
			return !msg.delivered && msg.order.Kind == platform.OrderLoad && msg.order.ReplicaKey == g.ReplicaKey
		})
		if late && !g.Revoked {
			m.log = append(m.log, logEntry{kind: state.KindRevoke, target: g.ID})
		}
	}
}

// settle lets everything under way come to its end, but for late orders of
// dead agents and of those whose answer was lost.
func (m *machine) settle(t *rapid.T) {
	for range 4 {
		m.landAll()
		m.now = m.now.Add(100 * time.Millisecond)
		m.tick(t)
		msgs := m.engine.messages
		m.engine.messages = nil
		for _, msg := range msgs {
			if msg.agent != m.agent || msg.gaveUp {
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
	unloads := slices.ContainsFunc(m.engine.messages, func(msg *message) bool {
		return msg.order.Kind == platform.OrderUnload && msg.order.ReplicaKey == k
	})
	if unloads {
		t.Skip("being unloaded")
	}
	m.inUse[k] = !m.inUse[k]
}

func (m *machine) result(msg *message, outcome account.Outcome) {
	m.account.Result(m.now, msg.id, outcome)
}
