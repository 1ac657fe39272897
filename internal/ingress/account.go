package ingress

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// errFull is returned for a charge for which the account has no room.
var errFull = errors.New("the memory for callers' requests is full")

// maxRoomWait is how long a charge waits for the memory of requests that were ended to make
// room for it.
const maxRoomWait = time.Second

// account counts the memory that callers' requests hold, up to a limit.
type account struct {
	limit int64
	used  atomic.Int64
	// waiting is the number of charges that wait for room.
	waiting atomic.Int32

	mu      sync.Mutex
	holders map[*conn]struct{}
	// freed is closed and replaced when memory is released while a charge waits.
	freed chan struct{}
}

func newAccount(limit state.Bytes) *account {
	return &account{limit: int64(limit), holders: make(map[*conn]struct{}), freed: make(chan struct{})}
}

// add charges n bytes to a connection. If the account is full, it ends the requests that hold
// most for longest without progress, and returns errFull if that would be this one.
func (a *account) add(c *conn, n int64) error {
	if a.tryAdd(c, n) {
		return nil
	}
	timer := time.NewTimer(maxRoomWait)
	defer timer.Stop()
	a.waiting.Add(1)
	defer a.waiting.Add(-1)
	for {
		a.mu.Lock()
		if c.evicted.Load() {
			a.mu.Unlock()
			return errFull
		}
		if a.tryAdd(c, n) {
			a.mu.Unlock()
			return nil
		}
		victim, ending := a.victim()
		if a.used.Load()+n-ending > a.limit {
			// A message that alone holds more than others must not end them.
			if victim == nil || victim == c || c.raw && c.weight(time.Now(), n) >= victim.weight(time.Now(), 0) {
				a.mu.Unlock()
				return errFull
			}
			victim.evict(LimitMemory)
			a.mu.Unlock()
			continue
		}
		freed := a.freed
		a.mu.Unlock()
		select {
		case <-freed:
		case <-timer.C:
			return errFull
		}
	}
}

// tryAdd charges n bytes to a connection if there is room.
func (a *account) tryAdd(c *conn, n int64) bool {
	if a.used.Add(n) > a.limit {
		a.used.Add(-n)
		return false
	}
	c.charged.Add(n)
	return true
}

// release returns n bytes of a connection.
func (a *account) release(c *conn, n int64) {
	if n == 0 {
		return
	}
	c.charged.Add(-n)
	a.used.Add(-n)
	if a.waiting.Load() == 0 {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	close(a.freed)
	a.freed = make(chan struct{})
}

// victim returns the connection whose unfinished request holds most for longest without
// progress, or nil, and how much those hold that are being ended. The lock is held.
func (a *account) victim() (victim *conn, ending int64) {
	now := time.Now()
	highest := 0.0
	for c := range a.holders {
		switch {
		case c.evicted.Load():
			ending += c.charged.Load()
		case c.phase.Load() == running:
		default:
			if weight := c.weight(now, 0); weight > highest {
				victim, highest = c, weight
			}
		}
	}
	return victim, ending
}

// longestStalled returns the connection without a request in progress at the upstreams that
// has made no progress for longest, or nil. The lock is held.
func (a *account) longestStalled() (victim *conn) {
	now := time.Now()
	var longest time.Duration
	for c := range a.holders {
		if c.evicted.Load() || c.phase.Load() == running {
			continue
		}
		if stalled := c.stalled(now); stalled > longest {
			victim, longest = c, stalled
		}
	}
	return victim
}
