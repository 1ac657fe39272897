package routing_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/lagoonvalve/lagoonvalve/internal/decide/routing"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

const ms = time.Millisecond

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func source() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

func candidates(n int) []routing.Candidate {
	all := make([]routing.Candidate, n)
	for i := range all {
		all[i] = routing.Candidate{
			Replica: i, Queue: i % 7, Sent: i % 3, Slots: 4, Latency: 100 * ms,
			Locality: routing.Locality(i % 3), AdapterLoaded: true,
		}
	}
	return all
}

// Guards against selecting a replica that is ejected, excluded or in another
// region without volume budget, and against selecting none although one is
// usable.
func TestOnlyUsableReplicasAreChosen(t *testing.T) {
	rng := source()
	for _, policy := range []routing.Policy{routing.TwoChoices{}, routing.LeastDelay{}} {
		rapid.Check(t, func(t *rapid.T) {
			all := candidates(rapid.IntRange(0, 12).Draw(t, "n"))
			req := routing.Request{Exclude: rapid.IntRange(-1, 3).Draw(t, "exclude"), Remote: rapid.Bool().Draw(t, "remote")}
			usable := 0
			ok := func(c routing.Candidate) bool {
				return !c.Ejected && c.Replica != req.Exclude && (req.Remote || c.Locality != routing.OtherRegion)
			}
			for i := range all {
				all[i].Locality = routing.Locality(rapid.IntRange(0, 2).Draw(t, "locality"))
				all[i].Ejected = rapid.Bool().Draw(t, "ejected")
				all[i].Prefix = rapid.SampledFrom([]float64{0, 0.5, 1}).Draw(t, "prefix")
				if ok(all[i]) {
					usable++
				}
			}
			index, found := policy.Select(rng, all, req)
			if found != (usable > 0) || found && !ok(all[index]) {
				t.Fatalf("chose %d (%v) of %+v for %+v", index, found, all, req)
			}
		})
	}
}

// Guards against selecting overloaded or slow replicas because only a sample is
// compared, and against all entries selecting the same replica from the same
// reports.
func TestTwoChoicesSpreadsAndAvoidsLoad(t *testing.T) {
	g := NewWithT(t)
	rng := source()
	all := candidates(10)
	for i := range all {
		all[i].Locality, all[i].Queue, all[i].Sent = routing.SameDataCentre, 0, 0
	}
	all[3].Queue = 40
	all[4].Latency = 1000 * ms
	counts := make([]int, len(all))
	for range 10000 {
		i, _ := routing.TwoChoices{}.Select(rng, all, routing.Request{Exclude: -1})
		counts[i]++
	}
	g.Expect(counts[3]).To(BeZero())
	g.Expect(counts[4]).To(BeNumerically("<", 300), "selected only when sampled together with the overloaded one")
	for i, n := range counts {
		g.Expect(n).To(BeNumerically("<", 2000), "replica %d", i)
	}
}

// Guards against paid traffic to another region without a shorter delay, and
// against an overloaded region that sends nothing to others.
func TestLocalityYieldsToLoad(t *testing.T) {
	g := NewWithT(t)
	near := routing.Candidate{Replica: 0, Slots: 1, Latency: 100 * ms, AdapterLoaded: true}
	far := near
	far.Replica, far.Locality = 1, routing.OtherRegion
	req := routing.Request{Exclude: -1, Remote: true}
	i, _ := routing.TwoChoices{}.Select(source(), []routing.Candidate{near, far}, req)
	g.Expect(i).To(Equal(0))
	near.Sent = 9
	i, _ = routing.TwoChoices{}.Select(source(), []routing.Candidate{near, far}, req)
	g.Expect(i).To(Equal(1))
	near.Sent, far.Locality, far.Prefix = 0, routing.SameRegion, 1
	req.Prefill = 50 * ms
	i, _ = routing.TwoChoices{}.Select(source(), []routing.Candidate{near, far}, req)
	g.Expect(i).To(Equal(1), "the gain from the cached prefix exceeds the region penalty")
}

