package agent

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"github.com/lagoonvalve/lagoonvalve/internal/decide/account"
	"github.com/lagoonvalve/lagoonvalve/internal/platform"
	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

const (
	appendTimeout = 10 * time.Second
	// rateWeight is the share of a new measurement in the load rate.
	rateWeight = 0.3
)

// execute carries out a command of the account.
func (c *control) execute(now time.Time, cmd account.Command) {
	switch cmd := cmd.(type) {
	case account.SendOrder:
		c.sendOrder(now, cmd)
	case account.AppendIntent:
		c.appendIntent(cmd)
	case account.AppendRelease:
		c.appendRelease(cmd)
	case account.RequestStoreSlot:
		c.askSlot(cmd.Wake)
	}
}

// sendOrder sends an order unless a request has started to use what it would
// unload.
func (c *control) sendOrder(now time.Time, cmd account.SendOrder) {
	order := cmd.Order
	unload := order.Kind == platform.OrderUnload || order.Kind == platform.OrderUnloadAdapter
	if t := (target{order.ReplicaKey, order.Adapter}); unload {
		if !c.agent.usages.of(t).shut() {
			c.account.Result(now, cmd.ID, account.Refused)
			return
		}
		c.shut[t] = struct{}{}
	}
	if order.Kind == platform.OrderLoad {
		c.loadStarted[order.ReplicaKey] = loadStart{at: now, from: c.cachedAt(order.ReplicaKey)}
	}
	c.agent.deps.Counters.Add("agent_orders_total", 1)
	go func() {
		ctx, cancel := context.WithTimeout(c.ctx, c.agent.cfg.OrderTimeout)
		defer cancel()
		err := c.agent.deps.Engine.Do(ctx, order)
		c.post(func() { c.orderEnded(cmd, err) })
	}()
}

func (c *control) orderEnded(cmd account.SendOrder, err error) {
	now := time.Now()
	outcome := outcomeOfOrder(err)
	c.account.Result(now, cmd.ID, outcome)
	c.listingAt = time.Time{}
	if err != nil {
		c.agent.deps.Counters.Add("agent_order_failures_total", 1)
		c.agent.deps.Logger.Warn("order failed", "kind", cmd.Order.Kind,
			"model", cmd.Order.Model, "version", cmd.Order.Version, "error", err)
	}
	c.openUsages()
	c.note(now, cmd, err)
	if cmd.Order.Kind == platform.OrderLoad {
		c.measureLoad(now, cmd.Order, err)
		c.returnSlot(cmd.Order.ReplicaKey)
	}
}

func outcomeOfOrder(err error) account.Outcome {
	switch {
	case err == nil:
		return account.Done
	case errors.Is(err, platform.ErrStaleToken):
		return account.Stale
	case errors.Is(err, platform.ErrNoMemory), errors.Is(err, platform.ErrUnavailable):
		return account.Refused
	default:
		return account.Unknown
	}
}

// loadStart is when a load was ordered, and where its weights were then.
type loadStart struct {
	at   time.Time
	from platform.CacheTier
}

// cachedAt says where a checkpoint is, as of the last listing.
func (c *control) cachedAt(key state.ReplicaKey) platform.CacheTier {
	return platform.TierOf(c.account.Cached(), key.Path())
}

func (c *control) measureLoad(now time.Time, order platform.Order, err error) {
	started := c.loadStarted[order.ReplicaKey]
	delete(c.loadStarted, order.ReplicaKey)
	took := now.Sub(started.at).Seconds()
	if err != nil || took <= 0 {
		return
	}
	rate := float64(order.Weights) / took
	c.loadRates[started.from] = rateWeight*rate + (1-rateWeight)*c.loadRates[started.from]
}

// readyIn predicts when a load ends.
func (c *control) readyIn(now time.Time, key state.ReplicaKey) time.Duration {
	started, loading := c.loadStarted[key]
	if !loading {
		return max(c.loadTime(key, c.cachedAt(key)), tickInterval)
	}
	return max(c.loadTime(key, started.from)-now.Sub(started.at), tickInterval)
}

// loadTime predicts how long a load takes from a place; zero if the version is
// unknown.
func (c *control) loadTime(key state.ReplicaKey, from platform.CacheTier) time.Duration {
	version, ok := c.parts.Version(key)
	if !ok {
		return 0
	}
	return version.Weights.TransferTime(c.loadRates[from])
}

// rates returns the load rates for a status.
func (c *control) rates() map[platform.CacheTier]state.Bytes {
	rates := make(map[platform.CacheTier]state.Bytes, len(c.loadRates))
	for from, rate := range c.loadRates {
		rates[from] = state.Bytes(rate)
	}
	return rates
}

