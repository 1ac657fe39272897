package gateway

import (
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/decide/access"
	"github.com/lagoonvalve/lagoonvalve/internal/decide/eligibility"
	"github.com/lagoonvalve/lagoonvalve/internal/decide/fairness"
	"github.com/lagoonvalve/lagoonvalve/internal/decide/quota"
	"github.com/lagoonvalve/lagoonvalve/internal/decide/retry"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
	"github.com/lagoonvalve/lagoonvalve/internal/telemetry"
	"github.com/lagoonvalve/lagoonvalve/internal/verdict"
)

// Meter records metrics of requests. Its methods may be called from any goroutine.
// It is implemented by *telemetry.Instruments.
type Meter interface {
	// RequestEnded counts a request; a nil verdict means that it was answered.
	RequestEnded(model state.ModelName, class state.Class, v *verdict.Verdict)
	// FirstToken records the time to the first part of a stream, and
	// BetweenTokens the longest gap between two parts.
	FirstToken(model state.ModelName, d time.Duration)
	BetweenTokens(model state.ModelName, d time.Duration)
	// ColdStart records the time spent waiting for a load.
	ColdStart(model state.ModelName, d time.Duration)
	// Retry counts a retry, and Resume an attempt to resume a stream that was cut.
	Retry(reason verdict.Reason)
	Resume(result telemetry.ResumeResult)
	// NotRetried counts a request, or the rest of a stream, that was not sent again after
	// a failed attempt.
	NotRetried(obstacle retry.Obstacle)
	// Reselect counts a request for which another upstream is chosen before it was
	// sent.
	Reselect(reason eligibility.Reason)
	// KeyRefused counts a request whose key may not be used.
	KeyRefused(result access.Result)
	// QuotaRequest counts a request for tokens of a team's quota, QuotaRefunded tokens
	// that were given back, and QuotaShare tokens that move between gateway and
	// controller.
	QuotaRequest(team state.TeamName, result quota.Result, tokens float64)
	QuotaRefunded(team state.TeamName, tokens float64)
	QuotaShare(event telemetry.ShareEvent, tokens float64)
	// ObserveQuotas sets where the gauges of tokens get their values from.
	ObserveQuotas(source telemetry.QuotaSource)
	// FairnessRequest counts a request that was sent, by the rank of its last attempt.
	FairnessRequest(team state.TeamName, band int, reason fairness.Reason)
	// SpilloverRequest counts a request that is sent to an upstream of a data centre, and
	// SpilloverBytes the bytes of such requests and their responses. Data centres that the
	// settings don't list are "other".
	SpilloverRequest(from, to state.DataCentre, reason string)
	SpilloverBytes(from, to state.DataCentre, reason string, bytes int64)
	// UpstreamIneligible counts that an upstream's answers keep requests from it from
	// now on: it leaves, has requested a pause, or comes after the others as it refuses.
	UpstreamIneligible(upstream state.UpstreamName, reason eligibility.Reason)
}

// noMeter records nothing.
type noMeter struct{}

func (noMeter) RequestEnded(state.ModelName, state.Class, *verdict.Verdict) {}
func (noMeter) FirstToken(state.ModelName, time.Duration)                   {}
func (noMeter) BetweenTokens(state.ModelName, time.Duration)                {}
func (noMeter) ColdStart(state.ModelName, time.Duration)                    {}
func (noMeter) Retry(verdict.Reason)                                        {}
func (noMeter) Resume(telemetry.ResumeResult)                               {}
func (noMeter) NotRetried(retry.Obstacle)                                   {}
func (noMeter) Reselect(eligibility.Reason)                                 {}
func (noMeter) KeyRefused(access.Result)                                    {}
func (noMeter) QuotaRequest(state.TeamName, quota.Result, float64)          {}
func (noMeter) QuotaRefunded(state.TeamName, float64)                       {}
func (noMeter) QuotaShare(telemetry.ShareEvent, float64)                    {}
func (noMeter) ObserveQuotas(telemetry.QuotaSource)                         {}
func (noMeter) FairnessRequest(state.TeamName, int, fairness.Reason)        {}
func (noMeter) SpilloverRequest(_, _ state.DataCentre, _ string)            {}
func (noMeter) SpilloverBytes(_, _ state.DataCentre, _ string, _ int64)     {}
func (noMeter) UpstreamIneligible(state.UpstreamName, eligibility.Reason)   {}

// classOf returns the class under which metrics count a route's priority.
func classOf(priority int) state.Class {
	return state.Class(min(max(priority, 0), state.ClassCount-1))
}

// recordMetrics records the metrics of a request that has ended.
func (x *exchange) recordMetrics(v *verdict.Verdict) {
	meter := x.gateway.opts.Meter
	meter.RequestEnded(x.call.Model, classOf(x.priority), v)
	if v != nil && x.sends > 0 && x.obstacle != retry.NoObstacle {
		meter.NotRetried(x.obstacle)
	}
	if x.sends > 0 && x.ranked.policy != nil {
		meter.FairnessRequest(x.teamName(), x.ranked.policy.Band(x.ranked.priority), x.ranked.reason)
	}
	if x.waited > 0 {
		meter.ColdStart(x.call.Model, x.waited)
	}
	if x.firstToken > 0 {
		meter.FirstToken(x.call.Model, x.firstToken)
	}
	if x.maxGap > 0 {
		meter.BetweenTokens(x.call.Model, x.maxGap)
	}
}
