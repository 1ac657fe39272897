package gateway

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/ctxtime"
	"github.com/lagoonvalve/lagoonvalve/internal/decide/quarantine"
	"github.com/lagoonvalve/lagoonvalve/internal/fleet"
	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
	"github.com/lagoonvalve/lagoonvalve/internal/verdict"
)

const (
	// soundAfter is how long an upstream must have been writing an answer for its
	// request not to be the cause of a crash.
	soundAfter = 500 * time.Millisecond
	// crashSettle is how long the loss of a connection to an upstream waits for
	// others to it, so that one report has the requests of all.
	crashSettle = 60 * time.Millisecond
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

// loadQuarantines reads the quarantines from the store once.
func (g *Gateway) loadQuarantines(ctx context.Context) {
	for {
		records, err := g.opts.Quarantines.List(ctx)
		if err == nil {
			loaded := g.crashes.load(records, time.Now())
			g.opts.Logger.Info("quarantines loaded", "records", len(records), "in_force", loaded)
			return
		}
		g.opts.Logger.Warn("quarantines not loaded", "error", err)
		if !ctxtime.Sleep(ctx, maxRetryDelay) {
			return
		}
	}
}

// reportCrashes reports crashes and sound runs to the controller as they occur.
func (g *Gateway) reportCrashes(ctx context.Context) {
	ticker := time.NewTicker(soundReportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.crashes.reportNow:
		case <-ticker.C:
		}
		params, received := g.crashes.pending(time.Now())
		if len(params.Crashes) == 0 && len(params.Sound) == 0 && len(params.Quarantined) == 0 {
			continue
		}
		params.Gateway = g.opts.Name
		if err := g.sendCrashes(ctx, params); err != nil {
			// The next tick repeats the report.
			g.opts.Logger.Warn("crashes not reported", "crashes", len(params.Crashes), "error", err)
			continue
		}
		received()
		ctxtime.Sleep(ctx, minDemandInterval)
	}
}

func (g *Gateway) sendCrashes(ctx context.Context, params rpc.CrashesParams) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := callLeader(ctx, g, g.opts.Controller.Leader(), rpc.MethodCrashes, params, g.opts.Controller.ReportCrashes)
	return err
}

// crashKeys returns the keys under which crashes are attributed to the request. The
// last part of a prompt is specific to the request and is no key.
func (x *exchange) crashKeys() quarantine.Run {
	run := quarantine.Run{Content: quarantine.Key(quarantine.Fingerprint("", x.r.Method, x.r.Host+x.r.RequestURI, x.body))}
	for _, id := range x.prompt.ids[:max(len(x.prompt.ids)-1, 0)] {
		run.Parts = append(run.Parts, quarantine.Key(id))
	}
	return run
}

// recordEvent records that an event of a stream was written to the caller.
func (x *exchange) recordEvent(now time.Time) {
	if x.firstWrite.IsZero() {
		x.firstWrite = now
		x.stopWatch()
	}
	if now.Sub(x.firstWrite) >= soundAfter {
		x.markSound(now)
	}
}

// recordSoundRun records that an upstream has answered the request.
func (x *exchange) recordSoundRun() {
	if x.status < http.StatusMultipleChoices {
		x.markSound(time.Now())
	}
}

func (x *exchange) markSound(now time.Time) {
	if !x.sound {
		x.sound = true
		x.gateway.crashes.recordSound(x.keys, now)
	}
}

// recordLostRun records that the connection of the attempt was lost while the
// upstream ran the request. The upstream may have crashed, unless it had been writing
// the answer for some time or the attempt ended on this side.
func (x *exchange) recordLostRun(ctx context.Context, m *member, v *verdict.Verdict) {
	lost := v.Reason == verdict.ReasonUpstreamFailed || v.Reason == verdict.ReasonStreamCut
	if !lost || ctx.Err() != nil || x.sound {
		return
	}
	x.gateway.testForCrash(m, x.keys)
}

// recordNoConnection records that no connection to an upstream could be established.
func (x *exchange) recordNoConnection(ctx context.Context, m *member) {
	if ctx.Err() == nil {
		x.gateway.testForCrash(m)
	}
}

// testForCrash finds out whether an upstream has crashed, with the runs that it had.
func (g *Gateway) testForCrash(m *member, lost ...quarantine.Run) {
	now := time.Now()
	id := quarantine.CrashID{Upstream: m.upstream.Name, Started: m.upstream.Started.UnixMilli()}
	if g.crashes.recordLost(id, now, lost...) {
		go g.confirmCrash(m, id, now)
	}
}

// confirmCrash finds out whether an upstream with lost connections has crashed:
// nothing listens at its address, though it was not about to leave.
func (g *Gateway) confirmCrash(m *member, id quarantine.CrashID, at time.Time) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	ctxtime.Sleep(ctx, crashSettle)
	listed, ok := g.view.Load().byName[id.Upstream]
	expected := ok && listed.upstream.Started.Equal(m.upstream.Started)
	crashed := expected && g.forward.Refuses(ctx, m.upstream)
	runs := g.crashes.settle(id, crashed, at)
	if crashed {
		g.opts.Logger.Warn("upstream crashed", "upstream", id.Upstream, "address", m.upstream.Address, "lost", runs)
	}
}

// maxRecentKeys bounds each of the two generations of recentKeys.
const maxRecentKeys = 4096

// recentKeys holds the times of the last sound runs of keys. When it is full, the
// keys that were not used since it was last full are dropped.
type recentKeys struct {
	current, previous map[quarantine.Key]time.Time
}

func (r *recentKeys) add(key quarantine.Key, now time.Time) {
	if r.current == nil || len(r.current) >= maxRecentKeys {
		r.previous, r.current = r.current, make(map[quarantine.Key]time.Time)
	}
	r.current[key] = now
}

func (r *recentKeys) last(key quarantine.Key) (time.Time, bool) {
	if at, ok := r.current[key]; ok {
		return at, true
	}
	at, ok := r.previous[key]
	return at, ok
}
