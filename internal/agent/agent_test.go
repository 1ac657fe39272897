package agent_test

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lagoonvalve/lagoonvalve/internal/agent"
	"github.com/lagoonvalve/lagoonvalve/internal/platform"
	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
	"github.com/lagoonvalve/lagoonvalve/internal/verdict"
)

// Guards against a wake that loads nothing and an answer without verdict and
// load.
func TestWakeThenServe(t *testing.T) {
	inBubble(t, func(w *world) {
		w.start()
		cold := w.request(anyone)
		w.Expect(cold.verdict()).To(Equal("not-run"))
		w.Expect(cold.reason()).To(Equal(string(verdict.ReasonNoReplica)))
		w.Expect(w.wake().State).To(Equal(state.ReplicaLoading))
		got := w.request(anyone)
		w.Expect(got.body).To(Equal("answer"))
		w.Expect(got.verdict()).To(Equal("ran"))
		w.Expect(got.header.Get(agent.HeaderLoad)).To(Equal("queue=0 running=1 short_wait_ms=0 agent=1"))
		beats := w.caller.sent()
		last := beats[len(beats)-1]
		w.Expect(last.State).To(Equal(rpc.AgentServing))
		w.Expect(last.Replicas).To(HaveLen(1))
	})
}

// Guards against a spare replica that takes an accelerator of its own although
// only one beside others is wanted, and against one for which there is no room.
func TestSpareNeedsRoom(t *testing.T) {
	inBubble(t, func(w *world) {
		w.start()
		spare := func(beside bool) (result rpc.WakeResult) {
			w.call(rpc.MethodWake, rpc.WakeParams{ReplicaKey: modelA, Spare: true, MustShare: beside}, &result)
			return result
		}
		w.Expect(spare(true).Refusal).NotTo(BeNil())
		w.Expect(spare(false).State).To(Equal(state.ReplicaLoading))
	})
}

// Guards against a request that starts before its adapter is loaded.
func TestAdapterLoadsOnDemand(t *testing.T) {
	inBubble(t, func(w *world) {
		w.awake()
		w.engine.handle(func(out http.ResponseWriter, _ *http.Request) {
			if w.engine.ordered(platform.OrderLoadAdapter) == 1 {
				_, _ = io.WriteString(out, "loaded")
			}
		})
		w.Expect(w.request(anyone, agent.HeaderAdapter, "x").body).To(Equal("loaded"))
	})
}

// Guards against a request for an evicted adapter that is refused instead of
// waiting for the next load.
func TestEvictedAdapterLoadsAgain(t *testing.T) {
	inBubble(t, func(w *world) {
		w.cfg.Upstream.Memory = 51 // one replica and one adapter
		w.awake()
		for _, name := range []string{"x", "y", "x"} {
			w.Expect(w.request(anyone, agent.HeaderAdapter, name).body).To(Equal("answer"))
			settle(2 * time.Second)
		}
		w.Expect(w.engine.ordered(platform.OrderUnloadAdapter)).To(Equal(2))
	})
}

// Guards against a load from a cache that makes loads from the store look fast,
// and against a status that hides the concurrency.
func TestLoadRatesByCache(t *testing.T) {
	inBubble(t, func(w *world) {
		w.engine.cached = map[string]platform.CacheTier{modelA.Path(): platform.CacheMemory}
		w.engine.loadTime = 100 * time.Millisecond
		var before, after rpc.AgentStatus
		w.start()
		w.call(rpc.MethodAgentStatus, struct{}{}, &before)
		w.Expect(w.wake().Refusal).To(BeNil())
		w.call(rpc.MethodAgentStatus, struct{}{}, &after)
		w.Expect(after.Concurrency).To(Equal(2))
		w.Expect(after.LoadRates).To(HaveKeyWithValue(platform.CacheMemory, BeNumerically("<", before.LoadRates[platform.CacheMemory])))
		for _, other := range []platform.CacheTier{platform.CacheDisk, platform.CacheRemote} {
			w.Expect(after.LoadRates).To(HaveKeyWithValue(other, before.LoadRates[other]))
		}
	})
}

