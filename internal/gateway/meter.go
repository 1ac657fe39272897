package gateway

import (
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/state"
	"github.com/lagoonvalve/lagoonvalve/internal/telemetry"
	"github.com/lagoonvalve/lagoonvalve/internal/verdict"
)

// Meter counts what happens to requests. Its methods may be called from any
// goroutine; *telemetry.Instruments has them.
type Meter interface {
	// RequestEnded counts a request; a nil verdict means that it was answered.
	RequestEnded(model state.ModelName, class state.Class, v *verdict.Verdict)
	// FirstToken records the time to the first part of a stream, and
	// BetweenTokens its longest pause.
	FirstToken(model state.ModelName, d time.Duration)
	BetweenTokens(model state.ModelName, d time.Duration)
	// ColdStart records the wait for a load.
	ColdStart(model state.ModelName, d time.Duration)
	// Retry counts a further attempt, and Resume a stream that was cut.
	Retry(reason verdict.Reason)
	Resume(result telemetry.ResumeResult)
}

// noMeter counts nothing.
type noMeter struct{}

func (noMeter) RequestEnded(state.ModelName, state.Class, *verdict.Verdict) {}
func (noMeter) FirstToken(state.ModelName, time.Duration)                   {}
func (noMeter) BetweenTokens(state.ModelName, time.Duration)                {}
func (noMeter) ColdStart(state.ModelName, time.Duration)                    {}
func (noMeter) Retry(verdict.Reason)                                        {}
func (noMeter) Resume(telemetry.ResumeResult)                               {}

// classOf returns the class that a route's priority stands for in metrics.
func classOf(priority int) state.Class {
	return state.Class(min(max(priority, 0), state.ClassCount-1))
}

// measure counts a request that has ended.
func (x *exchange) measure(v *verdict.Verdict) {
	meter := x.gateway.opts.Meter
	meter.RequestEnded(x.call.Model, classOf(x.route.Priority), v)
	if x.waited > 0 {
		meter.ColdStart(x.call.Model, x.waited)
	}
	if x.first > 0 {
		meter.FirstToken(x.call.Model, x.first)
	}
	if x.gap > 0 {
		meter.BetweenTokens(x.call.Model, x.gap)
	}
}
