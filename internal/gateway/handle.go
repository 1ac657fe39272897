package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/abort"
	"github.com/lagoonvalve/lagoonvalve/internal/decide/quarantine"
	"github.com/lagoonvalve/lagoonvalve/internal/decide/quota"
	"github.com/lagoonvalve/lagoonvalve/internal/decide/retry"
	"github.com/lagoonvalve/lagoonvalve/internal/fleet"
	"github.com/lagoonvalve/lagoonvalve/internal/headers"
	"github.com/lagoonvalve/lagoonvalve/internal/ingress"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
	"github.com/lagoonvalve/lagoonvalve/internal/verdict"
)

const (
	// defaultTimeout applies to callers that set no deadline.
	defaultTimeout = 30 * time.Second
	// deadlineSlack is added to the deadline sent to upstreams, so that an
	// upstream's own deadline response can still arrive.
	deadlineSlack = 100 * time.Millisecond
	// notReadyRetryAfter is the Retry-After sent before the gateway has read a
	// manifest.
	notReadyRetryAfter = 300 * time.Millisecond
)

// exchange is one request of a caller and the state of its processing.
type exchange struct {
	gateway *Gateway
	w       http.ResponseWriter
	r       *http.Request
	call    fleet.RequestInfo
	route   *fleet.Route
	// needsKey is set if the route requires a key of a team. keyHash is the hash of the
	// request's key and team the team that has it; both are nil if no key is required.
	needsKey bool
	keyHash  *fleet.KeyHash
	team     *fleet.Team
	// cost is the request's charge against the team's quota, and tokens its claim to
	// them; nil if the team has no quota.
	cost   float64
	tokens *quota.Ticket
	// priority is that of the team or, if it has none, of the route.
	priority int
	service  state.ServiceName
	// explained is set for a request of Explain, which is assessed but never sent.
	explained bool
	header    http.Header
	body      []byte
	began     time.Time
	// deadline is the time by which the caller needs the response.
	deadline time.Time

	prompt prompt
	// uncachedTokens is the number of prompt tokens that the chosen upstream is
	// expected not to have cached.
	uncachedTokens fleet.Tokens
	// perToken is the expected prefill time of one of them. alone is set if no other
	// prompt was being processed there when the request was sent.
	perToken time.Duration
	alone    bool
	// ranked is the rank of the current attempt among those of other teams.
	ranked rankedAttempt
	// memory is what the current attempt holds of an upstream's memory, and memoryFull
	// is set if the last choice left out upstreams whose memory is full.
	memory     heldMemory
	memoryFull bool
	// waitsForMemory is the request's place among those that wait for memory, nil if
	// it does not.
	waitsForMemory *memoryWaiter
	// memoryFreed is closed when memory has become free since the last choice.
	memoryFreed <-chan struct{}
	// waitsForLoad is the request's place among those that wait for the same model or
	// adapter, nil if it does not.
	waitsForLoad *loadWaiter
	// prefillDone removes the prompt from the upstream's pending prefill work.
	prefillDone func()

	// sends counts the attempts, and mayHaveRun those after which the request may
	// have run.
	sends, mayHaveRun int
	// excluded has the upstreams that failed or refused the request. askAgain means that
	// those that have failed it may get it once more, and repeats is how often one did.
	excluded map[state.UpstreamName]exclusion
	askAgain bool
	repeats  int
	// obstacle is why the request, or the rest of its stream, was not sent again.
	obstacle retry.Obstacle
	// lastUpstream is the upstream of the last attempt.
	lastUpstream state.UpstreamName
	// servedBy is the upstream whose response is delivered, or the last one that has
	// resumed it.
	servedBy *member
	// waited is the time spent waiting for an upstream that holds the target, and
	// permitWait the time spent waiting for permits and for the ends of pauses.
	waited, permitWait time.Duration
	// quotaWait is the time spent waiting for tokens of the team's quota.
	quotaWait time.Duration
	// firstToken is the time to the first part of a streamed response, maxGap the
	// longest gap between two parts, and otherRunning the number of this gateway's
	// other requests running at the upstream when the request was sent.
	firstToken, maxGap time.Duration
	otherRunning       int
	// spill is what spillover has decided for the request.
	spill spillChoice
	// keys are the keys under which crashes of upstreams are attributed.
	keys quarantine.Run
	// firstWrite is when the current attempt wrote its first event to the caller;
	// zero if it has not. sound means that an upstream has written an answer.
	firstWrite time.Time
	sound      bool
	// stopWatch ends the watch for a quarantine during the current attempt.
	stopWatch func()
	// delivered means that part of a response has been written to the caller.
	delivered bool
	status    int
}

