package agent

import (
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"github.com/lagoonvalve/lagoonvalve/internal/platform"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

const (
	readLimit = 512
	readWait  = 2 * time.Second
	// appendRetry is the pause after a failed append.
	appendRetry  = time.Second
	minReadRetry = 100 * time.Millisecond
	maxReadRetry = 5 * time.Second
)

// registration is the agent's own registration.
type registration struct {
	record state.Record
	busy   bool
	stored bool
	retry  time.Time
	known  bool
	token  state.FencingToken
	// caughtUp says that the region's decisions were read to their end once.
	caughtUp bool
}

// follow reads a stream and applies it on the control goroutine until the
// agent stops. Outages of the log are retried.
func (c *control) follow(stream platform.Stream) {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval, retry.MaxInterval = minReadRetry, maxReadRetry
	var from state.Offset
	for c.ctx.Err() == nil {
		page, err := c.agent.deps.Log.Read(c.ctx, stream, from, readLimit, readWait)
		if errors.Is(err, platform.ErrTruncated) && page.Oldest > from {
			from = page.Oldest
			continue
		}
		if err != nil {
			c.agent.deps.Counters.Add("agent_log_read_failures_total", 1)
			c.pause(retry.NextBackOff())
			continue
		}
		retry.Reset()
		from = max(from, page.Next)
		if c.ask(c.ctx, func() { c.apply(stream, page) }) != nil {
			return
		}
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

// apply applies a page of a stream.
func (c *control) apply(stream platform.Stream, page platform.Page) {
	for _, p := range page.Records {
		var left state.Intent
		own := p.Writer == c.agent.process
		if own && p.Kind == state.KindAgentStart {
			left = c.tables.Intent(c.agent.cfg.Upstream.Name)
		}
		if err := c.tables.Apply(stream, p); err != nil {
			c.agent.deps.Counters.Add("agent_invalid_records_total", 1)
			continue
		}
		if own {
			c.ownRecord(p, left)
		}
	}
	if stream != c.agent.region {
		c.agent.weights.refresh(c.tables)
		return
	}
	c.registration.caughtUp = c.registration.caughtUp || page.Next >= page.End
	c.checkSuccessor()
	if c.account != nil && c.registration.caughtUp && c.tables.Complete() {
		c.account.SetGrants(c.tables.Grants(c.agent.cfg.Upstream.Name))
	}
}

// ownRecord takes in a record that this agent wrote.
func (c *control) ownRecord(p state.Positioned, left state.Intent) {
	switch p.Kind {
	case state.KindAgentStart:
		c.registered(p.Offset, left)
	case state.KindIntent:
		if c.account != nil {
			c.ownIntent(p.ID)
		}
	}
}

func (c *control) ownIntent(id string) {
	inForce := c.tables.Intent(c.agent.cfg.Upstream.Name)
	sequence, waiting := c.appended[id]
	delete(c.appended, id)
	switch {
	case !waiting:
		c.account.IntentFound(inForce)
	case inForce.Agent == c.registration.token:
		c.account.IntentRead(sequence)
	default:
		c.account.IntentFailed(sequence)
	}
}

// registered takes in the agent's registration at its place in the log. A
// repeated registration only raises the token.
func (c *control) registered(token state.FencingToken, left state.Intent) {
	first := !c.registration.known
	c.registration.known, c.registration.token = true, token
	if !first {
		left = state.Intent{}
	}
	if c.account != nil {
		c.account.Register(token, left)
	}
	c.agent.deps.Logger.Info("registered", "upstream", c.agent.cfg.Upstream.Name, "agent", token)
}

// checkSuccessor stops all orders once a later agent is registered.
func (c *control) checkSuccessor() {
	token, start, ok := c.tables.Registration(c.agent.cfg.Upstream.Name)
	if !ok || !c.registration.known || token <= c.registration.token {
		return
	}
	if start.Incarnation == c.agent.process.Incarnation {
		return
	}
	if c.account != nil {
		c.account.Supersede()
	}
	c.agent.leave(leaveSuperseded)
}

// register appends the agent's registration until it is read in the log.
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
		})
		if err != nil {
			c.agent.deps.Logger.Error("encoding the registration failed", "error", err)
			return
		}
		r.record = record
	}
	r.busy = true
	c.append(r.record, func(err error) {
		r.busy = false
		r.stored = err == nil
		if r.stored {
			return
		}
		r.retry = time.Now().Add(appendRetry)
		c.agent.deps.Counters.Add("agent_append_failures_total", 1)
	})
}
