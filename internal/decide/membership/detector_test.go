package membership_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lagoonvalve/lagoonvalve/internal/decide/membership"
	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// Guards against a cost that grows with the number of entries.
func TestDetectorBytes(t *testing.T) {
	o := NewWithT(t)
	perEntry := map[int]float64{}
	for _, n := range []int{4, 44} {
		g := newGossip(n)
		took := g.agree(time.Minute)
		g.run(time.Minute)
		o.Expect(g.agreed()).To(BeTrue())
		g.measured = true
		g.run(30 * time.Second)
		perEntry[n] = float64(g.bytes) / 30 / float64(n) * 2
		t.Logf("%d entries: start at once: agreed after %v; quiet %.0f B/s each, both ways", n, took, perEntry[n])
		o.Expect(took).To(BeNumerically("<=", 2*time.Second))
	}
	o.Expect(perEntry[44]).To(BeNumerically("<", 1000))
	o.Expect(perEntry[44]).To(BeNumerically("<", 1.2*perEntry[4]))
}

// Guards against slow detection: of one entry, and of a data centre, whose
// entries random probes meet one after the other.
func TestDetectorSpeed(t *testing.T) {
	o := NewWithT(t)
	for _, c := range []struct{ n, lost int }{{4, 1}, {44, 1}, {44, 15}} {
		var took, back []time.Duration
		var mean, peak float64
		g := newGossip(c.n)
		g.agree(time.Minute)
		for round := range 6 {
			g.run(5*time.Second + time.Duration(round)*3*gossipStep)
			o.Expect(g.agreed()).To(BeTrue())
			for i := range c.lost {
				g.down[g.names[(round+i)%c.n]] = true
			}
			g.bytes, g.second, g.peak, g.measured = 0, 0, 0, true
			took = append(took, g.agree(time.Minute))
			g.run(10*time.Second - took[round])
			g.measured = false
			running := float64(len(g.running()))
			mean, peak = max(mean, float64(g.bytes)/10/running*2), max(peak, float64(g.peak)/running*2)
			for i := range c.lost {
				g.down[g.names[(round+i)%c.n]] = false
				g.restart((round+i)%c.n, c.n)
			}
			back = append(back, g.agree(time.Minute))
			o.Expect(g.agreed()).To(BeTrue())
		}
		slices.Sort(took)
		slices.Sort(back)
		t.Logf("%d of %d lost: agreed after %v to %v; they start again: %v to %v; at most %.0f B/s each, both ways, over 10 s, %.0f in a second",
			c.lost, c.n, took[0], took[5], back[0], back[5], mean, peak)
		o.Expect(took[5]).To(BeNumerically("<=", 3250*time.Millisecond))
		o.Expect(back[5]).To(BeNumerically("<=", 6*time.Second))
	}
}

// Guards against entries that never agree again after a fault, and against a
// fault of some that makes the others take each other for dead.
func TestDetectorFaults(t *testing.T) {
	o := NewWithT(t)
	g := newGossip(44)
	g.agree(time.Minute)
	o.Expect(g.agreed()).To(BeTrue())

	// What a deaf entry sees of the others does not count.
	g.cut = func(_, to state.EntryName) bool { return to == entryName(43) }
	for range 10 * time.Second / gossipStep {
		g.run(gossipStep)
		o.Expect(g.lost(43)).To(BeZero(), "the others hear each other")
	}
	o.Expect(g.entries[entryName(10)].Live()).NotTo(ContainElement(entryName(43)), "it cannot answer")
	g.cut = uncut
	t.Logf("one-way cut of one entry ends: agreed after %v", g.agree(time.Minute))
	o.Expect(g.agreed()).To(BeTrue())

	g.cut = func(from, to state.EntryName) bool { return (from < entryName(20)) != (to < entryName(20)) }
	g.run(20 * time.Second)
	o.Expect(g.entries[entryName(0)].Live()).To(Equal(g.names[:20]), "its own side")
	o.Expect(g.entries[entryName(43)].Live()).To(Equal(g.names[20:]), "its own side")
	g.cut = uncut
	began := g.now
	for g.now.Sub(began) < time.Minute && !g.agreed() {
		g.run(gossipStep)
		o.Expect(g.lost(20)).To(BeZero(), "a side keeps its own while it heals")
	}
	t.Logf("partition of 20 s ends: agreed after %v", g.now.Sub(began))
	o.Expect(g.agreed()).To(BeTrue())

	g.down[entryName(3)] = true
	g.run(10 * time.Second)
	g.down[entryName(3)] = false
	for began = g.now; g.now.Sub(began) < 5*time.Second; {
		g.run(gossipStep)
		o.Expect(g.lost(3)).To(BeZero(), "an own pause is not the silence of others")
		o.Expect(g.entries[entryName(3)].Live()).To(HaveLen(44))
	}
	o.Expect(g.agreed()).To(BeTrue())
}

