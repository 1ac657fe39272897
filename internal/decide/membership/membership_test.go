package membership_test

import (
	"fmt"
	"iter"
	"math/rand/v2"
	"runtime"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lagoonvalve/lagoonvalve/internal/decide/membership"
	"github.com/lagoonvalve/lagoonvalve/internal/platform"
	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
	"github.com/lagoonvalve/lagoonvalve/internal/testenv"
)

var start = time.Unix(1000, 0)

func after(d time.Duration) time.Time { return start.Add(d) }

func names(n int) []state.EntryName {
	var list []state.EntryName
	for i := range n {
		list = append(list, state.EntryName(fmt.Sprint("e", i)))
	}
	return list
}

// Guards against roles that move when another entry leaves, that depend on the
// order of entries, or that are unevenly spread.
func TestOwnershipIsStable(t *testing.T) {
	g := NewWithT(t)
	all := names(20)
	reversed := slices.Clone(all)
	slices.Reverse(reversed)
	ring, other, without := membership.NewRing(all), membership.NewRing(reversed), membership.NewRing(all[1:])
	counts := map[state.EntryName]int{}
	for i := range 4000 {
		key := fmt.Sprint("model", i)
		owner := ring.Owner(membership.RoleHome, key)
		counts[owner]++
		g.Expect(other.Owner(membership.RoleHome, key)).To(Equal(owner))
		g.Expect(ring.Rank(membership.RoleHome, key, owner)).To(Equal(0))
		first := ring.First(membership.RoleHome, key, 2)
		g.Expect(first[0]).To(Equal(owner))
		g.Expect(ring.Rank(membership.RoleHome, key, first[1])).To(Equal(1))
		if owner != all[0] {
			g.Expect(without.Owner(membership.RoleHome, key)).To(Equal(owner))
		}
	}
	for name, n := range counts {
		g.Expect(n).To(BeNumerically("~", 200, 80), string(name))
	}
	g.Expect(ring.Rank(membership.RoleHome, "k", "nobody")).To(Equal(-1))
	g.Expect(ring.First(membership.RoleHome, "k", 30)).To(HaveLen(20))
	g.Expect(membership.NewRing(nil).Owner(membership.RoleHome, "k")).To(BeEmpty())
}

func upstream(name string) state.Upstream {
	return state.Upstream{Name: state.UpstreamName(name), Host: state.HostName("h-" + name), TrafficAddr: name + ":1"}
}

func watched(all ...state.Upstream) iter.Seq[membership.WatchedUpstream] {
	return func(yield func(membership.WatchedUpstream) bool) {
		for _, u := range all {
			if !yield(membership.WatchedUpstream{Upstream: u}) {
				return
			}
		}
	}
}

func heartbeat(run string, token state.FencingToken, sequence uint64, models ...state.ModelName) rpc.Heartbeat {
	h := rpc.Heartbeat{Agent: token, Sequence: sequence}
	if len(models) == 0 {
		return h
	}
	h.Full, h.Upstream, h.Incarnation, h.State = true, "u", run, rpc.AgentServing
	for _, m := range models {
		h.Replicas = append(h.Replicas, state.Replica{ReplicaKey: state.ReplicaKey{Model: m, Version: "1"}, Upstream: "u", State: state.ReplicaReady})
	}
	return h
}

func describeChanges(a *membership.Agents, ring *membership.Ring) (list []string) {
	for _, batch := range a.Changes(ring) {
		for _, c := range batch.Changes {
			list = append(list, fmt.Sprint(batch.Home, " ", c.Replica.Model, " ", c.Gone))
		}
	}
	return list
}

