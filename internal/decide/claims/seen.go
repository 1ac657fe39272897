package claims

import (
	"time"

	"github.com/google/uuid"

	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
	"github.com/lagoonvalve/lagoonvalve/internal/verdict"
)

// MaxKeptAnswer is the size of the longest answer that is kept with a claim's
// outcome.
const MaxKeptAnswer = 4 * state.KiB

// DropLongAnswer returns done, without its answer if that exceeds MaxKeptAnswer.
func DropLongAnswer(done state.ClaimDone) state.ClaimDone {
	if state.Bytes(len(done.Answer)) > MaxKeptAnswer {
		done.Answer = nil
		done.AnswerKept = false
	}
	return done
}

// agentClaim is what an agent remembers of a claim.
type agentClaim struct {
	state rpc.ClaimState
	// done is the outcome without its answer, or nil. It holds no data whose
	// size the upstream determines.
	done *state.ClaimDone
	// idTime is the time in the claim's id.
	idTime time.Time
}

// AgentTable is the table of the claims that one incarnation of an agent has
// seen. The time window bounds it: a claim whose id is older than the window is
// never started, so its entry can be removed. Answers are bounded separately:
// the newest are kept, up to AnswerBytes, and dropping an answer does not
// remove its claim.
type AgentTable struct {
	incarnation string
	settings    Settings
	claims      map[string]*agentClaim
	answers     answerCache[string]
	// now is the latest time passed in. It never goes back, so that a clock
	// that is set back doesn't make removed ids acceptable again.
	now        time.Time
	lastPruned time.Time
}

// NewAgentTable returns an empty table for one incarnation of an agent.
func NewAgentTable(incarnation string, settings Settings) *AgentTable {
	return &AgentTable{
		incarnation: incarnation, settings: settings,
		claims: map[string]*agentClaim{}, answers: newAnswerCache[string](settings.AnswerBytes),
	}
}

// Len returns the number of claims in the table.
func (s *AgentTable) Len() int { return len(s.claims) }

// advance raises the table's time to now and removes expired claims.
func (s *AgentTable) advance(now time.Time) {
	if now.After(s.now) {
		s.now = now
	}
	// Scanning the table only once per hundredth of the window keeps the cost
	// per call small.
	if s.now.Sub(s.lastPruned) < s.settings.Window/100 {
		return
	}
	s.lastPruned = s.now
	for id, c := range s.claims {
		if c.state != rpc.ClaimRunning && s.expired(c.idTime) {
			delete(s.claims, id)
			s.answers.drop(id)
		}
	}
	s.answers.trim()
}

func (s *AgentTable) expired(made time.Time) bool { return s.now.Sub(made) > s.settings.Window }

// Start is called right before the work of a claim is started. agent is the
// agent's incarnation that the claim names. If the verdict is not nil, the work
// must not be started.
func (s *AgentTable) Start(claim, agent string, now time.Time) *verdict.Verdict {
	s.advance(now)
	if agent != s.incarnation {
		// The incarnation that the claim names may have received it too.
		return verdict.Unknown(verdict.ReasonClaimUnknown, "the claim names an earlier incarnation of the agent")
	}
	id, err := uuid.Parse(claim)
	if err != nil || id.Version() != 7 {
		// The id is refused by its form each time, so it is never started.
		return verdict.Refuse(verdict.ReasonBadRequest, "the claim's id is not a UUIDv7")
	}
	if c, ok := s.claims[claim]; ok {
		return RedispatchVerdict(c.state)
	}
	made := keyTime(id)
	if s.expired(made) {
		// The claim may have been started and its entry removed.
		return verdict.Unknown(verdict.ReasonKeyTooOld, "the claim is older than the time for which the agent remembers claims")
	}
	if made.After(s.now.Add(2 * s.settings.Skew)) {
		// The entry makes the refusal final.
		s.claims[claim] = &agentClaim{state: rpc.ClaimRefused, idTime: made}
		return verdict.Refuse(verdict.ReasonKeyInvalid, "the time in the claim's id is too far ahead of the current time")
	}
	s.claims[claim] = &agentClaim{state: rpc.ClaimRunning, idTime: made}
	return nil
}

