package placement_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/lagoonvalve/lagoonvalve/internal/decide/lease"
	"github.com/lagoonvalve/lagoonvalve/internal/decide/membership"
	"github.com/lagoonvalve/lagoonvalve/internal/decide/placement"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
	"github.com/lagoonvalve/lagoonvalve/internal/testenv"
)

func TestMain(m *testing.M) { testenv.Main(m, testenv.RapidDefaults{Seed: 5, Checks: 1000, Steps: 60}) }

// decider is an entry that may hold the decider lease. Its copy of the tables
// lags behind the log while the entry is paused.
type decider struct {
	id     state.ProcessID
	tables *state.RegionTables
	lease  *lease.Machine
}

// runner is an upstream on a host, with its agent. The agent acts only on grants
// that it has read from the log. Loaded replicas outlive a restart of the agent.
type runner struct {
	name        state.UpstreamName
	host        state.HostName
	health      membership.Health
	tables      *state.RegionTables
	incarnation string
	loaded      map[state.Offset]state.Grant
	alive       bool
}

// harness simulates a region: a log, entries that compete for the decider lease,
// and agents. Appends may be lost or delayed.
type harness struct {
	*fixture
	now             time.Time
	log             []state.StoredRecord
	lateAppends     []state.Record
	names           []state.EntryName
	entries         []*decider
	runners         []*runner
	formerUpstreams map[state.UpstreamName]state.Upstream
	effects         map[string]int
}

func newHarness(effects map[string]int) *harness {
	h := &harness{fixture: newFixture(), now: time.Unix(100, 0), effects: effects, formerUpstreams: map[state.UpstreamName]state.Upstream{}}
	h.tables = state.NewRegionTables()
	for i := range 5 {
		name := h.addUpstream(i, 2, 30*state.GiB)
		h.startRunner(name)
	}
	h.addModel("m", 2, 20*state.GiB)
	h.addModel("n", 3, 15*state.GiB)
	for i := range 3 {
		h.names = append(h.names, state.EntryName(fmt.Sprint("e", i)))
		h.entries = append(h.entries, &decider{})
		h.restartEntry(i, 0)
	}
	return h
}

// startRunner starts the runner of an upstream on its configured host.
func (h *harness) startRunner(name state.UpstreamName) {
	u, _, _ := h.config.View().Upstream(name)
	h.runners = append(h.runners, &runner{name: name, host: u.Host, health: membership.Live, tables: state.NewRegionTables(), loaded: map[state.Offset]state.Grant{}})
}

// moveUpstream deletes an upstream or starts it on another host, while its old
// runner keeps running.
func (h *harness) moveUpstream(t *rapid.T, name state.UpstreamName) {
	u, _, configured := h.config.View().Upstream(name)
	if !configured {
		u = h.formerUpstreams[name]
	}
	h.formerUpstreams[name] = u
	u.Host = state.HostName(fmt.Sprint("h", len(h.runners)))
	var next any = u
	deleted := configured && rapid.Bool().Draw(t, "deletes")
	if deleted {
		next = nil
	}
	if out := h.setEntity(state.EntityUpstream, string(name), next); out.Effect != state.EffectApplied {
		t.Fatalf("move of %s: %+v", name, out)
	}
	if !deleted {
		h.startRunner(name)
	}
}

// health returns the health of the runners as known to a decider with this view
// of the tables.
func (h *harness) health(view *state.RegionView) map[state.UpstreamName]membership.Health {
	health := map[state.UpstreamName]membership.Health{}
	for u := range membership.WatchedUpstreams(h.config.View(), view, "r") {
		for _, r := range h.runners {
			if r.name == u.Name && r.host == u.Host {
				health[u.Name] = r.health
			}
		}
	}
	return health
}

func (h *harness) restartEntry(i, incarnation int) {
	id := state.ProcessID{Name: string(h.names[i]), Incarnation: fmt.Sprint(incarnation)}
	*h.entries[i] = decider{id: id, tables: state.NewRegionTables(), lease: lease.NewMachine(id, lease.DefaultSettings(), h.now)}
}