// Guards against homes that keep replicas of restarted, silent, draining or
// leaving agents, that miss replicas after a lost message or one out of order, or
// that get no replicas when they take over a model.
func TestAgentsReportChanges(t *testing.T) {
	g := NewWithT(t)
	a, ring := membership.NewAgents(membership.DefaultSettings()), membership.NewRing([]state.EntryName{"home"})
	a.Watch(watched(upstream("u")), start)
	g.Expect(a.Health("u", start)).To(Equal(membership.Unknown))
	observe := func(h rpc.Heartbeat, d time.Duration) rpc.HeartbeatResult {
		return a.Observe(h, after(d))
	}
	g.Expect(observe(heartbeat("1", 5, 1), 0).SendFull).To(BeTrue(), "no full heartbeat yet")
	g.Expect(observe(heartbeat("1", state.NoOffset, 0), 0).SendFull).To(BeTrue(), "no registration")
	g.Expect(observe(heartbeat("1", 5, 2, "m", "n"), 0).SendFull).To(BeFalse())
	g.Expect(describeChanges(a, ring)).To(Equal([]string{"home m false", "home n false"}))
	observe(heartbeat("1", 5, 1, "x"), 0)
	g.Expect(describeChanges(a, ring)).To(BeEmpty(), "a heartbeat out of order")
	g.Expect(observe(heartbeat("1", 5, 2), time.Second).SendFull).To(BeFalse(), "the sequence is known")
	g.Expect(observe(heartbeat("1", 5, 3), time.Second).SendFull).To(BeTrue(), "a missed change")
	g.Expect(observe(heartbeat("1", 6, 2), time.Second).SendFull).To(BeTrue(), "an unknown registration")

	moved := membership.NewRing([]state.EntryName{"other"})
	batches := a.Changes(moved)
	g.Expect(batches).To(HaveLen(1), "a new home gets all replicas")
	a.Requeue(batches[0])
	g.Expect(describeChanges(a, moved)).To(HaveLen(2), "a lost batch is sent again")
	a.ResendToHome("other")
	g.Expect(describeChanges(a, moved)).To(HaveLen(2), "a restarted home gets all replicas again")

	observe(heartbeat("2", 8, 1, "m"), 2*time.Second)
	g.Expect(describeChanges(a, moved)).To(Equal([]string{"other m false", "other n true"}), "a restart")
	observe(heartbeat("1", 5, 9, "n"), 2*time.Second)
	g.Expect(describeChanges(a, moved)).To(BeEmpty(), "a late heartbeat of the former process")
	observe(heartbeat("0", 3, 9, "n"), 2*time.Second)
	g.Expect(describeChanges(a, moved)).To(BeEmpty(), "a former process unknown to this watcher")
	a.SetLeaving(func(state.HostName) bool { return true })
	g.Expect(describeChanges(a, moved)).To(Equal([]string{"other m true"}))
	g.Expect(observe(heartbeat("2", 8, 1), 3*time.Second).Leaving).To(BeTrue())
	a.SetLeaving(func(state.HostName) bool { return false })
	g.Expect(describeChanges(a, moved)).To(Equal([]string{"other m false"}))
	a.Tick(after(17 * time.Second))
	g.Expect(describeChanges(a, moved)).To(BeEmpty())
	g.Expect(a.Health("u", after(17*time.Second))).To(Equal(membership.Suspect))
	a.Tick(after(18 * time.Second))
	g.Expect(describeChanges(a, moved)).To(Equal([]string{"other m true"}), "silence")
	g.Expect(a.Reports(after(18 * time.Second))[0].Health).To(Equal(membership.Dead))
	g.Expect(observe(heartbeat("2", 8, 1), 19*time.Second).SendFull).To(BeFalse())
	g.Expect(describeChanges(a, moved)).To(Equal([]string{"other m false"}), "the agent is heard again")
}

// Guards against a watcher that takes a heartbeat out of order or a repeated one
// for news, or whose changes the home can't put in order. Heartbeats of two
// processes of an agent arrive in any order, each twice.
func TestHeartbeatsInAnyOrder(t *testing.T) {
	ring := membership.NewRing([]state.EntryName{"home"})
	sent := []rpc.Heartbeat{
		heartbeat("1", 5, 1, "m"), heartbeat("1", 5, 2, "m", "n"), heartbeat("1", 5, 3, "n"), heartbeat("1", 5, 4, "n", "o"),
		heartbeat("2", 8, 1, "m"), heartbeat("2", 8, 2, "n"), heartbeat("2", 8, 2), heartbeat("2", 8, 1), heartbeat("1", 5, 4),
	}
	for seed := range uint64(200) {
		g := NewWithT(t)
		rng := rand.New(rand.NewPCG(seed, 0))
		a := membership.NewAgents(membership.DefaultSettings())
		a.Watch(watched(upstream("u")), start)
		offered, last := map[state.ModelName]bool{}, rpc.ReplicaChange{}
		for _, i := range append(rng.Perm(len(sent)), rng.Perm(len(sent))...) {
			a.Observe(sent[i], start)
			for _, batch := range a.Changes(ring) {
				for _, c := range batch.Changes {
					g.Expect(c.Replica.Agent).To(BeNumerically(">=", last.Replica.Agent))
					if c.Replica.Agent == last.Replica.Agent {
						g.Expect(c.Sequence).To(BeNumerically(">=", last.Sequence), "seed %d", seed)
					}
					g.Expect(c.Revision).To(BeNumerically(">=", last.Revision), "seed %d", seed)
					g.Expect(c.Withdrawn).To(BeFalse())
					offered[c.Replica.Model] = !c.Gone
					last = c
				}
			}
		}
		g.Expect(last.Replica.Agent).To(Equal(state.FencingToken(8)), "a change names the registration that it comes from")
		for model, is := range offered {
			g.Expect(is).To(Equal(model == "n"), "seed %d: %s", seed, model)
		}
	}
}

