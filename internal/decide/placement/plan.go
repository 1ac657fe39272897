package placement

import (
	"cmp"
	"slices"

	"github.com/lagoonvalve/lagoonvalve/internal/decide/membership"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// MakePlan returns the plan for the snapshot. Equal snapshots give equal plans.
func MakePlan(in Input) Plan {
	p := &planner{in: in, fleet: newFleet(in)}
	p.gone()
	p.countLoads()
	models := p.survey()
	// Models without any usable grant come first: a second grant elsewhere
	// is worth less than the only one.
	slices.SortStableFunc(models, compareNeed)
	for _, m := range models {
		p.grantUpTo(m, min(m.target, 1))
	}
	for _, m := range models {
		p.grantUpTo(m, m.target)
		p.noteShortfall(m)
	}
	for _, m := range models {
		p.revoke(m)
	}
	p.revokeOrphans()
	p.rebalance(models)
	p.plan.Revokes = p.plan.Revokes[:min(len(p.plan.Revokes), max(0, in.Settings.MaxRecords-len(p.plan.Grants)))]
	return p.plan
}

type planner struct {
	in      Input
	fleet   *fleet
	orphans []state.Grant
	plan    Plan
}

// demandOf is a model with its grants as the plan sees them.
type demandOf struct {
	model   state.Model
	key     state.ReplicaKey
	size    state.Bytes
	benefit float64
	target  int
	// room is how many more grants the limit allows.
	room int
	// kept are the unreleased grants that no host.gone of this plan frees.
	kept []state.Grant
	// usable counts those that new work can use, granted the new ones.
	usable  int
	granted int
	// centres counts the usable grants by data centre.
	centres map[state.DataCentre]int
	taken   map[state.UpstreamName]bool
	// static scores the pinned and the caching upstreams.
	static map[state.UpstreamName]int
}

func compareNeed(a, b *demandOf) int {
	return cmp.Or(cmp.Compare(b.benefit, a.benefit), cmp.Compare(a.model.Name, b.model.Name))
}

// gone plans host.gone for hosts all of whose upstreams are gone, as far as
// they still have something in the tables.
func (p *planner) gone() {
	for _, host := range p.fleet.goneHosts {
		names := p.fleet.byHost[host]
		held := func(name state.UpstreamName) bool {
			_, registered := p.in.Tables.Agent(name)
			return registered || len(p.in.Tables.GrantsOn(name)) > 0
		}
		if slices.ContainsFunc(names, held) {
			p.plan.Gone = append(p.plan.Gone, state.HostGone{Epoch: p.in.Epoch, Host: host, Upstreams: names})
		}
	}
}

// countLoads adds up the granted memory of each upstream and finds grants of
// models that are no longer configured.
func (p *planner) countLoads() {
	for g := range p.in.Tables.Grants() {
		if n := p.fleet.nodes[g.Upstream]; n != nil {
			if version, _, ok := p.in.Config.Version(g.ReplicaKey); ok {
				n.load += version.Footprint()
			}
		}
		if _, _, ok := p.in.Config.Model(g.Model); !ok {
			p.orphans = append(p.orphans, g)
		}
	}
	p.fleet.buildIndex()
}

func (p *planner) survey() []*demandOf {
	var models []*demandOf
	for m := range p.in.Config.Models() {
		models = append(models, p.surveyModel(m))
	}
	return models
}

func (p *planner) surveyModel(m state.Model) *demandOf {
	wanted := p.in.Demand[m.Name]
	d := &demandOf{
		model: m, key: state.ReplicaKey{Model: m.Name, Version: m.Active}, benefit: wanted.Benefit,
		centres: map[state.DataCentre]int{}, taken: map[state.UpstreamName]bool{},
	}
	for _, g := range p.in.Tables.GrantsOf(m.Name) {
		n := p.fleet.nodes[g.Upstream]
		if n != nil && n.gone {
			continue
		}
		d.kept = append(d.kept, g)
		d.taken[g.Upstream] = true
		if g.Version == m.Active && !g.Revoked && n != nil && n.serving {
			d.usable++
			d.centres[n.centre]++
		}
	}
	d.room = max(0, m.MaxReplicas-len(d.kept))
	version, _, ok := p.in.Config.Version(d.key)
	if !ok {
		return d // Without an active version there is nothing to grant.
	}
	d.size = version.Footprint()
	d.target = max(p.in.Settings.Standing, m.MinReplicas)
	if wanted.Replicas > 0 {
		d.target = max(d.target, wanted.Replicas+p.in.Settings.Spare)
	}
	d.target = min(d.target, m.MaxReplicas)
	return d
}

func (p *planner) grantUpTo(d *demandOf, target int) {
	for d.usable < target && d.room > 0 && len(p.plan.Grants) < p.in.Settings.MaxRecords {
		n := p.fleet.best(p.in, d)
		if n == nil {
			return
		}
		p.fleet.addLoad(n, d.size)
		d.taken[n.name] = true
		d.centres[n.centre]++
		d.usable++
		d.granted++
		d.room--
		p.plan.Grants = append(p.plan.Grants, state.GrantBody{
			Epoch: p.in.Epoch, ReplicaKey: d.key, Upstream: n.name,
			Limit: d.model.MaxReplicas, Config: p.in.Config.Offset(),
		})
	}
}

func (p *planner) noteShortfall(d *demandOf) {
	missing := d.target - d.usable
	if missing <= 0 {
		return
	}
	reason := "no upstream has room"
	switch {
	case d.room == 0:
		reason = "grants that new work cannot use hold the limit"
	case len(p.plan.Grants) >= p.in.Settings.MaxRecords:
		reason = "the plan is full"
	}
	p.plan.Shortfalls = append(p.plan.Shortfalls, Shortfall{Model: d.model.Name, Missing: missing, Reason: reason})
}

// revoke asks for the return of grants on leaving upstreams, of inactive
// versions and beyond the limit.
func (p *planner) revoke(d *demandOf) {
	staying, old := 0, []state.Grant(nil)
	var current []state.Grant
	for _, g := range d.kept {
		n := p.fleet.nodes[g.Upstream]
		switch {
		case g.Revoked:
		case n == nil || n.leaving || d.target == 0 && d.size == 0:
			p.revokeGrant(g)
		case g.Version != d.model.Active:
			old = append(old, g)
			staying++
		default:
			current = append(current, g)
			staying++
		}
	}
	staying -= p.revokeOld(d, old, len(current))
	if excess := staying - d.model.MaxReplicas; excess > 0 {
		p.revokeWorst(d, append(p.unrevoked(old), current...), excess)
	}
}

// revokeOld asks for half of the grants of inactive versions at a time, and
// for none while places for the active version are on their way, so that a
// change of version does not take a model's whole capacity.
func (p *planner) revokeOld(d *demandOf, old []state.Grant, current int) int {
	returning := slices.ContainsFunc(d.kept, func(g state.Grant) bool {
		n := p.fleet.nodes[g.Upstream]
		return g.Revoked && g.Version != d.model.Active && n != nil && n.serving
	})
	if len(old) == 0 || current == 0 && (d.granted > 0 || returning) {
		return 0
	}
	count := (len(old) + 1) / 2
	for _, g := range old[:count] {
		p.revokeGrant(g)
	}
	return count
}

// revokeWorst revokes count of the grants: inactive versions first, then those
// that new work cannot use, then those with the least to lose.
func (p *planner) revokeWorst(d *demandOf, grants []state.Grant, count int) {
	d.scoreStatic(p.in)
	worth := func(g state.Grant) int {
		value := 0
		if g.Version == d.model.Active {
			value += 4 * scorePinned
		}
		if n := p.fleet.nodes[g.Upstream]; n != nil && n.serving {
			value += 2 * scorePinned
		}
		return value + d.static[g.Upstream]
	}
	slices.SortStableFunc(grants, func(a, b state.Grant) int {
		return cmp.Or(cmp.Compare(worth(a), worth(b)), cmp.Compare(b.ID, a.ID))
	})
	for _, g := range grants[:count] {
		p.revokeGrant(g)
	}
}

func (p *planner) revokeOrphans() {
	for _, g := range p.orphans {
		if n := p.fleet.nodes[g.Upstream]; !g.Revoked && (n == nil || !n.gone) {
			p.revokeGrant(g)
		}
	}
}

func (p *planner) revokeGrant(g state.Grant) {
	p.plan.Revokes = append(p.plan.Revokes, state.Revoke{Epoch: p.in.Epoch, Grant: g.ID})
}

// unrevoked returns the grants that this plan does not revoke.
func (p *planner) unrevoked(grants []state.Grant) []state.Grant {
	var left []state.Grant
	for _, g := range grants {
		if !slices.ContainsFunc(p.plan.Revokes, func(r state.Revoke) bool { return r.Grant == g.ID }) {
			left = append(left, g)
		}
	}
	return left
}

// newFleet collects the region's upstreams. Model runners become nodes, and so
// do those that the configuration no longer has, which have only grants to give
// back; the others only matter for whether their host is gone.
func newFleet(in Input) *fleet {
	f := &fleet{
		settings: in.Settings,
		nodes:    make(map[state.UpstreamName]*node, len(in.Health)),
		byHost:   map[state.HostName][]state.UpstreamName{},
	}
	heard := map[state.HostName]bool{}
	for u := range membership.WatchedUpstreams(in.Config, in.Tables, in.Region) {
		health := in.Health[u.Name]
		f.byHost[u.Host] = append(f.byHost[u.Host], u.Name)
		heard[u.Host] = heard[u.Host] || health != membership.Gone
		if u.Kind != state.ModelRunner && !u.Former {
			continue
		}
		drained := u.Former || in.Config.Drained(u.Name)
		f.nodes[u.Name] = &node{
			name: u.Name, host: u.Host, centre: u.DataCentre, memory: u.Memory,
			eligible: health == membership.Live && !drained,
			// Unknown counts as serving: a decider that has just started must
			// not replace what it has no report of yet.
			serving: (health == membership.Live || health == membership.Suspect || health == membership.Unknown) && !drained,
			leaving: health == membership.Leaving || drained,
		}
	}
	for host := range f.byHost {
		if !heard[host] {
			f.goneHosts = append(f.goneHosts, host)
		}
	}
	slices.Sort(f.goneHosts)
	for _, n := range f.nodes {
		n.gone = !heard[n.host]
	}
	return f
}
