package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/decide/access"
	"github.com/lagoonvalve/lagoonvalve/internal/decide/eligibility"
	"github.com/lagoonvalve/lagoonvalve/internal/decide/retry"
	"github.com/lagoonvalve/lagoonvalve/internal/decide/selection"
	"github.com/lagoonvalve/lagoonvalve/internal/fleet"
	"github.com/lagoonvalve/lagoonvalve/internal/verdict"
)

const (
	// loadWaitShare is the fraction of a caller's timeout that a request may
	// spend waiting for its model or adapter to be loaded.
	loadWaitShare = 0.7
	// The time that callers of streams are assumed to wait for the first byte is
	// the longest of minStreamTimeout, streamTimeoutObjectives times the route's
	// latency objective, and streamTimeoutGaps times its maximum gap between events.
	minStreamTimeout        = 2 * time.Second
	streamTimeoutObjectives = 4
	streamTimeoutGaps       = 8
	// noReplicaRetryAfter is the Retry-After sent when no upstream can load the
	// model in time.
	noReplicaRetryAfter = 500 * time.Millisecond
	// maxDelayRetryAfter bounds the Retry-After sent when all upstreams are limited or in
	// a pause: another one may hold the model long before they are free.
	maxDelayRetryAfter = 30 * time.Second
)

// waitForUpstream returns the upstream for the next attempt. If none holds the
// model or adapter, it waits for one to load it. A request that has waited may hold up others
// until it leaves the queue.
func (x *exchange) waitForUpstream(ctx context.Context) (*member, *verdict.Verdict) {
	m, v := x.awaitUpstream(ctx)
	if v != nil {
		x.leaveLoadQueue()
	}
	return m, v
}

func (x *exchange) awaitUpstream(ctx context.Context) (*member, *verdict.Verdict) {
	began := time.Time{}
	x.releaseMemory()
	defer x.stopMemoryWait()
	defer func() {
		if !began.IsZero() {
			x.gateway.demand.addWaiting(x.call.Target, -1)
			x.waited += time.Since(began)
		}
	}()
	for {
		v := x.gateway.view.Load()
		now := time.Now()
		if v := x.refuseQuarantined(now); v != nil {
			return nil, v
		}
		if x.stopForbidsSend(now) {
			return nil, refuseStopped()
		}
		if refusal := x.refuseKey(v.manifest); refusal != nil {
			return nil, refusal
		}
		x.decideSpill(v, now)
		if refusal := x.refuseUnservable(); refusal != nil {
			x.countUnservable()
			return nil, refusal
		}
		limit := x.loadWaitDeadline(v)
		if x.awaitTurn(ctx, v, limit.Sub(now)) {
			if ctx.Err() != nil {
				return nil, x.contextVerdict(ctx)
			}
			continue
		}
		m, freeAt := x.choose(v, limit)
		if m != nil {
			if x.awaitPauseEnd(ctx, m) && x.holdMemory(v, m) {
				if x.awaitPermit(ctx, m, limit) {
					return m, x.refuseQuarantined(time.Now())
				}
				x.releaseMemory()
			}
			if ctx.Err() != nil {
				return nil, x.contextVerdict(ctx)
			}
			continue
		}
		if refusal := x.refuseTooLarge(v); refusal != nil {
			return nil, refusal
		}
		if refusal, obstacle := x.refuseUnserved(now, limit, freeAt); refusal != nil {
			x.recordUnserved(obstacle)
			return nil, refusal
		}
		if began.IsZero() {
			began = now
			x.gateway.demand.addWaiting(x.call.Target, 1)
		}
		if x.memoryFull {
			x.leaveLoadQueue()
			x.awaitMemory(ctx, v, limit.Sub(now))
		} else {
			x.awaitLoad(ctx, v, limit.Sub(now))
		}
		if ctx.Err() != nil {
			return nil, x.contextVerdict(ctx)
		}
	}
}

