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

// Guards against gossip traffic per entry that grows with the size of the region.
func TestDetectorTrafficPerEntry(t *testing.T) {
	o := NewWithT(t)
	perEntry := map[int]float64{}
	for _, n := range []int{4, 44} {
		g := newHarness(n)
		agreedIn := g.runUntilAgreed(time.Minute)
		g.run(time.Minute)
		o.Expect(g.agreed()).To(BeTrue())
		g.measured = true
		g.run(30 * time.Second)
		perEntry[n] = float64(g.bytes) / 30 / float64(n) * 2
		t.Logf("%d entries start together: agreed after %v; idle traffic of each %.0f B/s, both directions", n, agreedIn, perEntry[n])
		o.Expect(agreedIn).To(BeNumerically("<=", 2*time.Second))
	}
	o.Expect(perEntry[44]).To(BeNumerically("<", 1000))
	o.Expect(perEntry[44]).To(BeNumerically("<", 1.2*perEntry[4]))
}

// Guards against slow detection of the loss of one entry, and of a data centre,
// whose entries are found by random probes one after the other.
func TestDetectionTime(t *testing.T) {
	o := NewWithT(t)
	for _, c := range []struct{ n, lost int }{{4, 1}, {44, 1}, {44, 15}} {
		var detected, rejoined []time.Duration
		var mean, peak float64
		g := newHarness(c.n)
		g.runUntilAgreed(time.Minute)
		for round := range 6 {
			g.run(5*time.Second + time.Duration(round)*3*simStep)
			o.Expect(g.agreed()).To(BeTrue())
			for i := range c.lost {
				g.down[g.names[(round+i)%c.n]] = true
			}
			g.bytes, g.secondBytes, g.peakBytes, g.measured = 0, 0, 0, true
			detected = append(detected, g.runUntilAgreed(time.Minute))
			g.run(10*time.Second - detected[round])
			g.measured = false
			running := float64(len(g.running()))
			mean, peak = max(mean, float64(g.bytes)/10/running*2), max(peak, float64(g.peakBytes)/running*2)
			for i := range c.lost {
				g.down[g.names[(round+i)%c.n]] = false
				g.restart((round+i)%c.n, c.n)
			}
			rejoined = append(rejoined, g.runUntilAgreed(time.Minute))
			o.Expect(g.agreed()).To(BeTrue())
		}
		slices.Sort(detected)
		slices.Sort(rejoined)
		t.Logf("%d of %d lost: agreed after %v to %v; after their restart: %v to %v; traffic of each at most %.0f B/s over 10 s and %.0f B in one second, both directions",
			c.lost, c.n, detected[0], detected[5], rejoined[0], rejoined[5], mean, peak)
		o.Expect(detected[5]).To(BeNumerically("<=", 3250*time.Millisecond))
		o.Expect(rejoined[5]).To(BeNumerically("<=", 6*time.Second))
	}
}

// Guards against entries that never agree on the live ones again after a fault
// (messages lost in one direction, a partition, a pause of one process), and
// against a fault of some that makes the others consider each other dead.
func TestDetectorAgreesAfterFaults(t *testing.T) {
	o := NewWithT(t)
	g := newHarness(44)
	g.runUntilAgreed(time.Minute)
	o.Expect(g.agreed()).To(BeTrue())

	// Entry 43 receives nothing. Its view of the others must not spread.
	g.cut = func(_, to state.EntryName) bool { return to == entryName(43) }
	for range 10 * time.Second / simStep {
		g.run(simStep)
		o.Expect(g.missingLive(43)).To(BeZero(), "the others still reach each other")
	}
	o.Expect(g.entries[entryName(10)].Live()).NotTo(ContainElement(entryName(43)), "it cannot answer")
	g.cut = noCut
	t.Logf("one-way cut of one entry ends: agreed after %v", g.runUntilAgreed(time.Minute))
	o.Expect(g.agreed()).To(BeTrue())

	g.cut = func(from, to state.EntryName) bool { return (from < entryName(20)) != (to < entryName(20)) }
	g.run(20 * time.Second)
	o.Expect(g.entries[entryName(0)].Live()).To(Equal(g.names[:20]), "its own side")
	o.Expect(g.entries[entryName(43)].Live()).To(Equal(g.names[20:]), "its own side")
	g.cut = noCut
	began := g.now
	for g.now.Sub(began) < time.Minute && !g.agreed() {
		g.run(simStep)
		o.Expect(g.missingLive(20)).To(BeZero(), "each side keeps its own entries while the partition heals")
	}
	t.Logf("partition of 20 s ends: agreed after %v", g.now.Sub(began))
	o.Expect(g.agreed()).To(BeTrue())

	g.down[entryName(3)] = true
	g.run(10 * time.Second)
	g.down[entryName(3)] = false
	for began = g.now; g.now.Sub(began) < 5*time.Second; {
		g.run(simStep)
		o.Expect(g.missingLive(3)).To(BeZero(), "a pause of its own is not the silence of others")
		o.Expect(g.entries[entryName(3)].Live()).To(HaveLen(44))
	}
	o.Expect(g.agreed()).To(BeTrue())
}

