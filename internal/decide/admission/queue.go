// Package admission bounds and orders the requests that wait for a replica
// (at an entry) or for an engine (at an agent). It refuses early what cannot
// meet its deadline. Times come in as arguments.
package admission

import (
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/defaults"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
	"github.com/lagoonvalve/lagoonvalve/internal/verdict"
)

// Item is a waiting request.
type Item struct {
	// ID is unique among the items of a queue.
	ID     uint64
	Caller state.CallerName
	// Weight is the caller's share within its class; values below 1 count
	// as 1.
	Weight   int
	Class    state.Class
	Arrived  time.Time
	Deadline time.Time
	// Cost is the predicted service time.
	Cost time.Duration
	// Long marks work that may take only part of an upstream's concurrency.
	Long    bool
	Size    state.Bytes
	Key     state.ReplicaKey
	Adapter state.AdapterName
}

// Config holds the settings of a queue. Zero values mean the defaults.
type Config struct {
	// MaxRequests bounds the waiting requests; default 1024.
	MaxRequests int
	// MaxBytes bounds the bodies of the waiting requests; default 256 MiB.
	MaxBytes state.Bytes
	// MaxPerCaller bounds a caller's waiting requests; default MaxRequests.
	MaxPerCaller int
	// MaxPerModel bounds a model's waiting requests; default MaxRequests.
	MaxPerModel int
	// Concurrency is how many requests are served side by side behind the
	// queue; default 1. SetConcurrency changes it.
	Concurrency int
	// StarvationBound is how many requests of better classes may be served
	// in a row while a worse class waits; default 16.
	StarvationBound int
	// Quantum is the service time that a caller of weight 1 gets in one
	// round; default 200 ms.
	Quantum time.Duration
	// CostFactor is how many times its predicted cost a request must still
	// have before its deadline to be admitted or served; default 3. Output
	// lengths vary: with the mean as the cost, two of five requests that
	// start at the last moment end late.
	CostFactor float64
	// Margin is added to each predicted finishing time; default 0.
	Margin time.Duration
}

func (c Config) withDefaults() Config {
	defaults.Set(&c.MaxRequests, 1024)
	defaults.Set(&c.MaxBytes, 256*state.MiB)
	defaults.Set(&c.MaxPerCaller, c.MaxRequests)
	defaults.Set(&c.MaxPerModel, c.MaxRequests)
	defaults.Set(&c.StarvationBound, 16)
	defaults.Set(&c.Quantum, 200*time.Millisecond)
	defaults.Set(&c.CostFactor, 3)
	c.Concurrency = max(c.Concurrency, 1)
	return c
}

// Queue is a bounded queue of requests with deadlines. Classes are strict up
// to the starvation bound; within a class, callers share by weight through
// deficit round robin. A Queue is not safe for concurrent use.
type Queue struct {
	cfg     Config
	slots   []slot
	free    []int32
	byID    map[uint64]int32
	classes [state.ClassCount]classQueue
	// lanes finds the lane that a further item of the same kind joins.
	lanes     map[laneKey]*lane
	flows     map[flowKey]*flow
	callers   map[state.CallerName]int
	models    map[state.ModelName]int
	deadlines deadlineHeap
	bytes     state.Bytes
	work      time.Duration
}

// NewQueue returns an empty queue.
func NewQueue(cfg Config) *Queue {
	cfg = cfg.withDefaults()
	q := &Queue{
		cfg:     cfg,
		byID:    make(map[uint64]int32),
		lanes:   make(map[laneKey]*lane),
		flows:   make(map[flowKey]*flow),
		callers: make(map[state.CallerName]int),
		models:  make(map[state.ModelName]int),
	}
	for i := range q.classes {
		q.classes[i].newest = none
	}
	return q
}

// SetConcurrency tells how many requests are now served side by side behind
// the queue. Values below 1 count as 1.
func (q *Queue) SetConcurrency(n int) { q.cfg.Concurrency = max(n, 1) }

// Offer adds it to the queue or refuses it. The wait is the predicted time
// until service can begin for reasons outside the queue, such as a load. The
// items in shed were removed to make room; the caller must refuse them as
// shed. A refusal says NotRun and carries RetryAfter.
func (q *Queue) Offer(now time.Time, it Item, wait time.Duration) (shed []Item, refusal *verdict.Verdict) {
	it.Class = min(it.Class, state.ClassCount-1)
	it.Weight = max(it.Weight, 1)
	allowance := q.allowance(it)
	if refusal = q.checkLimits(now, it, wait+allowance); refusal != nil {
		return nil, refusal
	}
	if !q.canMakeRoom(it) {
		return nil, verdict.Refuse(verdict.ReasonQueueFull, "queue is full").
			WithRetryAfter(q.retryAfter(it, q.delay(it.Class)))
	}
	for !q.hasRoom(it) {
		shed = append(shed, q.take(q.lowestNewest(it.Class)))
	}
	q.insert(it, allowance)
	return shed, nil
}

