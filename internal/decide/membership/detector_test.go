package membership_test

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/lagoonvalve/lagoonvalve/internal/decide/membership"
	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

const gossipStep = 50 * time.Millisecond

// gossip is a region of entries in virtual time. A call takes one step and its
// answer another. Each entry ticks every second step.
type gossip struct {
	now     time.Time
	random  *rand.Rand
	names   []state.EntryName
	entries map[state.EntryName]*membership.Detector
	down    map[state.EntryName]bool
	// cut tells which one-way paths are broken.
	cut  func(from, to state.EntryName) bool
	loss float64
	// bytes counts the sent messages as encoded if they are measured, second
	// those of the running second, and peak those of the busiest one.
	measured bool
	bytes    int
	second   int
	peak     int
	steps    int
	later    []func()
}

func entryName(i int) state.EntryName { return state.EntryName(fmt.Sprintf("entry-north-%02d", i)) }

func control(i int) string { return fmt.Sprintf("10.20.30.%d:7001", 100+i) }

func uncut(state.EntryName, state.EntryName) bool { return false }

func newGossip(n int) *gossip {
	g := &gossip{
		now: time.Unix(1_800_000_000, 0), random: rand.New(rand.NewPCG(7, 7)),
		entries: map[state.EntryName]*membership.Detector{}, down: map[state.EntryName]bool{}, cut: uncut,
	}
	for i := range n {
		g.names = append(g.names, entryName(i))
		g.restart(i, n)
	}
	return g
}

// restart starts an entry that knows the others from its settings.
func (g *gossip) restart(i, n int) {
	g.start(i, func(d *membership.Detector) {
		for j := range n {
			d.Seed(entryName(j), control(j))
		}
	})
}

func (g *gossip) start(i int, seed func(d *membership.Detector)) {
	self := membership.Update{
		Name: entryName(i), Control: control(i), Run: fmt.Sprintf("%08x", g.random.Uint32()), Incarnation: uint64(g.now.UnixMilli()),
	}
	d := membership.NewDetector(self, membership.DefaultDetectorSettings(), rand.New(rand.NewPCG(uint64(i), 3)))
	seed(d)
	g.entries[self.Name] = d
}

// frame writes objects as they are sent.
var frame jsonrpc2.VSCodeObjectCodec

func (g *gossip) measure(object any) {
	var encoded bytes.Buffer
	if err := frame.WriteObject(&encoded, object); err != nil {
		panic(err)
	}
	g.bytes += encoded.Len()
	g.second += encoded.Len()
}

// send delivers a message a step later, or not at all.
func (g *gossip) send(from, to state.EntryName, message rpc.Ping, deliver func()) {
	if g.random.Float64() < g.loss || g.cut(from, to) {
		return
	}
	g.later = append(g.later, func() {
		if !g.down[to] {
			g.entries[to].Receive(g.now, message)
			deliver()
		}
	})
}

func (g *gossip) ask(from, to, target state.EntryName, deliver func(question rpc.Ping)) {
	question := g.entries[from].Question(to)
	question.Target = target
	if g.measured {
		call := &jsonrpc2.Request{Method: rpc.MethodPing, ID: jsonrpc2.ID{Num: 123_456}}
		_ = call.SetParams(question)
		g.measure(call)
	}
	g.send(from, to, question, func() { deliver(question) })
}

func (g *gossip) answer(from state.EntryName, question rpc.Ping, deliver func()) {
	answer := g.entries[from].Answer(question)
	if g.measured {
		response := &jsonrpc2.Response{ID: jsonrpc2.ID{Num: 123_456}}
		_ = response.SetResult(answer)
		g.measure(response)
	}
	g.send(from, question.From, answer, deliver)
}

// ping calls target and then answered at the caller.
func (g *gossip) ping(from, target state.EntryName, answered func()) {
	g.ask(from, target, "", func(question rpc.Ping) { g.answer(target, question, answered) })
}

// probe carries out what a tick returned.
func (g *gossip) probe(name state.EntryName, p membership.Probe) {
	answered := func() { g.entries[name].Answered(p.Target) }
	if p.Through == "" {
		g.ping(name, p.Target, answered)
		return
	}
	g.ask(name, p.Through, p.Target, func(question rpc.Ping) {
		g.ping(p.Through, p.Target, func() { g.answer(p.Through, question, answered) })
	})
}

func (g *gossip) run(d time.Duration) {
	for end := g.now.Add(d); g.now.Before(end); {
		g.now = g.now.Add(gossipStep)
		g.steps++
		if g.steps%int(time.Second/gossipStep) == 0 {
			g.peak = max(g.peak, g.second)
			g.second = 0
		}
		due := g.later
		g.later = nil
		for _, f := range due {
			f()
		}
		for i, name := range g.names {
			if g.down[name] || (g.steps+i)%2 != 0 {
				continue
			}
			for _, p := range g.entries[name].Tick(g.now) {
				g.probe(name, p)
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
	running := g.running()
	for _, name := range running {
		if !slices.Equal(g.entries[name].Live(), running) {
			return false
		}
	}
	return true
}

func (g *gossip) running() []state.EntryName {
	return slices.DeleteFunc(slices.Clone(g.names), func(name state.EntryName) bool { return g.down[name] })
}

// lost counts the entries that any of the first n does not see as live though
// it is one of them.
func (g *gossip) lost(n int) int {
	lost := 0
	for _, name := range g.names[:n] {
		live := g.entries[name].Live()
		if len(live) >= n && slices.Equal(live[:n], g.names[:n]) {
			continue
		}
		for _, other := range g.names[:n] {
			if !slices.Contains(live, other) {
				lost++
			}
		}
	}
	return lost
}

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
	o.Expect(d.Question("b").Updates).To(ContainElement(rpc.EntryUpdate{Name: "b", Incarnation: 2, Health: uint8(membership.Dead)}))
}
