package entry

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// use reports demand at a rate for a time.
func (b *homeBench) use(perSecond float64, d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(time.Second) {
		params := rpc.DemandParams{ReplicaKey: testReplica, Entry: "e1", Backlog: rpc.Backlog{Rate: perSecond}}
		if _, err := b.demand(b.t.Context(), params); err != nil {
			b.t.Fatal(err)
		}
	}
}

func (b *homeBench) noteSpare(name string, p rpc.WakeParams) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if p.Spare {
		b.spares[name]++
	}
}

// spareWakes counts the wakes of an upstream for a spare replica.
func (b *homeBench) spareWakes(name string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.spares[name]
}

// Guards against a model in steady use that depends on one upstream, and
// against a spare replica for a short session.
func TestSpareReplicaForSteadyUse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		b := newHomeBench(t)
		defer b.end()
		first := string(b.ask("e1", 1, 1)[0].Upstream)
		other := map[string]string{"u0": "u1", "u1": "u0"}[first]
		b.use(1, 30*time.Second)
		g.Expect(b.woken()).NotTo(HaveKey(other))
		b.use(1, 2*time.Minute)
		g.Expect(b.spareWakes(other)).To(Equal(1))
	})
}

// Guards against an agent without room that is asked again and again, and
// against a refused spare that keeps the grant from a load that requests need.
func TestRefusedSpare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		b := newHomeBench(t)
		defer b.end()
		first := string(b.ask("e1", 1, 1)[0].Upstream)
		other := map[string]string{"u0": "u1", "u1": "u0"}[first]
		b.mu.Lock()
		b.refuse[other] = true
		b.mu.Unlock()
		b.use(1, 16*time.Minute)
		g.Expect(b.spareWakes(other)).To(BeNumerically("~", 3, 1))
		b.mu.Lock()
		b.refuse[other] = false
		b.wakes = nil
		b.mu.Unlock()
		g.Expect(b.ask("e1", 1000, 2)).To(HaveLen(2))
		g.Expect(b.woken()).To(HaveKey(other))
	})
}

// Guards against a mean that follows a short peak or keeps an old rate.
func TestSteadyRate(t *testing.T) {
	g := NewWithT(t)
	var s spares
	now := time.Unix(0, 0)
	run := func(perSecond float64, d time.Duration) {
		for end := now.Add(d); now.Before(end); {
			now = now.Add(100 * time.Millisecond)
			s.observe(perSecond, now)
		}
	}
	run(10, 5*time.Second)
	g.Expect(s.rate(now)).To(BeNumerically("<", 0.1))
	run(1, 40*time.Minute)
	g.Expect(s.rate(now)).To(BeNumerically("~", 1, 0.05))
	run(0, 40*time.Minute)
	g.Expect(s.rate(now)).To(BeNumerically("<", 0.05))
	s.refuse(state.UpstreamName("u"), now)
	g.Expect(s.isRefused("u", now)).To(BeTrue())
	g.Expect(s.isRefused("u", now.Add(spareRefusedFor+time.Second))).To(BeFalse())
}
