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
	p.planHostGone()
	p.countGrantedMemory()
	models := p.collectModels()
	// Every model gets its first usable grant before any gets a second one:
	// the first is worth more.
	slices.SortStableFunc(models, compareBenefit)
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

// modelDemand is the planning state of a model: how many grants it should have,
// those it has, and those that the plan adds.
type modelDemand struct {
	model   state.Model
	key     state.ReplicaKey
	size    state.Bytes
	benefit float64
	target  int
	// headroom is how many more grants the model's replica limit allows.
	headroom int
	// kept lists the grants that are not released and that no host.gone record
	// of this plan ends.
	kept []state.Grant
	// usable counts the grants that new requests can use, including those that
	// this plan adds.
	usable int
	// granted counts the grants that this plan adds.
	granted int
	// usableByCentre counts the usable grants by data centre.
	usableByCentre map[state.DataCentre]int
	// hasGrant is the set of upstreams that hold a grant of the model.
	hasGrant map[state.UpstreamName]bool
	// baseScores holds the scores of the upstreams that are pinned or cache the
	// checkpoint, nil until they are computed.
	baseScores map[state.UpstreamName]int
}

func compareBenefit(a, b *modelDemand) int {
	return cmp.Or(cmp.Compare(b.benefit, a.benefit), cmp.Compare(a.model.Name, b.model.Name))
}

