package fleet_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lagoonvalve/lagoonvalve/internal/fleet"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// Guards against a route that is shadowed by one with a shorter prefix, and a
// request that is routed by a route of another host.
func TestMatchTakesTheLongestPrefixOfTheHost(t *testing.T) {
	g := NewWithT(t)
	routes := []*fleet.Route{
		{Name: "short", Host: "a", PathPrefix: "/x/"}, {Name: "long", Host: "a", PathPrefix: "/x/y/"}, {Name: "other", Host: "b", PathPrefix: "/"},
	}
	m := fleet.NewManifest(1, routes, nil, 0)
	for _, c := range []struct{ host, path, want string }{
		{"a", "/x/y/1", "long"}, {"a", "/x/z", "short"}, {"a", "/x", ""}, {"a", "/y/", ""}, {"b", "/x/y/", "other"},
		{"c", "/x/", ""}, {"a:80", "/x/1", "short"},
	} {
		got := ""
		if r := m.Match(c.host, c.path); r != nil {
			got = r.Name
		}
		g.Expect(got).To(Equal(c.want), "%s %s", c.host, c.path)
	}
}

// Guards against a split whose shares are wrong at its ends.
func TestChooseByWeight(t *testing.T) {
	g := NewWithT(t)
	r := &fleet.Route{Services: []fleet.WeightedService{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	for draw, want := range map[float64]state.ServiceName{0: "a", 0.89: "a", 0.91: "b", 1: "b"} {
		g.Expect(r.ChooseService(draw)).To(Equal(want), "draw %v", draw)
	}
	g.Expect((&fleet.Route{}).ChooseService(0.5)).To(BeEmpty())
}

// Guards against an old entry that replaces what is known of a later start.
func TestSupersedes(t *testing.T) {
	g := NewWithT(t)
	at := func(start int64, report uint64) *fleet.Upstream {
		return &fleet.Upstream{Started: time.UnixMilli(start), Report: report}
	}
	g.Expect(at(2, 1).Supersedes(at(1, 9))).To(BeTrue())
	g.Expect(at(1, 9).Supersedes(at(2, 1))).To(BeFalse())
	g.Expect(at(1, 3).Supersedes(at(1, 4))).To(BeFalse())
	g.Expect(at(1, 4).Supersedes(at(1, 4))).To(BeTrue())
}

// Guards against an unknown kind of route that is repeated.
func TestRepeatable(t *testing.T) {
	g := NewWithT(t)
	g.Expect((&fleet.Route{}).Repeatable()).To(BeFalse())
	g.Expect((&fleet.Route{Kind: fleet.Idempotent}).Repeatable()).To(BeTrue())
	g.Expect((&fleet.Route{Kind: fleet.Stream}).Repeatable()).To(BeFalse())
	g.Expect((&fleet.Route{Kind: fleet.Stream, Resumable: true}).Repeatable()).To(BeTrue())
	g.Expect((&fleet.Route{Kind: fleet.AtMostOnce, Resumable: true}).Repeatable()).To(BeFalse())
}
