package bench

import (
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against wakes that ignore where a checkpoint is cached: a home that
// knows one mean wakes a slower copy and predicts wrong times.
func TestWakePrefersCachedCopies(t *testing.T) {
	g := NewWithT(t)
	s, e := sizes[1], shorten(find(t, "quiet-day"), 0.25)
	for seed := uint64(1); seed <= 3; seed++ {
		each := simulate(seed, s, e, variant{})
		one := simulate(seed, s, e, variant{alter: func(e *experiment) { e.oneMean = true }})
		first := func(r *result, q float64) string { return show(quantile(r.first, q)) }
		t.Logf("%s, seed %d, each grant's time / one mean: first token p95 %s / %s, p99 %s / %s, refused %d / %d", s.name, seed,
			first(each, 95), first(one, 95), first(each, 99), first(one, 99), each.refused, one.refused)
		g.Expect(quantile(one.first, 95)).To(BeNumerically(">", scale(quantile(each.first, 95), 1.1)))
		g.Expect(one.refused).To(BeNumerically(">", each.refused))
	}
}
