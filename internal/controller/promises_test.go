package controller

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against an extension that lacks the promise of a gateway, that counts
// from a later time than the oldest of them, or that goes on although a gateway
// has reached the store.
func TestPromisesOfAllGatewaysCount(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	t1, t2 := now.Add(time.Second), now.Add(2*time.Second)
	table := promiseTable{"self": {heard: now}}
	g.Expect(table.since("self")).To(BeZero(), "nobody else")
	table["b"] = &gatewayPromise{promised: t2}
	table["c"] = &gatewayPromise{promised: t1}
	g.Expect(table.since("self")).To(Equal(t1))
	table["d"] = &gatewayPromise{address: "10.0.0.1:1"}
	g.Expect(table.since("self")).To(BeZero())
	table["d/2"] = &gatewayPromise{address: "10.0.0.1:1", promised: t2}
	table.replaced("d/2", "10.0.0.1:1")
	g.Expect(table.since("self")).To(Equal(t1), "the process before it has ended")
	table["b"].reached = t1
	g.Expect(table.since("self")).To(BeZero())
	g.Expect(table.reached("self", t1.Add(reachedFor-1))).To(BeFalse())
	g.Expect(table.reached("self", t1.Add(reachedFor))).To(BeTrue())
	g.Expect(table.reached("b", t2)).To(BeFalse(), "its own reading says nothing")
}

// Guards against a gateway that is gone for good and whose promise is waited for,
// and against promises of an earlier outage.
func TestPromisesEndWithTheRenewal(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	table := promiseTable{"b": {heard: now, promised: now, reached: now}, "gone": {heard: now.Add(-4 * time.Second)}}
	table.renewed(3*time.Second, now)
	g.Expect(table).To(HaveLen(1))
	g.Expect(table.since("self")).To(BeZero())
	g.Expect(table["b"].reached).To(BeZero())
}
