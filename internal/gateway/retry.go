package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/ctxtime"
	"github.com/lagoonvalve/lagoonvalve/internal/decide/retry"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
	"github.com/lagoonvalve/lagoonvalve/internal/verdict"
)

// waitForRetry reports whether the request is to be sent again, after waiting for
// the retry delay.
func (x *exchange) waitForRetry(ctx context.Context, v *verdict.Verdict) bool {
	if x.delivered {
		if x.obstacle == retry.NoObstacle {
			x.obstacle = retry.ObstacleDelivered
		}
		return false
	}
	step, wait := x.decideRetry(v)
	x.gateway.opts.Logger.Info("attempt failed", "request", x.call.ID, "upstream", x.lastUpstream, "reason", v.Reason,
		"execution", v.Execution.String(), "detail", v.Detail, "next", step, "obstacle", x.obstacle, "wait", wait, "parts", x.prompt)
	if step == retry.Refuse {
		return false
	}
	x.gateway.opts.Meter.Retry(v.Reason)
	return ctxtime.Sleep(ctx, wait)
}

// decideRetry returns what becomes of the request after a failed attempt, and how long to
// wait before. Unless that is a refusal, it takes a retry from the budget; otherwise it
// records what forbids another attempt.
func (x *exchange) decideRetry(v *verdict.Verdict) (retry.Step, time.Duration) {
	if x.mayHaveRun >= x.route.Attempts {
		x.obstacle = retry.ObstacleAttempts
		return retry.Refuse, 0
	}
	now := time.Now()
	a, replicas := x.failedAttempt(v), x.replicasLeft(now)
	g := x.gateway
	g.budgets.mu.Lock()
	defer g.budgets.mu.Unlock()
	budget := g.budget(x.service)
	var step retry.Step
	step, x.obstacle = budget.Next(now, a, replicas)
	if step == retry.Refuse {
		if x.obstacle == retry.ObstaclePause || x.obstacle == retry.ObstacleReplicas {
			x.recordUnserved(x.obstacle)
		}
		return retry.Refuse, 0
	}
	a.SameReplica = step == retry.Again
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	wait, ok := budget.Decide(now, rng, a)
	if !ok {
		x.obstacle = retry.ObstacleTime
		return retry.Refuse, 0
	}
	x.askAgain = a.SameReplica
	return step, wait
}

// mayBeRetried reports whether decideRetry would send the request again, without taking
// anything from the budget.
func (x *exchange) mayBeRetried(v *verdict.Verdict) bool {
	now := time.Now()
	replicas := x.replicasLeft(now)
	g := x.gateway
	g.budgets.mu.Lock()
	defer g.budgets.mu.Unlock()
	step, _ := g.budget(x.service).Next(now, x.failedAttempt(v), replicas)
	return step != retry.Refuse
}

// failedAttempt describes the last attempt to the retry budget. A Retry-After is that of
// one upstream, and others need not wait for it.
func (x *exchange) failedAttempt(v *verdict.Verdict) retry.Attempt {
	return retry.Attempt{
		Verdict: v.WithRetryAfter(0), Number: x.sends, Repeats: x.repeats, Repeatable: x.route.Repeatable(), Deadline: x.deadline,
	}
}

// withRetryAfter sets when the caller of a request that is not sent again may come back.
func (x *exchange) withRetryAfter(v *verdict.Verdict) *verdict.Verdict {
	if v.Execution != verdict.NotRun {
		return v
	}
	if delay := x.delayLeft(time.Now()); delay > 0 {
		return v.WithRetryAfter(min(delay, maxDelayRetryAfter))
	}
	if v.RetryAfter == 0 {
		return v.WithRetryAfter(noReplicaRetryAfter)
	}
	return v
}

// recordFirstAttempt adds a request's first attempt to the retry budget of its
// service.
func (g *Gateway) recordFirstAttempt(service state.ServiceName) {
	g.budgets.mu.Lock()
	defer g.budgets.mu.Unlock()
	g.budget(service).RecordRequest()
}

const (
	// budgetShare is the fraction of the allowed retry share that is used.
	budgetShare = 0.8
	// minGateways is the minimum number of gateways that are assumed to share
	// the slack of the retry budget.
	minGateways = 8
)

// budget returns the retry budget of a service. The slack is divided among all
// gateways.
func (g *Gateway) budget(service state.ServiceName) *retry.Budget {
	b, ok := g.budgets.byService[service]
	if !ok {
		gateways := max(float64(g.gatewayCount.Load()), minGateways)
		b = retry.NewBudget(retry.Config{
			Share:       g.opts.RetryShare * budgetShare,
			Burst:       max(g.opts.RetrySlack/(2*gateways), 1),
			MaxAttempts: maxSends,
			BaseDelay:   retryDelay,
		})
		g.budgets.byService[service] = b
	}
	return b
}

// retryDelay is the base delay before a retry.
const retryDelay = 10 * time.Millisecond