// Guards against false deaths under loss, under a one-way cut between two
// entries, and while others restart.
func TestDetectorFalseDeaths(t *testing.T) {
	o := NewWithT(t)
	g := newGossip(44)
	g.agree(time.Minute)
	o.Expect(g.agreed()).To(BeTrue())
	g.loss = 0.02
	g.cut = func(from, to state.EntryName) bool { return from == entryName(5) && to == entryName(6) }
	for i := range 60 * 20 {
		g.run(gossipStep)
		if i%400 == 399 {
			g.restart(40+i/400, 44)
		}
		o.Expect(g.lost(40)).To(BeZero())
	}
}

// Guards against ended entries that are kept for ever or come back by late
// messages, and against a partition longer than the time of forgetting that
// never heals.
func TestDetectorForgets(t *testing.T) {
	o := NewWithT(t)
	g := newGossip(3)
	g.start(2, func(d *membership.Detector) { d.Seed(entryName(0), control(0)) })
	for i := range 2 {
		g.start(i, func(d *membership.Detector) { d.Seed(entryName(1-i), control(1-i)) })
	}
	g.agree(time.Minute)
	o.Expect(g.agreed()).To(BeTrue(), "an entry in nobody's settings is found")
	late := g.entries[entryName(2)]
	_, known := g.entries[entryName(0)].Member(entryName(2))
	o.Expect(known).To(BeTrue())

	g.down[entryName(2)] = true
	g.run(50 * time.Minute)
	_, known = g.entries[entryName(1)].Member(entryName(2))
	o.Expect(known).To(BeTrue(), "late messages are still recognised")
	g.cut = func(state.EntryName, state.EntryName) bool { return true }
	g.run(time.Hour + 20*time.Minute)
	_, known = g.entries[entryName(1)].Member(entryName(2))
	o.Expect(known).To(BeFalse())
	o.Expect(g.entries[entryName(1)].Live()).To(Equal(g.names[1:2]))
	g.cut = uncut
	g.agree(time.Minute)
	o.Expect(g.agreed()).To(BeTrue(), "entries of the settings find each other")

	said := rpc.Ping{From: entryName(0), Updates: []rpc.EntryUpdate{{Name: entryName(2), Incarnation: 1, Health: uint8(membership.Dead)}}}
	g.entries[entryName(1)].Receive(g.now, said)
	_, known = g.entries[entryName(1)].Member(entryName(2))
	o.Expect(known).To(BeFalse(), "entries must not remind each other for ever")
	g.entries[entryName(2)] = late
	g.down[entryName(2)] = false
	g.agree(time.Minute)
	o.Expect(g.agreed()).To(BeTrue(), "a forgotten entry that still runs is taken back")
}

// Guards against an entry that leaves and keeps its roles, and against a
// predecessor's word that ends a restarted entry.
func TestDetectorLeavingAndRestart(t *testing.T) {
	o := NewWithT(t)
	g := newGossip(5)
	g.agree(time.Minute)
	run := func() string {
		u, _ := g.entries[entryName(0)].Member(entryName(4))
		return u.Run
	}
	first := run()
	g.entries[entryName(4)].Leave()
	g.run(2 * time.Second)
	for _, name := range g.names[:4] {
		o.Expect(g.entries[name].Live()).To(Equal(g.names[:4]))
		u, _ := g.entries[name].Member(entryName(4))
		o.Expect(u).To(And(HaveField("Health", membership.Leaving), HaveField("Run", first)))
	}
	g.restart(4, 5)
	g.agree(10 * time.Second)
	o.Expect(g.agreed()).To(BeTrue())
	second := run()
	o.Expect(second).NotTo(Equal(first))
	say := func(incarnation time.Time, health membership.Health) {
		u := rpc.EntryUpdate{Name: entryName(4), Incarnation: uint64(incarnation.UnixMilli()), Health: uint8(health)}
		for _, name := range g.names[:4] {
			g.entries[name].Receive(g.now, rpc.Ping{From: entryName(1), Updates: []rpc.EntryUpdate{u}})
		}
	}
	say(time.Unix(1_800_000_000, 0), membership.Leaving)
	o.Expect(g.agreed()).To(BeTrue(), "an ended run says nothing")
	// The predecessor's clock was ahead, so that it has the higher incarnation.
	say(g.now.Add(time.Hour), membership.Leaving)
	o.Expect(g.agreed()).To(BeFalse())
	g.run(5 * time.Second)
	o.Expect(g.agreed()).To(BeTrue(), "it outbids its predecessor")
	o.Expect(run()).To(Equal(second))
}

