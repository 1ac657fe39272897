package controller

import (
	"context"
	"sync"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/decide/quota"
	"github.com/lagoonvalve/lagoonvalve/internal/fleet"
	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// quotaState is what the controller has granted of the teams' quotas. Gateways are answered
// beside the goroutine of Run: a plan for thousands of engines takes longer than they wait.
type quotaState struct {
	mu sync.Mutex
	// ledger is nil while this process is not the controller.
	ledger *quota.Ledger
	// manifest is the one that the ledger has the teams of.
	manifest *fleet.Manifest
	// until is when the right to act ends, as of the latest step of Run; zero without it.
	until time.Time
	// began is set once this process has been the controller.
	began bool
}

// Quota grants tokens of teams' quotas.
func (c *Controller) Quota(_ context.Context, params rpc.QuotaParams) (rpc.QuotaResult, error) {
	q := &c.quotas
	f := c.fleet.Load()
	q.mu.Lock()
	defer q.mu.Unlock()
	now := c.opts.Now()
	if q.ledger == nil || !now.Before(q.until) || f == nil || f.Manifest == nil {
		return rpc.QuotaResult{}, errNotController()
	}
	if f.Manifest != q.manifest {
		q.manifest = f.Manifest
		q.ledger.SetTeams(f.Manifest.Teams(), now)
	}
	return q.ledger.Handle(params, now), nil
}

// QuotasOutstanding returns what this process has granted as the controller; nothing while
// it is not the controller.
func (c *Controller) QuotasOutstanding() []quota.Outstanding {
	q := &c.quotas
	q.mu.Lock()
	defer q.mu.Unlock()
	now := c.opts.Now()
	if q.ledger == nil || !now.Before(q.until) {
		return nil
	}
	return q.ledger.Outstanding(now)
}

// resetQuotas begins or ends the ledger of a term. The first lease record of all, at the
// beginning of its topic, has the token 1: no controller has granted anything before.
func (c *Controller) resetQuotas(token state.FencingToken, holds bool, now time.Time) {
	q := &c.quotas
	q.mu.Lock()
	defer q.mu.Unlock()
	first := token == 1 && !q.began
	q.ledger, q.manifest, q.until = nil, nil, time.Time{}
	if !holds {
		return
	}
	q.began, q.until = true, c.machine.ValidUntil()
	q.ledger = quota.NewLedger(c.opts.Quotas, token, first, now)
}

// renewQuotas records until when the ledger may grant. It grants nothing from now on unless
// this process may act in the ledger's term.
func (c *Controller) renewQuotas(now time.Time) {
	term, holds := c.machine.MayAct(now)
	q := &c.quotas
	q.mu.Lock()
	defer q.mu.Unlock()
	q.until = time.Time{}
	if holds && q.ledger != nil && q.ledger.Term() == term {
		q.until = c.machine.ValidUntil()
	}
}

// stopQuotas ends all grants, before this process gives up the lease.
func (c *Controller) stopQuotas() {
	c.quotas.mu.Lock()
	defer c.quotas.mu.Unlock()
	c.quotas.ledger, c.quotas.until = nil, time.Time{}
}
