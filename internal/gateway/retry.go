package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/ctxtime"
	"github.com/lagoonvalve/lagoonvalve/internal/decide/retry"
	"github.com/lagoonvalve/lagoonvalve/internal/fleet"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
	"github.com/lagoonvalve/lagoonvalve/internal/verdict"
)

// exclusion says why an upstream does not get a request once more, or only if no other
// upstream is left.
type exclusion uint8

const (
	notExcluded exclusion = iota
	// hasFailed: the upstream has refused or failed the request.
	hasFailed
	// isGone: the upstream can't be reached or doesn't hold the target any more.
	isGone
)

func (x *exchange) exclude(m *member, e exclusion) {
	if x.excluded == nil {
		x.excluded = make(map[state.UpstreamName]exclusion)
	}
	x.excluded[m.upstream.Name] = e
}

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

// replicasLeft counts the upstreams that hold the request's target by what they are to it.
func (x *exchange) replicasLeft(now time.Time) retry.Replicas {
	v := x.gateway.view.Load()
	limit := x.loadWaitDeadline(v)
	var r retry.Replicas
	for _, m := range v.service(x.service) {
		if !fleet.Holds(m.replicas, x.call.Target) {
			continue
		}
		switch fitness, _ := x.fitness(m, now, limit); {
		case fitness == fit:
			r.Untried++
		case fitness == onlyAgain && m.stats.servesOthers(now):
			r.Failed++
		case fitness == onlyAgain:
			r.Unfit++
		case fitness == tooLate:
			r.Delayed++
		}
	}
	return r
}

// triedAll reports whether upstreams hold the target and all have failed the request. No
// other one is loaded for it then.
func (x *exchange) triedAll(now time.Time) bool {
	r := x.replicasLeft(now)
	return r.Untried == 0 && r.Failed+r.Unfit+r.Delayed > 0
}

// fitness is what an upstream that holds the target is to a request.
type fitness uint8

const (
	// unusable: it leaves, or is excluded for good.
	unusable fitness = iota
	// tooLate: its rate limit or a pause delays the request for too long.
	tooLate
	// onlyAgain: it has failed the request, and may be asked again.
	onlyAgain
	fit
)

// fitness returns what an upstream is to the request, and the time until the request could
// be sent there. A pausing upstream that has failed the request is too late.
func (x *exchange) fitness(m *member, now, latest time.Time) (fitness, time.Duration) {
	said := m.stats.saidInAnswers()
	pause := said.PauseLeft(now)
	delay := max(m.stats.limit.permitDelay(now), pause)
	excluded := x.excluded[m.upstream.Name]
	switch {
	case said.Leaving(), excluded == isGone && pause == 0:
		return unusable, 0
	case excluded != notExcluded && pause > 0, delay > 0 && now.Add(delay).After(latest):
		return tooLate, delay
	case excluded == hasFailed:
		return onlyAgain, delay
	default:
		return fit, delay
	}
}

// servesOthers reports whether an upstream that has failed one request is likely to serve
// others: it has served some, and is not ejected or avoided.
func (s *upstreamStats) servesOthers(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.answers.HasServed() && !s.answers.Avoided(now) && !s.health.Ejected(now)
}

// delayLeft returns the time until the first of the upstreams that hold the request's
// target takes requests again, zero if one does now or none holds it.
func (x *exchange) delayLeft(now time.Time) time.Duration {
	v := x.gateway.view.Load()
	limit := x.loadWaitDeadline(v)
	least := time.Duration(0)
	for _, m := range v.service(x.service) {
		if !fleet.Holds(m.replicas, x.call.Target) {
			continue
		}
		switch fitness, delay := x.fitness(m, now, limit); {
		case fitness == fit, fitness == onlyAgain:
			return 0
		case fitness == tooLate && (least == 0 || delay < least):
			least = delay
		}
	}
	return least
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
