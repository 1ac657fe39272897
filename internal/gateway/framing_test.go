package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/lagoonvalve/lagoonvalve/internal/testenv"
)

const eventStream = "Content-Type: text/event-stream\r\n"

// lastResponse are the headers of a whole event stream. Its connection must not be used
// again, as writeRaw closes it.
const lastResponse = eventStream + "Connection: close\r\n"

// writeRaw writes a response with the given headers, and closes the connection.
func writeRaw(w http.ResponseWriter, headers, framed string) {
	testenv.WriteRaw(w, "HTTP/1.1 200 OK\r\nId: request-1\r\nMark: a\r\n"+headers+framed)
}

// fillRetryBudget sends enough requests for one more retry: each adds 0.16.
func (s *system) fillRetryBudget() {
	for range 7 {
		s.request(s.t.Context(), "/any/0", nil)
	}
}

// Guards against issue 34, ORDER: a stream that ends within an event, at any of its bytes,
// with any mark of the body's end and any line end, is passed on as complete, or joined to
// the rest of another run.
func TestStreamCutAtEachByteOfAnEvent(t *testing.T) {
	for framing, frame := range testenv.Framings() {
		for _, end := range []string{"\n", "\r\n", "\r"} {
			t.Run(fmt.Sprintf("%s, %q", framing, end), func(t *testing.T) {
				lines := func(text string) string { return strings.ReplaceAll(text, "\n", end) }
				begun, event, last := lines("id: 1\ndata: 1\n\n"), lines("id: 2\ndata: 4\n\n"), lines("id: 3\ndata: 9\n\n")
				s := start(t)
				s.routes(1)
				var at atomic.Int32
				serve := func(w http.ResponseWriter, r *http.Request) {
					switch {
					case r.URL.Path == "/any/0":
					case r.Header.Get("After") == "1":
						writeRaw(w, lastResponse, frame(event+last))
					default:
						writeRaw(w, eventStream, frame(begun+event[:at.Load()]))
					}
				}
				s.pair(serve)
				for n := 1; n < len(event); n++ {
					at.Store(int32(n))
					cut := s.request(t.Context(), "/stream/1", nil)
					s.g.Expect(cut.err).To(MatchError(io.ErrUnexpectedEOF), "cut at %d: %d %q", n, cut.status, cut.body)
					s.fillRetryBudget()
					got := s.request(t.Context(), "/resume/1", nil)
					s.g.Expect([]any{got.body, got.err}).To(Equal([]any{begun + event + last, nil}), "cut at %d", n)
				}
			})
		}
	}
}

// Guards against issue 34, ORDER: a stream that is resumed and cut once more, at any byte of
// the next event and before its first byte, ends as complete. A stream that was cut within an
// event has more events.
func TestRestOfAStreamIsCutAtEachByte(t *testing.T) {
	const begun, event = "id: 1\ndata: 1\n\n", "id: 2\ndata: 4\n\n"
	for framing, frame := range testenv.Framings() {
		t.Run(framing, func(t *testing.T) {
			s := start(t)
			s.routes(1)
			var at atomic.Int32
			serve := func(w http.ResponseWriter, r *http.Request) {
				switch {
				case r.URL.Path == "/any/0":
				case r.Header.Get("After") == "1":
					writeRaw(w, lastResponse, frame(event[:at.Load()]))
				default:
					writeRaw(w, eventStream, frame(begun+"id"))
				}
			}
			s.pair(serve)
			for n := range len(event) {
				at.Store(int32(n))
				s.fillRetryBudget()
				got := s.request(t.Context(), "/resume/1", nil)
				s.g.Expect([]any{got.body, got.err}).To(Equal([]any{begun, io.ErrUnexpectedEOF}), "cut at %d", n)
			}
		})
	}
}

