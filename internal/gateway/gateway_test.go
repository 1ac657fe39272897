package gateway_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lagoonvalve/lagoonvalve/internal/fleet"
)

// closeConnection closes the connection without a response after the request was read.
func closeConnection(w http.ResponseWriter) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err == nil {
		_ = conn.Close()
	}
}

// Guards against a gateway that is ready, or responds with 404 instead of 503,
// before it has read a manifest.
func TestRefusesUntilManifestIsRead(t *testing.T) {
	s := start(t)
	s.g.Expect(s.gateway.Ready()).To(BeFalse())
	got := s.request(context.Background(), "/any/1", nil)
	s.g.Expect(got.status).To(Equal(http.StatusServiceUnavailable))
	s.g.Expect(got.header.Get("Retry-After")).NotTo(BeEmpty())
	s.routes(1)
	s.g.Expect(s.request(context.Background(), "/none/1", nil).status).To(Equal(http.StatusNotFound))
}

// Guards against a retry of an at-most-once request that may have run, and against
// a 503 for it, which would promise that it has not run.
func TestAtMostOnceIsNotRetried(t *testing.T) {
	s := start(t)
	s.routes(1)
	var ran atomic.Int32
	fail := func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/any/0" {
			return
		}
		ran.Add(1)
		closeConnection(w)
	}
	s.upstream("a", "plain", fail)
	s.upstream("b", "plain", fail)
	s.await("/any/0", http.StatusOK)
	s.g.Expect(s.request(context.Background(), "/once/1", nil).status).To(Equal(http.StatusBadGateway))
	s.g.Expect(ran.Load()).To(Equal(int32(1)))
}

// Guards against passing on an upstream's 503 without its not-run header: to the
// caller a 503 promises that the request has not run.
func TestUnmarked503BecomesBadGateway(t *testing.T) {
	s := start(t)
	s.routes(1)
	s.upstream("a", "plain", func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/any/0" {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	s.await("/any/0", http.StatusOK)
	s.g.Expect(s.request(context.Background(), "/once/1", nil).status).To(Equal(http.StatusBadGateway))
}

// Guards against an idempotent request that fails because its first upstream does,
// and against a refused request that is not sent to another upstream.
func TestRetriesAtAnotherUpstream(t *testing.T) {
	for name, fail := range map[string]http.HandlerFunc{
		"/any/hangs-up": func(w http.ResponseWriter, _ *http.Request) { closeConnection(w) },
		"/any/fails":    func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) },
		"/once/refuses": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Not-Run", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := start(t)
			s.routes(1)
			var tries atomic.Int32
			both := func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/any/0" {
					return
				}
				if tries.Add(1) == 1 {
					fail(w, r)
					return
				}
				_, _ = io.WriteString(w, "served")
			}
			s.upstream("a", "plain", both)
			s.upstream("b", "plain", both)
			s.await("/any/0", http.StatusOK)
			got := s.request(context.Background(), name, nil)
			s.g.Expect([]any{got.status, got.body}).To(Equal([]any{http.StatusOK, "served"}))
			s.g.Expect(tries.Load()).To(Equal(int32(2)))
		})
	}
}

// Guards against counting refusals as attempts: of two attempts allowed, the one
// that fails after a refusal is the first, so a third upstream must serve the request.
func TestRefusalsDoNotCountAsAttempts(t *testing.T) {
	s := start(t)
	s.routes(1)
	var tries atomic.Int32
	serve := func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/any/0" {
			return
		}
		switch tries.Add(1) {
		case 1:
			w.Header().Set("Not-Run", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		case 2:
			// Sends the head of a response and part of its body.
			w.Header().Set("Content-Length", "10")
			_, _ = io.WriteString(w, "half")
			_ = http.NewResponseController(w).Flush()
			closeConnection(w)
		default:
			_, _ = io.WriteString(w, "served")
		}
	}
	for _, name := range []string{"a", "b", "c"} {
		s.upstream(name, "plain", serve)
	}
	s.await("/any/0", http.StatusOK)
	time.Sleep(time.Second) // Waits until the gateway has read all three entries.
	s.g.Expect(s.request(context.Background(), "/any/1", nil).body).To(Equal("served"))
}

