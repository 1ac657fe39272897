package gateway

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/lagoonvalve/lagoonvalve/internal/fleet"
	"github.com/lagoonvalve/lagoonvalve/internal/headers"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
	"github.com/lagoonvalve/lagoonvalve/internal/verdict"
)

const (
	// defaultPatience holds for callers that name no deadline.
	defaultPatience = 30 * time.Second
	// endSlack is how long after an upstream's deadline its own last word is
	// waited for.
	endSlack = 100 * time.Millisecond
	// startRetry is when a caller may come back to a gateway that has just
	// started.
	startRetry = 300 * time.Millisecond
)

// exchange is one request of a caller and what became of it.
type exchange struct {
	gateway *Gateway
	w       http.ResponseWriter
	r       *http.Request
	call    fleet.RequestInfo
	route   *fleet.Route
	service state.ServiceName
	header  http.Header
	body    []byte
	began   time.Time
	// deadline is when the caller has to have its answer.
	deadline time.Time

	prompt prompt
	// unread is how many tokens of the prompt the chosen upstream has to read.
	unread fleet.Tokens
	// readDone is called when the prompt has been read.
	readDone func()

	// sends counts the upstreams that were sent the request, and runs those of
	// them that may have run it.
	sends, runs int
	// excluded lists the upstreams that failed or refused it.
	excluded []state.UpstreamName
	// last is the upstream of the last sending.
	last state.UpstreamName
	// waited is the time spent waiting for an upstream that holds the target.
	waited time.Duration
	// first is the time to the first part of the answer, gap the longest pause
	// between two parts, and beside the requests that ran at the upstream from
	// this gateway when it was chosen.
	first, gap time.Duration
	beside     int
	// delivered says that the caller has got a part of the answer.
	delivered bool
	status    int
}

// handle serves a caller's request.
func (g *Gateway) handle(w http.ResponseWriter, r *http.Request) {
	g.open.Add(1)
	defer g.open.Add(-1)
	if g.stopping.Load() != nil {
		w.Header().Set("Connection", "close")
	}
	x := &exchange{gateway: g, w: w, r: r, began: time.Now()}
	if v := x.prepare(); v != nil {
		g.opts.Logger.Info("request refused", "request", x.call.ID, "host", r.Host, "path", r.URL.Path,
			"status", statusOf(v), "reason", v.Reason, "detail", v.Detail)
		x.refuse(v)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), x.deadline.Add(endSlack))
	defer cancel()
	// The end of a planned stop leaves each request the time for a verdict.
	defer context.AfterFunc(g.stopped, cancel)()
	g.wanted.arrived(x.call.Target)
	g.countFirst(x.service)
	v := x.run(ctx)
	x.log(v)
	x.measure(v)
	switch {
	case v == nil:
	case x.delivered:
		// Without the end of the body the caller knows that it is not whole.
		panic(http.ErrAbortHandler)
	default:
		x.refuse(v)
	}
}

// prepare reads the request and finds its route.
func (x *exchange) prepare() *verdict.Verdict {
	g := x.gateway
	var err error
	if x.call, err = g.opts.Dialect.ParseRequest(x.r.Header); err != nil {
		g.opts.Logger.Warn("request headers unread", "request", x.call.ID, "error", err)
	}
	manifest := g.view.Load().manifest
	if manifest == nil {
		return verdict.Refuse(verdict.ReasonNotReady, "no manifest known").WithRetryAfter(startRetry)
	}
	x.route = manifest.Match(x.r.Host, x.r.URL.Path)
	if x.route == nil {
		return verdict.Refuse(verdict.ReasonNotFound, "no route")
	}
	if x.body, err = readBody(x.r, manifest.MaxBody); err != nil {
		return verdict.Of(err)
	}
	// The manifest may have changed while the body came.
	if now := g.view.Load().manifest; now != manifest {
		if x.route = now.Match(x.r.Host, x.r.URL.Path); x.route == nil {
			return verdict.Refuse(verdict.ReasonNotFound, "no route")
		}
	}
	x.service = x.route.ChooseService(rand.Float64())
	patience := x.call.Patience
	if patience <= 0 {
		patience = defaultPatience
	}
	if x.route.Timeout > 0 {
		patience = min(patience, x.route.Timeout)
	}
	x.deadline = x.began.Add(patience)
	if g.refusesNew(x.began, x.deadline) {
		return verdict.Refuse(verdict.ReasonDraining, "planned stop").WithRetryAfter(time.Millisecond)
	}
	x.prompt = newPrompt(&x.call)
	x.header = x.r.Header
	headers.RemoveHopByHop(x.header)
	g.opts.Dialect.Prepare(x.header)
	return nil
}

// readBody reads a whole request body. The error is a verdict.
func readBody(r *http.Request, limit state.Bytes) ([]byte, error) {
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		return nil, nil
	}
	if limit <= 0 {
		limit = defaultMaxBody
	}
	if r.ContentLength > int64(limit) {
		return nil, verdict.Refuse(verdict.ReasonBodyTooLarge, "declared length")
	}
	if r.ContentLength > 0 {
		body := make([]byte, r.ContentLength)
		if _, err := io.ReadFull(r.Body, body); err != nil {
			return nil, verdict.Refuse(verdict.ReasonCallerGone, err.Error())
		}
		// The library watches the connection once the end has been read.
		if _, err := r.Body.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
			return nil, verdict.Refuse(verdict.ReasonBadRequest, "body longer than declared")
		}
		return body, nil
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, int64(limit)+1))
	if err != nil {
		return nil, verdict.Refuse(verdict.ReasonCallerGone, err.Error())
	}
	if len(body) > int(limit) {
		return nil, verdict.Refuse(verdict.ReasonBodyTooLarge, "chunked body")
	}
	return body, nil
}

// defaultMaxBody holds for manifests that set no limit.
const defaultMaxBody = 16 * state.MiB

// log writes the one line that says how a request ended.
func (x *exchange) log(v *verdict.Verdict) {
	attrs := []any{
		"request", x.call.ID, "route", x.route.Name, "service", x.service, "upstream", x.last, "sends", x.sends,
		"may_have_run", x.runs, "waited", x.waited, "took", time.Since(x.began), "first", x.first, "gap", x.gap,
		"beside", x.beside, "status", x.status,
	}
	if x.call.Model != "" {
		attrs = append(attrs, "model", x.call.Model, "adapter", x.call.Adapter)
	}
	if v == nil {
		x.gateway.opts.Logger.Info("request answered", attrs...)
		return
	}
	attrs = append(attrs, "reason", v.Reason, "execution", v.Execution.String(), "detail", v.Detail, "delivered", x.delivered)
	x.gateway.opts.Logger.Info("request failed", attrs...)
}
