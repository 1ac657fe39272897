package placement_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lagoonvalve/lagoonvalve/internal/decide/membership"
	"github.com/lagoonvalve/lagoonvalve/internal/decide/placement"
	"github.com/lagoonvalve/lagoonvalve/internal/platform"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// fixture holds the configuration and the tables of a region. Both are built by
// applying records, as in a process.
type fixture struct {
	config *state.Config
	tables *state.RegionTables
	in     placement.Input
}

func newFixture() *fixture {
	r := &fixture{config: state.NewConfig(), tables: state.NewRegionTables()}
	r.in = placement.Input{
		Settings: placement.DefaultSettings(), Region: "r", Epoch: 0,
		Health: map[state.UpstreamName]membership.Health{},
		Cached: map[state.ReplicaKey][]placement.Cached{},
		Demand: map[state.ModelName]placement.Demand{},
	}
	r.setEntity(state.EntityTeam, "t", state.Team{Name: "t"})
	appendRecord(r, state.KindLeaseTake, state.LeaseTake{Replaces: state.NoOffset})
	return r
}

func (r *fixture) setEntity(kind state.EntityKind, name string, v any) state.Outcome {
	data, _ := json.Marshal(v)
	revision := state.Revision(0)
	view := r.config.View()
	if m, at, ok := view.Model(state.ModelName(name)); ok && kind == state.EntityModel && m.Name != "" {
		revision = at
	}
	if _, at, ok := view.Upstream(state.UpstreamName(name)); ok && kind == state.EntityUpstream {
		revision = at
	}
	if v == nil {
		data = nil // deletes
	}
	record, _ := state.NewRecord("", state.ProcessID{}, state.KindConfigChange, state.ConfigChange{Entity: kind, Name: name, Expected: revision, Value: data})
	return r.config.Apply(state.StoredRecord{Offset: r.config.Offset() + 1, Record: record})
}

func appendRecord[B state.Body](r *fixture, kind state.Kind, body B) state.Outcome {
	record, _ := state.NewRecord("", state.ProcessID{}, kind, body)
	return r.tables.Apply(state.StoredRecord{Offset: r.tables.Offset() + 1, Time: time.Unix(1, 0), Record: record})
}

func (r *fixture) addUpstream(i, centres int, memory state.Bytes) state.UpstreamName {
	name := state.UpstreamName(fmt.Sprintf("u%05d", i))
	r.setEntity(state.EntityUpstream, string(name), state.Upstream{
		Name: name, Kind: state.ModelRunner, Host: state.HostName("h" + string(name)), Region: "r",
		DataCentre: state.DataCentre(fmt.Sprint("dc", i%centres)), Memory: memory, Fencing: state.FencingEnforced,
		TrafficAddr: fmt.Sprintf("10.%d.%d.1:80", i/250, i%250), ControlAddr: fmt.Sprintf("10.%d.%d.1:81", i/250, i%250),
	})
	r.in.Health[name] = membership.Live
	return name
}

func (r *fixture) addModel(name state.ModelName, limit int, weights state.Bytes, pinned ...state.UpstreamName) state.ReplicaKey {
	m := state.Model{Name: name, Team: "t", MaxReplicas: limit, Pinned: pinned}
	r.setEntity(state.EntityModel, string(name), m)
	r.setEntity(state.EntityVersion, string(name)+"/1", state.ModelVersion{Model: name, Name: "1", Weights: weights})
	m.Active = "1"
	r.setEntity(state.EntityModel, string(name), m)
	return state.ReplicaKey{Model: name, Version: "1"}
}

func (r *fixture) plan() placement.Plan {
	r.in.Config, r.in.Tables = r.config.View(), r.tables.View()
	return placement.MakePlan(r.in)
}

// applyPlan makes a plan and applies its records. Every grant and revoke of a plan
// from an up-to-date snapshot must take effect.
func (r *fixture) applyPlan(t testing.TB) placement.Plan {
	p := r.plan()
	for _, b := range p.Gone {
		appendRecord(r, state.KindHostGone, b)
	}
	for _, b := range p.Grants {
		if out := appendRecord(r, state.KindGrant, b); out.Effect != state.EffectApplied {
			t.Fatalf("grant %+v: %+v", b, out)
		}
	}
	for _, b := range p.Revokes {
		if out := appendRecord(r, state.KindRevoke, b); out.Effect != state.EffectApplied {
			t.Fatalf("revoke %+v: %+v", b, out)
		}
	}
	return p
}

