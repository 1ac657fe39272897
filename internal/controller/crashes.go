package controller

import (
	"context"
	"strconv"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/decide/quarantine"
	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

const (
	// decideInterval is the time between decisions while there are crashes.
	decideInterval = 100 * time.Millisecond
	// maxSuspects bounds the suspects that are published.
	maxSuspects = 256
)

// crashTable attributes the crashes that the gateways report. It belongs to the
// goroutine of Run. A new controller starts with an empty one: the gateways then
// repeat their reports and the quarantines.
type crashTable struct {
	attribution *quarantine.Attribution
	// changed is set if a report has arrived since the last publication.
	changed      bool
	nextDecision time.Time
	published    *publishedQuarantine
	// stored holds what this controller has written.
	stored       map[quarantine.Key]storedQuarantine
	writePending bool
	nextWrite    time.Time
}

// publishedQuarantine is what gateways receive of a crashTable. It is immutable.
type publishedQuarantine struct {
	revision uint64
	// until holds the ends of the quarantines; zero for one that was lifted.
	until    map[quarantine.Key]time.Time
	suspects []uint64
}

func newCrashTable() crashTable {
	return crashTable{
		attribution: quarantine.NewAttribution(quarantine.DefaultAttributionSettings()),
		published:   &publishedQuarantine{},
		stored:      make(map[quarantine.Key]storedQuarantine),
	}
}

// ReportCrashes records the crashes of upstreams that a gateway reports.
func (c *Controller) ReportCrashes(_ context.Context, params rpc.CrashesParams) (rpc.CrashesResult, error) {
	if c.publisher.snapshot() == nil {
		return rpc.CrashesResult{}, errNotController()
	}
	c.post(func(c *Controller, now time.Time) { c.recordCrashes(params, now) })
	return rpc.CrashesResult{}, nil
}

func (c *Controller) recordCrashes(params rpc.CrashesParams, now time.Time) {
	t := &c.crashes
	t.changed = true
	for _, q := range params.Quarantined {
		t.attribution.Restore(quarantine.Key(q.Key), now.Add(q.Remaining.Std()))
	}
	for _, s := range params.Sound {
		if t.attribution.RecordSound(quarantine.Key(s.Key), now.Add(-s.Age.Std())) {
			c.opts.Logger.Info("quarantine lifted", "key", keyText(quarantine.Key(s.Key)), "gateway", params.Gateway)
		}
	}
	for _, crash := range params.Crashes {
		id := quarantine.CrashID{Upstream: crash.Upstream, Started: crash.Started}
		t.attribution.RecordCrash(id, now.Add(-crash.Age.Std()), now, runsOf(crash.Runs))
		c.recordEngineCrash(crash, now)
		c.opts.Logger.Info("crash reported", "upstream", crash.Upstream, "gateway", params.Gateway, "age", crash.Age.Std(), "runs", len(crash.Runs))
	}
}

// recordEngineCrash records that a model engine has lost all that it held, so that its
// models are loaded elsewhere before the registry shows the crash.
func (c *Controller) recordEngineCrash(crash rpc.CrashReport, now time.Time) {
	e, ok := c.engines[crash.Upstream]
	if !ok || e.upstream.Started.UnixMilli() != crash.Started || !e.crashedAt.IsZero() || crash.Age.Std() > maxCrashAge {
		return
	}
	e.crash(now)
	c.markChanged(e, now)
}

func runsOf(lost []rpc.LostRun) []quarantine.Run {
	runs := make([]quarantine.Run, len(lost))
	for i, r := range lost {
		runs[i].Content = quarantine.Key(r.Content)
		for _, part := range r.Parts {
			runs[i].Parts = append(runs[i].Parts, quarantine.Key(part))
		}
	}
	return runs
}

// stepCrashes decides on quarantines and publishes the changes.
func (c *Controller) stepCrashes(now time.Time) {
	t := &c.crashes
	if now.Before(t.nextDecision) {
		return
	}
	t.nextDecision = now.Add(decideInterval)
	for _, d := range t.attribution.Decide(now) {
		c.opts.Logger.Warn("requests quarantined after crashes of upstreams", "key", keyText(d.Key), "crashes", d.Crashes, "duration", d.Until.Sub(now))
		t.changed = true
	}
	until := t.attribution.Quarantined(now)
	ended := len(until) < len(t.published.until)
	if !t.changed && !ended {
		return
	}
	t.changed = false
	c.publisher.revision++
	next := &publishedQuarantine{revision: c.publisher.revision, until: until}
	for _, key := range t.attribution.Suspects(now, maxSuspects) {
		next.suspects = append(next.suspects, uint64(key))
	}
	t.published = next
}

// addTo adds the quarantines and suspects to a result if the gateway has others.
func (q *publishedQuarantine) addTo(result *rpc.ResidencyResult, params rpc.ResidencyParams, term state.FencingToken, now time.Time) {
	result.QuarantineRevision = q.revision
	if term == params.Term && q.revision == params.QuarantineRevision {
		return
	}
	result.Suspects = q.suspects
	for key, until := range q.until {
		remaining := time.Duration(0)
		if !until.IsZero() {
			if remaining = until.Sub(now); remaining <= 0 {
				continue
			}
		}
		result.Quarantined = append(result.Quarantined, rpc.QuarantinedKey{Key: uint64(key), Remaining: state.Duration(remaining)})
	}
}

func keyText(key quarantine.Key) string { return strconv.FormatUint(uint64(key), 16) }
