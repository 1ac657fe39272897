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

// write is a record on its way to the log.
type write struct {
	step  election.Step
	began time.Time
}

// process is one of the competing processes of a schedule.
type process struct {
	host string
	// starts counts the starts on the host before this one.
	starts  int
	machine *election.Machine
	frozen  time.Time
	leaving bool
}

// name returns the name of the process as a holder.
func (p *process) name() string { return fmt.Sprint(p.host, "/", p.starts) }

// world is a log with conditional writes and the processes that compete for it.
type world struct {
	t       *rapid.T
	now     time.Time
	records []fleet.LeaseRecord
	// delay is how long the store takes to answer a write.
	delay time.Duration
	// readers read right after a write.
	readers   []*process
	processes []*process
	// late holds writes whose answer was lost and that land later if their
	// condition still holds.
	late []write
	// promised is when each process promised each other, by their names, to
	// leave the lease alone.
	promised map[[2]string]time.Time
	// dead lists the processes that were killed.
	dead []string
	// acted lists who could act, in order.
	acted []acted
}

type acted struct {
	process int
	token   state.FencingToken
	at      time.Time
}

func (w *world) land(step election.Step) bool {
	if step.End != state.Offset(len(w.records)) {
		return false
	}
	w.records = append(w.records, step.Record)
	return true
}

func (w *world) read(p *process) {
	if n := len(w.records); n > 0 {
		record := w.records[n-1]
		p.machine.ObserveRead(&record, state.Offset(n-1), state.Offset(n), w.now)
		return
	}
	p.machine.ObserveRead(nil, state.NoOffset, 0, w.now)
}

func (w *world) run(p *process, store string) {
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
		w.land(step)
		p.machine.ObserveWrite(step.Record, step.End, began, false, true, w.now)
	case store == "late":
		w.late = append(w.late, write{step, began})
		p.machine.ObserveWrite(step.Record, step.End, began, false, true, w.now)
	default:
		ok := w.land(step)
		// Others may read while the answer is on its way.
		for _, reader := range w.readers {
			if reader != p {
				w.read(reader)
			}
		}
		w.now = w.now.Add(w.delay)
		p.machine.ObserveWrite(step.Record, step.End, began, ok, false, w.now)
	}
}

// promises has the process that acts ask all others for a promise, and go by
// those that it has. A process that has begun since has promised nothing.
func (w *world) promises() {
	for _, holder := range w.processes {
		if _, ok := holder.machine.MayAct(w.now); !ok || w.now.Before(holder.frozen) {
			continue
		}
		soonest := w.now
		for _, p := range w.processes {
			key := [2]string{holder.name(), p.name()}
			if p != holder && !w.now.Before(p.frozen) && p.machine.Promise(holder.machine.Offset(), w.now) {
				w.promised[key] = w.now
			}
			if at := w.promised[key]; p != holder && at.Before(soonest) {
				soonest = at
			}
		}
		holder.machine.SetPromisedAt(soonest)
	}
}

func (w *world) check() {
	holders := 0
	for i, p := range w.processes {
		token, ok := p.machine.MayAct(w.now)
		if !ok || w.now.Before(p.frozen) {
			continue
		}
		holders++
		if n := len(w.acted); n > 0 && w.acted[n-1].process != i && token <= w.acted[n-1].token {
			w.t.Fatalf("process %d acts with token %d after %+v", i, token, w.acted[n-1])
		}
		w.acted = append(w.acted, acted{i, token, w.now})
	}
	if holders > 1 {
		w.t.Fatalf("%d holders at %v", holders, w.now)
	}
}

