package entry

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"github.com/lagoonvalve/lagoonvalve/internal/decide/routing"
	"github.com/lagoonvalve/lagoonvalve/internal/ingress"
	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
	"github.com/lagoonvalve/lagoonvalve/internal/sse"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
	"github.com/lagoonvalve/lagoonvalve/internal/telemetry"
	"github.com/lagoonvalve/lagoonvalve/internal/verdict"
)

// Headers from an entry to an agent.
const (
	headerRequestID   = "Lagoon-Request-Id"
	headerCaller      = "Lagoon-Caller"
	headerPriority    = "Lagoon-Priority"
	headerDeadline    = "Lagoon-Deadline-Ms"
	headerModel       = "Lagoon-Model"
	headerVersion     = "Lagoon-Version"
	headerAdapter     = "Lagoon-Adapter"
	headerCost        = "Lagoon-Cost-Ms"
	headerLong        = "Lagoon-Long"
	headerClaim       = "Lagoon-Claim"
	headerAgent       = "Lagoon-Agent"
	headerFingerprint = "Lagoon-Fingerprint"
	headerWeight      = "Lagoon-Weight"
	headerStream      = "Lagoon-Stream"
)

// answer is the head of an agent's answer, or the verdict that there is none.
type answer struct {
	replica  rpc.ReplicaAt
	load     *upstreamLoad
	mark     uint64
	sentAt   time.Time
	headAt   time.Time
	response *http.Response
	// failure is set if there is nothing to relay.
	failure *verdict.Verdict
	cancel  context.CancelFunc
}

// close ends the attempt. What has not been read of its answer is dropped and
// the upstream's work is cancelled.
func (a *answer) close() {
	a.cancel()
	if a.response != nil {
		_ = a.response.Body.Close()
	}
	a.load.end(a.mark)
}

// do sends the request to a replica and reads the head of the answer.
func (e *execution) do(ctx context.Context, replica rpc.ReplicaAt, load *upstreamLoad) *answer {
	ctx, cancel := context.WithCancel(ctx)
	a := &answer{replica: replica, load: load, mark: load.begin(), sentAt: time.Now(), cancel: cancel}
	outgoing, err := e.outgoing(ctx, replica)
	if err != nil {
		a.failure = verdict.Refuse(verdict.ReasonBadRequest, "the request can't be sent on")
		return a
	}
	if e.isPaid(replica) {
		e.spendVolume(a.sentAt, state.Bytes(len(e.request.body)))
	}
	response, err := e.clientFor(e.request).Do(outgoing)
	a.headAt = time.Now()
	if err != nil {
		a.failure = e.sendFailure(ctx, err)
		return a
	}
	if !verdict.IsFinalStatus(response.StatusCode) {
		_ = response.Body.Close()
		a.failure = verdict.Unknown(verdict.ReasonUpstreamFailed, "the answer has an invalid HTTP status code")
		return a
	}
	a.response = response
	load.report(a.headAt, response.Header)
	if v, ok := verdict.FromHeaders(response.Header); ok && v.Execution != verdict.Ran {
		v.Detail = refusalText(response.Body)
		a.failure = v
	}
	return a
}

// isPaid reports whether traffic to a replica crosses regions.
func (e *execution) isPaid(replica rpc.ReplicaAt) bool { return replica.Region != e.cfg.route.region }

// clientFor keeps requests that may not be repeated off kept connections:
// net/http sends some requests again when a kept connection turns out to be
// closed.
func (g *gateway) clientFor(req *request) *http.Client {
	if req.idempotent {
		return g.client
	}
	return g.onceClient
}

func (e *execution) outgoing(ctx context.Context, replica rpc.ReplicaAt) (*http.Request, error) {
	req := e.request
	url := e.scheme() + "://" + replica.TrafficAddr + req.path
	if req.query != "" {
		url += "?" + req.query
	}
	outgoing, err := http.NewRequestWithContext(ctx, req.method, url, req.reader())
	if err != nil {
		return nil, errors.Wrap(err, "new request")
	}
	copyHeaders(outgoing.Header, req.header)
	outgoing.Header.Del("Authorization")
	// Only a claim of this entry may reach the agent, and only this entry has
	// passed events of the stream on.
	outgoing.Header.Del(headerClaim)
	outgoing.Header.Del(sse.HeaderLastEventID)
	if e.lastEvent != "" {
		outgoing.Header.Set(sse.HeaderLastEventID, e.lastEvent)
	}
	h := outgoing.Header
	h.Set(headerRequestID, req.id)
	h.Set(headerCaller, string(req.caller.Name))
	h.Set(headerWeight, strconv.Itoa(req.caller.Weight))
	h.Set(headerPriority, req.class.String())
	h.Set(headerDeadline, strconv.FormatInt(max(1, time.Until(req.deadline).Milliseconds()), 10))
	h.Set(headerModel, string(req.target.key.Model))
	h.Set(headerVersion, string(req.target.key.Version))
	h.Set(headerAdapter, string(req.target.adapter))
	h.Set(headerCost, strconv.FormatInt(req.cost.Milliseconds(), 10))
	h.Set(headerStream, strconv.FormatBool(req.stream))
	h.Set(headerLong, strconv.FormatBool(req.long))
	h.Set(headerFingerprint, strconv.FormatUint(req.fingerprint, 16))
	h.Set(headerAgent, strconv.FormatInt(int64(replica.Agent), 10))
	if e.claim != "" {
		h.Set(headerClaim, e.claim)
	}
	if e.forwarded {
		h.Set(headerForwarded, string(e.cfg.route.region))
	}
	return outgoing, nil
}

