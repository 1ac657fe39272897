package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lagoonvalve/lagoonvalve/internal/fleet"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// Guards against an upstream's error in the middle of a stream, or a stream that ends as
// if it were complete, when the upstream that is asked to resume a cut stream answers
// with anything but its rest.
func TestErrorInPlaceOfTheRestOfAStream(t *testing.T) {
	const (
		text  = "upstream is broken\n\n"
		begun = "id: 1\ndata: 1\n\nid: 2\ndata: 4\n\n"
	)
	status := func(code int, contentType string, header ...string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", contentType)
			for _, name := range header {
				w.Header().Set(name, "1")
			}
			w.WriteHeader(code)
			_, _ = io.WriteString(w, text)
		}
	}
	raw := func(format string, args ...any) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			conn, _, err := w.(http.Hijacker).Hijack()
			if err != nil {
				return
			}
			_, _ = fmt.Fprintf(conn, format, args...)
			_ = conn.Close()
		}
	}
	const head = "HTTP/1.1 200 OK\r\nId: request-1\r\nMark: b\r\nContent-Type: text/event-stream\r\n"
	for name, next := range map[string]http.HandlerFunc{
		"failure":                   status(http.StatusInternalServerError, "text/plain"),
		"failure as a stream":       status(http.StatusInternalServerError, "text/event-stream"),
		"unmarked 503":              status(http.StatusServiceUnavailable, "text/plain"),
		"refusal":                   status(http.StatusServiceUnavailable, "text/event-stream", "Not-Run"),
		"not found":                 status(http.StatusNotFound, "text/plain"),
		"success that is no stream": status(http.StatusOK, "text/plain"),
		"text as a stream":          status(http.StatusOK, "text/event-stream"),
		"text without length":       raw(head + "\r\n" + text),
		"head in the stream":        raw("%s\r\nHTTP/1.1 500 Internal Server Error\r\n\r\n%s", head, text),
		"head in a chunk":           raw("%sTransfer-Encoding: chunked\r\n\r\n1e\r\nHTTP/1.1 500 Internal Error\n\n\r\n0\r\n\r\n", head),
		"no response":               raw("%s", text),
		"closed":                    raw(""),
		"text within an event":      raw("%sContent-Length: 5\r\n\r\nerror", head),
		"the stream from its start": func(w http.ResponseWriter, _ *http.Request) { events(w, 1, 4, false) },
		"the last event once more":  func(w http.ResponseWriter, _ *http.Request) { events(w, 2, 4, false) },
	} {
		t.Run(name, func(t *testing.T) {
			s := start(t)
			s.routes(1)
			var resumes atomic.Int32
			serve := func(w http.ResponseWriter, r *http.Request) {
				switch {
				case r.URL.Path == "/any/0":
				case r.Header.Get("After") != "":
					resumes.Add(1)
					next(w, r)
				default:
					events(w, 1, 2, true)
				}
			}
			s.pair(serve)
			got := s.request(t.Context(), "/resume/1", nil)
			s.g.Expect(resumes.Load()).To(BeNumerically(">=", 1))
			s.g.Expect(got.body).To(Equal(begun))
			s.g.Expect(got.err).To(MatchError(io.ErrUnexpectedEOF))
		})
	}
}

// spendRetries leaves the retry budget with just enough for one retry of the next request.
func (s *system) spendRetries(received *atomic.Int32) {
	s.t.Helper()
	requestUntil := func(retried bool) {
		for range 100 {
			before := received.Load()
			s.request(s.t.Context(), "/any/fail", nil)
			if received.Load()-before > 1 == retried {
				return
			}
		}
		s.t.Fatal("the retry budget does not behave as expected")
	}
	requestUntil(false)
	requestUntil(true)
	// Each request adds 0.16.
	for range 6 {
		s.request(s.t.Context(), "/any/0", nil)
	}
}

// Guards against a request that is sent once more from its start after part of its stream
// has been delivered: the upstream for the rest was not eligible any more right before the
// send, and the retry budget allowed no other one.
func TestRestIsNotSentToAnIneligibleUpstream(t *testing.T) {
	s := start(t)
	s.routes(1)
	var received, begun atomic.Int32
	serve := func(w http.ResponseWriter, r *http.Request) {
		received.Add(1)
		switch {
		case r.URL.Path == "/any/fail":
			w.WriteHeader(http.StatusInternalServerError)
		case r.URL.Path != "/resume/1":
		case r.Header.Get("After") != "":
			events(w, 3, 4, false)
		default:
			begun.Add(1)
			events(w, 1, 2, true)
		}
	}
	servers := map[state.UpstreamName]*httptest.Server{}
	for _, name := range []string{"a", "b", "c"} {
		servers[state.UpstreamName(name)] = s.upstream(name, "plain", serve)
	}
	s.await("/any/0", http.StatusOK)
	time.Sleep(time.Second) // Waits until the gateway has read all entries.
	s.spendRetries(&received)
	var turnedAway atomic.Int32
	drainOnce := func(a fleet.AttemptInfo) {
		if a.LastEvent != "" && turnedAway.Add(1) == 1 {
			s.drain(string(a.Upstream), "plain", servers[a.Upstream])
			time.Sleep(drainNoticed)
		}
	}
	s.dialect.beforeAttempt.Store(&drainOnce)
	got := s.request(t.Context(), "/resume/1", nil)
	s.g.Expect(turnedAway.Load()).To(BeNumerically(">=", 1))
	s.g.Expect(begun.Load()).To(Equal(int32(1)))
	s.g.Expect(wholeStream).To(HavePrefix(got.body))
	s.g.Expect(got.body == wholeStream).To(Equal(got.err == nil))
}
