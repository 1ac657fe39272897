// Package admission bounds and orders the requests that wait for a replica
// (at an entry) or for an engine (at an agent). It refuses a request early if it
// cannot meet its deadline. It does not read the clock: the caller passes in the
// time.
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
	// Long marks work that may use only part of an upstream's concurrency.
	Long bool
	// Size is the size of the request's body.
	Size    state.Bytes
	Key     state.ReplicaKey
	Adapter state.AdapterName
}

// Config holds the settings of a queue. Zero values mean the defaults.
type Config struct {
	// MaxRequests bounds the waiting requests; default 1024.
	MaxRequests int
	// MaxBytes bounds the total size of the bodies of the waiting requests;
	// default 256 MiB.
	MaxBytes state.Bytes
	// MaxPerCaller bounds a caller's waiting requests; default MaxRequests.
	MaxPerCaller int
	// MaxPerModel bounds a model's waiting requests; default MaxRequests.
	MaxPerModel int
	// Concurrency is how many requests are served at the same time; default 1.
	// SetConcurrency changes it.
	Concurrency int
	// StarvationBound is how many requests of higher classes may be served in
	// a row while a lower class waits; default 16.
	StarvationBound int
	// Quantum is the service time that a caller of weight 1 is credited with
	// in one round of the deficit round robin; default 200 ms.
	Quantum time.Duration
	// CostFactor is the multiple of its predicted cost that must remain before
	// a request's deadline when its service begins; default 3. With a factor of
	// 1 and the mean as the cost, two of five requests that start at the last
	// moment would end late, because output lengths vary.
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

// Queue is a bounded queue of requests with deadlines. A higher class is served
// first, up to the starvation bound; within a class, callers share the service
// time by weight through deficit round robin. A Queue is not safe for concurrent
// use.
type Queue struct {
	cfg     Config
	slots   []slot
	free    []int32
	byID    map[uint64]int32
	classes [state.ClassCount]classQueue
	// lanes holds the lanes that are not empty.
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
		q.classes[i].newest = noSlot
	}
	return q
}

// SetConcurrency sets how many requests are served at the same time. Values below
// 1 count as 1.
func (q *Queue) SetConcurrency(n int) { q.cfg.Concurrency = max(n, 1) }

// Offer adds an item to the queue or refuses it. wait is the predicted time until
// service can begin for reasons outside the queue, such as a model that loads.
// The items in shed were removed to make room; the caller must refuse them as
// shed. A refusal says NotRun. It carries RetryAfter unless the item is already
// waiting or its deadline has passed.
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
		shed = append(shed, q.take(q.newestOfWorstClass(it.Class)))
	}
	q.insert(it, allowance)
	return shed, nil
}

// checkLimits returns a refusal if the item is already waiting, cannot meet its
// deadline, or exceeds the limit of its caller or model. needed is the time that
// the item takes besides its wait in the queue.
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

// allowance returns the time that must remain before the item's deadline when its
// service begins.
func (q *Queue) allowance(it Item) time.Duration {
	return time.Duration(q.cfg.CostFactor*float64(it.Cost)) + q.cfg.Margin
}

// delay predicts the time until a new item of a class is served: the waiting work
// of this class and the higher ones, divided by the concurrency.
func (q *Queue) delay(class state.Class) time.Duration {
	var ahead time.Duration
	for c := range class + 1 {
		ahead += q.classes[c].work
	}
	return ahead / time.Duration(q.cfg.Concurrency)
}

// retryAfter returns a delay between half and one and a half times the excess, or
// a second if that is longer. It depends on the item's ID, so that callers refused
// together do not retry together.
func (q *Queue) retryAfter(it Item, excess time.Duration) time.Duration {
	base := max(excess, time.Second)
	// Fibonacci hashing: the multiplier is 2^64 divided by the golden ratio.
	const multiplier = 0x9e3779b97f4a7c15
	spread := float64((it.ID*multiplier)>>40) / (1 << 24)
	return base/2 + time.Duration(spread*float64(base))
}

// hasRoom reports whether the queue can take an item without shedding others.
func (q *Queue) hasRoom(it Item) bool {
	return len(q.byID) < q.cfg.MaxRequests && q.bytes+it.Size <= q.cfg.MaxBytes
}

// canMakeRoom reports whether shedding items of lower classes would make room for
// an item. Items of its own class are never shed for it. The newest item of the
// lowest class is shed first.
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

// newestOfWorstClass returns the newest item of the lowest class that waits, among
// the classes below the given one. There is one if canMakeRoom returned true and
// hasRoom false.
func (q *Queue) newestOfWorstClass(class state.Class) int32 {
	for c := state.ClassCount - 1; c > int(class); c-- {
		if q.classes[c].newest != noSlot {
			return q.classes[c].newest
		}
	}
	return noSlot
}

// Next removes and returns the item to serve next among those for which fits
// returns true. It reports false if there is none. It never returns an item that
// can no longer finish before its deadline; Expire removes those. The result of
// fits may depend only on Key, Adapter, Long and Class, because it is called for
// one item of each lane.
func (q *Queue) Next(now time.Time, fits func(Item) bool) (Item, bool) {
	order := q.classOrder()
	for _, c := range order {
		chosen := q.chooseSlot(&q.classes[c], now, fits)
		if chosen == noSlot {
			continue
		}
		q.countPassedOver(c)
		return q.take(chosen), true
	}
	return Item{}, false
}

// classOrder returns the classes in the order in which to serve them: the lowest
// class that has reached the starvation bound comes first, then the others from
// high to low.
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

// countPassedOver updates the counts for the starvation bound after an item of the
// served class is chosen.
func (q *Queue) countPassedOver(served state.Class) {
	q.classes[served].passedOver = 0
	for c := served + 1; c < state.ClassCount; c++ {
		if q.classes[c].count > 0 {
			q.classes[c].passedOver++
		}
	}
}

// Remove removes an item, for instance because its caller disconnected. It reports
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
		if q.slots[index].latestStart.After(now) {
			break
		}
		expired = append(expired, q.take(index))
	}
	return expired
}

// Waiting returns the number of waiting items by class.
func (q *Queue) Waiting() [state.ClassCount]int {
	var counts [state.ClassCount]int
	for c := range q.classes {
		counts[c] = q.classes[c].count
	}
	return counts
}

// Work returns the predicted service time of all waiting items.
func (q *Queue) Work() time.Duration { return q.work }

// Len returns the number of waiting items.
func (q *Queue) Len() int { return len(q.byID) }
