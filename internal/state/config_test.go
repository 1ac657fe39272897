package state_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// operator appends changes to a configuration.
type operator struct {
	config *state.Config
	team   state.TeamName
}

func (o *operator) change(kind state.EntityKind, name string, expected state.Revision, v any) state.Outcome {
	ch := state.ConfigChange{Entity: kind, Name: name, Expected: expected, Actor: "op", Team: o.team}
	if v != nil {
		ch.Value = value(v)
	}
	return o.config.Apply(at(o.config.Offset()+1, state.KindConfigChange, ch))
}

func runner(i int) state.Upstream {
	return state.Upstream{
		Name: state.UpstreamName(fmt.Sprintf("u%05d", i)), Kind: state.ModelRunner, Host: state.HostName(fmt.Sprint("h", i)),
		Region: "r", DataCentre: "d", Memory: state.GiB, Fencing: state.FencingIgnored,
		TrafficAddr: fmt.Sprintf("10.%d.%d.1:80", i/250, i%250), ControlAddr: fmt.Sprintf("10.%d.%d.1:81", i/250, i%250),
	}
}

// filled returns a configuration of the two-year size or a part of it.
func filled(upstreams, models int) *operator {
	o := &operator{config: state.NewConfig()}
	o.change(state.EntityTeam, "t", 0, state.Team{Name: "t"})
	for i := range upstreams {
		o.change(state.EntityUpstream, string(runner(i).Name), 0, runner(i))
	}
	for i := range models {
		name := state.ModelName(fmt.Sprintf("m%03d", i))
		o.change(state.EntityModel, string(name), 0, state.Model{Name: name, Team: "t", MaxReplicas: 3})
		o.change(state.EntityVersion, string(name)+"/1", 0, state.ModelVersion{Model: name, Name: "1", Weights: state.GiB})
	}
	return o
}

// Guards against an invalid change that is accepted, and against an operator
// who learns only one of several reasons.
func TestInvalidChangesNameEveryReason(t *testing.T) {
	g := NewWithT(t)
	o := filled(2, 1)
	for what, c := range map[string]struct {
		out     state.Outcome
		reasons int
	}{
		"model":     {o.change(state.EntityModel, "x", 0, state.Model{Name: "y", Team: "no", Active: "1", MinReplicas: 3, MaxReplicas: -1, Pinned: []state.UpstreamName{"q", "q"}}), 8},
		"version":   {o.change(state.EntityVersion, "no/1", 0, state.ModelVersion{Model: "no", Name: "1", KVHeadroom: 1 << 51}), 3},
		"adapter":   {o.change(state.EntityAdapter, "a", 0, state.Adapter{Name: "a", Team: "no", Model: "no"}), 3},
		"caller":    {o.change(state.EntityCaller, "c", 0, state.Caller{Name: "c", Team: "t", HighestClass: 9, Weight: 0, MaxInFlight: -1}), 3},
		"service":   {o.change(state.EntityService, "s", 0, state.Service{Name: "s", Team: "t", Calls: []state.ServiceCall{{Prefix: "x"}, {Prefix: "x"}}}), 3},
		"upstream":  {o.change(state.EntityUpstream, "u", 0, state.Upstream{Name: "u", Kind: "x", TrafficAddr: runner(0).TrafficAddr, ControlAddr: "host:1", Services: []state.ServiceName{"no"}}), 7},
		"drain":     {o.change(state.EntityDrain, "upstream/no", 0, state.Drain{Upstream: "no"}), 1},
		"kind":      {o.change("x", "x", 0, state.Team{}), 1},
		"name":      {o.change(state.EntityTeam, "-x", 0, state.Team{Name: "-x"}), 1},
		"deletion":  {o.change(state.EntityTeam, "none", 0, nil), 1},
		"used team": {o.change(state.EntityTeam, "t", 1, nil), 1},
		"used":      {o.change(state.EntityModel, "m000", 1, nil), 1},
	} {
		g.Expect(c.out.Effect).To(Equal(state.EffectInvalid), what)
		g.Expect(c.out.Reasons).To(HaveLen(c.reasons), what)
	}
	o.change(state.EntityTeam, "rival", 0, state.Team{Name: "rival"})
	o.team = "rival"
	model := state.Model{Name: "m000", Team: "rival", MaxReplicas: 1}
	g.Expect(o.change(state.EntityModel, "m000", 1, model).Reasons).To(HaveLen(1), "another team's model")
	g.Expect(o.change(state.EntityVersion, "m000/1", 1, nil).Reasons).To(HaveLen(1))
	g.Expect(o.change(state.EntityDrain, "host/h0", 0, state.Drain{Host: "h0"}).Reasons).To(HaveLen(1))
}

