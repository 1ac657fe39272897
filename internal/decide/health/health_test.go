package health_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lagoonvalve/lagoonvalve/internal/decide/health"
)

// Guards against an upstream that is ejected after a single failure, that stays
// ejected for ever, or that returns too soon while it goes on failing.
func TestEjectionGrowsWithFailures(t *testing.T) {
	g := NewWithT(t)
	cfg := health.DefaultConfig()
	now := time.Unix(1000, 0)
	var r health.Record
	r.Failed(now, cfg)
	g.Expect(r.Ejected(now)).To(BeFalse())
	for _, ejection := range []time.Duration{400, 800, 1600, 3200, 6000, 6000} {
		r.Failed(now, cfg)
		g.Expect(r.Ejected(now.Add(ejection*time.Millisecond - 1))).To(BeTrue())
		now = now.Add(ejection * time.Millisecond)
		g.Expect(r.Ejected(now)).To(BeFalse())
	}
	r.Succeeded()
	r.Failed(now, cfg)
	g.Expect(r.Ejected(now)).To(BeFalse(), "a success clears the failures")
}
