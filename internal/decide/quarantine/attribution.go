package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// Key identifies what several requests may have in common and what may crash
// upstreams: a part of a prompt, or the content of a whole request.
type Key uint64

// Run is a request that was running in an upstream.
type Run struct {
	// Parts are the keys of the parts of its prompt that other requests may share,
	// in their order.
	Parts []Key
	// Content is the key of the content of the whole request.
	Content Key
}

// CrashID identifies a crash: an upstream and the start that the crash ended.
type CrashID struct {
	Upstream state.UpstreamName
	// Started is the upstream's start time in Unix milliseconds.
	Started int64
}

// AttributionSettings holds the thresholds and limits of an Attribution.
type AttributionSettings struct {
	// Crashes is how many crashes without a sound run lead to quarantine; default
	// 3. After an earlier quarantine, one is enough.
	Crashes int
	// SameMoment is the time within which crashes count as one, since a failure
	// of a rack or of the network has many; default 100 ms.
	SameMoment time.Duration
	// MinSpan is the shortest time from the report of the first of the crashes to
	// the quarantine, within which reports of sound runs arrive; default 1 s.
	MinSpan time.Duration
	// ReportDelay is how long a crash waits for the reports of all gateways; default
	// 300 ms.
	ReportDelay time.Duration
	// CrashWindow is how long a crash counts; default 10 min.
	CrashWindow time.Duration
	// FirstDuration is how long the first quarantine of a key lasts; default 5
	// min. RepeatDuration is how long each further one lasts; default 1 h.
	FirstDuration, RepeatDuration time.Duration
	// RememberFor is how long a quarantine is remembered after its end; default
	// 24 h.
	RememberFor time.Duration
	// MaxCrashes bounds the crashes, and MaxKeys the keys of each crash; default
	// 64 and 512.
	MaxCrashes, MaxKeys int
	// MaxQuarantines bounds the quarantines, including those that are only
	// remembered; default 1024.
	MaxQuarantines int
}

// DefaultAttributionSettings returns the defaults.
func DefaultAttributionSettings() AttributionSettings {
	return AttributionSettings{
		Crashes: 3, SameMoment: 100 * time.Millisecond, MinSpan: time.Second, ReportDelay: 300 * time.Millisecond, CrashWindow: 10 * time.Minute,
		FirstDuration: 5 * time.Minute, RepeatDuration: time.Hour, RememberFor: 24 * time.Hour,
		MaxCrashes: 64, MaxKeys: 512, MaxQuarantines: 1024,
	}
}

// Attribution attributes the crashes of all upstreams to the keys of the requests
// that were running in them. A key that crashes upstreams has been in flight in each
// of several crashes and has no sound run, in which an upstream wrote an answer. A
// key with earlier sound runs is a suspect only for crashes that no other key
// explains. Of several parts of prompts, the last one in the order of the prompts
// explains the crashes for the others: more requests share the parts before.
//
// It is filled from reports of all gateways, which may arrive late or repeatedly.
type Attribution struct {
	settings AttributionSettings
	crashes  map[CrashID]*crash
	// lastSound holds the time of the last sound run, for keys in crashes.
	lastSound map[Key]time.Time
	// until holds the ends of quarantines, including those that have ended and are
	// remembered.
	until map[Key]time.Time
	// lifted holds the keys whose quarantine a sound run has ended, and when.
	lifted map[Key]time.Time
}

// crash is one crash and the keys of the requests that were running in it.
type crash struct {
	// at is the time of the crash, and reportedAt that of the first report, which a
	// new controller receives long after the crash.
	at, reportedAt time.Time
	// keys holds for each key its depth: the position of a part in its prompt,
	// from 1, or contentDepth.
	keys map[Key]int
}

// contentDepth is the depth of keys of whole requests.
const contentDepth = 0

func (c *crash) has(key Key) bool {
	_, ok := c.keys[key]
	return ok
}

func (c *crash) add(key Key, depth, limit int) {
	if len(c.keys) < limit || c.has(key) {
		c.keys[key] = max(c.keys[key], depth)
	}
}

// NewAttribution returns an attribution without crashes.
func NewAttribution(settings AttributionSettings) *Attribution {
	return &Attribution{
		settings: settings, crashes: make(map[CrashID]*crash), lastSound: make(map[Key]time.Time),
		until: make(map[Key]time.Time), lifted: make(map[Key]time.Time),
	}
}

