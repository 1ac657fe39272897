package gateway

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lagoonvalve/lagoonvalve/internal/decide/health"
	"github.com/lagoonvalve/lagoonvalve/internal/fleet"
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
