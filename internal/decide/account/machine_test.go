package account_test

import (
	"slices"
	"time"

	"pgregory.net/rapid"

	"github.com/lagoonvalve/lagoonvalve/internal/decide/account"
	"github.com/lagoonvalve/lagoonvalve/internal/platform"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

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
	applied  [][]state.Grant // grants in force after each prefix of log
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
	burst := func(_ time.Time, _ state.ReplicaKey, _ account.Use, w account.WakeRequest) bool { return w.Benefit > 5 }
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
	// The log only grows, so what was worked out for a prefix stays right.
	var grants []state.Grant
	done := min(prefix, len(m.applied)-1)
	if done >= 0 {
		grants = slices.Clone(m.applied[done])
	}
	for i := max(done, 0); i < prefix; i++ {
		entry := m.log[i]
		if i >= len(m.applied) {
			m.applied = append(m.applied, slices.Clone(grants))
		}
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
	if prefix == len(m.applied) {
		m.applied = append(m.applied, slices.Clone(grants))
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
		agent: m.agent, id: cmd.ID, order: order,
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
