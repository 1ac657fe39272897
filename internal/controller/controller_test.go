package controller_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	. "github.com/onsi/gomega"

	"github.com/lagoonvalve/lagoonvalve/internal/controller"
	"github.com/lagoonvalve/lagoonvalve/internal/decide/election"
	"github.com/lagoonvalve/lagoonvalve/internal/fleet"
	"github.com/lagoonvalve/lagoonvalve/internal/platform"
	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// log is a lease store whose clients can be cut off one by one.
type log struct {
	mu      sync.Mutex
	records []fleet.LeaseRecord
	cut     map[string]bool
}

// client is one process's way to the log.
type client struct {
	*log
	name string
}

func (c client) Read(context.Context) (*fleet.LeaseRecord, state.Offset, state.Offset, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := len(c.records)
	switch {
	case c.cut[c.name]:
		return nil, 0, 0, platform.ErrUnavailable
	case n == 0:
		return nil, state.NoOffset, 0, nil
	}
	record := c.records[n-1]
	return &record, state.Offset(n - 1), state.Offset(n), nil
}

func (c client) Write(_ context.Context, record fleet.LeaseRecord, end state.Offset) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.cut[c.name]:
		return platform.ErrUnavailable
	case state.Offset(len(c.records)) != end:
		return fleet.ErrConflict
	}
	c.records = append(c.records, record)
	return nil
}

// engine is a model engine: it takes one order at a time, and only with the
// right number of orders before it.
type engine struct {
	replicas []fleet.Replica
	accepted int
	busyTill time.Time
	after    []fleet.Replica
}

// taken is an order that an engine has accepted.
type taken struct {
	upstream state.UpstreamName
	fleet.Order
	at time.Time
}

// engines are all model engines.
type engines struct {
	mu    sync.Mutex
	all   map[state.UpstreamName]*engine
	spec  *fleet.EngineSpec
	taken []taken
	sent  []taken
	// lose drops the answer of the next orders, which are accepted, and drop
	// the orders themselves.
	lose, drop int
	// reports are asked for now, mostReports were at once.
	reports, mostReports int
}

func (e *engines) settle(u state.UpstreamName) *engine {
	one := e.all[u]
	if one.after != nil && !time.Now().Before(one.busyTill) {
		one.replicas, one.after = one.after, nil
	}
	return one
}

func (e *engines) Report(_ context.Context, u *fleet.Upstream) (fleet.EngineReport, error) {
	e.mu.Lock()
	e.reports++
	e.mostReports = max(e.mostReports, e.reports)
	e.mu.Unlock()
	time.Sleep(5 * time.Millisecond)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reports--
	one := e.settle(u.Name)
	return fleet.EngineReport{Replicas: slices.Clone(one.replicas), Busy: one.after != nil, Accepted: one.accepted}, nil
}

func (e *engines) Order(_ context.Context, u *fleet.Upstream, order fleet.Order) (fleet.OrderResult, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sent = append(e.sent, taken{u.Name, order, time.Now()})
	if e.drop > 0 {
		e.drop--
		return fleet.OrderUnknown, errors.New("no answer")
	}
	one := e.settle(u.Name)
	if one.after != nil || order.Expect != one.accepted {
		return fleet.OrderConflict, nil
	}
	one.accepted++
	e.taken = append(e.taken, taken{u.Name, order, time.Now()})
	one.after, one.busyTill = apply(one.replicas, order), time.Now()
	if order.Kind == fleet.Load && order.Adapter == "" {
		one.busyTill = time.Now().Add(e.spec.Models[order.Model].FromStore)
	}
	if e.lose > 0 {
		e.lose--
		return fleet.OrderUnknown, errors.New("no answer")
	}
	return fleet.OrderAccepted, nil
}

func apply(replicas []fleet.Replica, order fleet.Order) []fleet.Replica {
	next := []fleet.Replica{}
	for _, r := range replicas {
		if r.Model != order.Model {
			next = append(next, r)
		}
	}
	if order.Kind == fleet.Load {
		next = append(next, fleet.Replica{Model: order.Model})
	}
	return next
}

var times = election.Settings{TTL: 3 * time.Second, Renew: 800 * time.Millisecond, Margin: 500 * time.Millisecond, Settle: 3 * time.Second}

// world has engines with room for one model each and controllers that compete.
type world struct {
	t       *testing.T
	g       *WithT
	log     *log
	engines *engines
	fleet   *controller.Fleet
}