// Guards against a home that keeps a replica of a leaving host or of a silent
// agent because the agent still has it, and against two changes that have no order
// between them.
func TestWithdrawnReplicas(t *testing.T) {
	g := NewWithT(t)
	a, ring := membership.NewAgents(membership.DefaultSettings()), membership.NewRing([]state.EntryName{"home"})
	a.Watch(watched(upstream("u")), start)
	revision := uint64(0)
	nextChange := func() rpc.ReplicaChange {
		change := a.Changes(ring)[0].Changes[0]
		g.Expect(change.Revision).To(BeNumerically(">", revision))
		g.Expect(change.Sequence).To(Equal(uint64(3)))
		revision = change.Revision
		return change
	}
	a.Observe(heartbeat("1", 5, 3, "m"), start)
	g.Expect(nextChange().Gone).To(BeFalse())
	a.SetLeaving(func(state.HostName) bool { return true })
	g.Expect(nextChange()).To(And(HaveField("Gone", true), HaveField("Withdrawn", true)))
	a.SetLeaving(func(state.HostName) bool { return false })
	g.Expect(nextChange()).To(And(HaveField("Gone", false), HaveField("Withdrawn", false)))
	a.Tick(after(15 * time.Second))
	g.Expect(nextChange()).To(And(HaveField("Gone", true), HaveField("Withdrawn", true)))
	g.Expect(a.Observe(heartbeat("1", 5, 2), after(15*time.Second)).SendFull).To(BeFalse())
	g.Expect(a.Changes(ring)).To(BeEmpty(), "a heartbeat out of order does not show that the agent is alive")
	a.Watch(watched(), start)
	a.Watch(watched(upstream("u")), start)
	a.Observe(heartbeat("1", 5, 3, "m"), start)
	g.Expect(nextChange().Gone).To(BeFalse(), "an upstream that was not watched for a while")
}

// Guards against an upstream that counts as gone, which can end in a host.gone record,
// by the host list alone, by the watchers' reports alone, by one reading of a list
// that lags behind a new host, or by the silence of one of two agents of a host, and
// against grants on a leaving host.
func TestFleetGoneNeedsHostListAndSilence(t *testing.T) {
	g := NewWithT(t)
	u, twin := upstream("u"), upstream("twin")
	twin.Host = u.Host
	listed := []platform.HostInfo{{Name: u.Host, State: platform.HostLive}}
	healthAt := func(f *membership.Fleet, d time.Duration) membership.Health {
		return f.Health(slices.Values([]state.Upstream{u, twin}), after(d))["u"]
	}
	report := func(f *membership.Fleet, d time.Duration, health ...membership.Health) {
		for i, h := range health {
			f.RecordReport(membership.AgentReport{Upstream: []state.UpstreamName{"u", "twin"}[i], Host: u.Host, Health: h}, after(d))
		}
	}
	f := membership.NewFleet(membership.DefaultSettings())
	report(f, 0, membership.Live, membership.Live)
	f.RecordHosts(listed, start)
	g.Expect(healthAt(f, 0)).To(Equal(membership.Live))
	report(f, time.Second, membership.Dead, membership.Dead)
	g.Expect(healthAt(f, time.Second)).To(Equal(membership.Live), "a former watcher reports silence")
	report(f, 11*time.Second, membership.Dead, membership.Dead)
	g.Expect(healthAt(f, 11*time.Second)).To(Equal(membership.Dead), "the list still has the host")
	f.RecordHosts(nil, after(12*time.Second))
	g.Expect(healthAt(f, 12*time.Second)).To(Equal(membership.Dead), "one reading")
	f.RecordHosts(nil, after(20*time.Second))
	report(f, 20*time.Second, membership.Dead, membership.Live)
	g.Expect(healthAt(f, 20*time.Second)).To(Equal(membership.Dead), "an agent of the host is alive")
	report(f, 31*time.Second, membership.Dead, membership.Dead)
	f.RecordHosts(nil, after(31*time.Second))
	g.Expect(healthAt(f, 31*time.Second)).To(Equal(membership.Gone))
	g.Expect(healthAt(f, 42*time.Second)).To(Equal(membership.Unknown), "no fresh reports")
	f.RecordHosts([]platform.HostInfo{{Name: u.Host, State: platform.HostLeaving}}, after(43*time.Second))
	report(f, 43*time.Second, membership.Live, membership.Live)
	g.Expect(healthAt(f, 43*time.Second)).To(Equal(membership.Leaving))
}

