package gateway_test

import (
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// refuser is an upstream that refuses each request while it is refusing, and asks for a
// pause if it has one. It records when requests arrive.
type refuser struct {
	pause    time.Duration
	refusing atomic.Bool

	mu       sync.Mutex
	arrivals []time.Time
}

func (u *refuser) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	u.mu.Lock()
	u.arrivals = append(u.arrivals, time.Now())
	u.mu.Unlock()
	if !u.refusing.Load() {
		return
	}
	w.Header().Set("Not-Run", "1")
	if u.pause > 0 {
		w.Header().Set("Pause", u.pause.String())
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

// between counts the arrivals from one time after the first refusal to another.
func (u *refuser) between(from, to time.Duration, first int) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	n := 0
	for _, at := range u.arrivals[first:] {
		if after := at.Sub(u.arrivals[first]); after >= from && after < to {
			n++
		}
	}
	return n
}

func (u *refuser) count() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.arrivals)
}

// preferred registers two upstreams of the plain service and returns the one that gets
// requests while both are idle, with the number of its arrivals so far.
func (s *system) preferred(a, b *refuser) (*refuser, int) {
	s.upstream("a", "plain", a.ServeHTTP)
	s.upstream("b", "plain", b.ServeHTTP)
	s.await("/any/0", http.StatusOK)
	time.Sleep(time.Second) // Waits until the gateway has read both entries.
	before := a.count()
	s.request(s.t.Context(), "/any/0", nil)
	if a.count() > before {
		return a, a.count()
	}
	return b, b.count()
}

// Guards against requests to an upstream that has asked for a pause (rule BUDGET), and
// against callers that are refused although another upstream serves.
func TestPausingUpstreamGetsNoRequests(t *testing.T) {
	s := start(t)
	s.routes(1)
	u, first := s.preferred(&refuser{pause: 2 * time.Second}, &refuser{pause: 2 * time.Second})
	u.refusing.Store(true)
	served, sent := 0, 0
	for began := time.Now(); time.Since(began) < 2500*time.Millisecond; time.Sleep(20 * time.Millisecond) {
		sent++
		if s.request(t.Context(), "/once/1", nil).status == http.StatusOK {
			served++
		}
	}
	s.g.Expect(u.count()).To(BeNumerically(">", first), "the upstream must be tried")
	s.g.Expect(u.between(100*time.Millisecond, u.pause, first)).To(BeZero())
	s.g.Expect(served).To(Equal(sent))
}

// Guards against a request that waits until its deadline for an upstream that wants a
// pause, a refusal that says nothing of the pause, and a pause without an end.
func TestOnlyUpstreamPauses(t *testing.T) {
	s := start(t)
	s.routes(1)
	u := &refuser{pause: 2 * time.Second}
	s.upstream("pausing", "plain", u.ServeHTTP)
	s.await("/any/0", http.StatusOK)
	first := u.count()
	u.refusing.Store(true)
	patience := func(text string) http.Header { return http.Header{"Patience": {text}} }
	for range 3 {
		began := time.Now()
		got := s.request(t.Context(), "/once/1", patience("1s"))
		s.g.Expect(got.status).To(Equal(http.StatusServiceUnavailable))
		s.g.Expect(time.Since(began)).To(BeNumerically("<", 300*time.Millisecond))
		seconds, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
		s.g.Expect(err).NotTo(HaveOccurred())
		s.g.Expect(seconds).To(And(BeNumerically(">", 1), BeNumerically("<=", 2)))
	}
	s.g.Expect(u.count() - first).To(Equal(1))
	u.refusing.Store(false)
	began := time.Now()
	s.g.Expect(s.request(t.Context(), "/once/1", patience("5s")).status).To(Equal(http.StatusOK), "it waits for the end of the pause")
	s.g.Expect(time.Since(began)).To(And(BeNumerically(">", time.Second), BeNumerically("<", 2500*time.Millisecond)))
	s.g.Expect(u.between(100*time.Millisecond, u.pause, first)).To(BeZero())
}
