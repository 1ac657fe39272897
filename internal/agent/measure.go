package agent

import (
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/decide/account"
	"github.com/lagoonvalve/lagoonvalve/internal/platform"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
	"github.com/lagoonvalve/lagoonvalve/internal/telemetry"
)

const (
	// measureInterval is the time between settings of the gauges.
	measureInterval = time.Second
	// gapBacklog bounds the gaps between two ticks; further ones are dropped,
	// since a busy replica's gaps resemble each other.
	gapBacklog = 256
)

// requestGap is how long a replica was without requests.
type requestGap struct {
	key state.ReplicaKey
	gap time.Duration
}

// noteGap hands a gap to the control goroutine without waiting for it.
func (a *Agent) noteGap(key state.ReplicaKey, gap time.Duration) {
	if gap <= 0 {
		return
	}
	select {
	case a.gaps <- requestGap{key, gap}:
	default:
	}
}

// measure passes on the gaps since the last tick, and sets the gauges once a
// second.
func (c *control) measure(now time.Time) {
	for range len(c.agent.gaps) {
		seen := <-c.agent.gaps
		c.agent.deps.Gap(seen.key, seen.gap)
	}
	elapsed := now.Sub(c.measured)
	if elapsed < measureInterval {
		return
	}
	first := c.measured.IsZero()
	c.measured = now
	for class, waiting := range c.agent.dispatcher.waiting() {
		c.agent.deps.Meter.Waiting(state.Class(class), waiting)
	}
	if first || c.account == nil {
		return
	}
	for _, r := range c.account.Replicas() {
		if r.State == state.ReplicaReady && c.use(r.ReplicaKey, "").InFlight == 0 {
			c.agent.deps.Meter.Idle(r.Model, elapsed)
		}
	}
}

// note counts a load that ended, and tells the audit trail of loads and
// unloads that were carried out.
func (c *control) note(now time.Time, cmd account.SendOrder, err error) {
	result := telemetry.LoadReady
	if err != nil {
		result = telemetry.LoadFailed
	}
	order := cmd.Order
	decision := state.Audit{
		Time:   now,
		Entity: state.EntityVersion,
		Name:   string(order.Model) + "/" + string(order.Version),
		Detail: "upstream " + string(c.agent.cfg.Upstream.Name),
		Offset: state.NoOffset,
	}
	if order.Adapter != "" {
		decision.Entity, decision.Name = state.EntityAdapter, string(order.Adapter)
	}
	switch order.Kind {
	case platform.OrderLoad:
		c.agent.deps.Meter.ModelLoad(order.Model, result)
		decision.Action = "load"
	case platform.OrderLoadAdapter:
		c.agent.deps.Meter.AdapterLoad(order.Adapter, result)
		decision.Action = "load"
	case platform.OrderUnload, platform.OrderUnloadAdapter:
		decision.Action = "unload"
		if cmd.Eviction {
			decision.Action = "evict"
		}
	default:
		return
	}
	if err != nil {
		decision.Detail += ": failed"
	}
	c.agent.deps.Decided(decision)
}

// noMeter measures nothing.
type noMeter struct{}

// QueueWait implements Meter.
func (noMeter) QueueWait(state.Class, time.Duration) {}

// Waiting implements Meter.
func (noMeter) Waiting(state.Class, int) {}

// ModelLoad implements Meter.
func (noMeter) ModelLoad(state.ModelName, telemetry.LoadResult) {}

// AdapterLoad implements Meter.
func (noMeter) AdapterLoad(state.AdapterName, telemetry.LoadResult) {}

// Idle implements Meter.
func (noMeter) Idle(state.ModelName, time.Duration) {}
