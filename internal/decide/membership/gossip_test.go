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

const simStep = 50 * time.Millisecond

// harness simulates the entries of a region in virtual time. A message takes one
// step to arrive. Each entry ticks every second step.
type harness struct {
	now     time.Time
	random  *rand.Rand
	names   []state.EntryName
	entries map[state.EntryName]*membership.Detector
	down    map[state.EntryName]bool
	// cut reports whether messages in that direction are dropped.
	cut  func(from, to state.EntryName) bool
	loss float64
	// bytes is the encoded size of all messages sent while measured is set,
	// secondBytes of those in the current second, and peakBytes of those in the
	// busiest second.
	measured    bool
	bytes       int
	secondBytes int
	peakBytes   int
	stepCount   int
	scheduled   []func()
}

func entryName(i int) state.EntryName { return state.EntryName(fmt.Sprintf("entry-north-%02d", i)) }

func control(i int) string { return fmt.Sprintf("10.20.30.%d:7001", 100+i) }

func noCut(state.EntryName, state.EntryName) bool { return false }

func newHarness(n int) *harness {
	g := &harness{
		now: time.Unix(1_800_000_000, 0), random: rand.New(rand.NewPCG(7, 7)),
		entries: map[state.EntryName]*membership.Detector{}, down: map[state.EntryName]bool{}, cut: noCut,
	}
	for i := range n {
		g.names = append(g.names, entryName(i))
		g.restart(i, n)
	}
	return g
}

// restart starts an entry whose settings name the others.
func (g *harness) restart(i, n int) {
	g.start(i, func(d *membership.Detector) {
		for j := range n {
			d.Seed(entryName(j), control(j))
		}
	})
}

// restartReturningRun restarts an entry and returns the run of its new process.
func (g *harness) restartReturningRun(i, n int) string {
	var run string
	g.start(i, func(d *membership.Detector) {
		for j := range n {
			d.Seed(entryName(j), control(j))
		}
		run = d.PingRequest(entryName((i + 1) % n)).Updates[0].Run
	})
	return run
}

func (g *harness) start(i int, seed func(d *membership.Detector)) {
	self := membership.Update{
		Name: entryName(i), Control: control(i), Run: fmt.Sprintf("%08x", g.random.Uint32()), Incarnation: uint64(g.now.UnixMilli()),
	}
	d := membership.NewDetector(self, membership.DefaultDetectorSettings(), rand.New(rand.NewPCG(uint64(i), 3)))
	seed(d)
	g.entries[self.Name] = d
}

// frame encodes messages as they are sent.
var frame rpc.FrameCodec

func (g *harness) measure(object any) {
	var encoded bytes.Buffer
	if err := frame.WriteObject(&encoded, object); err != nil {
		panic(err)
	}
	g.bytes += encoded.Len()
	g.secondBytes += encoded.Len()
}

// send delivers a message a step later unless it is lost or cut off.
func (g *harness) send(from, to state.EntryName, message rpc.Ping, deliver func()) {
	if g.random.Float64() < g.loss || g.cut(from, to) {
		return
	}
	g.scheduled = append(g.scheduled, func() {
		if !g.down[to] {
			g.entries[to].Receive(g.now, message)
			deliver()
		}
	})
}

func (g *harness) sendPing(from, to, target state.EntryName, deliver func(question rpc.Ping)) {
	question := g.entries[from].PingRequest(to)
	question.Target = target
	if g.measured {
		call := &jsonrpc2.Request{Method: rpc.MethodPing, ID: jsonrpc2.ID{Num: 123_456}}
		_ = call.SetParams(question)
		g.measure(call)
	}
	g.send(from, to, question, func() { deliver(question) })
}

func (g *harness) sendAnswer(from state.EntryName, question rpc.Ping, deliver func()) {
	answer := g.entries[from].PingResponse(question)
	if g.measured {
		response := &jsonrpc2.Response{ID: jsonrpc2.ID{Num: 123_456}}
		_ = response.SetResult(answer)
		g.measure(response)
	}
	g.send(from, question.From, answer, deliver)
}

// ping sends a ping to target and calls answered when the caller has the answer.
func (g *harness) ping(from, target state.EntryName, answered func()) {
	g.sendPing(from, target, "", func(question rpc.Ping) { g.sendAnswer(target, question, answered) })
}

// probe carries out a probe that Tick returned.
func (g *harness) probe(name state.EntryName, p membership.Probe) {
	answered := func() { g.entries[name].Answered(p.Target) }
	if p.Through == "" {
		g.ping(name, p.Target, answered)
		return
	}
	g.sendPing(name, p.Through, p.Target, func(question rpc.Ping) {
		g.ping(p.Through, p.Target, func() { g.sendAnswer(p.Through, question, answered) })
	})
}

func (g *harness) run(d time.Duration) {
	for end := g.now.Add(d); g.now.Before(end); {
		g.now = g.now.Add(simStep)
		g.stepCount++
		if g.stepCount%int(time.Second/simStep) == 0 {
			g.peakBytes = max(g.peakBytes, g.secondBytes)
			g.secondBytes = 0
		}
		due := g.scheduled
		g.scheduled = nil
		for _, deliver := range due {
			deliver()
		}
		for i, name := range g.names {
			if g.down[name] || (g.stepCount+i)%2 != 0 {
				continue
			}
			for _, p := range g.entries[name].Tick(g.now) {
				g.probe(name, p)
			}
		}
	}
}

// runUntilAgreed runs until each running entry has exactly the running ones as
// live, at most for limit, and returns how long that took.
func (g *harness) runUntilAgreed(limit time.Duration) time.Duration {
	began := g.now
	for g.now.Sub(began) < limit && !g.agreed() {
		g.run(simStep)
	}
	return g.now.Sub(began)
}

func (g *harness) agreed() bool {
	running := g.running()
	for _, name := range running {
		if !slices.Equal(g.entries[name].Live(), running) {
			return false
		}
	}
	return true
}

func (g *harness) running() []state.EntryName {
	return slices.DeleteFunc(slices.Clone(g.names), func(name state.EntryName) bool { return g.down[name] })
}

// missingLive counts, over the first n entries, how many of these n each one does
// not have as live.
func (g *harness) missingLive(n int) int {
	missing := 0
	for _, name := range g.names[:n] {
		live := g.entries[name].Live()
		if len(live) >= n && slices.Equal(live[:n], g.names[:n]) {
			continue
		}
		for _, other := range g.names[:n] {
			if !slices.Contains(live, other) {
				missing++
			}
		}
	}
	return missing
}
