package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/boottime"
	"github.com/lagoonvalve/lagoonvalve/internal/ctxtime"
	"github.com/lagoonvalve/lagoonvalve/internal/decide/quota"
	"github.com/lagoonvalve/lagoonvalve/internal/fleet"
	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
	"github.com/lagoonvalve/lagoonvalve/internal/telemetry"
	"github.com/lagoonvalve/lagoonvalve/internal/verdict"
)

const (
	// quotaWaitShare is the fraction of the time until its caller needs the first byte
	// that a request may wait for tokens, and maxQuotaWait the longest such wait.
	quotaWaitShare = 0.3
	maxQuotaWait   = 2 * time.Second
	// leaveTimeout bounds the call by which a gateway that stops gives up its part of
	// the quotas.
	leaveTimeout = 100 * time.Millisecond
)

// quotas is this gateway's account of the teams' quotas. Its methods may be called from
// any goroutine.
type quotas struct {
	mu      sync.Mutex
	account *quota.Account
	// wake requests the next step of followQuotas.
	wake chan struct{}
}

func newQuotas(c quota.Config, name, address string) *quotas {
	return &quotas{account: quota.NewAccount(c, name, address), wake: make(chan struct{}, 1)}
}

// request requests the cost of a request.
func (q *quotas) request(team *fleet.Team, cost float64, wait time.Duration) *quota.Ticket {
	q.mu.Lock()
	ticket := q.account.Request(team.Name, team.Quota, cost, wait, boottime.Now())
	q.mu.Unlock()
	if len(ticket.Done) == 0 {
		q.wakeUp()
	}
	return ticket
}

func (q *quotas) wakeUp() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

func (q *quotas) cancel(ticket *quota.Ticket) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.account.Cancel(ticket)
}

// refund returns the tokens of a request that did not run. It returns false if they are
// lost.
func (q *quotas) refund(ticket *quota.Ticket) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.account.Refund(ticket)
}

// left is Account.Left.
func (q *quotas) left(team state.TeamName) (tokens float64, age time.Duration, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.account.Left(team, boottime.Now())
}

// holdings is Account.Holdings.
func (q *quotas) holdings() []quota.Holding {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.account.Holdings(boottime.Now())
}

// sinceAnswer returns the time since the last successful call to a controller, negative
// if there was none.
func (q *quotas) sinceAnswer() time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	age, ok := q.account.SinceAnswer(boottime.Now())
	if !ok {
		return -1
	}
	return age
}

// quotaReply is the end of a call to the controller.
type quotaReply struct {
	began  time.Time
	answer quota.Answer
	err    error
}

// followQuotas requests tokens from the controller for the requests that wait for them,
// while the manifest has teams with quotas. Only one call is in progress at a time.
func (g *Gateway) followQuotas(ctx context.Context) {
	replies := make(chan quotaReply, 1)
	timer := time.NewTimer(0)
	defer timer.Stop()
	var manifest *fleet.Manifest
	limited, failing := false, false
	for {
		select {
		case <-ctx.Done():
			g.leaveQuotas(ctx)
			return
		case r := <-replies:
			if failed := r.err != nil; failed != failing && ctx.Err() == nil {
				failing = failed
				g.opts.Logger.Info("quotas of the controller", "reached", !failed, "error", r.err)
			}
			g.applyQuota(r)
		case <-g.quotas.wake:
		case <-timer.C:
		}
		if m := g.view.Load().manifest; m != manifest {
			manifest, limited = m, hasQuotas(m)
			g.quotas.retain(m)
		}
		timer.Reset(g.stepQuotas(ctx, limited, replies))
	}
}

func (q *quotas) retain(m *fleet.Manifest) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.account.Retain(m.Teams())
}

// hasQuotas reports whether a team of the manifest has a quota.
func hasQuotas(m *fleet.Manifest) bool {
	for _, team := range m.Teams() {
		if team.Quota.Limited() {
			return true
		}
	}
	return false
}

// stepQuotas starts a call if one is due, and returns the time until the next step.
func (g *Gateway) stepQuotas(ctx context.Context, limited bool, replies chan<- quotaReply) time.Duration {
	q := g.quotas
	q.mu.Lock()
	defer q.mu.Unlock()
	now := boottime.Now()
	next := q.account.Step(now)
	if !limited {
		return housekeepingInterval
	}
	if ask, due := q.account.Ask(now); due {
		go func() { replies <- g.requestQuota(ctx, ask, now) }()
		next = q.account.Step(now)
	}
	return max(next.Sub(now), time.Millisecond)
}

