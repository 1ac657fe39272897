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

// Guards against roles that move without need when an entry leaves, that
// depend on the order of entries, or that pile up on few entries.
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

func beat(run string, token state.FencingToken, sequence uint64, models ...state.ModelName) rpc.Heartbeat {
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

func changed(a *membership.Agents, ring *membership.Ring) (list []string) {
	for _, batch := range a.Changes(ring) {
		for _, c := range batch.Changes {
			list = append(list, fmt.Sprint(batch.Home, " ", c.Replica.Model, " ", c.Gone))
		}
	}
	return list
}

// Guards against homes that keep replicas of restarted, silent, draining or
// leaving agents, that miss replicas after an overtaken or lost message, or
// that are told nothing when they take over a model.
func TestAgentsReportChanges(t *testing.T) {
	g := NewWithT(t)
	a, ring := membership.NewAgents(membership.DefaultSettings()), membership.NewRing([]state.EntryName{"home"})
	a.Watch(watched(upstream("u")), start)
	g.Expect(a.Health("u", start)).To(Equal(membership.Unknown))
	observe := func(h rpc.Heartbeat, d time.Duration) rpc.HeartbeatResult {
		return a.Observe(h, after(d))
	}
	g.Expect(observe(beat("1", 5, 1), 0).SendFull).To(BeTrue(), "an unknown list")
	g.Expect(observe(beat("1", state.NoOffset, 0), 0).SendFull).To(BeTrue(), "no registration")
	g.Expect(observe(beat("1", 5, 2, "m", "n"), 0).SendFull).To(BeFalse())
	g.Expect(changed(a, ring)).To(Equal([]string{"home m false", "home n false"}))
	observe(beat("1", 5, 1, "x"), 0)
	g.Expect(changed(a, ring)).To(BeEmpty(), "an overtaken heartbeat")
	g.Expect(observe(beat("1", 5, 2), time.Second).SendFull).To(BeFalse(), "the sequence is known")
	g.Expect(observe(beat("1", 5, 3), time.Second).SendFull).To(BeTrue(), "a change that was not heard")
	g.Expect(observe(beat("1", 6, 2), time.Second).SendFull).To(BeTrue(), "a registration that was not heard")

	moved := membership.NewRing([]state.EntryName{"other"})
	batches := a.Changes(moved)
	g.Expect(batches).To(HaveLen(1), "a new home gets everything")
	a.Requeue(batches[0])
	g.Expect(changed(a, moved)).To(HaveLen(2), "a lost batch is sent again")
	a.ResendToHome("other")
	g.Expect(changed(a, moved)).To(HaveLen(2), "a restarted home is told again")

	observe(beat("2", 8, 1, "m"), 2*time.Second)
	g.Expect(changed(a, moved)).To(Equal([]string{"other m false", "other n true"}), "a restart")
	observe(beat("1", 5, 9, "n"), 2*time.Second)
	g.Expect(changed(a, moved)).To(BeEmpty(), "a late heartbeat of the predecessor")
	observe(beat("0", 3, 9, "n"), 2*time.Second)
	g.Expect(changed(a, moved)).To(BeEmpty(), "a predecessor that this watcher never saw")
	a.SetLeaving(func(state.HostName) bool { return true })
	g.Expect(changed(a, moved)).To(Equal([]string{"other m true"}))
	g.Expect(observe(beat("2", 8, 1), 3*time.Second).Leaving).To(BeTrue())
	a.SetLeaving(func(state.HostName) bool { return false })
	g.Expect(changed(a, moved)).To(Equal([]string{"other m false"}))
	a.Tick(after(17 * time.Second))
	g.Expect(changed(a, moved)).To(BeEmpty())
	g.Expect(a.Health("u", after(17*time.Second))).To(Equal(membership.Suspect))
	a.Tick(after(18 * time.Second))
	g.Expect(changed(a, moved)).To(Equal([]string{"other m true"}), "silence")
	g.Expect(a.Reports(after(18 * time.Second))[0].Health).To(Equal(membership.Dead))
	g.Expect(observe(beat("2", 8, 1), 19*time.Second).SendFull).To(BeFalse())
	g.Expect(changed(a, moved)).To(Equal([]string{"other m false"}), "the agent is heard again")
}

// Guards against a watcher that takes an overtaken or repeated heartbeat for
// news, or whose changes can't be put in order.
func TestHeartbeatsInAnyOrder(t *testing.T) {
	ring := membership.NewRing([]state.EntryName{"home"})
	sent := []rpc.Heartbeat{
		beat("1", 5, 1, "m"), beat("1", 5, 2, "m", "n"), beat("1", 5, 3, "n"), beat("1", 5, 4, "n", "o"),
		beat("2", 8, 1, "m"), beat("2", 8, 2, "n"), beat("2", 8, 2), beat("2", 8, 1), beat("1", 5, 4),
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
		g.Expect(last.Replica.Agent).To(Equal(state.FencingToken(8)), "a change names the report that it comes from")
		for model, is := range offered {
			g.Expect(is).To(Equal(model == "n"), "seed %d: %s", seed, model)
		}
	}
}

// Guards against a replica of a leaving host or of a silent agent that a home
// keeps because the agent still has it, and against two changes without an
// order between them.
func TestWithdrawnReplicas(t *testing.T) {
	g := NewWithT(t)
	a, ring := membership.NewAgents(membership.DefaultSettings()), membership.NewRing([]state.EntryName{"home"})
	a.Watch(watched(upstream("u")), start)
	revision := uint64(0)
	next := func() rpc.ReplicaChange {
		change := a.Changes(ring)[0].Changes[0]
		g.Expect(change.Revision).To(BeNumerically(">", revision))
		g.Expect(change.Sequence).To(Equal(uint64(3)))
		revision = change.Revision
		return change
	}
	a.Observe(beat("1", 5, 3, "m"), start)
	g.Expect(next().Gone).To(BeFalse())
	a.SetLeaving(func(state.HostName) bool { return true })
	g.Expect(next()).To(And(HaveField("Gone", true), HaveField("Withdrawn", true)))
	a.SetLeaving(func(state.HostName) bool { return false })
	g.Expect(next()).To(And(HaveField("Gone", false), HaveField("Withdrawn", false)))
	a.Tick(after(15 * time.Second))
	g.Expect(next()).To(And(HaveField("Gone", true), HaveField("Withdrawn", true)))
	g.Expect(a.Observe(beat("1", 5, 2), after(15*time.Second)).SendFull).To(BeFalse())
	g.Expect(a.Changes(ring)).To(BeEmpty(), "an overtaken heartbeat is no sign of life")
	a.Watch(watched(), start)
	a.Watch(watched(upstream("u")), start)
	a.Observe(beat("1", 5, 3, "m"), start)
	g.Expect(next().Gone).To(BeFalse(), "an upstream that was not watched for a while")
}

// Guards against host.gone on the word of the list alone, of the watchers
// alone, of one reading of a list that lags behind a new host, or of one of
// two agents of a host, and against grants on a leaving host.
func TestFleetNeedsListAndSilence(t *testing.T) {
	g := NewWithT(t)
	u, twin := upstream("u"), upstream("twin")
	twin.Host = u.Host
	listed := []platform.HostInfo{{Name: u.Host, State: platform.HostLive}}
	judge := func(f *membership.Fleet, d time.Duration) membership.Health {
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
	g.Expect(judge(f, 0)).To(Equal(membership.Live))
	report(f, time.Second, membership.Dead, membership.Dead)
	g.Expect(judge(f, time.Second)).To(Equal(membership.Live), "a former watcher's silence")
	report(f, 11*time.Second, membership.Dead, membership.Dead)
	g.Expect(judge(f, 11*time.Second)).To(Equal(membership.Dead), "the list still has the host")
	f.RecordHosts(nil, after(12*time.Second))
	g.Expect(judge(f, 12*time.Second)).To(Equal(membership.Dead), "one reading")
	f.RecordHosts(nil, after(20*time.Second))
	report(f, 20*time.Second, membership.Dead, membership.Live)
	g.Expect(judge(f, 20*time.Second)).To(Equal(membership.Dead), "an agent of the host is alive")
	report(f, 31*time.Second, membership.Dead, membership.Dead)
	f.RecordHosts(nil, after(31*time.Second))
	g.Expect(judge(f, 31*time.Second)).To(Equal(membership.Gone))
	g.Expect(judge(f, 42*time.Second)).To(Equal(membership.Unknown), "no fresh reports")
	f.RecordHosts([]platform.HostInfo{{Name: u.Host, State: platform.HostLeaving}}, after(43*time.Second))
	report(f, 43*time.Second, membership.Live, membership.Live)
	g.Expect(judge(f, 43*time.Second)).To(Equal(membership.Leaving))
}

// Guards against work for a former upstream, and against the word of one agent
// that counts for another of the name on another host.
func TestFormerUpstream(t *testing.T) {
	g := NewWithT(t)
	ring := membership.NewRing([]state.EntryName{"home"})
	u, moved := upstream("u"), upstream("u")
	moved.Host = "h-next"
	former := slices.Values([]membership.WatchedUpstream{{Upstream: u, Former: true, Agent: 5}})
	a := membership.NewAgents(membership.DefaultSettings())
	a.Watch(former, start)
	a.Observe(beat("2", state.NoOffset, 1, "m"), after(10*time.Second))
	g.Expect(a.Health("u", after(15*time.Second))).To(Equal(membership.Dead), "another agent of the name")
	a.Watch(watched(moved), after(16*time.Second))
	g.Expect(a.Health("u", after(16*time.Second))).To(Equal(membership.Unknown), "another host")
	a.Watch(watched(u), start)
	a.Observe(beat("1", 5, 2, "m"), start)
	g.Expect(changed(a, ring)).To(Equal([]string{"home m false"}))
	a.Watch(former, after(time.Second))
	a.Observe(beat("1", 5, 2), after(5*time.Second))
	g.Expect(changed(a, ring)).To(Equal([]string{"home m true"}))
	g.Expect(a.Health("u", after(19*time.Second))).To(Equal(membership.Suspect))

	f := membership.NewFleet(membership.DefaultSettings())
	judge := func(at state.Upstream, host state.HostName, health membership.Health) membership.Health {
		f.RecordReport(membership.AgentReport{Upstream: "u", Host: host, Health: health}, after(time.Minute))
		return f.Health(slices.Values([]state.Upstream{at}), after(time.Minute))["u"]
	}
	f.RecordHosts(nil, start)
	f.RecordHosts(nil, after(time.Minute))
	g.Expect(judge(u, u.Host, membership.Dead)).To(Equal(membership.Gone))
	g.Expect(judge(moved, u.Host, membership.Live)).To(Equal(membership.Unknown))
	g.Expect(judge(moved, moved.Host, membership.Dead)).To(Equal(membership.Gone))
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
	h := beat("1", 5, 2, "m", "n", "o")
	for i, u := range all {
		h.Upstream, h.Agent = u.Name, state.FencingToken(i)
		a.Observe(h, start)
	}
	h = beat("1", 17, 2)
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
				before := testenv.HeapInUse()
				a := filledWatcher(agents)
				used += testenv.HeapInUse() - before
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
		h := beat(fmt.Sprint("run", i), state.FencingToken(i), 2, "m", "n", "o")
		h.Upstream = u.Name
		for j := range h.Replicas {
			h.Replicas[j].Adapters = []state.AdapterName{"a1", "a2", "a3"}
		}
		a.Observe(h, start)
	}
	a.Changes(ring)
	return a
}