// append stores records and hands the result to the control goroutine.
func (c *control) append(record state.Record, then func(state.Offset, error)) {
	go func() {
		ctx, cancel := context.WithTimeout(c.ctx, appendTimeout)
		defer cancel()
		offset := state.NoOffset
		offsets, err := c.agent.deps.Appender.Append(ctx, c.agent.region, record)
		if err == nil && len(offsets) > 0 {
			offset = offsets[0]
		}
		c.post(func() {
			c.stored(offset)
			then(offset, err)
		})
	}()
}

// notStored reports whether a failed append is known to have no effect.
func notStored(err error) bool {
	return errors.Is(err, platform.ErrUnavailable) && !errors.Is(err, platform.ErrUnknownOutcome)
}

// waitingIntent is an intent whose place in the log the agent has not seen.
type waitingIntent struct {
	sequence uint64
	// offset is its place, or NoOffset while the append has not succeeded.
	offset state.Offset
	// sent says that an attempt may have stored it.
	sent bool
}

func (c *control) appendIntent(cmd account.AppendIntent) {
	record, err := state.NewRecord(uuid.NewString(), c.agent.process, state.KindIntent, cmd.Intent)
	if err != nil {
		c.account.IntentFailed(cmd.Sequence)
		return
	}
	c.appended[record.ID] = waitingIntent{sequence: cmd.Sequence, offset: state.NoOffset}
	var try func()
	try = func() {
		c.append(record, func(offset state.Offset, err error) { c.intentAppended(record.ID, offset, err, try) })
	}
	try()
}

// intentAppended waits until the part shows the record in force, or is past it
// and does not. One of unknown outcome is sent again with the same id, since
// the account must not act on either of two sets until it knows which is in
// force.
func (c *control) intentAppended(id string, offset state.Offset, err error, again func()) {
	waiting, ok := c.appended[id]
	if !ok {
		return
	}
	if err == nil {
		waiting.offset = offset
		c.appended[id] = waiting
		c.askAgain()
		return
	}
	waiting.sent = waiting.sent || !notStored(err)
	c.appended[id] = waiting
	c.agent.deps.Counters.Add("agent_append_failures_total", 1)
	time.AfterFunc(appendRetry, func() {
		c.post(func() {
			switch waiting, ok := c.appended[id]; {
			case !ok:
			case !waiting.sent:
				delete(c.appended, id)
				c.account.IntentFailed(waiting.sequence)
			default:
				again()
			}
		})
	})
}

func (c *control) appendRelease(cmd account.AppendRelease) {
	record, err := state.NewRecord(uuid.NewString(), c.agent.process, state.KindRelease, cmd.Release)
	if err != nil {
		c.account.ReleaseFailed(cmd.Release.Grant)
		return
	}
	c.append(record, func(_ state.Offset, err error) {
		if err == nil {
			return
		}
		c.agent.deps.Counters.Add("agent_append_failures_total", 1)
		// A second release of the same grant has no effect, so one of
		// unknown outcome may be repeated.
		time.AfterFunc(appendRetry, func() {
			c.post(func() { c.account.ReleaseFailed(cmd.Release.Grant) })
		})
	})
}

// askSlot asks for a store slot.
func (c *control) askSlot(w account.WakeRequest) {
	addr, ok := c.agent.deps.SlotOwner()
	if !ok {
		c.account.SetStoreSlot(w.Key, time.Now().Add(unreachableSlot))
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(c.ctx, slotTimeout)
		defer cancel()
		var result rpc.StoreSlotResult
		err := c.agent.deps.Caller.Call(ctx, addr, rpc.MethodStoreSlot, rpc.StoreSlotParams{
			Upstream:   c.agent.cfg.Upstream.Name,
			ReplicaKey: w.Key,
			Benefit:    w.Benefit,
		}, &result)
		c.post(func() { c.slotAnswered(w.Key, result, err) })
	}()
}

func (c *control) slotAnswered(key state.ReplicaKey, result rpc.StoreSlotResult, err error) {
	now := time.Now()
	switch {
	case err != nil:
		c.account.SetStoreSlot(key, now.Add(unreachableSlot))
	case result.Slot == "":
		c.account.StoreSlotRefused(key, now.Add(max(result.RetryAfter.Std(), tickInterval)))
	default:
		c.slots[key] = result.Slot
		c.account.SetStoreSlot(key, now.Add(result.TTL.Std()))
	}
}

// returnSlot gives a store slot back; if the call fails its time runs out.
func (c *control) returnSlot(key state.ReplicaKey) {
	held, ok := c.slots[key]
	if !ok {
		return
	}
	delete(c.slots, key)
	c.account.SetStoreSlot(key, time.Time{})
	addr, ok := c.agent.deps.SlotOwner()
	if !ok {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(c.ctx, slotTimeout)
		defer cancel()
		var result rpc.StoreSlotResult
		_ = c.agent.deps.Caller.Call(ctx, addr, rpc.MethodStoreSlot, rpc.StoreSlotParams{
			Upstream:   c.agent.cfg.Upstream.Name,
			Slot:       held,
			Release:    true,
			ReplicaKey: key,
		}, &result)
	}()
}
