package agent

import (
	"sync"
	"time"

	"github.com/google/uuid"

	decide "github.com/lagoonvalve/lagoonvalve/internal/decide/claims"
	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
	"github.com/lagoonvalve/lagoonvalve/internal/verdict"
)

// claims remembers the claims that this incarnation has seen, for the time in
// which one may still be started. At the bound no unseen claim is started any
// more until older ones are forgotten.
type claims struct {
	incarnation string
	max         int

	mu   sync.Mutex
	seen *decide.AgentTable
}

func newClaims(incarnation string, maxClaims int) *claims {
	return &claims{
		incarnation: incarnation, max: maxClaims,
		seen: decide.NewAgentTable(incarnation, decide.DefaultSettings()),
	}
}

// begin marks a claim as running. If it was seen before, it returns what is
// known of it; if it can't be run, a refusal.
func (c *claims) begin(id uuid.UUID) (*rpc.ClaimStatusResult, *verdict.Verdict) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if known, ok := c.seen.Known(id.String(), now); ok {
		return &known, nil
	}
	if c.seen.Len() >= c.max {
		return nil, verdict.Refuse(verdict.ReasonNoCapacity, "the agent remembers as many claims as it can")
	}
	return nil, c.seen.Start(id.String(), c.incarnation, now)
}

// end records how a running claim ended.
func (c *claims) end(id uuid.UUID, final rpc.ClaimState, done *state.ClaimDone) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seen.End(id.String(), final, done, time.Now())
}

// refuse marks a claim as refused for good unless it was seen before.
func (c *claims) refuse(id uuid.UUID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seen.RefuseUnstarted(id.String(), time.Now())
}

// status reports a claim. One that was not seen is refused from now on.
func (c *claims) status(p rpc.ClaimStatusParams) rpc.ClaimStatusResult {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.seen.Status(p, time.Now())
}
