package bench

import (
	"bytes"
	"io"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func find(t testing.TB, name string) experiment {
	for _, e := range experiments {
		if e.name == name {
			return e
		}
	}
	t.Fatalf("no experiment %q", name)
	return experiment{}
}

// Guards against requests that get no answer or two, non-idempotent work that
// runs twice, overfull upstreams and a store beyond its rate, in each
// experiment.
func TestInvariantsHold(t *testing.T) {
	for _, e := range experiments {
		if e.length > 5*time.Minute {
			e = shorten(e, 0.1)
		}
		t.Run(e.name, func(t *testing.T) {
			g := NewWithT(t)
			s := sizes[0]
			if e.lostAt > 0 {
				// With the usual share and rate, too little
				// non-idempotent work runs at the moment of the loss.
				e.onceShare = 0.8
				e.rate = func(time.Duration) float64 { return 8 }
			}
			r := simulate(1, s, e, variant{})
			g.Expect(r.lost).To(BeZero())
			g.Expect(r.repeated).To(BeZero())
			g.Expect(r.overfull).To(BeZero())
			g.Expect(r.overBudget).To(BeZero())
			total := 0
			for _, n := range r.offered {
				total += n
			}
			g.Expect(r.served() + r.refused + r.late + r.cut + r.failed).To(Equal(total))
			g.Expect(r.late).To(BeZero())
			g.Expect(float64(r.hedges)).To(BeNumerically("<=", 0.05*float64(total)))
		})
	}
}

// Guards against a measurement that cannot show a fault: the naive version
// must break what ours keeps.
func TestNaiveVersionIsWorse(t *testing.T) {
	g := NewWithT(t)
	centre := find(t, "centre-lost")
	centre.onceShare = 0.5
	lost := simulate(1, sizes[0], centre, variant{naive: true})
	g.Expect(lost.repeated).NotTo(BeZero())
	swing := simulate(7, sizes[0], find(t, "swing"), variant{naive: true})
	g.Expect(swing.late).To(BeNumerically(">", 100))
}

// Guards against entries that go on sending to lost upstreams until their retry
// budget is used up.
func TestEntriesLeaveLostUpstreams(t *testing.T) {
	g := NewWithT(t)
	r := simulate(3, sizes[0], find(t, "centre-lost"), variant{})
	g.Expect(r.failed).NotTo(BeZero())
	g.Expect(r.refused).To(BeNumerically("<", 50))
}

// Guards against results that depend on map order or other hidden state.
func TestSameSeedSameTable(t *testing.T) {
	g := NewWithT(t)
	opts := Options{Seed: 3, Sizes: []string{"archive"}, Experiments: []string{"broadcast", "stragglers", "centre-lost"}}
	var first, second bytes.Buffer
	g.Expect(Run(&first, opts)).To(Succeed())
	g.Expect(Run(&second, opts)).To(Succeed())
	g.Expect(second.String()).To(Equal(first.String()))
	g.Expect(first.String()).To(ContainSubstring("centre-lost"))
}

func BenchmarkExperiments(b *testing.B) {
	for _, s := range sizes[:2] {
		for _, e := range experiments {
			b.Run(s.name+"/"+e.name, func(b *testing.B) {
				for b.Loop() {
					if err := Run(io.Discard, Options{Sizes: []string{s.name}, Experiments: []string{e.name}}); err != nil {
						b.Fatal(err)
					}
				}
			})
		}
	}
}

// Guards against oscillation after an overload: once demand is back to normal,
// refusals and late answers must end, not come in waves.
func TestNoOscillationAfterOverload(t *testing.T) {
	g := NewWithT(t)
	e := find(t, "swing")
	e.length = 150 * time.Second
	for _, s := range sizes[:2] {
		all := arrivals(5, s, e)
		w := newWorld(5, s, e)
		w.warm(false)
		o := newOurs(w)
		for _, r := range all {
			w.after(r.arrived.Sub(epoch), func() { o.arrive(r) })
		}
		w.runUntil(epoch.Add(e.length + 40*time.Second))
		after, inTime := 0, 0
		for _, r := range all {
			if r.arrived.Sub(epoch) < 100*time.Second {
				continue
			}
			after++
			if r.ended && r.started && r.first < 2*time.Second {
				inTime++
			}
		}
		g.Expect(after).To(BeNumerically(">", 100))
		g.Expect(float64(inTime)).To(BeNumerically(">=", 0.99*float64(after)), s.name)
	}
}
