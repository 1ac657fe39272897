package entry

import (
	"context"
	"encoding/binary"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/lagoonvalve/lagoonvalve/internal/decide/claims"
	"github.com/lagoonvalve/lagoonvalve/internal/decide/membership"
	"github.com/lagoonvalve/lagoonvalve/internal/logclient"
	"github.com/lagoonvalve/lagoonvalve/internal/platform"
	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
	"github.com/lagoonvalve/lagoonvalve/internal/standin"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
	"github.com/lagoonvalve/lagoonvalve/internal/verdict"
)

// claimsWorld is a few entries that own claim shards, and one agent.
type claimsWorld struct {
	t       *testing.T
	log     *standin.Log
	network *fakeNetwork
	entries []*claimsEntry

	mu    sync.Mutex
	agent *claims.Seen
	life  int
	ran   map[string]int
	lives map[string]int
}

// claimsEntry is a run of an entry.
type claimsEntry struct {
	world  *claimsWorld
	name   state.EntryName
	router *claimRouter
	stop   context.CancelFunc
	ended  sync.WaitGroup
}

func newClaimsWorld(t *testing.T, entries int) *claimsWorld {
	w := &claimsWorld{
		t: t, log: standin.NewLog(standin.LogConfig{}), network: newFakeNetwork(),
		ran: make(map[string]int), lives: make(map[string]int),
	}
	w.restartAgent()
	w.network.serve("agent", map[string]rpc.MethodFunc{
		rpc.MethodClaimStatus: rpc.Method(func(_ context.Context, p rpc.ClaimStatusParams) (rpc.ClaimStatusResult, error) {
			w.mu.Lock()
			defer w.mu.Unlock()
			return w.agent.Status(p, time.Now()), nil
		}),
	})
	for i := range entries {
		w.entries = append(w.entries, &claimsEntry{world: w, name: state.EntryName(fmt.Sprintf("entry-%d", i))})
	}
	for _, e := range w.entries {
		e.start(w.names()...)
	}
	return w
}

// stop ends all entries, without which virtual time would never stand still.
func (w *claimsWorld) stop() {
	for _, e := range w.entries {
		e.kill()
	}
}

func (w *claimsWorld) names() []state.EntryName {
	names := make([]state.EntryName, 0, len(w.entries))
	for _, e := range w.entries {
		names = append(names, e.name)
	}
	return names
}

func (w *claimsWorld) restartAgent() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.life++
	w.agent = claims.NewSeen(fmt.Sprint(w.life), claims.DefaultSettings())
}

func (w *claimsWorld) replica() rpc.ReplicaAt {
	w.mu.Lock()
	defer w.mu.Unlock()
	return rpc.ReplicaAt{Replica: state.Replica{Upstream: "u"}, Agent: state.FencingToken(w.life), AgentIncarnation: fmt.Sprint(w.life)}
}

// start begins a run of the entry that takes ring for the live entries.
func (e *claimsEntry) start(ring ...state.EntryName) {
	ctx, stop := context.WithCancel(e.world.t.Context())
	e.stop = stop
	addresses := make(map[state.EntryName]string)
	for _, name := range e.world.names() {
		addresses[name] = string(name)
	}
	published := &view{ring: membership.NewRing(ring), addresses: addresses}
	writer := logclient.NewWriter(e.world.log, logclient.WriterConfig{AppendsPerSecond: 1000, AppendBurst: 100})
	self := state.ProcessID{Name: string(e.name), Incarnation: uuid.NewString()}
	agentAt := func(state.UpstreamName) (string, bool) { return "agent", true }
	shards := newClaimShards(self, e.world.log, writer, e.world.network, agentAt, slog.New(slog.DiscardHandler))
	e.router = &claimRouter{
		process: self, name: e.name, region: "north", local: shards, caller: e.world.network, running: ctx,
		view: func() *view { return published },
	}
	e.ended.Go(func() { _ = writer.Run(ctx) })
	e.ended.Go(func() { _ = shards.run(ctx) })
	entry := &Entry{shards: shards}
	e.world.network.serve(string(e.name), map[string]rpc.MethodFunc{
		rpc.MethodClaim: rpc.Method(shards.ask), rpc.MethodClaimLookup: rpc.Method(shards.lookup),
		rpc.MethodClaimDone: rpc.Method(entry.claimOutcome),
	})
}

