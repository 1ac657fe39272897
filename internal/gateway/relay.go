package gateway

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"github.com/lagoonvalve/lagoonvalve/internal/decide/retry"
	"github.com/lagoonvalve/lagoonvalve/internal/forward"
	"github.com/lagoonvalve/lagoonvalve/internal/headers"
	"github.com/lagoonvalve/lagoonvalve/internal/sse"
	"github.com/lagoonvalve/lagoonvalve/internal/telemetry"
	"github.com/lagoonvalve/lagoonvalve/internal/verdict"
)

const (
	// wholeAnswer is the largest body that is read whole before any of it is
	// delivered.
	wholeAnswer = 256 << 10
	relayBuffer = 4 << 10
)

// deliver passes an upstream's answer on.
func (x *exchange) deliver(ctx context.Context, m *member, answer *forward.Answer) *verdict.Verdict {
	if isPromise(answer.Status) {
		// The status would say that the request has not run.
		return verdict.Unknown(verdict.ReasonUpstreamFailed, "status "+strconv.Itoa(answer.Status)+" without the mark of a refusal")
	}
	if answer.Status >= http.StatusInternalServerError && x.route.Repeatable() && x.runs < x.route.Attempts {
		if v := verdict.Unknown(verdict.ReasonUpstreamFailed, "status "+strconv.Itoa(answer.Status)); x.mayRepeat(v) {
			return v
		}
	}
	if answer.Status == http.StatusOK && sse.IsEventStream(answer.Header) {
		return x.deliverStream(ctx, m, answer)
	}
	return x.deliverWhole(answer)
}

