package entry

import (
	"sync"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/audit"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
	"github.com/lagoonvalve/lagoonvalve/internal/telemetry"
	"github.com/lagoonvalve/lagoonvalve/internal/verdict"
)

// Meter measures requests. *telemetry.Instruments implements it.
type Meter interface {
	RequestEnded(model state.ModelName, class state.Class, v *verdict.Verdict)
	FirstToken(model state.ModelName, d time.Duration)
	Retry(reason verdict.Reason)
	Hedge(result telemetry.HedgeResult)
}

// requestSink passes what happens to requests on to the metrics.
type requestSink struct {
	meter  Meter
	ledger *ledger
}

func (s requestSink) ended(e *execution, v *verdict.Verdict) {
	req, firstToken := e.request, e.firstToken
	now := time.Now()
	failure := v
	if v.Execution == verdict.Ran && v.Reason == verdict.ReasonOK {
		failure = nil
	}
	outcome, _ := audit.OutcomeOf(failure, now.After(req.deadline))
	s.ledger.add(ended{
		id: req.id, at: now, caller: req.caller.Name, target: req.target.String(), adapter: req.target.adapter,
		class: req.class, verdict: *v, outcome: outcome, attempts: e.attempts, upstream: e.lastTried,
		fingerprint: req.fingerprint, firstToken: firstToken, total: now.Sub(req.arrived),
	})
	if s.meter == nil {
		return
	}
	name := state.ModelName(req.target.String())
	s.meter.RequestEnded(name, req.class, v)
	if v.Execution == verdict.Ran {
		s.meter.FirstToken(name, firstToken)
	}
}

func (s requestSink) retried(_ *request, reason verdict.Reason) {
	if s.meter != nil {
		s.meter.Retry(reason)
	}
}

func (s requestSink) hedged(_ *request, result telemetry.HedgeResult) {
	if s.meter != nil {
		s.meter.Hedge(result)
	}
}

// counterSet holds the counters of the control side.
type counterSet struct {
	mu     sync.Mutex
	values map[string]uint64
}

func newCounterSet() *counterSet { return &counterSet{values: make(map[string]uint64)} }

// Add implements counters.
func (s *counterSet) Add(name string, delta uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.values[name] += delta
}
