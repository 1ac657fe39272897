package claims

import (
	"time"

	"github.com/google/uuid"

	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
	"github.com/lagoonvalve/lagoonvalve/internal/verdict"
)

// MaxKeptAnswer is the longest answer that a claim's outcome keeps.
const MaxKeptAnswer = 4 * state.KiB

// Keep returns done without an answer that is too long to keep.
func Keep(done state.ClaimDone) state.ClaimDone {
	if state.Bytes(len(done.Answer)) > MaxKeptAnswer {
		done.Answer = nil
		done.AnswerKept = false
	}
	return done
}

type seen struct {
	state rpc.ClaimState
	// done is the outcome without its answer, or nil. Nothing in it is of the
	// upstream's size.
	done *state.ClaimDone
	// made is the time in the claim's id.
	made time.Time
}

// AgentTable is an agent's table of claims. It belongs to one incarnation and is
// bounded by the time window: an id older than the window is never started,
// so its entry can be forgotten. Answers are kept up to AnswerBytes, the newest
// first; their loss forgets no id.
type AgentTable struct {
	incarnation string
	settings    Settings
	claims      map[string]*seen
	answers     answers[string]
	// now is the latest time seen. A clock that is set back must not make
	// forgotten ids acceptable again.
	now    time.Time
	pruned time.Time
}

// NewAgentTable returns the table of one incarnation of an agent.
func NewAgentTable(incarnation string, settings Settings) *AgentTable {
	return &AgentTable{
		incarnation: incarnation, settings: settings,
		claims: map[string]*seen{}, answers: newAnswers[string](settings.AnswerBytes),
	}
}

// Len returns the number of claims in the table.
func (s *AgentTable) Len() int { return len(s.claims) }

func (s *AgentTable) advance(now time.Time) {
	if now.After(s.now) {
		s.now = now
	}
	// A pass over the table each hundredth of the window keeps the cost per
	// call small.
	if s.now.Sub(s.pruned) < s.settings.Window/100 {
		return
	}
	s.pruned = s.now
	for id, c := range s.claims {
		if c.state != rpc.ClaimRunning && s.expired(c.made) {
			delete(s.claims, id)
			s.answers.drop(id)
		}
	}
	s.answers.trim()
}

func (s *AgentTable) expired(made time.Time) bool { return s.now.Sub(made) > s.settings.Window }

// Start is called right before work of a claim is started. agent is the
// incarnation that the claim names. A non-nil verdict forbids the start.
func (s *AgentTable) Start(claim, agent string, now time.Time) *verdict.Verdict {
	s.advance(now)
	if agent != s.incarnation {
		// An earlier incarnation may have got this dispatch too.
		return verdict.Unknown(verdict.ReasonClaimUnknown, "the claim names an earlier run of the agent")
	}
	id, err := uuid.Parse(claim)
	if err != nil || id.Version() != 7 {
		// The form of an id never changes, so this one is never started.
		return verdict.Refuse(verdict.ReasonBadRequest, "the claim's id is not a UUIDv7")
	}
	if c, ok := s.claims[claim]; ok {
		return RedispatchVerdict(c.state)
	}
	made := keyTime(id)
	if s.expired(made) {
		// It may have been started and forgotten.
		return verdict.Unknown(verdict.ReasonKeyTooOld, "the claim is older than the window")
	}
	if made.After(s.now.Add(2 * s.settings.Skew)) {
		// The entry in the table makes the refusal final.
		s.claims[claim] = &seen{state: rpc.ClaimRefused, made: made}
		return verdict.Refuse(verdict.ReasonKeyInvalid, "the claim's time is ahead of now")
	}
	s.claims[claim] = &seen{state: rpc.ClaimRunning, made: made}
	return nil
}

// RedispatchVerdict is the answer to a further dispatch of a claim in a state.
func RedispatchVerdict(seen rpc.ClaimState) *verdict.Verdict {
	switch seen {
	case rpc.ClaimRunning:
		return verdict.Unknown(verdict.ReasonClaimInProgress, "the claim is in progress")
	case rpc.ClaimRefused:
		// The claim was refused before any start, and the entry keeps it
		// from being started until it is too old to be.
		return verdict.Refuse(verdict.ReasonConflict, "the claim was refused before")
	case rpc.ClaimRan:
		return &verdict.Verdict{Execution: verdict.Ran, Reason: verdict.ReasonClaimRan, Detail: "the claim ran before, and its answer is not kept"}
	default:
		return verdict.Unknown(verdict.ReasonClaimUnknown, "the outcome of the claim's run is not known")
	}
}

// RefuseUnstarted notes that work was refused before its start, for good. It
// reports whether that is so: only then may the refusal say "not run".
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
		return false // It may have been started and forgotten.
	}
	// Not in the table and inside the window: it was never started, and the
	// entry keeps it so.
	s.claims[claim] = &seen{state: rpc.ClaimRefused, made: keyTime(id)}
	return true
}

// End notes how started work ended: it ran, was refused for good before it
// ran, or may have run. The done is nil unless the work ran.
func (s *AgentTable) End(claim string, final rpc.ClaimState, done *state.ClaimDone, now time.Time) {
	s.advance(now)
	c, ok := s.claims[claim]
	if !ok || c.state != rpc.ClaimRunning {
		return
	}
	c.state = final
	if done != nil {
		kept := Keep(*done)
		if kept.AnswerKept {
			s.answers.add(claim, kept)
		}
		c.done = &state.ClaimDone{Claim: kept.Claim, Status: kept.Status}
	}
}

// result returns what is known of a claim in the table.
func (s *AgentTable) result(claim string, c *seen) rpc.ClaimStatusResult {
	if kept, ok := s.answers.byKey[claim]; ok {
		return rpc.ClaimStatusResult{State: c.state, Done: &kept}
	}
	return rpc.ClaimStatusResult{State: c.state, Done: c.done}
}

// Known returns what is known of a claim that was seen before.
func (s *AgentTable) Known(claim string, now time.Time) (rpc.ClaimStatusResult, bool) {
	s.advance(now)
	c, ok := s.claims[claim]
	if !ok {
		return rpc.ClaimStatusResult{}, false
	}
	return s.result(claim, c), true
}

// Status answers a question about a claim and refuses it from then on if it
// has not been seen.
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
