package entry

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/lagoonvalve/lagoonvalve/internal/ctxtime"
	"github.com/lagoonvalve/lagoonvalve/internal/decide/claims"
	"github.com/lagoonvalve/lagoonvalve/internal/platform"
	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
	"github.com/lagoonvalve/lagoonvalve/internal/standin"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
	"github.com/lagoonvalve/lagoonvalve/internal/verdict"
)

// Guards against work that runs twice, a "not run" of work that ran, and a
// resend after the end that does not get the kept answer.
func TestClaimedWorkRunsAtMostOnce(t *testing.T) {
	type move struct{ kind, entry, key, step int }
	moves := rapid.Custom(func(t *rapid.T) move {
		draw := func(most int, label string) int { return rapid.IntRange(0, most).Draw(t, label) }
		return move{kind: draw(15, "kind"), entry: draw(2, "entry"), key: draw(2, "key"), step: draw(4, "step")}
	})
	rapid.Check(t, func(rt *rapid.T) {
		schedule := rapid.SliceOfN(moves, 5, 25).Draw(rt, "schedule")
		synctest.Test(t, func(t *testing.T) {
			w := newClaimsWorld(t, 3)
			defer w.stop()
			start := time.Now()
			finished := make(map[string]bool)
			var sendings sync.WaitGroup
			for _, m := range schedule {
				e, key := w.entries[m.entry], keyAt(start, m.key)
				router := e.router // A restart replaces it.
				switch m.kind {
				case 0:
					w.log.SetFaults(standin.LogFaults{Outage: true})
				case 1:
					w.log.SetFaults(standin.LogFaults{DelayNext: 2, NextDelay: state.Duration(time.Duration(1+m.step) * time.Second)})
				case 2:
					w.log.SetFaults(standin.LogFaults{LoseNext: 1 + m.step})
				case 3:
					w.log.SetFaults(standin.LogFaults{Delay: state.Duration(time.Duration(m.step) * 300 * time.Millisecond)})
				case 4, 5:
					w.log.SetFaults(standin.LogFaults{})
				case 6:
					w.network.mu.Lock()
					w.network.loseAnswers = 1
					w.network.mu.Unlock()
				case 7:
					e.kill()
					e.start(w.names()[m.step%3]) // Its own idea of the owner.
				case 8:
					w.restartAgent()
				case 9:
					time.Sleep(time.Duration(1+m.step) * time.Second)
				default:
					sendings.Go(func() {
						v, _ := w.send(router, key, min(step(m.step), completes))
						w.mu.Lock()
						defer w.mu.Unlock()
						finished[key] = finished[key] || (v != nil && v.Reason == verdict.ReasonOK)
					})
					time.Sleep(time.Duration(m.key) * 40 * time.Millisecond)
				}
			}
			sendings.Wait()
			w.log.SetFaults(standin.LogFaults{})
			time.Sleep(30 * time.Second)
			for n := range 3 {
				w.checkSettled(keyAt(start, n), finished[keyAt(start, n)])
			}
		})
	})
}

// checkSettled sends a key once more to each entry, without faults.
func (w *claimsWorld) checkSettled(key string, finished bool) {
	for _, e := range w.entries {
		before, sameLife := w.ran[key], w.lives[key] == w.life
		v, text := w.send(e.router, key, completes)
		switch {
		case w.ran[key] > 1:
			w.t.Fatalf("%s ran %d times", key, w.ran[key])
		case before == 1 && v.Execution == verdict.NotRun:
			w.t.Fatalf("%s ran, but a resend was told %s", key, v)
		case before == 0 && v.Execution == verdict.Ran && w.ran[key] == 0:
			w.t.Fatalf("%s never ran, but a resend was told %s", key, v)
		case finished && sameLife && text != "answer to "+key:
			w.t.Fatalf("%s ended, but a resend got %q, %s", key, text, v)
		}
		time.Sleep(time.Second)
	}
}

// Guards against a refusal that comes after the caller's wait while the log is
// down, or that says "not run" although nothing shows that no earlier sending ran.
func TestLogOutageRefusesClaimInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := newClaimsWorld(t, 2)
		defer w.stop()
		first := keyAt(time.Now(), 0)
		second := keyOfShard(claims.ShardOf("c", first), "c", 1)
		_, _ = w.send(w.entries[0].router, first, completes)
		w.log.SetFaults(standin.LogFaults{Outage: true})
		for _, e := range w.entries {
			started := time.Now()
			v, _ := w.send(e.router, second, completes)
			g.Expect(v.Reason).To(Equal(verdict.ReasonLogUnavailable))
			g.Expect(v.Execution).To(Equal(verdict.MayHaveRun), v.Error())
			g.Expect(time.Since(started)).To(BeNumerically("<=", claimWait))
		}
	})
}

