// Package quarantine finds requests that crash the upstreams that run them.
package quarantine

import (
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// Settings holds the bounds of the attribution.
type Settings struct {
	// Crashes on different upstreams lead to quarantine; default 2.
	Crashes int
	// Memory is how long a crash counts; default 10 min.
	Memory time.Duration
	// For is how long a quarantine lasts; default 1 h.
	For time.Duration
	// MaxSuspects bounds the suspects; default 4096.
	MaxSuspects int
}

// DefaultSettings returns the defaults.
func DefaultSettings() Settings {
	return Settings{Crashes: 2, Memory: 10 * time.Minute, For: time.Hour, MaxSuspects: 4096}
}

// Crash is the death of an upstream's engine with the fingerprints of all
// requests that were running in it.
type Crash struct {
	Upstream state.UpstreamName
	Running  []uint64
	Time     time.Time
}
