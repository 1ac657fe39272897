package placement

import (
	"cmp"
	"slices"

	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// rebalance revokes unused grants on upstreams whose granted memory exceeds their
// memory, if another upstream has free memory for them. Grants are placed as
// upstreams become known, so the first upstreams get most of them; once a revoked
// grant is released, a later plan places it where there is room. It acts only if
// the plan has no other records and no revoked grant awaits its release, and
// moves at most MaxMoves grants. A move must leave the source with at least as
// large a granted share of memory as the destination, so that moves end.
func (p *planner) rebalance(models []*modelDemand) {
	if len(p.plan.Grants)+len(p.plan.Revokes)+len(p.plan.Gone) > 0 || p.revocationPending(models) {
		return
	}
	free := p.nodesWithFreeMemory()
	for _, d := range models {
		if len(p.plan.Revokes) >= p.in.Settings.MaxMoves || len(free) == 0 {
			return
		}
		// Loaded replicas use some of the model's grants. The demand does not
		// say which, so none of them is moved.
		if d.size == 0 || p.in.Demand[d.model.Name].Loaded > 0 {
			continue
		}
		p.moveOneGrant(d, free)
	}
}

// revocationPending reports whether a revoked grant awaits its release.
func (p *planner) revocationPending(models []*modelDemand) bool {
	for _, d := range models {
		if slices.ContainsFunc(d.kept, func(g state.Grant) bool { return g.Revoked }) {
			return true
		}
	}
	return false
}

// nodesWithFreeMemory lists the eligible nodes whose granted memory is below their
// memory, those with the lowest granted share first.
func (p *planner) nodesWithFreeMemory() []*node {
	var free []*node
	for _, n := range p.fleet.nodes {
		if n.eligible && n.grantedMemory < n.memory {
			free = append(free, n)
		}
	}
	slices.SortFunc(free, func(a, b *node) int {
		return cmp.Or(cmp.Compare(a.grantedShare(0), b.grantedShare(0)), cmp.Compare(a.name, b.name))
	})
	return free
}

// grantedShare returns the granted memory of a node, changed by size, as a share
// of its memory.
func (n *node) grantedShare(size state.Bytes) float64 {
	return float64(n.grantedMemory+size) / float64(n.memory)
}

// moveOneGrant revokes one grant of a model if one of the free nodes suits it
// better.
func (p *planner) moveOneGrant(d *modelDemand, free []*node) {
	for _, g := range d.kept {
		from := p.fleet.nodes[g.Upstream]
		if from == nil || !from.serving || from.grantedShare(0) <= 1 || slices.Contains(d.model.Pinned, g.Upstream) {
			continue
		}
		for _, to := range free {
			suits := !d.hasGrant[to.name] && to.grantedMemory+d.size <= to.memory && from.grantedShare(-d.size) >= to.grantedShare(d.size)
			if suits && p.prefers(d, to, from) {
				p.revokeGrant(g)
				from.grantedMemory -= d.size
				to.grantedMemory += d.size
				return
			}
		}
	}
}

// prefers reports whether a later plan would place the grant of from on to. It
// could choose from again because of its cache or its data centre.
func (p *planner) prefers(d *modelDemand, to, from *node) bool {
	d.computeBaseScores(p.in)
	d.usableByCentre[from.centre]--
	from.grantedMemory -= d.size
	better := p.fleet.score(d, to) > p.fleet.score(d, from)
	from.grantedMemory += d.size
	d.usableByCentre[from.centre]++
	return better
}
