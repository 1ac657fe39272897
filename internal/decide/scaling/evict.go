package scaling

import (
	"cmp"
	"slices"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/defaults"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// EvictConfig holds the settings of eviction. Zero values mean the defaults.
type EvictConfig struct {
	// MaxPerWindow bounds the replicas evicted from an upstream before the end
	// of their keep-alive, per Window; default 2.
	MaxPerWindow int
	// Window is the period to which MaxPerWindow applies; default 30 s.
	Window time.Duration
	// MinResident is the least time from the end of a replica's load to its
	// eviction; default 10 s.
	MinResident time.Duration
}

// Resident is a loaded replica on an upstream.
type Resident struct {
	Key  state.ReplicaKey
	Size state.Bytes
	// Busy is set if requests run or wait there, or it must not be
	// evicted for another reason.
	Busy     bool
	Loaded   time.Time
	LastUsed time.Time
	// KeepAlive is how long it stays loaded after LastUsed.
	KeepAlive time.Duration
	// Load is the estimated time to load it again.
	Load time.Duration
}

// Evictor chooses the replicas to unload from one upstream. It is not safe for
// concurrent use.
type Evictor struct {
	cfg EvictConfig
	// earlyEvictions holds the times of the evictions before the end of a
	// keep-alive that still count towards MaxPerWindow.
	earlyEvictions []time.Time
}

// NewEvictor returns an evictor that has evicted nothing.
func NewEvictor(cfg EvictConfig) *Evictor {
	defaults.Set(&cfg.MaxPerWindow, 2)
	defaults.Set(&cfg.Window, 30*time.Second)
	defaults.Set(&cfg.MinResident, 10*time.Second)
	return &Evictor{cfg: cfg}
}

func (r *Resident) expired(now time.Time) bool {
	return !r.Busy && !now.Before(r.LastUsed.Add(r.KeepAlive))
}

// Expired returns the replicas past their keep-alive.
func (e *Evictor) Expired(now time.Time, residents []Resident) []state.ReplicaKey {
	var keys []state.ReplicaKey
	for i := range residents {
		if residents[i].expired(now) {
			keys = append(keys, residents[i].Key)
		}
	}
	return keys
}

// MakeRoom chooses replicas to unload so that at least need bytes are free,
// given that free bytes are now. It returns nothing and false if the limits of
// EvictConfig do not allow that. Otherwise it records the chosen replicas as
// evicted.
func (e *Evictor) MakeRoom(now time.Time, need, free state.Bytes, residents []Resident) ([]state.ReplicaKey, bool) {
	e.earlyEvictions = slices.DeleteFunc(e.earlyEvictions, func(at time.Time) bool { return now.Sub(at) >= e.cfg.Window })
	allowed := e.cfg.MaxPerWindow - len(e.earlyEvictions)
	var chosen []Resident
	for _, r := range e.evictable(now, residents) {
		if free >= need {
			break
		}
		if !r.expired(now) {
			if allowed == 0 {
				break
			}
			allowed--
		}
		chosen = append(chosen, r)
		free += r.Size
	}
	if free < need {
		return nil, false
	}
	return e.recordEvictions(now, dropUnneeded(chosen, free-need)), true
}

// evictable lists the replicas that may be evicted: those past their keep-alive
// first, each group by increasing eviction cost.
func (e *Evictor) evictable(now time.Time, residents []Resident) []Resident {
	var idle []Resident
	for _, r := range residents {
		if !r.Busy && now.Sub(r.Loaded) >= e.cfg.MinResident {
			idle = append(idle, r)
		}
	}
	slices.SortStableFunc(idle, func(a, b Resident) int {
		if a.expired(now) != b.expired(now) {
			if a.expired(now) {
				return -1
			}
			return 1
		}
		return cmp.Compare(evictionCost(now, a), evictionCost(now, b))
	})
	return idle
}

// evictionCost is the time to load a replica again divided by the time since
// its last use; one second is added to each.
func evictionCost(now time.Time, r Resident) float64 {
	return (r.Load.Seconds() + 1) / (now.Sub(r.LastUsed).Seconds() + 1)
}

// dropUnneeded removes replicas from the choice, the most expensive to evict
// first, as long as the rest frees enough memory.
func dropUnneeded(chosen []Resident, surplus state.Bytes) []Resident {
	for i := len(chosen) - 1; i >= 0; i-- {
		if chosen[i].Size <= surplus {
			surplus -= chosen[i].Size
			chosen = slices.Delete(chosen, i, i+1)
		}
	}
	return chosen
}

func (e *Evictor) recordEvictions(now time.Time, chosen []Resident) []state.ReplicaKey {
	var keys []state.ReplicaKey
	for i := range chosen {
		if !chosen[i].expired(now) {
			e.earlyEvictions = append(e.earlyEvictions, now)
		}
		keys = append(keys, chosen[i].Key)
	}
	return keys
}
