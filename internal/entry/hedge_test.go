package entry

import (
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// Guards against two answers to one caller, and against a hedge that leaves
// the slower attempt running.
func TestHedgeCancelsSlowerAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var cancelled sync.WaitGroup
		cancelled.Add(1)
		slow := func(r *http.Request) (*http.Response, error) {
			<-r.Context().Done()
			cancelled.Done()
			return nil, r.Context().Err()
		}
		agents := agentsOf(answers{"a": served("A"), "b": served("B")})
		b := newGatewayBench(t, agents, "a", "b")
		b.target = target{key: state.ReplicaKey{Model: "m", Version: "v"}}
		route := b.routes.of(b.target, b.cfg.route)
		route.setReplicas(1, b.view().services["tickets"], &b.loads)
		streamed := func(r *request) { r.stream = true }
		for range 60 {
			_, err := b.send(t.Context(), true, streamed)
			g.Expect(err).NotTo(HaveOccurred())
		}
		agents.answer["a"] = slow
		for len(agents.calls) < 1000 {
			before := len(agents.calls)
			got, err := b.send(t.Context(), true, streamed)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(got.Body.String()).To(Equal("B"))
			if len(agents.calls) == before+2 {
				cancelled.Wait()
				return
			}
		}
		t.Fatal("no request was hedged")
	})
}

// Guards against hedges that go to a replica whose agent reports a slowdown, and
// thus use up the budget for nothing.
func TestNoHedgeToStraggler(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		after := func(wait time.Duration) func(r *http.Request) (*http.Response, error) {
			return func(r *http.Request) (*http.Response, error) {
				select {
				case <-time.After(wait):
					return served("done")(r)
				case <-r.Context().Done():
					return nil, r.Context().Err()
				}
			}
		}
		fast, slow := after(10*time.Millisecond), after(time.Second)
		for slowdown, calls := range map[float64]int{0: 62, 8: 61} {
			agents := agentsOf(answers{"a": fast, "b": fast})
			b := newGatewayBench(t, agents, "a", "b")
			b.target = target{key: state.ReplicaKey{Model: "m", Version: "v"}}
			route := b.routes.of(b.target, b.cfg.route)
			replicas := b.view().services["tickets"]
			route.setReplicas(1, replicas, &b.loads)
			send := func() {
				_, err := b.send(t.Context(), true, func(r *request) { r.stream = true })
				g.Expect(err).NotTo(HaveOccurred())
			}
			for range 60 {
				send()
			}
			agents.answer["a"], agents.answer["b"] = slow, slow
			for i := range replicas {
				replicas[i].Slowdown = slowdown
			}
			route.setReplicas(2, replicas, &b.loads)
			send()
			g.Expect(agents.calls).To(HaveLen(calls))
		}
	})
}
