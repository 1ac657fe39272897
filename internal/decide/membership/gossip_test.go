package membership_test

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

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

// startedAgain restarts an entry and returns its run.
func (g *gossip) startedAgain(i, n int) string {
	var run string
	g.start(i, func(d *membership.Detector) {
		for j := range n {
			d.Seed(entryName(j), control(j))
		}
		run = d.PingRequest(entryName((i + 1) % n)).Updates[0].Run
	})
	return run
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
var frame rpc.FrameCodec

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
	question := g.entries[from].PingRequest(to)
	question.Target = target
	if g.measured {
		call := &jsonrpc2.Request{Method: rpc.MethodPing, ID: jsonrpc2.ID{Num: 123_456}}
		_ = call.SetParams(question)
		g.measure(call)
	}
	g.send(from, to, question, func() { deliver(question) })
}

func (g *gossip) answer(from state.EntryName, question rpc.Ping, deliver func()) {
	answer := g.entries[from].PingResponse(question)
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