// Guards against heartbeats that stop or that follow each other too fast.
func TestHeartbeatRate(t *testing.T) {
	inBubble(t, func(w *world) {
		w.awake()
		before := len(w.caller.sent())
		settle(20 * time.Second)
		w.Expect(len(w.caller.sent()) - before).To(BeNumerically("~", 4, 1))
		before = len(w.caller.sent())
		for i := range 40 {
			w.call(rpc.MethodDrain, rpc.DrainParams{Draining: i%2 == 0}, &struct{}{})
			settle(100 * time.Millisecond)
		}
		w.Expect(len(w.caller.sent()) - before).To(BeNumerically("<=", 5))
	})
}

// Guards against full heartbeats while nothing changes, and against short ones
// that tell a watcher less than it has to know.
func TestQuietHeartbeatsAreShort(t *testing.T) {
	inBubble(t, func(w *world) {
		w.awake()
		settle(10 * time.Second)
		before := len(w.caller.sent())
		settle(20 * time.Second)
		quiet := w.caller.sent()[before:]
		w.Expect(len(quiet)).To(BeNumerically("~", 4, 1))
		for _, beat := range quiet {
			w.Expect(beat).To(Equal(rpc.Heartbeat{Agent: beat.Agent, Sequence: beat.Sequence}))
			w.Expect(beat.Agent).To(BeNumerically(">=", 0))
		}
		before = len(w.caller.sent())
		w.call(rpc.MethodDrain, rpc.DrainParams{Draining: true}, &struct{}{})
		settle(2 * time.Second)
		changed := w.caller.sent()[before]
		w.Expect(changed.Full).To(BeTrue())
		w.Expect(changed.State).To(Equal(rpc.AgentDraining))
		w.Expect(changed.Sequence).To(BeNumerically(">", quiet[0].Sequence))
		settle(10 * time.Second)
		before = len(w.caller.sent())
		w.caller.setForgetful(true)
		settle(8 * time.Second)
		w.Expect(w.caller.sent()[before:]).To(ContainElement(HaveField("Full", BeTrue())), "the watcher has restarted")
	})
}

// Guards against an answer to a wake that a home can't put in order with the
// reports of the same agent.
func TestWakeAnswerNamesReport(t *testing.T) {
	inBubble(t, func(w *world) {
		w.awake()
		settle(10 * time.Second)
		beats := w.caller.sent()
		answer := w.wake()
		w.Expect(answer.State).To(Equal(state.ReplicaReady))
		w.Expect(answer.Agent).To(Equal(beats[len(beats)-1].Agent))
		w.Expect(answer.Sequence).To(Equal(beats[len(beats)-1].Sequence))
		w.Expect(answer.Sequence).To(BeNumerically(">", 1))
	})
}

// Guards against a whole stream without its end or without its verdict.
func TestWholeStream(t *testing.T) {
	inBubble(t, func(w *world) {
		w.awake()
		w.engine.handle(func(out http.ResponseWriter, _ *http.Request) {
			out.Header().Set("Content-Type", "text/event-stream")
			_, _ = io.WriteString(out, "data: 1\n\ndata: [DONE]\n\n")
		})
		got := w.request(anyone)
		w.Expect(got.body).To(HaveSuffix("data: [DONE]\n\n"))
		w.Expect(got.trailer.Get("Lagoon-Verdict")).To(Equal("ran"))
	})
}

// Guards against requests for a replica that no listing has shown, and
// against a release before a listing shows the unload.
func TestLateListing(t *testing.T) {
	inBubble(t, func(w *world) {
		w.start()
		resume := w.engine.delayListings()
		w.wake()
		w.Expect(w.engine.ordered(platform.OrderLoad)).To(Equal(1))
		w.Expect(w.request(anyone).reason()).To(Equal(string(verdict.ReasonNoReplica)))
		resume()
		settle(2 * time.Second)
		w.Expect(w.request(anyone).body).To(Equal("answer"))
		resume = w.engine.delayListings()
		revoke, err := state.NewRecord("r", state.ProcessID{}, state.KindRevoke, state.Revoke{Grant: 0})
		w.Expect(err).NotTo(HaveOccurred())
		_, err = w.log.Append(anyone, region, revoke)
		w.Expect(err).NotTo(HaveOccurred())
		settle(5 * time.Second)
		w.Expect(w.engine.ordered(platform.OrderUnload)).To(BeNumerically(">=", 1))
		w.Expect(w.log.kinds(region)).NotTo(ContainElement(state.KindRelease))
		resume()
		settle(5 * time.Second)
		w.Expect(w.log.kinds(region)).To(ContainElement(state.KindRelease))
	})
}

