package bench

import (
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/decide/admission"
	"github.com/lagoonvalve/lagoonvalve/internal/decide/estimate"
	"github.com/lagoonvalve/lagoonvalve/internal/decide/scaling"
	"github.com/lagoonvalve/lagoonvalve/internal/verdict"
)

// ours is the version under test: the decision code over the fake platform.
type ours struct {
	*world
	entries   []*entry
	agents    []*agent
	homes     []*home
	broker    *scaling.Broker
	published [][]int
	rng       *rand.Rand
	attempts  uint64
}

func newOurs(w *world) *ours {
	o := &ours{world: w, rng: w.rng, published: make([][]int, w.size.models)}
	// The broker has run for longer than its waiting time when a run begins.
	o.broker = scaling.NewBroker(epoch.Add(-time.Minute), "bench", scaling.BrokerConfig{})
	for _, u := range w.ups {
		o.agents = append(o.agents, newAgent(o, u))
	}
	for model := range w.size.models {
		o.homes = append(o.homes, newHome(o, model))
		o.publish(model)
	}
	for id := range w.size.entries {
		o.entries = append(o.entries, newEntry(o, id))
	}
	o.warmSpares()
	w.every(200*time.Millisecond, o.tickHomes)
	w.every(time.Second, o.tickAgents)
	return o
}

// warmSpares loads the spare replicas that homes ask for before a run, since
// the models have been in use for long.
func (o *ours) warmSpares() {
	for _, h := range o.homes {
		if h.steady == 0 {
			continue
		}
		for range len(o.grants[h.model]) + 1 {
			for _, wake := range (scaling.Home{Config: o.size.weights}).Decide(h.input()).Wakes {
				id, err := strconv.Atoi(string(wake.Upstream))
				if err != nil {
					panic(err)
				}
				u := o.ups[id]
				switch {
				case wake.Spare == scaling.NotSpare:
				case u.takesSpare(len(u.replicas), wake.Spare):
					u.preload(h.model)
				default:
					h.noSpare[id] = epoch.Add(spareRefusedFor)
				}
			}
		}
		o.publish(h.model)
	}
}

func (o *ours) arrive(r *request) { o.entries[r.entry].arrive(r) }

func (o *ours) publish(model int) {
	var ready []int
	for _, id := range o.grants[model] {
		if rep := o.ups[id].replicas[model]; rep != nil && rep.ready && !o.ups[id].lost {
			ready = append(ready, id)
		}
	}
	o.published[model] = ready
}

// changed tells the entries of a changed replica set after the home's delay.
func (o *ours) changed(model int) {
	o.after(100*time.Millisecond, func() {
		o.publish(model)
		for _, e := range o.entries {
			e.pump(model)
		}
	})
}

// costFactor is 1 for the oracle, whose predictions are exact, and otherwise
// the default.
func (o *ours) costFactor() float64 {
	if o.exp.exact {
		return 1
	}
	return 0
}

// attempt is one send of a request to an upstream.
type attempt struct {
	id     uint64
	r      *request
	entry  *entry
	up     *upstream
	item   admission.Item
	sentAt time.Time
	wait   time.Duration
	began  time.Time
	exec   *execution
	long   bool
	number int
	over   bool
	// isFirst is set once the entry has the attempt's first token, and
	// firstAtAgent once the agent has it.
	isFirst, firstAtAgent bool
}

// agent is the queue and the memory before one upstream.
type agent struct {
	o           *ours
	u           *upstream
	queue       *admission.Queue
	waiting     map[uint64]*attempt
	keep        map[int]*scaling.KeepAlive
	lastUsed    map[int]time.Time
	evictor     *scaling.Evictor
	runningLong int
	running     map[uint64]*attempt
	ticking     bool
	adapters    agentAdapters
	waking      map[int]time.Time
	speed       estimate.SlowdownTracker
	// step is the slowdown in the last heartbeat, and reported the one that
	// entries and homes know of.
	step, reported float64
}

func newAgent(o *ours, u *upstream) *agent {
	a := &agent{o: o, u: u, waiting: make(map[uint64]*attempt), keep: make(map[int]*scaling.KeepAlive), lastUsed: make(map[int]time.Time), running: make(map[uint64]*attempt), waking: make(map[int]time.Time)}
	a.queue = admission.NewQueue(admission.Config{MaxRequests: 8 * slotsPerRunner, Concurrency: slotsPerRunner, CostFactor: o.costFactor()})
	a.evictor = scaling.NewEvictor(scaling.EvictConfig{})
	return a
}

// offer queues an attempt that arrives, or refuses it.
func (a *agent) offer(at *attempt) {
	rep := a.u.replicas[at.r.model]
	switch {
	case a.u.lost:
		at.entry.refused(at, verdict.Refuse(verdict.ReasonUpstreamFailed, "connection refused"))
		return
	case rep == nil || !rep.ready:
		a.answer(at, verdict.Refuse(verdict.ReasonNoReplica, "not loaded"))
		return
	}
	if last, ok := a.lastUsed[at.r.model]; ok && rep.users == 0 {
		a.keepAlive(at.r.model).Observe(a.o.now.Sub(last))
	}
	at.item.Cost = scale(at.item.Cost, a.speed.Factor())
	shed, refusal := a.queue.Offer(a.o.now, at.item, a.busyFor())
	for _, it := range shed {
		a.drop(it, verdict.ReasonShed)
	}
	if refusal != nil {
		a.answer(at, refusal)
		return
	}
	rep.users++
	a.waiting[at.id] = at
	a.wantAdapter(at.r)
	a.pump()
	a.tick()
}