// events writes the events numbered from to to. If cut is set, it then closes the
// connection in the middle of an event.
func events(w http.ResponseWriter, from, to int, cut bool) {
	w.Header().Set("Content-Type", "text/event-stream")
	for i := from; i <= to; i++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %d\n\n", i, i*i)
	}
	if cut {
		_, _ = io.WriteString(w, "id: 99\nda")
		_ = http.NewResponseController(w).Flush()
		closeConnection(w)
	}
}

const wholeStream = "id: 1\ndata: 1\n\nid: 2\ndata: 4\n\nid: 3\ndata: 9\n\nid: 4\ndata: 16\n\n"

// Guards against events that are lost, duplicated or incomplete when a cut stream is
// resumed at another upstream.
func TestStreamIsResumedAtAnotherUpstream(t *testing.T) {
	s := start(t)
	s.routes(1)
	serve := func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/any/0" {
			return
		}
		if after, err := strconv.Atoi(r.Header.Get("After")); err == nil {
			events(w, after+1, 4, false)
			return
		}
		events(w, 1, 2, true)
	}
	s.upstream("a", "plain", serve)
	s.upstream("b", "plain", serve)
	s.await("/any/0", http.StatusOK)
	got := s.request(context.Background(), "/resume/1", nil)
	s.g.Expect(got.err).NotTo(HaveOccurred())
	s.g.Expect(got.body).To(Equal(wholeStream))
}

// Guards against a cut stream that can't be resumed and that the caller takes for
// complete because the response body ends properly.
func TestCutStreamAbortsResponse(t *testing.T) {
	s := start(t)
	s.routes(1)
	s.upstream("a", "plain", func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/any/0" {
			events(w, 1, 2, true)
		}
	})
	s.await("/any/0", http.StatusOK)
	s.g.Expect(s.request(context.Background(), "/stream/1", nil).err).To(MatchError(io.ErrUnexpectedEOF))
}

// Guards against mistakes about a stream that has neither a length nor chunked
// encoding and so ends with its connection: one that ends within an event must be
// reported as cut, and one that ends after an event as complete.
func TestStreamEndedByConnectionClose(t *testing.T) {
	for name, ending := range map[string]string{"whole": "", "within an event": "id: 3\nda"} {
		t.Run(name, func(t *testing.T) {
			s := start(t)
			s.routes(1)
			s.upstream("a", "plain", func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/any/0" {
					return
				}
				conn, _, err := w.(http.Hijacker).Hijack()
				if err != nil {
					return
				}
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: request-1\r\nMark: a\r\nContent-Type: text/event-stream\r\n\r\n"+
					"id: 1\ndata: 1\n\n"+ending)
				_ = conn.Close()
			})
			s.await("/any/0", http.StatusOK)
			for _, path := range []string{"/stream/1", "/resume/1"} {
				got := s.request(context.Background(), path, nil)
				if ending == "" {
					s.g.Expect([]any{got.body, got.err}).To(Equal([]any{"id: 1\ndata: 1\n\n", nil}))
				} else {
					s.g.Expect(got.err).To(MatchError(io.ErrUnexpectedEOF), path)
				}
			}
		})
	}
}

// Guards against an upstream that keeps working on a request after the caller has
// disconnected.
func TestCallerDisconnectCancelsUpstreamRequest(t *testing.T) {
	s := start(t)
	s.routes(1)
	began, ended := make(chan struct{}), make(chan struct{})
	s.upstream("a", "plain", func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/any/0" {
			return
		}
		close(began)
		<-r.Context().Done()
		close(ended)
	})
	s.await("/any/0", http.StatusOK)
	ctx, cancel := context.WithCancel(context.Background())
	go s.request(ctx, "/once/1", nil)
	s.g.Eventually(began).WithTimeout(time.Second).Should(BeClosed())
	cancel()
	s.g.Eventually(ended).WithTimeout(500 * time.Millisecond).Should(BeClosed())
}

// Guards against a model that is never loaded although a request waits for it and
// no upstream holds it.
func TestModelIsLoadedForWaitingRequest(t *testing.T) {
	s := start(t)
	s.routes(1)
	s.upstream("e", "engines", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "served") })
	var got response
	s.g.Eventually(func() int {
		got = s.request(context.Background(), "/model/1", http.Header{"Model": {"m"}})
		return got.status
	}).WithTimeout(6 * time.Second).Should(Equal(http.StatusOK))
	s.g.Expect(got.body).To(Equal("served"))
	s.engines.mu.Lock()
	defer s.engines.mu.Unlock()
	s.g.Expect(s.engines.orders).To(HaveLen(1))
	s.g.Expect(s.engines.orders[0].Token).To(BeNumerically(">", 0))
}

