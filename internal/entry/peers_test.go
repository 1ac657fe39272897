package entry

import (
	"context"
	"fmt"
	"hash/fnv"
	"log/slog"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lagoonvalve/lagoonvalve/internal/ctxtime"
	"github.com/lagoonvalve/lagoonvalve/internal/decide/membership"
	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

const (
	// methodNaive is the ping of the naive table, which asks all entries each
	// second and takes those for live that answered within naiveDead.
	methodNaive = "naive.ping"
	naiveDead   = 3 * time.Second
	linkDelay   = time.Millisecond
)

// peerRegion is the control loops of a region's entries over a network with
// faults, and beside each the naive table.
type peerRegion struct {
	t       *testing.T
	network *fakeNetwork
	names   []state.EntryName
	entries map[state.EntryName]*peerEntry
	mu      sync.Mutex
	// cut tells which one-way paths are broken, loss the share of messages
	// lost on the others.
	cut  func(from, to string) bool
	loss float64
}

type peerEntry struct {
	*control
	region *peerRegion
	stop   context.CancelFunc
	ended  sync.WaitGroup

	mu       sync.Mutex
	answered map[state.EntryName]time.Time
}

func peerAddress(name state.EntryName) string { return string(name) + ":7001" }

func uncutPath(string, string) bool { return false }

func newPeerRegion(t *testing.T, n int) *peerRegion {
	r := &peerRegion{t: t, network: newFakeNetwork(), entries: make(map[state.EntryName]*peerEntry), cut: uncutPath}
	for i := range n {
		r.names = append(r.names, state.EntryName(fmt.Sprint("e", i)))
	}
	for i := range n {
		r.start(i, "first")
	}
	return r
}

// start starts an entry at a time of its own within a tick, so that the order
// of events does not depend on the scheduler.
func (r *peerRegion) start(i int, run string) {
	time.Sleep(7*time.Millisecond + 10*time.Microsecond)
	name := r.names[i]
	cfg := controlConfig{
		self: state.ProcessID{Name: string(name), Incarnation: run}, name: name, region: "r", address: peerAddress(name), seed: uint64(i),
	}
	for _, other := range r.names {
		cfg.peers = append(cfg.peers, rpc.Peer{Name: other, Control: peerAddress(other)})
	}
	e := &peerEntry{region: r, answered: make(map[state.EntryName]time.Time)}
	e.control = newControl(cfg, controlDeps{
		caller: pathCaller{r, peerAddress(name)}, logger: slog.New(slog.DiscardHandler), counters: noCounters{},
	}, time.Now())
	r.network.serve(peerAddress(name), map[string]rpc.MethodFunc{
		rpc.MethodPing: rpc.Method(e.ping),
		methodNaive: rpc.Method(func(ctx context.Context, _ struct{}) (state.EntryName, error) {
			return exchangeEvent(ctx, e.control, func(reply chan state.EntryName) event { return naivePing{reply} })
		}),
	})
	ctx, stop := context.WithCancel(r.t.Context())
	e.stop = stop
	e.ended.Go(func() { _ = e.run(ctx) })
	e.ended.Go(func() { e.naive(ctx) })
	r.entries[name] = e
}

func (r *peerRegion) kill(name state.EntryName) {
	r.network.serve(peerAddress(name), nil)
	r.entries[name].stop()
	r.entries[name].ended.Wait()
	delete(r.entries, name)
}

func (r *peerRegion) end() {
	for name := range r.entries {
		r.kill(name)
	}
}

type naivePing struct{ reply chan state.EntryName }

func (e naivePing) apply(c *control, _ time.Time) { e.reply <- c.cfg.name }

// naive pings all others each second.
func (e *peerEntry) naive(ctx context.Context) {
	var calls sync.WaitGroup
	for ctxtime.Sleep(ctx, time.Second) {
		for _, other := range e.region.names {
			calls.Go(func() {
				limited, cancel := context.WithTimeout(ctx, 900*time.Millisecond)
				defer cancel()
				var name state.EntryName
				err := e.deps.caller.Call(limited, peerAddress(other), methodNaive, struct{}{}, &name)
				if err == nil && name == other {
					e.mu.Lock()
					e.answered[other] = time.Now()
					e.mu.Unlock()
				}
			})
		}
	}
	calls.Wait()
}

func (e *peerEntry) naiveLive() []state.EntryName {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(e.region.names), func(name state.EntryName) bool {
		return name != e.cfg.name && time.Since(e.answered[name]) > naiveDead
	})
}

// pathCaller is an entry's way to the others. It implements rpc.Caller.
type pathCaller struct {
	region *peerRegion
	from   string
}

func (p pathCaller) Call(ctx context.Context, addr, method string, params, result any) error {
	if !p.region.passes(p.from, addr) {
		<-ctx.Done()
		return ctx.Err()
	}
	time.Sleep(linkDelay)
	err := p.region.network.Call(ctx, addr, method, params, result)
	if !p.region.passes(addr, p.from) {
		<-ctx.Done()
		return ctx.Err()
	}
	time.Sleep(linkDelay)
	return err
}

