package account_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/lagoonvalve/lagoonvalve/internal/decide/account"
	"github.com/lagoonvalve/lagoonvalve/internal/platform"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
	"github.com/lagoonvalve/lagoonvalve/internal/testenv"
)

func TestMain(m *testing.M) {
	testenv.Main(m, testenv.RapidDefaults{Seed: 20261204, Checks: 1500, Steps: 60})
}

// Guards against a replica that is loaded without a grant (invariant I1) and
// against memory use beyond the capacity (invariant I2). The schedules mix
// wakes, grants, lost and late results, agent deaths, engine restarts and
// outdated listings at random.
func TestAccountKeepsInvariants(t *testing.T) {
	for _, kind := range []state.FencingKind{state.FencingEnforced, state.FencingIgnored} {
		t.Run(string(kind), func(t *testing.T) {
			s := &stats{}
			rapid.Check(t, func(rt *rapid.T) {
				m := newMachine(kind, s)
				rt.Repeat(m.actions())
			})
			t.Logf("%+v", *s)
			g := NewWithT(t)
			g.Expect(s.loads).To(BeNumerically(">", 1000), "schedules must load")
			g.Expect(s.unloads).To(BeNumerically(">", 500), "schedules must unload")
			g.Expect(s.adapters).To(BeNumerically(">", 20), "schedules must load adapters")
			g.Expect(s.releases).To(BeNumerically(">", 100), "schedules must release")
			g.Expect(s.late).To(BeNumerically(">", 100), "orders must arrive late")
			if kind == state.FencingEnforced {
				g.Expect(s.stale).To(BeNumerically(">", 10), "the engine must refuse old tokens")
			} else {
				g.Expect(s.reserved).To(BeNumerically(">", 100), "successors must reserve memory for late orders")
				g.Expect(s.graceful).To(BeNumerically(">", 10), "agents must stop gracefully")
			}
		})
	}
}

// Guards against the release of a grant because of a listing that was requested
// before the unload was sent: only a later one shows what the unload did.
func TestReleaseNeedsLaterListing(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1_000_000, 0)
	a := account.New(account.Config{Upstream: upstream, Memory: capacity, Fencing: state.FencingIgnored}, catalogue{}, nil)
	a.Register(1, state.Intent{})
	a.SetGrants([]state.Grant{{ID: 0, ReplicaKey: key(0), Upstream: upstream, Revoked: true}})
	shown := platform.EngineStatus{Incarnation: "1", Replicas: []platform.EngineReplica{
		{ReplicaKey: key(0), State: state.ReplicaReady},
	}}
	empty := platform.EngineStatus{Incarnation: "1"}
	unused := func(state.ReplicaKey, state.AdapterName) account.Use { return account.Use{KeepAlive: time.Hour} }
	a.Observe(now, a.BeginListing(), shown)
	early := a.BeginListing()
	unload := a.Tick(now, unused)
	g.Expect(unload).To(HaveLen(1))
	a.Result(now, unload[0].(account.SendOrder).ID, account.Done)
	a.Observe(now, early, empty)
	g.Expect(a.Tick(now, unused)).To(BeEmpty())
	a.Observe(now, a.BeginListing(), empty)
	g.Expect(a.Tick(now, unused)).To(ConsistOf(account.AppendRelease{Release: state.Release{Grant: 0, Agent: 1}}))
}

// Guards against two faults of the memory reserved for a predecessor's orders:
// that it blocks the load of the very model it is reserved for, and that it
// leaves out the other models of the predecessor's intent while that model is
// being loaded.
func TestReserveAllowsPredecessorModel(t *testing.T) {
	for _, c := range []struct {
		left     []state.ReplicaKey
		load     state.ReplicaKey
		loads    bool
		reserved state.Bytes
	}{
		{left: []state.ReplicaKey{key(4)}, load: key(4), loads: true, reserved: 2},
		{left: []state.ReplicaKey{key(4), key(1)}, load: key(4), loads: true, reserved: 4},
		{left: []state.ReplicaKey{key(4), key(2)}, load: key(4), loads: false, reserved: 8},
		{left: []state.ReplicaKey{key(4)}, load: key(2), loads: false, reserved: 8},
	} {
		g := NewWithT(t)
		now := time.Unix(1_000_000, 0)
		a := account.New(account.Config{Upstream: upstream, Memory: capacity, Fencing: state.FencingIgnored}, catalogue{}, nil)
		a.SetGrants([]state.Grant{{ID: 0, ReplicaKey: c.load, Upstream: upstream}})
		a.Register(7, state.Intent{Agent: 3, Models: c.left, Orders: 1})
		a.Observe(now, a.BeginListing(), platform.EngineStatus{Incarnation: "1"})
		g.Expect(a.Reserved()).To(Equal(state.Bytes(8)))
		g.Expect(a.Wake(account.WakeRequest{Key: c.load, Since: now, Until: now.Add(time.Hour)})).To(BeNil())
		g.Expect(a.NoRoom(c.load)).To(Equal(!c.loads), "before the order")
		unused := func(state.ReplicaKey, state.AdapterName) account.Use { return account.Use{KeepAlive: time.Hour} }
		loads := false
		for range 4 {
			for _, cmd := range a.Tick(now, unused) {
				switch cmd := cmd.(type) {
				case account.AppendIntent:
					a.IntentRead(cmd.Sequence)
				case account.SendOrder:
					loads = loads || cmd.Order.Kind == platform.OrderLoad
				}
			}
		}
		g.Expect(loads).To(Equal(c.loads), "load of %v with memory reserved for %v", c.load, c.left)
		g.Expect(a.NoRoom(c.load)).To(Equal(!c.loads))
		g.Expect(a.Reserved()).To(Equal(c.reserved))
		g.Expect(a.Used()).To(BeNumerically("<=", capacity))
	}
}

