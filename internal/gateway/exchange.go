package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/ctxtime"
	"github.com/lagoonvalve/lagoonvalve/internal/decide/retry"
	"github.com/lagoonvalve/lagoonvalve/internal/fleet"
	"github.com/lagoonvalve/lagoonvalve/internal/forward"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
	"github.com/lagoonvalve/lagoonvalve/internal/verdict"
)

const (
	// maxSends bounds the upstreams that are sent a request, those included
	// that refuse to run it.
	maxSends = 4
	// fullRetry is when callers may come back to upstreams that are full.
	fullRetry = 400 * time.Millisecond
)

// run sends the request until an upstream's answer has been delivered, and
// otherwise returns the last verdict.
func (x *exchange) run(ctx context.Context) *verdict.Verdict {
	for {
		m, v := x.place(ctx)
		if v != nil {
			return x.truthful(v)
		}
		v = x.attempt(ctx, m)
		if v == nil {
			return nil
		}
		if ctx.Err() != nil {
			return x.truthful(x.ended(ctx))
		}
		if !x.again(ctx, v) {
			return x.truthful(v)
		}
	}
}

// truthful corrects a verdict that speaks of the last sending alone.
func (x *exchange) truthful(v *verdict.Verdict) *verdict.Verdict {
	if x.runs > 0 && v.Execution == verdict.NotRun {
		return v.WithExecution(verdict.MayHaveRun)
	}
	return v
}

// ended returns the verdict of a request whose time is over or whose caller has
// left.
func (x *exchange) ended(ctx context.Context) *verdict.Verdict {
	reason := verdict.ReasonDeadlineExceeded
	switch {
	case x.r.Context().Err() != nil:
		reason = verdict.ReasonCallerGone
	case x.gateway.stopped.Err() != nil:
		reason = verdict.ReasonDraining
	}
	if x.runs > 0 {
		return verdict.Unknown(reason, ctx.Err().Error())
	}
	return verdict.Refuse(reason, ctx.Err().Error())
}

// attempt sends the request to one upstream and delivers its answer.
func (x *exchange) attempt(ctx context.Context, m *member) *verdict.Verdict {
	g := x.gateway
	x.sends++
	x.last = m.upstream.Name
	x.beside = int(m.load.running.Add(1)) - 1
	g.prompts.sent(m.load.index, x.prompt.parts)
	read := x.startReading(m)
	defer read()
	g.wanted.run(x.call.Target, 1)
	defer func() {
		m.load.running.Add(-1)
		g.wanted.run(x.call.Target, -1)
	}()
	answer, err := g.forward.Send(ctx, m.upstream, x.request(m, x.call.LastEvent))
	if err != nil {
		return x.unanswered(ctx, m, err)
	}
	defer answer.Close()
	if answer.Info.NotRun {
		return x.refused(m, answer)
	}
	x.runs++
	v := x.deliver(ctx, m, answer)
	switch {
	case answer.Status >= http.StatusInternalServerError:
		// An application that fails a request says nothing about its upstream.
		x.excluded = append(x.excluded, m.upstream.Name)
	case v != nil && v.Reason == verdict.ReasonCallerGone:
		// The upstream is not to blame.
	case v != nil:
		x.failed(ctx, m)
	default:
		m.load.ended(true, time.Now(), g.health)
	}
	return v
}

// startReading counts the reading of the prompt at an upstream until the
// returned function is called.
func (x *exchange) startReading(m *member) func() {
	reading := int64(time.Duration(x.unread) * x.gateway.selection.PrefillPerToken)
	m.load.reading.Add(reading)
	x.gateway.tell(m, x.prompt, time.Duration(reading))
	x.readDone = sync.OnceFunc(func() { m.load.reading.Add(-reading) })
	return x.readDone
}

