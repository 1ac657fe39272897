package entry

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lagoonvalve/lagoonvalve/internal/platform"
	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
	"github.com/lagoonvalve/lagoonvalve/internal/verdict"
)

var testReplica = state.ReplicaKey{Model: "m", Version: "1"}

// homeBench is a control that runs, and the agents u0 and u1 with grants.
type homeBench struct {
	*control
	t       *testing.T
	network *fakeNetwork
	mu      sync.Mutex
	wakes   []string
	loaded  map[string]bool
	refuse  map[string]bool
	// loads is how long loads take, a second if nothing is said.
	loads map[string]time.Duration
	// says is what the agents say of themselves besides their replicas.
	says map[string]rpc.AgentStatus
	// spares counts the wakes for a spare replica.
	spares map[string]int
	stop   context.CancelFunc
	ended  sync.WaitGroup
}

// addPeer makes an entry of the settings known.
func (b *homeBench) addPeer(name state.EntryName, control string) {
	b.peers.detector.Seed(name, control)
	b.peers.refreshControl()
}

func newHomeBench(t *testing.T) *homeBench {
	b := &homeBench{t: t, network: newFakeNetwork(), loaded: make(map[string]bool), refuse: make(map[string]bool), spares: make(map[string]int)}
	self := state.ProcessID{Name: "e1", Incarnation: "i"}
	b.control = newControl(controlConfig{self: self, name: "e1", region: "r", address: "e1", retention: time.Hour},
		controlDeps{caller: b.network, logger: slog.New(slog.DiscardHandler), counters: noCounters{}}, time.Now())
	b.change(state.EntityTeam, "t", state.Team{Name: "t"})
	b.change(state.EntityModel, "m", state.Model{Name: "m", Team: "t", MaxReplicas: 2})
	b.change(state.EntityVersion, "m/1", state.ModelVersion{Model: "m", Name: "1", Weights: state.GiB})
	b.region.Apply(positioned(t, 0, state.KindLeaseTake, state.LeaseTake{Holder: "e1", Replaces: state.NoOffset}))
	for i := range 2 {
		name := fmt.Sprintf("u%d", i)
		b.change(state.EntityUpstream, name, state.Upstream{
			Name: state.UpstreamName(name), Kind: state.ModelRunner, Host: state.HostName("h" + name), Region: "r", DataCentre: "d",
			Memory: 8 * state.GiB, Fencing: state.FencingIgnored, TrafficAddr: fmt.Sprintf("10.0.0.%d:80", i), ControlAddr: fmt.Sprintf("10.0.0.%d:81", i),
		})
		b.region.Apply(positioned(t, state.Offset(1+2*i), state.KindAgentStart, state.AgentStart{Upstream: state.UpstreamName(name), Incarnation: "a" + name}))
		b.region.Apply(positioned(t, state.Offset(2+2*i), state.KindGrant, state.GrantBody{ReplicaKey: testReplica, Upstream: state.UpstreamName(name), Limit: 2}))
		b.network.serve(fmt.Sprintf("10.0.0.%d:81", i), map[string]rpc.MethodFunc{
			rpc.MethodWake: rpc.Method(func(_ context.Context, p rpc.WakeParams) (rpc.WakeResult, error) {
				b.noteSpare(name, p)
				return b.wake(name), nil
			}),
			rpc.MethodAgentStatus: rpc.Method(func(context.Context, struct{}) (rpc.AgentStatus, error) { return b.status(name), nil }),
		})
	}
	ctx, stop := context.WithCancel(t.Context())
	b.stop = stop
	b.ended.Go(func() { _ = b.run(ctx) })
	return b
}

func (b *homeBench) end() {
	b.stop()
	b.ended.Wait()
}

func positioned[B state.Body](t *testing.T, offset state.Offset, kind state.Kind, body B) state.StoredRecord {
	record, err := state.NewRecord(fmt.Sprint(kind, offset), state.ProcessID{Name: "e1", Incarnation: "i"}, kind, body)
	if err != nil {
		t.Fatal(err)
	}
	return state.StoredRecord{Offset: offset, Time: time.Now(), Record: record}
}

func (b *homeBench) change(kind state.EntityKind, name string, value any) {
	data, _ := json.Marshal(value)
	body := state.ConfigChange{Entity: kind, Name: name, Value: data, Actor: "op"}
	if out := b.config.Apply(positioned(b.t, b.config.Offset()+1, state.KindConfigChange, body)); out.Effect != state.EffectApplied {
		b.t.Fatalf("%s: %v", name, out.Reasons)
	}
}

