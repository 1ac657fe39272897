package entry

import (
	"context"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/decide/admission"
	"github.com/lagoonvalve/lagoonvalve/internal/decide/scaling"
	"github.com/lagoonvalve/lagoonvalve/internal/settings"
)

// Reload applies the keys of cfg that can change at run time; see the reload
// tags in package settings. Requests that have been admitted keep their
// deadlines.
func (e *Entry) Reload(ctx context.Context, cfg settings.Entry) {
	e.settings.Store(&cfg)
	e.applyLimits(cfg.Limits)
	e.control.post(ctx, weightsChanged{home: homeConfig(cfg.Weights)})
}

// tokens returns the operators' tokens in force.
func (e *Entry) tokens() []settings.Token { return e.settings.Load().Tokens }

func (e *Entry) applyLimits(limits settings.EntryLimits) {
	g := e.gateway
	g.limits.Store(&requestLimits{
		bodyLimit:       limits.BodyBytes,
		defaultDeadline: limits.DefaultDeadline.Std(),
		maxDeadline:     limits.MaxDeadline.Std(),
	})
	g.waiting.set(limits.QueueRequests, limits.QueueBytes)
	e.writer.SetAppendsPerSecond(float64(limits.LogAppendsPerSecond))
	crossRegion := limits.CrossRegionBytesPerSecond
	if crossRegion == 0 {
		// Zero would mean the default to the budget.
		crossRegion = -1
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limiter.Configure(admission.LimiterConfig{PerCaller: limits.CallerInFlight, PerModel: limits.ModelInFlight})
	g.volume.SetRate(crossRegion)
}

func homeConfig(weights settings.EntryWeights) scaling.HomeConfig {
	return scaling.HomeConfig{
		IdleWeight: weights.Idle, ColdStartWeight: weights.ColdStart, TailWeight: weights.TailLatency,
	}
}

// weightsChanged replaces the weights of the homes' decisions.
type weightsChanged struct{ home scaling.HomeConfig }

func (e weightsChanged) apply(c *control, _ time.Time) { c.homes.policy.Config = e.home }
