package agent

import (
	"sync"

	"github.com/google/uuid"

	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
	"github.com/lagoonvalve/lagoonvalve/internal/verdict"
)

// maxClaimAnswer bounds the answers that are kept for a resend.
const maxClaimAnswer = 4 * state.KiB

// claims remembers the claims that this incarnation has seen. An entry is
// never forgotten: a forgotten claim could be started a second time or be
// reported as never run. At the bound no unseen claim is started any more, so
// that "unseen" still means "never ran and never will".
type claims struct {
	max int

	mu   sync.Mutex
	seen map[uuid.UUID]*claimEntry
}

type claimEntry struct {
	state rpc.ClaimState
	done  *state.ClaimDone
}

func newClaims(maxClaims int) *claims {
	return &claims{max: maxClaims, seen: make(map[uuid.UUID]*claimEntry)}
}

// begin marks a claim as running. If it was seen before, it returns what is
// known of it; if it can't be run, a refusal.
func (c *claims) begin(id uuid.UUID) (*claimEntry, *verdict.Verdict) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if entry, ok := c.seen[id]; ok {
		known := *entry
		return &known, nil
	}
	if len(c.seen) >= c.max {
		return nil, verdict.Refuse(verdict.ReasonNoCapacity, "the agent remembers as many claims as it can")
	}
	c.seen[id] = &claimEntry{state: rpc.ClaimRunning}
	return nil, nil
}

// end records how a running claim ended.
func (c *claims) end(id uuid.UUID, final rpc.ClaimState, done *state.ClaimDone) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if entry, ok := c.seen[id]; ok {
		entry.state, entry.done = final, done
	}
}

// refuse marks a claim as refused for good unless it was seen before.
func (c *claims) refuse(id uuid.UUID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.seen[id]; !ok && len(c.seen) < c.max {
		c.seen[id] = &claimEntry{state: rpc.ClaimRefused}
	}
}

// status reports a claim. One that was not seen is refused from now on.
func (c *claims) status(id uuid.UUID) rpc.ClaimStatusResult {
	c.refuse(id)
	c.mu.Lock()
	defer c.mu.Unlock()
	entry, ok := c.seen[id]
	if !ok {
		return rpc.ClaimStatusResult{State: rpc.ClaimRefused}
	}
	return rpc.ClaimStatusResult{State: entry.state, Done: entry.done}
}

// refusal is the answer to a request whose claim was seen before.
func (e *claimEntry) refusal() *verdict.Verdict {
	switch e.state {
	case rpc.ClaimRunning:
		return verdict.Unknown(verdict.ReasonClaimInProgress, "the claim is in progress")
	case rpc.ClaimRefused:
		return verdict.Refuse(verdict.ReasonConflict, "the claim was refused before")
	case rpc.ClaimRan:
		return &verdict.Verdict{Execution: verdict.Ran, Reason: verdict.ReasonClaimRan, Detail: "the claim ran before"}
	default:
		return verdict.Unknown(verdict.ReasonClaimUnknown, "the outcome of the claim's run is not known")
	}
}
