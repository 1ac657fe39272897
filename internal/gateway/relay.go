package gateway

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"github.com/lagoonvalve/lagoonvalve/internal/ctxtime"
	"github.com/lagoonvalve/lagoonvalve/internal/decide/retry"
	"github.com/lagoonvalve/lagoonvalve/internal/forward"
	"github.com/lagoonvalve/lagoonvalve/internal/headers"
	"github.com/lagoonvalve/lagoonvalve/internal/ingress"
	"github.com/lagoonvalve/lagoonvalve/internal/sse"
	"github.com/lagoonvalve/lagoonvalve/internal/telemetry"
	"github.com/lagoonvalve/lagoonvalve/internal/verdict"
)

const (
	// maxBufferedResponse is the largest body that is read completely before any
	// of it is delivered.
	maxBufferedResponse = 256 << 10
	streamBufferSize    = 4 << 10
	// unknownLength is the length of a body that declares none.
	unknownLength = -1
	// maxUndeclaredBody bounds a body that declares no length: a faulty upstream
	// may send bytes without end.
	maxUndeclaredBody = 16 << 20
)

// deliver passes an upstream's response on to the caller.
func (x *exchange) deliver(ctx context.Context, m *member, resp *forward.Response) *verdict.Verdict {
	if promisesNotRun(resp.Status) {
		// Passing the status on would promise that the request has not run.
		return verdict.Unknown(verdict.ReasonUpstreamFailed, "status "+strconv.Itoa(resp.Status)+" is not marked as a refusal")
	}
	if resp.Status >= http.StatusInternalServerError && x.route.Repeatable() && x.mayHaveRun < x.route.Attempts {
		x.exclude(m, hasFailed)
		if v := verdict.Unknown(verdict.ReasonUpstreamFailed, "status "+strconv.Itoa(resp.Status)); x.mayBeRetried(v) {
			return v
		}
	}
	if resp.Status == http.StatusOK && sse.IsEventStream(resp.Header) {
		return x.deliverStream(ctx, m, resp)
	}
	return x.deliverBuffered(resp)
}

// promisesNotRun reports whether a status promises that the request has not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// deliverBuffered reads the complete response before it delivers any of it, so that
// a truncated response can still be replaced by a retry.
func (x *exchange) deliverBuffered(resp *forward.Response) *verdict.Verdict {
	body, err := io.ReadAll(io.LimitReader(resp, maxBufferedResponse))
	if err != nil {
		return verdict.Unknown(verdict.ReasonUpstreamFailed, err.Error())
	}
	ingress.Charge(x.r, cap(body))
	if len(body) == maxBufferedResponse {
		return x.deliverLarge(resp, body)
	}
	x.writeHead(resp, len(body))
	// A write error means that the caller has disconnected.
	_, _ = x.w.Write(body)
	x.spill.bytes += int64(len(body))
	return nil
}

// deliverLarge delivers a response that exceeds the buffer and whose first part has
// been read.
func (x *exchange) deliverLarge(resp *forward.Response, first []byte) *verdict.Verdict {
	x.writeHead(resp, int(resp.Length()))
	x.spill.bytes += int64(len(first))
	if _, err := x.w.Write(first); err != nil {
		return verdict.Unknown(verdict.ReasonCallerGone, err.Error())
	}
	if resp.Length() >= 0 {
		// The response ends at its declared length.
		n, err := io.Copy(x.w, resp)
		x.spill.bytes += n
		if err != nil {
			return verdict.Unknown(verdict.ReasonStreamCut, err.Error())
		}
		return nil
	}
	n, err := io.CopyN(x.w, resp, maxUndeclaredBody-int64(len(first)))
	x.spill.bytes += n
	switch {
	case errors.Is(err, io.EOF):
		return nil
	case err != nil:
		return verdict.Unknown(verdict.ReasonStreamCut, err.Error())
	default:
		return verdict.Unknown(verdict.ReasonStreamCut, "body without a declared length exceeds "+strconv.Itoa(maxUndeclaredBody)+" bytes")
	}
}

