package standin

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/lagoonvalve/lagoonvalve/internal/ctxtime"
	"github.com/lagoonvalve/lagoonvalve/internal/platform"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// Do implements platform.Engine. An order that was accepted is carried out
// even if its caller leaves.
func (e *Engine) Do(ctx context.Context, order platform.Order) error {
	if ctx.Err() != nil {
		return errors.Wrap(platform.ErrUnavailable, "caller left before the order")
	}
	work, alive, err := e.accept(order)
	if err != nil {
		return err
	}
	done := make(chan error, 1)
	go func() { done <- work(alive) }()
	select {
	case err := <-done:
		if err == nil && e.loseOrder() {
			return errors.Wrap(platform.ErrUnknownOutcome, "answer lost")
		}
		return err
	case <-ctx.Done():
		return errors.Wrap(platform.ErrUnknownOutcome, "caller left during the order")
	}
}

func (e *Engine) loseOrder() (lose bool) {
	e.with(func(f *EngineFaults) {
		lose = f.LoseOrders > 0
		if lose {
			f.LoseOrders--
		}
	})
	return lose
}

// accept checks an order, reserves its memory and returns its work.
func (e *Engine) accept(order platform.Order) (work func(context.Context) error, alive context.Context, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.checkUp(); err != nil {
		return nil, nil, err
	}
	if err := e.checkToken(order.Token); err != nil {
		return nil, nil, err
	}
	switch order.Kind {
	case platform.OrderLoad:
		work, err = e.acceptLoad(order)
	case platform.OrderUnload:
		work, err = e.acceptUnload(order)
	case platform.OrderLoadAdapter:
		work, err = e.acceptAdapter(order)
	case platform.OrderUnloadAdapter:
		e.dropAdapter(order)
	case platform.OrderRole:
		e.role = order.Role
	default:
		err = errors.Wrapf(platform.ErrRejected, "unknown order %q", order.Kind)
	}
	if work == nil {
		work = func(context.Context) error { return nil }
	}
	return work, e.alive, err
}

func (e *Engine) checkUp() error {
	if time.Now().Before(e.up) {
		return errors.Wrap(platform.ErrUnavailable, "engine restarts")
	}
	return nil
}

func (e *Engine) checkToken(token state.FencingToken) error {
	if e.cfg.Fencing == state.FencingEnforced && token < e.token {
		return errors.Wrapf(platform.ErrStaleToken, "token %d, newest %d", token, e.token)
	}
	e.token = max(e.token, token)
	return nil
}

func (e *Engine) reserve(size state.Bytes) error {
	if size < 0 || e.used+size > e.cfg.Memory {
		e.refused++
		return errors.Wrapf(platform.ErrNoMemory, "want %s, free %s", size, e.cfg.Memory-e.used)
	}
	e.used += size
	return nil
}

func (e *Engine) acceptLoad(order platform.Order) (func(context.Context) error, error) {
	if known, ok := e.replicas[order.ReplicaKey]; ok {
		if known.state == state.ReplicaUnloading {
			return nil, errors.Wrap(platform.ErrUnavailable, "replica is being unloaded")
		}
		return known.await, nil
	}
	if err := e.reserve(order.Size); err != nil {
		return nil, err
	}
	replica := &engineReplica{
		key:      order.ReplicaKey,
		state:    state.ReplicaLoading,
		size:     order.Size,
		adapters: make(map[state.AdapterName]state.Bytes),
		settled:  make(chan struct{}),
	}
	e.replicas[order.ReplicaKey] = replica
	tier := e.cache.tier(order.ReplicaKey)
	return func(alive context.Context) error { return e.load(alive, replica, tier, order.Weights) }, nil
}

// await returns once the load of the replica has ended.
func (r *engineReplica) await(alive context.Context) error {
	select {
	case <-r.settled:
		return r.failure
	case <-alive.Done():
		return errors.Wrap(platform.ErrUnknownOutcome, "engine crashed")
	}
}

