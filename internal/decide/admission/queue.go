// Package admission bounds and orders the requests that wait for a replica
// (at an entry) or for an engine (at an agent). It refuses early what cannot
// meet its deadline. Times come in as arguments.
package admission

import (
	"time"

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
	// Margin is added to each predicted finishing time; default 0.
	Margin time.Duration
}

// Queue is a bounded queue of requests with deadlines. Classes are strict up
// to the starvation bound; within a class, callers share by weight through
// deficit round robin. A Queue is not safe for concurrent use.
type Queue struct{ cfg Config }

// NewQueue returns an empty queue.
func NewQueue(cfg Config) *Queue { return &Queue{cfg: cfg} }

// SetConcurrency tells how many requests are now served side by side behind
// the queue. Values below 1 count as 1.
func (q *Queue) SetConcurrency(n int) { q.cfg.Concurrency = max(n, 1) }

// Offer adds it to the queue or refuses it. The wait is the predicted time
// until service can begin for reasons outside the queue, such as a load. The
// items in shed were removed to make room; the caller must refuse them as
// shed. A refusal says NotRun and carries RetryAfter.
func (q *Queue) Offer(now time.Time, it Item, wait time.Duration) (shed []Item, refusal *verdict.Verdict) {
	return nil, nil
}

// Next removes and returns the item to serve next among those that fit, or
// reports false. It never returns an item that is past its deadline; Expire
// collects those. The result of fits may depend on Key, Adapter, Long and
// Class only, because one item is asked for each such group of a caller.
func (q *Queue) Next(now time.Time, fits func(Item) bool) (Item, bool) { return Item{}, false }

// Remove takes an item out, for instance because its caller left. It reports
// whether the item was waiting.
func (q *Queue) Remove(id uint64) bool { return false }

// Expire removes and returns the items that can no longer finish before
// their deadlines; the caller must refuse them.
func (q *Queue) Expire(now time.Time) []Item { return nil }

// Waiting counts the waiting items by class.
func (q *Queue) Waiting() [state.ClassCount]int { return [state.ClassCount]int{} }

// Work is the predicted service time of all waiting items.
func (q *Queue) Work() time.Duration { return 0 }

// Len counts the waiting items.
func (q *Queue) Len() int { return 0 }