// Guards against loading an adapter on more and more replicas because the sample
// misses the one that has it, and against queueing at that replica for longer than
// the load of the adapter takes elsewhere.
func TestReplicaWithAdapterIsPreferred(t *testing.T) {
	g := NewWithT(t)
	rng, all := source(), candidates(35)
	for i := range all {
		all[i].Queue, all[i].Sent, all[i].Locality = 0, 0, routing.SameDataCentre
		all[i].AdapterLoaded = i == 20
	}
	for range 100 {
		i, _ := routing.TwoChoices{}.Select(rng, all, routing.Request{Exclude: -1, Adapter: true})
		g.Expect(i).To(Equal(20))
	}
	all[20].Queue = 8
	i, _ := routing.TwoChoices{}.Select(rng, all, routing.Request{Exclude: -1, Adapter: true})
	g.Expect(i).NotTo(Equal(20))
}

// Guards against entries that assume different replicas for the same session,
// against a session whose replica changes as its prompt grows, and against
// assigning all sessions to one replica.
func TestSessionAffinityIsConsistent(t *testing.T) {
	g := NewWithT(t)
	chosen := func(affinity uint64, from int) int {
		all := candidates(12)
		all = append(all[from:], all[:from]...)
		for i := range all {
			all[i].Prefix, all[i].Rank = 0, routing.Rank(affinity, routing.UpstreamHash(state.UpstreamName(fmt.Sprint(all[i].Replica))))
		}
		routing.AssumePrefix(all)
		best := slices.IndexFunc(all, func(c routing.Candidate) bool { return c.Prefix > 0 })
		g.Expect(all[best].Locality).NotTo(Equal(routing.OtherRegion))
		return all[best].Replica
	}
	counts := make(map[int]int)
	for i := range 800 {
		blocks := []uint64{1, 2, 3, uint64(i) * 7919, 5}
		affinity := routing.Affinity("a", blocks)
		g.Expect(routing.Affinity("a", blocks[:4])).To(Equal(affinity))
		g.Expect(routing.Affinity("b", blocks)).NotTo(Equal(affinity))
		g.Expect(chosen(affinity, 5)).To(Equal(chosen(affinity, 0)))
		counts[chosen(affinity, 0)]++
	}
	g.Expect(counts).To(HaveLen(8), "all replicas of the own region")
	for _, n := range counts {
		g.Expect(n).To(BeNumerically("<", 150))
	}
	g.Expect(routing.Affinity("a", nil)).To(BeZero())
}

// Guards against index entries that are wrong, exceed their limit, or stay after
// newer ones or after Forget.
func TestPrefixIndexIsBounded(t *testing.T) {
	g := NewWithT(t)
	b := routing.NewPrefixIndex(routing.PrefixConfig{MaxBlocks: 8, BlockBytes: 4})
	key := state.ReplicaKey{Model: "m", Version: "1"}
	common := b.Blocks(nil, key, []byte("aaaabbbbcccc"))
	fork := b.Blocks(nil, key, []byte("aaaabbbbdddd"))
	g.Expect(common).To(HaveLen(3))
	b.Record(1, common)
	g.Expect(b.Share(1, fork)).To(BeNumerically("~", 2.0/3))
	g.Expect(b.Share(2, fork)).To(BeZero())
	g.Expect(b.Share(1, b.Blocks(nil, state.ReplicaKey{Model: "other"}, []byte("aaaabbbb")))).To(BeZero())
	for i := range 100 {
		b.Record(2, b.Blocks(nil, key, fmt.Appendf(nil, "%04d", i)))
		b.Record(2, fork)
		g.Expect(b.Len()).To(BeNumerically("<=", 8))
	}
	for i := range 4 {
		b.Record(2, b.Blocks(nil, key, fmt.Appendf(nil, "x%03d", i)))
	}
	g.Expect(b.Share(2, fork)).To(Equal(1.0), "a repeated location is dropped after older ones")
	g.Expect(b.Share(1, common)).To(BeZero())
	b.Forget(2)
	g.Expect(b.Len()).To(BeZero())
}

