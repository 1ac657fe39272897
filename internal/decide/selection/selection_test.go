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

// Guards against long prompts that slow down short ones of the same model, such as a
// chat beside long documents: with several idle replicas, no replica gets both.
func TestShortAndLongPromptsUseDifferentReplicas(t *testing.T) {
	g := NewWithT(t)
	cfg := selection.DefaultConfig()
	used := map[bool]map[int]bool{true: {}, false: {}}
	for id := range uint64(200) {
		for _, long := range []bool{true, false} {
			req := selection.Request{ModelHash: 7, LongPrompts: true, Prompt: 300, SharedID: id}
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

// Guards against a reservation that holds under load: if the replicas for one kind
// of prompt have a queue, its prompts go to a replica for the other kind.
func TestReservedReplicaYieldsToLoad(t *testing.T) {
	g := NewWithT(t)
	cfg := selection.DefaultConfig()
	candidates := replicas(2)
	short := cfg.Select(candidates, selection.Request{ModelHash: 7, LongPrompts: true, Prompt: 300})
	candidates[short].PendingPrefill = time.Second
	g.Expect(cfg.Select(candidates, selection.Request{ModelHash: 7, LongPrompts: true, Prompt: 300})).NotTo(Equal(short))
	candidates = replicas(2)
	candidates[1-short].PendingPrefill = time.Second
	g.Expect(cfg.Select(candidates, selection.Request{ModelHash: 7, LongPrompts: true, Prompt: 9000})).To(Equal(short))
}

// Guards against a request to an ejected replica while another one is available, and
// against no choice at all if every replica is ejected.
func TestEjectedReplicasAreChosenLast(t *testing.T) {
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

// Guards against a request to a replica that refuses while another one is ready, and against
// one to a replica that fails before one that refuses.
func TestAvoidedReplicasAreChosenBeforeEjectedOnes(t *testing.T) {
	g := NewWithT(t)
	cfg := selection.DefaultConfig()
	candidates := replicas(3)
	candidates[0].Avoided, candidates[1].Ejected = true, true
	candidates[2].Running = 60
	g.Expect(cfg.Select(candidates, selection.Request{})).To(Equal(2))
	candidates[2].Ejected = true
	g.Expect(cfg.Select(candidates, selection.Request{})).To(Equal(0))
}

// Guards against a second prefill of prompt parts that another replica has cached,
// and against unnecessary traffic to other regions.
func TestCachedPartsAndLocality(t *testing.T) {
	g := NewWithT(t)
	cfg := selection.DefaultConfig()
	candidates := replicas(3)
	short := cfg.Select(candidates, selection.Request{ModelHash: 7, LongPrompts: true, Prompt: 300})
	for i := range candidates {
		if i == short {
			continue
		}
		candidates[i].Cached = 6000
		g.Expect(cfg.Select(candidates, selection.Request{ModelHash: 7, LongPrompts: true, Prompt: 9000})).To(Equal(i))
		candidates[i].Cached = 0
	}
	for i := range candidates {
		candidates[i].Locality = routing.OtherRegion
	}
	candidates[2].Locality = routing.SameDataCentre
	g.Expect(cfg.Select(candidates, selection.Request{})).To(Equal(2))
}

// Guards against short prompts that all go to the replica reserved for them although
// the model receives no long ones: the gateways of a large deployment together sent it
// several times the requests that it has slots for, while other replicas were idle.
func TestShortPromptsAloneUseAllReplicas(t *testing.T) {
	g := NewWithT(t)
	cfg := selection.DefaultConfig()
	candidates := replicas(3)
	for range 30 {
		candidates[cfg.Select(candidates, selection.Request{ModelHash: 7, Prompt: 700})].Running++
	}
	for i := range candidates {
		g.Expect(candidates[i].Running).To(Equal(10))
	}
}