// Guards against an entry that takes its own pause for the silence of others,
// and against a word of another's death that is believed or never cleared up.
func TestDetectorOwnPauseAndAccusation(t *testing.T) {
	o := NewWithT(t)
	now := time.Unix(1_800_000_000, 0)
	d := membership.NewDetector(membership.Update{Name: "a", Control: "a:1", Incarnation: 1}, membership.DefaultDetectorSettings(), rand.New(rand.NewPCG(1, 1)))
	hear := func(health membership.Health) {
		u := rpc.EntryUpdate{Name: "b", Incarnation: 1, Health: uint8(health), Control: "b:1", Run: "r"}
		d.Receive(now, rpc.Ping{From: "c", Updates: []rpc.EntryUpdate{u}})
	}
	health := func() membership.Health {
		u, _ := d.Member("b")
		return u.Health
	}
	hear(membership.Live)
	o.Expect(d.Tick(now)).To(ConsistOf(membership.Probe{Target: "b"}))
	now = now.Add(10 * time.Second)
	d.Tick(now)
	o.Expect(health()).To(Equal(membership.Live), "the answer may wait")
	for health() == membership.Live {
		now = now.Add(100 * time.Millisecond)
		d.Tick(now)
	}
	o.Expect(health()).To(Equal(membership.Suspect))
	now = now.Add(10 * time.Second)
	d.Tick(now)
	o.Expect(health()).To(Equal(membership.Suspect), "the refutation may wait")

	d.Answered("b")
	d.Receive(now, rpc.Ping{From: "b", Updates: []rpc.EntryUpdate{{Name: "b", Incarnation: 2, Health: uint8(membership.Live), Control: "b:1", Run: "r"}}})
	now = now.Add(500 * time.Millisecond)
	d.Tick(now)
	d.Answered("b")
	d.Receive(now, rpc.Ping{From: "c", Updates: []rpc.EntryUpdate{{Name: "b", Incarnation: 2, Health: uint8(membership.Dead)}}})
	o.Expect(d.Live()).To(ContainElement(state.EntryName("b")))
	now = now.Add(100 * time.Millisecond)
	o.Expect(d.Tick(now)).To(ContainElement(membership.Probe{Target: "b"}), "at once")
	o.Expect(d.PingRequest("b").Updates).To(ContainElement(rpc.EntryUpdate{Name: "b", Incarnation: 2, Health: uint8(membership.Dead)}))
}

// Guards against a restarted entry that is never taken up because its clock is
// behind that of its former host: the others kept the former process, which
// they know by a higher incarnation.
func TestDetectorRestartWithClockBehind(t *testing.T) {
	o := NewWithT(t)
	for _, n := range []int{2, 4, 44} {
		g := newGossip(n)
		g.agree(time.Minute)
		g.run(5 * time.Second)
		g.now = g.now.Add(-time.Minute)
		restarted := g.startedAgain(1, n)
		g.now = g.now.Add(time.Minute)
		g.run(10 * time.Second)
		o.Expect(g.agreed()).To(BeTrue())
		for _, name := range g.names {
			if name == entryName(1) {
				continue
			}
			known, _ := g.entries[name].Member(entryName(1))
			o.Expect(known.Run).To(Equal(restarted), "%s of %d", name, n)
			o.Expect(g.entries[name].Sum()).To(Equal(g.entries[entryName(1)].Sum()), "%s of %d", name, n)
		}
	}
}
