package gateway_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against an upstream that gets more requests than the limit that it names, and
// against a limit of which only a part is used.
func TestLimitOfAnUpstreamIsKept(t *testing.T) {
	s := start(t)
	s.routes(1)
	const perSecond, seconds, patience = 5, 3, time.Second
	var received atomic.Int32
	s.upstream("limited", "plain", func(w http.ResponseWriter, _ *http.Request) {
		received.Add(1)
		w.Header().Set("Limit", strconv.Itoa(perSecond))
	})
	s.await("/any/0", http.StatusOK)
	before, began := received.Load(), time.Now()
	var requests sync.WaitGroup
	for range 30 * seconds {
		requests.Go(func() { s.request(context.Background(), "/any/1", http.Header{"Patience": {patience.String()}}) })
		time.Sleep(time.Second / 30)
	}
	// On a busy machine, sending takes longer than it should.
	permitted := perSecond*(time.Since(began)+patience).Seconds() + 1
	requests.Wait()
	s.g.Expect(float64(received.Load() - before)).To(And(BeNumerically("<=", permitted), BeNumerically(">=", perSecond*(seconds-1))))
}

// Guards against requests that are refused although an upstream without a limit takes
// them.
func TestOtherUpstreamsServeBesideALimit(t *testing.T) {
	s := start(t)
	s.routes(1)
	var limited, other atomic.Int32
	s.upstream("limited", "plain", func(w http.ResponseWriter, _ *http.Request) {
		limited.Add(1)
		w.Header().Set("Limit", "0.2")
	})
	s.await("/any/0", http.StatusOK)
	s.upstream("other", "plain", func(http.ResponseWriter, *http.Request) {
		other.Add(1)
		time.Sleep(50 * time.Millisecond)
	})
	s.g.Eventually(func() int32 {
		s.request(context.Background(), "/any/0", nil)
		return other.Load()
	}).WithTimeout(5 * time.Second).Should(BeNumerically(">=", 1))
	before := limited.Load()
	var requests sync.WaitGroup
	for range 60 {
		requests.Go(func() { s.g.Expect(s.request(context.Background(), "/any/1", nil).status).To(Equal(http.StatusOK)) })
		time.Sleep(10 * time.Millisecond)
	}
	requests.Wait()
	s.g.Expect(limited.Load() - before).To(BeNumerically("<=", 2))
}

// Guards against requests that wait until their deadline for an upstream that can't take
// them in time, and against a limit that is kept after its end.
func TestRequestsBeyondTheLimitAreRefused(t *testing.T) {
	s := start(t)
	s.routes(1)
	var ended atomic.Bool
	s.upstream("limited", "plain", func(w http.ResponseWriter, _ *http.Request) {
		if !ended.Load() {
			w.Header().Set("Limit", "0.5")
		}
	})
	s.await("/any/0", http.StatusOK)
	header := func() http.Header { return http.Header{"Patience": {"1s"}} }
	refused := 0
	for range 5 {
		began := time.Now()
		got := s.request(context.Background(), "/any/1", header())
		if got.status != http.StatusServiceUnavailable {
			continue
		}
		refused++
		s.g.Expect(time.Since(began)).To(BeNumerically("<", 900*time.Millisecond))
		s.expectRefused(got, 200*time.Millisecond, 2100*time.Millisecond)
	}
	s.g.Expect(refused).To(BeNumerically(">=", 3))
	ended.Store(true)
	s.g.Eventually(func() int { return s.request(context.Background(), "/any/2", header()).status }).
		WithTimeout(5 * time.Second).Should(Equal(http.StatusOK))
	for range 10 {
		s.g.Expect(s.request(context.Background(), "/any/3", header()).status).To(Equal(http.StatusOK))
	}
}

// limitedUpstream is an upstream with a rate limit that counts the requests which arrive
// after the gateway must have read that it drains.
type limitedUpstream struct {
	limit   string
	server  *httptest.Server
	drained atomic.Pointer[time.Time]
	late    atomic.Int32
}

func (s *system) limitedUpstream(limit string) *limitedUpstream {
	u := &limitedUpstream{limit: limit}
	u.server = s.upstream("limited", "plain", u.ServeHTTP)
	s.await("/any/0", http.StatusOK)
	return u
}

func (u *limitedUpstream) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	if at := u.drained.Load(); at != nil && time.Since(*at) > drainNoticed {
		u.late.Add(1)
	}
	w.Header().Set("Limit", u.limit)
}

// sendAndDrain sends requests at the same time, calls meanwhile and drains the upstream
// while they wait, and returns how many were answered with each status.
func (u *limitedUpstream) sendAndDrain(s *system, path string, requests int, meanwhile func()) map[int]int {
	statuses := make(chan int, requests)
	for range requests {
		go func() { statuses <- s.request(s.t.Context(), path, http.Header{"Patience": {"5s"}}).status }()
	}
	time.Sleep(100 * time.Millisecond)
	meanwhile()
	now := time.Now()
	u.drained.Store(&now)
	s.drain("limited", "plain", u.server)
	counts := map[int]int{}
	for range requests {
		counts[<-statuses]++
	}
	return counts
}

// Guards against requests that wait for a permit and are sent to an upstream long after
// it began to drain (rule DRAIN): such requests were cut when it ended. They have to go to
// another upstream.
func TestRequestsWaitingForAPermitLeaveADrainingUpstream(t *testing.T) {
	s := start(t)
	s.routes(1)
	u := s.limitedUpstream("2")
	addOther := func() { s.upstream("other", "plain", func(http.ResponseWriter, *http.Request) {}) }
	s.g.Expect(u.sendAndDrain(s, "/any/1", 6, addOther)).To(Equal(map[int]int{http.StatusOK: 6}))
	s.g.Expect(u.late.Load()).To(BeZero(), "requests that reached the draining upstream")
}

// Guards against requests that hold on to an upstream that has left, until the permits
// for it are valid, although no other upstream serves them: they are refused as not run.
func TestRequestsWaitingForAPermitAreRefusedWhenTheirUpstreamLeaves(t *testing.T) {
	s := start(t)
	s.routes(1)
	u := s.limitedUpstream("0.5")
	counts := u.sendAndDrain(s, "/once/1", 3, func() {})
	s.g.Expect(u.late.Load()).To(BeZero(), "requests that reached the draining upstream")
	s.g.Expect(counts[http.StatusServiceUnavailable]).To(BeNumerically(">=", 2))
	s.g.Expect(counts[http.StatusOK] + counts[http.StatusServiceUnavailable]).To(Equal(3))
}
