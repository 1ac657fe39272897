package agent

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// target is a replica, or an adapter of it if adapter is not empty.
type target struct {
	key     state.ReplicaKey
	adapter state.AdapterName
}

// closedUsage marks a target that is being unloaded.
const closedUsage = -1

// usage counts the requests queued for or running on a target. Traffic and
// control share it without a lock.
type usage struct {
	inFlight atomic.Int64
	lastUsed atomic.Int64 // Unix nanoseconds
	// ended is when the last request ended; unlike lastUsed, wakes don't
	// change it.
	ended atomic.Int64 // Unix nanoseconds
}

// usages holds the usage of each target.
type usages struct {
	all sync.Map // target to *usage
}

func (u *usages) of(t target) *usage {
	if found, ok := u.all.Load(t); ok {
		return found.(*usage)
	}
	found, _ := u.all.LoadOrStore(t, &usage{})
	return found.(*usage)
}

// acquire counts a request. It fails while the target is being unloaded. The
// gap is the time since the last request ended; zero if one is in flight or
// there was none.
func (u *usage) acquire(now time.Time) (gap time.Duration, ok bool) {
	for {
		n := u.inFlight.Load()
		if n == closedUsage {
			return 0, false
		}
		if !u.inFlight.CompareAndSwap(n, n+1) {
			continue
		}
		u.lastUsed.Store(now.UnixNano())
		if ended := u.ended.Load(); n == 0 && ended != 0 {
			gap = time.Duration(now.UnixNano() - ended)
		}
		return gap, true
	}
}

func (u *usage) release(now time.Time) {
	u.lastUsed.Store(now.UnixNano())
	u.ended.Store(now.UnixNano())
	u.inFlight.Add(-1)
}

// shut stops new requests. It fails if the target is in use.
func (u *usage) shut() bool {
	return u.inFlight.CompareAndSwap(0, closedUsage) || u.inFlight.Load() == closedUsage
}

func (u *usage) open() { u.inFlight.CompareAndSwap(closedUsage, 0) }

func (u *usage) touch(now time.Time) { u.lastUsed.Store(now.UnixNano()) }

func (u *usage) last() time.Time {
	nanos := u.lastUsed.Load()
	if nanos == 0 {
		return time.Time{}
	}
	return time.Unix(0, nanos)
}
