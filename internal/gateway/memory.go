package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/ctxtime"
	"github.com/lagoonvalve/lagoonvalve/internal/decide/fairness"
	"github.com/lagoonvalve/lagoonvalve/internal/decide/occupancy"
	"github.com/lagoonvalve/lagoonvalve/internal/fleet"
	"github.com/lagoonvalve/lagoonvalve/internal/notices"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
	"github.com/lagoonvalve/lagoonvalve/internal/verdict"
)

const (
	// memoryRecheck is the maximum time after which a request that waits for memory
	// chooses again. Reports of other gateways expire without an event.
	memoryRecheck = 250 * time.Millisecond
	// heldReportInterval is the time between two checks for which upstreams a report of
	// held memory is due.
	heldReportInterval = 500 * time.Millisecond
)

// heldMemory is the memory that a request holds at an upstream.
type heldMemory struct {
	stats  *upstreamStats
	tokens fleet.Tokens
}

// memoryQueue holds the requests that wait for the memory of engines. Its methods may be
// called from any goroutine.
type memoryQueue struct {
	mu      sync.Mutex
	waiting map[*memoryWaiter]struct{}
	// freed is closed when memory may have become free.
	freed chan struct{}
}

// memoryWaiter is a request that waits for memory at the upstreams that hold its target.
type memoryWaiter struct {
	service state.ServiceName
	target  fleet.Target
	place   fairness.Waiting
}

func newMemoryQueue() *memoryQueue {
	return &memoryQueue{waiting: make(map[*memoryWaiter]struct{}), freed: make(chan struct{})}
}

// wake makes the waiting requests choose again.
func (q *memoryQueue) wake() {
	q.mu.Lock()
	defer q.mu.Unlock()
	close(q.freed)
	q.freed = make(chan struct{})
}

// nextFreed returns a channel that is closed when memory may have become free.
func (q *memoryQueue) nextFreed() <-chan struct{} {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.freed
}

// isFirst reports whether w comes before all other requests that wait for the same service
// and target. A request that does not wait yet, for which w is nil, comes after all of them.
func (q *memoryQueue) isFirst(w *memoryWaiter, service state.ServiceName, target fleet.Target) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	for other := range q.waiting {
		if other == w || other.service != service || other.target != target {
			continue
		}
		if w == nil || fairness.Compare(other.place, w.place) < 0 {
			return false
		}
	}
	return true
}

func (q *memoryQueue) add(w *memoryWaiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.waiting[w] = struct{}{}
}

func (q *memoryQueue) remove(w *memoryWaiter) {
	q.mu.Lock()
	delete(q.waiting, w)
	q.mu.Unlock()
	q.wake()
}

// memoryOf returns the memory of an engine of a service; zero if it is not a limit.
func (g *Gateway) memoryOf(v *view, service state.ServiceName) fleet.Tokens {
	s := v.manifest.Services[service]
	if !g.opts.EngineMemory || s == nil || s.Engine == nil {
		return 0
	}
	return s.Engine.Cache
}

// memoryNeed returns the tokens that the request needs at an upstream that has a part of its
// prompt cached.
func (x *exchange) memoryNeed(cached fleet.Tokens) fleet.Tokens {
	return max(x.call.Prompt-cached, 0) + max(x.call.MaxAnswer, 0)
}

// beginMemoryChoice resets what the last choice has recorded about memory. It reports whether
// no other request that waits for the same memory comes before this one.
func (x *exchange) beginMemoryChoice() (isFirst bool) {
	x.memoryFull = false
	if !x.gateway.opts.EngineMemory {
		return true
	}
	x.memoryFreed = x.gateway.memoryQueue.nextFreed()
	return x.gateway.memoryQueue.isFirst(x.waitsForMemory, x.service, x.call.Target)
}

// memoryFits reports whether the request fits the memory of an upstream; isFirst is the
// result of beginMemoryChoice.
func (x *exchange) memoryFits(v *view, m *member, cached fleet.Tokens, isFirst bool, now time.Time) bool {
	capacity := x.gateway.memoryOf(v, x.service)
	if capacity == 0 {
		return true
	}
	need := x.memoryNeed(cached)
	return need == 0 || isFirst && m.stats.checkMemory(need, capacity, now) == occupancy.Fits
}

const tooLargeDetail = "the request needs more than the memory of an engine"

// refuseTooLarge returns a verdict if the request does not fit the memory of an engine even
// if no other request is there.
func (x *exchange) refuseTooLarge(v *view) *verdict.Verdict {
	capacity := x.gateway.memoryOf(v, x.service)
	if !x.memoryFull || capacity == 0 || x.memoryNeed(x.mostCached(v)) <= capacity {
		return nil
	}
	return verdict.Refuse(verdict.ReasonShed, tooLargeDetail).WithRetryAfter(maxDelayRetryAfter)
}

// mostCached returns the largest part of the prompt that an upstream has cached.
func (x *exchange) mostCached(v *view) fleet.Tokens {
	most := fleet.Tokens(0)
	for _, m := range v.service(x.service) {
		if fleet.Holds(m.replicas, x.call.Target) {
			most = max(most, x.gateway.sentPrompts.cachedTokens(m.stats.index, x.prompt, x.call.Parts))
		}
	}
	return most
}

