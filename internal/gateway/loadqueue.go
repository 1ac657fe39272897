package gateway

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/decide/fairness"
	"github.com/lagoonvalve/lagoonvalve/internal/fleet"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// maxTurn bounds how long a request that has chosen an upstream holds up those behind it
// while it waits for a connection or a permit. A connection within a region takes up to 3 ms.
const maxTurn = 20 * time.Millisecond

// loadQueue lets the requests that wait for the same model or adapter go on in order, one
// after the other, once an upstream holds it. Its methods may be called from any goroutine.
type loadQueue struct {
	// current is the newest view.
	current *atomic.Pointer[view]

	mu     sync.Mutex
	groups map[loadKey]*loadGroup
	// begun is the newest view for which begin was called.
	begun *view
}

// loadKey is what requests wait for.
type loadKey struct {
	service state.ServiceName
	target  fleet.Target
}

// loadGroup has the requests that wait for the same target.
type loadGroup struct {
	// waiting has those that have chosen from the newest view, or may do so now.
	waiting map[*loadWaiter]struct{}
	// round has the requests that choose next, in order, and turn is the one that chooses
	// now, nil if none does. Both are not in waiting.
	round []*loadWaiter
	turn  *loadWaiter
	// limit ends the turn; nil while that is not limited.
	limit *time.Timer
}

// loadWaiter is a request that waits for a load.
type loadWaiter struct {
	key      loadKey
	request  fairness.Queued
	deadline time.Time
	// wake receives a value when the request has its turn, or all may choose.
	wake chan struct{}
}

func newLoadQueue(current *atomic.Pointer[view]) *loadQueue {
	return &loadQueue{current: current, groups: make(map[loadKey]*loadGroup)}
}

// begin lets requests choose again after a new view was published. If their target is held,
// they do so one after the other, in the order that is returned for them.
func (q *loadQueue) begin(v *view, order func([]*loadWaiter) []*loadWaiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.begun = v
	for key, g := range q.groups {
		if v.fairness == nil || !anyHolds(v.service(key.service), key.target) {
			g.wakeAll()
			continue
		}
		for w := range g.waiting {
			g.round = append(g.round, w)
		}
		clear(g.waiting)
		g.round = order(g.round)
		g.advance()
	}
}

// add adds a request that waits after a choice from a view, and ends its turn. If a newer view
// was published meanwhile, the request keeps its place, or goes on last.
func (q *loadQueue) add(w *loadWaiter, chosenFrom *view) {
	q.mu.Lock()
	defer q.mu.Unlock()
	g := q.groups[w.key]
	if g == nil {
		g = &loadGroup{waiting: make(map[*loadWaiter]struct{})}
		q.groups[w.key] = g
	}
	// begin comes after the change of current, and waits for mu.
	isStale := chosenFrom != q.begun && chosenFrom != q.current.Load()
	switch {
	case isStale && g.turn == w:
		w.signal()
	case isStale && slices.Contains(g.round, w):
	case isStale:
		g.remove(w)
		g.round = append(g.round, w)
	default:
		g.remove(w)
		g.waiting[w] = struct{}{}
		select {
		case <-w.wake:
		default:
		}
	}
	g.advance()
}

// mayChoose reports whether a request may choose from a view. Otherwise it has to wait for its
// turn, or for begin if the view was published right now.
func (q *loadQueue) mayChoose(w *loadWaiter, from *view) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	g := q.groups[w.key]
	if g == nil || g.turn == w {
		return true
	}
	_, isWaiting := g.waiting[w]
	return !slices.Contains(g.round, w) && (!isWaiting || q.begun == from)
}

// leave removes a request that does not wait any more.
func (q *loadQueue) leave(w *loadWaiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	g := q.groups[w.key]
	if g == nil {
		return
	}
	g.remove(w)
	g.advance()
	if g.turn == nil && len(g.waiting) == 0 {
		delete(q.groups, w.key)
	}
}

// limitTurn bounds the rest of the turn of a request, if it has the turn.
func (q *loadQueue) limitTurn(w *loadWaiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if g := q.groups[w.key]; g != nil && g.turn == w && g.limit == nil {
		g.limit = time.AfterFunc(maxTurn, func() { q.endTurn(w) })
	}
}

