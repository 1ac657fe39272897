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

// hangUp ends the connection after the request was read.
func hangUp(w http.ResponseWriter) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err == nil {
		_ = conn.Close()
	}
}

// Guards against a gateway that answers "not found" before it knows a manifest,
// or counts as ready.
func TestRefusesUntilAManifestIsKnown(t *testing.T) {
	s := start(t)
	s.g.Expect(s.gateway.Ready()).To(BeFalse())
	got := s.request(context.Background(), "/any/1", nil)
	s.g.Expect(got.status).To(Equal(http.StatusServiceUnavailable))
	s.g.Expect(got.header.Get("Retry-After")).NotTo(BeEmpty())
	s.routes(1)
	s.g.Expect(s.request(context.Background(), "/none/1", nil).status).To(Equal(http.StatusNotFound))
}

// Guards against a request that may run once and is sent again, and against a
// refusal that says it has not run.
func TestAtMostOnceIsNotRepeated(t *testing.T) {
	s := start(t)
	s.routes(1)
	var ran atomic.Int32
	fail := func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/any/0" {
			return
		}
		ran.Add(1)
		hangUp(w)
	}
	s.upstream("a", "plain", fail)
	s.upstream("b", "plain", fail)
	s.await("/any/0", http.StatusOK)
	s.g.Expect(s.request(context.Background(), "/once/1", nil).status).To(Equal(http.StatusBadGateway))
	s.g.Expect(ran.Load()).To(Equal(int32(1)))
}

// Guards against a promise of "not run" that an upstream never made.
func TestUpstreamsPromiseIsOnlyPassedOnWithItsMark(t *testing.T) {
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

// Guards against an idempotent request that fails with its first upstream, and
// a refused one that is not sent elsewhere.
func TestOtherUpstreamServesAfterAFailure(t *testing.T) {
	for name, fail := range map[string]http.HandlerFunc{
		"/any/hangs-up": func(w http.ResponseWriter, _ *http.Request) { hangUp(w) },
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

// Guards against attempts that are used up by upstreams that refuse to run a
// request: a refusal, a failure, and the third upstream serves.
func TestRefusalsDoNotUseUpAttempts(t *testing.T) {
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
			// The head of an answer comes, and half of its body.
			w.Header().Set("Content-Length", "10")
			_, _ = io.WriteString(w, "half")
			_ = http.NewResponseController(w).Flush()
			hangUp(w)
		default:
			_, _ = io.WriteString(w, "served")
		}
	}
	for _, name := range []string{"a", "b", "c"} {
		s.upstream(name, "plain", serve)
	}
	s.await("/any/0", http.StatusOK)
	time.Sleep(time.Second) // The registry has all three.
	s.g.Expect(s.request(context.Background(), "/any/1", nil).body).To(Equal("served"))
}

// events writes the events of a stream from one on, and hangs up before the end
// if cut is set, in the middle of an event.
func events(w http.ResponseWriter, from, to int, cut bool) {
	w.Header().Set("Content-Type", "text/event-stream")
	for i := from; i <= to; i++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %d\n\n", i, i*i)
	}
	if cut {
		_, _ = io.WriteString(w, "id: 99\nda")
		_ = http.NewResponseController(w).Flush()
		hangUp(w)
	}
}

const wholeStream = "id: 1\ndata: 1\n\nid: 2\ndata: 4\n\nid: 3\ndata: 9\n\nid: 4\ndata: 16\n\n"

// Guards against events that are lost, doubled or torn when a stream goes on at
// another upstream.
func TestStreamGoesOnElsewhere(t *testing.T) {
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

// Guards against a cut stream that may not be resumed and looks whole.
func TestCutStreamLooksCut(t *testing.T) {
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

// Guards against a stream without a marked end whose connection ends within an
// event and that looks whole, and one that ends properly and looks cut.
func TestStreamThatEndsWithItsConnection(t *testing.T) {
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

// Guards against work that goes on after its caller has left.
func TestCallerGoneEndsTheWork(t *testing.T) {
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

// Guards against a request for a model that is held nowhere and never loaded.
func TestModelIsLoadedForAWaitingRequest(t *testing.T) {
	s := start(t)
	s.routes(1)
	s.upstream("e", "engines", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "served") })
	var got answer
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

// Guards against a connection that is closed without an answer at the end of a
// planned stop while its request waits for a model (seen on a played day: a
// stream sent 1.7 s after the signal).
func TestStopAnswersWaitingRequests(t *testing.T) {
	s := start(t)
	s.routes(1)
	s.g.Expect(s.await("/any/1", http.StatusServiceUnavailable).err).NotTo(HaveOccurred(), "no upstream")
	waiting := make(chan answer, 1)
	go func() {
		waiting <- s.request(context.Background(), "/any/1", http.Header{"Patience": {"10s"}})
	}()
	time.Sleep(100 * time.Millisecond)
	s.stop()
	var got answer
	s.g.Eventually(waiting).WithTimeout(grace + time.Second).Should(Receive(&got))
	s.g.Expect(got.err).NotTo(HaveOccurred())
	s.g.Expect(got.status).To(Equal(http.StatusServiceUnavailable))
}

// Guards against a planned stop that cuts a request off, takes one that can't
// end in time, or refuses one that can.
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
	open := make(chan answer, 1)
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

// Guards against a body that is longer than allowed, and a request that is
// smuggled in another.
func TestBodies(t *testing.T) {
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

// raw sends bytes and returns the beginning of what comes back.
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

// Guards against an older manifest that replaces a later one.
func TestManifestNeverGoesBack(t *testing.T) {
	s := start(t)
	s.routes(5)
	s.manifests.add("manifest", fleet.NewManifest(4, nil, nil, 0))
	s.g.Consistently(func() int { return s.request(context.Background(), "/none/1", nil).status }).
		WithTimeout(500 * time.Millisecond).Should(Equal(http.StatusNotFound))
	s.upstream("a", "plain", func(http.ResponseWriter, *http.Request) {})
	s.await("/any/1", http.StatusOK)
}