// isPromise reports whether a status promises that the request has not run.
func isPromise(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// mayRepeat reports whether the budget has room for one more attempt, without
// taking it.
func (x *exchange) mayRepeat(v *verdict.Verdict) bool {
	g := x.gateway
	g.budgets.mu.Lock()
	defer g.budgets.mu.Unlock()
	return g.budget(x.service).Allows(time.Now(), retry.Attempt{
		Verdict: v, Number: x.sends, Repeatable: true, Deadline: x.deadline,
	})
}

// deliverWhole reads the whole answer before it delivers any of it, so that a
// cut answer can still be replaced.
func (x *exchange) deliverWhole(answer *forward.Answer) *verdict.Verdict {
	body, err := io.ReadAll(io.LimitReader(answer, wholeAnswer))
	if err != nil {
		return verdict.Unknown(verdict.ReasonUpstreamFailed, err.Error())
	}
	if len(body) == wholeAnswer {
		return x.deliverLong(answer, body)
	}
	x.writeHead(answer, len(body))
	// A failure means that the caller is gone.
	_, _ = x.w.Write(body)
	return nil
}

// deliverLong passes on an answer whose first part has been read.
func (x *exchange) deliverLong(answer *forward.Answer, first []byte) *verdict.Verdict {
	x.writeHead(answer, int(answer.Length()))
	if _, err := x.w.Write(first); err != nil {
		return verdict.Unknown(verdict.ReasonCallerGone, err.Error())
	}
	if _, err := io.Copy(x.w, answer); err != nil {
		return verdict.Unknown(verdict.ReasonStreamCut, err.Error())
	}
	return nil
}

// writeHead passes the status and the headers of an answer on; a negative
// length is not known.
func (x *exchange) writeHead(answer *forward.Answer, length int) {
	h := x.w.Header()
	stopping := h.Get("Connection")
	headers.RemoveHopByHop(answer.Header)
	answer.Header.Del("Content-Length")
	for name, values := range answer.Header {
		h[name] = values
	}
	if _, ok := answer.Header["Content-Type"]; !ok {
		// The library would guess one.
		h["Content-Type"] = nil
	}
	if length >= 0 && x.r.Method != http.MethodHead {
		h.Set("Content-Length", strconv.Itoa(length))
	}
	if stopping != "" {
		h.Set("Connection", stopping)
	}
	x.delivered, x.status = true, answer.Status
	x.w.WriteHeader(answer.Status)
}

// deliverStream passes events on as they come. A stream that may be resumed
// goes on at another upstream after a cut; of such a stream only whole events
// are passed on.
func (x *exchange) deliverStream(ctx context.Context, m *member, answer *forward.Answer) *verdict.Verdict {
	out := &eventWriter{exchange: x, answer: answer, flusher: http.NewResponseController(x.w)}
	if !x.route.Resumable {
		return out.copy(wholeEvents(answer))
	}
	events := sse.NewEventReader(wholeEvents(answer))
	for {
		v := out.copy(events)
		if v == nil || !x.delivered || v.Reason != verdict.ReasonStreamCut || ctx.Err() != nil {
			return v
		}
		x.failed(ctx, m)
		next, at, again := x.resume(ctx, events.LastID(), v)
		if next == nil {
			x.gateway.opts.Meter.Resume(telemetry.ResumeFailed)
			return again
		}
		x.gateway.opts.Meter.Resume(telemetry.ResumeDone)
		defer next.Close()
		events.Resume(wholeEvents(next))
		m = at
	}
}

// resume asks other upstreams for the rest of a stream.
func (x *exchange) resume(ctx context.Context, lastEvent string, v *verdict.Verdict) (*forward.Answer, *member, *verdict.Verdict) {
	g := x.gateway
	for lastEvent != "" && x.sends < maxSends && x.runs < x.route.Attempts && x.mayRepeat(v) {
		if _, ok := g.decideRetry(x.service, retry.Attempt{
			Verdict: v, Number: x.sends, Repeatable: true, Deadline: x.deadline,
		}); !ok {
			break
		}
		m, refusal := x.place(ctx)
		if refusal != nil {
			break
		}
		x.sends++
		x.last = m.upstream.Name
		answer, err := g.forward.Send(ctx, m.upstream, x.request(m, lastEvent))
		if err != nil {
			v = x.unanswered(ctx, m, err)
			continue
		}
		if answer.Info.NotRun {
			v = x.refused(m, answer)
			answer.Close()
			continue
		}
		x.runs++
		if answer.Status == http.StatusOK && sse.IsEventStream(answer.Header) {
			g.opts.Logger.Info("stream resumed", "request", x.call.ID, "upstream", m.upstream.Name, "after", lastEvent)
			return answer, m, nil
		}
		answer.Close()
		v = verdict.Unknown(verdict.ReasonStreamCut, "status "+strconv.Itoa(answer.Status)+" to a resumption")
	}
	return nil, nil, v
}

// wholeEvents returns a reader of a stream of events. A stream without a marked
// end that ends within an event was cut.
func wholeEvents(answer *forward.Answer) io.Reader {
	if answer.Framed() {
		return answer
	}
	return &unframedEvents{src: answer}
}

// unframedEvents reads events from a connection that ends with them.
type unframedEvents struct {
	src io.Reader
	// tail is the end of what was read.
	tail []byte
}

var eventEnd = []byte("\n\n")

// Read implements io.Reader. It returns io.ErrUnexpectedEOF if the source ends
// within an event.
func (u *unframedEvents) Read(p []byte) (int, error) {
	n, err := u.src.Read(p)
	u.tail = append(u.tail, p[:n]...)
	u.tail = u.tail[max(len(u.tail)-len(eventEnd), 0):]
	if errors.Is(err, io.EOF) && !bytes.Equal(u.tail, eventEnd) {
		return n, io.ErrUnexpectedEOF
	}
	return n, err
}

// eventWriter passes a stream on to the caller.
type eventWriter struct {
	exchange *exchange
	answer   *forward.Answer
	flusher  *http.ResponseController
	buffer   [relayBuffer]byte
	// last is when the caller got the last part.
	last time.Time
}

// passed notes that a part was passed on.
func (w *eventWriter) passed() {
	now := time.Now()
	if w.last.IsZero() {
		w.exchange.first = now.Sub(w.exchange.began)
		w.exchange.readDone()
	} else {
		w.exchange.gap = max(w.exchange.gap, now.Sub(w.last))
	}
	w.last = now
}

// copy passes on all of src. The head goes out with the first part, so that a
// stream that fails before can be replaced.
func (w *eventWriter) copy(src io.Reader) *verdict.Verdict {
	x := w.exchange
	for {
		n, err := src.Read(w.buffer[:])
		if n > 0 {
			if !x.delivered {
				x.writeHead(w.answer, int(w.answer.Length()))
			}
			if _, err := x.w.Write(w.buffer[:n]); err != nil {
				return verdict.Unknown(verdict.ReasonCallerGone, err.Error())
			}
			if err := w.flusher.Flush(); err != nil {
				return verdict.Unknown(verdict.ReasonCallerGone, err.Error())
			}
			w.passed()
		}
		switch {
		case err == nil:
		case errors.Is(err, io.EOF):
			if !x.delivered {
				x.writeHead(w.answer, 0)
			}
			return nil
		default:
			return verdict.Unknown(verdict.ReasonStreamCut, err.Error())
		}
	}
}