// sendFailure judges an attempt that got no answer. Only a connection that
// was never made shows that nothing ran.
func (e *execution) sendFailure(ctx context.Context, err error) *verdict.Verdict {
	var op *net.OpError
	dialFailed := errors.As(err, &op) && op.Op == "dial"
	switch {
	case dialFailed && ctx.Err() == nil:
		return verdict.Refuse(verdict.ReasonUpstreamFailed, "the upstream's agent can't be reached")
	case ctx.Err() != nil:
		reason, why := endOf(ctx)
		return verdict.Unknown(reason, why+" before the answer")
	default:
		return verdict.Unknown(verdict.ReasonUpstreamFailed, "the connection to the upstream's agent broke")
	}
}

// refusalText reads the message of an agent's refusal.
func refusalText(body io.Reader) string {
	var parsed verdict.Body
	if decodeJSON(io.LimitReader(body, keptAnswer), &parsed) != nil {
		return ""
	}
	return parsed.Error.Message
}

// hedged sends an idempotent request and, if its first token is late, once
// more elsewhere. The first usable answer is relayed and the other cancelled.
func (e *execution) hedged(ctx context.Context, replica rpc.ReplicaAt, load *upstreamLoad) *verdict.Verdict {
	answers := make(chan *answer, 2)
	send := func(replica rpc.ReplicaAt, load *upstreamLoad) (cancel context.CancelFunc) {
		ctx, cancel := context.WithCancel(ctx)
		go func() { answers <- e.do(ctx, replica, load) }()
		return cancel
	}
	cancels := []context.CancelFunc{send(replica, load)}
	defer func() {
		for _, cancel := range cancels {
			cancel()
		}
	}()
	late := e.hedgeTimer(replica.Upstream)
	defer late.Stop()
	var hedge state.UpstreamName
	for outstanding := 1; ; {
		select {
		case <-late.C:
			e.noteEjection(replica.Upstream, e.route.pending(time.Now(), replica.Upstream, time.Since(e.request.arrived), e.request))
			if second, secondLoad, ok := e.hedgeTarget(replica.Upstream); ok {
				cancels = append(cancels, send(second, secondLoad))
				outstanding++
				hedge = second.Upstream
			}
		case a := <-answers:
			outstanding--
			if a.failure != nil && outstanding > 0 {
				e.noteFailure(a)
				a.close()
				continue
			}
			go discard(answers, outstanding)
			e.countHedge(hedge, a)
			return e.relay(ctx, a)
		}
	}
}

// countHedge counts which attempt of a hedged request won.
func (e *execution) countHedge(hedge state.UpstreamName, a *answer) {
	switch {
	case hedge == "":
	case a.failure != nil:
		e.sink.hedged(e.request, telemetry.HedgeBothLost)
	case a.replica.Upstream == hedge:
		e.sink.hedged(e.request, telemetry.HedgeSecondWon)
	default:
		e.sink.hedged(e.request, telemetry.HedgeFirstWon)
	}
}

// hedgeTimer fires when the first token of an attempt is late enough for a
// hedge; without a measurement it does not.
func (e *execution) hedgeTimer(upstream state.UpstreamName) *time.Timer {
	expected, known := e.route.expectedFirst(upstream, e.request)
	if !known || !e.request.stream {
		timer := time.NewTimer(time.Hour)
		timer.Stop()
		return timer
	}
	return time.NewTimer(e.hedgeDelay(expected))
}

func (e *execution) hedgeTarget(tried state.UpstreamName) (rpc.ReplicaAt, *upstreamLoad, bool) {
	second, load, ok := e.route.pick(time.Now(), e.request, &e.cfg.route, tried, false)
	if !ok || second.Upstream == tried || !e.takeHedge(e.request, e.route.slowdown(&second, e.request)) {
		return rpc.ReplicaAt{}, nil, false
	}
	return second, load, true
}

