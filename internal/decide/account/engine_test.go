package account_test

import (
	"fmt"
	"maps"
	"slices"

	"github.com/lagoonvalve/lagoonvalve/internal/decide/account"
	"github.com/lagoonvalve/lagoonvalve/internal/platform"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

const capacity state.Bytes = 12

// catalogue gives model i a footprint of sizes[i], of which 1 is KV headroom,
// and two adapters of size 1 and 2.
type catalogue struct{}

var sizes = []state.Bytes{3, 4, 5, 6, 8}

func key(i int) state.ReplicaKey {
	const names = "m0m1m2m3m4"
	return state.ReplicaKey{Model: state.ModelName(names[2*i : 2*i+2]), Version: "v1"}
}

func adapterOf(k state.ReplicaKey, i int) state.AdapterName {
	return state.AdapterName(fmt.Sprintf("%s-a%d", k.Model, i))
}

func (catalogue) Version(k state.ReplicaKey) (state.ModelVersion, bool) {
	for i, size := range sizes {
		if k == key(i) {
			return state.ModelVersion{Model: k.Model, Name: k.Version, Weights: size - 1, KVHeadroom: 1}, true
		}
	}
	return state.ModelVersion{}, false
}

func (catalogue) Adapter(name state.AdapterName) (state.Adapter, bool) {
	if name == "" {
		return state.Adapter{}, false
	}
	return state.Adapter{Name: name, Size: state.Bytes(1 + name[len(name)-1] - '0')}, true
}

func (catalogue) LargestAdapter(state.ModelName) state.Bytes { return 2 }

// orderMessage is an order on its way to the engine and back.
type orderMessage struct {
	agent           int
	id              account.OrderID
	order           platform.Order
	delivered       bool
	answered        bool // the engine has answered
	outcome         account.Outcome
	reportedUnknown bool // the agent was told that the outcome is unknown
}

// fakeEngine carries out every order that it accepts without a check for free
// memory, so that the test sees any overcommitted memory.
type fakeEngine struct {
	enforced    bool
	token       state.FencingToken
	incarnation int
	replicas    map[state.ReplicaKey]*loadedReplica
	messages    []*orderMessage
}

type loadedReplica struct {
	state        state.ReplicaState
	adapters     map[state.AdapterName]bool
	pendingOrder *orderMessage // answered once the load or unload ends
}

func (e *fakeEngine) used() state.Bytes {
	var total state.Bytes
	for k, r := range e.replicas {
		version, _ := catalogue{}.Version(k)
		total += version.Footprint()
		for name := range r.adapters {
			adapter, _ := catalogue{}.Adapter(name)
			total += adapter.Size
		}
	}
	return total
}

func (e *fakeEngine) status() platform.EngineStatus {
	status := platform.EngineStatus{Incarnation: fmt.Sprint(e.incarnation), Memory: capacity, Role: "both"}
	for k, r := range e.replicas {
		version, _ := catalogue{}.Version(k)
		status.Replicas = append(status.Replicas, platform.EngineReplica{
			ReplicaKey: k,
			State:      r.state,
			Size:       version.Weights, // an engine may not list its KV headroom
			Adapters:   slices.Sorted(maps.Keys(r.adapters)),
		})
	}
	return status
}

func answer(m *orderMessage, outcome account.Outcome) { m.answered, m.outcome = true, outcome }

// deliver lets the engine receive an order.
func (e *fakeEngine) deliver(m *orderMessage) {
	m.delivered = true
	if e.enforced && m.order.Token < e.token {
		answer(m, account.Stale)
		return
	}
	e.token = max(e.token, m.order.Token)
	r := e.replicas[m.order.ReplicaKey]
	switch m.order.Kind {
	case platform.OrderRole:
		answer(m, account.Done)
	case platform.OrderLoad:
		e.load(m, r)
	case platform.OrderUnload:
		if r == nil || r.state != state.ReplicaReady {
			answer(m, account.Refused)
			return
		}
		r.state, r.pendingOrder = state.ReplicaUnloading, m
	default:
		if r == nil || r.state != state.ReplicaReady {
			answer(m, account.Refused)
			return
		}
		if m.order.Kind == platform.OrderLoadAdapter {
			r.adapters[m.order.Adapter] = true
		} else {
			delete(r.adapters, m.order.Adapter)
		}
		answer(m, account.Done)
	}
}

func (e *fakeEngine) load(m *orderMessage, r *loadedReplica) {
	switch {
	case r == nil:
		e.replicas[m.order.ReplicaKey] = &loadedReplica{
			state:        state.ReplicaLoading,
			adapters:     make(map[state.AdapterName]bool),
			pendingOrder: m,
		}
	case r.state == state.ReplicaReady:
		answer(m, account.Done)
	default:
		answer(m, account.Refused)
	}
}

// finish ends a load or unload; a load may fail.
func (e *fakeEngine) finish(k state.ReplicaKey, fail bool) {
	r := e.replicas[k]
	switch {
	case r == nil || r.state == state.ReplicaReady:
		return
	case r.state == state.ReplicaUnloading || fail:
		delete(e.replicas, k)
	default:
		r.state = state.ReplicaReady
	}
	if fail && r.state == state.ReplicaLoading {
		answer(r.pendingOrder, account.Refused)
		return
	}
	answer(r.pendingOrder, account.Done)
}

// restart drops what is loaded and all orders that were sent to the old engine.
func (e *fakeEngine) restart() {
	e.incarnation++
	e.token = 0
	clear(e.replicas)
	for _, m := range e.messages {
		m.delivered = true
		if !m.answered {
			answer(m, account.Unknown)
		}
	}
}