// Guards against a conflict that does not name its winner, a late change that
// meets a re-created entity, and a view that changes or misses a drain.
func TestConflictsAndViews(t *testing.T) {
	g := NewWithT(t)
	o := filled(1, 1)
	before := o.config.View()
	won := o.change(state.EntityTeam, "x", 0, state.Team{Name: "x"})
	lost := o.change(state.EntityTeam, "x", 0, state.Team{Name: "x"})
	g.Expect(lost.Effect).To(Equal(state.EffectConflict))
	g.Expect(lost.Winner).To(Equal(state.Winner{Actor: "op", Offset: won.Offset, Revision: 1}))
	gone := o.change(state.EntityTeam, "x", 1, nil)
	g.Expect(o.change(state.EntityTeam, "x", 1, state.Team{Name: "x"}).Winner).To(Equal(state.Winner{Actor: "op", Offset: gone.Offset}))
	g.Expect(o.change(state.EntityTeam, "x", 0, state.Team{Name: "x"}).Revision).To(Equal(state.Revision(2)))
	g.Expect(o.change(state.EntityTeam, "x", 1, nil).Effect).To(Equal(state.EffectConflict), "the revision of the deleted one")
	for i := range 5000 { // More deletions than tombstones.
		name := fmt.Sprint("gone", i)
		o.change(state.EntityTeam, name, 0, state.Team{Name: state.TeamName(name)})
		o.change(state.EntityTeam, name, 1, nil)
	}
	g.Expect(o.change(state.EntityTeam, "gone0", 0, state.Team{Name: "gone0"}).Revision).To(Equal(state.Revision(2)), "a forgotten tombstone")

	g.Expect(before.Drained("u00000")).To(BeFalse())
	o.change(state.EntityDrain, "host/h0", 0, state.Drain{Host: "h0"})
	g.Expect(o.config.View().Drained("u00000")).To(BeTrue())
	g.Expect(before.Drained("u00000")).To(BeFalse())
	_, _, ok := before.Team("x")
	g.Expect(ok).To(BeFalse())
	o.change(state.EntityDrain, "host/h0", 1, nil)
	o.change(state.EntityDrain, "upstream/u00000", 0, state.Drain{Upstream: "u00000"})
	g.Expect(o.config.View().Drained("u00000")).To(BeTrue())
	g.Expect(o.change(state.EntityUpstream, "u1", 0, func() any { u := runner(0); u.Name = "u1"; return u }()).Reasons).To(HaveLen(2), "both addresses are taken")
}

// Guards the region's rules that grants do not show: intents of old agents,
// the last word on a quarantine, and its expiry.
func TestIntentsAndQuarantine(t *testing.T) {
	g := NewWithT(t)
	tables := state.NewRegionTables()
	apply := func(p state.StoredRecord) state.Effect { return tables.Apply(p).Effect }
	apply(at(1, state.KindAgentStart, state.AgentStart{Upstream: "u"}))
	apply(at(2, state.KindIntent, state.Intent{Agent: 1, Models: []state.ReplicaKey{{Model: "m"}}}))
	apply(at(3, state.KindAgentStart, state.AgentStart{Upstream: "u"}))
	g.Expect(apply(at(4, state.KindIntent, state.Intent{Agent: 1}))).To(Equal(state.EffectConflict))
	intent, _ := tables.View().IntentOf("u")
	g.Expect(intent.Models).To(HaveLen(1), "the predecessor's set stays until the successor's")
	g.Expect(apply(at(5, state.KindIntent, state.Intent{Agent: 3}))).To(Equal(state.EffectApplied))
	until := start.Add(time.Hour)
	apply(at(6, state.KindQuarantine, state.Quarantine{Fingerprint: 9, Until: until}))
	view := tables.View()
	g.Expect(view.Quarantined(9, until.Add(-1))).To(BeTrue())
	g.Expect(view.Quarantined(9, until)).To(BeFalse())
	apply(at(7, state.KindQuarantine, state.Quarantine{Fingerprint: 9}))
	g.Expect(tables.View().Quarantined(9, start)).To(BeFalse())
	g.Expect(apply(at(7, state.KindAgentStart, state.AgentStart{Upstream: "u"}))).To(Equal(state.EffectIgnored))
	for i, host := range []state.HostName{"h1", "h1", "h2"} {
		apply(at(state.Offset(8+2*i), state.KindAgentStart, state.AgentStart{Upstream: "u", Host: host}))
		_, left := tables.View().IntentOf("u")
		g.Expect(left).To(Equal(host == "h1"), "a successor on another host has another engine")
	}
}

// BenchmarkConfig measures a change with the view after it, and snapshots.
func BenchmarkConfig(b *testing.B) {
	for _, size := range []int{100, 1500, 12000} {
		o := filled(size, 590)
		b.Run(fmt.Sprintf("apply-view/%d", size), func(b *testing.B) {
			b.ReportAllocs()
			_, current, _ := o.config.View().Upstream("u00007")
			for b.Loop() {
				o.change(state.EntityUpstream, "u00007", current, runner(7))
				current++
				o.config.View()
			}
		})
		b.Run(fmt.Sprintf("lookup/%d", size), func(b *testing.B) {
			b.ReportAllocs()
			view := o.config.View()
			for b.Loop() {
				view.Version(state.ReplicaKey{Model: "m007", Version: "1"})
			}
		})
		data, covered := o.config.Snapshot()
		b.Run(fmt.Sprintf("snapshot/%d", size), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				o.config.Snapshot()
			}
			b.ReportMetric(float64(len(data)), "bytes")
		})
		b.Run(fmt.Sprintf("restore/%d", size), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if err := state.NewConfig().Restore(data, covered); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
