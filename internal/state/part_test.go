package state_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// Guards against entries that derive different parts from the same offsets,
// one of them after a snapshot, and against a part that lacks what the memory
// account needs.
func TestPartIsAFunctionOfThePrefix(t *testing.T) {
	g := NewWithT(t)
	o := filled(2, 4)
	o.change(state.EntityAdapter, "x", 0, state.Adapter{Name: "x", Team: "t", Model: "m001", Size: 7})
	o.change(state.EntityModel, "m002", 1, state.Model{Name: "m002", Team: "t", MaxReplicas: 3, KeepAlive: 5})
	o.change(state.EntityDrain, "host/h0", 0, state.Drain{Host: "h0"})
	key := func(name state.ModelName) state.ReplicaKey { return state.ReplicaKey{Model: name, Version: "1"} }
	u := state.UpstreamName("u00000")
	records := []state.StoredRecord{
		at(0, state.KindLeaseTake, state.LeaseTake{Holder: "e", Replaces: state.NoOffset}),
		at(1, state.KindGrant, state.GrantBody{Epoch: 0, ReplicaKey: key("m000"), Upstream: u, Limit: 3}),
		at(2, state.KindAgentStart, state.AgentStart{Upstream: u, Incarnation: "i"}),
		at(3, state.KindIntent, state.Intent{Agent: 2, Models: []state.ReplicaKey{key("m001")}, Orders: 2}),
		at(4, state.KindGrant, state.GrantBody{Epoch: 0, ReplicaKey: key("m003"), Upstream: "u00001", Limit: 3}),
		at(5, state.KindRevoke, state.Revoke{Epoch: 0, Grant: 1}),
	}
	config := o.config.View()
	query := state.PartQuery{Upstream: u, ExtraReplicas: []state.ReplicaKey{key("m002")}}
	part := func(tables *state.RegionTables) state.UpstreamPart {
		return state.PartOf(config, tables.View(), state.NewAdapterIndex(config), query)
	}
	whole := state.NewRegionTables()
	for i, record := range records {
		whole.Apply(record)
		data, covered := whole.Snapshot()
		restored := state.NewRegionTables()
		g.Expect(restored.Restore(data, covered)).To(Succeed())
		one, other := part(whole), part(restored)
		g.Expect(other.Sum()).To(Equal(one.Sum()), "after record %d", i)
	}
	got := part(whole)
	g.Expect(got.Registration.Token).To(Equal(state.FencingToken(2)))
	g.Expect(*got.Intent).To(Equal(state.IntentSet{Upstream: u, Agent: 2, Offset: 3, Record: "3", Models: []state.ReplicaKey{key("m001")}, Orders: 2}))
	g.Expect(got.Grants).To(HaveLen(1))
	g.Expect(got.Grants[0].Revoked).To(BeTrue())
	g.Expect(got.Versions).To(HaveLen(3), "granted, in the intent, asked for")
	g.Expect(got.Adapters).To(HaveLen(1))
	g.Expect(got.KeepAlive).To(HaveKeyWithValue(state.ModelName("m002"), state.Duration(5)))
	g.Expect(got.Drained).To(BeTrue())
	g.Expect(got.Covers("m003")).To(BeFalse())
	before := got.Sum()
	whole.Apply(at(6, state.KindRevoke, state.Revoke{Epoch: 0, Grant: 4}))
	unchanged := part(whole)
	g.Expect(unchanged.Sum()).To(Equal(before), "another upstream's record")
}

// BenchmarkPart measures the derivation of a part with its sum, at a region's
// share of the two-year size, and the index that each configuration change
// renews.
func BenchmarkPart(b *testing.B) {
	o := filled(1500, 590)
	for i := range 1600 {
		name := state.AdapterName(fmt.Sprintf("a%04d", i))
		o.change(state.EntityAdapter, string(name), 0, state.Adapter{Name: name, Team: "t", Model: state.ModelName(fmt.Sprintf("m%03d", i%590)), Size: 1})
	}
	config := o.config.View()
	tables := state.NewRegionTables()
	tables.Apply(at(0, state.KindLeaseTake, state.LeaseTake{Holder: "e", Replaces: state.NoOffset}))
	for i := range 4 {
		key := state.ReplicaKey{Model: state.ModelName(fmt.Sprintf("m%03d", i)), Version: "1"}
		tables.Apply(at(state.Offset(i+1), state.KindGrant, state.GrantBody{ReplicaKey: key, Upstream: "u00000", Limit: 3}))
	}
	region, index := tables.View(), state.NewAdapterIndex(config)
	b.Run("part", func(b *testing.B) {
		for b.Loop() {
			part := state.PartOf(config, region, index, state.PartQuery{Upstream: "u00000", Host: "h0"})
			_ = part.Sum()
		}
	})
	b.Run("index", func(b *testing.B) {
		for b.Loop() {
			_ = state.NewAdapterIndex(config)
		}
	})
}