func (e *claimsEntry) kill() {
	e.world.network.serve(string(e.name), nil)
	e.stop()
	e.ended.Wait()
}

// step is how far an entry gets with a request before it dies.
type step int

const (
	diesClaimed step = iota
	diesDispatched
	diesRun
	completes
)

// send takes a request as far as last. The verdict is the one that the caller
// gets; it is nil if the entry died first.
func (w *claimsWorld) send(router *claimRouter, key string, last step) (*verdict.Verdict, string) {
	recorder := httptest.NewRecorder()
	x := &execution{
		gateway:  &gateway{claims: router},
		request:  &request{key: key, fingerprint: 7, deadline: time.Now().Add(30 * time.Second), caller: state.Caller{Name: "c"}},
		exchange: &exchange{answer: &answerWriter{ResponseWriter: recorder}},
	}
	if v := x.openClaim(w.t.Context(), w.replica()); v != nil {
		return x.aboutWork(v), recorder.Body.String()
	}
	if last == diesClaimed {
		return nil, ""
	}
	v, text := w.run(x.claim, key, last)
	if last != completes {
		return nil, ""
	}
	x.kept.add([]byte(text))
	x.closeClaim(v, &http.Response{StatusCode: http.StatusOK})
	return v, text
}

// run is the agent's part.
func (w *claimsWorld) run(claim, key string, last step) (*verdict.Verdict, string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if refusal := w.agent.Start(claim, fmt.Sprint(w.life), time.Now()); refusal != nil {
		return refusal, ""
	}
	w.ran[key]++
	w.lives[key] = w.life
	text := "answer to " + key
	if last > diesDispatched {
		done := state.ClaimDone{Claim: claim, Status: http.StatusOK, Answer: []byte(text), AnswerKept: true}
		w.agent.Finish(done, time.Now())
	}
	return &verdict.Verdict{Execution: verdict.Ran, Reason: verdict.ReasonOK}, text
}

func keyAt(at time.Time, n int) string {
	var id uuid.UUID
	binary.BigEndian.PutUint64(id[:8], uint64(at.UnixMilli())<<16)
	binary.BigEndian.PutUint64(id[8:], uint64(n))
	id[6], id[8] = 0x70, 0x80
	return id.String()
}

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

// Guards against "may have run" for a first sending while the log is down,
// which only a refusal within the caller's wait can prevent.
func TestLogOutageRefusesClaimAsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := newClaimsWorld(t, 2)
		defer w.stop()
		first, n := keyAt(time.Now(), 0), 1
		for claims.ShardOf("c", keyAt(time.Now(), n)) != claims.ShardOf("c", first) {
			n++
		}
		second := keyAt(time.Now(), n)
		_, _ = w.send(w.entries[0].router, first, completes)
		w.log.SetFaults(standin.LogFaults{Outage: true})
		for _, e := range w.entries {
			started := time.Now()
			v, _ := w.send(e.router, second, completes)
			g.Expect(v.Execution).To(Equal(verdict.NotRun), v.Error())
			g.Expect(time.Since(started)).To(BeNumerically("<=", claimWait))
		}
	})
}

// Guards against claims that are refused for seconds after an outage of the log,
// because the delays of the failed reads have grown.
func TestClaimsResumeSoonAfterOutage(t *testing.T) {
	for n := range 10 {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			w := newClaimsWorld(t, 1)
			defer w.stop()
			key := keyAt(time.Now(), n)
			w.log.SetFaults(standin.LogFaults{Outage: true})
			v, _ := w.send(w.entries[0].router, key, completes)
			g.Expect(v.Reason).NotTo(Equal(verdict.ReasonOK))
			time.Sleep(time.Minute)
			w.log.SetFaults(standin.LogFaults{})
			v, _ = w.send(w.entries[0].router, key, completes)
			g.Expect(v.Reason).To(Equal(verdict.ReasonOK), v.Error())
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
			shards.outcome(t.Context(), rpc.ClaimOutcomeParams{Caller: "c", Key: key, Done: &done}, e.router.process)
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