// passes decides on a message by its path and time alone.
func (r *peerRegion) passes(from, to string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	sum := fnv.New32a()
	_, _ = fmt.Fprint(sum, from, to, time.Now().UnixMilli())
	return !r.cut(from, to) && float64(sum.Sum32()%1000)/1000 >= r.loss
}

func (r *peerRegion) fault(loss float64, cut func(from, to string) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut, r.loss = cut, loss
}

// watch lets time pass and calls check often.
func (r *peerRegion) watch(d time.Duration, check func()) {
	for began := time.Now(); time.Since(began) < d; {
		time.Sleep(50 * time.Millisecond)
		check()
	}
}

// look reads the tables of an entry on its control goroutine.
func look[T any](r *peerRegion, name state.EntryName, read func(c *control) T) T {
	result, err := exchangeEvent(r.t.Context(), r.entries[name].control, func(reply chan T) event {
		return lookEvent(func(c *control) { reply <- read(c) })
	})
	NewWithT(r.t).Expect(err).NotTo(HaveOccurred())
	return result
}

type lookEvent func(c *control)

func (e lookEvent) apply(c *control, _ time.Time) { e(c) }

// sees returns the live entries in the eyes of one.
func (r *peerRegion) sees(name state.EntryName) []state.EntryName {
	return look(r, name, func(c *control) []state.EntryName { return c.peers.live })
}

// healthOf returns the state of a process in the eyes of an entry, Unknown if
// it is not the last known one.
func (r *peerRegion) healthOf(process state.ProcessID, at state.EntryName) membership.Health {
	return look(r, at, func(c *control) membership.Health {
		health, last := c.peers.process(process)
		if !last {
			return membership.Unknown
		}
		return health
	})
}

// agree waits until each of the running entries sees exactly them, and returns
// the time.
func (r *peerRegion) agree(limit time.Duration, running ...state.EntryName) time.Duration {
	began := time.Now()
	for time.Since(began) < limit {
		if !slices.ContainsFunc(running, func(name state.EntryName) bool { return !slices.Equal(r.sees(name), running) }) {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	return time.Since(began)
}

// likeNaive expects that each entry and its naive table see the same.
func (r *peerRegion) likeNaive(g Gomega) {
	for name, e := range r.entries {
		g.Expect(r.sees(name)).To(Equal(e.naiveLive()), string(name))
	}
}

// stall is an event that stops the control loop until it is closed.
type stall chan struct{}

func (s stall) apply(*control, time.Time) { <-s }

// Guards against entries that take another for dead under loss, a broken path
// or restarts, that take long to notice a lost, paused or deaf one, and that
// do not agree again afterwards.
func TestEntriesSeeWhoIsAlive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		r := newPeerRegion(t, 7)
		defer r.end()
		all, some := r.names, r.names[:6]
		g.Expect(r.agree(3*time.Second, all...)).To(BeNumerically("<", 2*time.Second))
		everyone := func() {
			for _, name := range all {
				g.Expect(r.sees(name)).To(Equal(all))
			}
		}
		r.fault(0.05, uncutPath)
		r.watch(30*time.Second, everyone)

		r.fault(0, func(from, to string) bool { return from == peerAddress("e1") && to == peerAddress("e2") })
		time.Sleep(5 * time.Second)
		r.watch(15*time.Second, func() {
			everyone()
			g.Expect(r.healthOf(r.entries["e2"].cfg.self, "e1")).To(Equal(membership.Live), "others reach it")
		})
		g.Expect(r.entries["e1"].naiveLive()).NotTo(ContainElement(state.EntryName("e2")))

		r.fault(0, func(_, to string) bool { return to == peerAddress("e6") })
		g.Expect(r.agree(10*time.Second, some...)).To(BeNumerically("<=", 3500*time.Millisecond), "e6 is deaf")
		r.watch(10*time.Second, func() {
			for _, name := range some {
				g.Expect(r.sees(name)).To(Equal(some))
			}
		})
		r.likeNaive(g)
		r.fault(0, uncutPath)
		g.Expect(r.agree(20*time.Second, all...)).To(BeNumerically("<", 5*time.Second))

		paused := make(stall)
		r.entries["e6"].post(t.Context(), paused)
		g.Expect(r.agree(10*time.Second, some...)).To(BeNumerically("<=", 3500*time.Millisecond), "e6 is paused")
		time.Sleep(10 * time.Second)
		close(paused)
		r.watch(5*time.Second, func() {
			g.Expect(r.sees("e6")).To(Equal(all), "its own pause is not the silence of others")
			g.Expect(r.sees("e0")).To(ContainElements(some))
		})
		everyone()

		r.fault(0, func(from, to string) bool { return (from < peerAddress("e3")) != (to < peerAddress("e3")) })
		time.Sleep(20 * time.Second)
		g.Expect(r.agree(time.Second, all[:3]...)).To(BeZero())
		g.Expect(r.agree(time.Second, all[3:]...)).To(BeZero())
		r.likeNaive(g)
		r.fault(0, uncutPath)
		r.watch(10*time.Second, func() {
			g.Expect(r.sees("e0")).To(ContainElements(all[:3]))
			g.Expect(r.sees("e6")).To(ContainElements(all[3:]))
		})
		everyone()
		r.likeNaive(g)

		r.kill("e6")
		g.Expect(r.agree(10*time.Second, some...)).To(BeNumerically("<=", 3500*time.Millisecond), "e6 is lost")
	})
}