// Guards against a planned stop that closes a connection without a response
// while its request waits for an upstream. In a simulated day this happened to
// a stream that was requested 1.7 s after the signal.
func TestStopAnswersWaitingRequests(t *testing.T) {
	s := start(t)
	s.routes(1)
	s.g.Expect(s.await("/any/1", http.StatusServiceUnavailable).err).NotTo(HaveOccurred(), "request without an upstream")
	waiting := make(chan response, 1)
	go func() {
		waiting <- s.request(context.Background(), "/any/1", http.Header{"Patience": {"10s"}})
	}()
	time.Sleep(100 * time.Millisecond)
	s.stop()
	var got response
	s.g.Eventually(waiting).WithTimeout(grace + time.Second).Should(Receive(&got))
	s.g.Expect(got.err).NotTo(HaveOccurred())
	s.g.Expect(got.status).To(Equal(http.StatusServiceUnavailable))
}

// Guards against a planned stop that aborts a request that could finish, accepts one
// whose deadline is after the stop, or refuses one whose deadline is before it.
func TestStopFinishesOpenRequests(t *testing.T) {
	s := start(t)
	s.routes(1)
	s.upstream("a", "plain", func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/once/long" {
			time.Sleep(700 * time.Millisecond)
		}
		_, _ = io.WriteString(w, "whole")
	})
	s.await("/any/0", http.StatusOK)
	open := make(chan response, 1)
	go func() { open <- s.request(context.Background(), "/once/long", nil) }()
	time.Sleep(100 * time.Millisecond)
	s.stop()
	s.g.Eventually(s.gateway.Ready).WithTimeout(time.Second).Should(BeFalse())
	time.Sleep(refuseAfter + 50*time.Millisecond)
	s.g.Expect(s.request(context.Background(), "/any/1", http.Header{"Patience": {"4s"}}).status).To(Equal(http.StatusServiceUnavailable))
	s.g.Expect(s.request(context.Background(), "/any/1", http.Header{"Patience": {"300ms"}}).status).To(Equal(http.StatusOK))
	got := <-open
	s.g.Expect([]any{got.status, got.body, got.err}).To(Equal([]any{http.StatusOK, "whole", nil}))
}

// Guards against accepting a body above the limit, and against request smuggling by
// a request with both Content-Length and Transfer-Encoding.
func TestBodyLimitAndRequestSmuggling(t *testing.T) {
	s := start(t)
	s.routes(1)
	var ran atomic.Int32
	s.upstream("a", "plain", func(_ http.ResponseWriter, _ *http.Request) { ran.Add(1) })
	s.await("/any/0", http.StatusOK)
	before := ran.Load()
	raw := "POST /any/1 HTTP/1.1\r\nHost: h\r\nId: 1\r\nContent-Length: 2000\r\n\r\n" + strings.Repeat("x", 2000)
	s.g.Expect(s.raw(raw)).To(HavePrefix("HTTP/1.1 413"))
	both := "POST /any/1 HTTP/1.1\r\nHost: h\r\nId: 1\r\nContent-Length: 6\r\nTransfer-Encoding: chunked\r\n\r\n" +
		"0\r\n\r\nPOST /once/2 HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"
	s.raw(both)
	s.g.Expect(ran.Load() - before).To(BeNumerically("<=", 2))
}

// raw sends bytes and returns the beginning of the response.
func (s *system) raw(text string) string {
	conn, err := net.Dial("tcp", s.url[len("http://"):])
	s.g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, text)
	s.g.Expect(err).NotTo(HaveOccurred())
	s.g.Expect(conn.SetReadDeadline(time.Now().Add(time.Second))).To(Succeed())
	buffer := make([]byte, 256)
	n, _ := conn.Read(buffer)
	return string(buffer[:n])
}

// Guards against an older manifest that replaces a newer one.
func TestOlderManifestIsIgnored(t *testing.T) {
	s := start(t)
	s.routes(5)
	s.manifests.add("manifest", fleet.NewManifest(4, nil, nil, 0))
	s.g.Consistently(func() int { return s.request(context.Background(), "/none/1", nil).status }).
		WithTimeout(500 * time.Millisecond).Should(Equal(http.StatusNotFound))
	s.upstream("a", "plain", func(http.ResponseWriter, *http.Request) {})
	s.await("/any/1", http.StatusOK)
}