// Guards against live entries that are considered dead under 2 % message loss,
// while messages from one entry to another are cut off in one direction, and while
// other entries restart.
func TestDetectorFalseDeaths(t *testing.T) {
	o := NewWithT(t)
	g := newHarness(44)
	g.runUntilAgreed(time.Minute)
	o.Expect(g.agreed()).To(BeTrue())
	g.loss = 0.02
	g.cut = func(from, to state.EntryName) bool { return from == entryName(5) && to == entryName(6) }
	for i := range 60 * 20 {
		g.run(simStep)
		if i%400 == 399 {
			g.restart(40+i/400, 44)
		}
		o.Expect(g.missingLive(40)).To(BeZero())
	}
}

// Guards against ended entries that are remembered for ever or added again by late
// messages, and against a partition longer than ForgetAfter that never heals.
func TestDetectorForgets(t *testing.T) {
	o := NewWithT(t)
	g := newHarness(3)
	g.start(2, func(d *membership.Detector) { d.Seed(entryName(0), control(0)) })
	for i := range 2 {
		g.start(i, func(d *membership.Detector) { d.Seed(entryName(1-i), control(1-i)) })
	}
	g.runUntilAgreed(time.Minute)
	o.Expect(g.agreed()).To(BeTrue(), "an entry that no settings name is found")
	former := g.entries[entryName(2)]
	_, known := g.entries[entryName(0)].Member(entryName(2))
	o.Expect(known).To(BeTrue())

	g.down[entryName(2)] = true
	g.run(50 * time.Minute)
	_, known = g.entries[entryName(1)].Member(entryName(2))
	o.Expect(known).To(BeTrue(), "late messages about it are still recognised")
	g.cut = func(state.EntryName, state.EntryName) bool { return true }
	g.run(time.Hour + 20*time.Minute)
	_, known = g.entries[entryName(1)].Member(entryName(2))
	o.Expect(known).To(BeFalse())
	o.Expect(g.entries[entryName(1)].Live()).To(Equal(g.names[1:2]))
	g.cut = noCut
	g.runUntilAgreed(time.Minute)
	o.Expect(g.agreed()).To(BeTrue(), "seeds find each other")

	update := rpc.Ping{From: entryName(0), Updates: []rpc.EntryUpdate{{Name: entryName(2), Incarnation: 1, Health: uint8(membership.Dead)}}}
	g.entries[entryName(1)].Receive(g.now, update)
	_, known = g.entries[entryName(1)].Member(entryName(2))
	o.Expect(known).To(BeFalse(), "an update of a forgotten entry must not add it again")
	g.entries[entryName(2)] = former
	g.down[entryName(2)] = false
	g.runUntilAgreed(time.Minute)
	o.Expect(g.agreed()).To(BeTrue(), "a forgotten entry that still runs is added again")
}

