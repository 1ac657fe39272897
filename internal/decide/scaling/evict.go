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
	// MaxPerWindow bounds the replicas that bursts may evict from an
	// upstream before their keep-alive has ended, per Window; default 2.
	MaxPerWindow int
	// Window is the time over which MaxPerWindow counts; default 30 s.
	Window time.Duration
	// MinResident is how long a replica stays after its load at least;
	// default 10 s.
	MinResident time.Duration
}

// Resident is a loaded replica on an upstream.
type Resident struct {
	Key  state.ReplicaKey
	Size state.Bytes
	// Busy says that requests run or wait there, or that it may not go.
	Busy     bool
	Loaded   time.Time
	LastUsed time.Time
	// KeepAlive is how long it stays after LastUsed.
	KeepAlive time.Duration
	// Load is the time that loading it again would take.
	Load time.Duration
}

// Evictor chooses what to unload on one upstream. It is not safe for
// concurrent use.
type Evictor struct {
	cfg EvictConfig
	// early holds the times of evictions before the end of a keep-alive.
	early []time.Time
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

// MakeRoom chooses replicas to unload so that need bytes fit beside free. It
// returns nothing and false if that cannot be done within the bounds. The
// choice counts as carried out.
func (e *Evictor) MakeRoom(now time.Time, need, free state.Bytes, residents []Resident) ([]state.ReplicaKey, bool) {
	e.early = slices.DeleteFunc(e.early, func(at time.Time) bool { return now.Sub(at) >= e.cfg.Window })
	allowed := e.cfg.MaxPerWindow - len(e.early)
	var chosen []Resident
	for _, r := range e.order(now, residents) {
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
	return e.carryOut(now, spare(chosen, free-need)), true
}

// order lists the replicas that may go: those past their keep-alive first,
// then by what is lost per second of remaining keep-alive.
func (e *Evictor) order(now time.Time, residents []Resident) []Resident {
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
		return cmp.Compare(loss(now, a), loss(now, b))
	})
	return idle
}

// loss weighs the time to load a replica again by how recently it was used.
func loss(now time.Time, r Resident) float64 {
	return (r.Load.Seconds() + 1) / (now.Sub(r.LastUsed).Seconds() + 1)
}

// spare takes replicas back out of the choice, the most valuable first, while
// the room without them suffices.
func spare(chosen []Resident, surplus state.Bytes) []Resident {
	for i := len(chosen) - 1; i >= 0; i-- {
		if chosen[i].Size <= surplus {
			surplus -= chosen[i].Size
			chosen = slices.Delete(chosen, i, i+1)
		}
	}
	return chosen
}

func (e *Evictor) carryOut(now time.Time, chosen []Resident) []state.ReplicaKey {
	var keys []state.ReplicaKey
	for i := range chosen {
		if !chosen[i].expired(now) {
			e.early = append(e.early, now)
		}
		keys = append(keys, chosen[i].Key)
	}
	return keys
}
