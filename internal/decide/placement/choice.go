package placement

import (
	"cmp"
	"maps"
	"slices"

	"github.com/google/btree"

	"github.com/lagoonvalve/lagoonvalve/internal/platform"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// Scores of a candidate upstream. An operator's pin outweighs everything else,
// then come the cold start time, spread over data centres, and balance of the
// granted memory.
const (
	scorePinned    = 4000
	scoreMemory    = 2000
	scoreDisk      = 1000
	scoreNewCentre = 700
	// maxPenalty is the penalty of an upstream whose granted memory has
	// reached its limit.
	maxPenalty = 500
)

// node is a model runner that grants may be placed on.
type node struct {
	name   state.UpstreamName
	host   state.HostName
	centre state.DataCentre
	memory state.Bytes
	// grantedMemory is the memory of all grants on the node.
	grantedMemory state.Bytes
	eligible      bool
	serving       bool
	leaving       bool
	gone          bool
}

// fleet is the set of nodes, with an index of the eligible ones by data centre
// and penalty.
type fleet struct {
	settings  Settings
	nodes     map[state.UpstreamName]*node
	byHost    map[state.HostName][]state.UpstreamName
	goneHosts []state.HostName
	centres   []state.DataCentre
	byPenalty map[state.DataCentre]*btree.BTreeG[*node]
}

func (f *fleet) penalty(n *node) int {
	bound := n.memory * state.Bytes(f.settings.Oversubscription)
	if bound <= 0 || n.grantedMemory >= bound {
		return maxPenalty
	}
	// Both values are below 2^53 and therefore exact as float64, so every
	// process computes the same penalty.
	return int(float64(n.grantedMemory) / float64(bound) * maxPenalty)
}

func (f *fleet) fits(n *node, size state.Bytes) bool {
	return size <= n.memory && n.grantedMemory+size <= n.memory*state.Bytes(f.settings.Oversubscription)
}

func (f *fleet) buildIndex() {
	less := func(a, b *node) bool {
		return cmp.Or(cmp.Compare(f.penalty(a), f.penalty(b)), cmp.Compare(a.name, b.name)) < 0
	}
	f.byPenalty = map[state.DataCentre]*btree.BTreeG[*node]{}
	for _, n := range f.nodes {
		if !n.eligible {
			continue
		}
		tree, ok := f.byPenalty[n.centre]
		if !ok {
			tree = btree.NewG(16, less)
			f.byPenalty[n.centre] = tree
		}
		tree.ReplaceOrInsert(n)
	}
	f.centres = slices.Sorted(maps.Keys(f.byPenalty))
}

func (f *fleet) addGrantedMemory(n *node, size state.Bytes) {
	tree := f.byPenalty[n.centre]
	tree.Delete(n)
	n.grantedMemory += size
	tree.ReplaceOrInsert(n)
}

// computeBaseScores computes the part of the scores that does not depend on
// other grants: pins and caches.
func (d *modelDemand) computeBaseScores(in Input) {
	if d.baseScores != nil {
		return
	}
	d.baseScores = make(map[state.UpstreamName]int, len(d.model.Pinned)+len(in.Cached[d.key]))
	for _, cached := range in.Cached[d.key] {
		d.baseScores[cached.Upstream] = max(d.baseScores[cached.Upstream], tierScore(cached.Tier))
	}
	for _, name := range d.model.Pinned {
		d.baseScores[name] += scorePinned
	}
}

func tierScore(tier platform.CacheTier) int {
	switch tier {
	case platform.CacheMemory:
		return scoreMemory
	case platform.CacheDisk:
		return scoreDisk
	}
	return 0
}

func (f *fleet) score(d *modelDemand, n *node) int {
	score := d.baseScores[n.name] - f.penalty(n)
	if d.usableByCentre[n.centre] == 0 {
		score += scoreNewCentre
	}
	return score
}

// allowed reports whether the plan may grant the model on n.
func (f *fleet) allowed(d *modelDemand, n *node) bool {
	return n.eligible && !d.hasGrant[n.name] && f.fits(n, d.size)
}

// bestNode returns the allowed node with the highest score, the first by name
// among equals, or nil if none is allowed. Within a data centre, only nodes that
// are pinned or cache the checkpoint differ from the others in more than the
// penalty. It therefore considers just those and, of each data centre, the
// allowed node with the lowest penalty.
func (f *fleet) bestNode(in Input, d *modelDemand) *node {
	d.computeBaseScores(in)
	var best *node
	bestScore := 0
	consider := func(n *node) {
		score := f.score(d, n)
		if best == nil || score > bestScore || score == bestScore && n.name < best.name {
			best, bestScore = n, score
		}
	}
	for name := range d.baseScores {
		if n := f.nodes[name]; n != nil && f.allowed(d, n) {
			consider(n)
		}
	}
	for _, centre := range f.centres {
		f.byPenalty[centre].Ascend(func(n *node) bool {
			if f.allowed(d, n) {
				consider(n)
				return false
			}
			return n.grantedMemory < n.memory*state.Bytes(f.settings.Oversubscription)
		})
	}
	return best
}