// planHostGone plans a host.gone record for each host that is gone with all its
// upstreams, if one of them still has a registration or a grant in the tables.
func (p *planner) planHostGone() {
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

// countGrantedMemory adds up the granted memory of each upstream and collects the
// grants of models that are no longer configured.
func (p *planner) countGrantedMemory() {
	for g := range p.in.Tables.Grants() {
		if n := p.fleet.nodes[g.Upstream]; n != nil {
			if version, _, ok := p.in.Config.Version(g.ReplicaKey); ok {
				n.grantedMemory += version.Footprint()
			}
		}
		if _, _, ok := p.in.Config.Model(g.Model); !ok {
			p.orphans = append(p.orphans, g)
		}
	}
	p.fleet.buildIndex()
}

func (p *planner) collectModels() []*modelDemand {
	var models []*modelDemand
	for m := range p.in.Config.Models() {
		models = append(models, p.collectModel(m))
	}
	return models
}

func (p *planner) collectModel(m state.Model) *modelDemand {
	wanted := p.in.Demand[m.Name]
	d := &modelDemand{
		model: m, key: state.ReplicaKey{Model: m.Name, Version: m.Active}, benefit: wanted.Benefit,
		usableByCentre: map[state.DataCentre]int{}, hasGrant: map[state.UpstreamName]bool{},
	}
	for _, g := range p.in.Tables.GrantsOf(m.Name) {
		n := p.fleet.nodes[g.Upstream]
		if n != nil && n.gone {
			continue
		}
		d.kept = append(d.kept, g)
		d.hasGrant[g.Upstream] = true
		if g.Version == m.Active && !g.Revoked && n != nil && n.serving {
			d.usable++
			d.usableByCentre[n.centre]++
		}
	}
	d.headroom = max(0, m.MaxReplicas-len(d.kept))
	version, _, ok := p.in.Config.Version(d.key)
	if !ok {
		return d // Without an active version, the target stays zero.
	}
	d.size = version.Footprint()
	d.target = max(p.in.Settings.IdleGrants, m.MinReplicas)
	if wanted.Replicas > 0 {
		d.target = max(d.target, wanted.Replicas+p.in.Settings.SpareGrants)
	}
	d.target = min(d.target, m.MaxReplicas)
	return d
}

func (p *planner) grantUpTo(d *modelDemand, target int) {
	for d.usable < target && d.headroom > 0 && len(p.plan.Grants) < p.in.Settings.MaxRecords {
		n := p.fleet.bestNode(p.in, d)
		if n == nil {
			return
		}
		p.fleet.addGrantedMemory(n, d.size)
		d.hasGrant[n.name] = true
		d.usableByCentre[n.centre]++
		d.usable++
		d.granted++
		d.headroom--
		p.plan.Grants = append(p.plan.Grants, state.GrantBody{
			Epoch: p.in.Epoch, ReplicaKey: d.key, Upstream: n.name,
			Limit: d.model.MaxReplicas, ConfigOffset: p.in.Config.Offset(),
		})
	}
}

func (p *planner) noteShortfall(d *modelDemand) {
	missing := d.target - d.usable
	if missing <= 0 {
		return
	}
	reason := "no eligible upstream has room for another grant"
	switch {
	case d.headroom == 0:
		reason = "grants that new requests cannot use take up the replica limit"
	case len(p.plan.Grants) >= p.in.Settings.MaxRecords:
		reason = "the plan has reached its maximum number of records"
	}
	p.plan.Shortfalls = append(p.plan.Shortfalls, Shortfall{Model: d.model.Name, Missing: missing, Reason: reason})
}

// revoke revokes the grants of a model that are on leaving or missing upstreams,
// those of inactive versions, and those beyond the replica limit. Without an
// active version it revokes all.
func (p *planner) revoke(d *modelDemand) {
	staying, inactive := 0, []state.Grant(nil)
	var current []state.Grant
	for _, g := range d.kept {
		n := p.fleet.nodes[g.Upstream]
		switch {
		case g.Revoked:
		case n == nil || n.leaving || d.target == 0 && d.size == 0:
			p.revokeGrant(g)
		case g.Version != d.model.Active:
			inactive = append(inactive, g)
			staying++
		default:
			current = append(current, g)
			staying++
		}
	}
	staying -= p.revokeInactive(d, inactive, len(current))
	if excess := staying - d.model.MaxReplicas; excess > 0 {
		p.revokeLeastValuable(d, append(p.unrevoked(inactive), current...), excess)
	}
}

// revokeInactive revokes half of the grants of inactive versions at a time, so
// that a change of version does not remove a model's whole capacity at once. It
// revokes none while the active version has no earlier grant but gets one by
// this plan, or waits for a release on a serving upstream. It returns the
// number of revoked grants.
func (p *planner) revokeInactive(d *modelDemand, inactive []state.Grant, current int) int {
	awaitingRelease := slices.ContainsFunc(d.kept, func(g state.Grant) bool {
		n := p.fleet.nodes[g.Upstream]
		return g.Revoked && g.Version != d.model.Active && n != nil && n.serving
	})
	if len(inactive) == 0 || current == 0 && (d.granted > 0 || awaitingRelease) {
		return 0
	}
	count := (len(inactive) + 1) / 2
	for _, g := range inactive[:count] {
		p.revokeGrant(g)
	}
	return count
}

// revokeLeastValuable revokes count of the grants: inactive versions first, then
// those that new requests cannot use, then those with the lowest base score. Of
// equals, the newest goes first.
func (p *planner) revokeLeastValuable(d *modelDemand, grants []state.Grant, count int) {
	d.computeBaseScores(p.in)
	worth := func(g state.Grant) int {
		value := 0
		if g.Version == d.model.Active {
			value += 4 * scorePinned
		}
		if n := p.fleet.nodes[g.Upstream]; n != nil && n.serving {
			value += 2 * scorePinned
		}
		return value + d.baseScores[g.Upstream]
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
// do upstreams that are no longer configured, whose grants have to be revoked.
// The others only count when deciding whether their host is gone.
func newFleet(in Input) *fleet {
	f := &fleet{
		settings: in.Settings,
		nodes:    make(map[state.UpstreamName]*node, len(in.Health)),
		byHost:   map[state.HostName][]state.UpstreamName{},
	}
	present := map[state.HostName]bool{}
	for u := range membership.WatchedUpstreams(in.Config, in.Tables, in.Region) {
		health := in.Health[u.Name]
		f.byHost[u.Host] = append(f.byHost[u.Host], u.Name)
		present[u.Host] = present[u.Host] || health != membership.Gone
		if u.Kind != state.ModelRunner && !u.Former {
			continue
		}
		drained := u.Former || in.Config.Drained(u.Name)
		f.nodes[u.Name] = &node{
			name: u.Name, host: u.Host, centre: u.DataCentre, memory: u.Memory,
			eligible: health == membership.Live && !drained,
			// Unknown counts as serving: a decider that has just started must
			// not replace grants on upstreams that it has no reports of yet.
			serving: (health == membership.Live || health == membership.Suspect || health == membership.Unknown) && !drained,
			leaving: health == membership.Leaving || drained,
		}
	}
	for host := range f.byHost {
		if !present[host] {
			f.goneHosts = append(f.goneHosts, host)
		}
	}
	slices.Sort(f.goneHosts)
	for _, n := range f.nodes {
		n.gone = !present[n.host]
	}
	return f
}
