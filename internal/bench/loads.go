package bench

import (
	"slices"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/decide/scaling"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

func (a *agent) keepAlive(model int) *scaling.KeepAlive {
	k := a.keep[model]
	if k == nil {
		k = scaling.NewKeepAlive(scaling.KeepAliveConfig{})
		a.keep[model] = k
	}
	return k
}

func (a *agent) residents() []scaling.Resident {
	var all []scaling.Resident
	for model, rep := range a.u.replicas {
		work, _ := a.o.loadWork(model, a.u.id)
		all = append(all, scaling.Resident{
			Key: modelKey(model), Size: 1, Busy: !rep.ready || rep.users > 0,
			Loaded: rep.loadedAt, LastUsed: rep.lastUsed, Load: work,
			KeepAlive: a.keepAlive(model).Value(work),
		})
	}
	slices.SortFunc(all, func(x, y scaling.Resident) int { return modelOf(x.Key) - modelOf(y.Key) })
	return all
}

func (a *agent) unload(keys []state.ReplicaKey) {
	for _, key := range keys {
		model := modelOf(key)
		a.u.unload(model)
		a.o.changed(model)
	}
}

// wake loads a model if there is room and, for remote weights, a store slot.
func (a *agent) wake(model int, benefit float64) bool {
	if a.u.lost || a.u.replicas[model] != nil || !a.waking[model].IsZero() {
		return false
	}
	free := replicasPerRunner - len(a.u.replicas) - len(a.waking)
	if free < 1 {
		keys, ok := a.evictor.MakeRoom(a.o.now, 1, state.Bytes(free), a.residents())
		if !ok {
			return false
		}
		a.unload(keys)
	}
	a.waking[model] = a.o.now
	if last, ok := a.lastUsed[model]; ok {
		a.keepAlive(model).Observe(a.o.now.Sub(last))
		delete(a.lastUsed, model)
	}
	a.requestSlot(model, benefit)
	return true
}

// wakeSpare loads a spare replica unless that would evict something or, if it
// is to be beside other models, there are none.
func (a *agent) wakeSpare(model int, kind scaling.SpareKind) bool {
	held := len(a.u.replicas) + len(a.waking)
	if !a.u.takesSpare(held, kind) {
		return false
	}
	return a.wake(model, 0)
}

func (u *upstream) takesSpare(held int, kind scaling.SpareKind) bool {
	return held < replicasPerRunner && (held > 0 || kind == scaling.SpareAnyAccelerator)
}

func (a *agent) requestSlot(model int, benefit float64) {
	if _, remote := a.o.loadWork(model, a.u.id); !remote {
		a.load(model, "")
		return
	}
	if waiting := a.o.homes[model].benefit(); waiting > 0 {
		benefit = waiting
	}
	answer := a.o.broker.Request(a.o.now, scaling.SlotRequest{Upstream: state.UpstreamName(modelName(a.u.id)), Key: modelKey(model), Benefit: benefit})
	if answer.Slot == "" {
		a.o.after(answer.RetryAfter, func() { a.requestSlot(model, benefit) })
		return
	}
	a.load(model, answer.Slot)
}

func (a *agent) load(model int, slot string) {
	over := false
	if slot != "" {
		a.renew(slot, &over)
	}
	started := a.o.now
	a.u.load(model, func(bool) {
		over = true
		delete(a.waking, model)
		a.o.broker.Release(a.o.now, slot)
		a.o.homes[model].loaded(a.u.id, a.o.now.Sub(started))
		a.o.changed(model)
	})
}

func (a *agent) renew(slot string, over *bool) {
	a.o.after(2*time.Second, func() {
		if !*over {
			a.o.broker.Renew(a.o.now, slot)
			a.renew(slot, over)
		}
	})
}