// referenceScore computes the score of a candidate from scratch.
func referenceScore(in placement.Input, m state.Model, key state.ReplicaKey, name state.UpstreamName, load map[state.UpstreamName]state.Bytes, used map[state.DataCentre]bool) int {
	u, _, _ := in.Config.Upstream(name)
	tier := 0
	for _, c := range in.Cached[key] {
		if c.Upstream == name {
			tier = max(tier, map[platform.CacheTier]int{platform.CacheMemory: 2000, platform.CacheDisk: 1000}[c.Tier])
		}
	}
	if slices.Contains(m.Pinned, name) {
		tier += 4000
	}
	if !used[u.DataCentre] {
		tier += 700
	}
	return tier - int(float64(load[name])/float64(u.Memory*state.Bytes(in.Settings.Oversubscription))*500)
}

// checkAgainstReference replays the plan's grants in order. Each must be valid, and
// no candidate may have a higher score at that point. It returns how many allowed
// places the plan left unused although a model had fewer grants than its target.
func checkAgainstReference(t *testing.T, in placement.Input, p placement.Plan) (missed int) {
	load, placed := map[state.UpstreamName]state.Bytes{}, map[state.ModelName]map[state.UpstreamName]bool{}
	used, total, usable := map[state.ModelName]map[state.DataCentre]bool{}, map[state.ModelName]int{}, map[state.ModelName]int{}
	serving := func(name state.UpstreamName) bool {
		h := in.Health[name]
		return (h == membership.Live || h == membership.Suspect || h == membership.Unknown) && !in.Config.Drained(name)
	}
	note := func(g state.Grant) {
		v, _, _ := in.Config.Version(g.ReplicaKey)
		load[g.Upstream] += v.Footprint()
		if placed[g.Model] == nil {
			placed[g.Model], used[g.Model] = map[state.UpstreamName]bool{}, map[state.DataCentre]bool{}
		}
		placed[g.Model][g.Upstream] = true
		total[g.Model]++
		if m, _, _ := in.Config.Model(g.Model); serving(g.Upstream) && !g.Revoked && g.Version == m.Active {
			u, _, _ := in.Config.Upstream(g.Upstream)
			used[g.Model][u.DataCentre] = true
			usable[g.Model]++
		}
	}
	for g := range in.Tables.Grants() {
		if in.Health[g.Upstream] != membership.Gone {
			note(g)
		}
	}
	allowed := func(key state.ReplicaKey, u state.Upstream) bool {
		v, _, _ := in.Config.Version(key)
		return in.Health[u.Name] == membership.Live && !in.Config.Drained(u.Name) && !placed[key.Model][u.Name] &&
			v.Footprint() <= u.Memory && load[u.Name]+v.Footprint() <= u.Memory*state.Bytes(in.Settings.Oversubscription)
	}
	for _, b := range p.Grants {
		m, _, _ := in.Config.Model(b.Model)
		chosen, _, _ := in.Config.Upstream(b.Upstream)
		if !allowed(b.ReplicaKey, chosen) || total[b.Model] >= m.MaxReplicas || b.Version != m.Active {
			t.Fatalf("grant %+v is not valid", b)
		}
		score := referenceScore(in, m, b.ReplicaKey, b.Upstream, load, used[b.Model])
		for u := range in.Config.Upstreams() {
			if allowed(b.ReplicaKey, u) && referenceScore(in, m, b.ReplicaKey, u.Name, load, used[b.Model]) > score {
				t.Fatalf("grant %+v has score %d; %s has a higher one", b, score, u.Name)
			}
		}
		note(state.Grant{ReplicaKey: b.ReplicaKey, Upstream: b.Upstream})
	}
	for m := range in.Config.Models() {
		target := min(m.MaxReplicas, max(in.Settings.IdleGrants, m.MinReplicas))
		if d := in.Demand[m.Name]; d.Replicas > 0 {
			target = min(m.MaxReplicas, max(target, d.Replicas+in.Settings.SpareGrants))
		}
		key := state.ReplicaKey{Model: m.Name, Version: m.Active}
		for u := range in.Config.Upstreams() {
			if usable[m.Name] < target && total[m.Name] < m.MaxReplicas && allowed(key, u) {
				missed++
			}
		}
	}
	return missed
}