// Guards against a leaving entry that keeps its roles, and against a late message
// of its former process that marks a restarted entry as leaving.
func TestDetectorLeavingAndRestart(t *testing.T) {
	o := NewWithT(t)
	g := newHarness(5)
	g.runUntilAgreed(time.Minute)
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
	g.runUntilAgreed(10 * time.Second)
	o.Expect(g.agreed()).To(BeTrue())
	second := run()
	o.Expect(second).NotTo(Equal(first))
	report := func(incarnation time.Time, health membership.Health) {
		u := rpc.EntryUpdate{Name: entryName(4), Incarnation: uint64(incarnation.UnixMilli()), Health: uint8(health)}
		for _, name := range g.names[:4] {
			g.entries[name].Receive(g.now, rpc.Ping{From: entryName(1), Updates: []rpc.EntryUpdate{u}})
		}
	}
	report(time.Unix(1_800_000_000, 0), membership.Leaving)
	o.Expect(g.agreed()).To(BeTrue(), "an update of an ended process is ignored")
	// The former process's clock was ahead, so that it has the higher incarnation.
	report(g.now.Add(time.Hour), membership.Leaving)
	o.Expect(g.agreed()).To(BeFalse())
	g.run(5 * time.Second)
	o.Expect(g.agreed()).To(BeTrue(), "it takes a higher incarnation than its former process")
	o.Expect(run()).To(Equal(second))
}

// Guards against an entry that mistakes a pause of its own for the silence of
// others, and against another entry's report of a death that is accepted without a
// probe or never confirmed or refuted by one.
func TestDetectorOwnPauseAndDeathReport(t *testing.T) {
	o := NewWithT(t)
	now := time.Unix(1_800_000_000, 0)
	d := membership.NewDetector(membership.Update{Name: "a", Control: "a:1", Incarnation: 1}, membership.DefaultDetectorSettings(), rand.New(rand.NewPCG(1, 1)))
	report := func(health membership.Health) {
		u := rpc.EntryUpdate{Name: "b", Incarnation: 1, Health: uint8(health), Control: "b:1", Run: "r"}
		d.Receive(now, rpc.Ping{From: "c", Updates: []rpc.EntryUpdate{u}})
	}
	health := func() membership.Health {
		u, _ := d.Member("b")
		return u.Health
	}
	report(membership.Live)
	o.Expect(d.Tick(now)).To(ConsistOf(membership.Probe{Target: "b"}))
	now = now.Add(10 * time.Second)
	d.Tick(now)
	o.Expect(health()).To(Equal(membership.Live), "the answer may still be queued")
	for health() == membership.Live {
		now = now.Add(100 * time.Millisecond)
		d.Tick(now)
	}
	o.Expect(health()).To(Equal(membership.Suspect))
	now = now.Add(10 * time.Second)
	d.Tick(now)
	o.Expect(health()).To(Equal(membership.Suspect), "the refutation may still be queued")

	d.Answered("b")
	d.Receive(now, rpc.Ping{From: "b", Updates: []rpc.EntryUpdate{{Name: "b", Incarnation: 2, Health: uint8(membership.Live), Control: "b:1", Run: "r"}}})
	now = now.Add(500 * time.Millisecond)
	d.Tick(now)
	d.Answered("b")
	d.Receive(now, rpc.Ping{From: "c", Updates: []rpc.EntryUpdate{{Name: "b", Incarnation: 2, Health: uint8(membership.Dead)}}})
	o.Expect(d.Live()).To(ContainElement(state.EntryName("b")))
	now = now.Add(100 * time.Millisecond)
	o.Expect(d.Tick(now)).To(ContainElement(membership.Probe{Target: "b"}), "probed at once")
	o.Expect(d.PingRequest("b").Updates).To(ContainElement(rpc.EntryUpdate{Name: "b", Incarnation: 2, Health: uint8(membership.Dead)}))
}

// Guards against a restarted entry that is never accepted because its clock is
// behind that of its former host: the others keep the former process, of which
// they hold a higher incarnation.
func TestDetectorRestartWithClockBehind(t *testing.T) {
	o := NewWithT(t)
	for _, n := range []int{2, 4, 44} {
		g := newHarness(n)
		g.runUntilAgreed(time.Minute)
		g.run(5 * time.Second)
		g.now = g.now.Add(-time.Minute)
		restarted := g.restartReturningRun(1, n)
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