// RedispatchVerdict returns the verdict on another dispatch of a claim that is
// in the given state.
func RedispatchVerdict(seen rpc.ClaimState) *verdict.Verdict {
	switch seen {
	case rpc.ClaimRunning:
		return verdict.Unknown(verdict.ReasonClaimInProgress, "the claim is in progress")
	case rpc.ClaimRefused:
		// The claim was refused before it was started. Its entry prevents a
		// start until the claim is too old to be started.
		return verdict.Refuse(verdict.ReasonConflict, "the claim was already refused")
	case rpc.ClaimRan:
		return &verdict.Verdict{Execution: verdict.Ran, Reason: verdict.ReasonClaimRan, Detail: "the claim already ran, and its answer is not kept"}
	default:
		return verdict.Unknown(verdict.ReasonClaimUnknown, "the outcome of the claim's run is not known")
	}
}

// RefuseUnstarted permanently refuses a claim whose work was refused before its
// start. It reports whether the claim was never started and never will be; only
// then may the refusal say "not run".
func (s *AgentTable) RefuseUnstarted(claim string, now time.Time) bool {
	s.advance(now)
	id, err := uuid.Parse(claim)
	if err != nil || id.Version() != 7 {
		return true // Start never accepts it.
	}
	if c, ok := s.claims[claim]; ok {
		return c.state == rpc.ClaimRefused
	}
	if s.expired(keyTime(id)) {
		return false // It may have been started and its entry removed.
	}
	// A claim inside the window without an entry was never started, and the new
	// entry prevents a later start.
	s.claims[claim] = &agentClaim{state: rpc.ClaimRefused, idTime: keyTime(id)}
	return true
}

// End records how started work ended: it ran, it was permanently refused before it
// ran, or it may have run. done is nil unless the work ran.
func (s *AgentTable) End(claim string, final rpc.ClaimState, done *state.ClaimDone, now time.Time) {
	s.advance(now)
	c, ok := s.claims[claim]
	if !ok || c.state != rpc.ClaimRunning {
		return
	}
	c.state = final
	if done != nil {
		kept := DropLongAnswer(*done)
		if kept.AnswerKept {
			s.answers.add(claim, kept)
		}
		c.done = &state.ClaimDone{Claim: kept.Claim, Status: kept.Status}
	}
}

// result returns the state and outcome of a claim in the table.
func (s *AgentTable) result(claim string, c *agentClaim) rpc.ClaimStatusResult {
	if kept, ok := s.answers.byKey[claim]; ok {
		return rpc.ClaimStatusResult{State: c.state, Done: &kept}
	}
	return rpc.ClaimStatusResult{State: c.state, Done: c.done}
}

// Known returns the state and outcome of a claim, if it is in the table.
func (s *AgentTable) Known(claim string, now time.Time) (rpc.ClaimStatusResult, bool) {
	s.advance(now)
	c, ok := s.claims[claim]
	if !ok {
		return rpc.ClaimStatusResult{}, false
	}
	return s.result(claim, c), true
}

// Status answers an owner's question about a claim. A claim that was never started
// is refused from then on, so that the owner can void it.
func (s *AgentTable) Status(p rpc.ClaimStatusParams, now time.Time) rpc.ClaimStatusResult {
	if p.AgentIncarnation != s.incarnation {
		return rpc.ClaimStatusResult{State: rpc.ClaimUnknown}
	}
	if s.RefuseUnstarted(p.Claim, now) {
		return rpc.ClaimStatusResult{State: rpc.ClaimRefused}
	}
	if c, ok := s.claims[p.Claim]; ok {
		return s.result(p.Claim, c)
	}
	return rpc.ClaimStatusResult{State: rpc.ClaimUnknown}
}
