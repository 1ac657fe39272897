package estimate_test

import (
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lagoonvalve/lagoonvalve/internal/decide/estimate"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

func observe(e *estimate.Estimator, caller string, n int, service time.Duration) {
	for range n {
		e.Observe(estimate.Key{Model: "m", Caller: state.CallerName(caller)}, estimate.Sample{Tokens: 100, Service: service})
	}
}

// Guards against a start value that refuses unknown work or calls it long.
func TestStartIsSafe(t *testing.T) {
	g := NewWithT(t)
	e := estimate.New(estimate.Config{})
	got := e.Estimate(estimate.Key{Model: "m", Caller: "a"}, 0)
	g.Expect(got).To(Equal(estimate.Estimate{Tokens: 128, Service: 500 * time.Millisecond}))
	observe(e, "a", 50, 300*time.Millisecond)
	other := e.Estimate(estimate.Key{Model: "m", Caller: "new"}, 0)
	g.Expect(other.Service).To(BeNumerically("~", 300*time.Millisecond, 20*time.Millisecond), "a new caller starts from its model")
	g.Expect(other.Known).To(BeFalse())
}

// Guards against long callers that pass for short, and against short callers
// that one long request turns long.
func TestLongCallersAreToldApart(t *testing.T) {
	g := NewWithT(t)
	e := estimate.New(estimate.Config{})
	observe(e, "short", 100, 300*time.Millisecond)
	observe(e, "long", 3, 15*time.Second)
	observe(e, "short", 1, 15*time.Second)
	observe(e, "short", 5, 300*time.Millisecond)
	g.Expect(e.Estimate(estimate.Key{Model: "m", Caller: "long"}, 0).Long).To(BeTrue())
	short := e.Estimate(estimate.Key{Model: "m", Caller: "short"}, 0)
	g.Expect(short.Long).To(BeFalse())
	g.Expect(short.Service).To(BeNumerically("<", 400*time.Millisecond))
	g.Expect(e.LongThreshold("m")).To(BeNumerically("~", 2500*time.Millisecond, 500*time.Millisecond))
}

// Guards against unbounded memory with many callers.
func TestHistoriesAreBounded(t *testing.T) {
	g := NewWithT(t)
	e := estimate.New(estimate.Config{MaxKeys: 10})
	for i := range 100 {
		observe(e, strconv.Itoa(i), 1, time.Second)
	}
	g.Expect(e.Len()).To(Equal(10))
}

// Guards against long work that takes all slots, or none.
func TestLongLimit(t *testing.T) {
	g := NewWithT(t)
	limit := estimate.LongLimit{}
	for slots, want := range map[int]int{1: 1, 2: 1, 4: 1, 8: 2, 16: 4} {
		g.Expect(limit.Max(slots)).To(Equal(want))
		g.Expect(limit.Fits(slots, want)).To(BeFalse())
		g.Expect(limit.Fits(slots, want-1)).To(BeTrue())
	}
	g.Expect(estimate.LongLimit{Share: 1}.Max(8)).To(Equal(7))
}

// Guards against a straggler that keeps promising its usual speed, and against
// noise or an end of the disturbance that go unnoticed.
func TestCalibrationFollowsSlowdown(t *testing.T) {
	g := NewWithT(t)
	var c estimate.SlowdownTracker
	g.Expect(c.Factor()).To(Equal(1.0))
	feed := func(n int, first time.Duration) {
		for i := range n {
			c.Observe(first+time.Duration(i%5)*first/10, 1000)
		}
	}
	feed(100, 100*time.Millisecond)
	g.Expect(c.Factor()).To(Equal(1.0))
	feed(12, time.Second)
	g.Expect(c.Factor()).To(BeNumerically(">", 5))
	feed(12, 100*time.Millisecond)
	g.Expect(c.Factor()).To(Equal(1.0))
}

// Guards against an overdue first token that hides how slow an upstream is: the
// wait so far is shorter than the time to the token. Guards as well against a
// single slow token that counts for long, and against a prompt longer than usual
// that is taken for a slow upstream.
func TestOverdueTokenNeverLowersFactor(t *testing.T) {
	g := NewWithT(t)
	var c estimate.SlowdownTracker
	for range 50 {
		c.Observe(100*time.Millisecond, 1000)
	}
	c.ObserveOverdue(c.OverdueAfter(1000), 1000)
	g.Expect(c.Factor()).To(BeNumerically("~", 3, 0.01), "a wait is a lower bound")
	c.ObserveOverdue(c.OverdueAfter(1000)/2, 1000)
	g.Expect(c.Factor()).To(BeNumerically("~", 3, 0.01))
	c.Observe(100*time.Millisecond, 1000)
	g.Expect(c.Factor()).To(Equal(1.0))
	c.ObserveOverdue(time.Second, 1000)
	for range 3 {
		g.Expect(c.Factor()).To(BeNumerically(">", 2))
		c.Observe(100*time.Millisecond, 1000)
	}
	g.Expect(c.Factor()).To(Equal(1.0))
	for range 12 {
		c.Observe(time.Second, 1000)
	}
	slow := c.Factor()
	g.Expect(slow).To(BeNumerically(">", 5))
	c.ObserveOverdue(c.OverdueAfter(1000), 1000)
	g.Expect(c.Factor()).To(Equal(slow))
	c.ObserveOverdue(5*time.Second, 10_000)
	g.Expect(c.Factor()).To(Equal(slow))
	g.Expect(c.OverdueAfter(10_000)).To(BeNumerically("~", 10*c.OverdueAfter(1000), time.Millisecond))
	c.ObserveOverdue(5*time.Second, 1000)
	g.Expect(c.Factor()).To(BeNumerically(">", slow))
}