// checkTurns fails if two processes acted in turns within the time in which
// engines would take them for rivals.
func (w *world) checkTurns() {
	for i, a := range w.acted {
		other := false
		for _, b := range w.acted[i+1:] {
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

// Guards against two processes that give orders at once, a token that goes back,
// and holders that take turns, with freezes, lost and late writes, outages and
// hand-overs.
func TestOneHolderInAnySchedule(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{t: t, now: time.Unix(1000, 0), promised: map[[2]string]time.Time{}}
		for i := range rapid.IntRange(2, 4).Draw(t, "processes") {
			p := &process{host: fmt.Sprint("host", i)}
			p.machine = election.NewMachine(p.name(), p.host, p.host, settings)
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
				if !w.now.Before(p.frozen) {
					w.run(p, "ok")
				}
			case "lost":
				w.run(p, "lost")
			case "late":
				w.run(p, "late")
			case "down":
				w.run(p, "down")
			case "freeze":
				p.frozen = w.now.Add(time.Duration(rapid.IntRange(100, 6000).Draw(t, "frozen")) * time.Millisecond)
			case "land":
				if len(w.late) > 0 {
					w.land(w.late[0].step)
					w.late = w.late[1:]
				}
			case "leave":
				p.leaving = !p.leaving
			case "kill":
				// A process ends and another one begins on its host. Others may
				// have proof of that, soon or late.
				ended := p.name()
				p.starts++
				p.machine, p.leaving, p.frozen = election.NewMachine(p.name(), p.host, p.host, settings), false, time.Time{}
				w.dead = append(w.dead, ended)
			case "promise":
				w.promises()
			case "resign":
				// A holder that acts no more goes on under another name.
				ended := p.name()
				p.starts++
				p.machine.Resign(p.name(), w.now)
				w.dead = append(w.dead, ended)
			case "proof":
				if len(w.dead) > 0 {
					p.machine.ObserveEnd(w.dead[rapid.IntRange(0, len(w.dead)-1).Draw(t, "dead")], w.now)
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
			w.check()
		}
		w.checkTurns()
	})
}

// Guards against a lease that nobody takes after its holder is gone.
func TestStandbyTakesOver(t *testing.T) {
	g := NewWithT(t)
	w := &world{now: time.Unix(1000, 0)}
	a, b := &process{machine: election.NewMachine("a", "host-a", "addr-a", settings)}, &process{machine: election.NewMachine("b", "host-b", "addr-b", settings)}
	for range 3 {
		w.run(a, "ok")
	}
	first, holds := a.machine.MayAct(w.now)
	g.Expect(holds).To(BeTrue(), "the first holder acts at once")
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

// Guards against a new holder that waits although no other host can take turns
// with it, so that no orders are given for the time of a lease.
func TestHandOverToAnotherHostNeedsNoPause(t *testing.T) {
	g := NewWithT(t)
	w := &world{now: time.Unix(1000, 0)}
	a, b := &process{machine: election.NewMachine("a", "host-a", "addr-a", settings)}, &process{machine: election.NewMachine("b", "host-b", "addr-b", settings)}
	handOver(w, a, b)
	_, holds := b.machine.MayAct(w.now)
	g.Expect(holds).To(BeTrue())
}

// handOver has a take the lease and give it up, and b take it.
func handOver(w *world, a, b *process) {
	for range 3 {
		w.run(a, "ok")
	}
	a.leaving = true
	w.run(a, "ok")
	for range 3 {
		w.run(b, "ok")
	}
}

// Guards against a hand-over back to the host that held the lease before, after
// which that host acts within the time in which engines compare holders: also
// by a new process there.
func TestHandOverBackSettles(t *testing.T) {
	for name, next := range map[string]*process{
		"to a new process":  {machine: election.NewMachine("a2", "host-a", "addr-a", settings)},
		"by way of a third": {machine: election.NewMachine("a3", "host-a", "addr-a", settings)},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			w := &world{now: time.Unix(1000, 0)}
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

// Guards against a lease that stays with a process that is known to have ended,
// and against a holder that acts while the last orders of its predecessor may
// still be on their way.
func TestProofOfTheEndFreesTheLease(t *testing.T) {
	g := NewWithT(t)
	w := &world{now: time.Unix(1000, 0)}
	a, b := &process{machine: election.NewMachine("a", "host-a", "addr-a", settings)}, &process{machine: election.NewMachine("b", "host-b", "addr-b", settings)}
	for range 3 {
		w.run(a, "ok")
		w.run(b, "ok")
	}
	b.machine.ObserveEnd("another", w.now)
	b.machine.ObserveEnd("a", w.now)
	w.run(b, "ok")
	g.Expect(b.machine.HoldsLease(w.now)).To(BeFalse(), "at once")
	w.now = w.now.Add(350 * time.Millisecond)
	w.run(b, "ok")
	_, holds := b.machine.MayAct(w.now)
	g.Expect(holds).To(BeTrue())
}
