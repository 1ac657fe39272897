package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against issue 21, ORDER: a stream that ends within an event has been broken off,
// also if the end of its body is marked by a length or a last chunk.
func TestStreamThatEndsWithinAnEventIsCut(t *testing.T) {
	const begun = "id: 1\ndata: 1\n\nid: 2\ndata: 4\n\n"
	for name, framing := range map[string]string{
		"chunks": "Transfer-Encoding: chunked\r\n\r\n28\r\n" + begun + "id: 3\ndata\r\n0\r\n\r\n",
		"length": "Content-Length: 40\r\n\r\n" + begun + "id: 3\ndata",
	} {
		t.Run(name, func(t *testing.T) {
			s := start(t)
			s.routes(1)
			serve := func(w http.ResponseWriter, r *http.Request) {
				switch {
				case r.URL.Path == "/any/0":
				case r.Header.Get("After") != "":
					events(w, 3, 4, false)
				default:
					conn, _, err := w.(http.Hijacker).Hijack()
					if err != nil {
						return
					}
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: request-1\r\nMark: a\r\nContent-Type: text/event-stream\r\n"+framing)
					_ = conn.Close()
				}
			}
			s.pair(serve)
			s.g.Expect(s.request(t.Context(), "/stream/1", nil).err).To(MatchError(io.ErrUnexpectedEOF))
			got := s.request(t.Context(), "/resume/1", nil)
			s.g.Expect([]any{got.body, got.err}).To(Equal([]any{wholeStream, nil}))
		})
	}
}

// Guards against a long stream that is cut, or counted as one event that is too long, since
// its lines end with CR LF or CR.
func TestStreamOfAnyLineEndIsWhole(t *testing.T) {
	const size = 2 << 20 // Longer than an event may be.
	for _, end := range []string{"\n", "\r\n", "\r"} {
		t.Run(fmt.Sprintf("%q", end), func(t *testing.T) {
			var stream strings.Builder
			for id := 1; stream.Len() < size; id++ {
				fmt.Fprintf(&stream, "id: %d%sdata: %s%s%s", id, end, strings.Repeat("x", 1000), end, end)
			}
			s := start(t)
			s.routes(1)
			s.upstream("a", "plain", func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path != "/any/0" {
					w.Header().Set("Content-Type", "text/event-stream")
					_, _ = io.WriteString(w, stream.String())
				}
			})
			s.await("/any/0", http.StatusOK)
			for _, path := range []string{"/stream/1", "/resume/1"} {
				got := s.request(t.Context(), path, nil)
				s.g.Expect(got.err).NotTo(HaveOccurred(), path)
				s.g.Expect(got.body == stream.String()).To(BeTrue(), path)
			}
		})
	}
}

// Guards against a request on the connection of a stream that was cut within an event. The
// upstream has written the end of the body, but need not serve that connection any more:
// the request is lost there, and one that must not run twice can't be sent again.
func TestNoRequestFollowsACutStreamOnItsConnection(t *testing.T) {
	const cut = "Content-Type: text/event-stream\r\nContent-Length: 25\r\n\r\nid: 1\ndata: 1\n\nid: 2\ndata"
	for _, path := range []string{"/stream/1", "/resume/1"} {
		t.Run(path, func(t *testing.T) {
			s := start(t)
			s.routes(1)
			var reused atomic.Int32
			s.upstream("a", "plain", func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path != path {
					return
				}
				conn, buffered, err := w.(http.Hijacker).Hijack()
				if err != nil {
					return
				}
				defer func() { _ = conn.Close() }()
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: request-1\r\nMark: a\r\n"+cut)
				if _, err := buffered.ReadByte(); err == nil {
					reused.Add(1)
				}
			})
			s.await("/any/0", http.StatusOK)
			s.g.Expect(s.request(t.Context(), path, nil).err).To(MatchError(io.ErrUnexpectedEOF))
			s.g.Expect(s.request(t.Context(), "/once/1", nil).status).To(Equal(http.StatusOK))
			s.g.Expect(reused.Load()).To(BeZero())
		})
	}
}