// refuseUnserved returns the verdict and the obstacle for a request that no upstream can take
// now, or no verdict if the request may wait until limit for a load or for memory. freeAt is
// the result of choose.
func (x *exchange) refuseUnserved(now, limit, freeAt time.Time) (*verdict.Verdict, retry.Obstacle) {
	switch {
	case !freeAt.IsZero() && !x.memoryFull:
		v := verdict.Refuse(verdict.ReasonShed, "upstreams have reached their rate limits or want a pause")
		return v.WithRetryAfter(min(freeAt.Sub(now), maxDelayRetryAfter)), retry.ObstaclePause
	case !x.memoryFull && x.triedAll(now):
		v := verdict.Refuse(verdict.ReasonShed, "all upstreams have refused or failed the request")
		return v.WithRetryAfter(shedRetryAfter), retry.ObstacleReplicas
	case !now.Before(limit):
		v := verdict.Refuse(verdict.ReasonNoReplica, "no upstream can take the request in time")
		return v.WithRetryAfter(noReplicaRetryAfter), retry.ObstacleReplicas
	default:
		return nil, retry.NoObstacle
	}
}

// eligible reports whether the request may still be sent to the upstream chosen for it.
func (x *exchange) eligible(v *view, m *member) bool {
	reason := v.eligibility(m, x.call.Target, time.Now())
	if reason == eligibility.Eligible {
		return true
	}
	x.gateway.opts.Meter.Reselect(reason)
	x.gateway.opts.Logger.Info("upstream not eligible any more", "request", x.call.ID, "upstream", m.upstream.Name,
		"reason", reason, "permit_wait", x.permitWait)
	return false
}

// errChooseAgain means that the upstream chosen for a request is not eligible any more, or
// that a planned stop or the request's key forbids to send it. Nothing was sent.
var errChooseAgain = verdict.Refuse(verdict.ReasonNoReplica, "the upstream is not eligible any more")

// checkSend is the last check before the request is written to an upstream. Between the
// choice of the upstream and this check the request may have waited for a permit and for
// a connection. Waits for a load, for the end of a pause and before a retry end with a new
// choice.
func (x *exchange) checkSend(ctx context.Context, m *member) error {
	switch {
	case ctx.Err() != nil:
		return verdict.Refuse(verdict.ReasonUpstreamFailed, ctx.Err().Error())
	case !x.eligible(x.gateway.view.Load(), m), x.stopForbidsSend(time.Now()):
		return errChooseAgain
	case x.keyResult(x.gateway.view.Load().manifest) != access.Allowed:
		return errChooseAgain
	default:
		return nil
	}
}

// refuseQuarantined returns a verdict if the request is quarantined.
func (x *exchange) refuseQuarantined(now time.Time) *verdict.Verdict {
	remaining := x.gateway.crashes.quarantined(x.keys, now)
	if remaining <= 0 {
		return nil
	}
	return verdict.Refuse(verdict.ReasonQuarantined, "the request has crashed upstreams before").WithRetryAfter(remaining)
}

// loadWaitDeadline returns the time until which the request may wait for an
// upstream. A request doesn't wait for a model that no upstream can load before
// that time.
func (x *exchange) loadWaitDeadline(v *view) time.Time {
	limit := x.began.Add(time.Duration(loadWaitShare * float64(x.callerTimeout())))
	service := v.manifest.Services[x.service]
	if service == nil || service.Engine == nil || x.call.Model == "" {
		return limit
	}
	spec, known := service.Engine.Models[x.call.Model]
	if !known {
		return x.began
	}
	if x.waited > 0 || anyHolds(v.service(x.service), fleet.Target{Model: spec.Name}) {
		return limit
	}
	soonest := spec.FromStore
	for _, m := range v.service(x.service) {
		soonest = min(soonest, m.upstream.LoadTime(spec))
	}
	if x.began.Add(soonest).After(limit) {
		return x.began
	}
	return limit
}

