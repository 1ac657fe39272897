package quarantine

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// Actor is the actor of the quarantines that a tracker requests.
const Actor = "crash-attribution"

// Fingerprint returns a hash of a request's caller, method, path and body, by
// which repeated submissions of the request are recognised.
func Fingerprint(caller state.CallerName, method, path string, body []byte) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, part := range []string{string(caller), method, path} {
		_, _ = d.WriteString(part) // Writes to a digest never fail.
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(body)
	return d.Sum64()
}

// suspect is a request that was running in crashed upstreams.
type suspect struct {
	// crashes holds the last crash of each upstream.
	crashes map[state.UpstreamName]time.Time
	// sameUpstreamCrashes counts the consecutive crashes of lastUpstream, the
	// upstream that crashed last.
	sameUpstreamCrashes int
	lastUpstream        state.UpstreamName
	lastCrash           time.Time
}

// Tracker attributes crashes to requests. Every request that was running in a
// crashed upstream becomes a suspect. A suspect is quarantined after crashes of
// several different upstreams, or after more crashes of a single one: a faulty
// upstream may crash whatever requests it runs. A suspect that completes, or that
// is in no further crash within CrashWindow, is cleared.
type Tracker struct {
	settings Settings
	suspects map[uint64]*suspect
	// quarantineEnds holds the end of the last quarantine of each request that
	// is remembered.
	quarantineEnds map[uint64]time.Time
}

// NewTracker returns a tracker without suspects.
func NewTracker(settings Settings) *Tracker {
	return &Tracker{settings: settings, suspects: map[uint64]*suspect{}, quarantineEnds: map[uint64]time.Time{}}
}

// RecordCrash records a crash and returns the quarantines to apply, in order of
// fingerprint.
func (t *Tracker) RecordCrash(c Crash) []state.Quarantine {
	t.Expire(c.Time)
	var quarantines []state.Quarantine
	running := slices.Clone(c.Running)
	slices.Sort(running)
	for _, fingerprint := range slices.Compact(running) {
		s := t.suspect(fingerprint)
		s.crashes[c.Upstream] = c.Time
		if s.lastUpstream != c.Upstream {
			s.lastUpstream, s.sameUpstreamCrashes = c.Upstream, 0
		}
		s.sameUpstreamCrashes++
		s.lastCrash = c.Time
		_, remembered := t.quarantineEnds[fingerprint]
		suspected := len(s.crashes) >= t.settings.CrashedUpstreams || s.sameUpstreamCrashes >= t.settings.SameUpstreamCrashes
		if !suspected && !remembered {
			continue
		}
		delete(t.suspects, fingerprint)
		duration := t.settings.FirstDuration
		if remembered {
			duration = t.settings.RepeatDuration
		}
		t.remember(fingerprint, c.Time.Add(duration))
		quarantines = append(quarantines, state.Quarantine{Fingerprint: fingerprint, Until: c.Time.Add(duration), Actor: Actor})
	}
	return quarantines
}

// remember records the end of a quarantine. At the limit it drops the one with
// the earliest end.
func (t *Tracker) remember(fingerprint uint64, until time.Time) {
	if _, known := t.quarantineEnds[fingerprint]; !known && len(t.quarantineEnds) >= t.settings.MaxSuspects {
		var earliest uint64
		var earliestEnd time.Time
		for f, end := range t.quarantineEnds {
			if earliestEnd.IsZero() || end.Before(earliestEnd) || end.Equal(earliestEnd) && f < earliest {
				earliest, earliestEnd = f, end
			}
		}
		delete(t.quarantineEnds, earliest)
	}
	t.quarantineEnds[fingerprint] = until
}

func (t *Tracker) suspect(fingerprint uint64) *suspect {
	if s, ok := t.suspects[fingerprint]; ok {
		return s
	}
	if len(t.suspects) >= t.settings.MaxSuspects {
		t.dropOldestSuspect()
	}
	s := &suspect{crashes: map[state.UpstreamName]time.Time{}}
	t.suspects[fingerprint] = s
	return s
}

// dropOldestSuspect drops the suspect whose last crash is the oldest. Of several,
// it drops the one with the lowest fingerprint, so that the result depends only
// on the crashes recorded.
func (t *Tracker) dropOldestSuspect() {
	var oldest uint64
	var oldestCrash time.Time
	for fingerprint, s := range t.suspects {
		if oldestCrash.IsZero() || s.lastCrash.Before(oldestCrash) || s.lastCrash.Equal(oldestCrash) && fingerprint < oldest {
			oldest, oldestCrash = fingerprint, s.lastCrash
		}
	}
	delete(t.suspects, oldest)
}

// RecordCompletion clears a request that has completed, and forgets its earlier
// quarantine.
func (t *Tracker) RecordCompletion(fingerprint uint64) {
	delete(t.suspects, fingerprint)
	delete(t.quarantineEnds, fingerprint)
}

// Suspects returns the number of suspects.
func (t *Tracker) Suspects() int { return len(t.suspects) }

// Expire drops crashes older than CrashWindow and quarantines that ended more than
// RememberFor ago.
func (t *Tracker) Expire(now time.Time) {
	for fingerprint, end := range t.quarantineEnds {
		if now.Sub(end) >= t.settings.RememberFor {
			delete(t.quarantineEnds, fingerprint)
		}
	}
	for fingerprint, s := range t.suspects {
		for upstream, at := range s.crashes {
			if now.Sub(at) >= t.settings.CrashWindow {
				delete(s.crashes, upstream)
			}
		}
		if len(s.crashes) == 0 {
			delete(t.suspects, fingerprint)
		}
	}
}
