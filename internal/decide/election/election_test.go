package election_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/lagoonvalve/lagoonvalve/internal/decide/election"
	"github.com/lagoonvalve/lagoonvalve/internal/fleet"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

var settings = election.Settings{
	TTL: 3 * time.Second, Renew: 800 * time.Millisecond, Margin: 500 * time.Millisecond, Settle: 3 * time.Second,
}

// delayedWrite is a write that reaches the log later.
type delayedWrite struct {
	step  election.Step
	began time.Time
}

// process is one of the processes that compete for the lease.
type process struct {
	host string
	// starts counts the earlier processes on the host.
	starts      int
	machine     *election.Machine
	frozenUntil time.Time
	leaving     bool
}

// holderName returns the name of the process as a holder.
func (p *process) holderName() string { return fmt.Sprint(p.host, "/", p.starts) }

// harness simulates a log with conditional writes and the processes that compete for
// the lease in it.
type harness struct {
	t       *rapid.T
	now     time.Time
	records []fleet.LeaseRecord
	// delay is how long the store takes to answer a write.
	delay time.Duration
	// readers are the processes that read the log between a write and its answer.
	readers   []*process
	processes []*process
	// lateWrites holds writes without an answer that may still be stored later if
	// their condition holds then.
	lateWrites []delayedWrite
	// promised is when a process last promised a holder not to take the lease, by
	// the names of the holder and the process.
	promised map[[2]string]time.Time
	// ended lists the names of holders that will not act again.
	ended []string
	// actions lists which process could act when, in order of time.
	actions []action
}

type action struct {
	process int
	token   state.FencingToken
	at      time.Time
}

func (w *harness) appendRecord(step election.Step) bool {
	if step.End != state.Offset(len(w.records)) {
		return false
	}
	w.records = append(w.records, step.Record)
	return true
}

func (w *harness) read(p *process) {
	if n := len(w.records); n > 0 {
		record := w.records[n-1]
		p.machine.ObserveRead(&record, state.Offset(n-1), state.Offset(n), w.now)
		return
	}
	p.machine.ObserveRead(nil, state.NoOffset, 0, w.now)
}

func (w *harness) run(p *process, store string) {
	began := w.now
	step := p.machine.Next(w.now, p.leaving)
	switch {
	case step.Action == election.Wait:
	case step.Action == election.Read:
		if store != "down" {
			w.read(p)
		}
	case store == "down":
		p.machine.ObserveWrite(step.Record, step.End, began, false, false, w.now)
	case store == "lost":
		w.appendRecord(step)
		p.machine.ObserveWrite(step.Record, step.End, began, false, true, w.now)
	case store == "late":
		w.lateWrites = append(w.lateWrites, delayedWrite{step, began})
		p.machine.ObserveWrite(step.Record, step.End, began, false, true, w.now)
	default:
		ok := w.appendRecord(step)
		// Other processes may read while the answer is in transit.
		for _, reader := range w.readers {
			if reader != p {
				w.read(reader)
			}
		}
		w.now = w.now.Add(w.delay)
		p.machine.ObserveWrite(step.Record, step.End, began, ok, false, w.now)
	}
}

// exchangePromises lets the process that acts ask all others for a promise, and sets
// the time since which it has the promises of all. A process started since then has
// promised nothing.
func (w *harness) exchangePromises() {
	for _, holder := range w.processes {
		if _, ok := holder.machine.MayAct(w.now); !ok || w.now.Before(holder.frozenUntil) {
			continue
		}
		soonest := w.now
		for _, p := range w.processes {
			key := [2]string{holder.holderName(), p.holderName()}
			if p != holder && !w.now.Before(p.frozenUntil) && p.machine.Promise(holder.machine.Offset(), w.now) {
				w.promised[key] = w.now
			}
			if at := w.promised[key]; p != holder && at.Before(soonest) {
				soonest = at
			}
		}
		holder.machine.SetPromisedAt(soonest)
	}
}

