package bench

import (
	"testing"

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