// send appends a record, loses it, or delays it.
func (h *harness) send(t *rapid.T, r state.Record) {
	switch rapid.SampledFrom([]string{"stored", "stored", "lost", "late", "stored"}).Draw(t, "append") {
	case "stored":
		h.store(r)
	case "late":
		h.lateAppends = append(h.lateAppends, r)
	}
}

func (h *harness) store(r state.Record) {
	p := state.StoredRecord{Offset: state.Offset(len(h.log)), Time: h.now, Record: r}
	h.log = append(h.log, p)
	out := h.tables.Apply(p)
	h.effects[string(r.Kind)+" "+out.Effect.String()]++
}

func newRecord[B state.Body](writer state.ProcessID, kind state.Kind, b B) state.Record {
	r, _ := state.NewRecord("", writer, kind, b)
	return r
}

// readLog applies up to n further records of the log to a copy of the tables.
func (h *harness) readLog(tables *state.RegionTables, n int) {
	from := int(tables.Offset()) + 1
	for _, p := range h.log[from:min(len(h.log), from+n)] {
		tables.Apply(p)
	}
}

func (h *harness) decide(t *rapid.T) {
	e := rapid.SampledFrom(h.entries).Draw(t, "entry")
	if rapid.IntRange(0, 3).Draw(t, "reads") < 3 {
		h.readLog(e.tables, 1000)
	}
	view := e.tables.View()
	in := lease.Input{Entries: h.names}
	in.Lease, in.Held = view.Lease()
	action := e.lease.Step(in, h.now)
	if action.Take != nil {
		h.send(t, newRecord(e.id, state.KindLeaseTake, *action.Take))
	}
	if action.Renew != nil {
		h.send(t, newRecord(e.id, state.KindLeaseRenew, *action.Renew))
	}
	// A decider plans on its own view even if it has lost the lease since then:
	// only the order of the log may decide which records take effect.
	if !in.Held || in.Lease.Writer != e.id {
		return
	}
	h.in.Epoch, h.in.Config, h.in.Tables, h.in.Health = in.Lease.Epoch, h.config.View(), view, h.health(view)
	p := placement.MakePlan(h.in)
	for _, b := range p.Gone {
		h.send(t, newRecord(e.id, state.KindHostGone, b))
	}
	for _, b := range p.Grants {
		h.send(t, newRecord(e.id, state.KindGrant, b))
	}
	for _, b := range p.Revokes {
		h.send(t, newRecord(e.id, state.KindRevoke, b))
	}
}

// runAgent lets an agent register, load a model that it has a grant for, and
// release revoked grants.
func (h *harness) runAgent(t *rapid.T) {
	r := rapid.SampledFrom(h.runners).Draw(t, "agent")
	name := r.name
	if r.health == membership.Gone {
		t.Skip()
	}
	if !r.alive {
		r.alive, r.tables, r.incarnation = true, state.NewRegionTables(), fmt.Sprint(r.host, "/", len(h.log))
	}
	id := state.ProcessID{Name: string(name), Incarnation: r.incarnation}
	h.readLog(r.tables, rapid.SampledFrom([]int{1000, 1, 1000}).Draw(t, "reads"))
	view := r.tables.View()
	latest, ok := view.Agent(name)
	if !ok || latest.Incarnation != r.incarnation {
		// The agent is not registered, or its registration has ended or was
		// replaced: it registers (again).
		h.send(t, newRecord(id, state.KindAgentStart, state.AgentStart{Upstream: name, Incarnation: r.incarnation, Host: r.host}))
		return
	}
	for _, g := range view.GrantsOn(name) {
		_, loaded := r.loaded[g.ID]
		switch {
		case g.Revoked:
			delete(r.loaded, g.ID)
			h.send(t, newRecord(id, state.KindRelease, state.Release{Grant: g.ID, Agent: latest.Token}))
		case !loaded && len(r.loaded) == 0:
			// The agent's lagging view may still show a grant that it has
			// released. An agent remembers its own releases and does not load
			// such a grant again.
			if _, kept := h.tables.View().Grant(g.ID); kept {
				r.loaded[g.ID] = g
			}
		}
	}
}