// RecordCrash records requests that were running when an upstream crashed; now is the
// time of the report. Several reports of one crash are merged.
func (a *Attribution) RecordCrash(id CrashID, at, now time.Time, runs []Run) {
	c, ok := a.crashes[id]
	if !ok {
		if len(a.crashes) >= a.settings.MaxCrashes {
			a.dropOldestCrash()
		}
		c = &crash{at: at, reportedAt: now, keys: make(map[Key]int)}
		a.crashes[id] = c
	}
	for _, run := range runs {
		c.add(run.Content, contentDepth, a.settings.MaxKeys)
		for i, part := range run.Parts {
			c.add(part, i+1, a.settings.MaxKeys)
		}
	}
}

// dropOldestCrash drops the oldest crash. Of several, it drops the one with the
// lowest identifier, so that the result depends only on the crashes recorded.
func (a *Attribution) dropOldestCrash() {
	var oldest CrashID
	var found *crash
	for id, c := range a.crashes {
		if found == nil || compareCrashes(id, c, oldest, found) < 0 {
			oldest, found = id, c
		}
	}
	delete(a.crashes, oldest)
}

func compareCrashes(idA CrashID, a *crash, idB CrashID, b *crash) int {
	return cmp.Or(a.at.Compare(b.at), cmp.Compare(idA.Upstream, idB.Upstream), cmp.Compare(idA.Started, idB.Started))
}

// RecordSound records that an upstream wrote an answer to a request with a key. A
// quarantine of the key ends. It reports whether there was one.
func (a *Attribution) RecordSound(key Key, at time.Time) (ended bool) {
	if at.After(a.lastSound[key]) {
		a.lastSound[key] = at
	}
	until, ok := a.until[key]
	if !ok || !at.Before(until) {
		return false
	}
	delete(a.until, key)
	a.lifted[key] = at
	return true
}

// Restore records a quarantine that an earlier controller has decided.
func (a *Attribution) Restore(key Key, until time.Time) {
	if _, ok := a.lifted[key]; !ok && until.After(a.until[key]) {
		a.setQuarantine(key, until)
	}
}

// setQuarantine sets the end of a quarantine. At the limit it drops the one with
// the earliest end.
func (a *Attribution) setQuarantine(key Key, until time.Time) {
	if _, known := a.until[key]; !known && len(a.until) >= a.settings.MaxQuarantines {
		earliest := slices.MinFunc(sortedKeys(a.until), func(x, y Key) int { return a.until[x].Compare(a.until[y]) })
		delete(a.until, earliest)
	}
	delete(a.lifted, key)
	a.until[key] = until
}

// Suspects returns the keys that were in a crash after their last sound run and
// are not quarantined, at most limit: those in the most crashes first.
func (a *Attribution) Suspects(now time.Time, limit int) []Key {
	counts := make(map[Key]int)
	for _, c := range a.crashes {
		for key := range c.keys {
			if c.at.After(a.lastSound[key]) && !now.Before(a.until[key]) {
				counts[key]++
			}
		}
	}
	keys := sortedKeys(counts)
	slices.SortStableFunc(keys, func(x, y Key) int { return cmp.Compare(counts[y], counts[x]) })
	return keys[:min(len(keys), limit)]
}

// Quarantined returns the ends of the quarantines in force. Keys whose quarantine a
// sound run has ended have the zero time.
func (a *Attribution) Quarantined(now time.Time) map[Key]time.Time {
	current := make(map[Key]time.Time)
	for key, until := range a.until {
		if now.Before(until) {
			current[key] = until
		}
	}
	for key := range a.lifted {
		current[key] = time.Time{}
	}
	return current
}

// expire drops crashes, sound runs and lifted quarantines older than CrashWindow, and
// quarantines that are no longer remembered.
func (a *Attribution) expire(now time.Time) {
	for id, c := range a.crashes {
		if now.Sub(c.at) >= a.settings.CrashWindow {
			delete(a.crashes, id)
		}
	}
	for key, at := range a.lastSound {
		if now.Sub(at) >= a.settings.CrashWindow {
			delete(a.lastSound, key)
		}
	}
	for key, at := range a.lifted {
		if now.Sub(at) >= a.settings.CrashWindow {
			delete(a.lifted, key)
		}
	}
	for key, until := range a.until {
		if now.Sub(until) >= a.settings.RememberFor {
			delete(a.until, key)
		}
	}
}

func sortedKeys[V any](m map[Key]V) []Key {
	keys := make([]Key, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
