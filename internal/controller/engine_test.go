package controller

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lagoonvalve/lagoonvalve/internal/decide/residency"
	"github.com/lagoonvalve/lagoonvalve/internal/fleet"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// places returns the adapters that the planner counts for an engine.
func places(e *engine) []state.AdapterName {
	view := residency.Upstream{Replicas: e.knownReplicas()}
	e.orders.fill(&view)
	var names []state.AdapterName
	for _, r := range view.Replicas {
		names = append(names, r.Adapters...)
	}
	for _, o := range view.PendingAdapters {
		if o.Kind == fleet.Load {
			names = append(names, o.Adapter)
		}
	}
	return names
}

// Guards against issue 19, LIMIT: a report from the moment in which an adapter was on its
// way to the engine made its place count as free, and the engine was ordered to load one
// adapter more than it has places for.
func TestAdaptersOnTheirWayHoldPlaces(t *testing.T) {
	now := time.Unix(1000, 0)
	report := fleet.EngineReport{
		Accepted: 7, Replicas: []fleet.Replica{{Model: "m", Adapters: []state.AdapterName{"a3"}}},
		Coming: []fleet.Target{{Model: "m", Adapter: "a2"}},
	}
	t.Run("after its load was taken for complete", func(t *testing.T) {
		g := NewWithT(t)
		e := &engine{known: true, acceptedOrders: 7, replicas: []fleet.Replica{{Model: "m", Adapters: []state.AdapterName{"a1", "a3", "a2"}}}}
		e.orders.add(&pendingOrder{
			Order: fleet.Order{Kind: fleet.Unload, Target: fleet.Target{Model: "m", Adapter: "a1"}, Expect: 5}, state: orderAccepted,
		})
		g.Expect(e.applyReport(report, now)).To(BeTrue())
		g.Expect(places(e)).To(ConsistOf(state.AdapterName("a2"), state.AdapterName("a3")))
		g.Expect(fleet.Holds(e.serving(), fleet.Target{Model: "m", Adapter: "a2"})).To(BeTrue())
	})
	t.Run("for a new holder", func(t *testing.T) {
		g := NewWithT(t)
		e := &engine{}
		g.Expect(e.applyReport(report, now)).To(BeTrue())
		g.Expect(places(e)).To(ConsistOf(state.AdapterName("a2"), state.AdapterName("a3")))
		g.Expect(e.completeShortOrders(now.Add(shortOrderDuration))).To(BeTrue())
		g.Expect(places(e)).To(ConsistOf(state.AdapterName("a2"), state.AdapterName("a3")))
		g.Expect(fleet.Holds(e.serving(), fleet.Target{Model: "m", Adapter: "a2"})).To(BeTrue())
	})
}
