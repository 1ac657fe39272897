package entry

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/platform"
	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// orderWake notes that the agent of an upstream is to load; runWakes calls it.
func (c *control) orderWake(h *home, config *state.ConfigView, name state.UpstreamName, params rpc.WakeParams, now time.Time) {
	adapter := params.Adapter
	upstream, _, ok := config.Upstream(name)
	if !ok {
		return
	}
	at := replicaAt(upstream, c.region.View(), h.key)
	if adapter == "" {
		at.State = state.ReplicaLoading
		h.replicas[name] = &homeReplica{at: at, readyAt: now.Add(h.loadTimeOn(c, name)), polled: now, polling: true}
		if c.homes.factsOf(name).cachedAt(h.key) == platform.CacheRemote {
			h.replicas[name].woken = now
		}
	} else if known, ok := h.replicas[name]; ok {
		if known.polling {
			return
		}
		known.polling = true
	}
	params.ReplicaKey = h.key
	c.homes.wakes = append(c.homes.wakes, wakeOrder{home: h, address: upstream.ControlAddr, replica: at, params: params})
}

func (c *control) pollLoading(h *home, replica *homeReplica, now time.Time) {
	replica.polled = now
	replica.polling = true
	c.homes.wakes = append(c.homes.wakes, wakeOrder{
		home: h, address: replica.at.ControlAddr, replica: replica.at,
		params: rpc.WakeParams{ReplicaKey: h.key, Benefit: h.benefit},
	})
}

// runWakes sends the ordered wakes.
func (c *control) runWakes(ctx context.Context) {
	for _, probe := range c.homes.probes {
		if !c.start(ctx, probe.run) {
			probe.home.probing--
		}
	}
	c.homes.probes = c.homes.probes[:0]
	for _, question := range c.homes.questions {
		c.start(ctx, question)
	}
	c.homes.questions = c.homes.questions[:0]
	for _, order := range c.homes.wakes {
		started := c.start(ctx, func(ctx context.Context) event {
			ctx, cancel := context.WithTimeout(ctx, wakeTimeout)
			defer cancel()
			var result rpc.WakeResult
			err := c.deps.caller.Call(ctx, order.address, rpc.MethodWake, order.params, &result)
			return wakeAnswered{order: order, result: result, err: err}
		})
		if !started {
			if replica, ok := order.home.replicas[order.replica.Upstream]; ok {
				replica.polling = false
			}
		}
	}
	c.homes.wakes = c.homes.wakes[:0]
}

// wakeAnswered is an agent's answer to a wake.
type wakeAnswered struct {
	order  wakeOrder
	result rpc.WakeResult
	err    error
}

func (e wakeAnswered) apply(c *control, now time.Time) {
	h := e.order.home
	name := e.order.replica.Upstream
	replica, ok := h.replicas[name]
	if !ok || c.homes.byKey[h.key] != h {
		// A home that has moved away decides nothing any more, or it would
		// wake a replica beside those of its successor.
		return
	}
	replica.polling = false
	ended := replica.ended
	replica.ended = nil
	failed := e.err != nil || e.result.Refusal != nil
	if !failed {
		replica.noteAnswer(e.order.params.Adapter, e.result)
	}
	switch {
	case failed && e.order.params.Adapter == "":
		delete(h.replicas, name)
		if e.order.params.Spare {
			h.spares.refuse(name, now)
		} else {
			h.refused[name] = now.Add(refusedFor)
		}
		c.homes.bump(h)
	case ended != nil && !answeredAfter(replica.answered, ended):
		delete(h.replicas, name)
		c.homes.bump(h)
	case failed:
		// The base model stays loaded; whether its agent is gone is for the
		// watcher to say.
		return
	case e.result.State == state.ReplicaReady:
		h.becameReady(c, replica, e.order.params.Adapter, now)
	default:
		replica.readyAt = now.Add(e.result.ReadyIn.Std())
	}
	c.decideHome(h, now)
	h.answer(c, now)
}

// noteAnswer notes an answer that says the state of the model.
func (r *homeReplica) noteAnswer(adapter state.AdapterName, result rpc.WakeResult) {
	if adapter == "" || result.State == state.ReplicaReady {
		r.answered = reportOrder{result.Agent, result.Sequence}
	}
}

func (h *home) becameReady(c *control, replica *homeReplica, adapter state.AdapterName, now time.Time) {
	if adapter != "" && !slices.Contains(replica.at.Adapters, adapter) {
		replica.at.Adapters = append(slices.Clone(replica.at.Adapters), adapter)
		c.homes.bump(h)
	}
	if replica.at.State == state.ReplicaReady {
		return
	}
	replica.at.State = state.ReplicaReady
	if !replica.woken.IsZero() {
		took := now.Sub(replica.woken)
		h.loadTime = (cmp.Or(h.loadTime, took) + took) / 2
	}
	c.homes.bump(h)
}
