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
	target  state.Offset // the grant of a revoke or release
	intent  state.Intent
	seq     uint64
	ignored bool // no effect: a later agent was registered before it
}

// pendingAppend is an append of an agent that the log has not stored yet.
type pendingAppend struct {
	agent int
	entry logEntry
}

type listing struct {
	stamp  account.Stamp
	status *platform.EngineStatus
}

// machine is a rapid state machine that interleaves the events of an account,
// its engine and the log.
type machine struct {
	engine         *fakeEngine
	log            []logEntry
	grantsByPrefix [][]state.Grant // grants in force after each prefix of log
	appends        []pendingAppend
	listings       []*listing

	now           time.Time
	agent         int
	account       *account.Account
	readOffset    int
	token         state.Offset
	started       bool
	intentInForce state.Intent
	inUse         map[state.ReplicaKey]bool
	keepAlive     time.Duration
	stats         *stats
}

type stats struct {
	loads, unloads, adapters, releases, successions, restarts int
	reserved, late, unknown, intents, graceful, stale         int
}

func newMachine(kind state.FencingKind, s *stats) *machine {
	m := &machine{
		engine: &fakeEngine{
			enforced: kind == state.FencingEnforced,
			replicas: make(map[state.ReplicaKey]*loadedReplica),
		},
		now:       time.Unix(1_000_000, 0),
		inUse:     make(map[state.ReplicaKey]bool),
		keepAlive: 10 * time.Second,
		stats:     s,
	}
	m.log = append(m.log, logEntry{kind: state.KindLeaseTake})
	for i := range sizes {
		m.log = append(m.log, logEntry{kind: state.KindGrant, grant: state.Grant{ReplicaKey: key(i), Upstream: upstream}})
	}
	m.startSuccessor()
	m.storeAppend(0)
	return m
}

func (m *machine) kind() state.FencingKind {
	if m.engine.enforced {
		return state.FencingEnforced
	}
	return state.FencingIgnored
}

// startSuccessor replaces the agent, which is dead, by a new one.
func (m *machine) startSuccessor() {
	m.agent++
	m.readOffset, m.started, m.token = 0, false, 0
	m.listings = nil
	m.intentInForce = state.Intent{}
	mayEvictEarly := func(_ time.Time, _ state.ReplicaKey, _ account.Use, w account.WakeRequest) bool { return w.Benefit > 5 }
	m.account = account.New(account.Config{
		Upstream: upstream, Memory: capacity, Fencing: m.kind(),
	}, catalogue{}, mayEvictEarly)
	m.appends = append(m.appends, pendingAppend{m.agent, logEntry{kind: state.KindAgentStart, agent: m.agent}})
}

// latestRegistration returns the latest registration in the log.
func (m *machine) latestRegistration() (agent int, token state.Offset) {
	for i, entry := range m.log {
		if entry.kind == state.KindAgentStart {
			agent, token = entry.agent, state.Offset(i)
		}
	}
	return agent, token
}

// storeAppend moves pending append i to the log. Records of an agent that is not
// the latest registered one have no effect.
func (m *machine) storeAppend(i int) {
	p := m.appends[i]
	m.appends = slices.Delete(m.appends, i, i+1)
	if p.entry.kind != state.KindAgentStart {
		agent, _ := m.latestRegistration()
		p.entry.ignored = agent != p.agent
	}
	m.log = append(m.log, p.entry)
}

// grants returns the grants that are in force after a prefix of the log.
func (m *machine) grants(prefix int) []state.Grant {
	// The log is append-only, so the grants computed for a prefix stay valid.
	var grants []state.Grant
	done := min(prefix, len(m.grantsByPrefix)-1)
	if done >= 0 {
		grants = slices.Clone(m.grantsByPrefix[done])
	}
	for i := max(done, 0); i < prefix; i++ {
		entry := m.log[i]
		if i >= len(m.grantsByPrefix) {
			m.grantsByPrefix = append(m.grantsByPrefix, slices.Clone(grants))
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
	if prefix == len(m.grantsByPrefix) {
		m.grantsByPrefix = append(m.grantsByPrefix, slices.Clone(grants))
	}
	return grants
}

// readLog lets the agent read up to n more records of the log.
func (m *machine) readLog(n int) {
	for ; n > 0 && m.readOffset < len(m.log); n-- {
		entry := m.log[m.readOffset]
		offset := state.Offset(m.readOffset)
		m.readOffset++
		switch entry.kind {
		case state.KindAgentStart:
			if entry.agent == m.agent {
				m.token, m.started = offset, true
				m.account.Register(offset, m.intentInForce)
			} else if entry.agent > m.agent {
				m.account.Supersede()
			}
		case state.KindIntent:
			m.readIntent(entry)
		}
	}
	if m.readOffset == len(m.log) || m.started {
		m.account.SetGrants(m.grants(m.readOffset))
	}
}

func (m *machine) readIntent(entry logEntry) {
	if !entry.ignored {
		m.intentInForce = entry.intent
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
	u := account.Use{KeepAlive: m.keepAlive}
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
			m.recordOrder(t, cmd)
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

func (m *machine) recordOrder(t *rapid.T, cmd account.SendOrder) {
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
	m.engine.messages = append(m.engine.messages, &orderMessage{
		agent: m.agent, id: cmd.ID, order: order,
	})
	if !m.engine.enforced && m.outstanding() > 1 {
		t.Fatal("more than one order in flight on an engine that ignores tokens")
	}
}

// outstanding counts the orders whose result the agent still waits for.
func (m *machine) outstanding() int {
	count := 0
	for _, msg := range m.engine.messages {
		if msg.agent == m.agent && !msg.reportedUnknown {
			count++
		}
	}
	return count
}

// checkLoad checks that a load has an unrevoked grant in the part of the log
// that the agent has read and, if the engine ignores tokens, an intent in force.
func (m *machine) checkLoad(t *rapid.T, order platform.Order) {
	granted := slices.ContainsFunc(m.grants(m.readOffset), func(g state.Grant) bool {
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

// check verifies that the engine's memory use is within the capacity (invariant
// I2) and that every replica in it has a grant (invariant I1).
func (m *machine) check(t *rapid.T) {
	if used := m.engine.used(); used > capacity {
		t.Fatalf("invariant I2: %d of %d bytes in use: %v", used, capacity, m.engine.replicas)
	}
	grants := m.grants(len(m.log))
	for k := range m.engine.replicas {
		if !slices.ContainsFunc(grants, func(g state.Grant) bool { return g.ReplicaKey == k }) {
			t.Fatalf("invariant I1: %v is loaded without a grant", k)
		}
	}
}