// writeHead writes the status and the headers of a response to the caller; a
// negative length is unknown.
func (x *exchange) writeHead(resp *forward.Response, length int) {
	h := x.w.Header()
	stopping := h.Get("Connection")
	headers.RemoveHopByHop(resp.Header)
	resp.Header.Del("Content-Length")
	for name, values := range resp.Header {
		h[name] = values
	}
	if _, ok := resp.Header["Content-Type"]; !ok {
		// A nil value keeps net/http from guessing a content type.
		h["Content-Type"] = nil
	}
	if length >= 0 && x.r.Method != http.MethodHead {
		h.Set("Content-Length", strconv.Itoa(length))
	}
	if stopping != "" {
		h.Set("Connection", stopping)
	}
	x.delivered, x.status = true, resp.Status
	x.w.WriteHeader(resp.Status)
}

// deliverStream passes events on as they arrive. If a resumable stream is cut, it
// continues from another upstream; only complete events of such a stream are
// passed on.
func (x *exchange) deliverStream(ctx context.Context, m *member, resp *forward.Response) *verdict.Verdict {
	out := &eventWriter{exchange: x, resp: resp, flusher: http.NewResponseController(x.w)}
	if !x.route.Resumable {
		return out.copy(eventReader(resp, resp.Framed()))
	}
	events := sse.NewEventReader(eventReader(resp, resp.Framed()))
	events.OnGrow = func(bytes int) { ingress.Charge(x.r, bytes) }
	current := resp
	// restExpected means that the stream has more events for certain.
	restExpected := false
	for {
		v := out.copy(events)
		if v == nil {
			current.Close()
			return nil
		}
		// Two upstreams must not work on the request at the same time.
		current.Abort()
		if !x.delivered || v.Reason != verdict.ReasonStreamCut || ctx.Err() != nil {
			return v
		}
		x.recordFailure(ctx, m)
		x.recordLostRun(ctx, m, v)
		next, resumedAt, lastVerdict := x.resume(ctx, events.LastID(), v)
		if next == nil {
			x.gateway.opts.Meter.Resume(telemetry.ResumeFailed)
			return lastVerdict
		}
		x.gateway.opts.Meter.Resume(telemetry.ResumeDone)
		// A stream that was cut before its declared length has more events.
		restExpected = restExpected || current.Length() >= 0
		events.Resume(eventReader(next, next.Framed() && !restExpected))
		current, m, x.servedBy = next, resumedAt, resumedAt
	}
}

// resume requests the rest of a stream, from other upstreams if there are any.
func (x *exchange) resume(ctx context.Context, lastEvent string, v *verdict.Verdict) (*forward.Response, *member, *verdict.Verdict) {
	g := x.gateway
	for lastEvent != "" {
		step, wait := x.decideRetry(v)
		if step == retry.Refuse || step == retry.Again && !ctxtime.Sleep(ctx, wait) {
			break
		}
		m, resp, failure := x.sendRest(ctx, lastEvent)
		if m == nil {
			break
		}
		if failure != nil {
			v = failure
			continue
		}
		if resp.Info.NotRun {
			v = x.handleRefusal(m, resp)
			resp.Close()
			continue
		}
		x.mayHaveRun++
		if resp.Status == http.StatusOK && sse.IsEventStream(resp.Header) {
			g.opts.Logger.Info("stream resumed", "request", x.call.ID, "upstream", m.upstream.Name, "after", lastEvent)
			return resp, m, nil
		}
		resp.Close()
		v = verdict.Unknown(verdict.ReasonStreamCut, "status "+strconv.Itoa(resp.Status)+" in response to a request to resume the stream")
	}
	return nil, nil, v
}

