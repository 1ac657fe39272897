// Package quarantine identifies requests that crash the upstreams that run them.
package quarantine

import (
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// Settings holds the thresholds and limits of crash attribution.
type Settings struct {
	// CrashedUpstreams is how many different upstreams must have crashed while
	// they ran a request to quarantine it; default 2.
	CrashedUpstreams int
	// SameUpstreamCrashes is how many crashes of one upstream also lead to
	// quarantine; default 3. A model with one replica has no other upstream to
	// crash.
	SameUpstreamCrashes int
	// CrashWindow is how long a crash of an upstream counts; default 10 min.
	CrashWindow time.Duration
	// FirstDuration is how long the first quarantine of a request lasts; default
	// 1 min. It is short because a harmless request that was retried on the same
	// upstream as the harmful one can be running in two crashes as well.
	FirstDuration time.Duration
	// RepeatDuration is how long each further quarantine lasts; default 1 h. A
	// single crash leads to it while the previous quarantine is remembered; see
	// RememberFor.
	RepeatDuration time.Duration
	// RememberFor is how long a quarantine is remembered after its end; default
	// 24 h.
	RememberFor time.Duration
	// MaxSuspects bounds the suspects and, separately, the remembered
	// quarantines; default 4096.
	MaxSuspects int
}

// DefaultSettings returns the defaults.
func DefaultSettings() Settings {
	return Settings{
		CrashedUpstreams: 2, SameUpstreamCrashes: 3, CrashWindow: 10 * time.Minute, FirstDuration: time.Minute, RepeatDuration: time.Hour,
		RememberFor: 24 * time.Hour, MaxSuspects: 4096,
	}
}

// Crash is a crash of an upstream's engine, with the fingerprints of all
// requests that were running in it.
type Crash struct {
	Upstream state.UpstreamName
	Running  []uint64
	Time     time.Time
}
