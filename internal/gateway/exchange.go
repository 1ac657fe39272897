package gateway

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/fleet"
	"github.com/lagoonvalve/lagoonvalve/internal/forward"
	"github.com/lagoonvalve/lagoonvalve/internal/verdict"
)

const (
	// maxSends bounds the upstreams to which a request is sent, including those
	// that refuse to run it.
	maxSends = 4
	// shedRetryAfter is the Retry-After sent when upstreams are full.
	shedRetryAfter = 400 * time.Millisecond
)

// run sends the request to upstreams until a response has been delivered. It
// returns nil then, and otherwise the verdict of the last attempt.
func (x *exchange) run(ctx context.Context) *verdict.Verdict {
	defer x.releaseMemory()
	defer x.leaveLoadQueue()
	for {
		m, v := x.waitForUpstream(ctx)
		if v != nil {
			return x.correctExecution(v)
		}
		v = x.attempt(ctx, m)
		switch {
		case v == nil:
			return nil
		case ctx.Err() != nil:
			return x.correctExecution(x.contextVerdict(ctx))
		case v == errChooseAgain:
			continue
		}
		if !x.waitForRetry(ctx, v) {
			return x.correctExecution(x.withRetryAfter(v))
		}
	}
}

// correctExecution replaces NotRun by MayHaveRun if an earlier attempt may have
// run: the verdict describes the last attempt only.
func (x *exchange) correctExecution(v *verdict.Verdict) *verdict.Verdict {
	if x.mayHaveRun > 0 && v.Execution == verdict.NotRun {
		return v.WithExecution(verdict.MayHaveRun)
	}
	return v
}

// contextVerdict returns the verdict for a request whose context has ended: the
// caller disconnected, a planned stop aborts open requests, or the deadline passed.
func (x *exchange) contextVerdict(ctx context.Context) *verdict.Verdict {
	reason := verdict.ReasonDeadlineExceeded
	switch {
	case x.r.Context().Err() != nil:
		reason = verdict.ReasonCallerGone
	case x.gateway.abortCtx.Err() != nil:
		reason = verdict.ReasonDraining
	}
	if x.mayHaveRun > 0 {
		return verdict.Unknown(reason, ctx.Err().Error())
	}
	return verdict.Refuse(reason, ctx.Err().Error())
}

// attempt sends the request to one upstream and delivers its response. The attempt
// ends early if the request is quarantined before the response begins.
func (x *exchange) attempt(ctx context.Context, m *member) *verdict.Verdict {
	attemptCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	x.stopWatch = x.gateway.crashes.cancelOnQuarantine(x.keys, cancel)
	defer x.stopWatch()
	defer x.releaseMemory()
	v := x.send(attemptCtx, m)
	quarantined := attemptCtx.Err() != nil && ctx.Err() == nil
	switch {
	case v == nil || !quarantined:
		return v
	case v.Execution == verdict.NotRun:
		return verdict.Refuse(verdict.ReasonQuarantined, "quarantined before the request was sent")
	default:
		return verdict.Unknown(verdict.ReasonQuarantined, "quarantined while an upstream had the request")
	}
}

// send sends the request to one upstream and delivers its response.
func (x *exchange) send(ctx context.Context, m *member) *verdict.Verdict {
	g := x.gateway
	x.startAttempt(m)
	x.beginSpillAttempt(m)
	defer x.endSpillAttempt(m, time.Now())
	x.otherRunning = int(m.stats.running.Add(1)) - 1
	g.sentPrompts.record(m.stats.index, x.prompt.parts)
	endPrefill := x.startPrefill(m)
	defer endPrefill()
	g.demand.addRunning(x.call.Target, 1)
	defer func() {
		m.stats.running.Add(-1)
		g.demand.addRunning(x.call.Target, -1)
	}()
	resp, err := x.sendTo(ctx, m, x.call.LastEvent)
	if err != nil {
		return x.handleSendError(ctx, m, err)
	}
	defer resp.Close()
	if resp.Info.NotRun {
		return x.handleRefusal(m, resp)
	}
	x.mayHaveRun++
	x.servedBy = m
	v := x.deliver(ctx, m, resp)
	if v != nil {
		// The upstream may be done with the connection, though the body was read to
		// its end: a stream that ends within an event was cut.
		resp.Abort()
	}
	switch {
	case resp.Status >= http.StatusInternalServerError:
		// A 5xx response comes from the application and doesn't count as a
		// failure of the upstream.
		x.exclude(m, hasFailed)
	case v != nil && v.Reason == verdict.ReasonCallerGone:
		// A disconnected caller doesn't count as a failure of the upstream.
	case v != nil:
		x.recordFailure(ctx, m)
		x.recordLostRun(ctx, m, v)
	default:
		x.servedBy.stats.recordResult(true, time.Now(), g.health)
		x.recordSoundRun()
	}
	return v
}