// sendRest requests the rest of a stream from the upstream that is chosen for it. It
// returns no upstream if none can take the request in time, and why the attempt failed if
// it did. If the upstream is not eligible any more right before the send, it chooses again.
func (x *exchange) sendRest(ctx context.Context, lastEvent string) (*member, *forward.Response, *verdict.Verdict) {
	for {
		m, refusal := x.waitForUpstream(ctx)
		if refusal != nil {
			return nil, nil, refusal
		}
		x.startAttempt(m)
		resp, err := x.sendTo(ctx, m, lastEvent)
		if err == nil {
			x.beginSpillAttempt(m)
			return m, resp, nil
		}
		if v := x.handleSendError(ctx, m, err); v != errChooseAgain {
			return m, nil, v
		}
	}
}

// eventReader returns a reader for a stream of events. A stream that ends within an event
// was cut, even if the end of its body is marked by a length or a last chunk. One without
// any event was cut as well, unless mayBeEmpty.
func eventReader(resp *forward.Response, mayBeEmpty bool) io.Reader {
	return &wholeEvents{src: sse.LimitEvents(resp), mayBeEmpty: mayBeEmpty}
}

// wholeEvents reads a stream and checks that it ends after an event.
type wholeEvents struct {
	src io.Reader
	// mayBeEmpty is set if a stream without any event is complete.
	mayBeEmpty bool
	end        sse.EndDetector
}

// Read implements io.Reader. It returns io.ErrUnexpectedEOF if the source ends
// within an event.
func (w *wholeEvents) Read(p []byte) (int, error) {
	n, err := w.src.Read(p)
	w.end.Add(p[:n])
	if errors.Is(err, io.EOF) && !w.ended() {
		return n, io.ErrUnexpectedEOF
	}
	return n, err
}

// ended reports whether the stream so far may be complete.
func (w *wholeEvents) ended() bool {
	if w.end.Empty() {
		return w.mayBeEmpty
	}
	return w.end.AfterEvent()
}

// eventWriter passes a stream on to the caller.
type eventWriter struct {
	exchange *exchange
	resp     *forward.Response
	flusher  *http.ResponseController
	buffer   [streamBufferSize]byte
	// lastWrite is the time of the last write to the caller.
	lastWrite time.Time
}

// recordWrite records the time of a write to the caller; the first one ends the
// prefill.
func (w *eventWriter) recordWrite() {
	now := time.Now()
	w.exchange.recordEvent(now)
	if w.lastWrite.IsZero() {
		w.exchange.firstToken = now.Sub(w.exchange.began)
		w.exchange.prefillDone()
		w.exchange.recordFirstToken(now)
		w.exchange.learnSpeed(now)
	} else {
		w.exchange.maxGap = max(w.exchange.maxGap, now.Sub(w.lastWrite))
	}
	w.lastWrite = now
}

// copy passes all of src on. The head is written with the first part, so that a
// stream that fails earlier can still be replaced by a retry.
func (w *eventWriter) copy(src io.Reader) *verdict.Verdict {
	x := w.exchange
	for {
		n, err := src.Read(w.buffer[:])
		if n > 0 {
			if !x.delivered {
				// With a declared length, a stream that ends within an event would
				// look complete, and a resumed one could not be longer.
				x.writeHead(w.resp, unknownLength)
			}
			x.spill.bytes += int64(n)
			if _, err := x.w.Write(w.buffer[:n]); err != nil {
				return verdict.Unknown(verdict.ReasonCallerGone, err.Error())
			}
			if err := w.flusher.Flush(); err != nil {
				return verdict.Unknown(verdict.ReasonCallerGone, err.Error())
			}
			w.recordWrite()
		}
		switch {
		case err == nil:
		case errors.Is(err, io.EOF):
			if !x.delivered {
				x.writeHead(w.resp, 0)
			}
			return nil
		default:
			return verdict.Unknown(verdict.ReasonStreamCut, err.Error())
		}
	}
}
