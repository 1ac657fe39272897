package bench

import (
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/decide/admission"
	"github.com/lagoonvalve/lagoonvalve/internal/decide/estimate"
	"github.com/lagoonvalve/lagoonvalve/internal/decide/retry"
	"github.com/lagoonvalve/lagoonvalve/internal/decide/routing"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
	"github.com/lagoonvalve/lagoonvalve/internal/verdict"
)

// view is what an entry knows of an upstream.
type view struct {
	queue    int
	reported time.Time
	received time.Time
	// open holds the entry's unfinished attempts there by send time.
	open map[uint64]time.Time
	sent int
	// failed is set by an attempt that found the upstream gone; the replicas
	// there get no further attempt. Upstreams do not come back in a run.
	failed bool
}

// entry admits and routes requests.
type entry struct {
	o        *ours
	id       int
	est      *estimate.Estimator
	queues   map[int]*admission.Queue
	waiting  map[uint64]*request
	views    map[int]*view
	tracker  *routing.LatencyTracker
	hedges   *routing.HedgeBudget
	retries  *retry.Budget
	volume   *routing.VolumeBudget
	policy   routing.TwoChoices
	prefixes entryPrefixes
	scratch  []routing.Candidate
	live     map[*request][]*attempt
	attempts map[*request]int
	ticking  bool
}

func newEntry(o *ours, id int) *entry {
	e := &entry{
		o: o, id: id, est: estimate.New(estimate.Config{}), queues: make(map[int]*admission.Queue),
		waiting: make(map[uint64]*request), views: make(map[int]*view),
		tracker: routing.NewLatencyTracker(routing.LatencyConfig{}), hedges: routing.NewHedgeBudget(routing.HedgeConfig{}),
		retries: retry.NewBudget(retry.Config{}), volume: routing.NewVolumeBudget(routing.VolumeConfig{}),
		live: make(map[*request][]*attempt), attempts: make(map[*request]int),
	}
	o.every(250*time.Millisecond, e.watchSilence)
	return e
}

func key(r *request) estimate.Key {
	return estimate.Key{Model: state.ModelName(modelName(r.model)), Caller: r.caller}
}

func (e *entry) longSince(model int) time.Duration {
	return e.est.LongThreshold(state.ModelName(modelName(model)))
}

func (e *entry) arrive(r *request) {
	r.answerBy = admission.AnswerBy(e.o.now, r.deadline)
	e.o.after(r.answerBy.Sub(e.o.now), func() { e.overdue(r) })
	if e.o.logDown() && !r.repeatable {
		e.o.end(r, outcomeRefused)
		return
	}
	e.retries.RecordRequest()
	e.hedges.RecordRequest()
	e.o.homes[r.model].noteArrival()
	q := e.queues[r.model]
	if q != nil && q.Len() > 0 || !e.dispatch(r, -1) {
		e.enqueue(r)
	}
}

// abandon gives an attempt up and cancels it at its agent.
func (e *entry) abandon(at *attempt) {
	e.settle(at)
	e.o.after(e.o.delay(e.id, at.up), func() { e.o.agents[at.up.id].cancel(at) })
}

func (e *entry) item(r *request, id uint64) admission.Item {
	guess := e.est.Estimate(key(r), 0)
	if e.o.exp.exact {
		guess = estimate.Estimate{Service: r.total, Long: r.long}
	}
	return admission.Item{
		ID: id, Caller: r.caller, Class: r.class, Arrived: r.arrived, Deadline: r.answerBy,
		Cost: guess.Service, Long: guess.Long, Size: r.volume, Key: modelKey(r.model), Adapter: adapterName(r.adapter),
	}
}

// enqueue lets r wait for a replica, or refuses it.
func (e *entry) enqueue(r *request) {
	q := e.queues[r.model]
	if q == nil {
		q = admission.NewQueue(admission.Config{CostFactor: e.o.costFactor()})
		e.queues[r.model] = q
	}
	h := e.o.homes[r.model]
	wait := h.readyIn
	if len(e.o.published[r.model]) == 0 && h.readyIn == 0 {
		wait = h.expectedLoad()
	}
	q.SetConcurrency(max(h.supply/e.o.size.entries, 1))
	shed, refusal := q.Offer(e.o.now, e.item(r, r.id), wait)
	for _, it := range shed {
		e.o.end(e.waiting[it.ID], outcomeRefused)
		delete(e.waiting, it.ID)
	}
	if refusal != nil {
		if len(e.o.published[r.model]) == 0 {
			e.o.homes[r.model].refused++
		}
		e.o.end(r, outcomeRefused)
		return
	}
	e.waiting[r.id] = r
	e.tick()
}

func (e *entry) tick() {
	if e.ticking || len(e.waiting) == 0 {
		return
	}
	e.ticking = true
	e.o.after(20*time.Millisecond, func() {
		e.ticking = false
		for model := range e.o.size.models {
			q := e.queues[model]
			if q == nil || q.Len() == 0 {
				continue
			}
			for _, it := range q.Expire(e.o.now) {
				e.o.end(e.waiting[it.ID], outcomeRefused)
				delete(e.waiting, it.ID)
			}
			e.pump(model)
		}
		e.tick()
	})
}

// pump sends waiting requests while a replica has room.
func (e *entry) pump(model int) {
	q := e.queues[model]
	for q != nil && q.Len() > 0 {
		if _, ok := e.choose(nil, model, -1); !ok {
			return
		}
		it, ok := q.Next(e.o.now, func(admission.Item) bool { return true })
		if !ok {
			return
		}
		r := e.waiting[it.ID]
		delete(e.waiting, it.ID)
		if !e.dispatch(r, -1) {
			e.enqueue(r)
			return
		}
	}
}

