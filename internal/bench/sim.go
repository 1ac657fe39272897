package bench

import (
	"container/heap"
	"time"
)

// sim is virtual time: a heap of events that run in order of time and then of
// scheduling.
type sim struct {
	now    time.Time
	seq    uint64
	events eventHeap
}

type event struct {
	at  time.Time
	seq uint64
	run func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].seq < h[j].seq
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*h = old[:len(old)-1]
	return last
}

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newSim() *sim { return &sim{now: epoch} }

// after runs f once d has passed.
func (s *sim) after(d time.Duration, f func()) {
	s.seq++
	heap.Push(&s.events, event{at: s.now.Add(max(d, 0)), seq: s.seq, run: f})
}

// every runs f at intervals of d, beginning after d.
func (s *sim) every(d time.Duration, f func()) {
	s.after(d, func() {
		f()
		s.every(d, f)
	})
}

// runUntil runs events up to end.
func (s *sim) runUntil(end time.Time) {
	for len(s.events) > 0 && !s.events[0].at.After(end) {
		next := heap.Pop(&s.events).(event)
		s.now = next.at
		next.run()
	}
	s.now = end
}
