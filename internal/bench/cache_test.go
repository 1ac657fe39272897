package bench

import (
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against wakes that ignore where a checkpoint is cached: a home that
// knows one mean wakes a slower copy and predicts wrong times.
func TestWakePrefersCachedCopies(t *testing.T) {
	for _, s := range sizes[:2] {
		for seed := range uint64(3) {
			g := NewWithT(t)
			e := shorten(find(t, "quiet-day"), 0.25)
			each := simulate(seed+1, s, e, variant{})
			one := simulate(seed+1, s, e, variant{alter: func(e *experiment) { e.oneMean = true }})
			first := func(r *result, q float64) string { return show(quantile(r.first, q)) }
			t.Logf("%s, seed %d, each grant's time / one mean: first token p95 %s / %s, p99 %s / %s, refused %d / %d, replica idle %s / %s", s.name, seed+1,
				first(each, 95), first(one, 95), first(each, 99), first(one, 99), each.refused, one.refused, show(each.replicaIdle), show(one.replicaIdle))
			g.Expect(quantile(one.first, 95)).To(BeNumerically(">", scale(quantile(each.first, 95), 1.1)))
			g.Expect(one.refused).To(BeNumerically(">", each.refused))
		}
	}
}
