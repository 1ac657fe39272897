package entry

import (
	"cmp"
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/decide/admission"
	"github.com/lagoonvalve/lagoonvalve/internal/decide/estimate"
	"github.com/lagoonvalve/lagoonvalve/internal/decide/quarantine"
	"github.com/lagoonvalve/lagoonvalve/internal/decide/retry"
	"github.com/lagoonvalve/lagoonvalve/internal/decide/routing"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
	"github.com/lagoonvalve/lagoonvalve/internal/telemetry"
	"github.com/lagoonvalve/lagoonvalve/internal/verdict"
)

// gateway carries callers' requests. Its methods run on the callers'
// goroutines; it reads the published view of the control state.
type gateway struct {
	cfg    gatewayConfig
	view   func() *view
	claims claimClient
	// kick tells the control side that a target without a ready replica has
	// a new waiting request.
	kick func(target)
	// touch keeps a target's replica set up to date while it is used.
	touch func(target)
	sink  outcomeSink
	// suspects hears of requests that were running in crashed upstreams.
	suspects *suspects
	client   *http.Client
	// onceClient makes a new connection for each request.
	onceClient *http.Client
	loads      loadTable
	routes     routeTable

	nextNumber atomic.Uint64
	waiting    waitingBounds
	// limits replaces those of cfg once it is set.
	limits   atomic.Pointer[requestLimits]
	inFlight inFlight

	mu        sync.Mutex
	limiter   *admission.Limiter
	estimator *estimate.Estimator
	retries   *retry.Budget
	hedges    *routing.HedgeBudget
	volume    *routing.VolumeBudget
	rng       lockedRand
}

type gatewayConfig struct {
	requestLimits
	// scheme is that of agents' URLs; default "http".
	scheme        string
	defaultCaller state.Caller
	// remotes lists the entries of other regions that take requests.
	remotes []remoteEntry
	route   routeConfig
}

// requestLimits bounds a single request.
type requestLimits struct {
	bodyLimit       state.Bytes
	defaultDeadline time.Duration
	// maxDeadline caps the deadline that a request may ask for; default
	// longestDeadline.
	maxDeadline time.Duration
}

// currentLimits returns the limits of the last reload.
func (g *gateway) currentLimits() requestLimits {
	if reloaded := g.limits.Load(); reloaded != nil {
		return *reloaded
	}
	return g.cfg.requestLimits
}

// scheme is that of agents' URLs.
func (g *gateway) scheme() string { return cmp.Or(g.cfg.scheme, "http") }

// outcomeSink hears how each request ended.
type outcomeSink interface {
	ended(e *execution, v *verdict.Verdict)
	// waited hears how long a request waited before it was sent on.
	waited(req *request, d time.Duration)
	// streamed hears the mean time between the parts of a stream.
	streamed(req *request, between time.Duration)
	// coldStarted hears how long the first request for an unloaded model
	// waited for a ready replica.
	coldStarted(t target, d time.Duration)
	ejected(t target, upstream state.UpstreamName, cause telemetry.EjectionCause)
	retried(req *request, reason verdict.Reason)
	hedged(req *request, result telemetry.HedgeResult)
	resumed(result telemetry.ResumeResult)
}

// begin makes the request and takes the view that it is served by.
func (g *gateway) begin(attrs attributes, limits requestLimits) (*view, *request, *verdict.Verdict) {
	req, refusal := newRequest(time.Now(), attrs, limits)
	if refusal != nil {
		return nil, nil, refusal
	}
	current := g.view()
	if refusal := current.unready(); refusal != nil {
		return nil, nil, refusal
	}
	return current, req, nil
}

// serveGeneration answers a completion or chat request.
func (g *gateway) serveGeneration(ctx context.Context, attrs attributes, body io.ReadCloser) error {
	current, req, refusal := g.readGeneration(ctx, attrs, body)
	if refusal != nil {
		return unproved(refusal, attrs)
	}
	return g.serve(ctx, current, attrs, req)
}

func (g *gateway) readGeneration(ctx context.Context, attrs attributes, body io.ReadCloser) (*view, *request, *verdict.Verdict) {
	limits := g.currentLimits()
	current, req, refusal := g.begin(attrs, limits)
	if refusal != nil {
		return nil, nil, refusal
	}
	data, refusal := readBody(ctx, body, limits.bodyLimit)
	if refusal != nil {
		return nil, nil, refusal
	}
	name, refusal := req.readGeneration(data)
	if refusal != nil {
		return nil, nil, refusal
	}
	req.target, refusal = current.resolve(name)
	return current, req, refusal
}

// serveCall answers a call of a plain service.
func (g *gateway) serveCall(ctx context.Context, attrs attributes, name, path string, body io.ReadCloser) error {
	current, req, refusal := g.readCall(ctx, exchangeOf(ctx).request.Method, attrs, name, path, body)
	if refusal != nil {
		return unproved(refusal, attrs)
	}
	return g.serve(ctx, current, attrs, req)
}