func (e *Engine) load(alive context.Context, replica *engineReplica, tier platform.CacheTier, weights state.Bytes) error {
	err := e.fetch(alive, tier, weights)
	if alive.Err() != nil {
		return errors.Wrap(platform.ErrUnknownOutcome, "engine crashed")
	}
	if err == nil {
		err = e.failLoad()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	replica.failure = err
	close(replica.settled)
	if err != nil {
		e.remove(replica)
		return err
	}
	replica.state = state.ReplicaReady
	e.cache.use(replica.key)
	return nil
}

func (e *Engine) fetch(alive context.Context, tier platform.CacheTier, weights state.Bytes) error {
	speed := e.cfg.DiskSpeed
	switch tier {
	case platform.CacheRemote:
		return e.store.FetchWeights(alive, weights)
	case platform.CacheMemory:
		speed = e.cfg.MemorySpeed
	}
	ctxtime.Sleep(alive, weights.TransferTime(float64(speed)))
	return nil
}

func (e *Engine) failLoad() (err error) {
	e.with(func(f *EngineFaults) {
		if f.FailLoads > 0 {
			f.FailLoads--
			err = errors.Wrap(platform.ErrUnavailable, "load failed")
		}
	})
	return err
}

// remove frees a replica that the current incarnation still has.
func (e *Engine) remove(replica *engineReplica) {
	if e.replicas[replica.key] != replica {
		return
	}
	e.used -= replica.size
	for _, size := range replica.adapters {
		e.used -= size
	}
	delete(e.replicas, replica.key)
}

// acceptUnload unloads a replica once its running requests have ended.
func (e *Engine) acceptUnload(order platform.Order) (func(context.Context) error, error) {
	replica, ok := e.replicas[order.ReplicaKey]
	if !ok {
		return nil, nil
	}
	if replica.state == state.ReplicaLoading {
		return nil, errors.Wrap(platform.ErrUnavailable, "replica is being loaded")
	}
	if replica.idle == nil {
		replica.state = state.ReplicaUnloading
		replica.idle = make(chan struct{})
		if replica.running == 0 {
			close(replica.idle)
		}
	}
	return func(alive context.Context) error {
		select {
		case <-replica.idle:
		case <-alive.Done():
			return errors.Wrap(platform.ErrUnknownOutcome, "engine crashed")
		}
		e.mu.Lock()
		defer e.mu.Unlock()
		e.remove(replica)
		return nil
	}, nil
}

func (e *Engine) acceptAdapter(order platform.Order) (func(context.Context) error, error) {
	replica, ok := e.replicas[order.ReplicaKey]
	if !ok || replica.state != state.ReplicaReady {
		return nil, errors.Wrap(platform.ErrUnavailable, "replica is not ready")
	}
	if _, loaded := replica.adapters[order.Adapter]; loaded {
		return nil, nil
	}
	if err := e.reserve(order.Size); err != nil {
		return nil, err
	}
	return func(alive context.Context) error { return e.loadAdapter(alive, replica, order) }, nil
}

func (e *Engine) loadAdapter(alive context.Context, replica *engineReplica, order platform.Order) error {
	err := e.store.FetchAdapter(alive)
	e.mu.Lock()
	defer e.mu.Unlock()
	if alive.Err() != nil {
		return errors.Wrap(platform.ErrUnknownOutcome, "engine crashed")
	}
	_, twice := replica.adapters[order.Adapter]
	gone := e.replicas[order.ReplicaKey] != replica
	if err != nil || twice || gone {
		e.used -= order.Size
		return err
	}
	replica.adapters[order.Adapter] = order.Size
	return nil
}

func (e *Engine) dropAdapter(order platform.Order) {
	replica, ok := e.replicas[order.ReplicaKey]
	if !ok {
		return
	}
	e.used -= replica.adapters[order.Adapter]
	delete(replica.adapters, order.Adapter)
}

func (e *Engine) list() []platform.EngineReplica {
	list := make([]platform.EngineReplica, 0, len(e.replicas))
	for _, replica := range e.replicas {
		list = append(list, platform.EngineReplica{
			ReplicaKey: replica.key,
			State:      replica.state,
			Size:       replica.size,
			Adapters:   slices.Sorted(maps.Keys(replica.adapters)),
		})
	}
	slices.SortFunc(list, func(a, b platform.EngineReplica) int {
		return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Version, b.Version))
	})
	return list
}