// handle serves a caller's request.
func (g *Gateway) handle(w http.ResponseWriter, r *http.Request) {
	g.openRequests.Add(1)
	defer g.openRequests.Add(-1)
	if g.stopBegan.Load() != nil {
		w.Header().Set("Connection", "close")
	}
	x := &exchange{gateway: g, w: w, r: r, began: time.Now()}
	if v := x.prepare(); v != nil {
		g.opts.Logger.Info("request refused", "request", x.call.ID, "host", r.Host, "path", r.URL.Path,
			"status", statusOf(v), "reason", v.Reason, "detail", v.Detail)
		x.refuse(v)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), x.deadline.Add(deadlineSlack))
	defer cancel()
	// Towards the end of a planned stop, cancelling leaves each open request the
	// time to be answered with a verdict.
	defer context.AfterFunc(g.abortCtx, cancel)()
	if v := x.takeTokens(ctx); v != nil {
		x.refuseTokens(v)
		return
	}
	g.demand.recordArrival(x.call.Target)
	g.recordFirstAttempt(x.service)
	x.beginSpill()
	defer x.endSpill()
	v := x.run(ctx)
	x.returnTokens(v)
	x.logResult(v)
	x.recordMetrics(v)
	switch {
	case v == nil:
	case x.delivered:
		abort.Response(w, r)
	default:
		x.refuse(v)
	}
}

// refuseTokens refuses a request that gets no tokens of its team's quota.
func (x *exchange) refuseTokens(v *verdict.Verdict) {
	x.gateway.opts.Logger.Info("request refused", "request", x.call.ID, "route", x.route.Name, "status", statusOf(v), "reason", v.Reason,
		"detail", v.Detail, "team", x.team.Name, "cost", x.cost, "retry_after", v.RetryAfter, "quota_wait", x.quotaWait,
		"controller_age", x.gateway.quotas.sinceAnswer())
	x.recordMetrics(v)
	x.refuse(v)
}

// prepare reads the request, matches its route and sets its deadline. It returns
// a verdict if the request is refused.
func (x *exchange) prepare() *verdict.Verdict {
	g := x.gateway
	var err error
	if x.call, err = g.opts.Dialect.ParseRequest(x.r.Header); err != nil {
		g.opts.Logger.Warn("cannot parse request headers", "request", x.call.ID, "error", err)
	}
	manifest := g.view.Load().manifest
	if manifest == nil {
		return verdict.Refuse(verdict.ReasonNotReady, "no manifest has been read").WithRetryAfter(notReadyRetryAfter)
	}
	if v := x.matchRoute(manifest); v != nil {
		return v
	}
	body, refusal := ingress.ReadBody(x.w, x.r, bodyLimit(manifest), 0)
	if refusal != nil {
		return refusal
	}
	x.body = body
	// The manifest may have changed while the body was read.
	if current := g.view.Load().manifest; current != manifest {
		manifest = current
		if v := x.matchRoute(manifest); v != nil {
			return v
		}
	}
	x.service = x.route.ChooseService(rand.Float64())
	x.setDeadline()
	// The body may have arrived long after the head.
	if g.refusesNew(time.Now(), x.deadline) {
		return refuseStopped()
	}
	x.prompt = newPrompt(&x.call)
	x.keys = x.crashKeys()
	x.header = x.r.Header
	headers.RemoveHopByHop(x.header)
	g.opts.Dialect.Prepare(x.header, manifest.HasTeams())
	return nil
}

// setDeadline sets the deadline by what the caller and the route say.
func (x *exchange) setDeadline() {
	timeout := x.call.Patience
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if x.route.Timeout > 0 {
		timeout = min(timeout, x.route.Timeout)
	}
	x.deadline = x.began.Add(timeout)
}

// matchRoute finds the route and the team of the request. It returns a verdict if the request
// is refused.
func (x *exchange) matchRoute(m *fleet.Manifest) *verdict.Verdict {
	if x.route = m.Match(x.r.Host, x.r.URL.Path); x.route == nil {
		return verdict.Refuse(verdict.ReasonNotFound, "no route matches the host and path")
	}
	return x.identify(m)
}

// bodyLimit returns the limit on the size of a body.
func bodyLimit(manifest *fleet.Manifest) state.Bytes {
	if manifest.MaxBody <= 0 {
		return defaultMaxBody
	}
	return manifest.MaxBody
}

// defaultMaxBody applies to manifests that set no limit.
const defaultMaxBody = 16 * state.MiB

// logResult logs the result of a request in one line.
func (x *exchange) logResult(v *verdict.Verdict) {
	attrs := []any{
		"request", x.call.ID, "route", x.route.Name, "service", x.service, "upstream", x.lastUpstream, "sends", x.sends,
		"may_have_run", x.mayHaveRun, "waited", x.waited, "permit_wait", x.permitWait, "took", time.Since(x.began), "first", x.firstToken, "gap", x.maxGap,
		"beside", x.otherRunning, "status", x.status, "engine_priority", x.ranked.priority, "rank", x.ranked.reason,
	}
	if x.team != nil {
		attrs = append(attrs, "team", x.team.Name, "cost", x.cost, "quota_wait", x.quotaWait)
	}
	if x.call.Model != "" {
		attrs = append(attrs, "model", x.call.Model, "adapter", x.call.Adapter)
	}
	if v == nil {
		x.gateway.opts.Logger.Info("request answered", attrs...)
		return
	}
	attrs = append(attrs, "reason", v.Reason, "execution", v.Execution.String(), "detail", v.Detail, "delivered", x.delivered, "obstacle", x.obstacle, "parts", x.prompt)
	x.gateway.opts.Logger.Info("request failed", attrs...)
}