// Guards against "not run" from an owner that is cut off from the log, of a
// request that ran after it was claimed by another owner.
func TestGivenUpResendIsNotCalledNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := newClaimsWorld(t, 2)
		defer w.stop()
		first, second := w.entries[0], w.entries[1]
		key := w.keyOwnedBy(first, second, 0)
		_, _ = w.send(first.router, keyOfShard(claims.ShardOf("c", key), "c", 1000), completes)
		w.cut("entry-0", "log", true)
		w.cut("entry-0", "entry-1", true)
		v, _ := w.send(second.router, key, completes)
		g.Expect(v.Reason).To(Equal(verdict.ReasonOK), v.Error())
		v, _ = w.send(first.router, key, completes)
		g.Expect(v.Execution).To(Equal(verdict.MayHaveRun), v.Error())
		g.Expect(w.ran[key]).To(Equal(1))
	})
}

// Guards against claims that are refused for seconds after an outage of the log,
// because the delays of the failed reads or appends have grown. Outcomes that
// wait keep a shard's appends going through an outage; a claim starts them.
func TestClaimsResumeSoonAfterOutage(t *testing.T) {
	for n := range 30 {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			w := newClaimsWorld(t, 1)
			defer w.stop()
			router := w.entries[0].router
			key, outage := keyAt(time.Now(), n), time.Duration(n/3)*time.Second
			if n%3 == 2 {
				v, _ := w.send(router, key, completes)
				g.Expect(v.Reason).To(Equal(verdict.ReasonOK), v.Error())
			}
			w.log.SetFaults(standin.LogFaults{Outage: true})
			if n%3 == 1 {
				v, _ := w.send(router, key, completes)
				g.Expect(v.Reason).NotTo(Equal(verdict.ReasonOK))
			}
			time.Sleep(outage)
			w.log.SetFaults(standin.LogFaults{})
			v, _ := w.send(router, keyOfShard(claims.ShardOf("c", key), "c", 1000), completes)
			g.Expect(v.Reason).To(Equal(verdict.ReasonOK), "case %d: %s", n, v.Error())
		})
	}
}

// Guards against outcomes that are lost with an unused shard while the log is
// down, and against a shard that outcomes of the largest size block for good.
func TestOutcomesSurviveLongOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := newClaimsWorld(t, 1)
		defer w.stop()
		e, shards := w.entries[0], w.entries[0].router.local
		key := keyAt(time.Now(), 1)
		_, _ = w.send(e.router, key, completes)
		time.Sleep(time.Second)
		w.log.SetFaults(standin.LogFaults{Outage: true})
		answer := []byte(strings.Repeat("x", int(claims.MaxKeptAnswer)))
		for n := range 300 {
			done := state.ClaimDone{Claim: fmt.Sprint(n), Status: http.StatusOK, Answer: answer, AnswerKept: true}
			params := rpc.ClaimOutcomeParams{Caller: "c", Key: key, Done: &done}
			_, _ = shards.outcome(t.Context(), rpc.ClaimOutcomeReport{ClaimOutcomeParams: params, From: e.router.process})
		}
		time.Sleep(shardIdle + time.Minute)
		w.log.SetFaults(standin.LogFaults{})
		time.Sleep(10 * time.Second)
		stored := make(map[string]bool)
		for _, record := range w.log.Records(platform.ClaimStream(claims.ShardOf("c", key))) {
			if done, err := state.DecodeBody[state.ClaimDone](record.Record); err == nil && record.Kind == state.KindClaimDone {
				stored[done.Claim] = true
			}
		}
		g.Expect(len(stored)).To(Equal(301))
		time.Sleep(shardIdle + time.Minute)
		g.Expect(shards.waiting(t.Context())).To(BeEmpty())
	})
}

// Guards against a claim that stays open because its entry left before the
// grant, so that a resend could not run after the agent's restart.
func TestClaimGrantedTooLateIsGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := newClaimsWorld(t, 1)
		defer w.stop()
		e, key := w.entries[0], keyAt(time.Now(), 1)
		_, _ = w.send(e.router, keyAt(time.Now(), 2), completes)
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
		_, err := e.router.claim(ctx, rpc.ClaimParams{Claim: state.Claim{
			Caller: "c", Key: key, Fingerprint: 7, Upstream: "u", AgentIncarnation: "1",
		}})
		cancel()
		g.Expect(verdict.Of(err).Execution).To(Equal(verdict.MayHaveRun))
		time.Sleep(time.Second)
		w.restartAgent()
		v, _ := w.send(e.router, key, completes)
		g.Expect(v.Reason).To(Equal(verdict.ReasonOK), v.Error())
	})
}

