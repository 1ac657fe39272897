package entry

import (
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lagoonvalve/lagoonvalve/internal/decide/membership"
	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
	"github.com/lagoonvalve/lagoonvalve/internal/verdict"
)

// reported is a change of the replica on u0 under the registration 1.
func reported(sequence, revision uint64, replica state.ReplicaState, adapters ...state.AdapterName) rpc.ReplicaChange {
	return rpc.ReplicaChange{
		Sequence: sequence, Revision: revision, Gone: replica == "",
		Replica: rpc.ReplicaAt{
			Replica: state.Replica{ReplicaKey: testReplica, Upstream: "u0", State: replica, Adapters: adapters},
			Agent:   1, AgentIncarnation: "au0", ControlAddr: "10.0.0.0:81",
		},
	}
}

// stoppedHome is a home whose events the test applies itself.
func stoppedHome(t *testing.T) (*homeBench, *home, time.Time) {
	b := newHomeBench(t)
	b.end()
	h := b.homes.of(testReplica)
	h.probeUntil = time.Now().Add(-time.Second)
	return b, h, time.Now()
}

// held is the replica on u0 as a home knows it; nil if it has none.
func held(h *home) *rpc.ReplicaAt {
	if replica, ok := h.replicas["u0"]; ok {
		return &replica.at
	}
	return nil
}

// Guards against an overtaken or repeated report of a replica under one
// registration that replaces the later one, also when the later one ended it.
func TestReportsInAnyOrder(t *testing.T) {
	withdrawn := reported(3, 5, "")
	withdrawn.Withdrawn = true
	other := reported(2, 9, state.ReplicaReady)
	scripts := [][]rpc.ReplicaChange{
		{reported(1, 1, state.ReplicaLoading), reported(2, 2, state.ReplicaReady), reported(3, 3, state.ReplicaReady, "x")},
		{reported(1, 1, state.ReplicaLoading), reported(2, 2, state.ReplicaReady), reported(3, 4, "")},
		{reported(3, 4, state.ReplicaReady), withdrawn},
		{reported(3, 4, state.ReplicaReady), withdrawn, reported(3, 6, state.ReplicaReady, "y")},
		{other, reported(3, 3, ""), reported(4, 4, state.ReplicaReady), reported(5, 5, "")},
	}
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		for i, script := range scripts {
			b, ordered, now := stoppedHome(t)
			for _, change := range script {
				ordered.change("w", change, now)
			}
			for seed := range uint64(40) {
				rng := rand.New(rand.NewPCG(seed, 0))
				delete(b.homes.byKey, testReplica)
				for _, n := range append(rng.Perm(len(script)), rng.Perm(len(script))...) {
					changesReceived{watcher: "w", changes: script[n : n+1]}.apply(b.control, now)
				}
				got := b.homes.of(testReplica)
				g.Expect(held(got)).To(Equal(held(ordered)), "script %d, seed %d", i, seed)
			}
		}
	})
}

// Guards against a new watcher's changes that are taken for old ones, as it
// counts its own revisions, and against a later registration or incarnation
// whose sequence begins again.
func TestReportsFromElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		_, h, now := stoppedHome(t)
		h.change("w", reported(7, 90, state.ReplicaReady), now)
		g.Expect(h.change("other", reported(7, 1, ""), now)).To(BeTrue())
		g.Expect(h.change("other", reported(6, 2, state.ReplicaReady), now)).To(BeFalse(), "the agent said more since")
		unregistered := reported(1, 3, state.ReplicaReady)
		unregistered.Replica.AgentIncarnation = "next"
		g.Expect(h.change("other", unregistered, now)).To(BeTrue())
		h.expire(now.Add(time.Hour))
		g.Expect(h.reports).To(HaveLen(1), "the replica is still there")
		registered := reported(1, 1, "")
		registered.Replica.Agent = 4
		g.Expect(h.change("other", registered, now)).To(BeTrue())
		g.Expect(h.change("other", reported(9, 9, state.ReplicaReady), now)).To(BeFalse(), "the predecessor")
		h.expire(now.Add(reportKept))
		g.Expect(h.reports).To(HaveLen(1))
		h.expire(now.Add(reportKept + 1))
		g.Expect(h.reports).To(BeEmpty(), "the home would keep each upstream for ever")
	})
}

