package lease_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lagoonvalve/lagoonvalve/internal/decide/lease"
	"github.com/lagoonvalve/lagoonvalve/internal/decide/membership"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// Guards against a holder that renews too rarely, a standby that takes the lease
// without waiting for TakeAfter and its stagger, a process that treats the lease
// of an earlier run as its own, and a stopping holder that goes on renewing.
func TestLeaseTiming(t *testing.T) {
	g := NewWithT(t)
	start := time.Unix(1000, 0)
	entries := []state.EntryName{"a", "b", "c"}
	id := func(name state.EntryName, run string) state.ProcessID {
		return state.ProcessID{Name: string(name), Incarnation: run}
	}
	ring := membership.NewRing(entries[1:])
	first, second := entries[1], entries[2]
	if ring.Rank(membership.RoleDecider, "", first) == 1 {
		first, second = second, first
	}
	held := lease.Input{Held: true, Entries: entries, Lease: state.LeaseState{Epoch: 4, Holder: "a", Writer: id("a", "1"), RenewedOffset: 4}}
	at := func(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }

	holder := lease.NewMachine(id("a", "1"), lease.DefaultSettings(), start)
	g.Expect(holder.Step(held, at(0)).Renew).To(Equal(&state.LeaseRenew{Epoch: 4}))
	g.Expect(holder.Step(held, at(2))).To(Equal(lease.Action{}))
	g.Expect(holder.Step(held, at(3)).Renew).NotTo(BeNil())
	g.Expect(holder.Deciding(at(9))).To(BeTrue())
	g.Expect(holder.Deciding(at(10))).To(BeFalse(), "it has not read its renewals for 10 s")
	leaving := held
	leaving.Leaving = true
	g.Expect(holder.Step(leaving, at(20))).To(Equal(lease.Action{}))

	firstStandby := lease.NewMachine(id(first, "1"), lease.DefaultSettings(), start)
	secondStandby := lease.NewMachine(id(second, "1"), lease.DefaultSettings(), start)
	firstStandby.Step(held, at(0))
	secondStandby.Step(held, at(0))
	renewed := held
	renewed.Lease.RenewedOffset = 7
	firstStandby.Step(renewed, at(2))
	secondStandby.Step(renewed, at(2))
	g.Expect(firstStandby.Step(renewed, at(11))).To(Equal(lease.Action{}))
	g.Expect(firstStandby.Step(renewed, at(12)).Take).To(Equal(&state.LeaseTake{Holder: first, Replaces: 4}))
	g.Expect(secondStandby.Step(renewed, at(12))).To(Equal(lease.Action{}))
	g.Expect(secondStandby.Step(renewed, at(13)).Take).NotTo(BeNil(), "the second waits one stagger")
	g.Expect(firstStandby.Step(renewed, at(13))).To(Equal(lease.Action{}), "no new attempt within RenewEvery of the last one")

	holderLeaving := renewed
	holderLeaving.HolderLeaving = true
	restartedStandby := lease.NewMachine(id(first, "2"), lease.DefaultSettings(), start)
	g.Expect(restartedStandby.Step(holderLeaving, at(0)).Take).NotTo(BeNil(), "a leaving holder is replaced at once")
	g.Expect(lease.NewMachine(id(first, "3"), lease.DefaultSettings(), start).Step(lease.Input{Entries: entries[1:]}, at(0)).Take).
		To(Equal(&state.LeaseTake{Holder: first, Replaces: state.NoOffset}))

	restartedHolder := lease.NewMachine(id("a", "2"), lease.DefaultSettings(), start)
	action := restartedHolder.Step(held, at(3))
	g.Expect(action.Renew).To(BeNil(), "the lease of an earlier run is not renewed")
	g.Expect(restartedHolder.Deciding(at(3))).To(BeFalse())
}
