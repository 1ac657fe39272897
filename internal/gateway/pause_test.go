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
	sent, served := s.flow(2500*time.Millisecond, 20*time.Millisecond)
	s.g.Expect(u.count()).To(BeNumerically(">", first), "the upstream must be tried")
	s.g.Expect(u.between(100*time.Millisecond, u.pause, first)).To(BeZero())
	s.g.Expect(served).To(Equal(sent))
}

// expectRefused checks for a refusal that asks for a pause longer than least and no longer
// than most.
func (s *system) expectRefused(got response, least, most time.Duration) {
	s.g.Expect(got.status).To(Equal(http.StatusServiceUnavailable))
	seconds, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
	s.g.Expect(err).NotTo(HaveOccurred())
	s.g.Expect(seconds).To(And(BeNumerically(">", least.Seconds()), BeNumerically("<=", most.Seconds())))
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
		s.g.Expect(time.Since(began)).To(BeNumerically("<", 300*time.Millisecond))
		s.expectRefused(got, time.Second, 2*time.Second)
	}
	s.g.Expect(u.count() - first).To(Equal(1))
	u.refusing.Store(false)
	began := time.Now()
	s.g.Expect(s.request(t.Context(), "/once/1", patience("5s")).status).To(Equal(http.StatusOK), "it waits for the end of the pause")
	s.g.Expect(time.Since(began)).To(And(BeNumerically(">", time.Second), BeNumerically("<", 2500*time.Millisecond)))
	s.g.Expect(u.between(100*time.Millisecond, u.pause, first)).To(BeZero())
}

// Guards against an upstream that is asked again long before the end of a long pause, and
// against callers that are told to stay away for as long: another one may load the model.
func TestLongPause(t *testing.T) {
	s := start(t)
	s.routes(1)
	u := &refuser{pause: 10 * time.Minute}
	s.upstream("pausing", "plain", u.ServeHTTP)
	s.await("/any/0", http.StatusOK)
	first := u.count()
	u.refusing.Store(true)
	for range 5 {
		s.expectRefused(s.request(t.Context(), "/once/1", http.Header{"Patience": {"1s"}}), time.Second, 30*time.Second)
	}
	s.g.Expect(u.count() - first).To(Equal(1))
}

// flow sends requests one after the other and returns how many were sent and served.
func (s *system) flow(d, interval time.Duration) (sent, served int) {
	for began := time.Now(); time.Since(began) < d; time.Sleep(interval) {
		sent++
		if s.request(s.t.Context(), "/once/1", nil).status == http.StatusOK {
			served++
		}
	}
	return sent, served
}

// Guards against issue 31: an upstream that refuses all requests, and is preferred since it
// has nothing to do, took nearly all requests with it; the retry budget saved one in six.
func TestRefusingUpstreamIsAvoided(t *testing.T) {
	s := start(t)
	s.routes(1)
	u, first := s.preferred(&refuser{}, &refuser{})
	u.refusing.Store(true)
	sent, served := s.flow(4*time.Second, 20*time.Millisecond)
	s.g.Expect(float64(served)).To(BeNumerically(">=", 0.99*float64(sent)))
	s.g.Expect(u.count()-first).To(And(BeNumerically(">=", 2), BeNumerically("<=", 8)), "it is probed, less and less often")
	u.refusing.Store(false)
	time.Sleep(3500 * time.Millisecond) // Longer than it is avoided after refusals over 4 s.
	before := u.count()
	s.flow(500*time.Millisecond, 20*time.Millisecond)
	s.g.Expect(u.count()-before).To(BeNumerically(">=", 10), "a served request ends it")
}

// Guards against an upstream that is full for moments and gets no requests for much longer.
func TestUpstreamThatIsFullForMomentsIsUsed(t *testing.T) {
	s := start(t)
	s.routes(1)
	u, first := s.preferred(&refuser{}, &refuser{})
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		for {
			for _, full := range []bool{true, false} {
				u.refusing.Store(full)
				select {
				case <-stop:
					return
				case <-time.After(map[bool]time.Duration{true: 200 * time.Millisecond, false: 800 * time.Millisecond}[full]):
				}
			}
		}
	}()
	sent, served := s.flow(4*time.Second, 20*time.Millisecond)
	s.g.Expect(float64(served)).To(BeNumerically(">=", 0.99*float64(sent)))
	s.g.Expect(float64(u.count() - first)).To(BeNumerically(">=", 0.5*float64(sent)))
}

// Guards against a fleet that is merely full and gets more requests because its upstreams
// are avoided, or whose requests wait instead of being refused.
func TestAllUpstreamsRefuse(t *testing.T) {
	s := start(t)
	s.routes(1)
	a, b := &refuser{}, &refuser{}
	s.preferred(a, b)
	before := a.count() + b.count()
	a.refusing.Store(true)
	b.refusing.Store(true)
	began, sent := time.Now(), 0
	for ; sent < 100; sent++ {
		got := s.request(t.Context(), "/once/1", http.Header{"Patience": {"500ms"}})
		s.g.Expect(got.status).To(Equal(http.StatusServiceUnavailable))
	}
	s.g.Expect(time.Since(began)).To(BeNumerically("<", 15*time.Second))
	// The first attempt of each, and what the retry budget of a gateway allows: 0.8 of the
	// share of 0.2, and a sixteenth of the slack of 100.
	allowed := float64(sent) + 0.8*0.2*float64(sent) + 100.0/16
	s.g.Expect(float64(a.count() + b.count() - before)).To(And(BeNumerically(">=", sent), BeNumerically("<=", allowed)))
}