// Guards against a replica that went while a wake of it was in flight and that
// stays in the set, and against a wake's fresh replica that an older report
// ends.
func TestGoneDuringWake(t *testing.T) {
	loading := rpc.WakeResult{State: state.ReplicaLoading, ReadyIn: state.Duration(time.Second), Agent: 1, Sequence: 6}
	ready := rpc.WakeResult{State: state.ReplicaReady, Agent: 1, Sequence: 6}
	leaving := reported(5, 9, "")
	leaving.Withdrawn = true
	cases := map[string]struct {
		ended   rpc.ReplicaChange
		adapter state.AdapterName
		result  rpc.WakeResult
		err     error
		kept    bool
	}{
		"ended after the answer":                    {ended: reported(7, 9, ""), result: ready},
		"ended after the answer that it loads":      {ended: reported(7, 9, ""), result: loading},
		"ended before the answer":                   {ended: reported(6, 9, ""), result: ready, kept: true},
		"ended before the answer that it loads":     {ended: reported(5, 9, ""), result: loading, kept: true},
		"withdrawn":                                 {ended: leaving, result: ready},
		"unloading":                                 {ended: reported(7, 9, state.ReplicaUnloading), result: ready},
		"ended before an adapter was ready":         {ended: reported(5, 9, ""), adapter: "x", result: ready, kept: true},
		"an adapter's load says nothing of a model": {ended: reported(5, 9, ""), adapter: "x", result: loading},
		"ended and the adapter's wake failed":       {ended: reported(5, 9, ""), adapter: "x", err: rpc.ErrConnectionLost},
		"ended and the wake was refused": {
			ended: reported(5, 9, ""), result: rpc.WakeResult{Refusal: verdict.Refuse(verdict.ReasonNoCapacity, "")},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				b, h, now := stoppedHome(t)
				h.change("w", reported(4, 1, state.ReplicaReady), now)
				replica := h.replicas["u0"]
				if c.adapter == "" {
					b.pollLoading(h, replica, now)
				} else {
					b.orderWake(h, b.config.View(), "u0", rpc.WakeParams{Adapter: c.adapter}, now)
				}
				g.Expect(b.homes.wakes).To(HaveLen(1))
				order := b.homes.wakes[0]
				changesReceived{watcher: "w", changes: []rpc.ReplicaChange{c.ended}}.apply(b.control, now)
				version := h.version
				wakeAnswered{order: order, result: c.result, err: c.err}.apply(b.control, now)
				if c.kept {
					g.Expect(held(h)).NotTo(BeNil())
					return
				}
				g.Expect(held(h)).To(BeNil())
				g.Expect(h.version).To(BeNumerically(">", version), "entries that know the set hear of it")
			})
		})
	}
}

// Guards against a report from before a wake's answer that puts a replica back
// into the state that the answer has replaced, and against a report that ends
// one although the agent has said later that it has it.
func TestReportFromBeforeTheAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		b, h, now := stoppedHome(t)
		b.orderWake(h, b.config.View(), "u0", rpc.WakeParams{}, now)
		order := b.homes.wakes[0]
		answer := func(s state.ReplicaState, sequence uint64) {
			wakeAnswered{order: order, result: rpc.WakeResult{State: s, Agent: 1, Sequence: sequence}}.apply(b.control, now)
		}
		answer(state.ReplicaReady, 6)
		h.change("w", reported(3, 0, state.ReplicaLoading, "y"), now)
		h.change("w", reported(5, 1, state.ReplicaLoading), now)
		g.Expect(held(h).State).To(Equal(state.ReplicaReady))
		h.change("w", reported(6, 2, ""), now)
		g.Expect(held(h)).NotTo(BeNil())
		h.change("w", reported(6, 3, state.ReplicaReady, "x"), now)
		g.Expect(held(h).Adapters).To(ConsistOf(state.AdapterName("x")))
		h.change("w", reported(7, 4, state.ReplicaLoading), now)
		g.Expect(held(h).State).To(Equal(state.ReplicaLoading), "the engine has lost it since")
		answer(state.ReplicaReady, 90)
		successor := reported(1, 5, "")
		successor.Replica.Agent = 4
		h.change("w", successor, now)
		g.Expect(held(h)).To(BeNil(), "the answer was another registration's")
	})
}

// Guards against a pending end that outlives a later report that the replica is
// loaded again.
func TestLoadedAgainDuringWake(t *testing.T) {
	for _, again := range []state.ReplicaState{state.ReplicaLoading, state.ReplicaReady} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			b, h, now := stoppedHome(t)
			h.change("w", reported(4, 1, state.ReplicaReady), now)
			b.pollLoading(h, h.replicas["u0"], now)
			order := b.homes.wakes[0]
			h.change("w", reported(7, 2, ""), now)
			h.change("w", reported(8, 3, again), now)
			wakeAnswered{order: order, result: rpc.WakeResult{State: state.ReplicaReady, Agent: 1, Sequence: 6}}.apply(b.control, now)
			g.Expect(held(h)).NotTo(BeNil())
		})
	}
}

// Guards against a repeated message that ends a replica woken since.
func TestRepeatedEndDuringWake(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		b, h, now := stoppedHome(t)
		withdrawn := reported(5, 9, "")
		withdrawn.Withdrawn = true
		h.change("w", reported(5, 8, state.ReplicaReady), now)
		g.Expect(h.change("w", withdrawn, now)).To(BeTrue())
		b.orderWake(h, b.config.View(), "u0", rpc.WakeParams{}, now)
		order := b.homes.wakes[0]
		h.change("w", withdrawn, now)
		wakeAnswered{order: order, result: rpc.WakeResult{State: state.ReplicaReady, Agent: 1, Sequence: 6}}.apply(b.control, now)
		g.Expect(held(h)).NotTo(BeNil())
	})
}