func (g *Gateway) requestQuota(ctx context.Context, ask quota.Ask, began time.Time) quotaReply {
	ctx, cancel := context.WithTimeout(ctx, quota.CallTimeout)
	defer cancel()
	requested, returned := 0., 0.
	for _, t := range ask.Teams {
		requested += t.Share
		for _, r := range t.Returned {
			returned += r.Tokens
		}
	}
	g.opts.Meter.QuotaShare(telemetry.ShareRequested, requested)
	g.opts.Meter.QuotaShare(telemetry.ShareReturned, returned)
	answer, err := callLeader(ctx, g, g.opts.Controller.Leader(), rpc.MethodQuota, ask, g.opts.Controller.Quota)
	return quotaReply{began: began, answer: answer, err: err}
}

func (g *Gateway) applyQuota(r quotaReply) {
	q := g.quotas
	q.mu.Lock()
	defer q.mu.Unlock()
	if r.err != nil {
		q.account.Fail(boottime.Now())
		return
	}
	q.account.Succeed(r.answer, r.began, boottime.Now())
	granted := 0.
	for _, t := range r.answer.Teams {
		granted += t.Share
	}
	g.opts.Meter.QuotaShare(telemetry.ShareGranted, granted)
}

// leaveQuotas tells the controller that this gateway uses no tokens any more, so that
// nothing has to be reserved for it. If that is lost, the reservation ends by itself.
func (g *Gateway) leaveQuotas(ctx context.Context) {
	if g.quotas.sinceAnswer() < 0 {
		return
	}
	g.quotas.mu.Lock()
	ask := g.quotas.account.Leave()
	g.quotas.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), leaveTimeout)
	defer cancel()
	_, err := callLeader(ctx, g, g.opts.Controller.Leader(), rpc.MethodQuota, ask, g.opts.Controller.Quota)
	g.opts.Logger.Debug("part of the quotas given up", "error", err)
}

// takeTokens waits until the request's team has the tokens for it. It returns the verdict
// of a request that is refused.
func (x *exchange) takeTokens(ctx context.Context) *verdict.Verdict {
	if x.team == nil || !x.team.Quota.Limited() {
		return nil
	}
	x.cost = float64(x.team.Quota.Cost(x.call.Prompt, x.call.MaxAnswer))
	if x.cost <= 0 {
		return nil
	}
	if x.cost > x.gateway.opts.Quotas.Largest(x.team.Quota) {
		x.gateway.opts.Meter.QuotaRequest(x.team.Name, quota.Exhausted, x.cost)
		return verdict.Refuse(verdict.ReasonTeamQuota, "the request costs more than the team's quota ever allows")
	}
	now := time.Now()
	wait := time.Duration(quotaWaitShare * float64(x.callerTimeout()))
	x.tokens = x.gateway.quotas.request(x.team, x.cost, min(max(wait, 0), maxQuotaWait))
	outcome, ok := x.awaitTokens(ctx)
	x.quotaWait = time.Since(now)
	if !ok {
		x.gateway.quotas.cancel(x.tokens)
		x.tokens = nil
		return x.contextVerdict(ctx)
	}
	x.gateway.opts.Meter.QuotaRequest(x.team.Name, outcome.Result, x.cost)
	if outcome.Result == quota.Admitted {
		return nil
	}
	x.tokens = nil
	if outcome.Result == quota.Exhausted {
		return verdict.Refuse(verdict.ReasonTeamQuota, "the team has used its quota").WithRetryAfter(outcome.RetryAfter)
	}
	return verdict.Refuse(verdict.ReasonNotReady, "no controller could be asked for the team's quota").WithRetryAfter(outcome.RetryAfter)
}

// awaitTokens returns the outcome of the request for tokens once a delayed grant is
// valid. It returns false if ctx ends first.
func (x *exchange) awaitTokens(ctx context.Context) (quota.Outcome, bool) {
	select {
	case outcome := <-x.tokens.Done:
		if outcome.Result != quota.Admitted || outcome.Delay == 0 {
			return outcome, true
		}
		if !ctxtime.Sleep(ctx, outcome.Delay) {
			x.gateway.quotas.refund(x.tokens)
			return outcome, false
		}
		if boottime.Now().After(outcome.ValidUntil) {
			// The host was suspended during the delay.
			x.gateway.quotas.refund(x.tokens)
			outcome = quota.Outcome{Result: quota.NoController, RetryAfter: unconfirmedRetryAfter}
		}
		return outcome, true
	case <-ctx.Done():
		return quota.Outcome{}, false
	}
}

// returnTokens returns the tokens of a request that did not run.
func (x *exchange) returnTokens(v *verdict.Verdict) {
	if x.tokens == nil || v == nil || x.mayHaveRun > 0 || x.delivered || v.Execution != verdict.NotRun {
		return
	}
	if x.gateway.quotas.refund(x.tokens) {
		x.gateway.opts.Meter.QuotaRefunded(x.team.Name, x.cost)
	}
}
