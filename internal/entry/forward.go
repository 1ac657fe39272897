package entry

import (
	"context"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
	"github.com/lagoonvalve/lagoonvalve/internal/verdict"
)

const (
	// headerForwarded marks a request that an entry of another region passed
	// on; it is not passed on again.
	headerForwarded = "Lagoon-Forwarded"
	// forwardLeast is the time to the deadline below which a request is not
	// passed on: the round trip between regions and some service.
	forwardLeast = 250 * time.Millisecond
)

// remoteEntry is an entry of another region.
type remoteEntry struct {
	name   state.EntryName
	region state.Region
	// callers is its address for callers' requests.
	callers string
}

// forward sends a request that this region refused to an entry of another
// region, which treats it as its own: it admits, claims and routes it. The gain
// is an answer in place of a refusal; a byte budget bounds what it costs. A
// request of the lowest class is not worth paid traffic.
func (e *execution) forward(ctx context.Context, refusal *verdict.Verdict) *verdict.Verdict {
	if !e.mayForward(refusal) {
		return refusal
	}
	for _, remote := range e.remoteEntries() {
		at := rpc.ReplicaAt{
			Replica:     state.Replica{Upstream: state.UpstreamName("entry/" + string(remote.name))},
			TrafficAddr: remote.callers,
			Region:      remote.region,
			Agent:       state.NoOffset,
		}
		e.forwarded = true
		v := e.relay(ctx, e.do(ctx, at, &upstreamLoad{}))
		if v.Execution != verdict.NotRun || ctx.Err() != nil || e.exchange.answer.started {
			return v
		}
		if v.Reason != verdict.ReasonUpstreamFailed {
			// The other region could not serve it either; the own region's
			// refusal tells the caller more.
			return refusal
		}
	}
	return refusal
}

func (e *execution) mayForward(refusal *verdict.Verdict) bool {
	if refusal.Execution != verdict.NotRun {
		return false
	}
	switch refusal.Reason {
	case verdict.ReasonNoReplica, verdict.ReasonNoCapacity, verdict.ReasonDeadlineUnmet, verdict.ReasonQueueFull:
		return e.mayMove()
	default:
		return false
	}
}

// mayMove reports whether the request may go to another region now.
func (e *execution) mayMove() bool {
	return !e.consulted && e.movable() && e.remoteAllowed(time.Now(), state.Bytes(len(e.request.body)))
}

// movable reports whether an entry of another region may serve the request if
// the budget for paid traffic allows it.
func (e *execution) movable() bool {
	req := e.request
	return len(e.cfg.remotes) > 0 && !e.isForwarded() && req.class < state.ClassLow && time.Until(req.deadline) > forwardLeast
}

// isForwarded reports whether an entry of another region passed the request on.
func (e *execution) isForwarded() bool { return e.request.header.Get(headerForwarded) != "" }

// refuseWaiting ends the wait of requests that another region may serve and of
// those that came from another region, once no upstream of this one can load
// the model. What the budget for paid traffic does not allow goes on waiting.
func (g *gateway) refuseWaiting(now time.Time, r *route) {
	if len(g.cfg.remotes) == 0 {
		return
	}
	var volume state.Bytes
	r.room.refuseMovable(noUpstream(), func(size state.Bytes) bool {
		if !g.remoteAllowed(now, volume+size) {
			return false
		}
		volume += size
		return true
	})
}

// noUpstream refuses a request of which the home says that it can't be served
// in this region.
func noUpstream() *verdict.Verdict {
	return verdict.Refuse(verdict.ReasonNoCapacity, "no upstream of this region can load the model now").WithRetryAfter(refusedFor)
}

// remoteEntries lists an entry of each other region, in an order that spreads
// the load.
func (e *execution) remoteEntries() []remoteEntry {
	all := e.cfg.remotes
	if len(all) == 0 {
		return nil
	}
	start := int(e.request.number % uint64(len(all)))
	var chosen []remoteEntry
	seen := make(map[state.Region]bool)
	for i := range all {
		remote := all[(start+i)%len(all)]
		if !seen[remote.region] {
			seen[remote.region] = true
			chosen = append(chosen, remote)
		}
	}
	return chosen
}
