package entry

import (
	"context"
	"sync"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/decide/admission"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
	"github.com/lagoonvalve/lagoonvalve/internal/verdict"
)

const (
	// windowStart is how many requests an entry first keeps at each ready
	// replica.
	windowStart = 32
	// windowMin keeps some work at each replica after refusals.
	windowMin = 2
	// windowMax bounds the requests that an entry keeps at each replica.
	windowMax = 1024
)

// waitingRoom holds the requests of one target until a replica takes them.
// It lets at most a window of requests per ready replica go at once; the
// window grows by one for each window of answers and halves when a replica's
// queue is full, so that entries find their share without talking.
type waitingRoom struct {
	mu      sync.Mutex
	queue   *admission.Queue
	waiters map[uint64]*waiter

	replicas    int
	window      float64
	outstanding int
}

type waiter struct {
	// ready gets nil when the request may go, or the verdict that ends it.
	ready chan *verdict.Verdict
	size  state.Bytes
	// movable says that another region may serve the request.
	movable bool
	waitingGroup
}

// waitingGroup is what operators group waiting requests by.
type waitingGroup struct {
	caller  state.CallerName
	class   state.Class
	adapter state.AdapterName
}

func newWaitingRoom(cfg admission.Config) *waitingRoom {
	return &waitingRoom{
		queue:   admission.NewQueue(cfg),
		waiters: make(map[uint64]*waiter),
		window:  windowStart,
	}
}

// enter waits until the request may be sent, its deadline or its caller's
// leaving. loadWait is the predicted time until a replica is ready; movable
// says that another region may serve the request.
func (w *waitingRoom) enter(ctx context.Context, item admission.Item, loadWait time.Duration, movable bool) *verdict.Verdict {
	mine := &waiter{
		ready:        make(chan *verdict.Verdict, 1),
		size:         item.Size,
		movable:      movable,
		waitingGroup: waitingGroup{caller: item.Caller, class: item.Class, adapter: item.Adapter},
	}
	if refusal := w.offer(time.Now(), item, mine, loadWait); refusal != nil {
		return refusal
	}
	select {
	case v := <-mine.ready:
		return v
	case <-ctx.Done():
		return w.abandon(ctx, item.ID, mine)
	}
}

func (w *waitingRoom) offer(now time.Time, item admission.Item, mine *waiter, loadWait time.Duration) *verdict.Verdict {
	w.mu.Lock()
	defer w.mu.Unlock()
	shed, refusal := w.queue.Offer(now, item, loadWait)
	for _, other := range shed {
		w.finish(other.ID, verdict.Refuse(verdict.ReasonShed, "shed for requests of a higher class"))
	}
	if refusal != nil {
		return refusal
	}
	w.waiters[item.ID] = mine
	w.release(now)
	return nil
}

// abandon takes a request out of the queue after its context has ended. A
// request that was let go in the same moment gives its place back.
func (w *waitingRoom) abandon(ctx context.Context, id uint64, mine *waiter) *verdict.Verdict {
	w.mu.Lock()
	defer w.mu.Unlock()
	select {
	case v := <-mine.ready:
		if v == nil {
			w.outstanding--
			w.release(time.Now())
		}
	default:
		w.queue.Remove(id)
		delete(w.waiters, id)
	}
	reason, why := endOf(ctx)
	return verdict.Refuse(reason, why+" while the request waited")
}

// leave gives a request's place back. full says that a replica refused it
// because its queue was full.
func (w *waitingRoom) leave(full bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.outstanding--
	if full {
		w.window = max(windowMin, w.window/2)
	} else {
		w.window = min(windowMax, w.window+1/w.window)
	}
	w.release(time.Now())
}

// setReplicas tells the room how many replicas are ready.
func (w *waitingRoom) setReplicas(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.replicas = n
	w.release(time.Now())
}

// expire ends the requests whose deadline has passed or whose prediction can
// no longer be met.
func (w *waitingRoom) expire(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, item := range w.queue.Expire(now) {
		w.finish(item.ID, verdict.Refuse(verdict.ReasonDeadlineUnmet, "no replica could take the request in time"))
	}
	w.release(now)
}

// refuseMovable ends the wait of the movable requests with v, as long as allow
// accepts their sizes.
func (w *waitingRoom) refuseMovable(v *verdict.Verdict, allow func(size state.Bytes) bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, mine := range w.waiters {
		if mine.movable && allow(mine.size) {
			w.queue.Remove(id)
			w.finish(id, v)
		}
	}
}

// waiting returns the waiting requests by class, their predicted work and
// the number of requests at replicas.
func (w *waitingRoom) waiting() ([state.ClassCount]int, time.Duration, int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.queue.Waiting(), w.queue.Work(), w.outstanding
}

// groups counts the waiting requests for operators.
func (w *waitingRoom) groups() map[waitingGroup]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	counts := make(map[waitingGroup]int)
	for _, mine := range w.waiters {
		counts[mine.waitingGroup]++
	}
	return counts
}

func (w *waitingRoom) release(now time.Time) {
	limit := int(w.window * float64(w.replicas))
	for w.outstanding < limit {
		item, ok := w.queue.Next(now, func(admission.Item) bool { return true })
		if !ok {
			return
		}
		w.outstanding++
		w.finish(item.ID, nil)
	}
}

func (w *waitingRoom) finish(id uint64, v *verdict.Verdict) {
	if mine, ok := w.waiters[id]; ok {
		delete(w.waiters, id)
		mine.ready <- v
	}
}
