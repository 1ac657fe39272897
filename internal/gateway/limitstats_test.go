package gateway

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lagoonvalve/lagoonvalve/internal/fleet"
)

// Guards against a limit that ends with an answer from before it, as answers overtake
// each other.
func TestOlderAnswerDoesNotEndALimit(t *testing.T) {
	g := NewWithT(t)
	var s upstreamStats
	now := time.Unix(1000, 0)
	limit := fleet.RateLimit{Limited: true, PerSecond: 2}
	g.Expect(s.recordLimit(fleet.RateLimit{}, now)).To(BeFalse())
	g.Expect(s.recordLimit(limit, now.Add(time.Second))).To(BeTrue())
	g.Expect(s.recordLimit(fleet.RateLimit{}, now)).To(BeFalse())
	g.Expect(s.recordLimit(limit, now.Add(2*time.Second))).To(BeFalse())
	g.Expect(s.permitDelay(now)).To(BeNumerically(">", 0))
	g.Expect(s.recordLimit(fleet.RateLimit{}, now.Add(3*time.Second))).To(BeTrue())
	g.Expect(s.permitDelay(now)).To(BeZero())
}
