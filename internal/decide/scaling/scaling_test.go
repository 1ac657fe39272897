package scaling_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/lagoonvalve/lagoonvalve/internal/decide/scaling"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func grants(n int, load time.Duration) []scaling.Grant {
	all := make([]scaling.Grant, n)
	for i := range all {
		all[i] = scaling.Grant{
			Upstream: state.UpstreamName(fmt.Sprintf("u%d", i)), DataCentre: state.DataCentre(fmt.Sprintf("dc%d", i%3)),
			LoadTime: load, Usable: true, Slots: 4,
		}
	}
	return all
}

func waiting(n int, each time.Duration) []scaling.Demand {
	return []scaling.Demand{{Waiting: [state.ClassCount]int{0, n, 0}, Work: time.Duration(n) * each}}
}

// Guards against a cold model that is not woken, or woken more widely than its
// backlog pays for.
func TestWakesFollowBacklog(t *testing.T) {
	g := NewWithT(t)
	in := scaling.HomeInput{Grants: grants(6, 10*time.Second), Service: time.Second}
	wakes := func(n int) int {
		in.Demands = waiting(n, time.Second)
		return len(scaling.Home{}.Decide(in).Wakes)
	}
	g.Expect(wakes(0)).To(Equal(0))
	g.Expect(wakes(1)).To(Equal(1))
	g.Expect(wakes(40)).To(Equal(1), "ten seconds of work on four slots")
	g.Expect(wakes(41)).To(Equal(2))
	g.Expect(wakes(1000)).To(Equal(6))
	in.Demands = waiting(41, time.Second)
	archive := scaling.Home{Config: scaling.HomeConfig{IdleWeight: 2}}
	g.Expect(archive.Decide(in).Wakes).To(HaveLen(1), "a higher weight of idle time wakes less")
	in.MinReplicas = 2
	g.Expect(wakes(0)).To(Equal(2))
}

// Guards against a model that never loads because all of its callers are
// refused for their short deadlines.
func TestRefusedRequestsWake(t *testing.T) {
	g := NewWithT(t)
	in := scaling.HomeInput{Grants: grants(3, 10*time.Second), Service: time.Second, Demands: []scaling.Demand{{Refused: 1}}}
	g.Expect(scaling.Home{}.Decide(in).Wakes).To(HaveLen(1))
}

// Guards against a model whose only replica is a straggler and counts in full.
func TestStragglerCountsLess(t *testing.T) {
	g := NewWithT(t)
	in := scaling.HomeInput{Grants: grants(3, 10*time.Second), Service: time.Second, Demands: []scaling.Demand{{Rate: 3}}}
	in.Replicas = []scaling.Replica{{Upstream: "u0", State: state.ReplicaReady, Slots: 8, Queue: 2}}
	g.Expect(scaling.Home{}.Decide(in).Wakes).To(BeEmpty())
	in.Replicas[0].Slowdown = 10
	g.Expect(scaling.Home{}.Decide(in).Wakes).To(HaveLen(1))
	in.Demands[0].Rate, in.Replicas[0].Slowdown = 0.1, 4
	g.Expect(scaling.Home{}.Decide(in).Wakes).To(HaveLen(1), "its throughput suffices but not its latency")
}

// Guards against an overloaded model that gets no store slots because its
// requests wait at replicas and not at entries.
func TestBenefitCountsWorkBeyondSlots(t *testing.T) {
	g := NewWithT(t)
	in := scaling.HomeInput{Grants: grants(3, 10*time.Second), Service: time.Second, Demands: []scaling.Demand{{Rate: 3}}}
	in.Replicas = []scaling.Replica{{Upstream: "u0", State: state.ReplicaReady, Slots: 8, Queue: 8}}
	g.Expect(scaling.Home{}.Benefit(in)).To(BeZero())
	in.Replicas[0].Queue = 28
	full := scaling.Home{}.Benefit(in)
	cold := scaling.HomeInput{Grants: in.Grants, Service: time.Second, Demands: waiting(1, time.Second)}
	g.Expect(full).To(BeNumerically(">", scaling.Home{}.Benefit(cold)))
	in.Replicas = append(in.Replicas, scaling.Replica{Upstream: "u1", State: state.ReplicaLoading, Slots: 8})
	g.Expect(scaling.Home{}.Benefit(in)).To(Equal(full), "the load under way is the one that is weighed")
	in.Replicas = append(in.Replicas, scaling.Replica{Upstream: "u2", State: state.ReplicaLoading, Slots: 8})
	g.Expect(scaling.Home{}.Benefit(in)).To(Equal(full/2), "two loads share the gain")
}