func (g *gateway) readCall(ctx context.Context, method string, attrs attributes, name, path string, body io.ReadCloser) (*view, *request, *verdict.Verdict) {
	limits := g.currentLimits()
	current, req, refusal := g.begin(attrs, limits)
	if refusal != nil {
		return nil, nil, refusal
	}
	service, ok := current.service(state.ServiceName(name))
	if !ok {
		return nil, nil, verdict.Refuse(verdict.ReasonUnknownService, "no such service: "+name)
	}
	if req.body, refusal = readBody(ctx, body, limits.bodyLimit); refusal != nil {
		return nil, nil, refusal
	}
	req.target = target{service: service.Name}
	req.idempotent = isIdempotentCall(service, method, path)
	if !req.idempotent && req.key == "" {
		return nil, nil, verdict.Refuse(verdict.ReasonKeyRequired, "this call may not be repeated; send an Idempotency-Key (UUIDv7)")
	}
	return current, req, nil
}

// unproved is a refusal of a request that was not read to its end, or that came
// before this entry knows who owns the claims. An earlier sending with the same
// key may have run.
func unproved(refusal *verdict.Verdict, attrs attributes) *verdict.Verdict {
	if attrs.key == nil || *attrs.key == "" || refusal.Execution != verdict.NotRun {
		return refusal
	}
	return refusal.WithExecution(verdict.MayHaveRun)
}

// serve takes a parsed request through admission, waiting and attempts.
func (g *gateway) serve(ctx context.Context, current *view, attrs attributes, req *request) error {
	entered := g.inFlight.enter()
	if entered {
		defer g.inFlight.leave()
	}
	req.due = req.deadline
	req.deadline = admission.AnswerBy(time.Now(), req.deadline)
	x := exchangeOf(ctx)
	req.method = x.request.Method
	req.path = x.request.URL.Path
	req.query = x.request.URL.RawQuery
	req.header = x.request.Header
	req.number = g.nextNumber.Add(1)
	// The caller is left out: whoever sends a request that crashes upstreams,
	// it crashes them.
	req.fingerprint = quarantine.Fingerprint("", req.method, req.path, req.body)
	if refusal := current.identify(req, attrs, g.cfg.defaultCaller); refusal != nil {
		return unproved(refusal, attrs)
	}
	ctx, release := g.inFlight.withEnd(ctx)
	defer release()
	ctx, cancel := context.WithDeadlineCause(ctx, req.deadline, context.DeadlineExceeded)
	defer cancel()
	e := &execution{gateway: g, request: req, exchange: x}
	var v *verdict.Verdict
	if entered {
		v = e.run(ctx, current)
	} else {
		v = e.aboutWork(verdict.Refuse(verdict.ReasonDraining, "this entry is stopping"))
	}
	g.sink.ended(e, v)
	return e.finish(v)
}

// admit applies the limits and predictions that precede waiting.
func (g *gateway) admit(current *view, req *request) *verdict.Verdict {
	if current.quarantined(req.fingerprint, req.arrived) {
		return verdict.Refuse(verdict.ReasonQuarantined, "this request has crashed upstreams before")
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	refusal := g.limiter.Acquire(req.caller.Name, req.caller.MaxInFlight, state.ModelName(req.target.String()))
	if refusal != nil {
		return refusal
	}
	predicted := g.estimator.Estimate(req.estimateKey(), req.maxTokens)
	req.cost = predicted.Service
	req.long = predicted.Long
	return nil
}

func (g *gateway) release(req *request) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limiter.Release(req.caller.Name, state.ModelName(req.target.String()))
}

// learn updates the estimates after a served request.
func (g *gateway) learn(req *request, tokens int, service time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.estimator.Observe(req.estimateKey(), estimate.Sample{Tokens: tokens, Service: service})
}

// retryAfter decides on a further attempt after v.
func (g *gateway) retryAfter(req *request, v *verdict.Verdict, number int, streamed bool) (time.Duration, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.retries.Decide(time.Now(), g.rng.rand(), retry.Attempt{
		Verdict:    v,
		Number:     number,
		Repeatable: req.idempotent,
		Streamed:   streamed,
		Deadline:   req.deadline,
		Cost:       req.cost,
	})
}

// countAttempt lets a first attempt earn its share of retries and hedges.
func (g *gateway) countAttempt() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.retries.RecordRequest()
	g.hedges.RecordRequest()
}

func (g *gateway) hedgeDelay(expected time.Duration) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.hedges.Delay(expected)
}

// takeHedge takes a hedge to a replica with a slowdown from the budget.
func (g *gateway) takeHedge(req *request, slowdown float64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.hedges.WorthSending(slowdown) && g.hedges.Take(req.idempotent, false)
}

// remoteAllowed reports whether the budget for paid traffic has room.
func (g *gateway) remoteAllowed(now time.Time, volume state.Bytes) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.volume.Allows(now, volume)
}

// spendVolume takes paid traffic that has been sent from the budget.
func (g *gateway) spendVolume(now time.Time, volume state.Bytes) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.volume.Spend(now, volume)
}

func (r *request) estimateKey() estimate.Key {
	return estimate.Key{Model: state.ModelName(r.target.String()), Caller: r.caller.Name}
}

// drain stops taking requests and waits until those in flight have ended or
// ctx does. It returns a channel that is closed once they have.
func (g *gateway) drain(ctx context.Context) (empty <-chan struct{}, drained bool) {
	empty = g.inFlight.close()
	select {
	case <-empty:
		return empty, true
	case <-ctx.Done():
		return empty, false
	}
}