// Guards against work for a former upstream, and against the heartbeats or reports
// of one agent that count for another of the same name on another host.
func TestFormerUpstream(t *testing.T) {
	g := NewWithT(t)
	ring := membership.NewRing([]state.EntryName{"home"})
	u, moved := upstream("u"), upstream("u")
	moved.Host = "h-next"
	former := slices.Values([]membership.WatchedUpstream{{Upstream: u, Former: true, Agent: 5}})
	a := membership.NewAgents(membership.DefaultSettings())
	a.Watch(former, start)
	a.Observe(heartbeat("2", state.NoOffset, 1, "m"), after(10*time.Second))
	g.Expect(a.Health("u", after(15*time.Second))).To(Equal(membership.Dead), "another agent of the same name")
	a.Watch(watched(moved), after(16*time.Second))
	g.Expect(a.Health("u", after(16*time.Second))).To(Equal(membership.Unknown), "another host")
	a.Watch(watched(u), start)
	a.Observe(heartbeat("1", 5, 2, "m"), start)
	g.Expect(describeChanges(a, ring)).To(Equal([]string{"home m false"}))
	a.Watch(former, after(time.Second))
	a.Observe(heartbeat("1", 5, 2), after(5*time.Second))
	g.Expect(describeChanges(a, ring)).To(Equal([]string{"home m true"}))
	g.Expect(a.Health("u", after(19*time.Second))).To(Equal(membership.Suspect))

	f := membership.NewFleet(membership.DefaultSettings())
	healthAfterReport := func(at state.Upstream, host state.HostName, health membership.Health) membership.Health {
		f.RecordReport(membership.AgentReport{Upstream: "u", Host: host, Health: health}, after(time.Minute))
		return f.Health(slices.Values([]state.Upstream{at}), after(time.Minute))["u"]
	}
	f.RecordHosts(nil, start)
	f.RecordHosts(nil, after(time.Minute))
	g.Expect(healthAfterReport(u, u.Host, membership.Dead)).To(Equal(membership.Gone))
	g.Expect(healthAfterReport(moved, u.Host, membership.Live)).To(Equal(membership.Unknown))
	g.Expect(healthAfterReport(moved, moved.Host, membership.Dead)).To(Equal(membership.Gone))
}

// BenchmarkHeartbeat measures an unchanged heartbeat at a watcher of 34
// agents, and the changes of one second.
func BenchmarkHeartbeat(b *testing.B) {
	a, ring := membership.NewAgents(membership.DefaultSettings()), membership.NewRing(names(350))
	var all []state.Upstream
	for i := range 34 {
		all = append(all, upstream(fmt.Sprint("u", i)))
	}
	a.Watch(watched(all...), start)
	h := heartbeat("1", 5, 2, "m", "n", "o")
	for i, u := range all {
		h.Upstream, h.Agent = u.Name, state.FencingToken(i)
		a.Observe(h, start)
	}
	h = heartbeat("1", 17, 2)
	b.Run("observe", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			a.Observe(h, start)
		}
	})
	b.Run("changes", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			a.Changes(ring)
		}
	})
	b.Run("owner-of-350", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			ring.Owner(membership.RoleHome, "model")
		}
	})
}

// BenchmarkWatcherMemory measures the heap of a watcher's table for each agent
// with three replicas of three adapters.
func BenchmarkWatcherMemory(b *testing.B) {
	for _, agents := range []int{34, 340} {
		b.Run(fmt.Sprintf("agents=%d", agents), func(b *testing.B) {
			var used uint64
			for b.Loop() {
				before := testenv.LiveHeapBytes()
				a := filledWatcher(agents)
				used += testenv.LiveHeapBytes() - before
				runtime.KeepAlive(a)
			}
			b.ReportMetric(float64(used)/float64(b.N)/float64(agents), "heap-B/agent")
		})
	}
}

func filledWatcher(agents int) *membership.Agents {
	a, ring := membership.NewAgents(membership.DefaultSettings()), membership.NewRing(names(44))
	var all []state.Upstream
	for i := range agents {
		all = append(all, upstream(fmt.Sprintf("runner-%05d", i)))
	}
	a.Watch(watched(all...), start)
	for i, u := range all {
		h := heartbeat(fmt.Sprint("run", i), state.FencingToken(i), 2, "m", "n", "o")
		h.Upstream = u.Name
		for j := range h.Replicas {
			h.Replicas[j].Adapters = []state.AdapterName{"a1", "a2", "a3"}
		}
		a.Observe(h, start)
	}
	a.Changes(ring)
	return a
}
