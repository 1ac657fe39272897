package agent

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	decide "github.com/lagoonvalve/lagoonvalve/internal/decide/claims"
	"github.com/lagoonvalve/lagoonvalve/internal/headers"
	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
	"github.com/lagoonvalve/lagoonvalve/internal/sse"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
	"github.com/lagoonvalve/lagoonvalve/internal/verdict"
)

const (
	copyBuffer = 16 << 10
	// wholeAnswer bounds the answers that are read to their end before the
	// first byte is passed on, so that their verdict is known by then.
	wholeAnswer = 16 << 10
)

var copyBuffers = sync.Pool{New: func() any { return new([copyBuffer]byte) }}

// run sends the request to the upstream and relays the answer.
func (a *Agent) run(w http.ResponseWriter, r *http.Request, c *call) {
	ctx, cancel := a.runContext(r.Context(), c)
	defer cancel(nil)
	_ = http.NewResponseController(w).SetWriteDeadline(c.item.Deadline.Add(writeGrace))
	started := a.crashes.start()
	defer a.crashes.finish(started)
	var sent atomic.Bool
	arrived := func() {}
	if c.stream {
		var abandoned func()
		arrived, abandoned = a.dispatcher.pace.firstToken(len(c.body))
		defer abandoned()
	}
	resp, err := a.transport.RoundTrip(a.outgoing(ctx, r, c, &sent))
	if err != nil {
		a.fail(ctx, w, c, started, sent.Load(), err)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	if !verdict.IsFinalStatus(resp.StatusCode) {
		a.fail(ctx, w, c, started, true, errors.Errorf("invalid HTTP status code %d", resp.StatusCode))
		return
	}
	short := resp.ContentLength >= 0 && resp.ContentLength <= wholeAnswer || resp.Body == http.NoBody
	if short && !sse.IsEventStream(resp.Header) {
		a.relayWhole(ctx, w, c, started, resp)
		return
	}
	a.relayStream(ctx, w, c, started, resp, arrived)
}

// runContext ends the run at its deadline, at shutdown and when the caller
// leaves. Claimed work goes on without its caller, so that a resend finds a
// definite outcome.
func (a *Agent) runContext(caller context.Context, c *call) (context.Context, context.CancelCauseFunc) {
	base := caller
	if c.claimed {
		base = context.WithoutCancel(caller)
	}
	ctx, cancel := context.WithCancelCause(base)
	timer := time.AfterFunc(time.Until(c.item.Deadline), func() { cancel(errDeadline) })
	stopWatch := context.AfterFunc(a.shutdown, func() { cancel(errShutdown) })
	return ctx, func(cause error) {
		timer.Stop()
		stopWatch()
		cancel(cause)
	}
}

// onceBody is a request body that net/http can't rewind. Without it the
// transport would send a GET, or a request with an Idempotency-Key, a second
// time after a broken connection.
type onceBody struct{ bytes.Reader }

func (*onceBody) Close() error { return nil }

func (a *Agent) outgoing(ctx context.Context, r *http.Request, c *call, sent *atomic.Bool) *http.Request {
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	out := r.Clone(httptrace.WithClientTrace(ctx, trace))
	out.URL.Scheme = a.base.Scheme
	out.URL.Host = a.base.Host
	out.URL.Path = a.base.Path + r.URL.Path
	out.URL.RawPath = ""
	out.Host = a.base.Host
	out.RequestURI = ""
	out.Close = false
	out.Trailer = nil
	out.TransferEncoding = nil
	headers.RemoveHopByHop(out.Header)
	for _, name := range ownHeaders {
		out.Header.Del(name)
	}
	left := max(time.Until(c.item.Deadline).Milliseconds(), 1)
	out.Header.Set(HeaderDeadline, strconv.FormatInt(left, 10))
	body := &onceBody{}
	body.Reset(c.body)
	out.Body = body
	out.ContentLength = int64(len(c.body))
	out.GetBody = nil
	return out
}

// ownHeaders concern the agent, not the upstream.
var ownHeaders = []string{HeaderAgent, HeaderClaim, HeaderCost, HeaderLong, HeaderFingerprint, HeaderCaller, HeaderStream, HeaderWeight}

// copyAnswerHeaders copies what the upstream answered, without headers that
// only the agent may set.
func (a *Agent) copyAnswerHeaders(to, from http.Header) {
	headers.RemoveHopByHop(from)
	for name, values := range from {
		if !strings.HasPrefix(name, "Lagoon-") {
			to[name] = values
		}
	}
	a.setLoad(to)
}

// codeNotLoaded is the error code of an engine that does not have the model of
// a request loaded. Nothing has been run then.
const codeNotLoaded = `"model_not_loaded"`

// refuses reports whether an answer says that the engine does not have the model: it has
// restarted or evicted it since its last listing, and has run nothing.
func (a *Agent) refuses(status int, body []byte) bool {
	return !a.service && status == http.StatusNotFound && bytes.Contains(body, []byte(codeNotLoaded))
}

// readWhole reads an answer of known length into body and returns its verdict. Of a
// refusal the last byte is not read, so that net/http closes the connection: the engine
// may write it once more, and an answer has no id of the request that it belongs to.
func (a *Agent) readWhole(resp *http.Response, body []byte) (*verdict.Verdict, error) {
	last := max(len(body)-1, 0)
	if _, err := io.ReadFull(resp.Body, body[:last]); err != nil {
		return nil, err
	}
	if a.refuses(resp.StatusCode, body[:last]) {
		return verdict.Refuse(verdict.ReasonNoReplica, "the engine does not have the model loaded"), nil
	}
	_, err := io.ReadFull(resp.Body, body[last:])
	return verdict.OfStatus(resp.StatusCode), err
}

// fail answers a request for which no whole answer arrived and nothing was
// passed on.
func (a *Agent) fail(ctx context.Context, w http.ResponseWriter, c *call, started *engineRun, sent bool, err error) {
	v, suspects := a.explain(ctx, started, sent, err)
	a.endClaim(c, v, nil, 0, "")
	c.setSuspects(w.Header(), suspects)
	a.refuse(w, v)
}

// explain returns why a run failed and how many requests are suspected of having
// crashed the engine.
func (a *Agent) explain(ctx context.Context, started *engineRun, sent bool, err error) (*verdict.Verdict, int) {
	cause := context.Cause(ctx)
	execution := verdict.MayHaveRun
	if !sent {
		execution = verdict.NotRun
	}
	v := &verdict.Verdict{Execution: execution}
	switch {
	case errors.Is(cause, errDeadline):
		v.Reason, v.Detail = verdict.ReasonDeadlineExceeded, "the deadline passed during the run"
	case errors.Is(cause, errShutdown):
		v.Reason, v.Detail = verdict.ReasonDraining, "the agent stopped before the end of the run"
	case cause != nil:
		v.Reason, v.Detail = verdict.ReasonCallerGone, "the caller left"
	case !sent:
		v.Reason, v.Detail = verdict.ReasonUpstreamFailed, "no connection to the upstream"
	default:
		a.deps.Logger.Warn("the upstream's answer broke off", "error", err)
		if suspects := a.crashes.broken(ctx, started); suspects > 0 {
			v.Reason, v.Detail = verdict.ReasonUpstreamCrashed, "the engine crashed"
			return v, suspects
		}
		v.Reason, v.Detail = verdict.ReasonStreamCut, "the upstream's answer broke off or never came"
	}
	return v, 0
}

// relayWhole reads a short answer to its end before it passes it on.
func (a *Agent) relayWhole(ctx context.Context, w http.ResponseWriter, c *call, started *engineRun, resp *http.Response) {
	var body []byte
	if resp.Body != http.NoBody {
		body = make([]byte, resp.ContentLength)
	}
	v, err := a.readWhole(resp, body)
	if err != nil {
		a.fail(ctx, w, c, started, true, err)
		return
	}
	if v.Execution == verdict.NotRun {
		a.endClaim(c, v, nil, 0, "")
		a.refuse(w, v)
		return
	}
	a.endClaim(c, v, body, resp.StatusCode, resp.Header.Get("Content-Type"))
	a.copyAnswerHeaders(w.Header(), resp.Header)
	v.SetHeaders(w.Header())
	w.WriteHeader(resp.StatusCode)
	// A write error has no recipient but the entry that left.
	_, _ = w.Write(body)
}

// relayStream passes an answer on as it arrives. Its verdict follows in the
// trailer. A broken event stream ends without its end mark and with a trailer
// that marks it as cut; any other broken answer ends the connection.
func (a *Agent) relayStream(ctx context.Context, w http.ResponseWriter, c *call, started *engineRun, resp *http.Response, arrived func()) {
	h := w.Header()
	a.copyAnswerHeaders(h, resp.Header)
	events := sse.IsEventStream(resp.Header)
	// An event stream loses its declared length so that a trailer can follow.
	if events {
		h.Del("Content-Length")
	}
	trailers := events || resp.ContentLength < 0
	if trailers {
		h["Trailer"] = []string{verdict.HeaderVerdict, verdict.HeaderReason, HeaderSuspects, HeaderFingerprint}
	}
	w.WriteHeader(resp.StatusCode)
	kept, err := a.copyAnswer(w, resp, events, arrived)
	if err == nil {
		v := verdict.OfStatus(resp.StatusCode)
		a.endClaim(c, v, kept, resp.StatusCode, resp.Header.Get("Content-Type"))
		if trailers {
			v.SetHeaders(h)
		}
		return
	}
	a.deps.Counters.Add("agent_streams_cut_total", 1)
	v, suspects := a.explain(ctx, started, true, err)
	a.endClaim(c, v, nil, 0, "")
	if !events {
		panic(http.ErrAbortHandler)
	}
	v.SetHeaders(h)
	c.setSuspects(h, suspects)
}

// setSuspects sets the headers of a request that ran, with others, when the engine crashed.
func (c *call) setSuspects(h http.Header, suspects int) {
	if suspects == 0 {
		return
	}
	h.Set(HeaderSuspects, strconv.Itoa(suspects))
	if c.fingerprint != "" {
		h.Set(HeaderFingerprint, c.fingerprint)
	}
}

// errWrite wraps a failed write to the entry.
var errWrite = errors.New("entry closed the connection")

// copyAnswer passes the body on with a flush after each read. It returns the
// body if it is short enough to be kept, and calls arrived at the first part.
func (a *Agent) copyAnswer(w http.ResponseWriter, resp *http.Response, events bool, arrived func()) ([]byte, error) {
	buf := copyBuffers.Get().(*[copyBuffer]byte)
	defer copyBuffers.Put(buf)
	control := http.NewResponseController(w)
	kept := keptAnswer{limit: int(decide.MaxKeptAnswer)}
	var end sse.EndDetector
	for {
		n, err := resp.Body.Read(buf[:])
		if n > 0 {
			arrived()
			kept.add(buf[:n])
			end.Add(buf[:n])
			if _, writeErr := w.Write(buf[:n]); writeErr != nil {
				return nil, errors.Wrap(errWrite, writeErr.Error())
			}
			// A full buffer of an answer of known length is seldom the end
			// of what has arrived.
			if err == nil && n == len(buf) && resp.ContentLength > 0 && !events {
				continue
			}
			if flushErr := control.Flush(); flushErr != nil {
				return nil, errors.Wrap(errWrite, flushErr.Error())
			}
		}
		whole := events && end.Seen()
		switch {
		case errors.Is(err, io.EOF):
			err := a.checkEnd(resp, events, &end)
			if err != nil {
				a.closeIdle()
			}
			return kept.bytes(), err
		case err != nil && whole:
			// Many callers close the connection at the last event.
			return kept.bytes(), nil
		case err != nil:
			return nil, err
		}
	}
}

// keptAnswer holds an answer as long as it is short.
type keptAnswer struct {
	limit int
	data  []byte
	long  bool
}

func (k *keptAnswer) add(p []byte) {
	if k.long || len(k.data)+len(p) > k.limit {
		k.long, k.data = true, nil
		return
	}
	k.data = append(k.data, p...)
}

func (k *keptAnswer) bytes() []byte {
	if k.long {
		return nil
	}
	if k.data == nil {
		return []byte{}
	}
	return k.data
}

// closeIdle closes the idle connections to the upstream. After an answer that is not whole,
// the upstream may have left its connection, and a request that is sent there is lost.
func (a *Agent) closeIdle() { (&http.Client{Transport: a.transport}).CloseIdleConnections() }

// checkEnd returns an error for an answer whose end does not show that it is whole. A
// stream of an engine ends with its end mark, and that of a plain service after an event;
// other answers end at their length or their last chunk.
func (a *Agent) checkEnd(resp *http.Response, events bool, end *sse.EndDetector) error {
	delimited := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 || resp.ProtoMajor >= 2
	switch {
	case events && end.Seen():
		return nil
	case events && !a.service:
		return errors.New("the stream has no end mark")
	case events && !end.Empty() && !end.AfterEvent():
		return errors.New("the stream ends within an event")
	case !delimited:
		return errors.New("the answer has no declared end")
	default:
		return nil
	}
}

// endClaim records the outcome of a claimed request.
func (a *Agent) endClaim(c *call, v *verdict.Verdict, answer []byte, status int, contentType string) {
	if !c.claimed {
		return
	}
	switch {
	case v.Execution == verdict.NotRun:
		a.claims.end(c.claim, rpc.ClaimRefused, nil)
	case status == 0:
		a.claims.end(c.claim, rpc.ClaimUnknown, nil)
	default:
		done := &state.ClaimDone{Claim: c.claim.String(), Status: status, ContentType: contentType}
		if answer != nil && len(answer) <= int(decide.MaxKeptAnswer) {
			done.Answer, done.AnswerKept = answer, true
		}
		a.claims.end(c.claim, rpc.ClaimRan, done)
	}
}
