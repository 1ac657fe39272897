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
	// repeats counts the crashes of the upstream that crashed last.
	repeats int
	at      state.UpstreamName
	last    time.Time
}

// Tracker attributes crashes to requests. Every request that was running in a
// crashed upstream becomes a suspect. Suspicion grows with crashes of
// different upstreams, and more slowly with repeated crashes of one, because a
// faulty upstream dies without its requests' fault. A suspect that runs to its end, or that is in no
// further crash for a while, is cleared.
type Tracker struct {
	settings Settings
	suspects map[uint64]*suspect
	// ended holds the end of the last quarantine of each request.
	ended map[uint64]time.Time
}

// NewTracker returns a tracker that suspects nothing.
func NewTracker(settings Settings) *Tracker {
	return &Tracker{settings: settings, suspects: map[uint64]*suspect{}, ended: map[uint64]time.Time{}}
}

// RecordCrash notes a crash and returns the fingerprints to quarantine, in order.
func (t *Tracker) RecordCrash(c Crash) []state.Quarantine {
	t.Expire(c.Time)
	var guilty []state.Quarantine
	running := slices.Clone(c.Running)
	slices.Sort(running)
	for _, fingerprint := range slices.Compact(running) {
		s := t.suspect(fingerprint)
		s.crashes[c.Upstream] = c.Time
		if s.at != c.Upstream {
			s.at, s.repeats = c.Upstream, 0
		}
		s.repeats++
		s.last = c.Time
		_, repeated := t.ended[fingerprint]
		suspected := len(s.crashes) >= t.settings.Crashes || s.repeats >= t.settings.Repeats
		if !suspected && !repeated {
			continue
		}
		delete(t.suspects, fingerprint)
		lasts := t.settings.First
		if repeated {
			lasts = t.settings.For
		}
		t.remember(fingerprint, c.Time.Add(lasts))
		guilty = append(guilty, state.Quarantine{Fingerprint: fingerprint, Until: c.Time.Add(lasts), Actor: Actor})
	}
	return guilty
}

// remember notes a quarantine. At the bound the one that ended first makes
// room.
func (t *Tracker) remember(fingerprint uint64, until time.Time) {
	if _, known := t.ended[fingerprint]; !known && len(t.ended) >= t.settings.MaxSuspects {
		var first uint64
		var at time.Time
		for f, end := range t.ended {
			if at.IsZero() || end.Before(at) || end.Equal(at) && f < first {
				first, at = f, end
			}
		}
		delete(t.ended, first)
	}
	t.ended[fingerprint] = until
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

// RecordCompletion clears a request that ran to its end, also of its earlier
// quarantine.
func (t *Tracker) RecordCompletion(fingerprint uint64) {
	delete(t.suspects, fingerprint)
	delete(t.ended, fingerprint)
}

// Suspects returns the number of suspects.
func (t *Tracker) Suspects() int { return len(t.suspects) }

// Expire forgets crashes and quarantines that no longer count.
func (t *Tracker) Expire(now time.Time) {
	for fingerprint, end := range t.ended {
		if now.Sub(end) >= t.settings.Forget {
			delete(t.ended, fingerprint)
		}
	}
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
