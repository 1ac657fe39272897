package selection_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lagoonvalve/lagoonvalve/internal/decide/routing"
	"github.com/lagoonvalve/lagoonvalve/internal/decide/selection"
)

func replicas(n int) []selection.Candidate {
	list := make([]selection.Candidate, n)
	for i := range list {
		list[i].Hash = routing.UpstreamHash("u") + uint64(i)*0x9e3779b97f4a7c15
	}
	return list
}

// The pattern is a chat beside long documents for the same model: a stream of
// short prompts shares its engine with no long prompt while both find a replica.
func TestShortAndLongPromptsMeetAtNoReplica(t *testing.T) {
	g := NewWithT(t)
	cfg := selection.DefaultConfig()
	used := map[bool]map[int]bool{true: {}, false: {}}
	for id := range uint64(200) {
		for _, long := range []bool{true, false} {
			req := selection.Request{ModelHash: 7, Prompt: 300, SharedID: id}
			if long {
				req.Prompt, req.Shared = 9000, 6000
			}
			used[long][cfg.Select(replicas(3), req)] = true
		}
	}
	g.Expect(used[false]).To(HaveLen(1))
	g.Expect(used[true]).To(HaveLen(2))
	for i := range used[false] {
		g.Expect(used[true]).NotTo(HaveKey(i))
	}
}

// Guards against lanes that hold when load speaks against them: a queue at the
// others sends prompts to the replica of the other lane.
func TestLanesYieldToLoad(t *testing.T) {
	g := NewWithT(t)
	cfg := selection.DefaultConfig()
	candidates := replicas(2)
	short := cfg.Select(candidates, selection.Request{ModelHash: 7, Prompt: 300})
	candidates[short].PendingPrefill = time.Second
	g.Expect(cfg.Select(candidates, selection.Request{ModelHash: 7, Prompt: 300})).NotTo(Equal(short))
	candidates = replicas(2)
	candidates[1-short].PendingPrefill = time.Second
	g.Expect(cfg.Select(candidates, selection.Request{ModelHash: 7, Prompt: 9000})).To(Equal(short))
}

// Guards against an upstream that failed and is preferred, and against none
// chosen when all have failed.
func TestEjectedComeLast(t *testing.T) {
	g := NewWithT(t)
	cfg := selection.DefaultConfig()
	candidates := replicas(2)
	candidates[0].Ejected = true
	candidates[1].Running = 60
	g.Expect(cfg.Select(candidates, selection.Request{})).To(Equal(1))
	candidates[1].Ejected = true
	g.Expect(cfg.Select(candidates, selection.Request{})).To(Equal(0))
	g.Expect(cfg.Select(nil, selection.Request{})).To(Equal(-1))
}

// Guards against prompts that are read again though a replica keeps their parts,
// and against traffic to other regions without need.
func TestCachedPartsAndLocality(t *testing.T) {
	g := NewWithT(t)
	cfg := selection.DefaultConfig()
	candidates := replicas(3)
	short := cfg.Select(candidates, selection.Request{ModelHash: 7, Prompt: 300})
	for i := range candidates {
		if i == short {
			continue
		}
		candidates[i].Cached = 6000
		g.Expect(cfg.Select(candidates, selection.Request{ModelHash: 7, Prompt: 9000})).To(Equal(i))
		candidates[i].Cached = 0
	}
	for i := range candidates {
		candidates[i].Locality = routing.OtherRegion
	}
	candidates[2].Locality = routing.SameDataCentre
	g.Expect(cfg.Select(candidates, selection.Request{})).To(Equal(2))
}