// checkHolders fails if two processes may act at once, or if the token does not grow
// when the holder changes.
func (w *harness) checkHolders() {
	holders := 0
	for i, p := range w.processes {
		token, ok := p.machine.MayAct(w.now)
		if !ok || w.now.Before(p.frozenUntil) {
			continue
		}
		holders++
		if n := len(w.actions); n > 0 && w.actions[n-1].process != i && token <= w.actions[n-1].token {
			w.t.Fatalf("process %d acts with token %d after %+v", i, token, w.actions[n-1])
		}
		w.actions = append(w.actions, action{i, token, w.now})
	}
	if holders > 1 {
		w.t.Fatalf("%d holders at %v", holders, w.now)
	}
}

// checkTurns fails if two processes acted in turns within Settle, the time in which
// an engine would take them for rivals.
func (w *harness) checkTurns() {
	for i, a := range w.actions {
		other := false
		for _, b := range w.actions[i+1:] {
			if b.at.Sub(a.at) >= settings.Settle {
				break
			}
			if b.process != a.process {
				other = true
			} else if other {
				w.t.Fatalf("process %d acted at %v and, after another, at %v", a.process, a.at, b.at)
			}
		}
	}
}

// Guards against two processes that give orders at once, a token that decreases, and
// holders that act in turns. The schedule freezes and kills processes, lets holders
// resign or release the lease, loses answers to writes, stores writes late and takes
// the store down, in any order.
func TestOneHolderInAnySchedule(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &harness{t: t, now: time.Unix(1000, 0), promised: map[[2]string]time.Time{}}
		for i := range rapid.IntRange(2, 4).Draw(t, "processes") {
			p := &process{host: fmt.Sprint("host", i)}
			p.machine = election.NewMachine(p.holderName(), p.host, p.host, settings)
			w.processes = append(w.processes, p)
		}
		for range rapid.IntRange(50, 300).Draw(t, "steps") {
			w.now = w.now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
			p := w.processes[rapid.IntRange(0, len(w.processes)-1).Draw(t, "process")]
			switch rapid.SampledFrom([]string{"run", "run", "run", "run", "lost", "late", "down", "freeze", "land", "leave", "heard", "kill", "resign", "proof", "proof", "promise", "promise", "promise"}).Draw(t, "what") {
			case "run":
				w.delay = time.Duration(rapid.SampledFrom([]int{4, 20, 900}).Draw(t, "delay")) * time.Millisecond
				w.readers = nil
				if rapid.Bool().Draw(t, "read") {
					w.readers = w.processes
				}
				if !w.now.Before(p.frozenUntil) {
					w.run(p, "ok")
				}
			case "lost":
				w.run(p, "lost")
			case "late":
				w.run(p, "late")
			case "down":
				w.run(p, "down")
			case "freeze":
				p.frozenUntil = w.now.Add(time.Duration(rapid.IntRange(100, 6000).Draw(t, "frozen")) * time.Millisecond)
			case "land":
				if len(w.lateWrites) > 0 {
					w.appendRecord(w.lateWrites[0].step)
					w.lateWrites = w.lateWrites[1:]
				}
			case "leave":
				p.leaving = !p.leaving
			case "kill":
				// A process ends and another one starts on its host. Other
				// processes may get proof of that, soon or late.
				ended := p.holderName()
				p.starts++
				p.machine, p.leaving, p.frozenUntil = election.NewMachine(p.holderName(), p.host, p.host, settings), false, time.Time{}
				w.ended = append(w.ended, ended)
			case "promise":
				w.exchangePromises()
			case "resign":
				// The process no longer acts under its old name and continues
				// under another one.
				ended := p.holderName()
				p.starts++
				p.machine.Resign(p.holderName(), w.now)
				w.ended = append(w.ended, ended)
			case "proof":
				if len(w.ended) > 0 {
					p.machine.ObserveEnd(w.ended[rapid.IntRange(0, len(w.ended)-1).Draw(t, "dead")], w.now)
				}
			case "heard":
				for _, holder := range w.processes {
					if _, ok := holder.machine.MayAct(w.now); ok && holder != p {
						p.machine.ObserveOffset(holder.machine.Offset(), w.now)
						if rapid.Bool().Draw(t, "announced") {
							name, control := holder.machine.Leader()
							p.machine.ObserveAnnouncement(name, control, holder.machine.Offset(), w.now)
						}
					}
				}
			}
			w.checkHolders()
		}
		w.checkTurns()
	})
}