// busyFor predicts when the running work has freed the slots.
func (a *agent) busyFor() time.Duration {
	if len(a.u.running) < slotsPerRunner {
		return 0
	}
	var left time.Duration
	for _, at := range a.running {
		left += max(at.item.Cost-a.o.now.Sub(at.began), 0)
	}
	return left / slotsPerRunner
}

func (a *agent) answer(at *attempt, v *verdict.Verdict) {
	a.o.after(a.o.delay(at.entry.id, a.u), func() { at.entry.refused(at, v) })
}

func (a *agent) drop(it admission.Item, reason verdict.Reason) {
	at := a.waiting[it.ID]
	delete(a.waiting, it.ID)
	a.release(at)
	a.answer(at, verdict.Refuse(reason, ""))
}

func (a *agent) release(at *attempt) {
	if rep := a.u.replicas[at.r.model]; rep != nil {
		rep.users--
		rep.lastUsed = a.o.now
	}
	a.lastUsed[at.r.model] = a.o.now
	a.releaseAdapter(at.r)
}

// tick expires waiting items while there are any.
func (a *agent) tick() {
	if a.ticking || a.queue.Len() == 0 {
		return
	}
	a.ticking = true
	a.o.after(50*time.Millisecond, func() {
		a.ticking = false
		for _, it := range a.queue.Expire(a.o.now) {
			a.drop(it, verdict.ReasonDeadlineExceeded)
		}
		a.tick()
	})
}

func (a *agent) fits(it admission.Item) bool {
	if it.Adapter != "" && !a.u.hasAdapter(adapterOf(it.Adapter)) {
		return false
	}
	return !it.Long || estimate.LongLimit{}.Fits(slotsPerRunner, a.runningLong)
}

func (a *agent) pump() {
	for len(a.u.running) < slotsPerRunner && !a.u.lost {
		it, ok := a.queue.Next(a.o.now, a.fits)
		if !ok {
			return
		}
		at := a.waiting[it.ID]
		delete(a.waiting, it.ID)
		a.start(at)
	}
}

func (a *agent) start(at *attempt) {
	at.began = a.o.now
	at.wait = a.o.now.Sub(at.sentAt)
	a.running[at.id] = at
	if at.item.Long {
		a.markLong(at)
	}
	began := at.began
	at.exec = a.u.run(at.r, func() {
		at.firstAtAgent = true
		a.speed.Observe(a.o.now.Sub(began), len(at.r.prompt))
		a.o.after(a.o.delay(at.entry.id, a.u), func() { at.entry.firstToken(at) })
	}, func(ok bool) { a.finished(at, ok) })
	a.watchFirst(at)
	a.o.after(at.entry.longSince(at.r.model), func() {
		if !at.exec.over {
			a.markLong(at)
		}
	})
}

// watchFirst notes the wait for a first token each time it is overdue.
func (a *agent) watchFirst(at *attempt) {
	patience := a.speed.OverdueAfter(len(at.r.prompt))
	if patience <= 0 {
		return
	}
	a.o.after(patience, func() {
		if at.firstAtAgent || at.exec.over {
			return
		}
		a.speed.ObserveOverdue(a.o.now.Sub(at.began), len(at.r.prompt))
		a.watchFirst(at)
	})
}

func (a *agent) markLong(at *attempt) {
	if !at.long {
		at.long = true
		a.runningLong++
	}
}

func (a *agent) finished(at *attempt, ok bool) {
	delete(a.running, at.id)
	if at.long {
		a.runningLong--
	}
	a.release(at)
	service := a.o.now.Sub(at.began)
	load := a.queue.Len() + len(a.u.running)
	reported := a.o.now
	a.o.after(a.o.delay(at.entry.id, a.u), func() { at.entry.finished(at, ok, service) })
	a.o.after(a.o.delay(at.entry.id, a.u)+a.o.exp.reportDelay, func() { at.entry.report(a.u.id, load, reported) })
	a.pump()
}

// cancel ends an attempt that lost to another one.
func (a *agent) cancel(at *attempt) {
	if a.queue.Remove(at.id) {
		delete(a.waiting, at.id)
		a.release(at)
		return
	}
	if at.exec != nil {
		at.exec.end(false)
	}
}

// tickAgents unloads what is past its keep-alive.
func (o *ours) tickAgents() {
	for _, a := range o.agents {
		// A heartbeat is due each second if the step has changed, and the
		// watcher passes changes on once a second.
		if step := slowdownStep(a.speed.Factor()); step != a.step {
			a.step = step
			o.after(time.Second, func() { a.reported = step })
		}
		if len(a.u.replicas) > 0 && !a.u.lost {
			a.unload(a.evictor.Expired(o.now, a.residents()))
		}
	}
}

// slowdown is what entries know of an upstream's slowdown.
func (o *ours) slowdown(id int) float64 {
	if !o.exp.foretold {
		return o.agents[id].reported
	}
	return o.ups[id].factor()
}

// coming is what homes know of an upstream's slowdown, now or later.
func (o *ours) coming(id int) float64 {
	if u := o.ups[id]; o.exp.foretold && o.now.Before(u.slowTo) {
		return u.slowFactor
	}
	return o.slowdown(id)
}

// slowdownStep is the slowdown in a heartbeat: rounded down to a power of two,
// none below two.
func slowdownStep(factor float64) float64 {
	if factor < 2 {
		return 0
	}
	return math.Exp2(math.Floor(math.Log2(factor)))
}