// Guards against spare replicas for models that are not in steady use, that have
// replicas enough, or whose weights do not pay for them, and against a busy model
// that has no healthy replica when two of its upstreams straggle.
func TestSpareFollowsUseAndWeights(t *testing.T) {
	g := NewWithT(t)
	in := scaling.HomeInput{Grants: grants(3, 10*time.Second), Service: time.Second}
	in.Replicas = []scaling.Replica{{Upstream: "u0", State: state.ReplicaReady, Slots: 8}}
	spare := func(cfg scaling.HomeConfig, steady float64) []scaling.Wake {
		in.Steady = steady
		return scaling.Home{Config: cfg}.Decide(in).Wakes
	}
	usual, tail := scaling.HomeConfig{}, scaling.HomeConfig{TailWeight: 100}
	beside := []scaling.Wake{{Upstream: "u1", ReadyIn: 10 * time.Second, Spare: scaling.SpareMustShare}}
	g.Expect(spare(usual, 0.09)).To(BeEmpty())
	g.Expect(spare(usual, 0.11)).To(Equal(beside))
	g.Expect(spare(tail, 0.09)).To(BeEmpty(), "not in steady use")
	g.Expect(spare(scaling.HomeConfig{IdleWeight: 2}, 0.11)).To(BeEmpty())
	in.Grants[1].SpareRefused = true
	g.Expect(spare(usual, 1)[0].Upstream).To(Equal(state.UpstreamName("u2")))
	in.Grants[2].SpareRefused = true
	g.Expect(spare(usual, 1.9)).To(BeEmpty(), "an idle accelerator costs more")
	alone := []scaling.Wake{{Upstream: "u1", ReadyIn: 10 * time.Second, Spare: scaling.SpareAnyAccelerator}}
	g.Expect(spare(usual, 2.1)).To(Equal(alone))
	g.Expect(spare(tail, 0.21)).To(Equal(alone))
	in.Replicas = append(in.Replicas, scaling.Replica{Upstream: "u2", State: state.ReplicaLoading, Slots: 8})
	g.Expect(spare(tail, 2.1)).To(BeEmpty(), "a second replica loads")
	in.Replicas[1].State = state.ReplicaReady
	g.Expect(spare(tail, 1.9)).To(BeEmpty(), "there is a second replica")
	in.Replicas[1].Upstream = "u1"
	g.Expect(spare(tail, 2.1)).To(HaveLen(1), "both may straggle")
	in.Grants = grants(4, 10*time.Second)
	in.Replicas = append(in.Replicas, scaling.Replica{Upstream: "u2", State: state.ReplicaReady, Slots: 8})
	g.Expect(spare(tail, 0.9)).To(BeEmpty(), "there is a third replica")
	in.Replicas, in.Demands = nil, waiting(1, time.Second)
	g.Expect(spare(tail, 2.1)).To(HaveLen(1), "a cold model gets what its backlog pays for")
	g.Expect(spare(tail, 2.1)[0].Spare).To(Equal(scaling.NotSpare))
}

// Guards against more replicas than grants, wakes under used or unusable
// grants and two wakes under one grant.
func TestWakesOnlyUnderFreeUsableGrants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := scaling.HomeInput{
			Grants:  grants(rapid.IntRange(0, 8).Draw(t, "grants"), 5*time.Second),
			Demands: waiting(rapid.SampledFrom([]int{0, 1, 50, 5000}).Draw(t, "waiting"), time.Second),
			Service: time.Second, MinReplicas: rapid.IntRange(0, 2).Draw(t, "min"),
		}
		free := make(map[state.UpstreamName]bool)
		for i := range in.Grants {
			in.Grants[i].Usable = rapid.Bool().Draw(t, "usable")
			used := rapid.Bool().Draw(t, "used")
			free[in.Grants[i].Upstream] = in.Grants[i].Usable && !used
			if used {
				in.Replicas = append(in.Replicas, scaling.Replica{Upstream: in.Grants[i].Upstream, State: state.ReplicaLoading, Slots: 4})
			}
		}
		out := scaling.Home{}.Decide(in)
		for _, w := range out.Wakes {
			if !free[w.Upstream] {
				t.Fatalf("wake of %s", w.Upstream)
			}
			free[w.Upstream] = false
		}
		if in.Demands[0].Work > 0 && len(in.Replicas) == 0 && len(out.Wakes) == 0 && !out.NoReplica {
			t.Fatalf("work waits and nothing loads, yet no refusal")
		}
	})
}