// Guards against requests that are refused although another entry of the
// region could settle their claims, while the loss of the owner is not noticed.
func TestClaimFallsBackToNextEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := newClaimsWorld(t, 3)
		defer w.stop()
		w.entries[1].kill()
		for n := range 32 {
			key := keyAt(time.Now(), n)
			v, _ := w.send(w.entries[0].router, key, completes)
			g.Expect(v.Reason).To(Equal(verdict.ReasonOK), v.Error())
			time.Sleep(200 * time.Millisecond)
			v, text := w.send(w.entries[2].router, key, completes)
			g.Expect(v.Reason).To(Equal(verdict.ReasonOK), v.Error())
			g.Expect(text).NotTo(BeEmpty())
			g.Expect(w.ran).To(HaveLen(n + 1))
		}
		g.Expect(w.network.count("entry-1", rpc.MethodClaim)).To(BeNumerically(">", 0))
	})
}

// Guards against requests that are refused while an entry of the next region
// could settle their claims.
func TestClaimFallsBackToNextRegion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := newClaimsWorld(t, 2)
		defer w.stop()
		far := map[state.Region]map[state.EntryName]string{"south": {"s1": "nowhere", "s2": "entry-1"}, "west": {"w1": "nowhere"}}
		w.entries[0].router.regions = far
		w.entries[1].router.regions = far
		for n := range 32 {
			key := keyAt(time.Now(), n)
			v, _ := w.send(w.entries[0].router, key, completes)
			g.Expect(v.Reason).To(Equal(verdict.ReasonOK), v.Error())
			time.Sleep(200 * time.Millisecond)
			v, text := w.send(w.entries[1].router, key, completes)
			g.Expect(v.Reason).To(Equal(verdict.ReasonOK), v.Error())
			g.Expect(text).NotTo(BeEmpty())
			g.Expect(w.ran).To(HaveLen(n + 1))
		}
		g.Expect(w.network.count("nowhere", rpc.MethodClaim)).To(BeNumerically(">", 0))
	})
}

// Guards against a resend that spells its key in another way and runs again,
// because its claim meets the first in no shard.
func TestResendWithOtherSpellingOfKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := newClaimsWorld(t, 3)
		defer w.stop()
		for n := range 16 {
			key := keyAt(time.Now(), n)
			v, first := w.send(w.entries[0].router, key, completes)
			g.Expect(v.Reason).To(Equal(verdict.ReasonOK), v.Error())
			time.Sleep(time.Second)
			v, second := w.send(w.entries[1].router, strings.ToUpper(key), completes)
			g.Expect(v.Reason).To(Equal(verdict.ReasonOK), v.Error())
			g.Expect(second).To(Equal(first))
			g.Expect(w.ran).To(HaveLen(n + 1))
		}
	})
}

// darkPaths is a caller that finds no path to the addresses and no error that
// says so: each connection attempt waits for its timeout.
type darkPaths struct {
	rpc.Caller
	addresses []string
}

// Call implements rpc.Caller.
func (c darkPaths) Call(ctx context.Context, addr, method string, params, result any) error {
	if slices.Contains(c.addresses, addr) {
		ctxtime.Sleep(ctx, time.Second)
		return errors.Wrap(rpc.ErrUnreachable, addr)
	}
	return c.Caller.Call(ctx, addr, method, params, result)
}

// Guards against claims and lookups that never reach the next region because the
// attempts to reach the entries of a region that is cut off use up their time.
func TestClaimsPassRegionThatIsSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := newClaimsWorld(t, 1)
		defer w.stop()
		router := w.entries[0].router
		router.regions = map[state.Region]map[state.EntryName]string{"south": {"s1": "dark-1", "s2": "dark-2"}}
		router.caller = darkPaths{Caller: router.caller, addresses: []string{"dark-1", "dark-2"}}
		refused := 0
		for n := range 64 {
			if v, _ := w.send(router, keyAt(time.Now(), n), completes); v.Reason != verdict.ReasonOK {
				refused++
			}
		}
		g.Expect(refused).To(BeNumerically("<=", 1), "of 64")
		time.Sleep(2 * unreachableFor)
		unknown := 0
		for n := range 64 {
			if !router.unseen("d", keyAt(time.Now(), n), time.Now().Add(time.Second)) {
				unknown++
			}
		}
		g.Expect(unknown).To(BeNumerically("<=", 1), "of 64 lookups")
		time.Sleep(2 * unreachableFor)
		started := time.Now()
		for n := range 64 {
			router.unseen("d", keyAt(started, n), started.Add(10*time.Millisecond))
		}
		g.Expect(time.Since(started)).To(BeNumerically("<=", 10*time.Millisecond), "lookups end in time")
	})
}
