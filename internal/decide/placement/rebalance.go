package placement

import (
	"cmp"
	"slices"

	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// rebalance asks for the return of grants that are not in use on upstreams
// granted beyond their memory, while another upstream has free room for them.
// Grants are placed as upstreams are heard of, so the first ones get most of
// them; later plans place the returned ones where room is. It works in quiet
// plans only and moves a few grants at a time. A move must leave its source at
// least as loaded as its destination, so that moves come to an end.
func (p *planner) rebalance(models []*demandOf) {
	if len(p.plan.Grants)+len(p.plan.Revokes)+len(p.plan.Gone) > 0 || p.returning(models) {
		return
	}
	free := p.emptiest()
	for _, d := range models {
		if len(p.plan.Revokes) >= p.in.Settings.Moves || len(free) == 0 {
			return
		}
		// A loaded replica is in use, and so is every grant of a model whose
		// replicas are wanted beyond those loaded elsewhere.
		if d.size == 0 || p.in.Demand[d.model.Name].Loaded > 0 {
			continue
		}
		p.moveOne(d, free)
	}
}

// returning reports whether grants are already on their way back.
func (p *planner) returning(models []*demandOf) bool {
	for _, d := range models {
		if slices.ContainsFunc(d.kept, func(g state.Grant) bool { return g.Revoked }) {
			return true
		}
	}
	return false
}

// emptiest lists the eligible upstreams with free memory, the emptiest first.
func (p *planner) emptiest() []*node {
	var free []*node
	for _, n := range p.fleet.nodes {
		if n.eligible && n.load < n.memory {
			free = append(free, n)
		}
	}
	slices.SortFunc(free, func(a, b *node) int {
		return cmp.Or(cmp.Compare(a.share(0), b.share(0)), cmp.Compare(a.name, b.name))
	})
	return free
}

// share is the granted part of a node's memory after a change by size.
func (n *node) share(size state.Bytes) float64 {
	return float64(n.load+size) / float64(n.memory)
}

// moveOne revokes one grant of a model if a free upstream suits it better.
func (p *planner) moveOne(d *demandOf, free []*node) {
	for _, g := range d.kept {
		from := p.fleet.nodes[g.Upstream]
		if from == nil || !from.serving || from.share(0) <= 1 || slices.Contains(d.model.Pinned, g.Upstream) {
			continue
		}
		for _, to := range free {
			suits := !d.taken[to.name] && to.load+d.size <= to.memory && from.share(-d.size) >= to.share(d.size)
			if suits && p.prefers(d, to, from) {
				p.revokeGrant(g)
				from.load -= d.size
				to.load += d.size
				return
			}
		}
	}
}

// prefers reports whether a later plan would place the grant of from on to and
// not on from again, because of its cache or its data centre.
func (p *planner) prefers(d *demandOf, to, from *node) bool {
	d.scoreStatic(p.in)
	d.centres[from.centre]--
	from.load -= d.size
	better := p.fleet.score(d, to) > p.fleet.score(d, from)
	from.load += d.size
	d.centres[from.centre]++
	return better
}
