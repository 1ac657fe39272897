package agent

import (
	"context"
	"math"
	"slices"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

const (
	heartbeatInterval = 5 * time.Second
	// heartbeatPause is the shortest time between heartbeats.
	heartbeatPause   = time.Second
	heartbeatTimeout = 2 * time.Second
	// movedPause is the shortest time between heartbeats to two watchers.
	movedPause = 100 * time.Millisecond
)

// heart sends the heartbeats.
type heart struct {
	busy     bool
	sentAt   time.Time
	watcher  string
	sequence uint64
	// acked is the sequence that the watcher has with its replicas.
	acked    uint64
	state    rpc.AgentState
	token    state.FencingToken
	slowdown float64
	replicas []state.Replica
}

// slowdownStep rounds a slowdown down to a power of two, so that a heartbeat
// follows large changes only. Less than twice as slow as usual counts as none.
func slowdownStep(factor float64) float64 {
	if factor < 2 {
		return 0
	}
	return math.Exp2(math.Floor(math.Log2(factor)))
}

// beat sends a heartbeat if one is due.
func (c *control) beat(now time.Time) {
	h := &c.heart
	c.noteChanges()
	due := now.Sub(h.sentAt) >= heartbeatInterval
	changed := h.acked != h.sequence && now.Sub(h.sentAt) >= heartbeatPause
	addr, ok := c.agent.deps.Watcher()
	// A new watcher knows nothing of this agent until its first heartbeat.
	moved := addr != h.watcher && now.Sub(h.sentAt) >= movedPause
	if !ok || h.busy || !due && !changed && !moved {
		return
	}
	if addr != h.watcher {
		h.watcher, h.acked = addr, 0
	}
	h.busy, h.sentAt = true, now
	beat := rpc.Heartbeat{Agent: h.token, Sequence: h.sequence}
	if h.acked != h.sequence || h.token == state.NoOffset {
		beat = c.fullHeartbeat()
	}
	go func() {
		ctx, cancel := context.WithTimeout(c.ctx, heartbeatTimeout)
		defer cancel()
		var result rpc.HeartbeatResult
		err := c.agent.deps.Caller.Call(ctx, addr, rpc.MethodHeartbeat, beat, &result)
		c.post(func() { c.beaten(addr, beat, result, err) })
	}()
}

func (c *control) noteChanges() {
	h := &c.heart
	replicas := c.offered()
	slowdown := slowdownStep(c.agent.dispatcher.pace.factor())
	same := h.state == c.phase && h.slowdown == slowdown && h.token == c.registration.token &&
		slices.EqualFunc(h.replicas, replicas, sameReplica)
	if same {
		return
	}
	h.sequence++
	h.state, h.token, h.replicas = c.phase, c.registration.token, replicas
	h.slowdown = slowdown
}

func sameReplica(x, y state.Replica) bool {
	return x.ReplicaKey == y.ReplicaKey && x.State == y.State && slices.Equal(x.Adapters, y.Adapters)
}

func (c *control) fullHeartbeat() rpc.Heartbeat {
	return rpc.Heartbeat{
		Agent:       c.registration.token,
		Sequence:    c.heart.sequence,
		Full:        true,
		Upstream:    c.agent.cfg.Upstream.Name,
		Incarnation: c.agent.process.Incarnation,
		State:       c.phase,
		Queue:       int(c.agent.dispatcher.queued.Load()),
		Running:     int(c.agent.dispatcher.running.Load()),
		Slowdown:    c.heart.slowdown,
		Replicas:    c.heart.replicas,
	}
}

func (c *control) beaten(addr string, beat rpc.Heartbeat, result rpc.HeartbeatResult, err error) {
	h := &c.heart
	h.busy = false
	if err != nil {
		c.agent.deps.Counters.Add("agent_heartbeat_failures_total", 1)
		// The entry that is asked for the part is the watcher.
		c.askAgain()
		return
	}
	if addr == h.watcher && beat.Full {
		h.acked = beat.Sequence
	}
	if result.SendFull {
		h.acked = 0
	}
	if result.Leaving {
		c.agent.leave(leaveHost)
	}
}
