package gateway_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// hookedListener calls beforeWrite before each write to its connections.
type hookedListener struct {
	net.Listener
	beforeWrite func()
}

func (l *hookedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return &hookedConn{Conn: conn, beforeWrite: l.beforeWrite}, err
}

type hookedConn struct {
	net.Conn
	beforeWrite func()
}

func (c *hookedConn) Write(p []byte) (int, error) {
	c.beforeWrite()
	return c.Conn.Write(p)
}

// keptConn is a connection of a caller that keeps it open.
type keptConn struct {
	net.Conn
	reader *bufio.Reader
}

// keep opens a connection. Its reads and writes end at the end of any test.
func (s *system) keep() (*keptConn, error) {
	conn, err := net.Dial("tcp", s.url[len("http://"):])
	if err != nil {
		return nil, err
	}
	s.t.Cleanup(func() { _ = conn.Close() })
	return &keptConn{Conn: conn, reader: bufio.NewReader(conn)}, conn.SetDeadline(time.Now().Add(10 * time.Second))
}

// request sends a request and returns the status of its response.
func (c *keptConn) request(path string, patience time.Duration) (int, error) {
	if _, err := fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: h\r\nId: request-1\r\nPatience: %s\r\nContent-Length: 0\r\n\r\n", path, patience); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// Guards against issue 34, second report: a planned stop that closes the connection of a
// request whose response has been made but not yet written.
func TestStopWritesTheLastResponse(t *testing.T) {
	t.Parallel()
	var stopping atomic.Bool
	s := startOn(t, func(l net.Listener) net.Listener {
		return &hookedListener{Listener: l, beforeWrite: func() {
			if stopping.Load() {
				time.Sleep(100 * time.Millisecond) // As if the host was busy.
			}
		}}
	})
	s.routes(1)
	s.upstream("a", "plain", func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/once/last" {
			time.Sleep(2 * refuseAfter)
		}
		_, _ = io.WriteString(w, "whole")
	})
	s.await("/any/0", http.StatusOK)
	last := make(chan response, 1)
	go func() { last <- s.request(context.Background(), "/once/last", nil) }()
	time.Sleep(50 * time.Millisecond)
	stopping.Store(true)
	s.stop()
	got := <-last
	s.g.Expect([]any{got.status, got.body, got.err}).To(Equal([]any{http.StatusOK, "whole", nil}))
}

// Guards against issue 34, second report: a request on a kept connection that arrives when a
// planned stop has found no open request, and is passed on and then cut with its connection.
func TestStopPassesNothingOnWhenItCloses(t *testing.T) {
	s := start(t)
	s.routes(1)
	var passedOn atomic.Bool
	s.upstream("a", "plain", func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/once/crossing" {
			passedOn.Store(true)
			time.Sleep(time.Second)
		}
	})
	s.await("/any/0", http.StatusOK)
	kept, err := s.keep()
	s.g.Expect(err).NotTo(HaveOccurred())
	s.g.Expect(kept.request("/any/0", time.Second)).To(Equal(http.StatusOK))
	crossed := make(chan struct{})
	cross := func(line slog.Record) {
		if line.Message != "stop ends" {
			return
		}
		go func() {
			defer close(crossed)
			// The connection may be closed before or after the refusal.
			_, _ = kept.request("/once/crossing", 300*time.Millisecond)
		}()
		time.Sleep(100 * time.Millisecond) // As if the host was busy.
	}
	s.onLog.Store(&cross)
	s.stop()
	s.g.Eventually(crossed).WithTimeout(grace + time.Second).Should(BeClosed())
	s.g.Expect(passedOn.Load()).To(BeFalse())
}

// Guards against issue 34, second report: a request whose body arrives late in a planned stop
// is passed on, though the stop would abort it. It was judged by the arrival of its head.
func TestStopRefusesALateBody(t *testing.T) {
	s := start(t)
	s.routes(1)
	var passedOn atomic.Bool
	s.upstream("a", "plain", func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/once/late" {
			passedOn.Store(true)
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
		}
	})
	s.await("/any/0", http.StatusOK)
	kept, err := s.keep()
	s.g.Expect(err).NotTo(HaveOccurred())
	_, err = io.WriteString(kept, "POST /once/late HTTP/1.1\r\nHost: h\r\nId: request-1\r\nPatience: 4s\r\nContent-Length: 4\r\n\r\nbo")
	s.g.Expect(err).NotTo(HaveOccurred())
	time.Sleep(50 * time.Millisecond)
	s.stop()
	time.Sleep(2 * refuseAfter)
	_, err = io.WriteString(kept, "dy")
	s.g.Expect(err).NotTo(HaveOccurred())
	resp, err := http.ReadResponse(kept.reader, nil)
	s.g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = resp.Body.Close() }()
	s.g.Expect(resp.StatusCode).To(Equal(http.StatusServiceUnavailable))
	s.g.Expect(passedOn.Load()).To(BeFalse())
}

