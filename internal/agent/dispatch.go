package agent

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/decide/admission"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
	"github.com/lagoonvalve/lagoonvalve/internal/verdict"
)

// errPastDeadline refuses a request that waited too long.
var errPastDeadline = verdict.Refuse(verdict.ReasonDeadlinePast, "the deadline passed in the queue")

// dispatcher lets queued requests start as the upstream has room. Its lock is
// taken by traffic only; control reads the counters.
type dispatcher struct {
	concurrency int
	maxLong     int
	// ready reports whether the replica and adapter of an item are loaded.
	ready func(admission.Item) bool

	// pace scales predictions while the upstream is slower than usual.
	pace pace

	mu      sync.Mutex
	queue   Queue
	waiters map[uint64]*waiter
	// started holds the requests that run.
	started map[uint64]startedItem
	closed  *verdict.Verdict

	nextID  atomic.Uint64
	queued  atomic.Int64
	running atomic.Int64
	long    atomic.Int64
	work    atomic.Int64 // predicted nanoseconds of queued and running work
	classes [state.ClassCount]atomic.Int64
}

// waiter is a request between its arrival and its start or refusal.
type waiter struct {
	item admission.Item
	// decided gets nil when the request may start, or why it never will.
	decided chan *verdict.Verdict
}

func newDispatcher(queue Queue, concurrency, maxLong int, ready func(admission.Item) bool) *dispatcher {
	return &dispatcher{
		concurrency: concurrency,
		maxLong:     maxLong,
		ready:       ready,
		queue:       queue,
		waiters:     make(map[uint64]*waiter),
		started:     make(map[uint64]startedItem),
	}
}

// startedItem is a request that runs.
type startedItem struct {
	at   time.Time
	cost time.Duration
}

// offer queues a request and starts what has room.
func (d *dispatcher) offer(now time.Time, it admission.Item) (*waiter, *verdict.Verdict) {
	it.ID = d.nextID.Add(1)
	it.Cost = time.Duration(float64(it.Cost) * d.pace.factor())
	w := &waiter{item: it, decided: make(chan *verdict.Verdict, 1)}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed != nil {
		return nil, d.closed
	}
	shed, refusal := d.queue.Offer(now, it, d.busyForLocked(now))
	if refusal == nil {
		d.waiters[it.ID] = w
	}
	for _, s := range shed {
		d.decide(s.ID, verdict.Refuse(verdict.ReasonShed, "shed for more urgent work"))
	}
	if refusal != nil {
		return nil, refusal
	}
	d.startLocked(now)
	return w, nil
}

// busyForLocked predicts when the running work has freed room. The queue adds
// what its own items take.
func (d *dispatcher) busyForLocked(now time.Time) time.Duration {
	if len(d.started) < d.concurrency {
		return 0
	}
	var left time.Duration
	for _, s := range d.started {
		left += max(0, s.cost-now.Sub(s.at))
	}
	return left / time.Duration(d.concurrency)
}

// startLocked starts queued requests while there is room.
func (d *dispatcher) startLocked(now time.Time) {
	for int(d.running.Load()) < d.concurrency {
		it, ok := d.queue.Next(now, d.fits)
		if !ok {
			break
		}
		w := d.waiters[it.ID]
		if w == nil {
			continue
		}
		if !it.Deadline.After(now) {
			d.decide(it.ID, errPastDeadline)
			continue
		}
		delete(d.waiters, it.ID)
		d.started[it.ID] = startedItem{at: now, cost: it.Cost}
		d.running.Add(1)
		if it.Long {
			d.long.Add(1)
		}
		w.decided <- nil
	}
	d.countLocked()
}

func (d *dispatcher) fits(it admission.Item) bool {
	return (!it.Long || int(d.long.Load()) < d.maxLong) && d.ready(it)
}

func (d *dispatcher) countLocked() {
	d.queued.Store(int64(d.queue.Len()))
	d.work.Store(int64(d.queue.Work()))
	for c, n := range d.queue.Waiting() {
		d.classes[c].Store(int64(n))
	}
}

func (d *dispatcher) decide(id uint64, v *verdict.Verdict) {
	if w := d.waiters[id]; w != nil {
		delete(d.waiters, id)
		w.decided <- v
	}
}

// finish gives back the room of a request that had started.
func (d *dispatcher) finish(now time.Time, it admission.Item) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.running.Add(-1)
	delete(d.started, it.ID)
	if it.Long {
		d.long.Add(-1)
	}
	d.startLocked(now)
}

// abandon takes a request out of the queue. It fails if the request was
// decided already; its decision is then in the waiter's channel.
func (d *dispatcher) abandon(now time.Time, w *waiter) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.waiters[w.item.ID] == nil {
		return false
	}
	delete(d.waiters, w.item.ID)
	d.queue.Remove(w.item.ID)
	d.startLocked(now)
	return true
}

// tick refuses requests whose deadline has passed and starts what has room.
func (d *dispatcher) tick(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, it := range d.queue.Expire(now) {
		d.decide(it.ID, errPastDeadline)
	}
	d.startLocked(now)
}

// close refuses all queued and later requests with v.
func (d *dispatcher) close(v *verdict.Verdict) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closed = v
	for id := range d.waiters {
		d.queue.Remove(id)
		d.decide(id, v)
	}
	d.countLocked()
}

// shortWait predicts the wait of a short request that arrives now.
func (d *dispatcher) shortWait() time.Duration {
	if int(d.running.Load()) < d.concurrency && d.queued.Load() == 0 {
		return 0
	}
	return time.Duration(d.work.Load()) / time.Duration(d.concurrency)
}

func (d *dispatcher) waiting() (counts [state.ClassCount]int) {
	for c := range counts {
		counts[c] = int(d.classes[c].Load())
	}
	return counts
}
