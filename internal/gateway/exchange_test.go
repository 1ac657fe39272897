package gateway

import (
	"context"
	"log/slog"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lagoonvalve/lagoonvalve/internal/decide/health"
	"github.com/lagoonvalve/lagoonvalve/internal/decide/retry"
	"github.com/lagoonvalve/lagoonvalve/internal/fleet"
	"github.com/lagoonvalve/lagoonvalve/internal/verdict"
)

// Guards against counting two failures for one request: a cut stream is recorded
// when it breaks and again when it can't be resumed. Two failures eject an upstream.
func TestRequestCountsOneFailurePerUpstream(t *testing.T) {
	g := NewWithT(t)
	m := &member{upstream: &fleet.Upstream{Name: "u"}, stats: &upstreamStats{}}
	gateway := &Gateway{health: health.DefaultConfig()}
	x := &exchange{gateway: gateway}
	x.recordFailure(context.Background(), m)
	x.recordFailure(context.Background(), m)
	g.Expect(m.stats.ejected(time.Now())).To(BeFalse())
	(&exchange{gateway: gateway}).recordFailure(context.Background(), m)
	g.Expect(m.stats.ejected(time.Now())).To(BeTrue())
}

// Guards against demand that the controller is not told of, since a request that its model's
// only replica refuses does not wait any more.
func TestRequestRefusedAtOnceCountsAsDemand(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	tables := newTables("dc1", nil)
	tables.applyManifest(fleet.NewManifest(1, nil, []*fleet.Service{{Name: "s"}}, 0))
	tables.applyUpstream(entry(1, "m"))
	gateway := New(Options{DataCentre: "dc1", RetryShare: 0.2, RetrySlack: 100, Logger: slog.New(slog.DiscardHandler)})
	view := tables.view(now)
	gateway.view.Store(view)
	x := &exchange{
		gateway: gateway, route: &fleet.Route{Kind: fleet.Idempotent, Attempts: 2}, service: "s",
		call: fleet.RequestInfo{Target: fleet.Target{Model: "m"}}, began: now, deadline: now.Add(5 * time.Second), sends: 1,
	}
	gateway.demand.recordArrival(x.call.Target)
	x.exclude(view.service("s")[0], hasFailed)
	step, _ := x.decideRetry(verdict.Refuse(verdict.ReasonShed, ""))
	g.Expect([]any{step, x.obstacle}).To(Equal([]any{retry.Refuse, retry.ObstacleReplicas}), "it has served none")
	demand := gateway.demand.report(now)
	g.Expect(demand).To(HaveLen(1))
	g.Expect(demand[0].Waiting).To(Equal(1))
}
