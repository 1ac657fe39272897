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

// Guards against orders that engines must refuse: an unload waits for the requests
// that use the model, and a load sent meanwhile conflicts with it. After each such
// conflict the controller had to request the engine's state again, and planned
// nothing for the engine until then.
func TestLoadWaitsForUnloadOfModelInUse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		h := newHarness(t, 1, 2)
		h.engines.all["u0"].replicas = []fleet.Replica{{Model: "m0"}}
		h.engines.all["u0"].unloadTime = 2 * time.Second
		c := h.start(ctx, "a")
		time.Sleep(time.Second)
		for range 8 {
			_, err := c.ReportDemand(ctx, rpc.WantedParams{Gateway: "g", Targets: []rpc.TargetDemand{
				{Model: "m0", Running: 1}, {Model: "m1", Waiting: 1, Rate: 1},
			}})
			h.g.Expect(err).NotTo(HaveOccurred())
			time.Sleep(time.Second)
		}
		cancel()
		synctest.Wait()
		h.g.Expect(h.engines.sent).To(HaveLen(2))
		h.g.Expect(h.engines.accepted).To(HaveLen(2), "no order conflicts")
		h.g.Expect(h.engines.all["u0"].replicas).To(Equal([]fleet.Replica{{Model: "m1"}}))
	})
}

// Guards against adapters that are loaded one after the other when requests for many
// adapters of a model arrive at the same time: engines load several concurrently.
func TestAdaptersAreLoadedConcurrently(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		h := newHarness(t, 1, 1)
		spec := h.engines.spec.Models["m0"]
		spec.Adapters, spec.AdapterSize = 3, 1
		h.engines.spec.Models["m0"], h.engines.spec.AdapterSlots = spec, 3
		h.engines.all["u0"].replicas = []fleet.Replica{{Model: "m0"}}
		h.engines.all["u0"].adapterTime = 15 * time.Millisecond
		c := h.start(ctx, "a")
		time.Sleep(time.Second)
		_, err := c.ReportDemand(ctx, rpc.WantedParams{Gateway: "g", Targets: []rpc.TargetDemand{
			{Model: "m0", Adapter: "a1", Waiting: 1}, {Model: "m0", Adapter: "a2", Waiting: 1}, {Model: "m0", Adapter: "a3", Waiting: 1},
		}})
		h.g.Expect(err).NotTo(HaveOccurred())
		time.Sleep(time.Second)
		cancel()
		synctest.Wait()
		h.g.Expect(h.engines.accepted).To(HaveLen(3))
		took := h.engines.accepted[2].at.Sub(h.engines.accepted[0].at)
		h.g.Expect(took).To(BeNumerically("<", 2*25*time.Millisecond), "less than two adapters one after the other")
	})
}

// Guards against more adapters than an engine has places for, which ends its process:
// an adapter that is still in use keeps its place after its unload was accepted, and
// the gateways' reports may not count its requests yet.
func TestAdapterLoadWaitsForUnloadInUse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		h := newHarness(t, 1, 1)
		spec := h.engines.spec.Models["m0"]
		spec.Adapters, spec.AdapterSize = 2, 1
		h.engines.spec.Models["m0"], h.engines.spec.AdapterSlots = spec, 1
		h.engines.all["u0"].replicas = []fleet.Replica{{Model: "m0", Adapters: []state.AdapterName{"a1"}}}
		h.engines.all["u0"].adapterTime = time.Second
		c := h.start(ctx, "a")
		time.Sleep(time.Second)
		for range 4 {
			_, err := c.ReportDemand(ctx, rpc.WantedParams{Gateway: "g", Targets: []rpc.TargetDemand{
				{Model: "m0", Adapter: "a1"}, {Model: "m0", Adapter: "a2", Waiting: 1},
			}})
			h.g.Expect(err).NotTo(HaveOccurred())
			time.Sleep(time.Second)
		}
		cancel()
		synctest.Wait()
		h.g.Expect(len(h.engines.accepted)).To(BeNumerically(">=", 2))
		unload, load := h.engines.accepted[0], h.engines.accepted[1]
		h.g.Expect(unload.Kind).To(Equal(fleet.Unload))
		h.g.Expect(load.Adapter).To(Equal(state.AdapterName("a2")))
		h.g.Expect(load.at.Sub(unload.at)).To(BeNumerically(">=", time.Second))
	})
}

// Guards against a faulty engine that writes an earlier refusal once more, which is taken
// for the answer to an order that it has accepted: a model must not be loaded twice, nor
// beside another one that the engine has no room for, whatever reports from before the
// order say.
func TestAcceptedOrderThatIsAnsweredByARefusal(t *testing.T) {
	for name, refusal := range map[string]fleet.OrderResult{"conflict": fleet.OrderConflict, "refusal": fleet.OrderRefused} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				h := newHarness(t, 1, 2)
				h.engines.all["u0"].replicas = []fleet.Replica{{Model: "m0"}}
				h.engines.falseRefusals, h.engines.falseRefusal = 2, refusal
				h.engines.reportAge = 300 * time.Millisecond
				c := h.start(ctx, "a")
				time.Sleep(time.Second)
				for range 10 {
					h.reportDemand(c, 1)
					time.Sleep(time.Second)
				}
				cancel()
				synctest.Wait()
				h.g.Expect(h.engines.falseRefusals).To(BeZero())
				h.g.Expect(h.engines.accepted).To(HaveLen(2))
				h.g.Expect(h.engines.accepted[0].Kind).To(Equal(fleet.Unload))
				h.g.Expect(h.engines.accepted[1].Order.Target).To(Equal(fleet.Target{Model: "m1"}))
				h.g.Expect(len(h.engines.sent)).To(BeNumerically("<=", 8), "no order is repeated at once")
				h.g.Expect(h.engines.all["u0"].replicas).To(Equal([]fleet.Replica{{Model: "m1"}}))
			})
		})
	}
}
