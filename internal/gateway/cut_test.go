package gateway_test

import (
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against issue 21, TWICE: when a stream goes on at another upstream, the one before
// must not work on it any more. It sends bytes that are no chunk until its connection is
// closed.
func TestUpstreamOfACutStreamIsLeftBeforeItIsResumed(t *testing.T) {
	s := start(t)
	s.routes(1)
	var left, overlapped atomic.Bool
	serve := func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.URL.Path == "/any/0":
		case r.Header.Get("After") != "":
			for range 100 {
				if left.Load() {
					break
				}
				time.Sleep(10 * time.Millisecond)
			}
			overlapped.Store(!left.Load())
			events(w, 3, 4, false)
		default:
			conn, _, err := w.(http.Hijacker).Hijack()
			if err != nil {
				return
			}
			defer func() { _ = conn.Close() }()
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: request-1\r\nMark: a\r\nContent-Type: text/event-stream\r\n"+
				"Transfer-Encoding: chunked\r\n\r\n1e\r\nid: 1\ndata: 1\n\nid: 2\ndata: 4\n\n\r\n")
			for {
				if _, err := io.WriteString(conn, "no chunk\r\n"); err != nil {
					left.Store(true)
					return
				}
				time.Sleep(5 * time.Millisecond)
			}
		}
	}
	s.pair(serve)
	got := s.request(t.Context(), "/resume/1", nil)
	s.g.Expect([]any{got.body, got.err}).To(Equal([]any{wholeStream, nil}))
	s.g.Expect(overlapped.Load()).To(BeFalse(), "the first upstream still works a second later")
}

// Guards against an upstream that cuts all its streams and stays in use, since the success
// of the one that resumed them was counted for it.
func TestResumedStreamCountsForTheUpstreamThatEndedIt(t *testing.T) {
	s := start(t)
	s.routes(1)
	var cuts atomic.Int32
	serve := func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.URL.Path == "/any/0":
		case r.Header.Get("After") != "":
			events(w, 3, 4, false)
		default:
			cuts.Add(1)
			events(w, 1, 2, true)
		}
	}
	sound := func(w http.ResponseWriter, r *http.Request) {
		after, _ := strconv.Atoi(r.Header.Get("After"))
		events(w, after+1, 4, false)
	}
	s.upstream("cuts", "plain", serve)
	s.await("/any/0", http.StatusOK)
	s.upstream("sound", "plain", sound)
	time.Sleep(time.Second) // Waits until the gateway has read both entries.
	for range 6 {
		s.g.Expect(s.request(t.Context(), "/resume/1", nil).body).To(Equal(wholeStream))
	}
	s.g.Expect(cuts.Load()).To(BeNumerically("<=", 2), "two failures eject an upstream")
}
