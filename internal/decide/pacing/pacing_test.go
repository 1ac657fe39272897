package pacing_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"golang.org/x/time/rate"

	"github.com/lagoonvalve/lagoonvalve/internal/decide/pacing"
)

// Guards against a permit that is valid before the time, one that is lost after it, and a
// bucket that is emptied though its next permit is late enough.
func TestSkipUntil(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	bucket := rate.NewLimiter(4, 1)
	next := func() time.Duration {
		permit := bucket.ReserveN(now, 1)
		defer permit.CancelAt(now)
		return permit.DelayFrom(now)
	}
	pacing.SkipUntil(bucket, now, now)
	g.Expect(next()).To(BeZero())
	pacing.SkipUntil(bucket, now, now.Add(3*time.Second))
	g.Expect(next()).To(BeNumerically("~", 3*time.Second, 250*time.Millisecond))
	pacing.SkipUntil(bucket, now, now.Add(2*time.Second))
	g.Expect(next()).To(BeNumerically("~", 3*time.Second, 250*time.Millisecond))
	fast := rate.NewLimiter(rate.Limit(1e12), 1)
	pacing.SkipUntil(fast, now, now.Add(time.Hour))
}