func observeAll(t *routing.LatencyTracker, now time.Time, n, slow int) {
	for i := range n {
		latency := 100 * ms
		if i < slow {
			latency = 1000 * ms
		}
		t.Observe(now, i, latency, 0)
	}
}

func ejected(t *routing.LatencyTracker, now time.Time, n int) int {
	count := 0
	for i := range n {
		if t.Ejected(now, i, 0.999) {
			count++
		}
	}
	return count
}

// Guards against ejecting more upstreams than MaxShare allows, all of them, or
// ones that are not slow, and against keeping slow ones within that limit.
func TestEjectionIsCapped(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 30).Draw(t, "n")
		slow := rapid.IntRange(0, n).Draw(t, "slow")
		tracker := routing.NewLatencyTracker(routing.LatencyConfig{})
		for range 20 {
			observeAll(tracker, epoch, n, slow)
		}
		count := ejected(tracker, epoch, n)
		if float64(count) > 0.3*float64(n) || count >= n || count > slow {
			t.Fatalf("%d of %d upstreams ejected, %d are slow", count, n, slow)
		}
		if slow > 0 && float64(slow) <= 0.3*float64(n) && count != slow {
			t.Fatalf("%d of %d upstreams ejected, %d are slow and may be ejected", count, n, slow)
		}
	})
}

// Guards against an ejected straggler that never returns, that gets its full share
// of requests at once after one successful probe, or that is sent more than one
// probe at a time.
func TestStragglerReturnsGradually(t *testing.T) {
	g := NewWithT(t)
	tracker := routing.NewLatencyTracker(routing.LatencyConfig{})
	for range 10 {
		observeAll(tracker, epoch, 10, 1)
	}
	g.Expect(tracker.Ejected(epoch, 0, 0)).To(BeTrue())
	now := epoch.Add(2 * time.Second)
	g.Expect(tracker.Ejected(now, 0, 0.999)).To(BeFalse(), "a probe is due")
	tracker.RecordProbe(now, 0)
	g.Expect(tracker.Ejected(now, 0, 0)).To(BeTrue())
	tracker.Observe(now, 0, 1000*ms, 0)
	g.Expect(tracker.Ejected(now.Add(3*time.Second), 0, 0)).To(BeTrue(), "a failed probe doubles the wait")
	now = now.Add(4 * time.Second)
	g.Expect(tracker.Ejected(now, 0, 0)).To(BeFalse())
	tracker.RecordProbe(now, 0)
	for step := 1; step < 4; step++ {
		tracker.Observe(now, 0, 100*ms, 0)
		g.Expect(tracker.Ejected(now, 0, float64(step)/4-0.01)).To(BeFalse())
		g.Expect(tracker.Ejected(now, 0, float64(step)/4+0.01)).To(BeTrue())
	}
	tracker.Observe(now, 0, 100*ms, 0)
	g.Expect(tracker.Ejected(now, 0, 0.999)).To(BeFalse())
}

// Guards against not ejecting stragglers that send the first token in time but
// the further ones slowly, and upstreams that have stopped and never answer.
func TestSlowTokensAndMissingAnswersEject(t *testing.T) {
	g := NewWithT(t)
	tracker := routing.NewLatencyTracker(routing.LatencyConfig{})
	for range 10 {
		for i := range 8 {
			between := 20 * ms
			if i == 1 {
				between = 200 * ms
			}
			tracker.Observe(epoch, i, 100*ms, between)
		}
	}
	for range 5 {
		tracker.ObservePending(epoch, 2, 2*time.Second)
	}
	g.Expect(tracker.Ejected(epoch, 1, 0)).To(BeTrue())
	g.Expect(ejected(tracker, epoch, 8)).To(Equal(2))
	g.Expect(tracker.Ejected(epoch, 2, 0)).To(BeTrue())
}

// Guards against hedging requests that are not idempotent or have had their first
// token, and against more hedges than the budget allows.
func TestHedgesStayWithinBudget(t *testing.T) {
	g := NewWithT(t)
	b := routing.NewHedgeBudget(routing.HedgeConfig{})
	hedges := 0
	for range 1000 {
		b.RecordRequest()
		g.Expect(b.Take(false, false)).To(BeFalse())
		g.Expect(b.Take(true, true)).To(BeFalse())
		if b.Take(true, false) {
			hedges++
		}
	}
	g.Expect(hedges).To(Equal(50))
}

