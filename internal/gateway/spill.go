package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/go-faster/errors"

	"github.com/lagoonvalve/lagoonvalve/internal/decide/routing"
	"github.com/lagoonvalve/lagoonvalve/internal/decide/spill"
	"github.com/lagoonvalve/lagoonvalve/internal/fleet"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
	"github.com/lagoonvalve/lagoonvalve/internal/telemetry"
	"github.com/lagoonvalve/lagoonvalve/internal/verdict"
)

// spillChoice is what spillover has decided for a request. Of a request that is sent again
// only the first attempt follows the plan.
type spillChoice struct {
	kind requestKind
	// draw is the request's number for shares.
	draw     float64
	decided  bool
	planned  bool
	decision spill.Decision
	// busy is the time that attempts took, and bytes counts what was delivered of the
	// response.
	busy    time.Duration
	bytes   int64
	attempt spillAttempt
}

// Reasons in addition to those of spill.Reason, mostly for which a request is sent to a data
// centre other than the planned one.
const (
	// spillNoPlan: no figures cover its kind.
	spillNoPlan = "no_plan"
	// spillOffPlan: an upstream elsewhere is better in spite of the plan.
	spillOffPlan = "off_plan"
	// spillRetry: it is not the first attempt.
	spillRetry = "retry"
	// spillRefused: it is refused and sent nowhere.
	spillRefused = "refused"
)

func (x *exchange) beginSpill() {
	s := x.gateway.spillover
	if s == nil {
		return
	}
	manifest := x.gateway.view.Load().manifest
	if kind, ok := kindOf(manifest, x.service, x.call.Model); ok {
		x.spill.kind, x.spill.draw = kind, rand.Float64()
		s.begin(kind, x.deadline.Sub(x.began), x.began)
	}
}

// kindOf returns the kind of a request. Models that the manifest doesn't list have none, as
// callers could name any number of them.
func kindOf(m *fleet.Manifest, name state.ServiceName, model state.ModelName) (requestKind, bool) {
	service := m.Services[name]
	if service == nil || service.Engine == nil {
		return requestKind{service: name}, true
	}
	_, ok := service.Engine.Models[model]
	return requestKind{name, model}, ok
}

func (x *exchange) endSpill() {
	if s := x.gateway.spillover; s != nil {
		s.end(x.spill.kind, x.spill.busy, int64(len(x.body))+x.spill.bytes, time.Now())
	}
}

// decideSpill decides whether the request leaves the data centre. Later attempts are not
// bound by that.
func (x *exchange) decideSpill(v *view, now time.Time) {
	if x.gateway.spillover == nil || x.sends > 0 {
		x.spill.planned = false
		return
	}
	if x.spill.decided && x.spill.planned {
		return
	}
	x.spill.decided = true
	s, of := x.gateway.spillover, v.upstreamsOf(x.spill.kind)
	// Engines take requests by priority, and those of teams by what the teams have used.
	overtakes := v.fairness != nil || x.priority < v.leastUrgent
	req := spill.Request{TimeLeft: x.deadline.Sub(now), Bytes: float64(len(x.body)), Overtakes: overtakes}
	decide := s.decide
	if x.explained {
		decide = s.preview
	}
	x.spill.decision, x.spill.planned = decide(x.spill.kind, of, req, x.spill.draw, now)
	if x.spill.decision.To == "" {
		return
	}
	if req.CachedWork = x.cachedHereOnly(v); req.CachedWork > 0 {
		x.spill.decision, x.spill.planned = decide(x.spill.kind, of, req, x.spill.draw, now)
	}
}

// refuseUnservable returns a verdict if it is certain that no data centre serves the request in
// time.
func (x *exchange) refuseUnservable() *verdict.Verdict {
	d := &x.spill.decision
	if !x.spill.planned || d.Action != spill.RefuseNow || d.RetryAfter <= 0 {
		return nil
	}
	return verdict.Refuse(verdict.ReasonNoCapacity, "no data centre can serve the request in time").WithRetryAfter(d.RetryAfter)
}

