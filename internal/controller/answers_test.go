package controller_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lagoonvalve/lagoonvalve/internal/fleet"
	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// Guards against a model whose only replica is on an upstream that has said that it leaves
// and that is not loaded elsewhere, since the registry lists the upstream as ready; and
// against a new start of the upstream that is taken for leaving.
func TestModelOfALeavingUpstreamIsLoadedElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		h := newHarness(t, 2, 1)
		h.engines.all["u0"].replicas = []fleet.Replica{{Model: "m0"}}
		c := h.start(ctx, "a")
		time.Sleep(time.Second)
		h.reportDemand(c, 0)
		time.Sleep(time.Second)
		h.g.Expect(h.engines.accepted).To(BeEmpty(), "u0 serves the model")
		observed := limitObserved(false, 0)
		observed.Leaving = true
		_, err := c.ReportAnswers(ctx, rpc.AnswersParams{Gateway: "g", Answers: []rpc.AnswerObservation{observed}})
		h.g.Expect(err).NotTo(HaveOccurred())
		leaving := func() map[state.UpstreamName]bool {
			time.Sleep(100 * time.Millisecond)
			result, err := c.Residency(ctx, rpc.ResidencyParams{Gateway: "g"})
			h.g.Expect(err).NotTo(HaveOccurred())
			all := map[state.UpstreamName]bool{}
			for _, u := range result.Upstreams {
				all[u.Upstream] = u.Leaving
			}
			return all
		}
		h.g.Expect(leaving()).To(Equal(map[state.UpstreamName]bool{"u0": true, "u1": false}))
		h.reportDemand(c, 0)
		time.Sleep(time.Second)
		h.g.Expect(h.engines.accepted).To(HaveLen(1))
		h.g.Expect(h.engines.accepted[0].upstream).To(Equal(state.UpstreamName("u1")))
		lapsed := *h.fleet
		lapsed.Upstreams = lapsed.Upstreams[1:]
		c.Update(&lapsed)
		h.g.Expect(leaving()).To(Equal(map[state.UpstreamName]bool{"u0": false, "u1": false}), "u0 is not listed")
		listedAgain := *h.fleet
		c.Update(&listedAgain)
		h.g.Expect(leaving()).To(Equal(map[state.UpstreamName]bool{"u0": true, "u1": false}), "its entry had lapsed")
		restarted := *h.fleet
		again := *restarted.Upstreams[0]
		again.Started = time.Now()
		restarted.Upstreams = []*fleet.Upstream{&again, restarted.Upstreams[1]}
		c.Update(&restarted)
		h.g.Expect(leaving()).To(Equal(map[state.UpstreamName]bool{"u0": false, "u1": false}))
		cancel()
		synctest.Wait()
	})
}
