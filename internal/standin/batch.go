package standin

import (
	"context"
	"sync"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// batch admits requests to a continuous batch of limited size, by class and
// then by arrival.
type batch struct {
	size int

	mu      sync.Mutex
	running int
	round   int
	waiting [state.ClassCount][]chan struct{}
	// history has the load after each change, oldest first.
	history []loadSample
}

// loadSample is the load from a time on.
type loadSample struct {
	since   time.Time
	running int
	waiting int
}

// maxHistory bounds the load samples kept for late reports.
const maxHistory = 4096

func newBatch(size int) *batch { return &batch{size: size} }

// enter waits for a place and returns the function that gives it back; ok is
// false if ctx ended first.
func (b *batch) enter(ctx context.Context, class state.Class) (leave func(), ok bool) {
	b.mu.Lock()
	round := b.round
	if b.running < b.size {
		b.running++
		b.sample()
		b.mu.Unlock()
		return func() { b.leave(round) }, true
	}
	place := make(chan struct{})
	b.waiting[class] = append(b.waiting[class], place)
	b.sample()
	b.mu.Unlock()
	select {
	case <-place:
		return func() { b.leave(round) }, true
	case <-ctx.Done():
		b.forget(class, place, round)
		return nil, false
	}
}

// leave passes the place to the best waiting request. Places of an earlier
// round are gone already.
func (b *batch) leave(round int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if round != b.round {
		return
	}
	b.pass()
	b.sample()
}

func (b *batch) pass() {
	for class, queue := range b.waiting {
		if len(queue) > 0 {
			close(queue[0])
			b.waiting[class] = queue[1:]
			return
		}
	}
	b.running--
}

// forget takes a request that left out of the queue. If it got its place
// meanwhile, the place is passed on.
func (b *batch) forget(class state.Class, place chan struct{}, round int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if round != b.round {
		return
	}
	defer b.sample()
	for i, other := range b.waiting[class] {
		if other == place {
			b.waiting[class] = append(b.waiting[class][:i], b.waiting[class][i+1:]...)
			return
		}
	}
	b.pass()
}

// reset drops everything, as a crash does.
func (b *batch) reset() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.round++
	b.running = 0
	b.waiting = [state.ClassCount][]chan struct{}{}
	b.sample()
}

func (b *batch) sample() {
	waiting := 0
	for _, queue := range b.waiting {
		waiting += len(queue)
	}
	b.history = append(b.history, loadSample{since: time.Now(), running: b.running, waiting: waiting})
	if len(b.history) > maxHistory {
		b.history = append([]loadSample(nil), b.history[maxHistory/2:]...)
	}
}

// loadAt returns the load at a past time.
func (b *batch) loadAt(at time.Time) loadSample {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i := len(b.history) - 1; i >= 0; i-- {
		if !b.history[i].since.After(at) {
			return b.history[i]
		}
	}
	return loadSample{}
}
