package entry

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/lagoonvalve/lagoonvalve/internal/audit"
	"github.com/lagoonvalve/lagoonvalve/internal/ctxtime"
	"github.com/lagoonvalve/lagoonvalve/internal/platform"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
	"github.com/lagoonvalve/lagoonvalve/internal/telemetry"
	"github.com/lagoonvalve/lagoonvalve/internal/verdict"
)

// Meter measures requests. *telemetry.Instruments implements it.
type Meter interface {
	RequestEnded(model state.ModelName, class state.Class, v *verdict.Verdict)
	FirstToken(model state.ModelName, d time.Duration)
	BetweenTokens(model state.ModelName, d time.Duration)
	QueueWait(class state.Class, d time.Duration)
	Waiting(class state.Class, requests int)
	ColdStart(model state.ModelName, d time.Duration)
	Retry(reason verdict.Reason)
	Hedge(result telemetry.HedgeResult)
	Resume(result telemetry.ResumeResult)
	Ejection(cause telemetry.EjectionCause)
	Claim(result telemetry.ClaimResult)
	ConfigLag(d time.Duration)
	LogAppend(stream platform.Stream, records int, result telemetry.AppendResult)
	AuditDiscarded(entries int)
	// RotateNames lets labels follow the names in use.
	RotateNames()
	// Add counts events by the name of a counter without labels.
	Add(name string, delta uint64)
}

// requestSink passes what happens to requests on to the metrics.
type requestSink struct {
	meter  Meter
	ledger *ledger
	// decided hears of ejections for the audit trail.
	decided func(decision state.Audit)
}

func (s requestSink) ended(e *execution, v *verdict.Verdict) {
	req, firstToken := e.request, e.firstToken
	now := time.Now()
	failure := v
	if v.Execution == verdict.Ran && v.Reason == verdict.ReasonOK {
		failure = nil
	}
	outcome, _ := audit.OutcomeOf(failure, now.After(req.due))
	s.ledger.add(ended{
		id: req.id, at: now, caller: req.caller.Name, target: req.target.String(), adapter: req.target.adapter,
		class: req.class, verdict: *v, outcome: outcome, attempts: e.attempts, upstream: e.lastTried,
		fingerprint: req.fingerprint, firstToken: firstToken, total: now.Sub(req.arrived),
	})
	name := state.ModelName(req.target.String())
	s.meter.RequestEnded(name, req.class, v)
	if v.Execution == verdict.Ran {
		s.meter.FirstToken(name, firstToken)
	}
}

func (s requestSink) waited(req *request, d time.Duration) { s.meter.QueueWait(req.class, d) }

func (s requestSink) streamed(req *request, between time.Duration) {
	s.meter.BetweenTokens(state.ModelName(req.target.String()), between)
}

func (s requestSink) coldStarted(t target, d time.Duration) {
	s.meter.ColdStart(state.ModelName(t.String()), d)
}

func (s requestSink) ejected(t target, upstream state.UpstreamName, cause telemetry.EjectionCause) {
	s.meter.Ejection(cause)
	s.decided(state.Audit{
		Time: time.Now(), Action: "eject", Entity: state.EntityUpstream, Name: string(upstream),
		Detail: t.String() + ", by " + string(cause), Offset: state.NoOffset,
	})
}

func (s requestSink) retried(_ *request, reason verdict.Reason) { s.meter.Retry(reason) }

func (s requestSink) resumed(result telemetry.ResumeResult) { s.meter.Resume(result) }

func (s requestSink) hedged(_ *request, result telemetry.HedgeResult) {
	s.meter.Hedge(result)
}

// measureInterval is the time between settings of the gauges, and namesInterval
// that between changes of the names that have label values of their own.
const (
	measureInterval = time.Second
	namesInterval   = time.Minute
)

// measure sets the gauges until ctx ends.
func (e *Entry) measure(ctx context.Context) error {
	rotated := time.Now()
	var discarded uint64
	for ctxtime.Sleep(ctx, measureInterval) {
		now := time.Now()
		var waiting [state.ClassCount]int
		e.gateway.routes.each(func(r *route) {
			counts, _, _ := r.room.waiting()
			for class, n := range counts {
				waiting[class] += n
			}
		})
		for class, n := range waiting {
			e.meter.Waiting(state.Class(class), n)
		}
		e.meter.ConfigLag(now.Sub(time.Unix(0, e.control.configRead.Load())))
		if _, total := e.trail.Pending(); total > discarded {
			e.meter.AuditDiscarded(int(total - discarded))
			discarded = total
		}
		if now.Sub(rotated) >= namesInterval {
			rotated = now
			e.meter.RotateNames()
		}
	}
	return nil
}

// countedLog counts the appends of a log.
type countedLog struct {
	platform.Log
	meter Meter
}

// Append implements platform.Log.
func (l countedLog) Append(ctx context.Context, stream platform.Stream, records []state.Record) (state.Offset, error) {
	first, err := l.Log.Append(ctx, stream, records)
	result := telemetry.AppendStored
	switch {
	case err == nil:
	case errors.Is(err, platform.ErrUnknownOutcome):
		result = telemetry.AppendUnknown
	default:
		result = telemetry.AppendRefused
	}
	l.meter.LogAppend(stream, len(records), result)
	return first, err
}
