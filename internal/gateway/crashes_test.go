package gateway

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lagoonvalve/lagoonvalve/internal/decide/quarantine"
	"github.com/lagoonvalve/lagoonvalve/internal/fleet"
	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

const part, otherPart quarantine.Key = 7, 8

func crashAt(w *crashWatch, upstream state.UpstreamName, now time.Time) {
	id := quarantine.CrashID{Upstream: upstream, Started: 1}
	w.recordLost(id, now, quarantine.Run{Parts: []quarantine.Key{part}, Content: 99})
	w.settle(id, true, now)
}

// Guards against a new controller that has neither the crashes reported to its
// predecessor nor the quarantines, and against reports that are repeated without end.
func TestNewControllerReceivesCrashesAndQuarantines(t *testing.T) {
	g := NewWithT(t)
	w, now := newCrashWatch(), time.Unix(1000, 0)
	w.applyQuarantine(rpc.ResidencyResult{Term: 1}, now)
	crashAt(w, "u", now)
	params, _ := w.pending(now)
	g.Expect(params.Crashes).To(HaveLen(1))
	params, received := w.pending(now.Add(time.Second))
	g.Expect(params.Crashes).To(HaveLen(1), "the first report was not received")
	g.Expect(params.Crashes[0].Age.Std()).To(Equal(time.Second))
	received()
	params, _ = w.pending(now.Add(time.Second))
	g.Expect(params.Crashes).To(BeEmpty())

	quarantined := []rpc.QuarantinedKey{{Key: uint64(part), Remaining: state.Duration(time.Minute)}}
	w.applyQuarantine(rpc.ResidencyResult{Term: 1, Quarantined: quarantined}, now)
	w.applyQuarantine(rpc.ResidencyResult{Term: 2}, now.Add(2*time.Second))
	run := quarantine.Run{Parts: []quarantine.Key{otherPart, part}}
	g.Expect(w.quarantined(run, now.Add(3*time.Second))).To(Equal(57 * time.Second))
	params, received = w.pending(now.Add(3 * time.Second))
	g.Expect(params.Crashes).To(HaveLen(1))
	g.Expect(params.Quarantined).To(HaveLen(1))
	g.Expect(params.Quarantined[0].Remaining.Std()).To(Equal(57 * time.Second))
	received()
	params, _ = w.pending(now.Add(3 * time.Second))
	g.Expect(params.Quarantined).To(BeEmpty())
}

// Guards against a quarantine that outlasts its time or the proof that the requests
// are sound.
func TestQuarantineEnds(t *testing.T) {
	g := NewWithT(t)
	w, now := newCrashWatch(), time.Unix(1000, 0)
	run := quarantine.Run{Parts: []quarantine.Key{part}}
	w.applyQuarantine(rpc.ResidencyResult{Term: 1, Quarantined: []rpc.QuarantinedKey{{Key: uint64(part), Remaining: state.Duration(time.Minute)}}}, now)
	g.Expect(w.quarantined(run, now.Add(time.Minute))).To(BeZero())
	g.Expect(w.quarantined(run, now.Add(time.Second))).NotTo(BeZero())
	w.applyQuarantine(rpc.ResidencyResult{Term: 1, Quarantined: []rpc.QuarantinedKey{{Key: uint64(part)}}}, now)
	g.Expect(w.quarantined(run, now.Add(time.Second))).To(BeZero())
}

// Guards against the quarantine of a part that a gateway has seen answered, because
// the controller does not receive that.
func TestSoundRunsOfSuspectsAreReported(t *testing.T) {
	g := NewWithT(t)
	w, now := newCrashWatch(), time.Unix(1000, 0)
	w.recordSound(quarantine.Run{Parts: []quarantine.Key{part}, Content: 99}, now)
	w.applyQuarantine(rpc.ResidencyResult{Term: 1, Suspects: []uint64{uint64(part), uint64(otherPart), 99}}, now.Add(time.Second))
	params, received := w.pending(now.Add(time.Second))
	g.Expect(params.Sound).To(Equal([]rpc.SoundKey{{Key: uint64(part), Age: state.Duration(time.Second)}}))
	received()
	params, _ = w.pending(now.Add(2 * time.Second))
	g.Expect(params.Sound).To(BeEmpty())
	w.recordSound(quarantine.Run{Parts: []quarantine.Key{otherPart}, Content: 99}, now.Add(2*time.Second))
	params, _ = w.pending(now.Add(2 * time.Second))
	g.Expect(params.Sound).To(HaveLen(2), "a part and the content of a request")
}

// Guards against memory that grows with the number of requests.
func TestRecentKeysAreBounded(t *testing.T) {
	g := NewWithT(t)
	var keys recentKeys
	now := time.Unix(1000, 0)
	for i := range quarantine.Key(10 * maxRecentKeys) {
		keys.add(i, now)
	}
	g.Expect(len(keys.current) + len(keys.previous)).To(BeNumerically("<=", 2*maxRecentKeys))
	_, ok := keys.last(10*maxRecentKeys - maxRecentKeys)
	g.Expect(ok).To(BeTrue())
	_, ok = keys.last(1)
	g.Expect(ok).To(BeFalse())
}

// Guards against quarantines that are lost when all processes end: a gateway has them
// after its start, and reports them to a controller that has none.
func TestLoadedQuarantinesAreReported(t *testing.T) {
	g := NewWithT(t)
	w, now := newCrashWatch(), time.Unix(1000, 0)
	w.applyQuarantine(rpc.ResidencyResult{Term: 1}, now)
	_, received := w.pending(now)
	received()
	records := []fleet.QuarantineRecord{{Key: uint64(part), Until: now.Add(time.Minute)}, {Key: uint64(otherPart), Until: now.Add(-time.Second)}}
	g.Expect(w.load(records, now)).To(Equal(1))
	g.Expect(w.quarantined(quarantine.Run{Parts: []quarantine.Key{part}}, now)).To(Equal(time.Minute))
	g.Expect(w.quarantined(quarantine.Run{Parts: []quarantine.Key{otherPart}}, now)).To(BeZero())
	params, _ := w.pending(now)
	g.Expect(params.Quarantined).To(HaveLen(1))
}

// Guards against a test of an upstream for each request that can't connect to it.
func TestRefusingUpstreamIsTestedOnce(t *testing.T) {
	g := NewWithT(t)
	w, now := newCrashWatch(), time.Unix(1000, 0)
	id := quarantine.CrashID{Upstream: "u", Started: 1}
	g.Expect(w.recordLost(id, now)).To(BeTrue())
	g.Expect(w.recordLost(id, now)).To(BeFalse(), "it is being tested")
	w.settle(id, true, now)
	g.Expect(w.recordLost(id, now.Add(time.Second))).To(BeFalse(), "it was reported")
	g.Expect(w.recordLost(id, now.Add(time.Second), quarantine.Run{Content: 1})).To(BeTrue(), "lost runs are always reported")
	w.settle(id, true, now.Add(time.Second))
	g.Expect(w.recordLost(id, now.Add(crashTestInterval+time.Second))).To(BeTrue())
}
