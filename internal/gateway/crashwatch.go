package gateway

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/decide/quarantine"
	"github.com/lagoonvalve/lagoonvalve/internal/fleet"
	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

const (
	// crashTestInterval is the shortest time between two tests of an upstream that
	// accepts no connections.
	crashTestInterval = 2 * time.Second
	// crashReportTTL is how long a gateway repeats a crash to new controllers.
	crashReportTTL = time.Minute
	// maxCrashReports bounds the crashes that are kept for that.
	maxCrashReports = 64
	// soundReportInterval is the shortest time between two reports that a key is
	// sound.
	soundReportInterval = 500 * time.Millisecond
)

// crashWatch observes from lost connections which requests were running in
// upstreams that crashed, and holds the quarantines that the controller has decided.
// Its methods may be called from any goroutine.
type crashWatch struct {
	// until holds the ends of the quarantines. The map is not modified once stored.
	until atomic.Pointer[map[quarantine.Key]time.Time]
	// reportNow triggers a report at once.
	reportNow chan struct{}

	mu sync.Mutex
	// lost holds the runs on upstreams whose crash is not confirmed yet.
	lost    map[quarantine.CrashID][]quarantine.Run
	reports []*crashReport
	// unanswered holds the attempts whose response has not begun.
	unanswered map[*unansweredAttempt]bool
	sound      recentKeys
	// suspects holds the keys on which the controller needs reports, and when the
	// last one was sent; zero before the first one.
	suspects map[quarantine.Key]time.Time
	// term is that of the current controller, and restored the one to which the
	// quarantines have been reported.
	term, restored state.FencingToken
}

// unansweredAttempt is an attempt that ends if its request is quarantined.
type unansweredAttempt struct {
	keys   quarantine.Run
	cancel context.CancelFunc
}

// crashReport is a confirmed crash.
type crashReport struct {
	id   quarantine.CrashID
	at   time.Time
	runs []quarantine.Run
	// sentTo is the term of the controller that has received the report.
	sentTo state.FencingToken
}

func newCrashWatch() *crashWatch {
	w := &crashWatch{
		reportNow: make(chan struct{}, 1), lost: make(map[quarantine.CrashID][]quarantine.Run),
		suspects: make(map[quarantine.Key]time.Time), unanswered: make(map[*unansweredAttempt]bool),
	}
	w.until.Store(&map[quarantine.Key]time.Time{})
	return w
}

// quarantined returns how long a request with these keys remains quarantined; zero
// if it is not.
func (w *crashWatch) quarantined(keys quarantine.Run, now time.Time) time.Duration {
	until := *w.until.Load()
	if len(until) == 0 {
		return 0
	}
	remaining := until[keys.Content].Sub(now)
	for _, part := range keys.Parts {
		remaining = max(remaining, until[part].Sub(now))
	}
	return max(remaining, 0)
}

// applyQuarantine applies the quarantines and suspects of the controller. A new
// controller may not have all quarantines yet, so that one ends only when its time
// has passed or the controller has lifted it.
func (w *crashWatch) applyQuarantine(result rpc.ResidencyResult, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	next := make(map[quarantine.Key]time.Time)
	for key, until := range *w.until.Load() {
		if now.Before(until) {
			next[key] = until
		}
	}
	for _, q := range result.Quarantined {
		if q.Remaining == 0 {
			delete(next, quarantine.Key(q.Key))
		} else {
			next[quarantine.Key(q.Key)] = now.Add(q.Remaining.Std())
		}
	}
	w.setQuarantines(next, now)
	suspects := make(map[quarantine.Key]time.Time, len(result.Suspects))
	for _, key := range result.Suspects {
		suspects[quarantine.Key(key)] = w.suspects[quarantine.Key(key)]
	}
	w.suspects = suspects
	w.term = result.Term
	w.signal()
}

// setQuarantines replaces the quarantines and ends the attempts that they concern:
// the upstreams that have these requests would crash too.
func (w *crashWatch) setQuarantines(until map[quarantine.Key]time.Time, now time.Time) {
	w.until.Store(&until)
	for a := range w.unanswered {
		if w.quarantined(a.keys, now) > 0 {
			a.cancel()
		}
	}
}

// cancelOnQuarantine calls cancel if a request is quarantined before the returned
// function is called.
func (w *crashWatch) cancelOnQuarantine(keys quarantine.Run, cancel context.CancelFunc) (stop func()) {
	a := &unansweredAttempt{keys, cancel}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.unanswered[a] = true
	return sync.OnceFunc(func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		delete(w.unanswered, a)
	})
}

