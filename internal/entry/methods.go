package entry

import (
	"context"
	"maps"

	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
	"github.com/lagoonvalve/lagoonvalve/internal/verdict"
)

// methods are the jsonrpc2 methods that an entry serves.
func (e *Entry) methods() map[string]rpc.MethodFunc {
	all := map[string]rpc.MethodFunc{
		rpc.MethodPing:      rpc.Method(e.control.ping),
		rpc.MethodHeartbeat: rpc.Method(e.heartbeat),
		rpc.MethodChanges:   rpc.Method(e.replicaChanges),
		rpc.MethodDemand:    rpc.Method(e.control.demand),
		rpc.MethodReport:    rpc.Method(e.report),
		rpc.MethodClaim:     rpc.Method(e.shards.ask),
		rpc.MethodClaimDone: rpc.Method(e.shards.outcome),

		rpc.MethodClaimLookup: rpc.Method(e.shards.lookup),

		rpc.MethodPart:       rpc.Method(e.control.part),
		rpc.MethodStoreSlot:  rpc.Method(e.storeSlot),
		rpc.MethodStoreShare: rpc.Method(e.storeShare),
		rpc.MethodQuery:      rpc.Method(e.query),
		rpc.MethodSnapshot:   rpc.Method(e.snapshots.part),
		rpc.MethodCrash:      rpc.Method(e.crash),
	}
	maps.Copy(all, e.relay.Methods())
	return all
}

// exchangeEvent posts an event that has a reply and waits for the reply.
func exchangeEvent[R any](ctx context.Context, c *control, makeEvent func(reply chan R) event) (R, error) {
	reply := make(chan R, 1)
	var none R
	if !c.post(ctx, makeEvent(reply)) {
		return none, ctx.Err()
	}
	select {
	case result := <-reply:
		return result, nil
	case <-ctx.Done():
		return none, ctx.Err()
	}
}

func (e *Entry) heartbeat(ctx context.Context, h rpc.Heartbeat) (rpc.HeartbeatResult, error) {
	return exchangeEvent(ctx, e.control, func(reply chan rpc.HeartbeatResult) event {
		return heartbeatReceived{heartbeat: h, reply: reply}
	})
}

func (e *Entry) replicaChanges(ctx context.Context, p rpc.ChangesParams) (struct{}, error) {
	e.control.post(ctx, changesReceived{watcher: p.Watcher, changes: p.Changes})
	return struct{}{}, nil
}

func (e *Entry) report(ctx context.Context, p rpc.ReportParams) (struct{}, error) {
	e.control.post(ctx, reportReceived{params: p})
	return struct{}{}, nil
}

// storeSlot answers an agent's question for a slot of the weight store.
func (e *Entry) storeSlot(ctx context.Context, p rpc.StoreSlotParams) (rpc.StoreSlotResult, error) {
	passedOn := p
	passedOn.Forwarded = true
	return askSlotKeeper(ctx, e, rpc.MethodStoreSlot, p.Forwarded, passedOn, func(reply chan rpc.StoreSlotResult) event {
		return slotAsked{params: p, reply: reply}
	})
}

// storeShare answers a region's question for its share of the store's limits.
func (e *Entry) storeShare(ctx context.Context, p rpc.StoreShareParams) (rpc.StoreShareResult, error) {
	passedOn := p
	passedOn.Forwarded = true
	return askSlotKeeper(ctx, e, rpc.MethodStoreShare, p.Forwarded, passedOn, func(reply chan rpc.StoreShareResult) event {
		return shareAsked{params: p, reply: reply}
	})
}

// askSlotKeeper answers a question by an event if this entry hands out the
// region's slots of the weight store, and passes it on to the entry that does
// otherwise. One that was forwarded goes no further.
func askSlotKeeper[P, R any](ctx context.Context, e *Entry, method string, forwarded bool, passedOn P,
	makeEvent func(reply chan R) event,
) (R, error) {
	var result R
	current := e.control.view()
	if refusal := current.unready(); refusal != nil {
		return result, refusal
	}
	owner := current.ring.Owner(roleStoreSlots, "")
	if owner == e.control.cfg.name || forwarded {
		return exchangeEvent(ctx, e.control, makeEvent)
	}
	err := e.caller.Call(ctx, current.addresses[owner], method, passedOn, &result)
	return result, err
}

func (e *Entry) crash(ctx context.Context, p rpc.CrashParams) (struct{}, error) {
	e.control.post(ctx, crashReported{params: p})
	return struct{}{}, nil
}

// agentAddress finds the control address of an upstream's agent.
func (e *Entry) agentAddress(name state.UpstreamName) (string, bool) {
	current := e.control.view()
	if current == nil {
		return "", false
	}
	upstream, _, ok := current.config.Upstream(name)
	return upstream.ControlAddr, ok
}

// readiness is nil if the entry takes requests.
func (e *Entry) readiness() error {
	if e.gateway.inFlight.isClosed() {
		return verdict.Refuse(verdict.ReasonDraining, "this entry is stopping")
	}
	if refusal := e.control.view().unready(); refusal != nil {
		return refusal
	}
	return nil
}
