package entry

import (
	"context"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
	"github.com/lagoonvalve/lagoonvalve/internal/verdict"
)

// Guards against a second run of work that may not be repeated, and against a
// claim being given up whose work may have run.
func TestBrokenAttemptOfClaimedRequestIsNotRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		agents := agentsOf(answers{"a": broken, "b": served("second")})
		b := newGatewayBench(t, agents, "a")
		_, err := b.send(t.Context(), false, nil)
		g.Expect(verdict.Of(err).Execution).To(Equal(verdict.MayHaveRun))
		g.Expect(agents.calls).To(HaveLen(1))
		g.Expect(b.claims.outcomes).To(BeEmpty())
	})
}

// Guards against a refusal of a resent request that calls its work not run
// although an earlier sending may have run, and against a refusal that the
// question makes late.
func TestRefusalOfResentRequestAsksOwner(t *testing.T) {
	for _, neverRan := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			b := newGatewayBench(t, agentsOf(nil), "a")
			b.claims.neverRan = neverRan
			b.inFlight.close()
			_, err := b.send(t.Context(), false, nil)
			want := verdict.MayHaveRun
			if neverRan {
				want = verdict.NotRun
			}
			g.Expect(verdict.Of(err).Execution).To(Equal(want))
			g.Expect(b.claims.lookupBy).To(Equal(time.Now().Add(30*time.Second-25*time.Millisecond)), "half of the reserve")
		})
	}
}

// Guards against "not run" for a request whose own attempts were refused by full
// replicas, while a resend of it got a claim and ran in between.
func TestRefusalAfterVoidedClaimAsksOwner(t *testing.T) {
	for _, neverRan := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			b := newGatewayBench(t, agentsOf(answers{"a": refused(verdict.ReasonQueueFull)}), "a")
			b.claims.neverRan = neverRan
			_, err := b.send(t.Context(), false, func(r *request) { r.deadline = time.Now().Add(10 * time.Second) })
			want := verdict.MayHaveRun
			if neverRan {
				want = verdict.NotRun
			}
			g.Expect(b.claims.outcomes).NotTo(BeEmpty())
			g.Expect(verdict.Of(err).Execution).To(Equal(want))
		})
	}
}

// Guards against dispatch without a claim while its owner is away, and against
// calling such a request not run.
func TestNoDispatchWithoutClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		agents := agentsOf(answers{"a": served("ran")})
		b := newGatewayBench(t, agents, "a")
		b.claims.err = rpc.ErrUnreachable
		_, err := b.send(t.Context(), false, nil)
		g.Expect(verdict.Of(err).Execution).To(Equal(verdict.MayHaveRun))
		g.Expect(agents.calls).To(BeEmpty())
		g.Expect(b.claims.asked).To(Equal(1))
	})
}

// Guards against calls refused because the agent was restarted after the entry
// learned of its registration.
func TestClaimNamesRestartedAgent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		agents := agentsOf(answers{"b": served("ran")})
		b := newGatewayBench(t, agents, "a")
		agents.answer["a"] = func(r *http.Request) (*http.Response, error) {
			services := b.view().services
			replicas := slices.Clone(services["tickets"])
			replicas[0].Agent, replicas[0].TrafficAddr = 7, "b"
			services["tickets"] = replicas
			return refused(verdict.ReasonNotReady)(r)
		}
		got, err := b.send(t.Context(), false, nil)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(got.Body.String()).To(Equal("ran"))
		g.Expect(b.claims.outcomes).To(HaveLen(2), "the first claim is void, the second done")
	})
}

// Guards against a resend that runs the work again or gets another answer
// than the first.
func TestKeptAnswerIsReplayed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		agents := agentsOf(answers{"a": served("ran")})
		b := newGatewayBench(t, agents, "a")
		b.claims.result = &rpc.ClaimResult{
			Refusal: &verdict.Verdict{Execution: verdict.Ran, Reason: verdict.ReasonClaimRan},
			Done:    &state.ClaimDone{Status: http.StatusCreated, Answer: []byte("first"), AnswerKept: true},
		}
		got, err := b.send(t.Context(), false, nil)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(got.Code).To(Equal(http.StatusCreated))
		g.Expect(got.Body.String()).To(Equal("first"))
		g.Expect(agents.calls).To(BeEmpty())
	})
}

// Guards against the verdict "ran" for a resend whose first sending the upstream answered with
// a failure: it may have refused the work.
func TestFailureIsNotReplayedAsRan(t *testing.T) {
	for _, kept := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			b := newGatewayBench(t, agentsOf(answers{"a": served("ran")}), "a")
			b.claims.result = &rpc.ClaimResult{
				Refusal: &verdict.Verdict{Execution: verdict.Ran, Reason: verdict.ReasonClaimRan},
				Done:    &state.ClaimDone{Status: http.StatusServiceUnavailable, Answer: []byte("refused"), AnswerKept: kept},
			}
			_, err := b.send(t.Context(), false, nil)
			got := verdict.Of(err)
			g.Expect(got).NotTo(BeNil())
			g.Expect([]any{got.Execution, got.Reason}).To(Equal([]any{verdict.MayHaveRun, verdict.ReasonUpstreamFailed}))
			g.Expect(b.agents.calls).To(BeEmpty())
		})
	}
}

// Guards against "not run" of a resend from an entry that has just started, or
// whose configuration no longer has the service, while an earlier sending ran.
func TestEarlyRefusalOfKeyedRequestProvesNothing(t *testing.T) {
	g := NewWithT(t)
	b := newGatewayBench(t, agentsOf(nil), "a")
	key := testKey
	call := func(attrs attributes) *verdict.Verdict {
		r := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/v1/services/tickets/issue", http.NoBody)
		ctx := context.WithValue(t.Context(), exchangeKey{}, &exchange{request: r, answer: &answerWriter{ResponseWriter: httptest.NewRecorder()}})
		return verdict.Of(b.serveCall(ctx, attrs, "tickets", "issue", http.NoBody))
	}
	for _, want := range []verdict.Reason{verdict.ReasonUnknownService, verdict.ReasonNotReady} {
		b.view().ready = want == verdict.ReasonUnknownService
		g.Expect(call(attributes{}).Execution).To(Equal(verdict.NotRun))
		keyed := call(attributes{key: &key})
		g.Expect(keyed.Reason).To(Equal(want))
		g.Expect(keyed.Execution).To(Equal(verdict.MayHaveRun))
	}
}
