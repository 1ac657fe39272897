package account_test

import (
	"slices"
	"time"

	"pgregory.net/rapid"

	"github.com/lagoonvalve/lagoonvalve/internal/decide/account"
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
		"":                        m.check,
		"settle":                  m.settle,
		"death with an order out": func(t *rapid.T) { m.settleAndWake(t); m.replaceAgent(t) },
		"lost result and death": func(t *rapid.T) {
			m.settleAndWake(t)
			m.loseResults()
			m.settle(t)
			m.settleAndWake(t)
			m.replaceAgent(t)
		},
		"lost result and restart": func(t *rapid.T) { m.settleAndWake(t); m.loseResults(); m.engine.restart(); m.settle(t) },
		"lost result and soft stop": func(t *rapid.T) {
			m.settleAndWake(t)
			m.loseResults()
			m.account.Stop()
			m.settle(t)
			m.replaceAgent(t)
		},
		"restart before an order": func(t *rapid.T) {
			m.settle(t)
			m.engine.restart()
			m.wakeAny(t)
			m.loseResults()
			m.settle(t)
		},
		"hasty successor":             m.successorBeforeLateOrder,
		"same model again":            m.successorReloadsModel,
		"listing from before a load":  m.outdatedListing,
		"graceful stop":               m.stopGracefully,
		"revoke what a late load has": m.revokeUndelivered,
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
		"land":     func(t *rapid.T) { m.storeAppend(pick(t, len(m.appends), func(int) bool { return true })) },
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
			if msg.reportedUnknown || msg.agent != m.agent {
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
			i := pick(t, len(msgs), func(i int) bool { return !msgs[i].reportedUnknown && msgs[i].agent == m.agent })
			msgs[i].reportedUnknown = true
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
			m.startSuccessor()
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
			m.startSuccessor()
		},
		"leave": func(t *rapid.T) {
			if !rarely(t) {
				t.Skip("no leave")
			}
			m.account.Leave()
		},
	}
}

// rarely is true in about one of ten draws. rapid draws small integers more
// often.
func rarely(t *rapid.T) bool { return rapid.IntRange(0, 15).Draw(t, "rarely") == 11 }
