package bench

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a preference for replicas that hold an adapter, or a pace of
// adapter loads, without effect, and against one that costs callers more than
// it saves.
func TestAdapterPreferencePays(t *testing.T) {
	// The shares of the loads and reloads without preference, and the adapters
	// in transit. Today's sizes have few replicas to choose from.
	bounds := map[string]struct{ loads, reloads, transit float64 }{
		"ticketing": {loads: 0.97, reloads: 0.8, transit: 30},
		"archive":   {loads: 0.99, reloads: 1, transit: 30},
		"region":    {loads: 0.86, reloads: 0.4, transit: 200},
	}
	for _, s := range sizes {
		g, bound := NewWithT(t), bounds[s.name]
		out := runAll(1, s, find(t, "adapters"))
		g.Expect(out.ours.late+out.ours.lost+out.ours.cut).To(BeZero(), s.name)
		g.Expect(float64(out.ours.served())).To(BeNumerically(">=", 0.998*float64(out.naive.served())), s.name)
		g.Expect(float64(out.ours.adapterLoads)).To(BeNumerically("<", bound.loads*float64(out.base.adapterLoads)), s.name)
		g.Expect(float64(out.ours.adapterReloads)).To(BeNumerically("<=", bound.reloads*float64(out.base.adapterReloads)), s.name)
		g.Expect(float64(out.ours.mostInTransit)).To(BeNumerically("<", bound.transit), s.name)
	}
}

// Guards against affinity that does not raise the share of cached prompts, and
// against one that costs more than time when beliefs are wrong or that queues
// requests at one replica.
func TestPrefixAffinityPays(t *testing.T) {
	// gain is the least rise of the hit share over that without affinity.
	gain := map[string]float64{"ticketing": 0.02, "archive": 0.02, "region": 0.15}
	for _, s := range sizes {
		g, e := NewWithT(t), find(t, "prefixes")
		out := runAll(1, s, e)
		g.Expect(out.ours.late+out.ours.lost+out.ours.cut).To(BeZero(), s.name)
		g.Expect(float64(out.ours.served())).To(BeNumerically(">=", 0.998*float64(out.naive.served())), s.name)
		g.Expect(out.ours.hitShare()).To(BeNumerically(">", out.naive.hitShare()), s.name)
		g.Expect(out.ours.hitShare()).To(BeNumerically(">", out.base.hitShare()+gain[s.name]), s.name)
		g.Expect(quantile(out.ours.first, 99)).To(BeNumerically("<=", quantile(out.base.first, 99)), s.name)
		g.Expect(out.ours.overBudget).To(BeZero(), s.name)
	}
	for _, s := range sizes[:2] {
		g, e := NewWithT(t), find(t, "prefixes")
		e.noPrefixCache = true
		e.rate = func(time.Duration) float64 { return 8 }
		out := runAll(2, s, e)
		g.Expect(out.ours.late+out.ours.lost+out.ours.cut+out.ours.repeated).To(BeZero(), s.name)
		g.Expect(float64(out.ours.served())).To(BeNumerically(">=", 0.998*float64(out.naive.served())), s.name)
		g.Expect(quantile(out.ours.first, 99)).To(BeNumerically("<=", scale(quantile(out.base.first, 99), 1.1)), s.name)
	}
}

// Guards against a model of divided runners that loses requests, which would
// make them look fast.
func TestRolesFinishAllRequests(t *testing.T) {
	g := NewWithT(t)
	for _, prefill := range []int{0, 2} {
		m := runRoles(1, 5, prefill)
		g.Expect(m.offered).To(BeNumerically(">", 1000))
		g.Expect(m.finished).To(Equal(m.offered))
	}
}