// Guards against a restart that is taken for a death or goes unnoticed, against
// an entry that leaves and is not seen to, and against an address that another
// entry has taken over and that keeps its former owner alive.
func TestEntriesFollowProcesses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		r := newPeerRegion(t, 5)
		defer r.end()
		r.agree(5*time.Second, r.names...)
		second := state.ProcessID{Name: "e4", Incarnation: "second-run"}
		r.kill("e4")
		time.Sleep(time.Second)
		r.start(4, second.Incarnation)
		r.watch(10*time.Second, func() {
			for _, name := range r.names[:4] {
				g.Expect(r.sees(name)).To(Equal(r.names))
			}
		})
		for _, name := range r.names[:4] {
			g.Expect(r.healthOf(second, name)).To(Equal(membership.Live))
			g.Expect(r.healthOf(state.ProcessID{Name: "e4", Incarnation: "first"}, name)).To(Equal(membership.Unknown))
		}

		r.entries["e4"].post(t.Context(), leavingSet{})
		g.Expect(r.agree(5*time.Second, r.names[:4]...)).To(BeNumerically("<=", 2*time.Second))
		for _, name := range r.names[:4] {
			g.Expect(r.healthOf(second, name)).To(Equal(membership.Leaving), "standbys take the lease of a leaving holder")
		}

		r.kill("e3")
		r.network.serve(peerAddress("e3"), map[string]rpc.MethodFunc{rpc.MethodPing: rpc.Method(r.entries["e2"].ping)})
		g.Expect(r.agree(10*time.Second, r.names[:3]...)).To(BeNumerically("<=", 3500*time.Millisecond))
	})
}

// Guards against a one-way cut in which one side keeps the other in roles: of
// two entries nobody else can reach either.
func TestTwoEntriesWithOneWayCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		r := newPeerRegion(t, 2)
		defer r.end()
		r.agree(5*time.Second, r.names...)
		r.fault(0, func(from, _ string) bool { return from == peerAddress("e0") })
		time.Sleep(10 * time.Second)
		g.Expect(r.sees("e0")).To(Equal(r.names[:1]))
		g.Expect(r.sees("e1")).To(Equal(r.names[1:]))
		r.likeNaive(g)
		r.fault(0, uncutPath)
		g.Expect(r.agree(20*time.Second, r.names...)).To(BeNumerically("<", 5*time.Second))
	})
}

// Guards against a restarted home that is never told again which replicas there
// are, and against roles and addresses that do not follow the detector.
func TestRestartedHomeIsToldAgain(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	cfg := controlConfig{name: "a", region: "r", address: "a:1", peers: []rpc.Peer{{Name: "b", Control: "b:1"}}}
	c := newControl(cfg, controlDeps{logger: slog.New(slog.DiscardHandler), counters: noCounters{}}, now)
	word := func(incarnation uint64, health membership.Health, run string) {
		ping := rpc.Ping{From: "b", Updates: []rpc.EntryUpdate{
			{Name: "b", Incarnation: incarnation, Health: uint8(health), Control: "b:" + run, Run: run},
		}}
		pingAnswered{reached: "b", answer: ping}.apply(c, now)
		c.refreshPeers()
	}
	g.Expect(c.peers.live).To(HaveLen(1), "settings alone make no entry live")
	word(1, membership.Live, "2")
	g.Expect(c.peers.live).To(HaveLen(2))
	c.agents.Watch(slices.Values([]membership.WatchedUpstream{{Upstream: state.Upstream{Name: "u"}}}), now)
	beat := rpc.Heartbeat{Upstream: "u", Incarnation: "i", Sequence: 1, State: rpc.AgentServing, Full: true}
	for i := range 20 {
		key := state.ReplicaKey{Model: state.ModelName(fmt.Sprint("m", i)), Version: "1"}
		beat.Replicas = append(beat.Replicas, state.Replica{ReplicaKey: key, Upstream: "u", State: state.ReplicaReady})
	}
	c.agents.Observe(beat, now)
	homes := func() []state.EntryName {
		var names []state.EntryName
		for _, batch := range c.agents.Changes(c.peers.ring) {
			names = append(names, batch.Home)
		}
		return names
	}
	g.Expect(homes()).To(ConsistOf(state.EntryName("a"), state.EntryName("b")))
	word(2, membership.Live, "2")
	g.Expect(homes()).To(BeEmpty(), "a refuted suspicion is no restart")
	g.Expect(c.peers.addresses()).To(HaveKeyWithValue(state.EntryName("b"), "b:2"))
	word(3, membership.Live, "3")
	g.Expect(homes()).To(ConsistOf(state.EntryName("b")))
	g.Expect(c.peers.addresses()).To(HaveKeyWithValue(state.EntryName("b"), "b:3"))
}