// Guards against issue 34, ORDER: a stream that its caller resumes and that is cut again, at any
// byte of its next event, ends as complete, or is begun anew from its first event.
func TestStreamThatItsCallerResumesIsCutAtEachByte(t *testing.T) {
	const event, last = "id: 2\ndata: 4\n\n", "id: 3\ndata: 9\n\n"
	for framing, frame := range testenv.Framings() {
		t.Run(framing, func(t *testing.T) {
			s := start(t)
			s.routes(1)
			var at, received atomic.Int32
			serve := func(w http.ResponseWriter, r *http.Request) {
				switch {
				case r.URL.Path == "/any/0":
				case r.Header.Get("After") != "1":
					writeRaw(w, lastResponse, frame("id: 1\ndata: 1\n\n"+event+last))
				case received.Add(1)%2 == 1:
					writeRaw(w, eventStream, frame(event[:at.Load()]))
				default:
					writeRaw(w, lastResponse, frame(event+last))
				}
			}
			s.pair(serve)
			for n := 1; n < len(event); n++ {
				at.Store(int32(n))
				s.fillRetryBudget()
				got := s.request(t.Context(), "/resume/1", http.Header{"Last-Event": {"1"}})
				s.g.Expect([]any{got.body, got.err}).To(Equal([]any{event + last, nil}), "cut at %d", n)
			}
		})
	}
}

// Guards against issue 34, ORDER: a stream with a declared length that is cut between two
// events ends as complete, since the upstream that is to resume it has no event.
func TestRestOfAStreamThatIsTooShortIsNotEmpty(t *testing.T) {
	const begun = "id: 1\ndata: 1\n\n"
	s := start(t)
	s.routes(1)
	serve := func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.URL.Path == "/any/0":
		case r.Header.Get("After") == "1":
			writeRaw(w, lastResponse, "Content-Length: 0\r\n\r\n")
		default:
			writeRaw(w, eventStream, "Content-Length: 30\r\n\r\n"+begun)
		}
	}
	s.pair(serve)
	got := s.request(t.Context(), "/resume/1", nil)
	s.g.Expect([]any{got.body, got.err}).To(Equal([]any{begun, io.ErrUnexpectedEOF}))
}

// Guards against a stream that ends within an event and is passed on as complete, since the
// upstream spells the media type in another way.
func TestStreamOfAnySpellingOfItsTypeIsChecked(t *testing.T) {
	s := start(t)
	s.routes(1)
	s.upstream("a", "plain", func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/any/0" {
			writeRaw(w, "Content-Type: Text/Event-Stream; charset=UTF-8\r\n", testenv.Framings()["length"]("id: 1\ndata: 1\n\nid: 2\nda"))
		}
	})
	s.await("/any/0", http.StatusOK)
	s.g.Expect(s.request(t.Context(), "/stream/1", nil).err).To(MatchError(io.ErrUnexpectedEOF))
}

// Guards against issue 34, third report: an upstream that stops in the middle of its
// response's head and closes. A caller gets no success for it, and no stream ends as complete.
func TestResponseCutAtEachByteOfItsHead(t *testing.T) {
	const begun = "id: 1\ndata: 1\n\n"
	const head = "HTTP/1.1 200 OK\r\nId: request-1\r\nMark: a\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	s := start(t)
	s.routes(1)
	var at atomic.Int32
	serve := func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.URL.Path == "/any/0":
		case r.URL.Path == "/resume/1" && r.Header.Get("After") == "":
			writeRaw(w, eventStream, testenv.Framings()["chunks"](begun+"id"))
		default:
			testenv.WriteRaw(w, head[:at.Load()])
		}
	}
	s.pair(serve)
	for n := range len(head) {
		at.Store(int32(n))
		for _, path := range []string{"/once/1", "/stream/1"} {
			got := s.request(t.Context(), path, nil)
			s.g.Expect([]any{got.status, got.err}).To(Equal([]any{http.StatusBadGateway, nil}), "%s, cut at %d", path, n)
		}
		s.fillRetryBudget()
		got := s.request(t.Context(), "/resume/1", nil)
		s.g.Expect([]any{got.body, got.err}).To(Equal([]any{begun, io.ErrUnexpectedEOF}), "cut at %d", n)
	}
}