func (b *homeBench) wake(name string) rpc.WakeResult {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.wakes = append(b.wakes, name)
	switch {
	case b.refuse[name]:
		return rpc.WakeResult{Refusal: verdict.Refuse(verdict.ReasonNoCapacity, "test")}
	case b.loaded[name]:
		return rpc.WakeResult{State: state.ReplicaReady}
	}
	load := cmp.Or(b.loads[name], time.Second)
	time.AfterFunc(load, func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.loaded[name] = true
	})
	return rpc.WakeResult{State: state.ReplicaLoading, ReadyIn: state.Duration(load)}
}

func (b *homeBench) status(name string) rpc.AgentStatus {
	b.mu.Lock()
	defer b.mu.Unlock()
	status := b.says[name]
	if b.loaded[name] {
		status.Heartbeat.Replicas = []state.Replica{{ReplicaKey: testReplica, Upstream: state.UpstreamName(name), State: state.ReplicaReady}}
	}
	return status
}

// woken lists the upstreams with wake calls.
func (b *homeBench) woken() map[string]bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	names := make(map[string]bool)
	for _, name := range b.wakes {
		names[name] = true
	}
	return names
}

// ask sends the demand of an entry until a set of want replicas comes.
func (b *homeBench) ask(entry string, waiting, want int) []rpc.ReplicaAt {
	params := rpc.DemandParams{ReplicaKey: testReplica, Entry: state.EntryName(entry), Wait: state.Duration(time.Second)}
	params.Backlog.Waiting[state.ClassNormal] = waiting
	params.Backlog.Work = state.Duration(time.Duration(waiting) * 100 * time.Millisecond)
	for range 20 {
		result, err := b.demand(b.t.Context(), params)
		if err != nil {
			b.t.Fatal(err)
		}
		params.Known = result.SetVersion
		if result.Changed && len(result.Replicas) == want {
			return result.Replicas
		}
	}
	b.t.Fatalf("%s got no set of %d replicas", entry, want)
	return nil
}

// Guards against a wake per entry instead of one per decided replica, and
// against questions that are never answered.
func TestBurstWakesOneReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		b := newHomeBench(t)
		defer b.end()
		var entries sync.WaitGroup
		for i := range 20 {
			entries.Go(func() { b.ask(fmt.Sprint("e", i), 1, 1) })
		}
		entries.Wait()
		g.Expect(b.woken()).To(HaveLen(1))
	})
}

// Guards against a second replica beside a loaded one at a home that knows
// only part of the upstreams, as after a move.
func TestNewHomeFindsLoadedReplica(t *testing.T) {
	for _, change := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			b := newHomeBench(t)
			defer b.end()
			b.loaded["u1"] = true
			if change {
				gone := rpc.ReplicaAt{Replica: state.Replica{ReplicaKey: testReplica, Upstream: "u0", State: state.ReplicaUnloading}, Agent: 1}
				b.post(t.Context(), changesReceived{changes: []rpc.ReplicaChange{{Replica: gone}}})
			}
			set := b.ask("e1", 1, 1)
			g.Expect(set[0].Upstream).To(Equal(state.UpstreamName("u1")))
			g.Expect(b.woken()).To(BeEmpty())
		})
	}
}

// Guards against a wake that ignores where the checkpoint is cached, and
// against scale-out that takes each replica for the same slots.
func TestHomeKnowsEachGrant(t *testing.T) {
	for _, test := range []struct {
		name                     string
		tier                     platform.CacheTier
		slots, waiting, replicas int
		within                   time.Duration
	}{
		{name: "cached in memory", tier: platform.CacheMemory, slots: 16, waiting: 1, replicas: 1, within: time.Second},
		{name: "cached on disk", tier: platform.CacheDisk, slots: 16, waiting: 1, replicas: 1, within: time.Second},
		{name: "one request at once", tier: platform.CacheDisk, slots: 1, waiting: 100, replicas: 2, within: 7 * time.Second},
	} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			b := newHomeBench(t)
			defer b.end()
			rates := map[platform.CacheTier]state.Bytes{
				platform.CacheMemory: 4 * state.GiB, platform.CacheDisk: 2 * state.GiB, platform.CacheRemote: state.GiB / 6,
			}
			b.loads = map[string]time.Duration{"u0": 6 * time.Second, "u1": 500 * time.Millisecond}
			b.says = map[string]rpc.AgentStatus{
				"u0": {Concurrency: test.slots, LoadRates: rates},
				"u1": {Concurrency: test.slots, LoadRates: rates, Cached: map[string]platform.CacheTier{testReplica.Path(): test.tier}},
			}
			asked := time.Now()
			set := b.ask("e1", test.waiting, test.replicas)
			t.Logf("%s: ready after %s", test.name, time.Since(asked))
			g.Expect(set[len(set)-1].Upstream).To(Equal(state.UpstreamName("u1")), test.name)
			g.Expect(time.Since(asked)).To(BeNumerically("<", test.within), test.name)
			g.Expect(b.woken()).To(HaveLen(test.replicas), test.name)
			if test.replicas > 1 {
				return
			}
			time.Sleep(10 * time.Second) // until the demand is forgotten
			b.mu.Lock()
			b.says["u1"] = b.says["u0"]
			clear(b.loaded)
			b.mu.Unlock()
			b.post(t.Context(), changesReceived{changes: []rpc.ReplicaChange{{Replica: set[0], Gone: true, Sequence: 9}}})
			time.Sleep(time.Second)
			g.Expect(b.ask("e1", 1, 1)[0].Upstream).To(Equal(state.UpstreamName("u0")), "the copy has left the cache")
		})
	}
}