func newWorld(t *testing.T, upstreams, models int) *world {
	spec := &fleet.EngineSpec{Slots: 64, Memory: 100, LoadsPerSecond: 3, Models: map[state.ModelName]fleet.ModelSpec{}}
	for i := range models {
		name := state.ModelName(fmt.Sprint("m", i))
		spec.Models[name] = fleet.ModelSpec{Name: name, Size: 60, FromStore: 2 * time.Second, FromDisk: time.Second}
	}
	service := &fleet.Service{Name: "s", Engine: spec}
	w := &world{
		t: t, g: NewWithT(t), log: &log{cut: map[string]bool{}},
		engines: &engines{all: map[state.UpstreamName]*engine{}, spec: spec},
		fleet:   &controller.Fleet{Manifest: fleet.NewManifest(1, nil, []*fleet.Service{service}, 0)},
	}
	for i := range upstreams {
		u := &fleet.Upstream{Name: state.UpstreamName(fmt.Sprint("u", i)), Service: "s", Slots: 64}
		w.fleet.Upstreams = append(w.fleet.Upstreams, u)
		w.engines.all[u.Name] = &engine{}
	}
	return w
}

func (w *world) start(ctx context.Context, name string) *controller.Controller {
	c := controller.New(controller.Options{
		HolderName: name, Host: name, Control: name, Lease: client{w.log, name}, Engines: w.engines,
		Logger: slog.New(slog.NewTextHandler(io.Discard, nil)), Now: time.Now, Election: times, StoreLoadsAtOnce: 4,
	})
	c.Update(w.fleet)
	go c.Run(ctx)
	return c
}

// want reports demand for some models, each with a waiting request.
func (w *world) want(c *controller.Controller, models ...int) {
	params := rpc.WantedParams{Gateway: "g"}
	for _, m := range models {
		params.Targets = append(params.Targets, rpc.TargetDemand{Model: state.ModelName(fmt.Sprint("m", m)), Waiting: 1, Rate: 0.1})
	}
	_, err := c.ReportDemand(context.Background(), params)
	w.g.Expect(err).NotTo(HaveOccurred())
}

// The pattern is a broadcast that wakes many rare models at once. Guards against
// more loads from the weight store, in a window or at once, than it allows.
func TestLoadsKeepToTheStoresLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		w := newWorld(t, 20, 20)
		c := w.start(ctx, "a")
		time.Sleep(time.Second)
		for range 30 {
			w.want(c, 0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19)
			time.Sleep(time.Second)
		}
		cancel()
		synctest.Wait()
		w.g.Expect(len(w.engines.taken)).To(Equal(20), "every model is loaded once")
		const window, most = 5 * time.Second, 5*3 + 3
		for i, first := range w.engines.taken {
			inWindow, atOnce := 0, 0
			for _, o := range w.engines.taken[i:] {
				if o.at.Sub(first.at) < window {
					inWindow++
				}
				if o.at.Sub(first.at) < 2*time.Second {
					atOnce++
				}
			}
			w.g.Expect(inWindow).To(BeNumerically("<=", most))
			w.g.Expect(atOnce).To(BeNumerically("<=", 4))
		}
	})
}

// Guards against two services with engines that each use the store's whole rate:
// the store is one for all.
func TestServicesShareTheStoresLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		w := newWorld(t, 20, 20)
		first := w.fleet.Manifest.Services["s"]
		second := &fleet.Service{Name: "s2", Engine: first.Engine}
		w.fleet.Manifest = fleet.NewManifest(1, nil, []*fleet.Service{first, second}, 0)
		for _, u := range w.fleet.Upstreams[10:] {
			u.Service = "s2"
		}
		c := w.start(ctx, "a")
		time.Sleep(time.Second)
		for range 10 {
			w.want(c, 0, 1, 2, 3, 4, 5, 6, 7, 8, 9)
			time.Sleep(time.Second)
		}
		cancel()
		synctest.Wait()
		w.g.Expect(len(w.engines.taken)).To(BeNumerically(">", 10))
		for i, o := range w.engines.taken {
			atOnce := 0
			for _, other := range w.engines.taken[i:] {
				if other.at.Sub(o.at) < 2*time.Second {
					atOnce++
				}
			}
			w.g.Expect(atOnce).To(BeNumerically("<=", 4))
		}
	})
}

