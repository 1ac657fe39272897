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
	// Repeats is how many crashes of one upstream lead to quarantine as well;
	// default 3. A model with one replica has no other upstream to crash.
	Repeats int
	// Memory is how long a crash counts; default 10 min.
	Memory time.Duration
	// First is how long the first quarantine of a request lasts; default
	// 1 min. It is short, because a neighbour that was retried beside the
	// culprit can be in two crashes as well.
	First time.Duration
	// For is how long each further one lasts; default 1 h. One more crash
	// within Forget leads to it.
	For time.Duration
	// Forget is how long a quarantine is remembered after its end; default
	// 24 h.
	Forget time.Duration
	// MaxSuspects bounds the suspects; default 4096.
	MaxSuspects int
}

// DefaultSettings returns the defaults.
func DefaultSettings() Settings {
	return Settings{
		Crashes: 2, Repeats: 3, Memory: 10 * time.Minute, First: time.Minute, For: time.Hour,
		Forget: 24 * time.Hour, MaxSuspects: 4096,
	}
}

// Crash is the death of an upstream's engine with the fingerprints of all
// requests that were running in it.
type Crash struct {
	Upstream state.UpstreamName
	Running  []uint64
	Time     time.Time
}