// endTurn lets the next request choose. The one whose turn ends may wait again already.
func (q *loadQueue) endTurn(w *loadWaiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if g := q.groups[w.key]; g != nil && g.turn == w {
		g.remove(w)
		g.advance()
	}
}

// wakeAll lets all requests choose. They stay in waiting, so that they are in the next round
// if one begins before they have chosen.
func (g *loadGroup) wakeAll() {
	for _, w := range g.round {
		g.waiting[w] = struct{}{}
	}
	g.round = nil
	for w := range g.waiting {
		w.signal()
	}
}

// remove removes a request wherever it is.
func (g *loadGroup) remove(w *loadWaiter) {
	delete(g.waiting, w)
	g.round = slices.DeleteFunc(g.round, func(other *loadWaiter) bool { return other == w })
	if g.turn != w {
		return
	}
	g.turn = nil
	if g.limit != nil {
		g.limit.Stop()
		g.limit = nil
	}
}

// advance gives the turn to the next request if nobody has it.
func (g *loadGroup) advance() {
	if g.turn == nil && len(g.round) > 0 {
		g.turn, g.round = g.round[0], g.round[1:]
		g.turn.signal()
	}
}

func (w *loadWaiter) signal() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// beginLoadRound lets the requests that wait for loads choose again, from a new view.
func (g *Gateway) beginLoadRound(v *view) {
	now := time.Now()
	g.loadQueue.begin(v, func(list []*loadWaiter) []*loadWaiter { return g.orderWaiters(v.fairness, list, now) })
}

// orderWaiters returns requests that wait for the same target in the order in which they go
// on.
func (g *Gateway) orderWaiters(p *fairness.Policy, list []*loadWaiter, now time.Time) []*loadWaiter {
	if len(list) < 2 {
		return list
	}
	queued := make([]fairness.Queued, len(list))
	for i, w := range list {
		queued[i] = w.request
		queued[i].TimeLeft = w.deadline.Sub(now)
	}
	g.fairShares.mu.Lock()
	order := g.fairShares.shares.Order(p, queued, g.fairShares.waitsOf(list[0].key.service), now)
	g.fairShares.mu.Unlock()
	ordered := make([]*loadWaiter, len(list))
	for n, i := range order {
		ordered[n] = list[i]
	}
	return ordered
}

// awaitLoad waits until the request may choose again after a newer view than v was published,
// d has passed or ctx ends. With an order between teams, requests for the same target choose
// one after the other.
func (x *exchange) awaitLoad(ctx context.Context, v *view, d time.Duration) {
	g := x.gateway
	if v.fairness == nil || x.call.Model == "" {
		x.leaveLoadQueue()
		v.awaitChange(ctx, d)
		return
	}
	if x.waitsForLoad == nil {
		x.waitsForLoad = &loadWaiter{
			key: loadKey{x.service, x.call.Target}, deadline: x.deadline, wake: make(chan struct{}, 1),
			request: fairness.Queued{
				Request: fairness.Request{
					Team: x.teamName(), Service: x.service, Priority: x.priority,
					Work: time.Duration(x.call.Prompt) * g.selection.PrefillPerToken,
				},
				Cost: x.fairCost(), Since: x.began,
			},
		}
	}
	g.loadQueue.add(x.waitsForLoad, v)
	x.awaitWake(ctx, d)
}

// awaitTurn waits for the request's turn to choose from a view, if it has to, for d at most.
// It returns false if it did not wait.
func (x *exchange) awaitTurn(ctx context.Context, v *view, d time.Duration) bool {
	if x.waitsForLoad == nil || d <= 0 || x.gateway.loadQueue.mayChoose(x.waitsForLoad, v) {
		return false
	}
	x.awaitWake(ctx, d)
	return true
}

func (x *exchange) awaitWake(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-x.waitsForLoad.wake:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// limitLoadTurn bounds how long the request holds up those that wait for the same target: it
// is about to wait for something else.
func (x *exchange) limitLoadTurn() {
	if x.waitsForLoad != nil {
		x.gateway.loadQueue.limitTurn(x.waitsForLoad)
	}
}

// leaveLoadQueue lets the next of those that wait for the same target choose.
func (x *exchange) leaveLoadQueue() {
	if x.waitsForLoad != nil {
		x.gateway.loadQueue.leave(x.waitsForLoad)
		x.waitsForLoad = nil
	}
}