// Guards against messages between entries that do not say which watcher sent
// them.
func TestChangesNameTheirWatcher(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		b := newHomeBench(t)
		var sent rpc.ChangesParams
		b.network.serve("other:1", map[string]rpc.MethodFunc{
			rpc.MethodChanges: rpc.Method(func(_ context.Context, p rpc.ChangesParams) (struct{}, error) {
				sent = p
				return struct{}{}, nil
			}),
		})
		e := &Entry{control: b.control}
		send := func(watcher string, change rpc.ReplicaChange) {
			_, err := e.replicaChanges(t.Context(), rpc.ChangesParams{Watcher: watcher, Changes: []rpc.ReplicaChange{change}})
			g.Expect(err).NotTo(HaveOccurred())
		}
		send("former", reported(5, 90, state.ReplicaReady))
		send("present", reported(5, 1, ""))
		b.ask("e1", 0, 0)
		b.end()
		b.addPeer("other", "other:1")
		b.sendChanges(t.Context(), membership.HomeBatch{Home: "other", Changes: []rpc.ReplicaChange{reported(5, 1, "")}})
		synctest.Wait()
		g.Expect(sent.Watcher).To(Equal(b.cfg.self.Incarnation))
		g.Expect(sent.Changes).To(HaveLen(1))
	})
}

// Guards against an agent's answer to a new home that puts back a replica whose
// later end the home has already heard of.
func TestProbeFromBeforeTheEnd(t *testing.T) {
	for sequence, adopted := range map[uint64]bool{6: false, 7: true} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			b, h, now := stoppedHome(t)
			h.change("w", reported(7, 2, ""), now)
			h.probing = 1
			replica := reported(6, 1, state.ReplicaReady).Replica
			probe := probeAnswered{home: h, at: replica}
			probe.status.Heartbeat = rpc.Heartbeat{Agent: 1, Sequence: sequence, Replicas: []state.Replica{replica.Replica}}
			probe.apply(b.control, now)
			g.Expect(held(h) != nil).To(Equal(adopted))
		})
	}
}

// Guards against a benefit that leaves out the requests at full replicas, where
// most of an overload waits, and against counting those that run.
func TestBenefitOfWorkBeyondSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		b, h, now := stoppedHome(t)
		second := reported(1, 1, state.ReplicaReady)
		second.Replica.Upstream, second.Replica.Agent = "u1", 3
		h.change("w", reported(1, 1, state.ReplicaReady), now)
		h.change("w", second, now)
		benefit := func(sent ...int) float64 {
			for i, n := range sent {
				entry := state.EntryName([]string{"e1", "e2"}[i])
				params := rpc.DemandParams{ReplicaKey: testReplica, Entry: entry, Backlog: rpc.Backlog{Sent: n}}
				demandReceived{params: params, reply: make(chan rpc.DemandResult, 1)}.apply(b.control, now)
			}
			return h.benefit
		}
		g.Expect(benefit(16, 16)).To(BeZero(), "32 requests run in 32 slots")
		one := benefit(16, 17)
		g.Expect(one).To(BeNumerically(">", 0))
		g.Expect(benefit(30, 23)).To(BeNumerically("~", 21*one))
		b.change(state.EntityDrain, "upstream/u1", state.Drain{Upstream: "u1"})
		g.Expect(benefit(16, 17)).To(BeNumerically("~", 17*one), "one replica has left")
		h.expire(now.Add(demandFreshFor + 1))
		b.decideHome(h, now.Add(demandFreshFor+1))
		g.Expect(h.benefit).To(BeZero(), "entries that report no more")
	})
}

// Guards against questions of an entry that pile up at a home when the entry asks
// again before they are answered, and against another entry's question that ends
// with them.
func TestRepeatedQuestionsDoNotPileUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		b, h, now := stoppedHome(t)
		ask := func(entry state.EntryName) chan rpc.DemandResult {
			reply := make(chan rpc.DemandResult, 1)
			demandReceived{
				params: rpc.DemandParams{ReplicaKey: testReplica, Entry: entry, Known: h.version, Wait: state.Duration(time.Minute)},
				reply:  reply,
			}.apply(b.control, now)
			return reply
		}
		other := ask("e2")
		var last chan rpc.DemandResult
		for range 100 {
			if last != nil {
				g.Expect(last).To(BeEmpty())
			}
			earlier := last
			last = ask("e1")
			if earlier != nil {
				g.Expect(earlier).To(Receive())
			}
		}
		g.Expect(h.parked).To(HaveLen(2))
		g.Expect(other).NotTo(Receive())
	})
}
