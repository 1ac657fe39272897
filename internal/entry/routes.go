package entry

import (
	"math/rand/v2"
	"sync"
	"time"
)

// routeIdle is how long an unused route is kept.
const routeIdle = 10 * time.Minute

// routeTable holds the routes of the targets in use.
type routeTable struct {
	mu       sync.RWMutex
	byTarget map[target]*route
}

// of returns the route of t. Adapters share the route of their model, since
// the same replicas serve them.
func (t *routeTable) of(key target, cfg routeConfig) *route {
	key.adapter = ""
	t.mu.RLock()
	known, ok := t.byTarget[key]
	t.mu.RUnlock()
	if ok {
		return known
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if known, ok := t.byTarget[key]; ok {
		return known
	}
	if t.byTarget == nil {
		t.byTarget = make(map[target]*route)
	}
	created := newRoute(key, cfg)
	t.byTarget[key] = created
	return created
}

// each calls f with every route.
func (t *routeTable) each(f func(*route)) {
	t.mu.RLock()
	all := make([]*route, 0, len(t.byTarget))
	for _, r := range t.byTarget {
		all = append(all, r)
	}
	t.mu.RUnlock()
	for _, r := range all {
		f(r)
	}
}

// dropIdle forgets the routes that have not been used for routeIdle.
func (t *routeTable) dropIdle(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for key, r := range t.byTarget {
		_, _, outstanding := r.room.waiting()
		unused := now.Sub(time.Unix(0, r.lastUsed.Load()))
		if outstanding == 0 && unused > routeIdle {
			delete(t.byTarget, key)
		}
	}
}

// lockedRand is a random source for code that holds its owner's lock.
type lockedRand struct {
	seeded *rand.Rand
}

func (l *lockedRand) rand() *rand.Rand {
	if l.seeded == nil {
		l.seeded = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	return l.seeded
}