// Guards against an error in the planner's index: it would then choose invalid,
// worse or fewer upstreams than a search over all of them. Meanwhile upstreams
// leave, die, drain and come back, limits change, and releases arrive late.
func TestPlanMatchesExhaustiveSearch(t *testing.T) {
	grants, revokes := 0, 0
	for seed := range uint64(150) {
		random := rand.New(rand.NewPCG(seed, 1))
		r := newFixture()
		var names []state.UpstreamName
		for i := range 4 + random.IntN(16) {
			names = append(names, r.addUpstream(i, 3, state.Bytes(20+random.IntN(60))*state.GiB))
		}
		pick := func() state.UpstreamName { return names[random.IntN(len(names))] }
		for i := range 6 + random.IntN(20) {
			key := r.addModel(state.ModelName(fmt.Sprint("m", i)), random.IntN(6), state.Bytes(1+random.IntN(60))*state.GiB, pick())
			for range random.IntN(4) {
				tier := []platform.CacheTier{platform.CacheMemory, platform.CacheDisk, platform.CacheRemote}[random.IntN(3)]
				r.in.Cached[key] = append(r.in.Cached[key], placement.Cached{Upstream: pick(), Tier: tier})
			}
		}
		for range 12 {
			switch name := pick(); random.IntN(5) {
			case 0:
				r.in.Health[name] = membership.Health(random.IntN(6))
			case 1:
				r.in.Health[name] = membership.Live
			case 2:
				r.setEntity(state.EntityDrain, "upstream/"+string(name), state.Drain{Upstream: name})
			case 3:
				m, _, ok := r.config.View().Model(state.ModelName(fmt.Sprint("m", random.IntN(6))))
				if ok {
					m.MaxReplicas = random.IntN(5)
					r.setEntity(state.EntityModel, string(m.Name), m)
				}
			default:
				r.in.Demand[state.ModelName(fmt.Sprint("m", random.IntN(6)))] = placement.Demand{Replicas: random.IntN(5), Benefit: random.Float64()}
			}
			p := r.plan()
			if missed := checkAgainstReference(t, r.in, p); missed > 0 {
				t.Fatalf("seed %d: the plan leaves allowed places unused: %+v", seed, p)
			}
			again := r.applyPlan(t)
			if fmt.Sprint(again) != fmt.Sprint(p) {
				t.Fatalf("seed %d: equal snapshots give different plans:\n%+v\n%+v", seed, p, again)
			}
			grants, revokes = grants+len(p.Grants), revokes+len(p.Revokes)
			for g := range r.tables.View().Grants() {
				if g.Revoked && random.IntN(2) == 0 {
					start := appendRecord(r, state.KindAgentStart, state.AgentStart{Upstream: g.Upstream})
					appendRecord(r, state.KindRelease, state.Release{Grant: g.ID, Agent: start.Offset})
				}
			}
		}
	}
	if grants < 2000 || revokes < 200 {
		t.Fatalf("the schedules give too few records: %d grants, %d revokes", grants, revokes)
	}
}

// Guards against a leaving upstream whose grant is not replaced, a host.gone record
// for a host that is only silent, a change of version that is not carried out or
// removes the capacity of the old version at once, and grants kept beyond a lowered
// limit.
func TestPlanScenarios(t *testing.T) {
	g := NewWithT(t)
	r := newFixture()
	for i := range 4 {
		r.addUpstream(i, 2, 80*state.GiB)
	}
	key := r.addModel("m", 3, 10*state.GiB)
	p := r.applyPlan(t)
	g.Expect(p.Grants).To(HaveLen(2))
	first, second := p.Grants[0].Upstream, p.Grants[1].Upstream
	g.Expect(first[5]%2).NotTo(Equal(second[5]%2), "different data centres")
	g.Expect(r.applyPlan(t).Grants).To(BeEmpty(), "the plan is applied already")

	r.in.Health[first] = membership.Leaving
	p = r.applyPlan(t)
	g.Expect(p.Grants).To(HaveLen(1), "replacement for the grant on the leaving upstream")
	g.Expect(p.Revokes).To(HaveLen(1))

	r.in.Health[first] = membership.Dead
	g.Expect(r.applyPlan(t).Gone).To(BeEmpty(), "a silent host keeps its grants")
	r.in.Health[first] = membership.Gone
	p = r.applyPlan(t)
	g.Expect(p.Gone).To(HaveLen(1))
	g.Expect(r.tables.View().GrantsOn(first)).To(BeEmpty())

	m, _, _ := r.config.View().Model("m")
	r.setEntity(state.EntityVersion, "m/2", state.ModelVersion{Model: "m", Name: "2", Weights: state.GiB})
	m.Active = "2"
	r.setEntity(state.EntityModel, "m", m)
	p = r.applyPlan(t)
	g.Expect(p.Grants).To(HaveLen(1), "the new version gets a grant first")
	g.Expect(p.Revokes).To(BeEmpty())
	g.Expect(r.applyPlan(t).Revokes).To(HaveLen(1), "then half of the old version's grants are revoked")

	m.MaxReplicas = 0
	r.setEntity(state.EntityModel, "m", m)
	r.applyPlan(t)
	for _, grant := range r.tables.View().GrantsOf(key.Model) {
		g.Expect(grant.Revoked).To(BeTrue(), "a limit of zero revokes all grants")
	}
}

