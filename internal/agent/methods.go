package agent

import (
	"context"
	"time"

	"github.com/google/uuid"

	"github.com/lagoonvalve/lagoonvalve/internal/decide/account"
	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
	"github.com/lagoonvalve/lagoonvalve/internal/verdict"
)

// methods are what the agent serves to entries.
func (c *control) methods() map[string]rpc.MethodFunc {
	return map[string]rpc.MethodFunc{
		rpc.MethodWake:        rpc.Method(c.wake),
		rpc.MethodUnload:      rpc.Method(c.unload),
		rpc.MethodClaimStatus: rpc.Method(c.claimStatus),
		rpc.MethodDrain:       rpc.Method(c.drain),
		rpc.MethodAgentStatus: rpc.Method(c.status),
	}
}

// wake asks for a replica or an adapter. A wake of a ready one counts as use.
func (c *control) wake(ctx context.Context, p rpc.WakeParams) (rpc.WakeResult, error) {
	var result rpc.WakeResult
	err := c.ask(ctx, func() {
		result = c.wakeNow(time.Now(), p)
		// Each event is followed by a tick, which notes its changes, so the
		// sequence covers all that happened before this event.
		result.Agent, result.Sequence = c.heart.token, c.heart.sequence
	})
	return result, err
}

func (c *control) wakeNow(now time.Time, p rpc.WakeParams) rpc.WakeResult {
	if c.account == nil {
		return rpc.WakeResult{Refusal: verdict.Refuse(verdict.ReasonNoReplica, "the upstream loads no models")}
	}
	if c.phase == rpc.AgentDraining {
		return rpc.WakeResult{Refusal: verdict.Refuse(verdict.ReasonDraining, "the upstream is draining")}
	}
	if c.down {
		return rpc.WakeResult{Refusal: verdict.Refuse(verdict.ReasonNoReplica, "the engine is down")}
	}
	c.agent.usages.of(target{key: p.ReplicaKey}).touch(now)
	if p.Adapter != "" {
		c.agent.usages.of(target{p.ReplicaKey, p.Adapter}).touch(now)
	}
	if r, ok := c.replica(p.ReplicaKey); ok && r.State == state.ReplicaReady {
		if p.Adapter == "" || contains(r.Adapters, p.Adapter) {
			return rpc.WakeResult{State: r.State}
		}
	}
	if p.Spare && !c.account.CanLoadSpare(p.ReplicaKey, p.MustShare) {
		return rpc.WakeResult{Refusal: verdict.Refuse(verdict.ReasonNoCapacity, "no room for a spare replica")}
	}
	refusal := c.account.Wake(account.WakeRequest{
		Key:     p.ReplicaKey,
		Adapter: p.Adapter,
		Benefit: p.Benefit,
		Since:   now,
		Until:   now.Add(c.agent.cfg.WakeFor),
	})
	if refusal != nil {
		return rpc.WakeResult{Refusal: refusal}
	}
	c.decide(now)
	if p.Adapter == "" && c.account.NoRoom(p.ReplicaKey) {
		// The wish stays: the replica is loaded if memory becomes free soon.
		return rpc.WakeResult{Refusal: verdict.Refuse(verdict.ReasonNoCapacity, "other replicas in use take the memory")}
	}
	return rpc.WakeResult{
		State:   state.ReplicaLoading,
		ReadyIn: state.Duration(c.readyIn(now, p.ReplicaKey)),
	}
}

func contains(names []state.AdapterName, wanted state.AdapterName) bool {
	for _, name := range names {
		if name == wanted {
			return true
		}
	}
	return false
}

func (c *control) replica(key state.ReplicaKey) (state.Replica, bool) {
	for _, r := range c.account.Replicas() {
		if r.ReplicaKey == key {
			return r, true
		}
	}
	return state.Replica{}, false
}

func (c *control) unload(ctx context.Context, p rpc.UnloadParams) (rpc.WakeResult, error) {
	var result rpc.WakeResult
	err := c.ask(ctx, func() {
		if c.account == nil {
			result.Refusal = verdict.Refuse(verdict.ReasonNoReplica, "the upstream loads no models")
			return
		}
		r, ok := c.replica(p.ReplicaKey)
		if !ok {
			return
		}
		c.account.Unload(p.ReplicaKey)
		result.State = r.State
	})
	return result, err
}

// claimStatus reports a claim. A claim that names another incarnation may
// have run there.
func (c *control) claimStatus(_ context.Context, p rpc.ClaimStatusParams) (rpc.ClaimStatusResult, error) {
	id, err := uuid.Parse(p.Claim)
	if err != nil {
		return rpc.ClaimStatusResult{}, verdict.Refuse(verdict.ReasonBadRequest, "the claim is no UUID")
	}
	p.Claim = id.String()
	return c.agent.claims.status(p), nil
}

// drain stops or resumes new work. Work that is queued or running goes on.
func (c *control) drain(ctx context.Context, p rpc.DrainParams) (struct{}, error) {
	err := c.ask(ctx, func() {
		if c.drained != p.Draining {
			c.agent.deps.Logger.Info("drain order", "draining", p.Draining)
		}
		c.drained = p.Draining
		c.publish()
	})
	return struct{}{}, err
}

func (c *control) status(ctx context.Context, _ struct{}) (rpc.AgentStatus, error) {
	var result rpc.AgentStatus
	err := c.ask(ctx, func() {
		result.Heartbeat = c.fullHeartbeat()
		result.Waiting = c.agent.dispatcher.waiting()
		result.Memory = c.agent.cfg.Upstream.Memory
		if c.account == nil {
			return
		}
		result.Heartbeat.Replicas = c.account.Replicas()
		result.Memory = c.account.Capacity()
		result.Reserved = c.account.Used()
		result.Grants = c.account.Grants()
		result.Unfenced = c.account.IntentInForce()
		result.Cached = c.account.Cached()
		result.Concurrency = c.agent.cfg.Concurrency
		result.LoadRates = c.rates()
		result.Idle = c.idleTimes(time.Now())
	})
	return result, err
}

// idleTimes says how long each idle replica has been without use.
func (c *control) idleTimes(now time.Time) map[string]string {
	idle := make(map[string]string)
	for _, r := range c.account.Replicas() {
		u := c.use(r.ReplicaKey, "")
		if u.InFlight == 0 && !u.LastUsed.IsZero() {
			name := string(r.Model) + "/" + string(r.Version)
			idle[name] = now.Sub(u.LastUsed).Round(time.Millisecond).String()
		}
	}
	return idle
}