// request returns the request as an upstream gets it.
func (x *exchange) request(m *member, lastEvent string) *forward.Request {
	header := x.header.Clone()
	x.gateway.opts.Dialect.AddAttemptHeaders(header, fleet.AttemptInfo{
		Upstream:  m.upstream.Name,
		TimeLeft:  time.Until(x.deadline),
		Priority:  x.route.Priority,
		LastEvent: lastEvent,
	})
	return &forward.Request{
		ID: x.call.ID, Method: x.r.Method, URI: x.r.RequestURI, Host: x.r.Host, Header: header, Body: x.body,
	}
}

// unanswered notes an upstream that gave no answer to a sending.
func (x *exchange) unanswered(ctx context.Context, m *member, err error) *verdict.Verdict {
	v := verdict.Of(err)
	if v.Execution != verdict.NotRun {
		x.runs++
	}
	x.failed(ctx, m)
	return v
}

// failed notes an upstream that gave no proper answer. It counts once a request.
func (x *exchange) failed(ctx context.Context, m *member) {
	if slices.Contains(x.excluded, m.upstream.Name) {
		return
	}
	x.excluded = append(x.excluded, m.upstream.Name)
	if ctx.Err() == nil {
		m.load.ended(false, time.Now(), x.gateway.health)
	}
}

// refused notes an upstream that did not run the request: it is full, or it is
// not the one meant, or it does not hold the model any more.
func (x *exchange) refused(m *member, answer *forward.Answer) *verdict.Verdict {
	x.excluded = append(x.excluded, m.upstream.Name)
	reason := verdict.ReasonShed
	if answer.Status == http.StatusMisdirectedRequest {
		reason = verdict.ReasonNoReplica
	}
	return verdict.Refuse(reason, http.StatusText(answer.Status)).WithRetryAfter(fullRetry)
}

// again decides whether the request is sent once more, and waits before.
func (x *exchange) again(ctx context.Context, v *verdict.Verdict) bool {
	if x.delivered || x.sends >= maxSends || x.runs >= x.route.Attempts {
		return false
	}
	wait, ok := x.gateway.decideRetry(x.service, retry.Attempt{
		Verdict:    v.WithRetryAfter(0),
		Number:     x.sends,
		Repeatable: x.route.Repeatable(),
		Deadline:   x.deadline,
	})
	x.gateway.opts.Logger.Info("attempt failed", "request", x.call.ID, "upstream", x.last, "reason", v.Reason,
		"execution", v.Execution.String(), "detail", v.Detail, "again", ok, "wait", wait)
	if ok {
		x.gateway.opts.Meter.Retry(v.Reason)
	}
	return ok && ctxtime.Sleep(ctx, wait)
}

// countFirst counts a request that earns its service a share of a retry.
func (g *Gateway) countFirst(service state.ServiceName) {
	g.budgets.mu.Lock()
	defer g.budgets.mu.Unlock()
	g.budget(service).RecordRequest()
}

func (g *Gateway) decideRetry(service state.ServiceName, a retry.Attempt) (time.Duration, bool) {
	g.budgets.mu.Lock()
	defer g.budgets.mu.Unlock()
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return g.budget(service).Decide(time.Now(), rng, a)
}

const (
	// budgetShare is the part of the allowed share of retries that is used.
	budgetShare = 0.8
	// fewGateways is how many gateways are assumed at least to share the
	// slack of the retry budget.
	fewGateways = 8
)

// budget returns the retry budget of a service. All gateways share the slack.
func (g *Gateway) budget(service state.ServiceName) *retry.Budget {
	b, ok := g.budgets.byService[service]
	if !ok {
		sharers := max(float64(g.gateways.Load()), fewGateways)
		b = retry.NewBudget(retry.Config{
			Share:       g.opts.RetryShare * budgetShare,
			Burst:       max(g.opts.RetrySlack/(2*sharers), 1),
			MaxAttempts: maxSends,
			BaseDelay:   retryDelay,
		})
		g.budgets.byService[service] = b
	}
	return b
}

// retryDelay is the first delay before a further attempt.
const retryDelay = 10 * time.Millisecond