// Guards against all replicas in one data centre, and against adapters that no
// replica gets.
func TestSpreadAndAdapters(t *testing.T) {
	g := NewWithT(t)
	in := scaling.HomeInput{Grants: grants(6, 10*time.Second), Service: time.Second, MinReplicas: 3}
	for i := range in.Grants {
		in.Grants[i].DataCentre = state.DataCentre(fmt.Sprintf("dc%d", i/2))
	}
	out := scaling.Home{}.Decide(in)
	g.Expect([]state.UpstreamName{out.Wakes[0].Upstream, out.Wakes[1].Upstream, out.Wakes[2].Upstream}).
		To(Equal([]state.UpstreamName{"u0", "u2", "u4"}))
	in.Grants[3].Load, in.Grants[5].LoadTime = -1, 2*time.Second
	out = scaling.Home{}.Decide(in)
	g.Expect([]state.UpstreamName{out.Wakes[0].Upstream, out.Wakes[1].Upstream, out.Wakes[2].Upstream}).
		To(Equal([]state.UpstreamName{"u5", "u3", "u0"}), "first the cached copy, then the least loaded elsewhere")
	in.Replicas = []scaling.Replica{
		{Upstream: "u0", State: state.ReplicaReady, Queue: 3, Adapters: []state.AdapterName{"held"}},
		{Upstream: "u1", State: state.ReplicaReady, Queue: 1},
		{Upstream: "u2", State: state.ReplicaLoading},
	}
	in.Demands = []scaling.Demand{{Adapters: []state.AdapterName{"held", "new"}}, {Adapters: []state.AdapterName{"new"}}}
	g.Expect(scaling.Home{}.Decide(in).Adapters).To(Equal([]scaling.AdapterLoad{{Upstream: "u1", Adapter: "new"}}))
}

// Guards against a keep-alive that ignores gaps, weights or hysteresis.
func TestKeepAliveFollowsGaps(t *testing.T) {
	g := NewWithT(t)
	value := func(cfg scaling.KeepAliveConfig, gap, load time.Duration) time.Duration {
		k := scaling.NewKeepAlive(cfg)
		k.Observe(2000 * time.Second)
		for range 50 {
			k.Observe(gap)
		}
		return k.Value(load)
	}
	none := scaling.KeepAliveConfig{}
	start := func(cfg scaling.KeepAliveConfig, load time.Duration) time.Duration {
		return scaling.NewKeepAlive(cfg).Value(load)
	}
	g.Expect(start(none, time.Second)).To(Equal(10*time.Second), "the idle time that costs as much as a cold start")
	g.Expect(start(scaling.KeepAliveConfig{IdleWeight: 2}, time.Second)).To(Equal(5 * time.Second))
	g.Expect(start(none, time.Millisecond)).To(Equal(2 * time.Second))
	g.Expect(start(none, 20*time.Second)).To(Equal(2 * time.Minute))
	g.Expect(value(none, 40*time.Second, 20*time.Second)).To(And(BeNumerically(">=", 40*time.Second), BeNumerically("<", time.Minute)))
	g.Expect(value(none, 1000*time.Second, 20*time.Second)).To(Equal(2*time.Second), "a cold start costs less than the idle time")
	archive := scaling.KeepAliveConfig{ColdStartWeight: 100}
	g.Expect(value(archive, 1000*time.Second, 20*time.Second)).To(BeNumerically(">=", 1000*time.Second))
	busy := scaling.NewKeepAlive(none)
	for range 50 {
		busy.Observe(2 * time.Second)
	}
	g.Expect(busy.Value(5*time.Second)).To(Equal(50*time.Second), "no gap tells what follows the longest one")
	g.Expect(busy.Value(20 * time.Second)).To(Equal(2 * time.Minute))
	k := scaling.NewKeepAlive(none)
	changes, last := 0, time.Duration(0)
	for i := range 400 {
		// Gaps near the balance of both costs make an unstable choice.
		k.Observe(time.Duration(195+10*(i%2)) * time.Second)
		if v := k.Value(20 * time.Second); v != last {
			changes++
			last = v
		}
	}
	g.Expect(changes).To(BeNumerically("<=", 2))
}

func resident(name string, size state.Bytes, idle, keep time.Duration) scaling.Resident {
	return scaling.Resident{
		Key: state.ReplicaKey{Model: state.ModelName(name)}, Size: size, Loaded: epoch.Add(-time.Hour),
		LastUsed: epoch.Add(-idle), KeepAlive: keep, Load: 10 * time.Second,
	}
}

