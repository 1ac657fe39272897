package controller_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lagoonvalve/lagoonvalve/internal/controller"
	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// Guards against two holders: one that is cut off from the log goes on giving
// orders after another has begun, or with an older token.
func TestCutOffHolderStopsBeforeTheNextBegins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		w := newWorld(t, 8, 40)
		a := w.start(ctx, "a")
		time.Sleep(500 * time.Millisecond)
		b := w.start(ctx, "b")
		time.Sleep(500 * time.Millisecond)
		for second := range 20 {
			if second == 5 {
				w.log.mu.Lock()
				w.log.cut["a"] = true
				w.log.mu.Unlock()
			}
			// Demand moves on, so that there is always an order to give.
			for _, c := range []*controller.Controller{a, b} {
				_, err := c.ReportDemand(context.Background(), rpc.WantedParams{Gateway: "g", Targets: []rpc.TargetDemand{
					{Model: state.ModelName(fmt.Sprint("m", 2*second)), Waiting: 1, Rate: 1},
					{Model: state.ModelName(fmt.Sprint("m", 2*second+1)), Waiting: 1, Rate: 1},
				}})
				_ = err // Only the holder takes it.
			}
			time.Sleep(time.Second)
		}
		cancel()
		synctest.Wait()
		holders := []string{}
		token := state.FencingToken(0)
		for _, o := range w.engines.sent {
			w.g.Expect(o.Token).To(BeNumerically(">=", token))
			token = o.Token
			if n := len(holders); n == 0 || holders[n-1] != o.Holder {
				holders = append(holders, o.Holder)
			}
		}
		w.g.Expect(holders).To(Equal([]string{"a", "b"}))
	})
}

// linked is a controller that asks another one as its gateway does, and tells it
// how long ago it has read from the store.
func linked(ctx context.Context, name string, asker, holder *controller.Controller, storeAge func() time.Duration) {
	params := rpc.ResidencyParams{Gateway: name}
	for ctx.Err() == nil {
		leader := asker.Leader()
		params.StoreAge = state.Duration(storeAge())
		result, err := holder.Residency(ctx, params)
		params.Promised, params.Term = 0, result.Term
		switch {
		case err != nil:
		case result.Term == 0 && leader.Holder != "" && result.Holder != leader.Holder:
			asker.ObserveEnd(leader.Holder)
		case result.Term != 0:
			asker.ObserveOffset(result.LeaseOffset)
			if result.Unrenewed != 0 && asker.Promise(ctx, result.LeaseOffset) {
				params.Promised = result.Unrenewed
			}
		}
		select {
		case <-time.After(100 * time.Millisecond):
		case <-ctx.Done():
		}
	}
}

// The pattern is demand that moves while the holder of the lease is cut off from
// the store (seen on played days: no orders for 2.1 s). Guards
// against orders that stop until the lease lapses though another process could
// give them, and against orders of two holders at once.
func TestCutOffHolderGivesWayToOneThatReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		w := newWorld(t, 8, 200)
		a := w.start(ctx, "a")
		time.Sleep(500 * time.Millisecond)
		b := w.start(ctx, "b")
		go linked(ctx, "b", b, a, func() time.Duration { return 50 * time.Millisecond })
		time.Sleep(500 * time.Millisecond)
		cut := time.Time{}
		for step := range 100 {
			if step == 50 {
				w.cut(true, "a")
				cut = time.Now()
			}
			w.wantNext([]*controller.Controller{a, b}, step)
			time.Sleep(100 * time.Millisecond)
		}
		cancel()
		synctest.Wait()
		last, first := time.Time{}, time.Time{}
		for _, o := range w.engines.sent {
			switch {
			case o.Holder == "a":
				last = o.at
				w.g.Expect(first.IsZero()).To(BeTrue(), "a gives no order after b")
			case first.IsZero():
				first = o.at
			}
		}
		w.g.Expect(first.Sub(last)).To(BeNumerically(">=", 300*time.Millisecond), "a's last orders have arrived")
		w.g.Expect(first.Sub(cut)).To(BeNumerically("<", times.TTL-400*time.Millisecond), "well before the lease lapses and b has heard all gateways")
	})
}