func (q *Queue) checkLimits(now time.Time, it Item, needed time.Duration) *verdict.Verdict {
	if _, waiting := q.byID[it.ID]; waiting {
		return verdict.Refuse(verdict.ReasonConflict, "request is already waiting")
	}
	if !now.Before(it.Deadline) {
		return verdict.Refuse(verdict.ReasonDeadlinePast, "deadline has passed")
	}
	delay := q.delay(it.Class)
	finish := now.Add(needed + delay)
	if !finish.Before(it.Deadline) {
		return verdict.Refuse(verdict.ReasonDeadlineUnmet, "predicted finish is past the deadline").
			WithRetryAfter(q.retryAfter(it, finish.Sub(it.Deadline)))
	}
	if q.callers[it.Caller] >= q.cfg.MaxPerCaller {
		return verdict.Refuse(verdict.ReasonCallerLimit, "caller has too many waiting requests").
			WithRetryAfter(q.retryAfter(it, delay))
	}
	if q.models[it.Key.Model] >= q.cfg.MaxPerModel {
		return verdict.Refuse(verdict.ReasonModelLimit, "model has too many waiting requests").
			WithRetryAfter(q.retryAfter(it, delay))
	}
	return nil
}

// allowance is the time to keep for the service of it.
func (q *Queue) allowance(it Item) time.Duration {
	return time.Duration(q.cfg.CostFactor*float64(it.Cost)) + q.cfg.Margin
}

// delay predicts the time until a new item of class is served: the work of
// its own and of better classes, divided over the concurrency.
func (q *Queue) delay(class state.Class) time.Duration {
	var ahead time.Duration
	for c := range class + 1 {
		ahead += q.classes[c].work
	}
	return ahead / time.Duration(q.cfg.Concurrency)
}

// retryAfter spreads retries over half to one and a half times the excess, at
// least one second, so that callers refused together do not return together.
func (q *Queue) retryAfter(it Item, excess time.Duration) time.Duration {
	base := max(excess, time.Second)
	const golden = 0x9e3779b97f4a7c15
	spread := float64((it.ID*golden)>>40) / (1 << 24)
	return base/2 + time.Duration(spread*float64(base))
}

func (q *Queue) hasRoom(it Item) bool {
	return len(q.byID) < q.cfg.MaxRequests && q.bytes+it.Size <= q.cfg.MaxBytes
}

// canMakeRoom reports whether shedding worse classes than it.Class would make
// room for it. The newest request of the lowest class is shed first, so it
// displaces nothing of its own class.
func (q *Queue) canMakeRoom(it Item) bool {
	if q.hasRoom(it) {
		return true
	}
	count, size := len(q.byID), q.bytes
	for c := it.Class + 1; c < state.ClassCount; c++ {
		count -= q.classes[c].count
		size -= q.classes[c].bytes
	}
	return count < q.cfg.MaxRequests && size+it.Size <= q.cfg.MaxBytes
}

// lowestNewest returns the newest item of the worst waiting class; canMakeRoom
// has shown that there is one worse than class.
func (q *Queue) lowestNewest(class state.Class) int32 {
	for c := state.ClassCount - 1; c > int(class); c-- {
		if q.classes[c].newest != none {
			return q.classes[c].newest
		}
	}
	return none
}

// Next removes and returns the item to serve next among those that fit, or
// reports false. It never returns an item that is past its deadline; Expire
// collects those. The result of fits may depend on Key, Adapter, Long and
// Class only, because one item is asked for each such group of a caller.
func (q *Queue) Next(now time.Time, fits func(Item) bool) (Item, bool) {
	order := q.classOrder()
	for _, c := range order {
		chosen := q.choose(&q.classes[c], now, fits)
		if chosen == none {
			continue
		}
		q.countPassedOver(c)
		return q.take(chosen), true
	}
	return Item{}, false
}

// classOrder returns the classes in the order in which to serve them: the
// worst class that has been passed over too often comes first.
func (q *Queue) classOrder() [state.ClassCount]state.Class {
	order := [state.ClassCount]state.Class{state.ClassHigh, state.ClassNormal, state.ClassLow}
	for c := state.ClassCount - 1; c > 0; c-- {
		if q.classes[c].passedOver >= q.cfg.StarvationBound {
			copy(order[1:c+1], order[:c])
			order[0] = state.Class(c)
			break
		}
	}
	return order
}

func (q *Queue) countPassedOver(served state.Class) {
	q.classes[served].passedOver = 0
	for c := served + 1; c < state.ClassCount; c++ {
		if q.classes[c].count > 0 {
			q.classes[c].passedOver++
		}
	}
}

// Remove takes an item out, for instance because its caller left. It reports
// whether the item was waiting.
func (q *Queue) Remove(id uint64) bool {
	index, ok := q.byID[id]
	if ok {
		q.take(index)
	}
	return ok
}

// Expire removes and returns the items that can no longer finish before
// their deadlines; the caller must refuse them.
func (q *Queue) Expire(now time.Time) []Item {
	var expired []Item
	for len(q.deadlines) > 0 {
		index := q.deadlines[0]
		if q.slots[index].latest.After(now) {
			break
		}
		expired = append(expired, q.take(index))
	}
	return expired
}

// Waiting counts the waiting items by class.
func (q *Queue) Waiting() [state.ClassCount]int {
	var counts [state.ClassCount]int
	for c := range q.classes {
		counts[c] = q.classes[c].count
	}
	return counts
}

// Work is the predicted service time of all waiting items.
func (q *Queue) Work() time.Duration { return q.work }

// Len counts the waiting items.
func (q *Queue) Len() int { return len(q.byID) }
