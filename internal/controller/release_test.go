package controller_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lagoonvalve/lagoonvalve/internal/controller"
	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
)

// takeover stops the holder of the lease at a time after the start and returns how long it
// takes until the other process acts. Nothing tells that one that the holder has ended.
func takeover(t *testing.T, stopAfter time.Duration, change func(*leaseLog)) (took time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer func() {
			cancel()
			time.Sleep(time.Minute) // Calls that are on their way end.
		}()
		h := newHarness(t, 2, 2)
		h.log.writeTime = 200 * time.Millisecond
		holder, stop := context.WithCancel(ctx)
		h.start(holder, "a")
		time.Sleep(500 * time.Millisecond)
		next := h.start(ctx, "b")
		time.Sleep(stopAfter - 300*time.Millisecond)
		h.log.mu.Lock()
		change(h.log)
		h.log.mu.Unlock()
		time.Sleep(300 * time.Millisecond)
		stop()
		began := time.Now()
		for !acts(next) && time.Since(began) < 10*time.Second {
			// As a gateway does while the controller does not answer.
			next.RequestLeaseRead()
			time.Sleep(10 * time.Millisecond)
		}
		took = time.Since(began)
	})
	return took
}

func acts(c *controller.Controller) bool {
	_, err := c.ReportDemand(context.Background(), rpc.WantedParams{Gateway: "g"})
	return err == nil
}

// maxTakeover bounds the time for a renewal on its way, at most its timeout of 400 ms, the
// release and the write that takes the lease, 200 ms each, and the reads between them.
const maxTakeover = 1500 * time.Millisecond

// Guards against a planned stop that keeps the lease because a renewal is on its way or its
// outcome is unknown, so that nobody orders loads until the lease expires. The stops are spread
// over the time between two renewals.
func TestPlannedStopReleasesTheLease(t *testing.T) {
	for name, change := range map[string]func(*leaseLog){
		"a store that is slow":    func(*leaseLog) {},
		"a write is not answered": func(l *leaseLog) { l.lostAnswers = 1 },
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 0, 0)
			for n := range 10 {
				after := 5*time.Second + time.Duration(n)*electionSettings.Renew/10
				took := takeover(t, after, change)
				t.Logf("stop %d: the next controller acts after %s", n, took)
				h.g.Expect(took).To(BeNumerically("<", maxTakeover), "stopped after %s", after)
			}
		})
	}
}

// Guards against a stop that takes longer than its time, while the store does not answer.
func TestReleaseIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, 2, 2)
		ctx, cancel := context.WithCancel(t.Context())
		c := h.create("a")
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			c.Run(ctx)
		}()
		time.Sleep(time.Second)
		h.setCut(true, "a")
		c.SetReleaseBy(time.Now().Add(300 * time.Millisecond))
		began := time.Now()
		cancel()
		<-ended
		h.g.Expect(time.Since(began)).To(BeNumerically("<=", 300*time.Millisecond))
		time.Sleep(time.Minute) // Calls that are on their way end.
	})
}