// Guards against hedges that are delayed by a straggler's own latency, that
// require measurements of the upstream itself, or that are sent to a straggler.
func TestHedgesCompensateForStragglers(t *testing.T) {
	g := NewWithT(t)
	tracker := routing.NewLatencyTracker(routing.LatencyConfig{})
	_, known := tracker.Expected(0)
	g.Expect(known).To(BeFalse(), "no measurements")
	for i := range 5 {
		tracker.Observe(epoch, i, 100*ms, 0)
	}
	tracker.Observe(epoch, 5, time.Second, 0)
	tracker.Observe(epoch, 6, 60*ms, 0)
	expected := func(upstream int) time.Duration {
		first, known := tracker.Expected(upstream)
		g.Expect(known).To(BeTrue())
		return first.Round(time.Millisecond)
	}
	g.Expect(expected(0)).To(Equal(100 * ms))
	g.Expect(expected(5)).To(Equal(100*ms), "a straggler")
	g.Expect(expected(6)).To(Equal(60*ms), "faster than its peers")
	g.Expect(expected(7)).To(Equal(100*ms), "not measured yet")
	b := routing.NewHedgeBudget(routing.HedgeConfig{})
	g.Expect(b.Delay(100 * ms)).To(Equal(300 * ms))
	g.Expect(b.WorthSending(1)).To(BeTrue())
	g.Expect(b.WorthSending(4)).To(BeFalse())
}

// Guards against an entry that considers a replica full for ever because it sends
// nothing there and so gets no new report of its queue.
func TestQueueAges(t *testing.T) {
	g := NewWithT(t)
	g.Expect(routing.AgedQueue(24, 8, time.Second, time.Second)).To(Equal(24))
	g.Expect(routing.AgedQueue(24, 8, 2*time.Second, time.Second)).To(Equal(16))
	g.Expect(routing.AgedQueue(24, 8, time.Hour, time.Second)).To(Equal(0))
}

// Guards against more paid traffic than the budget allows.
func TestVolumeBudget(t *testing.T) {
	g := NewWithT(t)
	b := routing.NewVolumeBudget(routing.VolumeConfig{PerSecond: 100, Burst: 200})
	g.Expect(b.Allows(epoch, 200)).To(BeTrue())
	g.Expect(b.Take(epoch, 150)).To(BeTrue())
	g.Expect(b.Take(epoch, 100)).To(BeFalse())
	g.Expect(b.Take(epoch.Add(time.Second), 100)).To(BeTrue())
	g.Expect(b.Allows(epoch.Add(time.Second), 51)).To(BeFalse())
	// 50 bytes are left; concurrent requests may send more than that.
	for range 3 {
		b.Spend(epoch.Add(time.Second), 250)
	}
	g.Expect(b.Allows(epoch.Add(7*time.Second), 1)).To(BeFalse())
	g.Expect(b.Allows(epoch.Add(8*time.Second+20*time.Millisecond), 1)).To(BeTrue())
}

// Guards against memory allocation in Select, which runs for every request.
func TestChoiceDoesNotAllocate(t *testing.T) {
	g := NewWithT(t)
	rng, all := source(), candidates(35)
	policy := routing.TwoChoices{}
	g.Expect(testing.AllocsPerRun(100, func() {
		policy.Select(rng, all, routing.Request{Exclude: -1, Remote: true})
	})).To(BeZero())
}

func BenchmarkRouting(b *testing.B) {
	for _, n := range []int{1, 5, 35, 140, 560} {
		b.Run(fmt.Sprintf("candidates=%d", n), func(b *testing.B) {
			rng, all := source(), candidates(n)
			policy := routing.TwoChoices{}
			b.ReportAllocs()
			for b.Loop() {
				policy.Select(rng, all, routing.Request{Exclude: -1, Remote: true})
			}
		})
	}
}
