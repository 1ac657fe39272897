package placement

import (
	"cmp"
	"maps"
	"slices"

	"github.com/google/btree"

	"github.com/lagoonvalve/lagoonvalve/internal/platform"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// Scores of a candidate. An operator's pin comes before everything, then the
// time that a cold start takes, then spread over data centres, then balance.
const (
	scorePinned    = 4000
	scoreMemory    = 2000
	scoreDisk      = 1000
	scoreNewCentre = 700
	// maxPenalty is that of an upstream granted up to its bound.
	maxPenalty = 500
)

// node is a model runner as a candidate.
type node struct {
	name   state.UpstreamName
	host   state.HostName
	centre state.DataCentre
	memory state.Bytes
	// load is the memory of all grants on the node.
	load     state.Bytes
	eligible bool
	serving  bool
	leaving  bool
	gone     bool
}

// fleet is the set of nodes with an index of the eligible ones by data centre
// and penalty.
type fleet struct {
	settings  Settings
	nodes     map[state.UpstreamName]*node
	byHost    map[state.HostName][]state.UpstreamName
	goneHosts []state.HostName
	centres   []state.DataCentre
	index     map[state.DataCentre]*btree.BTreeG[*node]
}

func (f *fleet) penalty(n *node) int {
	bound := n.memory * state.Bytes(f.settings.Oversubscription)
	if bound <= 0 || n.load >= bound {
		return maxPenalty
	}
	// Both are below 2^53, so the quotient is exact enough and the same in
	// every process.
	return int(float64(n.load) / float64(bound) * maxPenalty)
}

func (f *fleet) fits(n *node, size state.Bytes) bool {
	return size <= n.memory && n.load+size <= n.memory*state.Bytes(f.settings.Oversubscription)
}

func (f *fleet) buildIndex() {
	less := func(a, b *node) bool {
		return cmp.Or(cmp.Compare(f.penalty(a), f.penalty(b)), cmp.Compare(a.name, b.name)) < 0
	}
	f.index = map[state.DataCentre]*btree.BTreeG[*node]{}
	for _, n := range f.nodes {
		if !n.eligible {
			continue
		}
		tree, ok := f.index[n.centre]
		if !ok {
			tree = btree.NewG(16, less)
			f.index[n.centre] = tree
		}
		tree.ReplaceOrInsert(n)
	}
	f.centres = slices.Sorted(maps.Keys(f.index))
}

func (f *fleet) addLoad(n *node, size state.Bytes) {
	tree := f.index[n.centre]
	tree.Delete(n)
	n.load += size
	tree.ReplaceOrInsert(n)
}

// scoreStatic scores what no other grant changes: pins and caches.
func (d *demandOf) scoreStatic(in Input) {
	if d.static != nil {
		return
	}
	d.static = make(map[state.UpstreamName]int, len(d.model.Pinned)+len(in.Cached[d.key]))
	for _, cached := range in.Cached[d.key] {
		d.static[cached.Upstream] = max(d.static[cached.Upstream], tierScore(cached.Tier))
	}
	for _, name := range d.model.Pinned {
		d.static[name] += scorePinned
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

func (f *fleet) score(d *demandOf, n *node) int {
	score := d.static[n.name] - f.penalty(n)
	if d.centres[n.centre] == 0 {
		score += scoreNewCentre
	}
	return score
}

// allowed reports whether the model may get a grant on n.
func (f *fleet) allowed(d *demandOf, n *node) bool {
	return n.eligible && !d.taken[n.name] && f.fits(n, d.size)
}

// best returns the allowed node with the highest score, the first by name
// among equals, or nil. Only pinned and caching nodes differ from others of
// their data centre in more than the penalty, so it looks at those and at the
// first allowed one of each data centre.
func (f *fleet) best(in Input, d *demandOf) *node {
	d.scoreStatic(in)
	var best *node
	bestScore := 0
	consider := func(n *node) {
		score := f.score(d, n)
		if best == nil || score > bestScore || score == bestScore && n.name < best.name {
			best, bestScore = n, score
		}
	}
	for name := range d.static {
		if n := f.nodes[name]; n != nil && f.allowed(d, n) {
			consider(n)
		}
	}
	for _, centre := range f.centres {
		f.index[centre].Ascend(func(n *node) bool {
			if f.allowed(d, n) {
				consider(n)
				return false
			}
			return n.load < n.memory*state.Bytes(f.settings.Oversubscription)
		})
	}
	return best
}