// window bounds the load of a replica that an entry still sends to.
const window = 3 * slotsPerRunner

func (e *entry) choose(r *request, model, exclude int) (*upstream, bool) {
	e.scratch = e.scratch[:0]
	service, volume := time.Second, state.Bytes(8000)
	if r != nil {
		service, volume = e.est.Estimate(key(r), 0).Service, r.volume
	}
	for _, id := range e.o.published[model] {
		v := e.view(id)
		if v.failed {
			continue
		}
		queue := routing.AgedQueue(v.queue, slotsPerRunner, e.o.now.Sub(v.received), service)
		if queue+v.sent >= window {
			continue
		}
		e.scratch = append(e.scratch, routing.Candidate{
			Replica: id, Queue: queue, Sent: v.sent, Slots: slotsPerRunner,
			Latency:  scale(service, e.slowdown(id)),
			Locality: e.locality(id), AdapterLoaded: e.knowsAdapter(r, id), Prefix: e.prefix(r, id), Rank: e.rank(r, id),
			Ejected: e.tracker.Ejected(e.o.now, id, e.o.rng.Float64()),
		})
	}
	routing.AssumePrefix(e.scratch)
	req := routing.Request{Prefill: service, Adapter: e.prefersAdapter(r), Volume: volume, Remote: e.volume.Allows(e.o.now, volume), Exclude: exclude}
	index, ok := e.policy.Select(e.o.rng, e.scratch, req)
	if !ok {
		return nil, false
	}
	return e.o.ups[e.scratch[index].Replica], true
}

// slowdown is how many times slower than usual an upstream is believed to be.
func (e *entry) slowdown(up int) float64 {
	return max(e.tracker.Slowdown(up), e.o.slowdown(up))
}

func (e *entry) locality(up int) routing.Locality {
	u := e.o.ups[up]
	switch {
	case e.o.remote(e.id, u):
		return routing.OtherRegion
	case e.id%e.o.size.centres == u.centre:
		return routing.SameDataCentre
	default:
		return routing.SameRegion
	}
}

func (e *entry) view(up int) *view {
	v := e.views[up]
	if v == nil {
		v = &view{open: make(map[uint64]time.Time)}
		e.views[up] = v
	}
	return v
}

// dispatch sends r to a replica; it reports false if none has room.
func (e *entry) dispatch(r *request, exclude int) bool {
	u, ok := e.choose(r, r.model, exclude)
	if ok {
		e.send(r, u)
	}
	return ok
}

func (e *entry) send(r *request, u *upstream) {
	if e.o.remote(e.id, u) {
		if !e.volume.Take(e.o.now, r.volume) {
			e.o.result.overBudget++
		}
		e.o.result.crossed += r.volume
	}
	e.tracker.RecordProbe(e.o.now, u.id)
	e.o.attempts++
	e.attempts[r]++
	at := &attempt{id: e.o.attempts, r: r, entry: e, up: u, sentAt: e.o.now, number: e.attempts[r]}
	at.item = e.item(r, at.id)
	v := e.view(u.id)
	v.open[at.id] = e.o.now
	v.sent++
	e.live[r] = append(e.live[r], at)
	e.o.after(e.o.delay(e.id, u), func() { e.o.agents[u.id].offer(at) })
	if at.number == 1 {
		if expected, known := e.tracker.Expected(u.id); known {
			e.o.after(e.hedges.Delay(expected), func() { e.hedge(at) })
		}
	}
}

func (e *entry) hedge(at *attempt) {
	if at.over || at.r.ended || len(e.live[at.r]) != 1 {
		return
	}
	u, ok := e.choose(at.r, at.r.model, at.up.id)
	if !ok || !e.hedges.WorthSending(e.slowdown(u.id)) {
		return
	}
	if e.hedges.Take(at.r.repeatable, at.r.started) {
		e.send(at.r, u)
		e.o.result.hedges++
	}
}

// settle takes an attempt off the books; it reports whether it was open.
func (e *entry) settle(at *attempt) bool {
	if at.over {
		return false
	}
	at.over = true
	v := e.view(at.up.id)
	if sent := v.open[at.id]; sent.After(v.reported) {
		v.sent--
	} else {
		v.queue = max(v.queue-1, 0)
	}
	delete(v.open, at.id)
	left := e.live[at.r][:0]
	for _, other := range e.live[at.r] {
		if other != at {
			left = append(left, other)
		}
	}
	e.live[at.r] = left
	if len(left) == 0 {
		delete(e.live, at.r)
	}
	return true
}

func (e *entry) refused(at *attempt, v *verdict.Verdict) {
	if !e.settle(at) {
		return
	}
	if v.Reason == verdict.ReasonUpstreamFailed {
		e.view(at.up.id).failed = true
	}
	e.again(at, v)
}

// again decides on a further attempt after a failed one.
func (e *entry) again(at *attempt, v *verdict.Verdict) {
	r := at.r
	if r.ended || len(e.live[r]) > 0 {
		return
	}
	v.RetryAfter = 0
	wait, ok := e.retries.Decide(e.o.now, e.o.rng, retry.Attempt{
		Verdict: v, Number: at.number, Repeatable: r.repeatable, Streamed: r.started,
		Deadline: r.answerBy, Cost: at.item.Cost,
	})
	if !ok {
		how := outcomeRefused
		if v.Execution != verdict.NotRun {
			how = outcomeFailed
		}
		e.o.end(r, how)
		return
	}
	e.o.after(wait, func() {
		if !r.ended && !e.dispatch(r, at.up.id) {
			e.enqueue(r)
		}
	})
}
