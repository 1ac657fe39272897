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

func TestMain(m *testing.M) { testenv.Main(m, testenv.Properties{Seed: 5, Checks: 1000, Steps: 60}) }

// decider is an entry with its own, lagging copy of the tables.
type decider struct {
	id     state.ProcessID
	tables *state.RegionTables
	lease  *lease.Machine
}

// runner is an upstream on a host with its agent, which acts only on grants that
// it has read. The engine's loaded replicas outlive the agent.
type runner struct {
	name   state.UpstreamName
	host   state.HostName
	health membership.Health
	tables *state.RegionTables
	run    string
	loaded map[state.Offset]state.Grant
	alive  bool
}

type regionWorld struct {
	*region
	now     time.Time
	log     []state.Positioned
	late    []state.Record
	names   []state.EntryName
	entries []*decider
	runners []*runner
	former  map[state.UpstreamName]state.Upstream
	effects map[string]int
}

func newRegionWorld(effects map[string]int) *regionWorld {
	w := &regionWorld{region: newRegion(), now: time.Unix(100, 0), effects: effects, former: map[state.UpstreamName]state.Upstream{}}
	w.tables = state.NewRegionTables()
	for i := range 5 {
		name := w.upstream(i, 2, 30*state.GiB)
		w.run(name)
	}
	w.model("m", 2, 20*state.GiB)
	w.model("n", 3, 15*state.GiB)
	for i := range 3 {
		w.names = append(w.names, state.EntryName(fmt.Sprint("e", i)))
		w.entries = append(w.entries, &decider{})
		w.restart(i, 0)
	}
	return w
}

// run starts the runner of an upstream on its configured host.
func (w *regionWorld) run(name state.UpstreamName) {
	u, _, _ := w.config.View().Upstream(name)
	w.runners = append(w.runners, &runner{name: name, host: u.Host, health: membership.Live, tables: state.NewRegionTables(), loaded: map[state.Offset]state.Grant{}})
}

// move deletes an upstream or lets it run on another host, while its old runner
// goes on.
func (w *regionWorld) move(t *rapid.T, name state.UpstreamName) {
	u, _, configured := w.config.View().Upstream(name)
	if !configured {
		u = w.former[name]
	}
	w.former[name] = u
	u.Host = state.HostName(fmt.Sprint("h", len(w.runners)))
	var next any = u
	deleted := configured && rapid.Bool().Draw(t, "deletes")
	if deleted {
		next = nil
	}
	if out := w.set(state.EntityUpstream, string(name), next); out.Effect != state.EffectApplied {
		t.Fatalf("move of %s: %+v", name, out)
	}
	if !deleted {
		w.run(name)
	}
}

// health is what a decider with a view of the tables knows of the runners.
func (w *regionWorld) health(view *state.RegionView) map[state.UpstreamName]membership.Health {
	health := map[state.UpstreamName]membership.Health{}
	for u := range membership.WatchedUpstreams(w.config.View(), view, "r") {
		for _, r := range w.runners {
			if r.name == u.Name && r.host == u.Host {
				health[u.Name] = r.health
			}
		}
	}
	return health
}

func (w *regionWorld) restart(i, run int) {
	id := state.ProcessID{Name: string(w.names[i]), Incarnation: fmt.Sprint(run)}
	*w.entries[i] = decider{id: id, tables: state.NewRegionTables(), lease: lease.NewMachine(id, lease.DefaultSettings(), w.now)}
}

// send appends a record, loses it, or lets it arrive later.
func (w *regionWorld) send(t *rapid.T, r state.Record) {
	switch rapid.SampledFrom([]string{"stored", "stored", "lost", "late", "stored"}).Draw(t, "append") {
	case "stored":
		w.store(r)
	case "late":
		w.late = append(w.late, r)
	}
}

func (w *regionWorld) store(r state.Record) {
	p := state.Positioned{Offset: state.Offset(len(w.log)), Time: w.now, Record: r}
	w.log = append(w.log, p)
	out := w.tables.Apply(p)
	w.effects[string(r.Kind)+" "+out.Effect.String()]++
}

func body[B state.Body](writer state.ProcessID, kind state.Kind, b B) state.Record {
	r, _ := state.NewRecord("", writer, kind, b)
	return r
}

// follow reads up to n records; a paused process reads none for a while.
func (w *regionWorld) follow(tables *state.RegionTables, n int) {
	from := int(tables.Offset()) + 1
	for _, p := range w.log[from:min(len(w.log), from+n)] {
		tables.Apply(p)
	}
}

func (w *regionWorld) decide(t *rapid.T) {
	e := rapid.SampledFrom(w.entries).Draw(t, "entry")
	if rapid.IntRange(0, 3).Draw(t, "reads") < 3 {
		w.follow(e.tables, 1000)
	}
	view := e.tables.View()
	in := lease.Input{Entries: w.names}
	in.Lease, in.Held = view.Lease()
	action := e.lease.Step(in, w.now)
	if action.Take != nil {
		w.send(t, body(e.id, state.KindLeaseTake, *action.Take))
	}
	if action.Renew != nil {
		w.send(t, body(e.id, state.KindLeaseRenew, *action.Renew))
	}
	// A decider plans on its own view even if it has lost the lease since:
	// only log order may matter.
	if !in.Held || in.Lease.Writer != e.id {
		return
	}
	w.in.Epoch, w.in.Config, w.in.Tables, w.in.Health = in.Lease.Epoch, w.config.View(), view, w.health(view)
	p := placement.MakePlan(w.in)
	for _, b := range p.Gone {
		w.send(t, body(e.id, state.KindHostGone, b))
	}
	for _, b := range p.Grants {
		w.send(t, body(e.id, state.KindGrant, b))
	}
	for _, b := range p.Revokes {
		w.send(t, body(e.id, state.KindRevoke, b))
	}
}

