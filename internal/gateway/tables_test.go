package gateway

import (
	"context"
	"io"
	"log/slog"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lagoonvalve/lagoonvalve/internal/decide/routing"
	"github.com/lagoonvalve/lagoonvalve/internal/fleet"
	"github.com/lagoonvalve/lagoonvalve/internal/platform"
	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

var testStart = time.UnixMilli(1_700_000_000_000)

func entry(report uint64, replicas ...state.ModelName) *fleet.Upstream {
	u := &fleet.Upstream{Name: "u", Service: "s", DataCentre: "dc2", Started: testStart, Report: report, Slots: 1}
	for _, m := range replicas {
		u.Replicas = append(u.Replicas, fleet.Replica{Model: m})
	}
	return u
}

// Guards against an upstream that lapsed while the store was away and is dropped
// before it can come back, and against one that is kept although it is gone.
func TestLapsedUpstreamsHaveAGrace(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	tables := newTables("dc1", nil)
	tables.applyUpstream(entry(1))
	tables.removeUpstream("u", now, true)
	g.Expect(tables.expire(now.Add(returnGrace - 1))).To(BeEmpty())
	g.Expect(tables.view(now).service("s")).To(HaveLen(1))
	tables.applyUpstream(entry(2))
	g.Expect(tables.expire(now.Add(returnGrace))).To(BeEmpty(), "it is back")
	tables.removeUpstream("u", now, true)
	g.Expect(tables.expire(now.Add(returnGrace))).To(Equal([]state.UpstreamName{"u"}))
	tables.applyUpstream(entry(3))
	tables.removeUpstream("u", now, false)
	g.Expect(tables.view(now).service("s")).To(BeEmpty())
}

// Guards against old entries, and against what was learned of an upstream's
// earlier start that counts for the new one.
func TestEntriesOfAnEarlierStart(t *testing.T) {
	g := NewWithT(t)
	tables := newTables("dc1", nil)
	tables.applyUpstream(entry(5))
	load := tables.upstreams["u"].load
	old := entry(4)
	old.Draining = true
	tables.applyUpstream(old)
	g.Expect(tables.upstreams["u"].upstream.Draining).To(BeFalse())
	again := entry(1)
	again.Started = testStart.Add(time.Second)
	tables.applyUpstream(again)
	g.Expect(tables.upstreams["u"].load).NotTo(BeIdenticalTo(load))
	tables.applyUpstream(entry(9))
	g.Expect(tables.upstreams["u"].upstream).To(BeIdenticalTo(again))
}

// Guards against a controller's word that outlives the controller, or that is
// about an earlier start of the upstream.
func TestReplicasByTheControllersWord(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	tables := newTables("dc1", nil)
	tables.applyUpstream(entry(1, "old"))
	held := func(at time.Time) state.ModelName { return tables.view(at).service("s")[0].replicas[0].Model }
	g.Expect(held(now)).To(Equal(state.ModelName("old")))
	word := rpc.UpstreamResidency{Upstream: "u", Started: testStart.UnixMilli(), Known: true, Replicas: []rpc.HeldReplica{{Model: "new"}}}
	g.Expect(tables.applyResidency(rpc.ResidencyResult{Term: 1, Revision: 1, Upstreams: []rpc.UpstreamResidency{word}}, now)).To(BeTrue())
	g.Expect(held(now)).To(Equal(state.ModelName("new")))
	g.Expect(held(now.Add(residencyLife + 1))).To(Equal(state.ModelName("old")))
	word.Known = false
	tables.applyResidency(rpc.ResidencyResult{Term: 1, Revision: 2, Upstreams: []rpc.UpstreamResidency{word}}, now)
	g.Expect(held(now)).To(Equal(state.ModelName("old")), "the controller has not asked the upstream yet")
	word.Known = true
	word.Started++
	tables.applyResidency(rpc.ResidencyResult{Term: 1, Revision: 2, Upstreams: []rpc.UpstreamResidency{word}}, now)
	g.Expect(held(now)).To(Equal(state.ModelName("old")))
	tables.applyResidency(rpc.ResidencyResult{Term: 2, Revision: 1}, now)
	g.Expect(tables.residency).To(BeEmpty(), "another holder's word replaces all")
}

// Guards against upstreams of the same region that are taken for remote ones.
func TestLocality(t *testing.T) {
	g := NewWithT(t)
	tables := newTables("dc1", map[state.DataCentre]state.Region{"dc1": "r1", "dc2": "r1", "dc3": "r2"})
	for dc, want := range map[state.DataCentre]routing.Locality{
		"dc1": routing.SameDataCentre, "dc2": routing.SameRegion, "dc3": routing.OtherRegion,
	} {
		g.Expect(tables.locality(dc)).To(Equal(want))
	}
}

// silentFeed notes the waits that it is asked for, and fails while it is away.
type silentFeed struct {
	waits chan time.Duration
	away  bool
}

func (f *silentFeed) Newest(context.Context) (fleet.Page[fleet.Manifest], error) {
	return fleet.Page[fleet.Manifest]{Next: 1}, nil
}

func (f *silentFeed) Follow(_ context.Context, from state.Offset, wait time.Duration) (fleet.Page[fleet.Manifest], error) {
	f.waits <- wait
	f.away = !f.away
	if f.away {
		return fleet.Page[fleet.Manifest]{}, platform.ErrUnavailable
	}
	return fleet.Page[fleet.Manifest]{Next: from}, nil
}

// applyTarget is the time within which a manifest has to be in force.
const applyTarget = 3 * time.Second

// Guards against a read that hangs on a silent connection for longer than a
// manifest may take to be in force (seen on a played day: 12 s), and a read after
// an outage that waits for a change.
func TestReadsOfFeedsAreShort(t *testing.T) {
	g := NewWithT(t)
	feed := &silentFeed{waits: make(chan time.Duration, 8)}
	f := follower[fleet.Manifest]{
		name: "manifest", feed: feed, logger: slog.New(slog.NewTextHandler(io.Discard, nil)),
		apply:   func(fleet.Page[fleet.Manifest], bool, bool) {},
		wasRead: func(time.Time) {},
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go f.run(ctx)
	g.Expect(<-feed.waits).To(BeNumerically("<=", applyTarget/2))
	g.Expect(<-feed.waits).To(BeZero(), "after a failure")
	g.Expect(<-feed.waits).To(BeNumerically(">", 0), "after it")
}

// Guards against streams that are cut before the last sixth of a planned stop
// (seen on played days with a grace of 5 s), and against a process that is still
// there at its end.
func TestStopTimesFitAnyGrace(t *testing.T) {
	g := NewWithT(t)
	for _, grace := range []time.Duration{2 * time.Second, 3 * time.Second, 5 * time.Second, 8 * time.Second, 30 * time.Second} {
		times := newStopTimes(grace, 2500*time.Millisecond)
		g.Expect(times.verdicts).To(BeNumerically(">", grace*5/6))
		g.Expect(times.end).To(BeNumerically("<", grace))
		g.Expect(times.refuse).To(BeNumerically("<", times.verdicts))
	}
}
