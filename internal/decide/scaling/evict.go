package scaling

import (
	"time"

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
type Evictor struct{ cfg EvictConfig }

// NewEvictor returns an evictor that has evicted nothing.
func NewEvictor(cfg EvictConfig) *Evictor { return &Evictor{cfg: cfg} }

// Expired returns the replicas past their keep-alive.
func (e *Evictor) Expired(now time.Time, residents []Resident) []state.ReplicaKey { return nil }

// MakeRoom chooses replicas to unload so that need bytes fit beside free. It
// returns nothing and false if that cannot be done within the bounds. The
// choice counts as carried out.
func (e *Evictor) MakeRoom(now time.Time, need, free state.Bytes, residents []Resident) ([]state.ReplicaKey, bool) {
	return nil, false
}