// cachedHereOnly returns the prefill time that prompt parts cached in this data centre save
// beyond those cached elsewhere.
func (x *exchange) cachedHereOnly(v *view) time.Duration {
	if len(x.prompt.parts) == 0 {
		return 0
	}
	here, elsewhere := 0, 0
	for _, m := range v.service(x.service) {
		cached := int(x.gateway.sentPrompts.cachedTokens(m.stats.index, x.prompt, x.call.Parts))
		if m.locality == routing.SameDataCentre {
			here = max(here, cached)
		} else {
			elsewhere = max(elsewhere, cached)
		}
	}
	return time.Duration(max(here-elsewhere, 0)) * x.gateway.selection.PrefillPerToken
}

// spillPenalty returns what is added to the cost of an upstream: what its bytes are worth,
// and a penalty if the plan sends the request to another data centre.
func (x *exchange) spillPenalty(m *member) time.Duration {
	s := x.gateway.spillover
	if s == nil {
		return 0
	}
	penalty := s.cfg.Price(m.locality, float64(len(x.body)))
	if !x.spill.planned {
		return penalty
	}
	to := x.spill.decision.To
	if to == "" {
		to = s.home
	}
	if m.upstream.DataCentre != to {
		penalty += offPlanPenalty
	} else {
		// The plan has weighed the price of the whole exchange already.
		penalty = 0
	}
	return penalty
}

// spillReason returns why the current attempt goes to a data centre.
func (x *exchange) spillReason(dc state.DataCentre) string {
	to := x.spill.decision.To
	if to == "" {
		to = x.gateway.spillover.home
	}
	switch {
	case x.sends > 1:
		return spillRetry
	case !x.spill.planned:
		return spillNoPlan
	case dc != to:
		return spillOffPlan
	default:
		return x.spill.decision.Reason.String()
	}
}

// spillAttempt is an attempt as metrics count it.
type spillAttempt struct {
	open   bool
	to     state.DataCentre
	reason string
	// number is that of the attempt, and delivered the bytes of the response that were
	// delivered before.
	number    int
	delivered int64
}

// beginSpillAttempt begins to count an attempt, or a request for the rest of a stream.
func (x *exchange) beginSpillAttempt(m *member) {
	s := x.gateway.spillover
	if s == nil {
		return
	}
	x.countSpillAttempt()
	dc := m.upstream.DataCentre
	x.spill.attempt = spillAttempt{open: true, to: s.label(dc), reason: x.spillReason(dc), number: x.sends, delivered: x.spill.bytes}
}

// endSpillAttempt ends the attempt that was sent to an upstream at a time.
func (x *exchange) endSpillAttempt(m *member, began time.Time) {
	s := x.gateway.spillover
	if s == nil {
		return
	}
	if x.mayHaveRun > 0 {
		x.spill.busy += max(time.Since(began)-s.latency(m.upstream.DataCentre), time.Millisecond)
	}
	x.countSpillAttempt()
}

// countSpillAttempt counts the current attempt, unless another upstream was chosen before
// anything was sent.
func (x *exchange) countSpillAttempt() {
	a := x.spill.attempt
	x.spill.attempt.open = false
	if !a.open || x.sends < a.number {
		return
	}
	s, meter := x.gateway.spillover, x.gateway.opts.Meter
	meter.SpilloverRequest(s.label(s.home), a.to, a.reason)
	meter.SpilloverBytes(s.label(s.home), a.to, a.reason, int64(len(x.body))+x.spill.bytes-a.delivered)
}

// recordLink records how a data centre was reached by an attempt. A caller that has left
// says nothing about that.
func (x *exchange) recordLink(ctx context.Context, m *member, sentAt time.Time, err error) {
	s := x.gateway.spillover
	if s == nil {
		return
	}
	if err != nil && (verdict.Of(err) == errChooseAgain || ctx.Err() != nil && !errors.Is(context.Cause(ctx), context.DeadlineExceeded)) {
		return
	}
	now := time.Now()
	s.recordHead(x.spill.kind, m.upstream.DataCentre, now.Sub(sentAt), err != nil, now)
}

// countUnservable counts a request that refuseUnservable refuses.
func (x *exchange) countUnservable() {
	home := x.gateway.spillover.label(x.gateway.spillover.home)
	x.gateway.opts.Meter.SpilloverRequest(home, home, spillRefused)
}

// label returns the label value of a data centre: its name if the settings list it.
func (s *spillover) label(dc state.DataCentre) state.DataCentre {
	if _, ok := s.regionOf[dc]; ok || dc == s.home {
		return dc
	}
	return telemetry.Other
}
