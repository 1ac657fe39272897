package agent_test

import (
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/decide/admission"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
	"github.com/lagoonvalve/lagoonvalve/internal/verdict"
)

// classQueue is a bounded queue with strict class priority, first in first
// out within a class.
type classQueue struct {
	maxRequests int
	maxBytes    state.Bytes
	bytes       state.Bytes
	classes     [state.ClassCount][]admission.Item
}

func newClassQueue(maxRequests int, maxBytes state.Bytes) *classQueue {
	return &classQueue{maxRequests: maxRequests, maxBytes: maxBytes}
}

// Offer implements Queue. It sheds nothing: the newest request is refused.
func (q *classQueue) Offer(now time.Time, it admission.Item, wait time.Duration) ([]admission.Item, *verdict.Verdict) {
	if q.Len() >= q.maxRequests || q.bytes+it.Size > q.maxBytes {
		return nil, verdict.Refuse(verdict.ReasonQueueFull, "the upstream's queue is full")
	}
	if now.Add(wait + it.Cost).After(it.Deadline) {
		return nil, verdict.Refuse(verdict.ReasonDeadlineUnmet, "the deadline can't be met")
	}
	q.classes[it.Class] = append(q.classes[it.Class], it)
	q.bytes += it.Size
	return nil, nil
}

// Next implements Queue.
func (q *classQueue) Next(_ time.Time, fits func(admission.Item) bool) (admission.Item, bool) {
	for c := range q.classes {
		for i, it := range q.classes[c] {
			if fits(it) {
				q.cut(c, i)
				return it, true
			}
		}
	}
	return admission.Item{}, false
}

// Remove implements Queue.
func (q *classQueue) Remove(id uint64) bool {
	for c := range q.classes {
		for i, it := range q.classes[c] {
			if it.ID == id {
				q.cut(c, i)
				return true
			}
		}
	}
	return false
}

func (q *classQueue) cut(c, i int) {
	q.bytes -= q.classes[c][i].Size
	q.classes[c] = append(q.classes[c][:i], q.classes[c][i+1:]...)
}

// Expire implements Queue.
func (q *classQueue) Expire(now time.Time) []admission.Item {
	var expired []admission.Item
	for c := range q.classes {
		for i := 0; i < len(q.classes[c]); {
			it := q.classes[c][i]
			if it.Deadline.After(now) {
				i++
				continue
			}
			expired = append(expired, it)
			q.cut(c, i)
		}
	}
	return expired
}

// Waiting implements Queue.
func (q *classQueue) Waiting() [state.ClassCount]int {
	var counts [state.ClassCount]int
	for c := range q.classes {
		counts[c] = len(q.classes[c])
	}
	return counts
}

// Work implements Queue.
func (q *classQueue) Work() time.Duration {
	var total time.Duration
	for _, items := range q.classes {
		for _, it := range items {
			total += it.Cost
		}
	}
	return total
}

// Len implements Queue.
func (q *classQueue) Len() int {
	total := 0
	for _, items := range q.classes {
		total += len(items)
	}
	return total
}