func (h *harness) injectFault(t *rapid.T) {
	r := rapid.SampledFrom(h.runners).Draw(t, "upstream")
	switch rapid.SampledFrom([]string{"move", "health", "restart entry", "restart agent", "late", "limit", "late", "gone"}).Draw(t, "fault") {
	case "health":
		if r.health != membership.Gone {
			r.health = rapid.SampledFrom([]membership.Health{membership.Live, membership.Suspect, membership.Dead, membership.Leaving}).Draw(t, "health")
		}
	case "gone": // The host has ended, and its engine with it.
		r.health = membership.Gone
		clear(r.loaded)
	case "move":
		h.moveUpstream(t, r.name)
	case "restart entry":
		h.restartEntry(rapid.IntRange(0, 2).Draw(t, "entry"), len(h.log)+1)
	case "restart agent":
		r.alive = false
	case "limit":
		m, _, _ := h.config.View().Model("n")
		m.MaxReplicas = rapid.IntRange(0, 3).Draw(t, "limit")
		h.setEntity(state.EntityModel, "n", m)
	case "late":
		if len(h.lateAppends) > 0 {
			h.store(h.lateAppends[0])
			h.lateAppends = h.lateAppends[1:]
		}
	}
}

// checkInvariant checks invariant I1: every loaded replica has an unreleased grant
// in the log, no grant is used on two hosts, and no model has more grants or
// loaded replicas than its highest limit.
func (h *harness) checkInvariant(t *rapid.T) {
	view, loaded := h.tables.View(), map[state.ModelName]int{}
	holder := map[state.Offset]*runner{}
	for _, r := range h.runners {
		for id, g := range r.loaded {
			if _, ok := view.Grant(id); !ok {
				t.Fatalf("invariant I1: %s on %s has %+v loaded without a grant", r.name, r.host, g)
			}
			if other := holder[id]; other != nil {
				t.Fatalf("invariant I1: %s has %+v loaded on %s and %s", r.name, g, r.host, other.host)
			}
			holder[id] = r
			loaded[g.Model]++
		}
	}
	for model, limit := range map[state.ModelName]int{"m": 2, "n": 3} {
		if granted := len(view.GrantsOf(model)); granted > limit || loaded[model] > granted {
			t.Fatalf("invariant I1: %s has %d grants and %d replicas, limit %d", model, granted, loaded[model], limit)
		}
	}
}

// Guards against replicas that are loaded without a grant or beyond the limit
// (invariant I1): deciders lag, restart or lose the lease, agents restart, hosts
// end, appends are lost or delayed, limits change, and upstreams are deleted or
// moved to another host while their agents run.
func TestDecidersUnderFaults(t *testing.T) {
	effects := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		h := newHarness(effects)
		t.Repeat(map[string]func(*rapid.T){
			"": h.checkInvariant, "decide": h.decide, "decide more": h.decide, "act": h.runAgent, "act more": h.runAgent, "fault": h.injectFault,
			"time": func(t *rapid.T) {
				h.now = h.now.Add(time.Duration(rapid.SampledFrom([]int{1, 3, 12}).Draw(t, "seconds")) * time.Second)
			},
		})
	})
	for _, want := range []string{"grant applied", "grant conflict", "lease.take applied", "lease.take conflict", "revoke applied", "release applied", "host.gone applied", "agent.start conflict"} {
		if effects[want] < 50 {
			t.Errorf("the schedules reach %q fewer than 50 times: %v", want, effects)
		}
	}
	t.Log(effects)
}