// Guards against a queued request that is run after its deadline, or whose
// caller is told that it may have run.
func TestDeadlineInQueue(t *testing.T) {
	inBubble(t, func(w *world) {
		w.cfg.Concurrency = 1
		w.awake()
		release := w.hold()
		running := w.background()
		asked := time.Now()
		late := w.request(anyone, agent.HeaderDeadline, "50")
		w.Expect(time.Since(asked)).To(BeNumerically("<", 100*time.Millisecond))
		w.Expect(late.verdict()).To(Equal("not-run"))
		w.Expect(late.reason()).To(Equal(string(verdict.ReasonDeadlinePast)))
		release()
		<-running
		w.Expect(w.engine.served()).To(Equal(1))
	})
}

// Guards against a broken stream that looks whole, and against a crash whose
// suspects are not reported.
func TestEngineCrashInStream(t *testing.T) {
	inBubble(t, func(w *world) {
		w.awake()
		w.engine.handle(stream(true))
		one, two := w.background(agent.HeaderFingerprint, "a1"), w.background(agent.HeaderFingerprint, "b2")
		w.engine.crash()
		for _, done := range []chan answer{one, two} {
			got := <-done
			w.Expect(got.err).NotTo(HaveOccurred())
			w.Expect(got.body).To(Equal("data: 1\n\n"))
			w.Expect(got.trailer.Get("Lagoon-Verdict")).To(Equal("may-have-run"))
			w.Expect(got.trailer.Get("Lagoon-Reason")).To(Equal(string(verdict.ReasonUpstreamCrashed)))
			w.Expect(got.trailer.Get(agent.HeaderSuspects)).To(Equal("2"))
		}
		settle(2 * time.Second)
		w.Expect(w.request(anyone).reason()).To(Equal(string(verdict.ReasonNoReplica)), "nothing is loaded any more")
		w.Expect(w.wake().Refusal).To(BeNil(), "the grants still hold")
		w.engine.handle(stream(false))
		plain := w.background()
		w.engine.crash()
		w.Expect((<-plain).err).To(HaveOccurred(), "the connection must be cut")
	})
}

// Guards against work that goes on for a caller who left, and against a slot
// that is never given back.
func TestCallerLeaves(t *testing.T) {
	inBubble(t, func(w *world) {
		w.cfg.Concurrency = 1
		w.awake()
		gone := make(chan struct{})
		w.engine.handle(func(_ http.ResponseWriter, r *http.Request) {
			<-r.Context().Done()
			close(gone)
		})
		ctx, leave := context.WithCancel(anyone)
		go w.request(ctx)
		synctest.Wait()
		left := time.Now()
		leave()
		<-gone
		w.Expect(time.Since(left)).To(BeNumerically("<", time.Second), "before the deadline")
		w.hold()()
		w.Expect(w.request(anyone).body).To(Equal("answer"))
	})
}

// Guards against an agent that is useless while the log is down, and against
// orders before the registration is in the log.
func TestLogOutageAtStart(t *testing.T) {
	inBubble(t, func(w *world) {
		w.engine.replicas = []platform.EngineReplica{{ReplicaKey: modelA, State: state.ReplicaReady, Size: 50}}
		w.log.set(func(l *fakeLog) { l.down = true })
		w.start()
		w.Expect(w.request(anyone).body).To(Equal("answer"))
		w.engine.crash()
		settle(2 * time.Second)
		w.Expect(w.wake().Refusal.Reason).To(Equal(verdict.ReasonNotReady))
		w.Expect(w.engine.allOrders()).To(BeEmpty())
		w.log.set(func(l *fakeLog) { l.down, l.lose = false, true })
		settle(10 * time.Second)
		w.log.set(func(l *fakeLog) { l.lose = false })
		settle(10 * time.Second)
		w.Expect(w.wake().Refusal).To(BeNil())
		w.Expect(w.request(anyone).body).To(Equal("answer"))
	})
}