// load adds quarantines from the store. They have to be reported to the controller,
// which may have started without them too.
func (w *crashWatch) load(records []fleet.QuarantineRecord, now time.Time) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	next := maps.Clone(*w.until.Load())
	loaded := 0
	for _, r := range records {
		key := quarantine.Key(r.Key)
		if r.Until.After(now) && r.Until.After(next[key]) {
			next[key] = r.Until
			loaded++
		}
	}
	w.setQuarantines(next, now)
	w.restored = 0
	w.signal()
	return loaded
}

// signal triggers a report.
func (w *crashWatch) signal() {
	select {
	case w.reportNow <- struct{}{}:
	default:
	}
}

// recordLost records runs that ended with their connections, or none if no connection
// could be established. It reports whether the upstream has to be tested: it is not
// being tested, and there are runs or no recent report of its crash.
func (w *crashWatch) recordLost(id quarantine.CrashID, now time.Time, runs ...quarantine.Run) (test bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, testing := w.lost[id]
	if len(runs) == 0 && (testing || w.reportedLately(id, now)) {
		return false
	}
	w.lost[id] = append(w.lost[id], runs...)
	return !testing
}

// reportedLately reports whether a crash was confirmed within crashTestInterval.
func (w *crashWatch) reportedLately(id quarantine.CrashID, now time.Time) bool {
	return slices.ContainsFunc(w.reports, func(r *crashReport) bool {
		return r.id == id && now.Sub(r.at) < crashTestInterval
	})
}

// settle ends the observation of an upstream: its lost runs are reported if it has
// crashed, and forgotten otherwise. It returns the number of the runs.
func (w *crashWatch) settle(id quarantine.CrashID, crashed bool, at time.Time) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	runs := w.lost[id]
	delete(w.lost, id)
	if !crashed {
		return len(runs)
	}
	if len(w.reports) >= maxCrashReports {
		w.reports = w.reports[1:]
	}
	w.reports = append(w.reports, &crashReport{id: id, at: at, runs: runs})
	w.signal()
	return len(runs)
}

// recordSound records that an upstream wrote an answer to a request.
func (w *crashWatch) recordSound(run quarantine.Run, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	isSuspect := false
	for _, part := range run.Parts {
		w.sound.add(part, now)
		_, ok := w.suspects[part]
		isSuspect = isSuspect || ok
	}
	// Most requests are unlike all others, so their contents are recorded only
	// while they are suspects.
	if _, ok := w.suspects[run.Content]; ok {
		w.sound.add(run.Content, now)
		isSuspect = true
	}
	if isSuspect {
		w.signal()
	}
}

// pending returns what has to be reported to the current controller, and a function
// that records its receipt.
func (w *crashWatch) pending(now time.Time) (params rpc.CrashesParams, received func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	term := w.term
	if term == 0 {
		return params, func() {}
	}
	var unsent []*crashReport
	for _, r := range w.reports {
		if r.sentTo != term && now.Sub(r.at) < crashReportTTL {
			unsent = append(unsent, r)
			params.Crashes = append(params.Crashes, r.params(now))
		}
	}
	if w.restored != term {
		for key, until := range *w.until.Load() {
			if now.Before(until) {
				params.Quarantined = append(params.Quarantined, rpc.QuarantinedKey{Key: uint64(key), Remaining: state.Duration(until.Sub(now))})
			}
		}
	}
	params.Sound = w.soundSuspects(now)
	return params, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		for _, r := range unsent {
			r.sentTo = term
		}
		w.restored = term
		for _, s := range params.Sound {
			if _, ok := w.suspects[quarantine.Key(s.Key)]; ok {
				w.suspects[quarantine.Key(s.Key)] = now
			}
		}
	}
}

func (r *crashReport) params(now time.Time) rpc.CrashReport {
	report := rpc.CrashReport{Upstream: r.id.Upstream, Started: r.id.Started, Age: state.Duration(now.Sub(r.at))}
	for _, run := range r.runs {
		lost := rpc.LostRun{Content: uint64(run.Content)}
		for _, part := range run.Parts {
			lost.Parts = append(lost.Parts, uint64(part))
		}
		report.Runs = append(report.Runs, lost)
	}
	return report
}

// soundSuspects returns the suspects with a sound run that was not reported yet.
func (w *crashWatch) soundSuspects(now time.Time) []rpc.SoundKey {
	var list []rpc.SoundKey
	for key, reported := range w.suspects {
		at, ok := w.sound.last(key)
		if ok && at.After(reported) && now.Sub(reported) >= soundReportInterval {
			list = append(list, rpc.SoundKey{Key: uint64(key), Age: state.Duration(now.Sub(at))})
		}
	}
	return list
}