// act lets an agent register, load under its grants and give grants back.
func (w *regionWorld) act(t *rapid.T) {
	r := rapid.SampledFrom(w.runners).Draw(t, "agent")
	name := r.name
	if r.health == membership.Gone {
		t.Skip()
	}
	if !r.alive {
		r.alive, r.tables, r.run = true, state.NewRegionTables(), fmt.Sprint(r.host, "/", len(w.log))
	}
	id := state.ProcessID{Name: string(name), Incarnation: r.run}
	w.follow(r.tables, rapid.SampledFrom([]int{1000, 1, 1000}).Draw(t, "reads"))
	view := r.tables.View()
	latest, ok := view.Agent(name)
	if !ok || latest.Incarnation != r.run {
		// Not registered yet, void, or superseded. An agent that is void or
		// restarted registers again.
		w.send(t, body(id, state.KindAgentStart, state.AgentStart{Upstream: name, Incarnation: r.run, Host: r.host}))
		return
	}
	for _, g := range view.GrantsOn(name) {
		_, loaded := r.loaded[g.ID]
		switch {
		case g.Revoked:
			delete(r.loaded, g.ID)
			w.send(t, body(id, state.KindRelease, state.Release{Grant: g.ID, Agent: latest.Token}))
		case !loaded && len(r.loaded) == 0:
			// A released grant that this lagging view still shows must not
			// be loaded again: the agent knows its own releases.
			if _, kept := w.tables.View().Grant(g.ID); kept {
				r.loaded[g.ID] = g
			}
		}
	}
}

func (w *regionWorld) fault(t *rapid.T) {
	r := rapid.SampledFrom(w.runners).Draw(t, "upstream")
	switch rapid.SampledFrom([]string{"move", "health", "restart entry", "restart agent", "late", "limit", "late", "gone"}).Draw(t, "fault") {
	case "health":
		if r.health != membership.Gone {
			r.health = rapid.SampledFrom([]membership.Health{membership.Live, membership.Suspect, membership.Dead, membership.Leaving}).Draw(t, "health")
		}
	case "gone": // The host has really ended; its engine with it.
		r.health = membership.Gone
		clear(r.loaded)
	case "move":
		w.move(t, r.name)
	case "restart entry":
		w.restart(rapid.IntRange(0, 2).Draw(t, "entry"), len(w.log)+1)
	case "restart agent":
		r.alive = false
	case "limit":
		m, _, _ := w.config.View().Model("n")
		m.MaxReplicas = rapid.IntRange(0, 3).Draw(t, "limit")
		w.set(state.EntityModel, "n", m)
	case "late":
		if len(w.late) > 0 {
			w.store(w.late[0])
			w.late = w.late[1:]
		}
	}
}

// check is I1: every loaded replica has an unreleased grant in the log, and a
// model has no more of both than its highest limit.
func (w *regionWorld) check(t *rapid.T) {
	view, loaded := w.tables.View(), map[state.ModelName]int{}
	holder := map[state.Offset]*runner{}
	for _, r := range w.runners {
		for id, g := range r.loaded {
			if _, ok := view.Grant(id); !ok {
				t.Fatalf("I1: %s on %s has %+v loaded without a grant", r.name, r.host, g)
			}
			if other := holder[id]; other != nil {
				t.Fatalf("I1: %s has %+v loaded on %s and %s", r.name, g, r.host, other.host)
			}
			holder[id] = r
			loaded[g.Model]++
		}
	}
	for model, limit := range map[state.ModelName]int{"m": 2, "n": 3} {
		if granted := len(view.GrantsOf(model)); granted > limit || loaded[model] > granted {
			t.Fatalf("I1: %s has %d grants and %d replicas, limit %d", model, granted, loaded[model], limit)
		}
	}
}

// Guards I1 against deciders that are paused, restarted or have lost their
// lease, agents that die, appends that are lost or late, changed limits, and
// upstreams that are deleted or moved to another host while their agents run.
func TestDecidersUnderFaults(t *testing.T) {
	effects := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		w := newRegionWorld(effects)
		t.Repeat(map[string]func(*rapid.T){
			"": w.check, "decide": w.decide, "decide more": w.decide, "act": w.act, "act more": w.act, "fault": w.fault,
			"time": func(t *rapid.T) {
				w.now = w.now.Add(time.Duration(rapid.SampledFrom([]int{1, 3, 12}).Draw(t, "seconds")) * time.Second)
			},
		})
	})
	for _, want := range []string{"grant applied", "grant conflict", "lease.take applied", "lease.take conflict", "revoke applied", "release applied", "host.gone applied", "agent.start conflict"} {
		if effects[want] < 50 {
			t.Errorf("the schedules reach too little of %q: %v", want, effects)
		}
	}
	t.Log(effects)
}