// sendTo sends the request to an upstream, and applies the answer to the upstream's state for
// further requests.
func (x *exchange) sendTo(ctx context.Context, m *member, lastEvent string) (*forward.Response, error) {
	sentAt := time.Now()
	x.rankAttempt(m, sentAt)
	req := x.request(m, lastEvent)
	req.Check = func() error {
		x.leaveLoadQueue()
		return x.checkSend(ctx, m)
	}
	x.limitLoadTurn()
	resp, err := x.gateway.forward.Send(ctx, m.upstream, req)
	x.leaveLoadQueue()
	x.recordLink(ctx, m, sentAt, err)
	x.recordAttempt(ctx, m, resp, err)
	if err != nil {
		return nil, err
	}
	x.recordAnswer(ctx, m, resp, sentAt)
	return resp, nil
}

// startAttempt records that the request is about to be sent to an upstream.
func (x *exchange) startAttempt(m *member) {
	x.sends++
	x.lastUpstream = m.upstream.Name
	x.firstWrite = time.Time{}
	if x.excluded[m.upstream.Name] != notExcluded {
		x.repeats++
		delete(x.excluded, m.upstream.Name)
	}
	x.askAgain = false
}

// startPrefill adds the expected prefill time of the prompt to the upstream's
// pending work until the returned function is called.
func (x *exchange) startPrefill(m *member) func() {
	work := x.prefillWork()
	x.alone = x.isAlone(m)
	x.gateway.demand.recordWork(x.call.Target, work)
	m.stats.ownPrefill.Add(int64(work))
	x.gateway.notifyGateways(m, x.prompt, work)
	x.prefillDone = sync.OnceFunc(func() { m.stats.ownPrefill.Add(-int64(work)) })
	return x.prefillDone
}

// prefillWork returns the expected prefill time of the prompt at the chosen upstream.
func (x *exchange) prefillWork() time.Duration {
	return time.Duration(x.uncachedTokens) * x.perToken
}

// request returns the request as it is sent to an upstream.
func (x *exchange) request(m *member, lastEvent string) *forward.Request {
	header := x.header.Clone()
	x.gateway.opts.Dialect.AddAttemptHeaders(header, fleet.AttemptInfo{
		Upstream:  m.upstream.Name,
		Team:      x.teamName(),
		TimeLeft:  time.Until(x.deadline),
		Priority:  x.ranked.priority,
		LastEvent: lastEvent,
	})
	return &forward.Request{
		ID: x.call.ID, Method: x.r.Method, URI: x.r.RequestURI, Host: x.r.Host, Header: header, Body: x.body,
	}
}

// handleSendError records an attempt to which the upstream sent no valid response. An
// attempt that ended in errChooseAgain does not count as one.
func (x *exchange) handleSendError(ctx context.Context, m *member, err error) *verdict.Verdict {
	v := verdict.Of(err)
	if v == errChooseAgain {
		x.sends--
		return v
	}
	x.recordFailure(ctx, m)
	if v.Execution == verdict.NotRun {
		x.exclude(m, isGone)
		x.recordNoConnection(ctx, m)
		return v
	}
	x.mayHaveRun++
	x.recordLostRun(ctx, m, v)
	return v
}

// recordFailure excludes an upstream after a failed attempt and counts the failure
// against its health, at most once per attempt.
func (x *exchange) recordFailure(ctx context.Context, m *member) {
	if x.excluded[m.upstream.Name] != notExcluded {
		return
	}
	x.exclude(m, hasFailed)
	if ctx.Err() == nil {
		m.stats.recordResult(false, time.Now(), x.gateway.health)
	}
}

// handleRefusal excludes an upstream that did not run the request: it is full, is
// not the intended upstream, or no longer holds the model.
func (x *exchange) handleRefusal(m *member, resp *forward.Response) *verdict.Verdict {
	reason := verdict.ReasonShed
	if resp.Status == http.StatusMisdirectedRequest {
		reason = verdict.ReasonNoReplica
		x.exclude(m, isGone)
	} else {
		x.exclude(m, hasFailed)
		x.recordRefusal(m)
	}
	return verdict.Refuse(reason, http.StatusText(resp.Status)).WithRetryAfter(shedRetryAfter)
}