// The pattern is a store that turns some gateways away while the lease changes
// hands (seen on a played day: a gateway asked the old holder for 8 s). Guards
// against a gateway that can't learn of the new holder, and against an old
// announcement that arrives late.
func TestAnnouncedHolderIsKnownWithoutTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		w := newWorld(t, 1, 1)
		a := w.start(ctx, "a")
		time.Sleep(time.Second)
		b := w.start(ctx, "b")
		time.Sleep(time.Second)
		w.g.Expect(b.Leader().Control).To(Equal("a"))
		w.log.mu.Lock()
		w.log.cut["b"] = true
		w.log.mu.Unlock()
		next := controller.Leader{Holder: "c", Control: "c"}
		b.ObserveAnnouncement(next, 40)
		b.ObserveAnnouncement(controller.Leader{Holder: "d", Control: "d"}, 39)
		synctest.Wait()
		w.g.Expect(b.Leader()).To(Equal(next))
		a.ObserveAnnouncement(next, 40)
		synctest.Wait()
		w.g.Expect(a.Leader().Holder).To(Equal("a"), "a holder goes by the store alone")
		cancel()
		synctest.Wait()
	})
}

// cut cuts processes off from the log, or heals them.
func (w *world) cut(cut bool, names ...string) {
	w.log.mu.Lock()
	defer w.log.mu.Unlock()
	for _, name := range names {
		w.log.cut[name] = cut
	}
}

// wantNext asks for a model that was not asked for before.
func (w *world) wantNext(controllers []*controller.Controller, model int) {
	for _, c := range controllers {
		_, err := c.ReportDemand(context.Background(), rpc.WantedParams{Gateway: "g", Targets: []rpc.TargetDemand{
			{Model: state.ModelName(fmt.Sprint("m", model)), Waiting: 1, Rate: 1},
		}})
		_ = err // Only the holder takes it.
	}
}

// The pattern is demand that moves while the store is away for longer than a
// lease (incident inc-ce8e: no orders for eight seconds). Guards against orders
// that stop although no other process can take the lease, against an extension
// that one process has not agreed to, and against orders of two holders.
func TestOrdersGoOnWhileTheStoreIsAwayForAll(t *testing.T) {
	for name, silent := range map[string]bool{"all promise": false, "one is silent": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				w := newWorld(t, 8, 300)
				a := w.start(ctx, "a")
				time.Sleep(500 * time.Millisecond)
				b, c := w.start(ctx, "b"), w.start(ctx, "c")
				all := []*controller.Controller{a, b, c}
				var gone atomic.Pointer[time.Time]
				age := func() time.Duration {
					if since := gone.Load(); since != nil {
						return time.Since(*since)
					}
					return 50 * time.Millisecond
				}
				silence, hush := context.WithCancel(ctx)
				go linked(ctx, "b", b, a, age)
				go linked(silence, "c", c, a, age)
				for step := range 200 {
					switch step {
					case 80:
						w.cut(true, "a", "b", "c")
						now := time.Now()
						gone.Store(&now)
						if silent {
							hush()
						}
					case 160:
						w.cut(false, "a", "b", "c")
					}
					w.wantNext(all, step)
					time.Sleep(100 * time.Millisecond)
				}
				hush()
				cancel()
				synctest.Wait()
				late := 0
				for _, o := range w.engines.sent {
					since := o.at.Sub(*gone.Load())
					if since > times.TTL+time.Second && since < 8*time.Second {
						late++
						w.g.Expect(o.Holder).To(Equal("a"))
					}
				}
				if silent {
					w.g.Expect(late).To(BeZero(), "c might have taken the lease")
				} else {
					w.g.Expect(late).To(BeNumerically(">", 10))
				}
			})
		})
	}
}