// sameSize gives every model the same footprint.
type sameSize struct{ catalogue }

func (sameSize) Version(k state.ReplicaKey) (state.ModelVersion, bool) {
	return state.ModelVersion{Model: k.Model, Name: k.Version, Weights: 9, KVHeadroom: 1}, true
}

// BenchmarkTick measures a tick that scans all replicas and finds nothing to do.
func BenchmarkTick(b *testing.B) {
	for _, replicas := range []int{10, 50, 200} {
		b.Run(fmt.Sprintf("replicas=%d", replicas), func(b *testing.B) {
			now := time.Unix(1_000_000, 0)
			memory := state.Bytes(10 * replicas)
			a := account.New(account.Config{
				Upstream: upstream, Memory: memory, Fencing: state.FencingEnforced,
			}, sameSize{}, nil)
			a.Register(1, state.Intent{})
			status := platform.EngineStatus{Incarnation: "1", Memory: memory}
			var grants []state.Grant
			for i := range replicas {
				k := state.ReplicaKey{Model: state.ModelName(fmt.Sprintf("m%d", i)), Version: "v1"}
				grants = append(grants, state.Grant{ID: state.Offset(i), ReplicaKey: k, Upstream: upstream})
				status.Replicas = append(status.Replicas, platform.EngineReplica{ReplicaKey: k, State: state.ReplicaReady})
			}
			a.SetGrants(grants)
			a.Observe(now, a.BeginListing(), status)
			use := func(state.ReplicaKey, state.AdapterName) account.Use { return account.Use{KeepAlive: time.Hour} }
			a.Result(now, a.Tick(now, use)[0].(account.SendOrder).ID, account.Done)
			a.Observe(now, a.BeginListing(), status)
			b.ReportAllocs()
			for b.Loop() {
				if len(a.Tick(now, use)) > 0 {
					b.Fatal("the tick returned commands")
				}
			}
		})
	}
}

// Guards against a spare replica whose load needs an eviction, and against one
// on an empty accelerator when it must share the accelerator with other models.
func TestCanLoadSpare(t *testing.T) {
	for _, c := range []struct {
		loaded []int
		spare  int
		beside bool
		takes  bool
	}{
		{nil, 4, true, false},
		{nil, 4, false, true},
		{[]int{0}, 4, true, true},
		{[]int{1}, 4, true, true},
		{[]int{2}, 4, false, false},
		{[]int{0, 1}, 2, true, true},
		{[]int{0, 1}, 3, true, false},
	} {
		now := time.Unix(1_000_000, 0)
		a := account.New(account.Config{Upstream: upstream, Memory: capacity, Fencing: state.FencingEnforced}, catalogue{}, nil)
		status := platform.EngineStatus{Incarnation: "1"}
		for _, i := range c.loaded {
			status.Replicas = append(status.Replicas, platform.EngineReplica{ReplicaKey: key(i), State: state.ReplicaReady})
		}
		a.Register(7, state.Intent{})
		a.Observe(now, a.BeginListing(), status)
		NewWithT(t).Expect(a.CanLoadSpare(key(c.spare), c.beside)).To(Equal(c.takes), "%+v", c)
	}
}

// Guards against loading all requested adapters at once, regardless of the
// adapters in transit to other runners.
func TestAdapterLoadsAreLimited(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1_000_000, 0)
	a := account.New(account.Config{Upstream: upstream, Memory: capacity, Fencing: state.FencingEnforced}, catalogue{}, nil)
	a.Register(1, state.Intent{})
	a.SetGrants([]state.Grant{{ID: 0, ReplicaKey: key(0), Upstream: upstream}})
	listed := platform.EngineStatus{Incarnation: "1", Replicas: []platform.EngineReplica{{ReplicaKey: key(0), State: state.ReplicaReady}}}
	unused := func(state.ReplicaKey, state.AdapterName) account.Use { return account.Use{KeepAlive: time.Hour} }
	for i := range 2 {
		g.Expect(a.Wake(account.WakeRequest{Key: key(0), Adapter: adapterOf(key(0), i), Since: now, Until: now.Add(time.Hour)})).To(BeNil())
	}
	maxLoads := 0
	for range 6 {
		a.Observe(now, a.BeginListing(), listed)
		loads := 0
		for _, cmd := range a.Tick(now, unused) {
			switch cmd := cmd.(type) {
			case account.AppendIntent:
				a.IntentRead(cmd.Sequence)
			case account.SendOrder:
				if cmd.Order.Kind == platform.OrderLoadAdapter {
					loads++
					continue
				}
				a.Result(now, cmd.ID, account.Done)
			}
		}
		maxLoads = max(maxLoads, loads)
	}
	g.Expect(maxLoads).To(Equal(1))
}
