package agent_test

import (
	"io"
	"net/http"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// Guards against a stream that has lost its end and is taken for whole, with the verdict
// "ran", since its body ends as usual. Streams of engines end with their end mark, those
// of plain services after an event.
func TestStreamThatEndsEarly(t *testing.T) {
	const (
		ran        = "ran"
		mayHaveRun = "may-have-run"
	)
	for body, want := range map[string]struct{ engine, service string }{
		"data: 1\n\ndata: [DONE]\n\n": {ran, ran},
		"data: 1\n\n":                 {mayHaveRun, ran},
		"data: 1\n\ndata: [DO":        {mayHaveRun, mayHaveRun},
		"data: 1\n\ndata: 2\n":        {mayHaveRun, mayHaveRun},
		"":                            {mayHaveRun, ran},
	} {
		for _, chunks := range []bool{true, false} {
			serve := func(out http.ResponseWriter, _ *http.Request) {
				out.Header().Set("Content-Type", "text/event-stream")
				if chunks {
					_ = http.NewResponseController(out).Flush()
				}
				_, _ = io.WriteString(out, body)
			}
			inBubble(t, func(w *world) {
				w.awake()
				w.engine.handle(serve)
				got := w.request(anyone)
				w.Expect(got.body).To(Equal(body))
				w.Expect(got.trailer.Get("Lagoon-Verdict")).To(Equal(want.engine), "engine, chunks %v: %q", chunks, body)
			})
			inBubble(t, func(w *world) {
				w.cfg.Upstream.Kind = state.PlainService
				w.start()
				w.engine.handle(serve)
				got := w.requestPath(anyone, "/v1/services/orders")
				w.Expect(got.body).To(Equal(body))
				w.Expect(got.trailer.Get("Lagoon-Verdict")).To(Equal(want.service), "service, chunks %v: %q", chunks, body)
			})
		}
	}
}

// Guards against a request on the connection of a stream that was cut. The upstream has
// written the end of the body, but need not serve that connection any more: the request is
// lost there, and one that must not run twice can't be sent again.
func TestNoRequestFollowsACutStreamOnItsConnection(t *testing.T) {
	const cut = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: 13\r\n\r\ndata: 1\n\ndata"
	inBubble(t, func(w *world) {
		w.awake()
		var reused atomic.Bool
		w.engine.handle(func(out http.ResponseWriter, _ *http.Request) {
			conn, buffered, err := out.(http.Hijacker).Hijack()
			if err != nil {
				return
			}
			defer func() { _ = conn.Close() }()
			_, _ = io.WriteString(conn, cut)
			if _, err := buffered.ReadByte(); err == nil {
				reused.Store(true)
			}
		})
		got := w.request(anyone)
		w.Expect(got.trailer.Get("Lagoon-Verdict")).To(Equal("may-have-run"))
		w.engine.handle(func(out http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(out, "answer") })
		w.Expect(w.request(anyone).verdict()).To(Equal("ran"))
		w.Expect(reused.Load()).To(BeFalse())
	})
}
