package controller

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against an extension of the lease that lacks the promise of one
// gateway, counts from a later time than the oldest promise, or continues
// although a gateway has reached the store.
func TestExtensionNeedsPromisesOfAllGateways(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	t1, t2 := now.Add(time.Second), now.Add(2*time.Second)
	table := promiseTable{"self": {lastReport: now}}
	g.Expect(table.oldest("self")).To(BeZero(), "no other gateway")
	table["b"] = &gatewayPromise{promisedAt: t2}
	table["c"] = &gatewayPromise{promisedAt: t1}
	g.Expect(table.oldest("self")).To(Equal(t1))
	table["d"] = &gatewayPromise{address: "10.0.0.1:1"}
	g.Expect(table.oldest("self")).To(BeZero())
	table["d/2"] = &gatewayPromise{address: "10.0.0.1:1", promisedAt: t2}
	table.dropPredecessors("d/2", "10.0.0.1:1")
	g.Expect(table.oldest("self")).To(Equal(t1), "the process before it has ended")
	table["b"].reachedStoreAt = t1
	g.Expect(table.oldest("self")).To(BeZero())
	g.Expect(table.storeReached("self", t1.Add(minStoreReach-1))).To(BeFalse())
	g.Expect(table.storeReached("self", t1.Add(minStoreReach))).To(BeTrue())
	g.Expect(table.storeReached("b", t2)).To(BeFalse(), "its own access to the store does not count")
}

// Guards against waiting for the promise of a gateway that is gone for good,
// and against using promises of an earlier outage.
func TestRenewalClearsPromises(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	table := promiseTable{"b": {lastReport: now, promisedAt: now, reachedStoreAt: now}, "gone": {lastReport: now.Add(-4 * time.Second)}}
	table.reset(3*time.Second, now)
	g.Expect(table).To(HaveLen(1))
	g.Expect(table.oldest("self")).To(BeZero())
	g.Expect(table["b"].reachedStoreAt).To(BeZero())
}