// holdMemory reserves the memory that the request needs at the chosen upstream. It returns
// false if another request has reserved it since the choice.
func (x *exchange) holdMemory(v *view, m *member) bool {
	capacity := x.gateway.memoryOf(v, x.service)
	if capacity == 0 {
		return true
	}
	need := x.uncachedTokens + max(x.call.MaxAnswer, 0)
	if !m.stats.holdMemory(need, capacity, time.Now()) {
		return false
	}
	x.memory = heldMemory{stats: m.stats, tokens: need}
	return true
}

// releaseMemory ends the request's reservation of memory, if it has one.
func (x *exchange) releaseMemory() {
	if x.memory.stats == nil {
		return
	}
	x.memory.stats.releaseMemory(x.memory.tokens)
	x.memory = heldMemory{}
	x.gateway.memoryQueue.wake()
}

// awaitMemory waits until memory may have become free since the latest choice, the view has
// changed, d has passed or ctx ends. The first call enters the request in the queue and
// returns at once: if it is the first in the queue, the memory may be free for it.
func (x *exchange) awaitMemory(ctx context.Context, v *view, d time.Duration) {
	if x.waitsForMemory == nil {
		x.waitsForMemory = &memoryWaiter{service: x.service, target: x.call.Target, place: x.memoryPlace(time.Now())}
		x.gateway.memoryQueue.add(x.waitsForMemory)
		return
	}
	timer := time.NewTimer(min(d, memoryRecheck))
	defer timer.Stop()
	select {
	case <-x.memoryFreed:
	case <-v.changed:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// stopMemoryWait removes the request from those that wait for memory.
func (x *exchange) stopMemoryWait() {
	if x.waitsForMemory == nil {
		return
	}
	x.gateway.memoryQueue.remove(x.waitsForMemory)
	x.waitsForMemory = nil
}

// memoryPlace returns the place of the request among those that wait for memory.
func (x *exchange) memoryPlace(now time.Time) fairness.Waiting {
	g := x.gateway
	place := fairness.Waiting{Rank: fairness.Rank{Engine: x.priority}, Since: x.began}
	policy := g.view.Load().fairness
	if policy == nil {
		return place
	}
	load := fairness.Load{PendingPrefill: g.fairShares.cfg.ScarceDelay, Waits: &fairness.Waits{}, ServiceWaits: &fairness.Waits{}}
	r := fairness.Request{Team: x.teamName(), Service: x.service, Priority: x.priority, TimeLeft: x.deadline.Sub(now)}
	g.fairShares.mu.Lock()
	defer g.fairShares.mu.Unlock()
	place.Rank = g.fairShares.shares.Rank(policy, r, &load, now)
	return place
}

func (s *upstreamStats) checkMemory(need, capacity fleet.Tokens, now time.Time) occupancy.Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.memory.Check(need, capacity, now)
}

func (s *upstreamStats) holdMemory(need, capacity fleet.Tokens, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.memory.Check(need, capacity, now) != occupancy.Fits {
		return false
	}
	s.memory.Hold(need)
	return true
}

func (s *upstreamStats) releaseMemory(tokens fleet.Tokens) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.memory.Hold(-tokens)
}

// addHeldMemory adds the memory that this gateway's requests hold at an upstream to a notice
// about it, if a report is due or the notice is sent anyway. It reports whether one is due.
func (g *Gateway) addHeldMemory(m *member, n *notices.SentNotice, sentAnyway bool) (due bool) {
	capacity := g.memoryOf(g.view.Load(), m.upstream.Service)
	if capacity == 0 {
		return false
	}
	now := time.Now()
	m.stats.mu.Lock()
	defer m.stats.mu.Unlock()
	due = m.stats.memory.ReportDue(capacity, now)
	if due || sentAnyway {
		n.Gateway, n.Held = g.opts.Name, m.stats.memory.Report(now)
	}
	return due
}

// observeHeldMemory applies another gateway's report of the memory that its requests hold.
func (g *Gateway) observeHeldMemory(m *member, n notices.SentNotice) {
	if !g.opts.EngineMemory || n.Gateway == "" {
		return
	}
	m.stats.mu.Lock()
	less := m.stats.memory.Observe(n.Gateway, n.Held, time.Now())
	m.stats.mu.Unlock()
	if less {
		g.memoryQueue.wake()
	}
}

// reportHeldMemory reports to the other gateways, until ctx ends, memory that has become free
// and memory whose last report is about to expire.
func (g *Gateway) reportHeldMemory(ctx context.Context) {
	for ctxtime.Sleep(ctx, heldReportInterval) {
		for _, m := range g.view.Load().byName {
			n := notices.SentNotice{Upstream: m.upstream.Name, Started: m.upstream.Started.UnixMilli()}
			if g.addHeldMemory(m, &n, false) {
				g.opts.Notices.NotifySent(n)
			}
		}
	}
}
