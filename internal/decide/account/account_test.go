package account_test

import (
	"flag"
	"os"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/lagoonvalve/lagoonvalve/internal/decide/account"
	"github.com/lagoonvalve/lagoonvalve/internal/platform"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

func TestMain(m *testing.M) {
	flag.Parse()
	set := func(name, value string) {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	given := make(map[string]bool)
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	defaults := map[string]string{
		"rapid.seed": "20261204", "rapid.checks": "1500", "rapid.steps": "60", "rapid.nofailfile": "true",
	}
	for name, value := range defaults {
		if !given[name] {
			set(name, value)
		}
	}
	os.Exit(m.Run())
}

const upstream state.UpstreamName = "u1"

// logEntry is a record at its place in the test's log; its index is its
// offset.
type logEntry struct {
	kind    state.Kind
	agent   int
	grant   state.Grant
	target  state.Offset // of revoke and release
	intent  state.Intent
	seq     uint64
	ignored bool // had no effect at its place
}

// pendingAppend is an append of an agent that has not reached the log.
type pendingAppend struct {
	agent int
	entry logEntry
}

type listing struct {
	stamp  account.Stamp
	status *platform.EngineStatus
}

// machine interleaves what can happen around an account.
type machine struct {
	engine   *fakeEngine
	log      []logEntry
	appends  []pendingAppend
	listings []*listing

	now      time.Time
	agent    int
	account  *account.Account
	read     int
	token    state.Offset
	started  bool
	intentAt state.Intent
	inUse    map[state.ReplicaKey]bool
	keep     time.Duration
	stats    *stats
}

type stats struct {
	loads, unloads, adapters, releases, successions, restarts int
	reserved, late, unknown, intents, graceful, stale         int
}

func newMachine(kind state.FencingKind, s *stats) *machine {
	m := &machine{
		engine: &fakeEngine{
			enforced: kind == state.FencingEnforced,
			replicas: make(map[state.ReplicaKey]*loaded),
		},
		now:   time.Unix(1_000_000, 0),
		inUse: make(map[state.ReplicaKey]bool),
		keep:  10 * time.Second,
		stats: s,
	}
	m.log = append(m.log, logEntry{kind: state.KindLeaseTake})
	for i := range sizes {
		m.log = append(m.log, logEntry{kind: state.KindGrant, grant: state.Grant{ReplicaKey: key(i), Upstream: upstream}})
	}
	m.succeed()
	m.land(0)
	return m
}

func (m *machine) kind() state.FencingKind {
	if m.engine.enforced {
		return state.FencingEnforced
	}
	return state.FencingIgnored
}

// succeed lets a new agent follow a dead one.
func (m *machine) succeed() {
	m.agent++
	m.read, m.started, m.token = 0, false, 0
	m.listings = nil
	m.intentAt = state.Intent{}
	burst := func(_ time.Time, _ state.ReplicaKey, _ account.Use, w account.Wish) bool { return w.Benefit > 5 }
	m.account = account.New(account.Config{
		Upstream: upstream, Memory: capacity, Fencing: m.kind(),
	}, catalogue{}, burst)
	m.appends = append(m.appends, pendingAppend{m.agent, logEntry{kind: state.KindAgentStart, agent: m.agent}})
}

// latest returns the latest registration in the log.
func (m *machine) latest() (agent int, token state.Offset) {
	for i, entry := range m.log {
		if entry.kind == state.KindAgentStart {
			agent, token = entry.agent, state.Offset(i)
		}
	}
	return agent, token
}

// land stores an append and decides whether it takes effect.
func (m *machine) land(i int) {
	p := m.appends[i]
	m.appends = slices.Delete(m.appends, i, i+1)
	if p.entry.kind != state.KindAgentStart {
		agent, _ := m.latest()
		p.entry.ignored = agent != p.agent
	}
	m.log = append(m.log, p.entry)
}

// grants returns the grants that are in force after a prefix of the log.
func (m *machine) grants(prefix int) []state.Grant {
	var grants []state.Grant
	for i, entry := range m.log[:prefix] {
		at := slices.IndexFunc(grants, func(g state.Grant) bool { return g.ID == entry.target })
		switch {
		case entry.kind == state.KindGrant:
			g := entry.grant
			g.ID = state.Offset(i)
			grants = append(grants, g)
		case entry.kind == state.KindRevoke && at >= 0:
			grants[at].Revoked = true
		case entry.kind == state.KindRelease && at >= 0 && !entry.ignored:
			grants = slices.Delete(grants, at, at+1)
		}
	}
	return grants
}

// readLog lets the agent read some more of the log.
func (m *machine) readLog(n int) {
	for ; n > 0 && m.read < len(m.log); n-- {
		entry := m.log[m.read]
		offset := state.Offset(m.read)
		m.read++
		switch entry.kind {
		case state.KindAgentStart:
			if entry.agent == m.agent {
				m.token, m.started = offset, true
				m.account.Register(offset, m.intentAt)
			} else if entry.agent > m.agent {
				m.account.Supersede()
			}
		case state.KindIntent:
			m.readIntent(entry)
		}
	}
	if m.read == len(m.log) || m.started {
		m.account.SetGrants(m.grants(m.read))
	}
}

func (m *machine) readIntent(entry logEntry) {
	if !entry.ignored {
		m.intentAt = entry.intent
	}
	switch {
	case entry.agent != m.agent:
	case entry.ignored:
		m.account.IntentFailed(entry.seq)
	default:
		m.account.IntentRead(entry.seq)
	}
}

func (m *machine) use(k state.ReplicaKey, _ state.AdapterName) account.Use {
	u := account.Use{KeepAlive: m.keep}
	if m.inUse[k] {
		u.InFlight = 1
	}
	return u
}

// tick runs the account and carries out its commands.
func (m *machine) tick(t *rapid.T) {
	m.stats.reserved += int(m.account.Reserved())
	for _, cmd := range m.account.Tick(m.now, m.use) {
		switch cmd := cmd.(type) {
		case account.SendOrder:
			m.sent(t, cmd)
		case account.AppendIntent:
			m.stats.intents++
			m.appends = append(m.appends, pendingAppend{m.agent, logEntry{
				kind: state.KindIntent, agent: m.agent, intent: cmd.Intent, seq: cmd.Sequence,
			}})
		case account.AppendRelease:
			m.stats.releases++
			m.appends = append(m.appends, pendingAppend{m.agent, logEntry{
				kind: state.KindRelease, agent: m.agent, target: cmd.Release.Grant,
			}})
		}
	}
}

func (m *machine) sent(t *rapid.T, cmd account.SendOrder) {
	order := cmd.Order
	if order.Token != m.token || !m.started {
		t.Fatalf("order %+v carries a token that is not the agent's %d", order, m.token)
	}
	switch order.Kind {
	case platform.OrderLoad:
		m.stats.loads++
		m.checkLoad(t, order)
	case platform.OrderLoadAdapter:
		m.stats.adapters++
	case platform.OrderUnload, platform.OrderUnloadAdapter:
		m.stats.unloads++
		if m.inUse[order.ReplicaKey] {
			t.Fatalf("unload of %v, which is in use", order.ReplicaKey)
		}
	}
	m.engine.messages = append(m.engine.messages, &message{
		agent: m.agent, id: cmd.ID, order: order, incarnation: m.engine.incarnation,
	})
	if !m.engine.enforced && m.outstanding() > 1 {
		t.Fatal("more than one order in flight on an engine that ignores tokens")
	}
}

// outstanding counts the orders that the agent still waits for.
func (m *machine) outstanding() int {
	count := 0
	for _, msg := range m.engine.messages {
		if msg.agent == m.agent && !msg.gaveUp {
			count++
		}
	}
	return count
}

// checkLoad checks that a load has an unrevoked grant in what the agent has
// read and, beside an engine that ignores tokens, an intent in the log.
func (m *machine) checkLoad(t *rapid.T, order platform.Order) {
	granted := slices.ContainsFunc(m.grants(m.read), func(g state.Grant) bool {
		return g.ReplicaKey == order.ReplicaKey && !g.Revoked
	})
	if !granted {
		t.Fatalf("load of %v without a grant", order.ReplicaKey)
	}
	if m.engine.enforced {
		return
	}
	var inForce state.Intent
	for _, entry := range m.log {
		if entry.kind == state.KindIntent && !entry.ignored {
			inForce = entry.intent
		}
	}
	if !slices.Contains(inForce.Models, order.ReplicaKey) {
		t.Fatalf("load of %v without an intent", order.ReplicaKey)
	}
}

// check compares the invariants with the engine's real memory.
func (m *machine) check(t *rapid.T) {
	if used := m.engine.used(); used > capacity {
		t.Fatalf("I2: %d of %d bytes in use: %v", used, capacity, m.engine.replicas)
	}
	grants := m.grants(len(m.log))
	for k := range m.engine.replicas {
		if !slices.ContainsFunc(grants, func(g state.Grant) bool { return g.ReplicaKey == k }) {
			t.Fatalf("I1: %v is loaded without a grant", k)
		}
	}
}

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
		w := account.Wish{
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
		"list":       func(*rapid.T) { m.listings = append(m.listings, &listing{stamp: m.account.Listing()}) },
		"list at once": func(*rapid.T) {
			m.account.Observe(m.now, m.account.Listing(), m.engine.status())
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
	w := account.Wish{
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
	m.account.Observe(m.now, m.account.Listing(), m.engine.status())
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
	_ = m.account.Wake(account.Wish{Key: late.order.ReplicaKey, Benefit: 10, Since: m.now})
	m.settle(t)
	m.revokeLate(t)
	m.settle(t)
	m.settle(t)
	m.deliverAll(t, m.engine.messages)
}

// earlyListing lets a listing from before a load arrive after its answer.
func (m *machine) earlyListing(t *rapid.T) {
	m.orderOut(t)
	stamp, status := m.account.Listing(), m.engine.status()
	m.deliverAll(t, m.engine.messages)
	for _, msg := range m.engine.messages {
		m.engine.finish(msg.order.ReplicaKey, false)
	}
	m.receiveAll()
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
	clean := !m.account.Unsettled() && m.account.Stopped() && m.account.Reserved() == 0
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
		m.account.Observe(m.now, m.account.Listing(), m.engine.status())
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

// Guards against a replica loaded without a grant (I1) and against
// overcommitted memory (I2) under any order of wakes, grants, lost and late
// results, agent deaths, engine restarts and late listings.
func TestAccountKeepsInvariants(t *testing.T) {
	for _, kind := range []state.FencingKind{state.FencingEnforced, state.FencingIgnored} {
		t.Run(string(kind), func(t *testing.T) {
			s := &stats{}
			rapid.Check(t, func(rt *rapid.T) {
				m := newMachine(kind, s)
				rt.Repeat(m.actions())
			})
			t.Logf("%+v", *s)
			g := NewWithT(t)
			g.Expect(s.loads).To(BeNumerically(">", 1000), "schedules must load")
			g.Expect(s.unloads).To(BeNumerically(">", 500), "schedules must unload")
			g.Expect(s.adapters).To(BeNumerically(">", 20), "schedules must load adapters")
			g.Expect(s.releases).To(BeNumerically(">", 100), "schedules must release")
			g.Expect(s.late).To(BeNumerically(">", 100), "orders must arrive late")
			if kind == state.FencingEnforced {
				g.Expect(s.stale).To(BeNumerically(">", 10), "the engine must refuse old tokens")
			} else {
				g.Expect(s.reserved).To(BeNumerically(">", 100), "successors must reserve")
				g.Expect(s.graceful).To(BeNumerically(">", 10), "agents must stop gracefully")
			}
		})
	}
}

// Guards against a release that rests on a listing from before the unload.
func TestReleaseNeedsLaterListing(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1_000_000, 0)
	a := account.New(account.Config{Upstream: upstream, Memory: capacity, Fencing: state.FencingIgnored}, catalogue{}, nil)
	a.Register(1, state.Intent{})
	a.SetGrants([]state.Grant{{ID: 0, ReplicaKey: key(0), Upstream: upstream, Revoked: true}})
	shown := platform.EngineStatus{Incarnation: "1", Replicas: []platform.EngineReplica{
		{ReplicaKey: key(0), State: state.ReplicaReady},
	}}
	empty := platform.EngineStatus{Incarnation: "1"}
	unused := func(state.ReplicaKey, state.AdapterName) account.Use { return account.Use{KeepAlive: time.Hour} }
	a.Observe(now, a.Listing(), shown)
	early := a.Listing()
	unload := a.Tick(now, unused)
	g.Expect(unload).To(HaveLen(1))
	a.Result(now, unload[0].(account.SendOrder).ID, account.Done)
	a.Observe(now, early, empty)
	g.Expect(a.Tick(now, unused)).To(BeEmpty())
	a.Observe(now, a.Listing(), empty)
	g.Expect(a.Tick(now, unused)).To(ConsistOf(account.AppendRelease{Release: state.Release{Grant: 0, Agent: 1}}))
}
