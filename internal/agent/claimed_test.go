package agent_test

import (
	"encoding/binary"
	"net/http"
	"testing"
	"time"

	"github.com/google/uuid"
	. "github.com/onsi/gomega"

	"github.com/lagoonvalve/lagoonvalve/internal/agent"
	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
	"github.com/lagoonvalve/lagoonvalve/internal/verdict"
)

// Guards against a claim that runs twice.
func TestClaimRunsOnce(t *testing.T) {
	inBubble(t, func(w *world) {
		w.awake()
		release := w.hold()
		claimed := []string{agent.HeaderClaim, claimID, agent.HeaderAgent, "1", "Idempotency-Key", "k"}
		first := w.background(claimed...)
		again := w.request(anyone, claimed...)
		w.Expect(again.reason()).To(Equal(string(verdict.ReasonClaimInProgress)))
		w.Expect(again.verdict()).To(Equal("may-have-run"))
		release()
		w.Expect((<-first).body).To(Equal("answer"))
		again = w.request(anyone, claimed...)
		w.Expect(again.body).To(Equal("answer"))
		w.Expect(again.verdict()).To(Equal("ran"))
		w.Expect(w.engine.served()).To(Equal(1))
		status := w.claimStatus(claimID, "first")
		w.Expect(status.State).To(Equal(rpc.ClaimRan))
		w.Expect(string(status.Done.Answer)).To(Equal("answer"))
	})
}

// Guards against the verdict "ran" for a claim that comes again, after its engine has answered
// the first with a failure: it may have refused the work.
func TestFailureOfAClaimStaysUnknown(t *testing.T) {
	inBubble(t, func(w *world) {
		w.awake()
		w.engine.handle(func(out http.ResponseWriter, _ *http.Request) {
			http.Error(out, "refused", http.StatusServiceUnavailable)
		})
		claimed := []string{agent.HeaderClaim, claimID, agent.HeaderAgent, "1"}
		for range 2 {
			got := w.request(anyone, claimed...)
			w.Expect([]string{got.verdict(), got.reason()}).To(Equal([]string{"may-have-run", string(verdict.ReasonUpstreamFailed)}))
		}
		w.Expect(w.engine.served()).To(Equal(1))
	})
}

// Guards against net/http sending a request with an Idempotency-Key a second
// time when a used connection breaks.
func TestBrokenConnectionIsNotReplayed(t *testing.T) {
	inBubble(t, func(w *world) {
		w.awake()
		w.Expect(w.request(anyone).body).To(Equal("answer"))
		w.engine.handle(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
		claimed := []string{agent.HeaderClaim, claimID, agent.HeaderAgent, "1", "Idempotency-Key", "k"}
		w.Expect(w.request(anyone, claimed...).verdict()).To(Equal("may-have-run"))
		w.Expect(w.engine.served()).To(Equal(2))
		w.Expect(w.claimStatus(claimID, "first").State).To(Equal(rpc.ClaimUnknown))
	})
}

// Guards against a claim that runs after the agent has said that it never
// will, or after a refusal.
func TestRefusedClaimNeverRuns(t *testing.T) {
	inBubble(t, func(w *world) {
		w.awake()
		w.Expect(w.claimStatus(claimID, "first").State).To(Equal(rpc.ClaimRefused))
		claimed := []string{agent.HeaderClaim, claimID, agent.HeaderAgent, "1"}
		w.Expect(w.request(anyone, claimed...).verdict()).To(Equal("not-run"))
		const other = "00dc6acf-ac00-7000-8000-000000000002"
		stale := w.request(anyone, agent.HeaderClaim, other, agent.HeaderAgent, "0")
		w.Expect(stale.verdict()).To(Equal("not-run"))
		w.Expect(w.request(anyone, agent.HeaderClaim, other, agent.HeaderAgent, "1").verdict()).To(Equal("not-run"))
		w.Expect(w.engine.served()).To(BeZero())
	})
}

// Guards against a restarted agent that calls an earlier incarnation's claim
// refused, or accepts one that names it.
func TestAgentRestarted(t *testing.T) {
	inBubble(t, func(w *world) {
		w.awake()
		w.stop()
		<-w.ended
		w.cfg.Incarnation = "second"
		w.start()
		w.Expect(w.claimStatus(claimID, "first").State).To(Equal(rpc.ClaimUnknown))
		got := w.request(anyone, agent.HeaderClaim, claimID, agent.HeaderAgent, "1")
		w.Expect(got.reason()).To(Equal(string(verdict.ReasonNotReady)), "a reason for which entries try again")
		w.Expect(w.request(anyone).body).To(Equal("answer"), "what is loaded is served")
	})
}

// Guards against an agent that refuses claims for good once it has seen as many
// as it can remember.
func TestAgentForgetsOldClaims(t *testing.T) {
	inBubble(t, func(w *world) {
		w.cfg.MaxClaims = 3
		w.awake()
		// Not uuid.NewV7, which never goes back to an earlier time, as the
		// bubble of the next run does.
		var id uuid.UUID
		claimed := func() string {
			binary.BigEndian.PutUint64(id[:8], uint64(time.Now().UnixMilli())<<16|0x7000)
			id[8] = 0x80
			id[15]++
			return w.request(anyone, agent.HeaderClaim, id.String(), agent.HeaderAgent, "1").verdict()
		}
		for range 3 {
			w.Expect(claimed()).To(Equal("ran"))
		}
		w.Expect(claimed()).To(Equal("not-run"))
		settle(40 * time.Minute)
		w.wake()
		w.Expect(claimed()).To(Equal("ran"))
	})
}
