package membership_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lagoonvalve/lagoonvalve/internal/decide/membership"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

const (
	gossipStep = 50 * time.Millisecond
	// envelope is what a call and its answer take beyond the updates.
	envelope = 200
)

// gossip is a region of entries in virtual time. A call takes one step and its
// answer another.
type gossip struct {
	now     time.Time
	random  *rand.Rand
	entries map[state.EntryName]*membership.Detector
	down    map[state.EntryName]bool
	// cut tells which one-way paths are broken.
	cut   func(from, to state.EntryName) bool
	loss  float64
	bytes int
	later []func()
}

func entryName(i int) state.EntryName { return state.EntryName(fmt.Sprintf("e%02d", i)) }

func newGossip(n int) *gossip {
	g := &gossip{
		now: time.Unix(1_800_000_000, 0), random: rand.New(rand.NewPCG(7, 7)),
		entries: map[state.EntryName]*membership.Detector{}, down: map[state.EntryName]bool{},
		cut: func(state.EntryName, state.EntryName) bool { return false },
	}
	for i := range n {
		g.restart(i, n)
	}
	return g
}

// restart starts an entry that knows the others from its settings.
func (g *gossip) restart(i, n int) {
	self := membership.Update{Name: entryName(i), Control: fmt.Sprintf("10.0.0.%d:7001", i), Incarnation: uint64(g.now.UnixMilli())}
	d := membership.NewDetector(self, membership.DefaultDetectorSettings(), rand.New(rand.NewPCG(uint64(i), 3)))
	for j := range n {
		if j != i {
			d.Receive(g.now, membership.Update{Name: entryName(j), Control: fmt.Sprintf("10.0.0.%d:7001", j), Health: membership.Live})
		}
	}
	g.entries[self.Name] = d
}

// send delivers a message a step later, or not at all.
func (g *gossip) send(from, to state.EntryName, deliver func()) {
	updates := g.entries[from].Message(to)
	data, _ := json.Marshal(updates)
	g.bytes += len(data) + envelope/2
	if g.random.Float64() < g.loss || g.cut(from, to) {
		return
	}
	g.later = append(g.later, func() {
		if !g.down[to] {
			g.entries[to].Receive(g.now, updates...)
			deliver()
		}
	})
}

// ping calls target and then answered at the caller.
func (g *gossip) ping(from, target state.EntryName, answered func()) {
	g.send(from, target, func() { g.send(target, from, answered) })
}

func (g *gossip) run(d time.Duration) {
	for end := g.now.Add(d); g.now.Before(end); {
		g.now = g.now.Add(gossipStep)
		due := g.later
		g.later = nil
		for _, f := range due {
			f()
		}
		for i := range len(g.entries) {
			name := entryName(i)
			if g.down[name] {
				continue
			}
			for _, p := range g.entries[name].Tick(g.now) {
				answered := func() { g.entries[name].Answered(p.Target) }
				if p.Through == "" {
					g.ping(name, p.Target, answered)
					continue
				}
				g.send(name, p.Through, func() {
					g.ping(p.Through, p.Target, func() { g.send(p.Through, name, answered) })
				})
			}
		}
	}
}

// agree returns how long it takes until all running entries see exactly the
// running ones, up to a limit.
func (g *gossip) agree(limit time.Duration) time.Duration {
	began := g.now
	for g.now.Sub(began) < limit && !g.agreed() {
		g.run(gossipStep)
	}
	return g.now.Sub(began)
}

func (g *gossip) agreed() bool {
	var running []state.EntryName
	for i := range len(g.entries) {
		if !g.down[entryName(i)] {
			running = append(running, entryName(i))
		}
	}
	for _, name := range running {
		if !slices.Equal(g.entries[name].Live(), running) {
			return false
		}
	}
	return true
}

// Guards against slow detection, against entries that never agree again after
// a fault, and against a cost that grows with the number of entries.
func TestDetectorFaults(t *testing.T) {
	o := NewWithT(t)
	perEntry := map[int]float64{}
	for _, n := range []int{4, 44} {
		g := newGossip(n)
		g.run(2 * time.Minute)
		o.Expect(g.agreed()).To(BeTrue())
		g.bytes = 0
		g.run(30 * time.Second)
		perEntry[n] = float64(g.bytes) / 30 / float64(n) * 2
		g.down[entryName(1)] = true
		took := g.agree(time.Minute)
		t.Logf("%d entries: %.0f B/s each, both ways; one lost: agreed after %v", n, perEntry[n], took)
		o.Expect(took).To(BeNumerically("<", 6*time.Second))
	}
	o.Expect(perEntry[44]).To(BeNumerically("<", 1.2*perEntry[4]))

	g := newGossip(44)
	g.run(10 * time.Second)
	for i := range 15 {
		g.down[entryName(i)] = true
	}
	t.Logf("15 of 44 lost at once: agreed after %v", g.agree(time.Minute))
	o.Expect(g.agreed()).To(BeTrue())
	for i := range 15 {
		g.down[entryName(i)] = false
		g.restart(i, 44)
	}
	t.Logf("they start again: agreed after %v", g.agree(time.Minute))
	o.Expect(g.agreed()).To(BeTrue())

	// What a deaf entry sees of the others does not count.
	g.cut = func(_, to state.EntryName) bool { return to == "e09" }
	g.run(10 * time.Second)
	o.Expect(g.entries["e10"].Live()).NotTo(ContainElement(state.EntryName("e09")), "it cannot answer")
	g.cut = func(state.EntryName, state.EntryName) bool { return false }
	t.Logf("one-way cut of one entry ends: agreed after %v", g.agree(time.Minute))
	o.Expect(g.agreed()).To(BeTrue())

	g.cut = func(from, to state.EntryName) bool { return (from < "e20") != (to < "e20") }
	g.run(20 * time.Second)
	o.Expect(g.entries["e00"].Live()).To(HaveLen(20), "its own side")
	o.Expect(g.entries["e43"].Live()).To(HaveLen(24), "its own side")
	g.cut = func(state.EntryName, state.EntryName) bool { return false }
	t.Logf("partition of 20 s ends: agreed after %v", g.agree(time.Minute))
	o.Expect(g.agreed()).To(BeTrue())

	g.down[entryName(3)] = true
	g.run(10 * time.Second)
	g.down[entryName(3)] = false
	t.Logf("pause of 10 s ends: agreed after %v", g.agree(time.Minute))
	o.Expect(g.agreed()).To(BeTrue())
}

// Guards against false deaths under loss, under a one-way cut between two
// entries, and while others restart.
func TestDetectorFalseDeaths(t *testing.T) {
	o := NewWithT(t)
	g := newGossip(44)
	g.loss = 0.02
	g.cut = func(from, to state.EntryName) bool { return from == "e05" && to == "e06" }
	deaths := 0
	for i := range 60 * 20 {
		g.run(gossipStep)
		if i%400 == 399 {
			g.restart(40+i/400, 44)
		}
		for j := range 40 {
			live := g.entries[entryName(j)].Live()
			for k := range 40 {
				if !slices.Contains(live, entryName(k)) {
					deaths++
				}
			}
		}
	}
	o.Expect(deaths).To(BeZero())
}
