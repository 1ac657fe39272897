package agent

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/google/uuid"

	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

const (
	// ownWait is how long an entry may hold an answer while the place of an own intent is known that the
	// part does not show: a void one changes nothing in the part.
	ownWait = time.Second
	// appendRetry is the pause after a failed append.
	appendRetry = time.Second
	// heldRetry is the pause after a registration without effect.
	heldRetry    = 10 * time.Second
	minReadRetry = 100 * time.Millisecond
	maxReadRetry = 5 * time.Second
)

// registration is the agent's own registration.
type registration struct {
	record state.Record
	busy   bool
	stored bool
	// offset is the place of the record once it is stored.
	offset state.Offset
	retry  time.Time
	known  bool
	token  state.FencingToken
}

// follow asks entries for the upstream's part of the log and applies it on the
// control goroutine until the agent stops. Outages are retried.
func (c *control) follow() {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval, retry.MaxInterval = minReadRetry, maxReadRetry
	for c.ctx.Err() == nil {
		ctx, cancel := context.WithCancel(c.ctx)
		var params rpc.PartParams
		if c.ask(c.ctx, func() { params, c.endPoll = c.partParams(), cancel }) != nil {
			cancel()
			return
		}
		result, err := c.agent.deps.Parts.Part(ctx, params)
		interrupted := ctx.Err() != nil
		cancel()
		if err != nil && interrupted {
			continue
		}
		taken := false
		if err == nil && c.ask(c.ctx, func() { taken = c.takePart(result) }) != nil {
			return
		}
		if !taken {
			c.agent.deps.Counters.Add("agent_part_failures_total", 1)
			c.pause(retry.NextBackOff())
			continue
		}
		retry.Reset()
		c.pause(tickInterval) // bounds the questions while much changes
	}
}

func (c *control) pause(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-c.ctx.Done():
	}
}

// askAgain ends the wait for a change, so that the next question goes to the
// entry that is preferred now and carries the present parameters.
func (c *control) askAgain() {
	if c.endPoll != nil {
		c.endPoll()
	}
}

func (c *control) partParams() rpc.PartParams {
	params := rpc.PartParams{
		PartQuery: state.PartQuery{
			Upstream: c.agent.cfg.Upstream.Name, Host: c.agent.cfg.Upstream.Host, ExtraReplicas: c.also,
		},
		AtLeast: c.floor,
		Known:   c.parts.sum,
	}
	for _, waiting := range c.appended {
		if waiting.offset != state.NoOffset {
			params.Wait = state.Duration(ownWait)
		}
	}
	return params
}

// takePart applies an entry's answer. It refuses one that is before an answer
// already applied or before a record of this agent whose place is known.
func (c *control) takePart(result rpc.PartResult) bool {
	other := result.Part != nil && result.Part.Upstream != c.agent.cfg.Upstream.Name
	missing := result.Part == nil && !c.parts.known
	if result.Lagging || other || missing || !result.Reaches(c.floor) {
		return false
	}
	c.floor = result.PartOffsets
	if result.Part != nil {
		c.parts.set(*result.Part, result.Sum)
	}
	part := &c.parts.part
	c.readRegistration(part)
	c.retryRegistration(part)
	c.readIntent(part)
	c.checkSuccessor(part)
	if c.account != nil {
		c.account.SetGrants(part.Grants)
	}
	if len(c.uncovered) > 0 {
		c.listingAt = time.Time{}
	}
	return true
}

// stored notes the place of an own record: no answer from before it counts
// from now on.
func (c *control) stored(offset state.Offset) {
	c.floor.Region = max(c.floor.Region, offset)
}

// readRegistration takes in the agent's registration once the part shows it. A
// repeated registration only raises the token.
func (c *control) readRegistration(part *state.UpstreamPart) {
	r := part.Registration
	own := r != nil && r.Incarnation == c.agent.process.Incarnation
	if !own || c.registration.known && r.Token <= c.registration.token {
		return
	}
	first := !c.registration.known
	c.registration.known, c.registration.token = true, r.Token
	// The agent writes no intent before it knows its token, so the one in
	// force at its first registration is a predecessor's.
	var left state.Intent
	if first {
		left = intentOf(part)
	}
	if c.account != nil {
		c.account.Register(r.Token, left)
	}
	c.agent.deps.Logger.Info("registered", "upstream", c.agent.cfg.Upstream.Name, "agent", r.Token)
}

// retryRegistration registers again if the tables are past the record and do
// not show it. It has no effect while an agent of an upstream of the same name
// holds grants on another host.
func (c *control) retryRegistration(part *state.UpstreamPart) {
	r := &c.registration
	if r.known || !r.stored || part.Registration != nil && part.Registration.Token >= r.offset {
		return
	}
	pause := appendRetry
	if part.Registration != nil {
		pause = heldRetry
		c.agent.deps.Logger.Warn("not registered; grants of the upstream are held on another host",
			"upstream", c.agent.cfg.Upstream.Name, "host", part.Registration.Host)
	}
	r.record, r.stored = state.Record{}, false
	r.retry = time.Now().Add(pause)
}

func intentOf(part *state.UpstreamPart) state.Intent {
	if part.Intent == nil {
		return state.Intent{Agent: state.NoOffset}
	}
	return state.Intent{Agent: part.Intent.Agent, Models: part.Intent.Models, Orders: part.Intent.Orders}
}

// readIntent settles the agent's own intents by the one that is in force.
func (c *control) readIntent(part *state.UpstreamPart) {
	if c.account == nil || !c.registration.known {
		return
	}
	inForce := intentOf(part)
	own := part.Intent != nil && inForce.Agent == c.registration.token
	found := own
	for id, waiting := range c.appended {
		switch {
		case own && part.Intent.Record == id:
			c.account.IntentRead(waiting.sequence)
			found = false
		case waiting.offset != state.NoOffset && c.floor.Region >= waiting.offset:
			// The tables are past the record and it is not in force.
			c.account.IntentFailed(waiting.sequence)
		default:
			continue
		}
		delete(c.appended, id)
	}
	if found {
		c.account.IntentFound(inForce)
	}
}

// checkSuccessor stops all orders once a later agent is registered.
func (c *control) checkSuccessor(part *state.UpstreamPart) {
	r := part.Registration
	if r == nil || !c.registration.known || r.Token <= c.registration.token {
		return
	}
	if r.Incarnation == c.agent.process.Incarnation {
		return
	}
	if c.account != nil {
		c.account.Supersede()
	}
	c.agent.leave(leaveSuperseded)
}

// register appends the agent's registration until it is stored.
func (c *control) register(now time.Time) {
	r := &c.registration
	if r.known || r.stored || r.busy || now.Before(r.retry) || c.leaving {
		return
	}
	if r.record.ID == "" {
		record, err := state.NewRecord(uuid.NewString(), c.agent.process, state.KindAgentStart, state.AgentStart{
			Upstream:    c.agent.cfg.Upstream.Name,
			Incarnation: c.agent.process.Incarnation,
			Fencing:     c.agent.cfg.Upstream.Fencing,
			Host:        c.agent.cfg.Upstream.Host,
		})
		if err != nil {
			c.agent.deps.Logger.Error("encoding the registration failed", "error", err)
			return
		}
		r.record = record
	}
	r.busy = true
	c.append(r.record, func(offset state.Offset, err error) {
		r.busy = false
		r.stored, r.offset = err == nil, offset
		if r.stored {
			return
		}
		r.retry = time.Now().Add(appendRetry)
		c.agent.deps.Counters.Add("agent_append_failures_total", 1)
	})
}
