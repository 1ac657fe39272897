package health_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lagoonvalve/lagoonvalve/internal/decide/health"
)

// Guards against an upstream that is dropped for one failure, that stays out for
// ever, or that comes back too soon while it goes on failing.
func TestPausesGrowWithFailures(t *testing.T) {
	g := NewWithT(t)
	cfg := health.DefaultConfig()
	now := time.Unix(1000, 0)
	var r health.Record
	r.Failed(now, cfg)
	g.Expect(r.Ejected(now)).To(BeFalse())
	for _, pause := range []time.Duration{400, 800, 1600, 3200, 6000, 6000} {
		r.Failed(now, cfg)
		g.Expect(r.Ejected(now.Add(pause*time.Millisecond - 1))).To(BeTrue())
		now = now.Add(pause * time.Millisecond)
		g.Expect(r.Ejected(now)).To(BeFalse())
	}
	r.Succeeded()
	r.Failed(now, cfg)
	g.Expect(r.Ejected(now)).To(BeFalse(), "a success forgets all")
}