// Guards against a successor that registers while a paused predecessor still
// has the control address.
func TestPausedPredecessor(t *testing.T) {
	inBubble(t, func(w *world) {
		paused, err := w.net.Listen(anyone, controlAddr)
		w.Expect(err).NotTo(HaveOccurred())
		w.start()
		settle(time.Minute)
		w.Expect(w.log.kinds(region)).NotTo(ContainElement(state.KindAgentStart))
		_ = paused.Close()
		settle(2 * time.Second)
		w.Expect(w.log.kinds(region)).To(ContainElement(state.KindAgentStart))
	})
}

// Guards against an agent that never registers, or that appends without end,
// after its first record was void because the upstream's grants were held on
// another host.
func TestRegistersOnceOtherHostIsGone(t *testing.T) {
	inBubble(t, func(w *world) {
		w.cfg.Upstream.Host = "next"
		w.appendRecord("o", "old", state.KindAgentStart, state.AgentStart{Upstream: "u1", Incarnation: "old", Host: "old"})
		w.start()
		settle(5 * time.Minute)
		w.Expect(w.wakeRefused()).To(Equal(verdict.ReasonNotReady))
		starts := len(w.log.kinds(region))
		w.Expect(starts).To(And(BeNumerically(">", 3), BeNumerically("<", 40)))
		w.appendRecord("g", "e", state.KindHostGone, state.HostGone{Host: "old", Upstreams: []state.UpstreamName{"u1"}})
		w.grant()
		settle(15 * time.Second)
		w.Expect(w.wake().Refusal).To(BeNil())
	})
}

// Guards against orders of an agent that has a registered successor.
func TestSuccessorEndsOrders(t *testing.T) {
	inBubble(t, func(w *world) {
		w.start()
		start, err := state.NewRecord("s", state.ProcessID{Name: "u1", Incarnation: "second"}, state.KindAgentStart,
			state.AgentStart{Upstream: "u1", Incarnation: "second"})
		w.Expect(err).NotTo(HaveOccurred())
		_, err = w.log.Append(anyone, region, start)
		w.Expect(err).NotTo(HaveOccurred())
		w.Expect(<-w.ended).To(Succeed())
		w.ended <- nil
		w.Expect(w.engine.allOrders()).To(BeEmpty())
	})
}

// Guards against "may have run" for a request that no engine could have seen.
func TestRefusedConnectionIsNotRun(t *testing.T) {
	inBubble(t, func(w *world) {
		w.awake()
		_ = w.engine.server.Close()
		got := w.request(anyone)
		w.Expect(got.verdict()).To(Equal("not-run"))
		w.Expect(got.reason()).To(Equal(string(verdict.ReasonUpstreamFailed)))
	})
}

// Guards against a plain service that is asked for models or for other
// services.
func TestPlainService(t *testing.T) {
	inBubble(t, func(w *world) {
		w.cfg.Upstream.Kind, w.cfg.Upstream.Services = state.PlainService, []state.ServiceName{"orders"}
		w.start()
		w.Expect(w.wake().Refusal).NotTo(BeNil())
		w.Expect(w.request(anyone).reason()).To(Equal(string(verdict.ReasonUnknownService)))
		w.Expect(w.engine.allOrders()).To(BeEmpty())
	})
}

// Guards against requests to an upstream whose certificate comes from an
// unknown authority, and against authorities that are ignored.
func TestUpstreamWithTLS(t *testing.T) {
	g := NewWithT(t)
	upstream := httptest.NewTLSServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer upstream.Close()
	authorities := x509.NewCertPool()
	authorities.AddCert(upstream.Certificate())
	for want, secured := range map[int]*tls.Config{
		http.StatusOK:         {RootCAs: authorities, MinVersion: tls.VersionTLS12},
		http.StatusBadGateway: {RootCAs: x509.NewCertPool(), MinVersion: tls.VersionTLS12},
	} {
		answer := httptest.NewRecorder()
		request := httptest.NewRequest(http.MethodPost, "/v1/services/s/x", strings.NewReader("{}"))
		serviceAgent(t, upstream.URL, 1, secured).ServeHTTP(answer, request)
		g.Expect(answer.Code).To(Equal(want))
	}
}
