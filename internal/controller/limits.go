package controller

import (
	"context"
	"time"

	"golang.org/x/time/rate"

	"github.com/lagoonvalve/lagoonvalve/internal/decide/pacing"
	"github.com/lagoonvalve/lagoonvalve/internal/fleet"
	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

const (
	// permitBurst is how many permits of an upstream may be valid at once.
	permitBurst = 1
	// minPermitRate is the lowest rate of permits, in requests per second. Without
	// any request, no answer would show that a limit has ended.
	minPermitRate = 0.1
	// permitReplyTimeout bounds the wait for the goroutine of Run.
	permitReplyTimeout = 100 * time.Millisecond
)

// upstreamLimit is the rate limit that an upstream names. It is created by the first
// report of a limit, follows the newest report, and is dropped with the upstream. It
// belongs to the goroutine of Run.
type upstreamLimit struct {
	started    int64
	limit      fleet.RateLimit
	observedAt time.Time
	// permits are shared by all gateways.
	permits *rate.Limiter
	// revision is the number of the last change.
	revision uint64
}

// Permit grants a permit to send one request to an upstream with a rate limit, if it
// becomes valid within the requested wait.
func (c *Controller) Permit(ctx context.Context, params rpc.PermitParams) (rpc.PermitResult, error) {
	if c.publisher.snapshot() == nil {
		return rpc.PermitResult{}, errNotController()
	}
	reply := make(chan rpc.PermitResult, 1)
	c.post(func(c *Controller, now time.Time) { reply <- c.grantPermit(params, now) })
	timer := time.NewTimer(permitReplyTimeout)
	defer timer.Stop()
	select {
	case result := <-reply:
		return result, nil
	case <-timer.C:
		return rpc.PermitResult{}, errNotController()
	case <-ctx.Done():
		return rpc.PermitResult{}, ctx.Err()
	}
}

// recordLimit applies a report unless a newer one is known. It returns nil for an
// upstream that never named a limit.
func (c *Controller) recordLimit(o rpc.AnswerObservation, now time.Time) *upstreamLimit {
	l, ok := c.limits[o.Upstream]
	if !ok || l.started < o.Started {
		if !o.Limited {
			return nil
		}
		l = &upstreamLimit{started: o.Started, permits: rate.NewLimiter(permitRate(o.PerSecond), permitBurst)}
		c.limits[o.Upstream] = l
	}
	if l.started == o.Started {
		pacing.SkipUntil(l.permits, now, now.Add(c.othersPermits(o, now)))
	}
	observedAt := now.Add(-o.Age.Std())
	if l.started > o.Started || observedAt.Before(l.observedAt) {
		return l
	}
	l.observedAt = observedAt
	limit := fleet.RateLimit{Limited: o.Limited, PerSecond: o.PerSecond}
	if limit == l.limit {
		return l
	}
	l.limit = limit
	l.permits.SetLimitAt(now, permitRate(o.PerSecond))
	c.publisher.revision++
	l.revision = c.publisher.revision
	c.opts.Logger.Info("rate limit of upstream", "upstream", o.Upstream, "limited", o.Limited, "per_second", o.PerSecond)
	return l
}

// othersPermits returns until when a gateway uses permits that this controller has not
// granted: those of an earlier one, and those of the gateway's own part.
func (c *Controller) othersPermits(o rpc.AnswerObservation, now time.Time) time.Duration {
	if term, _ := c.machine.MayAct(now); o.GrantedBy == term {
		return o.EarlierUntil.Std()
	}
	return max(o.EarlierUntil, o.GrantedUntil).Std()
}

func permitRate(perSecond float64) rate.Limit { return rate.Limit(max(perSecond, minPermitRate)) }

func (c *Controller) grantPermit(params rpc.PermitParams, now time.Time) rpc.PermitResult {
	l := c.recordLimit(params.Limit, now)
	term, _ := c.machine.MayAct(now)
	if l == nil || !l.limit.Limited {
		return rpc.PermitResult{Granted: true, Term: term}
	}
	permit := l.permits.ReserveN(now, 1)
	delay := permit.DelayFrom(now)
	if delay > params.MaxWait.Std() {
		permit.CancelAt(now)
		return rpc.PermitResult{Delay: state.Duration(delay)}
	}
	return rpc.PermitResult{Granted: true, Term: term, Delay: state.Duration(delay)}
}