// Guards against an order that is carried out twice, or another one given
// meanwhile, when its answer is lost or it is lost itself.
func TestOrderWithoutAnAnswer(t *testing.T) {
	for name, fail := range map[string]func(e *engines){
		"answer lost": func(e *engines) { e.lose = 1 },
		"order lost":  func(e *engines) { e.drop = 2 },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				w := newWorld(t, 1, 2)
				fail(w.engines)
				c := w.start(ctx, "a")
				time.Sleep(time.Second)
				for range 8 {
					w.want(c, 0)
					time.Sleep(time.Second)
				}
				cancel()
				synctest.Wait()
				w.g.Expect(w.engines.taken).To(HaveLen(1))
				for _, o := range w.engines.sent {
					w.g.Expect(o.Order).To(Equal(w.engines.taken[0].Order), "all are the same order")
				}
				w.g.Expect(w.engines.all["u0"].after).To(BeNil())
				w.g.Expect(w.engines.all["u0"].replicas).To(HaveLen(1))
			})
		})
	}
}

// Guards against an order to an engine that carries out one of an earlier
// holder, and against a plan for engines that were not asked yet.
func TestNewHolderWaitsForBusyEngines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		w := newWorld(t, 1, 2)
		w.engines.all["u0"] = &engine{accepted: 7, after: []fleet.Replica{{Model: "m1"}}, busyTill: time.Now().Add(4 * time.Second)}
		c := w.start(ctx, "a")
		time.Sleep(time.Second)
		for range 3 {
			w.want(c, 0)
			time.Sleep(time.Second)
		}
		w.g.Expect(w.engines.sent).To(BeEmpty())
		for range 6 {
			w.want(c, 0)
			time.Sleep(time.Second)
		}
		cancel()
		synctest.Wait()
		w.g.Expect(w.engines.taken).To(HaveLen(2))
		w.g.Expect(w.engines.taken[0].Kind).To(Equal(fleet.Unload))
		w.g.Expect(w.engines.taken[1].Model).To(Equal(state.ModelName("m0")))
	})
}

// Guards against askers that are not told of a change, or are told everything
// each time.
func TestResidencyTellsChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		w := newWorld(t, 3, 3)
		c := w.start(ctx, "a")
		time.Sleep(time.Second)
		all, err := c.Residency(ctx, rpc.ResidencyParams{Gateway: "g", Wait: state.Duration(time.Second)})
		w.g.Expect(err).NotTo(HaveOccurred())
		w.g.Expect(all.Upstreams).To(HaveLen(3))
		w.want(c, 0)
		began := time.Now()
		next, err := c.Residency(ctx, rpc.ResidencyParams{Gateway: "g", Term: all.Term, Revision: all.Revision, Wait: state.Duration(time.Minute)})
		w.g.Expect(err).NotTo(HaveOccurred())
		w.g.Expect(next.Upstreams).To(HaveLen(1))
		w.g.Expect(next.Upstreams[0].Replicas).To(Equal([]rpc.HeldReplica{{Model: "m0"}}))
		w.g.Expect(time.Since(began)).To(BeNumerically("<", 3*time.Second))
		cancel()
		synctest.Wait()
		after, err := c.Residency(context.Background(), rpc.ResidencyParams{})
		w.g.Expect(err).NotTo(HaveOccurred())
		w.g.Expect(after).To(Equal(rpc.ResidencyResult{Holder: "a"}), "it is not the controller any more")
	})
}

// The pattern is a new holder at 3,000 engines. Guards against more connections
// at once than a host has descriptors (4,100), most of which are for callers,
// and against engines that are never asked.
func TestNewHolderAsksAFewEnginesAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		w := newWorld(t, 3000, 2)
		c := w.start(ctx, "a")
		time.Sleep(10 * time.Second)
		known := map[state.UpstreamName]bool{}
		params := rpc.ResidencyParams{Gateway: "g", Wait: state.Duration(time.Second)}
		for len(known) < 3000 {
			page, err := c.Residency(ctx, params)
			w.g.Expect(err).NotTo(HaveOccurred())
			w.g.Expect(page.Upstreams).NotTo(BeEmpty(), "%d known", len(known))
			w.g.Expect(len(page.Upstreams)).To(BeNumerically("<=", 150), "300 gateways ask at once, and a host has 284 MB")
			for _, u := range page.Upstreams {
				w.g.Expect(known[u.Upstream]).To(BeFalse(), "%s is told once", u.Upstream)
				known[u.Upstream] = true
			}
			params.Term, params.Revision = page.Term, page.Revision
		}
		w.g.Expect(w.engines.mostReports).To(BeNumerically("<=", 100))
		cancel()
		synctest.Wait()
	})
}
