package controller_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lagoonvalve/lagoonvalve/internal/controller"
	"github.com/lagoonvalve/lagoonvalve/internal/fleet"
	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// The pattern is many gateways that learn the registry from the controller.
// Guards against an upstream that leaves, or is gone, without a word of it, and
// against a word for each heartbeat.
func TestControllerTellsTheRegistrysChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		w := newWorld(t, 3, 2)
		plain := &fleet.Upstream{Name: "p0", Service: "plain", Address: "10.0.0.9:1", Slots: 6}
		w.fleet.Upstreams = append(w.fleet.Upstreams, plain)
		c := w.start(ctx, "a")
		time.Sleep(time.Second)
		ask := func(before rpc.ResidencyResult, wait time.Duration) rpc.ResidencyResult {
			result, err := c.Residency(ctx, rpc.ResidencyParams{Gateway: "g", Term: before.Term, Revision: before.Revision, Wait: state.Duration(wait)})
			w.g.Expect(err).NotTo(HaveOccurred())
			return result
		}
		update := func(upstreams ...*fleet.Upstream) {
			c.Update(&controller.Fleet{Manifest: w.fleet.Manifest, Upstreams: upstreams})
		}
		all := ask(rpc.ResidencyResult{}, time.Second)
		w.g.Expect(all.Upstreams).To(HaveLen(4), "plain services as well")

		beat := *plain
		beat.Report = 7
		engines := w.fleet.Upstreams[:3]
		update(append(engines[:3:3], &beat)...)
		w.g.Expect(ask(all, 2*time.Second).Upstreams).To(BeEmpty(), "a heartbeat changes nothing")

		leaving := beat
		leaving.Draining, leaving.Report = true, 8
		update(append(engines[:3:3], &leaving)...)
		began := time.Now()
		next := ask(all, time.Minute)
		w.g.Expect(time.Since(began)).To(BeNumerically("<", 500*time.Millisecond))
		w.g.Expect(next.Upstreams).To(HaveLen(1))
		w.g.Expect(next.Upstreams[0].Draining).To(BeTrue())
		w.g.Expect(next.Upstreams[0].Address).To(Equal(plain.Address))

		update(engines...)
		last := ask(next, time.Minute)
		w.g.Expect(last.Upstreams).To(Equal([]rpc.UpstreamResidency{{Upstream: "p0", Gone: true}}))

		update(append(engines[:3:3], &beat)...)
		back := ask(last, time.Minute)
		w.g.Expect(back.Upstreams).To(HaveLen(1))
		w.g.Expect(back.Upstreams[0].Gone).To(BeFalse())
		cancel()
		synctest.Wait()
	})
}

// Guards against an age of the registry that looks fresh though the holder does
// not read it any more.
func TestControllerTellsHowOldItsRegistryIs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		w := newWorld(t, 1, 1)
		c := w.start(ctx, "a")
		c.RecordRegistryRead(time.Now())
		time.Sleep(2 * time.Second)
		result, err := c.Residency(ctx, rpc.ResidencyParams{Gateway: "g"})
		w.g.Expect(err).NotTo(HaveOccurred())
		w.g.Expect(result.RegistryAge.Std()).To(Equal(2 * time.Second))
		cancel()
		synctest.Wait()
	})
}