// callerTimeout returns how long the caller is likely to wait for the first byte.
// Callers of streams may disconnect well before their deadline if nothing arrives.
func (x *exchange) callerTimeout() time.Duration {
	timeout := x.deadline.Sub(x.began)
	if x.route.Kind != fleet.Stream {
		return timeout
	}
	streamTimeout := max(minStreamTimeout, streamTimeoutObjectives*x.route.Objective, streamTimeoutGaps*x.route.MaxGap)
	return min(timeout, streamTimeout)
}

func anyHolds(members []*member, t fleet.Target) bool {
	return slices.ContainsFunc(members, func(m *member) bool { return fleet.Holds(m.replicas, t) })
}

// earliest returns the earlier one of two times; a zero time is none.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}

// choose returns the upstream with the lowest expected cost, or nil if none can
// take the request. Ejected upstreams are used only if no other upstream holds the
// target. Upstreams with a rate limit or in a pause are left out if a request could be
// sent there only after the time latest; if there are no others, freeAt is the earliest
// time. Upstreams that have failed the request come after the others, and only if
// askAgain is set.
func (x *exchange) choose(v *view, latest time.Time) (chosen *member, freeAt time.Time) {
	now := time.Now()
	o := x.assess(v, now, latest)
	if o.chosen < 0 {
		return nil, o.freeAt
	}
	m := o.members[o.chosen]
	m.stats.recordChosen(now)
	x.perToken = o.candidates[o.chosen].PerToken
	x.uncachedTokens = max(x.call.Prompt-o.candidates[o.chosen].Cached, 0)
	return m, time.Time{}
}

// options holds the upstreams that may take a request, and the choice among them.
type options struct {
	members    []*member
	candidates []selection.Candidate
	// chosen is the index of the best one, negative if there are none.
	chosen int
	// freeAt is the result of choose.
	freeAt time.Time
}

// assess returns the upstreams that may take the request, and the one with the least cost. It
// records nothing for a request that is only explained.
func (x *exchange) assess(v *view, now, latest time.Time) options {
	members := v.service(x.service)
	x.decideSpill(v, now)
	isFirst := x.beginMemoryChoice()
	model := x.gateway.speedOfModel(x.call.Model)
	candidates := make([]selection.Candidate, 0, len(members))
	list := make([]*member, 0, len(members))
	var freeAt time.Time
	for _, m := range members {
		if !fleet.Holds(m.replicas, x.call.Target) {
			continue
		}
		f, delay := x.fitnessOf(m, now, latest)
		switch {
		case f == tooLate:
			freeAt = earliest(freeAt, now.Add(delay))
			continue
		case f == unusable, f == onlyAgain && !x.askAgain:
			continue
		}
		cached := x.gateway.sentPrompts.cachedTokens(m.stats.index, x.prompt, x.call.Parts)
		if !x.memoryFits(v, m, cached, isFirst, now) {
			x.memoryFull = true
			continue
		}
		answers := m.stats.currentAnswers()
		candidates = append(candidates, selection.Candidate{
			Hash:           m.hash,
			Locality:       m.locality,
			Running:        int(m.stats.running.Load()),
			PerToken:       x.gateway.prefillPerToken(m, model, now),
			PendingPrefill: m.stats.pendingPrefill(now),
			Cached:         cached,
			Ejected:        m.stats.ejected(now),
			Avoided:        f == onlyAgain || answers.Avoided(now),
			Delay:          delay + x.spillPenalty(m),
		})
		list = append(list, m)
	}
	if len(candidates) == 0 {
		// No model that a caller invents is recorded.
		return options{chosen: -1, freeAt: freeAt}
	}
	var longPrompts bool
	if x.explained {
		longPrompts = x.gateway.longPrompts.lately(x.call.Model, x.call.Prompt, now)
	} else {
		longPrompts = x.gateway.longPrompts.record(x.call.Model, x.call.Prompt, now)
	}
	i := x.gateway.selection.Select(candidates, x.prompt.selectionRequest(&x.call, longPrompts))
	return options{members: list, candidates: candidates, chosen: i, freeAt: freeAt}
}
