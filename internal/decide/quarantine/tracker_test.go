package quarantine_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lagoonvalve/lagoonvalve/internal/decide/quarantine"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// Guards against an innocent neighbour staying in quarantine for an hour, and
// against a culprit that gets two upstreams again after its first quarantine.
func TestQuarantineGrowsOnRepetition(t *testing.T) {
	g := NewWithT(t)
	start := time.Unix(1000, 0)
	tracker := quarantine.NewTracker(quarantine.DefaultSettings())
	crash := func(after time.Duration, name state.UpstreamName, running ...uint64) []state.Quarantine {
		return tracker.RecordCrash(quarantine.Crash{Upstream: name, Running: running, Time: start.Add(after)})
	}
	crash(0, "a", 666, 1)
	g.Expect(crash(time.Second, "b", 666, 1)).To(HaveLen(2))
	tracker.RecordCompletion(1)
	again := crash(2*time.Minute, "c", 666, 1)
	g.Expect(again).To(HaveLen(1))
	g.Expect(again[0].Fingerprint).To(Equal(uint64(666)))
	g.Expect(again[0].Until).To(Equal(start.Add(2*time.Minute + time.Hour)))
	tracker.Expire(start.Add(30 * time.Hour))
	g.Expect(crash(30*time.Hour, "d", 666)).To(BeEmpty())
}

// Guards against a request that crashes the only upstream of its model again
// and again.
func TestRepeatedCrashesOfOneUpstream(t *testing.T) {
	g := NewWithT(t)
	tracker := quarantine.NewTracker(quarantine.DefaultSettings())
	for i, want := range []int{0, 0, 1} {
		at := time.Unix(int64(1000+i), 0)
		guilty := tracker.RecordCrash(quarantine.Crash{Upstream: "only", Running: []uint64{666}, Time: at})
		g.Expect(guilty).To(HaveLen(want), "crash %d", i+1)
	}
}

// Guards against a request that goes on to crash upstreams, and against
// quarantine of its neighbours, of requests on one faulty upstream, and for
// crashes of long ago.
func TestCrashAttribution(t *testing.T) {
	g := NewWithT(t)
	start := time.Unix(1000, 0)
	settings := quarantine.DefaultSettings()
	settings.MaxSuspects = 64
	tracker := quarantine.NewTracker(settings)
	crash := func(after time.Duration, name state.UpstreamName, running ...uint64) (guilty []uint64) {
		for _, q := range tracker.RecordCrash(quarantine.Crash{Upstream: name, Running: running, Time: start.Add(after)}) {
			g.Expect(q.Until).To(Equal(start.Add(after + time.Minute)))
			guilty = append(guilty, q.Fingerprint)
		}
		return guilty
	}
	g.Expect(crash(0, "a", 666, 1, 2, 3)).To(BeEmpty())
	tracker.RecordCompletion(2)
	g.Expect(crash(time.Second, "a", 666, 1)).To(BeEmpty(), "one upstream twice")
	g.Expect(crash(time.Minute, "b", 2, 666, 4, 666)).To(Equal([]uint64{666}), "a cleared neighbour stays free")
	g.Expect(crash(10*time.Minute+time.Second, "c", 1, 3)).To(BeEmpty(), "old crashes do not count")
	g.Expect(crash(11*time.Minute, "d", 3)).To(Equal([]uint64{3}))
	tracker.Expire(start.Add(time.Hour))
	g.Expect(tracker.Suspects()).To(BeZero())

	for i := range uint64(100) {
		crash(2*time.Hour, "e", 1000+i)
	}
	g.Expect(tracker.Suspects()).To(Equal(64))
	g.Expect(quarantine.Fingerprint("a", "POST", "/x", nil)).NotTo(Equal(quarantine.Fingerprint("aP", "OST", "/x", nil)))
}