// Guards against issue 34, second report: a request that may run once, and has waited for an
// upstream, is passed on late in a planned stop, which aborts it. It is refused at once, so
// that its caller can go elsewhere. One that may run again is still served if it can be.
func TestStopSendsNoWaitingRequestThatMayRunOnce(t *testing.T) {
	s := start(t)
	s.routes(1)
	s.await("/any/0", http.StatusServiceUnavailable)
	answers := map[string]chan response{"/once/waits": make(chan response, 1), "/any/waits": make(chan response, 1)}
	for path, answer := range answers {
		go func() { answer <- s.request(context.Background(), path, http.Header{"Patience": {"4s"}}) }()
	}
	time.Sleep(50 * time.Millisecond)
	s.stop()
	began := time.Now()
	got := <-answers["/once/waits"]
	s.g.Expect([]any{got.status, got.err}).To(Equal([]any{http.StatusServiceUnavailable, nil}))
	s.g.Expect(got.header.Get("Retry-After")).NotTo(BeEmpty())
	s.g.Expect(time.Since(began)).To(BeNumerically("<", refuseAfter+200*time.Millisecond))
	s.upstream("a", "plain", func(http.ResponseWriter, *http.Request) {})
	got = <-answers["/any/waits"]
	s.g.Expect([]any{got.status, got.err}).To(Equal([]any{http.StatusOK, nil}))
}

// Guards against issue 34, second report, as it was seen: callers that keep sending through
// the whole grace, on kept connections and new ones. Each request that reaches an upstream is
// answered, and none that the stop would abort reaches one late in the grace.
func TestRequestsThroughAPlannedStop(t *testing.T) {
	s := start(t)
	s.routes(1)
	var mu sync.Mutex
	var stopAt time.Time
	received := map[string]time.Time{}
	s.upstream("a", "plain", func(_ http.ResponseWriter, r *http.Request) {
		mu.Lock()
		received[r.URL.Path] = time.Now()
		mu.Unlock()
		work := 50 * time.Millisecond
		if r.Header.Get("Patience") == "10s" {
			work = 10 * time.Second
		}
		select {
		case <-time.After(work):
		case <-r.Context().Done():
		}
	})
	s.await("/any/0", http.StatusOK)
	answered := map[string]int{}
	callers := func(kind string, patience time.Duration, send func(path string) (int, error)) {
		for n := 0; ; n++ {
			path := fmt.Sprintf("/once/%s-%s-%d", kind, patience, n)
			status, err := send(path)
			if err != nil {
				return
			}
			mu.Lock()
			answered[path] = status
			mu.Unlock()
			time.Sleep(5 * time.Millisecond)
		}
	}
	var running sync.WaitGroup
	for _, patience := range []time.Duration{150 * time.Millisecond, 600 * time.Millisecond, 10 * time.Second} {
		for range 3 {
			kept, err := s.keep()
			s.g.Expect(err).NotTo(HaveOccurred())
			running.Go(func() {
				callers(fmt.Sprintf("kept%p", kept), patience, func(path string) (int, error) { return kept.request(path, patience) })
			})
		}
		running.Go(func() {
			callers("new", patience, func(path string) (int, error) {
				conn, err := s.keep()
				if err != nil {
					return 0, err
				}
				return conn.request(path, patience)
			})
		})
	}
	time.Sleep(300 * time.Millisecond)
	mu.Lock()
	stopAt = time.Now()
	mu.Unlock()
	s.stop()
	running.Wait()
	for path, at := range received {
		if path == "/any/0" {
			continue
		}
		status, ok := answered[path]
		s.g.Expect(ok).To(BeTrue(), "%s was passed on %s after the stop began, and not answered", path, at.Sub(stopAt))
		if status != http.StatusOK {
			s.g.Expect(at.Sub(stopAt)).To(BeNumerically("<", refuseAfter+100*time.Millisecond), "%s: passed on, and answered with %d", path, status)
		}
	}
}