// Guards against a lease that no standby takes after its holder has stopped.
func TestStandbyTakesOver(t *testing.T) {
	g := NewWithT(t)
	w := &harness{now: time.Unix(1000, 0)}
	a, b := &process{machine: election.NewMachine("a", "host-a", "addr-a", settings)}, &process{machine: election.NewMachine("b", "host-b", "addr-b", settings)}
	for range 3 {
		w.run(a, "ok")
	}
	first, holds := a.machine.MayAct(w.now)
	g.Expect(holds).To(BeTrue(), "the first holder acts without a pause")
	for range 100 {
		w.now = w.now.Add(50 * time.Millisecond)
		w.run(b, "ok")
		if token, ok := b.machine.MayAct(w.now); ok {
			g.Expect(token).To(BeNumerically(">", first))
			_, control := b.machine.Leader()
			g.Expect(control).To(Equal("addr-b"))
			return
		}
	}
	t.Fatal("nobody took the lease within 5 s")
}

// Guards against a new holder that pauses although no other host can act in turns
// with it, so that no orders are given for the TTL of a lease.
func TestHandOverToAnotherHostNeedsNoPause(t *testing.T) {
	g := NewWithT(t)
	w := &harness{now: time.Unix(1000, 0)}
	a, b := &process{machine: election.NewMachine("a", "host-a", "addr-a", settings)}, &process{machine: election.NewMachine("b", "host-b", "addr-b", settings)}
	handOver(w, a, b)
	_, holds := b.machine.MayAct(w.now)
	g.Expect(holds).To(BeTrue())
}

// handOver lets a take the lease and release it, and b take it.
func handOver(w *harness, a, b *process) {
	for range 3 {
		w.run(a, "ok")
	}
	a.leaving = true
	w.run(a, "ok")
	for range 3 {
		w.run(b, "ok")
	}
}

// Guards against a host that held the lease before and, after the lease is handed
// back to it, acts within the time in which engines compare holders: also through a
// new process on that host, and after a third host has held the lease in between.
func TestHandOverBackToRecentHostWaits(t *testing.T) {
	for name, next := range map[string]*process{
		"to a new process":  {machine: election.NewMachine("a2", "host-a", "addr-a", settings)},
		"by way of a third": {machine: election.NewMachine("a3", "host-a", "addr-a", settings)},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			w := &harness{now: time.Unix(1000, 0)}
			a, b := &process{machine: election.NewMachine("a", "host-a", "addr-a", settings)}, &process{machine: election.NewMachine("b", "host-b", "addr-b", settings)}
			handOver(w, a, b)
			last := b
			if name == "by way of a third" {
				last = &process{machine: election.NewMachine("c", "host-c", "addr-c", settings)}
				handOver(w, b, last)
			}
			handOver(w, last, next)
			released := w.now
			for w.now.Sub(released) < settings.Settle {
				_, holds := next.machine.MayAct(w.now)
				g.Expect(holds).To(BeFalse())
				w.now = w.now.Add(100 * time.Millisecond)
				w.run(next, "ok")
			}
			w.now = w.now.Add(time.Second)
			w.run(next, "ok")
			_, holds := next.machine.MayAct(w.now)
			g.Expect(holds).To(BeTrue())
		})
	}
}

// Guards against a lease that stays with a process known to have ended, and against
// a new holder that acts while the last orders of the former one may still be in
// transit.
func TestEndedHolderFreesLease(t *testing.T) {
	g := NewWithT(t)
	w := &harness{now: time.Unix(1000, 0)}
	a, b := &process{machine: election.NewMachine("a", "host-a", "addr-a", settings)}, &process{machine: election.NewMachine("b", "host-b", "addr-b", settings)}
	for range 3 {
		w.run(a, "ok")
		w.run(b, "ok")
	}
	b.machine.ObserveEnd("another", w.now)
	b.machine.ObserveEnd("a", w.now)
	w.run(b, "ok")
	g.Expect(b.machine.HoldsLease(w.now)).To(BeFalse(), "a takeover needs a delay after the proof")
	w.now = w.now.Add(350 * time.Millisecond)
	w.run(b, "ok")
	_, holds := b.machine.MayAct(w.now)
	g.Expect(holds).To(BeTrue())
}