// discard closes the answers of attempts that lost against a hedge.
func discard(answers <-chan *answer, outstanding int) {
	for range outstanding {
		a := <-answers
		a.close()
	}
}

// noteFailure records an attempt without an answer.
func (e *execution) noteFailure(a *answer) {
	if a.failure.Reason == verdict.ReasonUpstreamCrashed {
		e.suspects.crashed(e.request.fingerprint, a.replica.Upstream)
	}
	switch {
	case a.failure.Execution == verdict.MayHaveRun:
		e.mayHaveRun = true
	case a.failure.Reason == verdict.ReasonNoReplica, a.failure.Reason == verdict.ReasonDraining,
		a.failure.Reason == verdict.ReasonUpstreamFailed:
		e.route.dropReplica(a.replica.Upstream, &e.loads)
		e.kick(e.request.target)
	}
}

// relay passes an answer on to the caller and judges it.
func (e *execution) relay(ctx context.Context, a *answer) *verdict.Verdict {
	defer func() { a.close() }()
	if a.failure != nil {
		e.noteFailure(a)
		return a.failure
	}
	w := e.exchange.answer
	copyHeaders(w.Header(), a.response.Header)
	w.Header().Del(headerLoad)
	w.Header().Set(headerRequestID, e.request.id)
	w.override = a.response.StatusCode
	watch := &tokenWatch{started: a.sentAt, kept: &e.kept, keep: e.claim != ""}
	var body io.Reader = a.response.Body
	events := sse.NewEventReader(body)
	events.OnGrow = func(bytes int) { ingress.Charge(e.exchange.request, bytes) }
	if sse.IsEventStream(a.response.Header) {
		body = events
	}
	var size int64
	pass := func() *verdict.Verdict {
		n, err := relayBody(w, io.TeeReader(body, watch), watch)
		size += n
		whole := size == a.response.ContentLength || sse.IsEventStream(a.response.Header) && watch.end.Seen()
		return streamVerdict(ctx, a.response.Trailer, whole, err)
	}
	v := pass()
	for ctx.Err() == nil && events.LastID() != "" && e.mayResume(v) {
		rest := e.resume(ctx, a, events.LastID())
		if rest == nil {
			break
		}
		a.close()
		a = rest
		events.Resume(a.response.Body)
		v = pass()
	}
	if e.isPaid(a.replica) {
		e.spendVolume(time.Now(), state.Bytes(size))
	}
	if v.Reason == verdict.ReasonUpstreamCrashed {
		e.suspects.crashed(e.request.fingerprint, a.replica.Upstream)
	}
	if v.Execution != verdict.Ran {
		return v
	}
	e.suspects.completed(e.request.fingerprint)
	w.start()
	setTrailers(w.Header(), v)
	if e.lastEvent == "" {
		// The pause of a resumed stream is not the upstream's latency.
		e.learnFrom(a, watch, size)
	}
	return v
}

// setTrailers sends v after the body, where its outcome is known.
func setTrailers(h http.Header, v *verdict.Verdict) {
	h.Set(http.TrailerPrefix+verdict.HeaderVerdict, v.Execution.String())
	h.Set(http.TrailerPrefix+verdict.HeaderReason, string(v.Reason))
}

func (e *execution) learnFrom(a *answer, watch *tokenWatch, size int64) {
	now := time.Now()
	total := now.Sub(a.sentAt)
	if a.response.StatusCode >= http.StatusBadRequest {
		return
	}
	e.firstToken = watch.first
	if e.isPaid(a.replica) {
		return
	}
	if e.request.stream {
		e.noteEjection(a.replica.Upstream, e.route.observe(now, a.replica.Upstream, watch.first, watch.between(), e.request))
		if between := watch.between(); between > 0 {
			e.sink.streamed(e.request, between)
		}
	} else {
		e.noteEjection(a.replica.Upstream, e.route.observe(now, a.replica.Upstream, scaleWhole(total, size), 0, e.request))
	}
	e.learn(e.request, watch.chunks, total)
}

// noteEjection passes on that an upstream was ejected.
func (e *execution) noteEjection(upstream state.UpstreamName, ejection routing.Ejection) {
	switch ejection {
	case routing.NotEjected:
	case routing.EjectedFirstToken:
		e.sink.ejected(e.route.target, upstream, telemetry.EjectedFirstToken)
	case routing.EjectedBetweenTokens:
		e.sink.ejected(e.route.target, upstream, telemetry.EjectedBetweenTokens)
	}
}

// wholeReference is the answer size at which the latencies of whole answers
// are compared. Without scaling, one long answer would make its upstream look
// like a straggler.
const wholeReference = 256

func scaleWhole(total time.Duration, size int64) time.Duration {
	return time.Duration(float64(total) * wholeReference / float64(wholeReference+size))
}
