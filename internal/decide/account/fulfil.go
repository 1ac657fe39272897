package account

import (
	"cmp"
	"slices"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/platform"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// planWake returns the next commands towards a wake. The second result is true
// if the caller must plan no further wakes in this tick, so that none takes the
// memory being freed for this one. It is also true while the wake waits for a
// store slot or for orders in flight.
func (a *Account) planWake(now time.Time, w *WakeRequest, use UseFunc) ([]Command, bool) {
	r, listed := a.listed[w.Key]
	switch {
	case !listed:
		return a.planReplicaLoad(now, w, use)
	case r.state == state.ReplicaReady && w.Adapter != "" && !a.unloading(target{key: w.Key}):
		return a.planAdapterLoad(now, w, use)
	}
	return nil, false
}

func (a *Account) planReplicaLoad(now time.Time, w *WakeRequest, use UseFunc) ([]Command, bool) {
	t := target{key: w.Key}
	version, ok := a.catalogue.Version(w.Key)
	if !ok || !a.fencingAllows(w.Key) || !a.mayLoad(now, t) {
		return nil, false
	}
	size := version.Footprint()
	if cmds, short := a.makeRoom(now, t, size, w, use); short {
		return cmds, len(cmds) > 0 || a.memoryBeingFreed() > 0
	}
	if ask, wait := a.requestStoreSlot(now, w); wait {
		return ask, a.storeSlots[w.Key].requested
	}
	if !a.canSend() || a.ordersInFlight(platform.OrderLoad) >= a.cfg.MaxLoads {
		return nil, true
	}
	cmd := a.send(now, platform.Order{
		Kind:       platform.OrderLoad,
		ReplicaKey: w.Key,
		Size:       size,
		Weights:    version.Weights,
	}, t)
	return []Command{cmd}, false
}

func (a *Account) planAdapterLoad(now time.Time, w *WakeRequest, use UseFunc) ([]Command, bool) {
	t := target{w.Key, w.Adapter}
	adapter, ok := a.catalogue.Adapter(w.Adapter)
	if !ok || !a.fencingAllows(w.Key) || !a.mayLoad(now, t) {
		return nil, false
	}
	if cmds, short := a.makeRoom(now, t, adapter.Size, w, use); short {
		return cmds, len(cmds) > 0 || a.memoryBeingFreed() > 0
	}
	if !a.canSend() {
		return nil, true
	}
	if !a.adapterLimiter.Allows(a.ordersInFlight(platform.OrderLoadAdapter)) {
		return nil, false
	}
	cmd := a.send(now, platform.Order{
		Kind:       platform.OrderLoadAdapter,
		ReplicaKey: w.Key,
		Adapter:    w.Adapter,
		Size:       adapter.Size,
		Weights:    adapter.Size,
	}, t)
	return []Command{cmd}, false
}

// mayLoad reports whether the backoff and the earlier orders for t allow a load.
// A load of unknown outcome may be repeated after unknownRetryDelay if a
// listing requested after its answer does not show it.
func (a *Account) mayLoad(now time.Time, t target) bool {
	if now.Before(a.backoff[t]) {
		return false
	}
	unknown := 0
	for _, o := range a.orders {
		if o.target != t {
			continue
		}
		if !o.isLoad() || o.answeredStamp == 0 || o.outcome != Unknown {
			return false
		}
		if now.Sub(o.lastChange) < unknownRetryDelay || o.answeredStamp >= a.listedStamp {
			return false
		}
		unknown++
	}
	return unknown < maxUnknownLoads
}

func (a *Account) ordersInFlight(kind platform.OrderKind) int {
	count := 0
	for _, o := range a.orders {
		if o.kind == kind && o.answeredStamp == 0 {
			count++
		}
	}
	return count
}

// makeRoom reports whether memory is short for a load of t, and returns unloads
// if they free enough. Memory already counted for t is not counted again.
func (a *Account) makeRoom(now time.Time, t target, size state.Bytes, w *WakeRequest, use UseFunc) ([]Command, bool) {
	need := size - a.freeMemoryFor(t.key)
	if _, unknown := a.countLoads(t); unknown > 0 {
		need -= size
	}
	if need <= 0 {
		return nil, false
	}
	need -= a.memoryBeingFreed()
	if need <= 0 {
		return nil, true
	}
	var cmds []Command
	for _, v := range a.victims(now, need, w, use) {
		if !a.canSend() {
			break
		}
		unload := a.sendUnload(now, v)
		unload.Eviction = true
		cmds = append(cmds, unload)
	}
	return cmds, true
}

type victim struct {
	target target
	size   state.Bytes
	use    Use
	idle   time.Duration
}

// victims chooses what to unload to free need bytes, or nothing if not enough
// may be unloaded. If w is for an adapter, idle adapters go first. Then come
// replicas past their keep-alive, then those that mayEvictEarly allows.
func (a *Account) victims(now time.Time, need state.Bytes, w *WakeRequest, use UseFunc) []target {
	var chosen []target
	take := func(candidates []victim, allowed func(victim) bool) {
		for _, v := range candidates {
			if need <= 0 {
				return
			}
			if allowed(v) {
				need -= v.size
				chosen = append(chosen, v.target)
			}
		}
	}
	if w.Adapter != "" {
		take(a.idleAdapters(now, use), func(victim) bool { return true })
	}
	replicas := a.idleReplicas(now, w, use)
	expired := func(v victim) bool { return v.idle >= v.use.KeepAlive }
	take(replicas, expired)
	take(replicas, func(v victim) bool {
		return !expired(v) && a.mayEvictEarly != nil && a.mayEvictEarly(now, v.target.key, v.use, *w)
	})
	if need > 0 {
		return nil
	}
	return chosen
}

func (a *Account) idleReplicas(now time.Time, w *WakeRequest, use UseFunc) []victim {
	var found []victim
	for key, r := range a.listed {
		u := use(key, "")
		t := target{key: key}
		if key == w.Key || !a.evictable(now, t, u) {
			continue
		}
		found = append(found, victim{t, r.totalSize(), u, a.idle(now, key, u)})
	}
	slices.SortFunc(found, byIdle)
	return found
}

func (a *Account) idleAdapters(now time.Time, use UseFunc) []victim {
	var found []victim
	for key, r := range a.listed {
		for name, size := range r.adapters {
			u := use(key, name)
			t := target{key, name}
			if !a.evictable(now, t, u) {
				continue
			}
			found = append(found, victim{t, size, u, a.idle(now, key, u)})
		}
	}
	slices.SortFunc(found, byIdle)
	return found
}

// byIdle sorts the longest idle first.
func byIdle(x, y victim) int {
	return cmp.Or(cmp.Compare(y.idle, x.idle), compareKeys(x.target.key, y.target.key),
		cmp.Compare(x.target.adapter, y.target.adapter))
}

// requestStoreSlot reports whether the load has to wait for a store slot, and
// requests one unless a request is pending or was refused until later.
func (a *Account) requestStoreSlot(now time.Time, w *WakeRequest) ([]Command, bool) {
	if !a.cfg.StoreSlots || a.isCached(w.Key) {
		return nil, false
	}
	s := a.storeSlots[w.Key]
	if s == nil {
		s = &storeSlot{}
		a.storeSlots[w.Key] = s
	}
	switch {
	case now.Before(s.heldUntil):
		return nil, false
	case s.requested || now.Before(s.retryAt):
		return nil, true
	}
	s.requested = true
	return []Command{RequestStoreSlot{Wake: *w}}, true
}

func (a *Account) isCached(key state.ReplicaKey) bool {
	tier := a.cached[string(key.Model)+"/"+string(key.Version)]
	return tier == platform.CacheMemory || tier == platform.CacheDisk
}
