package entry

import (
	"cmp"
	"math"
	"slices"
	"sync/atomic"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/decide/admission"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
	"github.com/lagoonvalve/lagoonvalve/internal/verdict"
)

// waitingBounds bounds the requests that wait at the entry, over the rooms of
// all targets.
type waitingBounds struct {
	// maxRequests and maxBytes are the bounds; zero means none.
	maxRequests, maxBytes atomic.Int64
	requests, bytes       atomic.Int64
}

func (b *waitingBounds) set(requests int, size state.Bytes) {
	b.maxRequests.Store(int64(requests))
	b.maxBytes.Store(int64(size))
}

// take counts a request and reports by how much it exceeds the bounds.
func (b *waitingBounds) take(size state.Bytes) (requests, bytes int64) {
	requests, bytes = b.requests.Add(1), b.bytes.Add(int64(size))
	return over(requests, b.maxRequests.Load()), over(bytes, b.maxBytes.Load())
}

func over(n, limit int64) int64 {
	if limit == 0 {
		return 0
	}
	return max(n-limit, 0)
}

func (b *waitingBounds) give(size state.Bytes) {
	b.requests.Add(-1)
	b.bytes.Add(-int64(size))
}

// roomQueue is the configuration of a target's queue, whose size only
// waitingBounds limits.
func roomQueue(starvationBound int) admission.Config {
	return admission.Config{
		MaxRequests: math.MaxInt32, MaxBytes: math.MaxInt64 / 2, Concurrency: startSlots,
		StarvationBound: starvationBound,
	}
}

// takeRoom counts a request that is about to wait. Beyond the bounds, requests
// of lower classes give way, of any target and the newest first; without
// enough of them the request is refused.
func (g *gateway) takeRoom(req *request) *verdict.Verdict {
	size := state.Bytes(len(req.body))
	requests, bytes := g.waiting.take(size)
	if requests == 0 && bytes == 0 || g.shed(req.class, requests, bytes) {
		return nil
	}
	g.waiting.give(size)
	return verdict.Refuse(verdict.ReasonQueueFull, "too many requests wait at this entry").WithRetryAfter(time.Second)
}

// sheddable is a waiting request that may give way.
type sheddable struct {
	room  *waitingRoom
	id    uint64
	class state.Class
	size  state.Bytes
}

// shed ends waiting requests of classes below the given one until the
// excess is gone, or none if that isn't possible.
func (g *gateway) shed(class state.Class, requests, bytes int64) bool {
	var lower []sheddable
	g.routes.each(func(r *route) { lower = r.room.below(class, lower) })
	slices.SortFunc(lower, func(a, b sheddable) int {
		return cmp.Or(cmp.Compare(b.class, a.class), cmp.Compare(b.id, a.id))
	})
	for i := range lower {
		requests--
		bytes -= int64(lower[i].size)
		if requests <= 0 && bytes <= 0 {
			for _, s := range lower[:i+1] {
				s.room.shed(s.id)
			}
			return true
		}
	}
	return false
}

// below adds the requests of classes below the given one.
func (w *waitingRoom) below(class state.Class, to []sheddable) []sheddable {
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, mine := range w.waiters {
		if mine.class > class {
			to = append(to, sheddable{room: w, id: id, class: mine.class, size: mine.size})
		}
	}
	return to
}

// shed ends a waiting request for one of a higher class.
func (w *waitingRoom) shed(id uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.queue.Remove(id)
	w.finish(id, verdict.Refuse(verdict.ReasonShed, "shed for requests of a higher class"))
}
