package agent_test

import (
	"io"
	"net/http"
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