// Guards against a refusal that ends the wake of a model.
func TestRefusedWakeTriesOtherGrant(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		b := newHomeBench(t)
		defer b.end()
		b.refuse["u0"] = true
		g.Expect(b.ask("e1", 1, 1)[0].Upstream).To(Equal(state.UpstreamName("u1")))
	})
}

// Guards against a home that has moved away and still wakes replicas.
func TestMovedHomeOrdersNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		b := newHomeBench(t)
		b.end()
		now := time.Now()
		b.homes.of(testReplica).probeUntil = now.Add(-time.Second)
		demand := demandReceived{params: rpc.DemandParams{ReplicaKey: testReplica, Entry: "e1"}, reply: make(chan rpc.DemandResult, 1)}
		demand.params.Backlog.Waiting[state.ClassNormal] = 1
		demand.apply(b.control, now)
		g.Expect(b.homes.wakes).To(HaveLen(1))
		order := b.homes.wakes[0]
		b.homes.wakes = nil
		b.peers.setLive([]state.EntryName{"other"})
		b.loseHomes()
		wakeAnswered{order: order, result: rpc.WakeResult{Refusal: verdict.Refuse(verdict.ReasonNoCapacity, "")}}.apply(b.control, now)
		g.Expect(b.homes.wakes).To(BeEmpty())
	})
}

// Guards against a drain that entries with the current set never hear of, and
// against a late change of an agent's predecessor that replaces the newer one.
func TestSetFollowsDrainAndRegistration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		b := newHomeBench(t)
		defer b.end()
		b.loaded["u0"] = true
		first := b.ask("e1", 0, 1)
		late := first[0]
		late.Agent, late.AgentIncarnation = 0, "before"
		b.post(t.Context(), changesReceived{changes: []rpc.ReplicaChange{{Replica: late}, {Replica: late, Gone: true}}})
		g.Expect(b.ask("e2", 0, 1)).To(Equal(first))
		restarted := first[0]
		restarted.AgentIncarnation = "after"
		b.post(t.Context(), changesReceived{changes: []rpc.ReplicaChange{{Replica: restarted}}})
		g.Expect(b.ask("e2", 0, 1)[0].AgentIncarnation).To(Equal("after"))
		current, _ := b.demand(t.Context(), rpc.DemandParams{ReplicaKey: testReplica, Entry: "e1"})
		drained := make(chan time.Duration, 1)
		asked := time.Now()
		go func() {
			params := rpc.DemandParams{ReplicaKey: testReplica, Entry: "e1", Known: current.SetVersion, Wait: state.Duration(5 * time.Second)}
			result, _ := b.demand(t.Context(), params)
			if result.Changed && len(result.Replicas) == 0 {
				drained <- time.Since(asked)
			}
			close(drained)
		}()
		synctest.Wait()
		b.post(t.Context(), drainSet{b})
		g.Expect(<-drained).To(And(BeNumerically(">", 0), BeNumerically("<=", time.Second)))
	})
}

// drainSet drains u0 by configuration on the control goroutine.
type drainSet struct{ bench *homeBench }

func (e drainSet) apply(*control, time.Time) {
	e.bench.change(state.EntityDrain, "upstream/u0", state.Drain{Upstream: "u0"})
}

// Guards against a replica that stays in the set after its engine has lost it,
// because it went before its watcher had heard of it.
func TestMissingReplicaIsLoadedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		b := newHomeBench(t)
		defer b.end()
		held := b.ask("e2", 1, 1)[0].Upstream
		b.mu.Lock()
		b.loaded[string(held)] = false
		b.mu.Unlock()
		result, err := b.demand(t.Context(), rpc.DemandParams{
			ReplicaKey: testReplica, Entry: "e2", Missing: []state.UpstreamName{held}, Backlog: rpc.Backlog{Waiting: [state.ClassCount]int{0, 1}},
		})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(result.Replicas).To(BeEmpty())
		g.Expect(b.ask("e2", 1, 1)).To(HaveLen(1))
		b.mu.Lock()
		defer b.mu.Unlock()
		g.Expect(b.loaded[string(held)]).To(BeTrue())
	})
}