// Guards against a second grant for one model while another has none.
func TestFirstGrantsComeFirst(t *testing.T) {
	g := NewWithT(t)
	r := newFixture()
	r.in.Settings.Oversubscription = 1
	r.addUpstream(0, 1, state.GiB)
	r.addUpstream(1, 1, state.GiB)
	r.addModel("a", 2, state.GiB)
	r.addModel("b", 2, state.GiB)
	p := r.applyPlan(t)
	g.Expect(p.Grants).To(HaveLen(2))
	g.Expect(p.Grants[0].Model).NotTo(Equal(p.Grants[1].Model))
	g.Expect(p.Shortfalls).To(HaveLen(2))
}

// BenchmarkPlan measures one plan of a decider: at rest, with all grants in force,
// and with every model still to be placed.
func BenchmarkPlan(b *testing.B) {
	for _, upstreams := range []int{100, 1000, 1500, 12000} {
		r := newFixture()
		for i := range upstreams {
			r.addUpstream(i, 22, 80*state.GiB)
		}
		for i := range 590 {
			r.addModel(state.ModelName(fmt.Sprintf("m%03d", i)), 35, state.Bytes(1+i%16)*state.GiB)
			r.in.Demand[state.ModelName(fmt.Sprintf("m%03d", i))] = placement.Demand{Replicas: i % 12 / 11 * 20}
		}
		r.in.Settings.MaxRecords = 1 << 20
		r.in.Config, r.in.Tables = r.config.View(), r.tables.View()
		empty := r.in
		r.applyPlan(b)
		r.in.Config, r.in.Tables = r.config.View(), r.tables.View()
		for name, in := range map[string]placement.Input{"place-all": empty, "at-rest": r.in} {
			b.Run(fmt.Sprintf("%s/%d", name, upstreams), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					placement.MakePlan(in)
				}
			})
		}
	}
}

// Guards against grants that stay on the upstream that became known first: models
// are then refused for lack of memory although another upstream is empty. Guards
// also against moves of grants in use or pinned, and against endless moves.
func TestUnusedGrantsMoveToEmptyUpstreams(t *testing.T) {
	g := NewWithT(t)
	r := newFixture()
	first := r.addUpstream(1, 1, 4*state.GiB)
	for i := range 6 {
		r.addModel(state.ModelName(fmt.Sprint("m", i)), 1, 2*state.GiB)
	}
	r.addModel("pinned", 1, 2*state.GiB, first)
	r.in.Demand["m0"] = placement.Demand{Replicas: 1, Loaded: 1}
	token := appendRecord(r, state.KindAgentStart, state.AgentStart{Upstream: first, Incarnation: "i", Fencing: state.FencingEnforced}).Offset
	settle := func() (moves int) {
		for range 40 {
			plan := r.applyPlan(t)
			for _, revoke := range plan.Revokes {
				moves++
				appendRecord(r, state.KindRelease, state.Release{Grant: revoke.Grant, Agent: token})
			}
			if len(plan.Revokes)+len(plan.Grants) == 0 {
				return moves
			}
		}
		t.Fatal("the plans do not become empty")
		return 0
	}
	g.Expect(settle()).To(BeZero())
	g.Expect(r.tables.View().GrantsOn(first)).To(HaveLen(7))

	second := r.addUpstream(2, 1, 4*state.GiB)
	g.Expect(settle()).To(Equal(2), "as many as fit into the free memory")
	for _, grant := range r.tables.View().GrantsOn(second) {
		g.Expect(grant.Model).NotTo(BeElementOf(state.ModelName("m0"), state.ModelName("pinned")))
	}
}
