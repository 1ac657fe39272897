package controller

import (
	"context"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/fleet"
	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
)

// ReportAnswers records what a gateway reports of the answers of upstreams.
func (c *Controller) ReportAnswers(_ context.Context, params rpc.AnswersParams) (rpc.AnswersResult, error) {
	if c.publisher.snapshot() == nil {
		return rpc.AnswersResult{}, errNotController()
	}
	c.post(func(c *Controller, now time.Time) {
		for _, o := range params.Answers {
			c.recordLimit(o, now)
			c.recordLeaving(o)
		}
	})
	return rpc.AnswersResult{}, nil
}

// recordLeaving records that an upstream has announced in an answer that it leaves. From
// then on it is treated as draining: its models are placed elsewhere before it ends.
func (c *Controller) recordLeaving(o rpc.AnswerObservation) {
	e, ok := c.registry[o.Upstream]
	if !o.Leaving || !ok || e.gone || e.upstream.Started.UnixMilli() != o.Started || c.isLeaving(e.upstream) {
		return
	}
	c.leaving[o.Upstream] = o.Started
	c.publisher.revision++
	e.revision = c.publisher.revision
	c.opts.Logger.Info("upstream leaves", "upstream", o.Upstream)
}

// isLeaving reports whether this start of an upstream has announced that it leaves.
func (c *Controller) isLeaving(u *fleet.Upstream) bool {
	started, ok := c.leaving[u.Name]
	return ok && started == u.Started.UnixMilli()
}

// dropAnswers drops the state from the answers of upstreams that have restarted, or that the
// registry has not listed for goneEntryTTL. The entry of one that runs may lapse for less.
func (c *Controller) dropAnswers() {
	for name, l := range c.limits {
		if e, ok := c.registry[name]; !ok || !e.gone && e.upstream.Started.UnixMilli() > l.started {
			delete(c.limits, name)
		}
	}
	for name := range c.leaving {
		if e, ok := c.registry[name]; !ok || !e.gone && !c.isLeaving(e.upstream) {
			delete(c.leaving, name)
		}
	}
}
