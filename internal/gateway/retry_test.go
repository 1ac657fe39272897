package gateway_test

import (
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// onlyReplica is an upstream that fails some requests.
type onlyReplica struct {
	fail func(w http.ResponseWriter)
	// fails reports whether the nth request fails, counted from 1.
	fails    func(n int32) bool
	received atomic.Int32
}

func (u *onlyReplica) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/any/0" {
		return
	}
	if u.fails(u.received.Add(1)) {
		u.fail(w)
		return
	}
	_, _ = io.WriteString(w, "served")
}

func refuseRequest(w http.ResponseWriter) {
	w.Header().Set("Not-Run", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func cutResponse(w http.ResponseWriter) {
	w.Header().Set("Content-Length", "10")
	_, _ = io.WriteString(w, "half")
	_ = http.NewResponseController(w).Flush()
	closeConnection(w)
}

func failRequest(w http.ResponseWriter) { w.WriteHeader(http.StatusInternalServerError) }

// Guards against issue 35: a request that its model's only replica refuses or fails waits for
// most of its time for another replica, which nothing loads, and gets an error.
func TestOnlyReplicaIsAskedAgain(t *testing.T) {
	eighth := func(n int32) bool { return n%8 == 0 }
	for name, c := range map[string]struct {
		path string
		fail func(http.ResponseWriter)
	}{
		"refuses, runs once":       {"/once/1", refuseRequest},
		"refuses, may run again":   {"/any/1", refuseRequest},
		"cuts, may run again":      {"/any/1", cutResponse},
		"fails, may run again":     {"/any/1", failRequest},
		"refuses a resumed stream": {"/resume/1", refuseRequest},
	} {
		t.Run(name, func(t *testing.T) {
			s := start(t)
			s.routes(1)
			u := &onlyReplica{fail: c.fail, fails: eighth}
			s.upstream("a", "plain", u.ServeHTTP)
			s.await("/any/0", http.StatusOK)
			const sent = 40
			for range sent {
				began := time.Now()
				got := s.request(t.Context(), c.path, nil)
				s.g.Expect([]any{got.status, got.body, got.err}).To(Equal([]any{http.StatusOK, "served", nil}))
				s.g.Expect(time.Since(began)).To(BeNumerically("<", 500*time.Millisecond))
			}
			s.g.Expect(u.received.Load()).To(BeNumerically("<=", 1.2*sent))
		})
	}
}

// Guards against issue 35: an upstream that refuses or fails everything gets more requests
// than before, and their callers wait although nothing can serve them.
func TestOnlyReplicaFailsEverything(t *testing.T) {
	for name, c := range map[string]struct {
		fail   func(http.ResponseWriter)
		status int
		most   int32
	}{
		"refuses": {refuseRequest, http.StatusServiceUnavailable, 100},
		// Its first request is sent again until its attempts are used; then it is ejected.
		"cuts": {cutResponse, http.StatusBadGateway, 102},
	} {
		t.Run(name, func(t *testing.T) {
			s := start(t)
			s.routes(1)
			u := &onlyReplica{fail: c.fail, fails: func(int32) bool { return true }}
			s.upstream("a", "patient", u.ServeHTTP)
			s.upstream("b", "plain", u.ServeHTTP)
			time.Sleep(time.Second) // Waits until the gateway has read both entries.
			path := "/any/1"
			if c.status == http.StatusServiceUnavailable {
				path = "/patient/1"
			}
			for range 100 {
				began := time.Now()
				got := s.request(t.Context(), path, nil)
				s.g.Expect(got.status).To(Equal(c.status))
				s.g.Expect(time.Since(began)).To(BeNumerically("<", 300*time.Millisecond))
				if c.status == http.StatusServiceUnavailable {
					s.g.Expect(got.header.Get("Retry-After")).NotTo(BeEmpty())
				}
			}
			s.g.Expect(u.received.Load()).To(BeNumerically("<=", c.most))
		})
	}
}

// Guards against issue 35: an odd Retry-After of a model's only replica, which keeps requests
// waiting or from being sent again, or which their callers get as it is.
func TestOnlyReplicaAsksForAnOddPause(t *testing.T) {
	for pause, c := range map[string]struct {
		status int
		sends  int32
	}{
		"-5s":      {http.StatusOK, 12},
		"0s":       {http.StatusOK, 12},
		"1000000h": {http.StatusServiceUnavailable, 1},
	} {
		t.Run(pause, func(t *testing.T) {
			s := start(t)
			s.routes(1)
			refuse := func(w http.ResponseWriter) {
				w.Header().Set("Pause", pause)
				refuseRequest(w)
			}
			u := &onlyReplica{fail: refuse, fails: func(n int32) bool { return n%8 == 1 }}
			s.upstream("a", "plain", u.ServeHTTP)
			s.await("/any/0", http.StatusOK)
			for range 10 {
				began := time.Now()
				got := s.request(t.Context(), "/any/1", nil)
				s.g.Expect(got.status).To(Equal(c.status))
				s.g.Expect(time.Since(began)).To(BeNumerically("<", 500*time.Millisecond))
				if c.status == http.StatusServiceUnavailable {
					seconds, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
					s.g.Expect(err).NotTo(HaveOccurred())
					s.g.Expect(seconds).To(And(BeNumerically(">", 0), BeNumerically("<=", 30)))
				}
			}
			s.g.Expect(u.received.Load()).To(Equal(c.sends))
		})
	}
}

// Guards against a repeat that must not be: a request that may have run, and may run once.
func TestOnlyReplicaIsNotAskedAgainForARequestThatMayHaveRun(t *testing.T) {
	s := start(t)
	s.routes(1)
	u := &onlyReplica{fail: cutResponse, fails: func(n int32) bool { return n == 1 }}
	s.upstream("a", "plain", u.ServeHTTP)
	s.await("/any/0", http.StatusOK)
	s.g.Expect(s.request(t.Context(), "/once/1", nil).status).To(Equal(http.StatusBadGateway))
	s.g.Expect(u.received.Load()).To(Equal(int32(1)))
}

// cutUnlessResumed cuts a stream after its second event, and serves its rest.
func cutUnlessResumed(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/any/0":
	case r.Header.Get("After") != "":
		events(w, 3, 4, false)
	default:
		events(w, 1, 2, true)
	}
}

// Guards against a stream that its only replica has cut and that is not resumed there.
func TestStreamIsResumedAtItsOnlyReplica(t *testing.T) {
	s := start(t)
	s.routes(1)
	s.upstream("a", "plain", cutUnlessResumed)
	s.await("/any/0", http.StatusOK)
	got := s.request(t.Context(), "/resume/1", nil)
	s.g.Expect([]any{got.body, got.err}).To(Equal([]any{wholeStream, nil}))
}

// Guards against issue 35, 3: a failed request, or a stream that was not resumed, whose log line
// does not say what forbade another attempt.
func TestLogSaysWhyARequestWasNotSentAgain(t *testing.T) {
	for _, c := range []struct {
		path string
		fail http.HandlerFunc
		want string
	}{
		{"/once/1", func(w http.ResponseWriter, _ *http.Request) { cutResponse(w) }, "may_have_run"},
		{"/any/1", func(w http.ResponseWriter, _ *http.Request) { cutResponse(w) }, "attempts"},
		{"/stream/1", func(w http.ResponseWriter, _ *http.Request) { events(w, 1, 2, true) }, "delivered"},
		{"/resume/1", func(w http.ResponseWriter, r *http.Request) {
			if r.Header.Get("After") == "" {
				events(w, 1, 2, true)
				return
			}
			events(w, 3, 3, true)
		}, "attempts"},
	} {
		t.Run(c.path, func(t *testing.T) {
			s := start(t)
			s.routes(1)
			s.upstream("a", "plain", func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path != "/any/0" {
					c.fail(w, r)
				}
			})
			s.await("/any/0", http.StatusOK)
			obstacle := make(chan string, 1)
			keep := func(line slog.Record) {
				if line.Message != "request failed" {
					return
				}
				line.Attrs(func(a slog.Attr) bool {
					if a.Key == "obstacle" {
						obstacle <- a.Value.String()
					}
					return true
				})
			}
			s.onLog.Store(&keep)
			s.request(t.Context(), c.path, nil)
			s.g.Eventually(obstacle).WithTimeout(time.Second).Should(Receive(Equal(c.want)))
		})
	}
}

// Guards against the budget's end being hidden: the first cut streams of a gateway are resumed,
// and then the line says that the budget is spent.
func TestLogSaysThatTheRetryBudgetIsSpent(t *testing.T) {
	s := start(t)
	s.routes(1)
	s.upstream("a", "plain", cutUnlessResumed)
	s.await("/any/0", http.StatusOK)
	var obstacles sync.Map
	keep := func(line slog.Record) {
		line.Attrs(func(a slog.Attr) bool {
			if line.Message == "request failed" && a.Key == "obstacle" {
				obstacles.Store(a.Value.String(), true)
			}
			return true
		})
	}
	s.onLog.Store(&keep)
	for range 12 {
		s.request(t.Context(), "/resume/1", nil)
	}
	_, spent := obstacles.Load("retry_budget")
	s.g.Expect(spent).To(BeTrue())
}