// Guards against eviction of busy or fresh replicas, of more than needed, of
// live ones before expired ones, and beyond the bound for a burst.
func TestEvictionIsBounded(t *testing.T) {
	g := NewWithT(t)
	busy := resident("busy", 50, time.Hour, time.Minute)
	busy.Busy = true
	fresh := resident("fresh", 50, time.Second, 0)
	fresh.Loaded = epoch.Add(-time.Second)
	all := []scaling.Resident{
		busy, fresh, resident("recent", 10, time.Second, time.Minute), resident("older", 10, 30*time.Second, time.Minute),
		resident("expired", 10, 2*time.Minute, time.Minute), resident("large", 30, 40*time.Second, time.Minute),
	}
	names := func(keys []state.ReplicaKey) (out []string) {
		for _, k := range keys {
			out = append(out, string(k.Model))
		}
		return out
	}
	e := scaling.NewEvictor(scaling.EvictConfig{})
	keys, ok := e.MakeRoom(epoch, 10, 0, all)
	g.Expect(ok).To(BeTrue())
	g.Expect(names(keys)).To(Equal([]string{"expired"}))
	keys, ok = e.MakeRoom(epoch, 30, 0, all)
	g.Expect(ok).To(BeTrue())
	g.Expect(names(keys)).To(Equal([]string{"large"}), "the expired one is not needed beside it")
	keys, ok = e.MakeRoom(epoch, 60, 0, all)
	g.Expect(ok).To(BeFalse())
	g.Expect(keys).To(BeEmpty(), "one of two early evictions is left")
	_, ok = e.MakeRoom(epoch, 20, 0, all[2:5])
	g.Expect(ok).To(BeTrue())
	_, ok = e.MakeRoom(epoch, 20, 0, all[2:5])
	g.Expect(ok).To(BeFalse())
	_, ok = e.MakeRoom(epoch.Add(30*time.Second), 20, 0, all[2:5])
	g.Expect(ok).To(BeTrue())
	g.Expect(names(e.Expired(epoch, all))).To(Equal([]string{"fresh", "expired"}))
}

// Guards against too many loads at once or a second, slots that outlive their
// lease, grants before a predecessor's have ended and a low benefit first.
func TestBrokerBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := scaling.NewBroker(epoch, "b1", scaling.BrokerConfig{})
		now := epoch
		var starts []time.Time
		until := make(map[string]time.Time)
		for range 150 {
			now = now.Add(time.Duration(rapid.IntRange(1, 300).Draw(t, "step")) * time.Millisecond)
			u := state.UpstreamName(rapid.SampledFrom([]string{"a", "b", "c", "d", "e", "f", "g"}).Draw(t, "upstream"))
			answer := b.Request(now, scaling.SlotRequest{Upstream: u, Benefit: 1})
			if answer.Slot == "" {
				if answer.RetryAfter <= 0 {
					t.Fatalf("neither slot nor retry time")
				}
				continue
			}
			if end, held := until[answer.Slot]; !held || !now.Before(end) {
				starts = append(starts, now)
			}
			until[answer.Slot] = now.Add(answer.TTL)
			held := 0
			for _, end := range until {
				if now.Before(end) {
					held++
				}
			}
			n := len(starts)
			if held > 4 || now.Before(epoch.Add(5*time.Second)) || n > 4 && starts[n-1].Sub(starts[n-5]) < time.Second {
				t.Fatalf("at %v: %d held, starts %v", now.Sub(epoch), held, starts)
			}
		}
	})
}

// Guards against a broker that serves in order of asking, or that a vanished
// requester blocks.
func TestBrokerPrefersBenefit(t *testing.T) {
	g := NewWithT(t)
	b := scaling.NewBroker(epoch, "b1", scaling.BrokerConfig{})
	now := epoch.Add(5*time.Second - time.Millisecond)
	ask := func(u string, benefit float64) string {
		return b.Request(now, scaling.SlotRequest{Upstream: state.UpstreamName(u), Benefit: benefit}).Slot
	}
	g.Expect(ask("low", 1)).To(BeEmpty())
	g.Expect(ask("high", 9)).To(BeEmpty())
	now = now.Add(time.Millisecond)
	g.Expect(ask("low", 1)).To(BeEmpty())
	slot := ask("high", 9)
	g.Expect(slot).NotTo(BeEmpty())
	g.Expect(ask("gone", 9)).To(BeEmpty())
	now = now.Add(time.Second)
	g.Expect(ask("low", 1)).NotTo(BeEmpty())
	g.Expect(b.Held(now)).To(Equal(2))
	g.Expect(b.Renew(now, slot)).To(BeTrue())
	b.Release(now, slot)
	g.Expect(b.Renew(now, slot)).To(BeFalse())
}

// Guards against agents that go on loading adapters at the same pace while too
// many are in transit, and against one that never loads again.
func TestAdapterPacerYieldsToCongestion(t *testing.T) {
	g := NewWithT(t)
	var p scaling.AdapterLimiter
	g.Expect(p.Allows(0)).To(BeTrue())
	g.Expect(p.Allows(1)).To(BeFalse())
	for i := range 200 {
		p.RecordLoad(time.Duration(i%3+1)*8*time.Millisecond, state.Bytes(i%3+1))
	}
	g.Expect(p.Allows(15)).To(BeTrue(), "larger adapters are not congestion")
	g.Expect(p.Allows(16)).To(BeFalse())
	for range 10 {
		p.RecordLoad(80*time.Millisecond, 1)
	}
	g.Expect(p.Allows(1)).To(BeFalse())
	g.Expect(p.Allows(0)).To(BeTrue())
}
