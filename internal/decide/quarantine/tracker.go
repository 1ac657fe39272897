package quarantine

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// Actor is the actor of the quarantines that a tracker asks for.
const Actor = "crash-attribution"

// Fingerprint hashes what makes two requests the same: caller, method, path
// and body.
func Fingerprint(caller state.CallerName, method, path string, body []byte) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, part := range []string{string(caller), method, path} {
		_, _ = d.WriteString(part) // A digest never fails.
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(body)
	return d.Sum64()
}

// suspect is a request that was running in crashed upstreams.
type suspect struct {
	// crashes holds the last crash of each upstream.
	crashes map[state.UpstreamName]time.Time
	last    time.Time
}

// Tracker attributes crashes to requests. Every request that was running in a
// crashed upstream becomes a suspect. Suspicion grows with crashes of
// different upstreams only, so a faulty upstream that dies repeatedly
// condemns no request. A suspect that runs to its end, or that is in no
// further crash for a while, is cleared.
type Tracker struct {
	settings Settings
	suspects map[uint64]*suspect
}

// NewTracker returns a tracker that suspects nothing.
func NewTracker(settings Settings) *Tracker {
	return &Tracker{settings: settings, suspects: map[uint64]*suspect{}}
}

// Crashed notes a crash and returns the fingerprints to quarantine, in order.
func (t *Tracker) Crashed(c Crash) []state.Quarantine {
	t.Tick(c.Time)
	var guilty []state.Quarantine
	running := slices.Clone(c.Running)
	slices.Sort(running)
	for _, fingerprint := range slices.Compact(running) {
		s := t.suspect(fingerprint)
		s.crashes[c.Upstream] = c.Time
		s.last = c.Time
		if len(s.crashes) < t.settings.Crashes {
			continue
		}
		delete(t.suspects, fingerprint)
		guilty = append(guilty, state.Quarantine{
			Fingerprint: fingerprint, Until: c.Time.Add(t.settings.For), Actor: Actor,
		})
	}
	return guilty
}

func (t *Tracker) suspect(fingerprint uint64) *suspect {
	if s, ok := t.suspects[fingerprint]; ok {
		return s
	}
	if len(t.suspects) >= t.settings.MaxSuspects {
		t.dropOldest()
	}
	s := &suspect{crashes: map[state.UpstreamName]time.Time{}}
	t.suspects[fingerprint] = s
	return s
}

// dropOldest makes room. Ties go to the lower fingerprint, so that equal
// histories give equal results.
func (t *Tracker) dropOldest() {
	var oldest uint64
	var at time.Time
	for fingerprint, s := range t.suspects {
		if at.IsZero() || s.last.Before(at) || s.last.Equal(at) && fingerprint < oldest {
			oldest, at = fingerprint, s.last
		}
	}
	delete(t.suspects, oldest)
}

// Completed clears a request that ran to its end.
func (t *Tracker) Completed(fingerprint uint64) { delete(t.suspects, fingerprint) }

// Suspects returns the number of suspects.
func (t *Tracker) Suspects() int { return len(t.suspects) }

// Tick forgets crashes that no longer count.
func (t *Tracker) Tick(now time.Time) {
	for fingerprint, s := range t.suspects {
		for upstream, at := range s.crashes {
			if now.Sub(at) >= t.settings.Memory {
				delete(s.crashes, upstream)
			}
		}
		if len(s.crashes) == 0 {
			delete(t.suspects, fingerprint)
		}
	}
}
