package gateway

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/decide/fairness"
	"github.com/lagoonvalve/lagoonvalve/internal/fleet"
	"github.com/lagoonvalve/lagoonvalve/internal/forward"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
	"github.com/lagoonvalve/lagoonvalve/internal/verdict"
)

// fairShares is what teams have used lately at all upstreams, as seen by this gateway. Its
// methods may be called from any goroutine.
type fairShares struct {
	cfg fairness.Config

	mu     sync.Mutex
	shares *fairness.Shares
	// waits are those at all upstreams of a service.
	waits map[state.ServiceName]*fairness.Waits
}

func newFairShares(cfg fairness.Config) *fairShares {
	return &fairShares{cfg: cfg, shares: fairness.NewShares(cfg), waits: make(map[state.ServiceName]*fairness.Waits)}
}

// waitsOf returns the waits at a service. The caller holds mu.
func (f *fairShares) waitsOf(service state.ServiceName) *fairness.Waits {
	w, ok := f.waits[service]
	if !ok {
		w = new(fairness.Waits)
		f.waits[service] = w
	}
	return w
}

// rankedAttempt is the rank of one attempt.
type rankedAttempt struct {
	// priority is the engine priority, and reason why the attempt has it.
	priority int
	reason   fairness.Reason
	// policy is that by which the attempt was ranked; nil if the manifest has no order
	// between teams. at is when the attempt began.
	policy *fairness.Policy
	at     time.Time
}

// rankAttempt ranks an attempt that is about to be sent, and counts its cost as used by its
// team. Without an order between teams, the engine gets the priority of the manifest.
func (x *exchange) rankAttempt(m *member, now time.Time) {
	g := x.gateway
	policy := g.view.Load().fairness
	x.ranked = rankedAttempt{priority: x.priority, policy: policy, at: now}
	if policy == nil {
		return
	}
	load := fairness.Load{
		Running: int(m.stats.running.Load()), Slots: m.upstream.Slots, Gateways: int(g.gatewayCount.Load()),
		PendingPrefill: max(m.stats.pendingPrefill(now)-x.prefillWork(), 0),
	}
	team := x.teamName()
	waits := m.stats.currentWaits()
	load.Waits = &waits
	r := fairness.Request{Team: team, Service: x.service, Priority: x.priority, TimeLeft: x.deadline.Sub(now), Work: x.prefillWork()}
	g.fairShares.mu.Lock()
	defer g.fairShares.mu.Unlock()
	load.ServiceWaits = g.fairShares.waitsOf(x.service)
	rank := g.fairShares.shares.Rank(policy, r, &load, now)
	g.fairShares.shares.Use(policy, team, x.fairCost(), now)
	x.ranked.priority, x.ranked.reason = rank.Engine, rank.Reason
}

// fairCost returns what an attempt counts for in the use of its team.
func (x *exchange) fairCost() fleet.Tokens {
	return fairness.CostOf(x.team, x.call.Prompt, x.call.MaxAnswer)
}

// recordAttempt records what the beginning of an answer, or its lack, says about the
// capacity of the upstream, and takes back the cost of an attempt without one.
func (x *exchange) recordAttempt(ctx context.Context, m *member, resp *forward.Response, err error) {
	if x.ranked.policy == nil {
		return
	}
	now := time.Now()
	if err != nil || resp.Info.NotRun {
		x.gateway.fairShares.unuse(x.ranked, x.teamName(), x.fairCost(), now)
	}
	switch {
	case err == nil && resp.Info.NotRun && resp.Status != http.StatusMisdirectedRequest:
		// An upstream that is full refuses at once.
		x.recordWait(m, max(now.Sub(x.ranked.at), x.gateway.fairShares.cfg.ScarceDelay), now)
	case err != nil && ctx.Err() != nil && verdict.Of(err).Execution != verdict.NotRun && x.route.Kind == fleet.Stream:
		// The caller has waited at least this long in vain.
		x.recordWait(m, now.Sub(x.ranked.at)-x.prefillWork(), now)
	}
}

// recordFirstToken records how long the current attempt has waited for its first event.
func (x *exchange) recordFirstToken(now time.Time) {
	if x.ranked.policy != nil && x.servedBy != nil {
		x.recordWait(x.servedBy, now.Sub(x.ranked.at)-x.prefillWork(), now)
	}
}

func (x *exchange) recordWait(m *member, wait time.Duration, now time.Time) {
	f := x.gateway.fairShares
	m.stats.recordWait(x.ranked.priority, wait, now, f.cfg.WaitMemory)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.waitsOf(x.service).Observe(x.ranked.priority, wait, now, f.cfg.WaitMemory)
}

// unuse takes back the cost of an attempt that was not answered.
func (f *fairShares) unuse(r rankedAttempt, team state.TeamName, cost fleet.Tokens, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.shares.Return(r.policy, team, cost, r.at, now)
}

func (s *upstreamStats) recordWait(engine int, wait time.Duration, now time.Time, memory time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waits.Observe(engine, wait, now, memory)
}

func (s *upstreamStats) currentWaits() fairness.Waits {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.waits
}
