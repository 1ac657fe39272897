package entry

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/ctxtime"
	"github.com/lagoonvalve/lagoonvalve/internal/decide/membership"
	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

const (
	// pollWaiting is how long a home may hold an answer while requests wait,
	// so that it hears of the backlog often enough.
	pollWaiting = 250 * time.Millisecond
	// pollFull is how long it may do so while the entry's requests exceed its
	// share of the replicas' slots.
	pollFull = time.Second
	// pollQuiet is how long it may do so otherwise.
	pollQuiet = 5 * time.Second
	// followIdle is how long an unused route's replica set is kept up to date.
	followIdle = 30 * time.Second
	// homeTimeout is added to the time that a home may hold an answer.
	homeTimeout = 2 * time.Second
	// homePause is the wait after a home did not answer.
	homePause = 100 * time.Millisecond
)

// followers keep the replica sets of the routes in use by asking the models'
// homes. Each route in use has one goroutine.
type followers struct {
	gateway *gateway
	control *control
	caller  rpc.Caller
	running context.Context

	mu     sync.Mutex
	active map[target]chan struct{}
}

// kick starts following a target or, if it is followed, has the home asked
// again at once.
func (f *followers) kick(t target) {
	if t.service != "" {
		return
	}
	t.adapter = ""
	f.mu.Lock()
	defer f.mu.Unlock()
	if kicked, ok := f.active[t]; ok {
		select {
		case kicked <- struct{}{}:
		default:
		}
		return
	}
	kicked := make(chan struct{}, 1)
	f.active[t] = kicked
	go f.follow(t, kicked)
}

// touch makes sure that a target in use is followed.
func (f *followers) touch(t target) {
	t.adapter = ""
	f.mu.Lock()
	_, ok := f.active[t]
	f.mu.Unlock()
	if !ok {
		f.kick(t)
	}
}

func (f *followers) follow(t target, kicked chan struct{}) {
	route := f.gateway.routes.of(t, f.gateway.cfg.route)
	for f.running.Err() == nil {
		waiting, work, outstanding := route.room.waiting()
		now := time.Now()
		idle := now.Sub(time.Unix(0, route.lastUsed.Load())) > followIdle
		if idle && outstanding == 0 && waiting == [state.ClassCount]int{} && f.stop(t, route) {
			return
		}
		backlog := rpc.Backlog{
			Waiting: waiting, Work: state.Duration(work), Rate: route.arrivals.perSecond(now), Sent: outstanding,
			Refused:  int(route.refused.Swap(0)),
			Adapters: route.room.adapters(),
		}
		if !f.ask(t, route, backlog, kicked) {
			ctxtime.Sleep(f.running, homePause)
		}
	}
}

// stop ends following unless the route was used again meanwhile. A route that
// is no longer followed forgets its replicas.
func (f *followers) stop(t target, route *route) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if time.Since(time.Unix(0, route.lastUsed.Load())) <= followIdle {
		return false
	}
	delete(f.active, t)
	route.setReplicas(0, nil, &f.gateway.loads)
	return true
}

// ask sends the backlog to the home and takes the replica set from it. It
// reports false if the home did not answer.
func (f *followers) ask(t target, route *route, backlog rpc.Backlog, kicked chan struct{}) bool {
	var known uint64
	slots := 0
	if set := route.set.Load(); set != nil {
		known = set.version
		slots = len(set.replicas) * startSlots
	}
	wait := pollQuiet
	switch {
	case backlog.Waiting != [state.ClassCount]int{} || backlog.Refused > 0:
		wait = pollWaiting
	case backlog.Sent*len(f.control.view().addresses) > slots:
		wait = pollFull
	}
	ctx, cancel := context.WithTimeout(f.running, wait+homeTimeout)
	defer cancel()
	kickedNow := make(chan struct{})
	go func() {
		defer close(kickedNow)
		select {
		case <-kicked:
			cancel()
		case <-ctx.Done():
		}
	}()
	result, err := f.demand(ctx, rpc.DemandParams{
		ReplicaKey: t.key, Missing: route.takeMissing(), Entry: f.control.cfg.name, Backlog: backlog, Known: known, Wait: state.Duration(wait),
	})
	interrupted := ctx.Err() == context.Canceled
	cancel()
	<-kickedNow
	if err != nil {
		return interrupted
	}
	f.apply(route, result)
	return true
}

func (f *followers) apply(route *route, result rpc.DemandResult) {
	route.loadWait.Store(int64(result.ReadyIn.Std()))
	route.noCapacity.Store(result.Refusal != nil)
	if result.Refusal != nil {
		route.loadWait.Store(int64(max(result.ReadyIn.Std(), result.Refusal.RetryAfter)))
		f.gateway.refuseWaiting(time.Now(), route)
	}
	if result.Changed {
		route.setReplicas(result.SetVersion, result.Replicas, &f.gateway.loads)
	}
}

// demand asks the home of a model.
func (f *followers) demand(ctx context.Context, params rpc.DemandParams) (rpc.DemandResult, error) {
	current := f.control.view()
	home := current.ring.Owner(membership.RoleHome, homeKey(params.ReplicaKey))
	if home == f.control.cfg.name {
		return f.control.demand(ctx, params)
	}
	var result rpc.DemandResult
	err := f.caller.Call(ctx, current.addresses[home], rpc.MethodDemand, params, &result)
	return result, err
}

func homeKey(key state.ReplicaKey) string { return string(key.Model) }

// demand answers an entry's question as the home of a model.
func (c *control) demand(ctx context.Context, params rpc.DemandParams) (rpc.DemandResult, error) {
	reply := make(chan rpc.DemandResult, 1)
	if !c.post(ctx, demandReceived{params: params, reply: reply}) {
		return rpc.DemandResult{}, ctx.Err()
	}
	select {
	case result := <-reply:
		return result, nil
	case <-ctx.Done():
		return rpc.DemandResult{}, ctx.Err()
	}
}

// adapters lists the adapters that waiting requests ask for.
func (w *waitingRoom) adapters() []state.AdapterName {
	w.mu.Lock()
	defer w.mu.Unlock()
	var names []state.AdapterName
	for _, mine := range w.waiters {
		if mine.adapter != "" && !slices.Contains(names, mine.adapter) {
			names = append(names, mine.adapter)
		}
	}
	slices.Sort(names)
	return names
}
