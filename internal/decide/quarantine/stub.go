package quarantine

import (
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// Fingerprint hashes what makes two requests the same: caller, method, path
// and body.
func Fingerprint(caller state.CallerName, method, path string, body []byte) uint64 { panic(path) }

// Tracker attributes crashes to requests.
type Tracker struct{}

// NewTracker returns a tracker that suspects nothing.
func NewTracker(settings Settings) *Tracker { panic(settings) }

// Crashed notes a crash and returns the fingerprints to quarantine.
func (t *Tracker) Crashed(c Crash) []state.Quarantine { panic(c) }

// Completed clears a request that ran to its end.
func (t *Tracker) Completed(fingerprint uint64) { panic(fingerprint) }

// Tick forgets crashes that no longer count.
func (t *Tracker) Tick(now time.Time) { panic(now) }
