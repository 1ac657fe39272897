package entry

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
	"github.com/lagoonvalve/lagoonvalve/internal/verdict"
)

const (
	// claimWait bounds the wait for a claim, so that a log outage is told to
	// the caller soon.
	claimWait = 2 * time.Second
	// headerReplayed marks the kept answer of an earlier run.
	headerReplayed = "Lagoon-Replayed"
)

// claimClient talks to the owners of the claim shards.
type claimClient interface {
	claim(ctx context.Context, params rpc.ClaimParams) (rpc.ClaimResult, error)
	// outcome tells the owner how a claim ended. It does not wait; a lost
	// outcome costs a later resend a question to the agent.
	outcome(params rpc.ClaimOutcomeParams)
	// unseen reports whether it is known by a time that a key was never
	// claimed.
	unseen(caller state.CallerName, key string, by time.Time) bool
	self() state.ProcessID
}

// aboutWork makes a refusal of a request with an idempotency key say what is
// known of the work: an earlier sending of the request may have run although
// this one was refused before its claim.
func (e *execution) aboutWork(v *verdict.Verdict) *verdict.Verdict {
	if e.request.idempotent || e.consulted || v.Execution != verdict.NotRun {
		return v
	}
	// Half of the time that is reserved for a refusal's way to the caller may
	// be used, so that the lookup does not make the refusal late.
	by := e.request.deadline.Add(max(e.request.due.Sub(e.request.deadline), 0) / 2)
	if e.claims.unseen(e.request.caller.Name, e.request.key, by) {
		return v
	}
	return v.WithExecution(verdict.MayHaveRun)
}

// openClaim gets the right to send the request to replica once. A verdict
// means that there is none: a refusal, or the outcome of an earlier run.
func (e *execution) openClaim(ctx context.Context, replica rpc.ReplicaAt) *verdict.Verdict {
	ctx, cancel := context.WithTimeout(ctx, claimWait)
	defer cancel()
	e.claim = ""
	e.kept = keptBody{}
	result, err := e.claims.claim(ctx, rpc.ClaimParams{
		Claim: state.Claim{
			Caller:           e.request.caller.Name,
			Key:              e.request.key,
			Fingerprint:      e.request.fingerprint,
			Entry:            e.claims.self(),
			Upstream:         replica.Upstream,
			Agent:            replica.Agent,
			AgentIncarnation: replica.AgentIncarnation,
		},
		MaxWait: state.Duration(max(time.Until(e.request.deadline), time.Millisecond)),
	})
	e.consulted = err == nil
	switch {
	case err != nil:
		// This attempt sends nothing, but without the owner's answer an earlier
		// request with the same key may have run.
		return verdict.Unknown(verdict.ReasonClaimUnknown, "the owner of the claim did not answer").WithRetryAfter(time.Second)
	case result.Refusal != nil && result.Done != nil:
		return e.answerDone(result.Done, result.Refusal)
	case result.Refusal != nil:
		return result.Refusal
	case result.Granted == "":
		return verdict.Refuse(verdict.ReasonInternal, "the claim's owner gave no answer")
	}
	e.claim = result.Granted
	return nil
}

// answerDone answers a request whose first sending got a whole response: with that response
// if it is kept, and otherwise with refusal. A failure of the upstream is answered as it was
// the first time, with a verdict.
func (e *execution) answerDone(done *state.ClaimDone, refusal *verdict.Verdict) *verdict.Verdict {
	first := verdict.OfStatus(done.Status)
	switch {
	case first.Execution != verdict.Ran:
		return first
	case done.AnswerKept:
		return e.replay(done)
	default:
		return refusal
	}
}

// replay answers with the kept answer of an earlier run of the request.
func (e *execution) replay(done *state.ClaimDone) *verdict.Verdict {
	ran := &verdict.Verdict{Execution: verdict.Ran, Reason: verdict.ReasonOK}
	w := e.exchange.answer
	h := w.Header()
	if done.ContentType != "" {
		h.Set("Content-Type", done.ContentType)
	}
	h.Set(headerReplayed, "true")
	h.Set(headerRequestID, e.request.id)
	h.Set("Content-Length", strconv.Itoa(len(done.Answer)))
	ran.SetHeaders(h)
	w.override = done.Status
	if _, err := w.Write(done.Answer); err != nil {
		return &verdict.Verdict{Execution: verdict.Ran, Reason: verdict.ReasonCallerGone}
	}
	return ran
}

// closeClaim tells the claim's owner how the attempt ended. A claim whose work
// may have run stays open.
func (e *execution) closeClaim(v *verdict.Verdict, response *http.Response) {
	outcome := rpc.ClaimOutcomeParams{Caller: e.request.caller.Name, Key: e.request.key}
	switch {
	case v.Execution == verdict.Ran && response != nil:
		done := e.kept.done(e.claim, response)
		outcome.Done = &done
	case v.Execution == verdict.NotRun:
		outcome.Void = &state.ClaimVoid{Claim: e.claim, Witness: e.claims.self()}
		// A resend may get a claim of its own from now on.
		e.consulted = false
	default:
		return
	}
	e.claims.outcome(outcome)
}
