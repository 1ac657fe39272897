package gateway_test

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lagoonvalve/lagoonvalve/internal/fleet"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// leaver is an upstream that says in its answers that it leaves, while it is leaving.
type leaver struct {
	server   *httptest.Server
	leaving  atomic.Bool
	received atomic.Int32
}

func (u *leaver) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	u.received.Add(1)
	if u.leaving.Load() {
		w.Header().Set("Leaving", "1")
	}
	if r.URL.Path == "/stream/long" {
		events(w, 1, 2, false)
		_ = http.NewResponseController(w).Flush()
		time.Sleep(500 * time.Millisecond)
		events(w, 3, 4, false)
	}
}

// Guards against requests to an upstream that has said in an answer that it leaves, though
// the registry lists it as ready (rule DRAIN), against streams there that are cut, and
// against a new start under the same name that gets no requests.
func TestUpstreamThatLeavesByItsAnswers(t *testing.T) {
	s := start(t)
	s.routes(1)
	a, b := &leaver{}, &leaver{}
	a.server = s.upstream("a", "plain", a.ServeHTTP)
	b.server = s.upstream("b", "plain", b.ServeHTTP)
	s.await("/any/0", http.StatusOK)
	time.Sleep(time.Second) // Waits until the gateway has read both entries.
	name, u := "a", a
	if s.request(t.Context(), "/any/0", nil); b.received.Load() > 0 {
		name, u = "b", b
	}
	stream := make(chan response, 1)
	go func() { stream <- s.request(t.Context(), "/stream/long", nil) }()
	time.Sleep(100 * time.Millisecond)
	u.leaving.Store(true)
	before := u.received.Load()
	for range 20 {
		s.g.Expect(s.request(t.Context(), "/once/1", nil).status).To(Equal(http.StatusOK))
	}
	// The other upstream may have been preferred while the stream ran.
	s.g.Expect(u.received.Load() - before).To(BeNumerically("<=", 1))
	s.g.Expect((<-stream).body).To(Equal(wholeStream))
	for range 20 {
		s.g.Expect(s.request(t.Context(), "/once/1", nil).status).To(Equal(http.StatusOK))
	}
	s.g.Expect(u.received.Load()-before).To(Equal(int32(1)), "the first answer that says so is the last one")
	u.leaving.Store(false)
	s.upstreams.add(name, &fleet.Upstream{
		Name: state.UpstreamName(name), Service: "plain", Address: u.server.Listener.Addr().String(), DataCentre: "dc", Slots: 4, Started: time.Now(),
	})
	s.g.Eventually(func() int32 {
		s.request(t.Context(), "/any/1", nil)
		return u.received.Load() - before
	}).WithTimeout(5 * time.Second).Should(BeNumerically(">", 1))
}

// Guards against a caller that is told nothing, or waits until its deadline, when the only
// upstream leaves, and against requests that wait for a permit of it.
func TestOnlyUpstreamLeaves(t *testing.T) {
	s := start(t)
	s.routes(1)
	u := &leaver{}
	s.upstream("a", "plain", u.ServeHTTP)
	s.await("/any/0", http.StatusOK)
	u.leaving.Store(true)
	s.g.Expect(s.request(t.Context(), "/once/1", nil).status).To(Equal(http.StatusOK))
	before := u.received.Load()
	got := s.request(t.Context(), "/once/1", http.Header{"Patience": {"1s"}})
	s.g.Expect(got.status).To(Equal(http.StatusServiceUnavailable))
	s.g.Expect(got.header.Get("Retry-After")).NotTo(BeEmpty())
	s.g.Expect(u.received.Load()).To(Equal(before))
}

// Guards against requests to an upstream that has said that it leaves and whose entry was
// missing from the registry for a while (rule DRAIN).
func TestLeavingUpstreamIsListedAgain(t *testing.T) {
	s := start(t)
	s.routes(1)
	u := &leaver{}
	u.server = s.upstream("a", "plain", u.ServeHTTP)
	s.await("/any/0", http.StatusOK)
	u.leaving.Store(true)
	s.g.Expect(s.request(t.Context(), "/once/1", nil).status).To(Equal(http.StatusOK))
	before := u.received.Load()
	s.upstreams.add("a", nil)
	time.Sleep(drainNoticed)
	s.upstreams.add("a", &fleet.Upstream{
		Name: "a", Service: "plain", Address: u.server.Listener.Addr().String(), DataCentre: "dc", Slots: 4, Report: 1,
	})
	time.Sleep(drainNoticed)
	got := s.request(t.Context(), "/once/1", http.Header{"Patience": {"1s"}})
	s.g.Expect(got.status).To(Equal(http.StatusServiceUnavailable))
	s.g.Expect(u.received.Load()).To(Equal(before))
}
