package gateway

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lagoonvalve/lagoonvalve/internal/decide/health"
	"github.com/lagoonvalve/lagoonvalve/internal/fleet"
)

// Guards against a stream that can't be resumed counting twice against its
// upstream, which two failures take out of rotation.
func TestOneRequestCountsOnceAgainstAnUpstream(t *testing.T) {
	g := NewWithT(t)
	m := &member{upstream: &fleet.Upstream{Name: "u"}, load: &load{}}
	gateway := &Gateway{health: health.DefaultConfig()}
	x := &exchange{gateway: gateway}
	x.failed(context.Background(), m)
	x.failed(context.Background(), m)
	g.Expect(m.load.ejected(time.Now())).To(BeFalse())
	(&exchange{gateway: gateway}).failed(context.Background(), m)
	g.Expect(m.load.ejected(time.Now())).To(BeTrue())
}
