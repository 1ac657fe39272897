package agent_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lagoonvalve/lagoonvalve/internal/platform"
	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
	"github.com/lagoonvalve/lagoonvalve/internal/verdict"
)

// Guards against new work after a drain order, and against a drain that ends
// running work.
func TestDrain(t *testing.T) {
	inBubble(t, func(w *world) {
		w.awake()
		release := w.hold()
		running := w.background()
		w.call(rpc.MethodDrain, rpc.DrainParams{Draining: true}, &struct{}{})
		w.Expect(w.request(anyone).reason()).To(Equal(string(verdict.ReasonDraining)))
		release()
		w.Expect((<-running).body).To(Equal("answer"))
		w.call(rpc.MethodDrain, rpc.DrainParams{}, &struct{}{})
		w.Expect(w.request(anyone).body).To(Equal("answer"))
	})
}

// Guards against an untruthful verdict at shutdown: what waits was not run,
// what runs too long may have run.
func TestShutdownVerdicts(t *testing.T) {
	inBubble(t, func(w *world) {
		w.cfg.Concurrency = 1
		w.awake()
		w.hold()
		running, queued := w.background(), w.background()
		w.stop()
		waited := <-queued
		w.Expect(waited.verdict()).To(Equal("not-run"))
		w.Expect(waited.reason()).To(Equal(string(verdict.ReasonDraining)))
		cut := <-running
		w.Expect(cut.verdict()).To(Equal("may-have-run"))
		w.Expect(cut.reason()).To(Equal(string(verdict.ReasonDraining)))
	})
}

// Guards against a graceful stop that leaves an intent behind, for which a
// successor would reserve memory.
func TestStopEndsWithEmptyIntent(t *testing.T) {
	inBubble(t, func(w *world) {
		w.awake()
		w.stop()
		w.Expect(<-w.ended).To(Succeed())
		last := w.log.last(region)
		w.Expect(last.Kind).To(Equal(state.KindIntent))
		w.Expect(decode[state.Intent](last).Models).To(BeEmpty())
		w.Expect(w.engine.ordered(platform.OrderUnload)).To(BeZero())
		w.cfg.Incarnation = "second"
		w.start()
		var status rpc.AgentStatus
		w.call(rpc.MethodAgentStatus, struct{}{}, &status)
		w.Expect(status.Reserved).To(Equal(state.Bytes(50)), "the loaded replica only")
	})
}

// Guards against steps of a stop that take longer together than the drain and
// settle times, when the engine and the log are away.
func TestStopEndsInTime(t *testing.T) {
	for _, leaveHost := range []bool{false, true} {
		inBubble(t, func(w *world) {
			w.cfg.Shutdown, w.cfg.Settle = 8*time.Second, 4*time.Second
			w.awake()
			w.hold()
			running := w.background()
			w.log.set(func(l *fakeLog) { l.down = true })
			began := time.Now()
			if leaveHost {
				w.caller.setLeaving()
				for ; w.agent.Ready() == nil; settle(time.Millisecond) {
					began = time.Now()
				}
			} else {
				w.stop()
			}
			w.Expect(<-w.ended).To(Succeed())
			w.ended <- nil
			w.Expect((<-running).verdict()).To(Equal("may-have-run"))
			w.Expect(w.agent.StopBy().Sub(began)).To(BeNumerically("~", 12*time.Second, 10*time.Millisecond))
			w.Expect(time.Now()).To(BeTemporally("<=", w.agent.RecordsBy()))
		})
	}
}

// Guards against a host that leaves with grants that nobody can move.
func TestLeavingHostReleasesGrants(t *testing.T) {
	inBubble(t, func(w *world) {
		w.awake()
		w.caller.setLeaving()
		w.Expect(<-w.ended).To(Succeed())
		w.ended <- nil
		w.Expect(w.engine.ordered(platform.OrderUnload)).To(Equal(1))
		w.Expect(w.log.kinds(region)).To(ContainElement(state.KindRelease))
	})
}
