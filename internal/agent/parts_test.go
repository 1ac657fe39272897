package agent_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lagoonvalve/lagoonvalve/internal/agent"
	"github.com/lagoonvalve/lagoonvalve/internal/platform"
	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
	"github.com/lagoonvalve/lagoonvalve/internal/verdict"
)

func (w *world) appendRecord(id, incarnation string, kind state.Kind, body any) state.Offset {
	record := state.Record{ID: id, Kind: kind, Writer: state.ProcessID{Name: "u1", Incarnation: incarnation}}
	record.Body = encode(body)
	offsets, err := w.log.Append(anyone, region, record)
	w.Expect(err).NotTo(HaveOccurred())
	return offsets[0]
}

// wakeRefused wakes a model and returns why that was refused.
func (w *world) wakeRefused() verdict.Reason {
	result := w.wake()
	w.Expect(result.Refusal).NotTo(BeNil(), "the wake was accepted")
	return result.Refusal.Reason
}

// showPrefix makes the entry answer as one that has read only n records.
func (w *world) showPrefix(n int) {
	w.parts.alter(func(params rpc.PartParams, result *rpc.PartResult) {
		w.log.mu.Lock()
		records := w.log.streams[region]
		part := derive(records[:min(n, len(records))], params.ExtraReplicas)
		w.log.mu.Unlock()
		result.Region, result.Part = state.Offset(n-1), &part
	})
}

// Guards against a load under a grant that a newer answer has already shown to
// be gone, when a lagging entry replaces the one that gave that answer.
func TestStalePartAfterNewerOne(t *testing.T) {
	inBubble(t, func(w *world) {
		w.start()
		w.appendRecord("r", "first", state.KindRelease, state.Release{Grant: 0})
		settle(time.Second)
		w.Expect(w.wakeRefused()).To(Equal(verdict.ReasonNoReplica))
		w.showPrefix(2)
		settle(time.Minute)
		w.Expect(w.wakeRefused()).To(Equal(verdict.ReasonNoReplica))
		w.Expect(w.engine.ordered(platform.OrderLoad)).To(BeZero())
	})
}

// Guards against orders under a registration or an intent that the log does not
// show yet, and against an entry's lag that lasts beyond its end.
func TestLaggingEntryOnlyDelays(t *testing.T) {
	inBubble(t, func(w *world) {
		w.showPrefix(1)
		w.start()
		w.Expect(w.log.kinds(region)).To(ContainElement(state.KindAgentStart))
		w.Expect(w.wakeRefused()).To(Equal(verdict.ReasonNotReady), "the registration is not shown")
		w.showPrefix(2)
		settle(10 * time.Second)
		w.Expect(w.wake().Refusal).To(BeNil())
		w.Expect(w.log.kinds(region)).To(ContainElement(state.KindIntent))
		w.Expect(w.engine.ordered(platform.OrderLoad)).To(BeZero(), "the intent is not shown")
		w.parts.alter(nil)
		settle(10 * time.Second)
		w.Expect(w.request(anyone).body).To(Equal("answer"))
	})
}

// Guards against an agent that takes a predecessor's registration, or another
// upstream's part, for its own.
func TestPartOfAnotherIncarnation(t *testing.T) {
	inBubble(t, func(w *world) {
		w.cfg.Incarnation = "second"
		w.parts.alter(func(_ rpc.PartParams, result *rpc.PartResult) {
			result.Part.Registration = &state.AgentRegistration{Upstream: "u1", Incarnation: "first", Token: 0}
		})
		w.start()
		w.Expect(w.wakeRefused()).To(Equal(verdict.ReasonNotReady))
		w.parts.alter(func(_ rpc.PartParams, result *rpc.PartResult) {
			result.Part.Upstream = "u2"
		})
		settle(time.Minute)
		w.Expect(w.wakeRefused()).To(Equal(verdict.ReasonNotReady))
		w.Expect(w.engine.ordered(platform.OrderLoad)).To(BeZero())
	})
}

// Guards against an agent that waits for ever for an intent that is in the log
// but void.
func TestVoidIntentIsReplaced(t *testing.T) {
	inBubble(t, func(w *world) {
		w.parts.alter(func(_ rpc.PartParams, result *rpc.PartResult) {
			if result.Part.Intent != nil && result.Part.Intent.Offset == 2 {
				result.Part.Intent = nil
			}
		})
		w.start()
		w.Expect(w.wake().Refusal).To(BeNil())
		settle(10 * time.Second)
		w.Expect(w.request(anyone).body).To(Equal("answer"))
	})
}

// Guards against orders while the size of a model that the engine holds without
// a grant is not known, so that the account counts it too small.
func TestListedModelOfUnknownSize(t *testing.T) {
	inBubble(t, func(w *world) {
		held := state.ReplicaKey{Model: "b", Version: "v1"}
		w.engine.replicas = []platform.EngineReplica{{ReplicaKey: held, State: state.ReplicaReady, Size: 10}}
		answer := func(size state.Bytes) func(rpc.PartParams, *rpc.PartResult) {
			return func(params rpc.PartParams, result *rpc.PartResult) {
				result.Part.ExtraReplicas = nil
				if size > 0 && len(params.ExtraReplicas) == 1 {
					result.Part.ExtraReplicas = params.ExtraReplicas
					result.Part.Versions = append(result.Part.Versions, state.ModelVersion{Model: "b", Name: "v1", Weights: size})
				}
			}
		}
		w.parts.alter(answer(0))
		w.start()
		w.wake()
		w.Expect(w.engine.ordered(platform.OrderLoad)).To(BeZero(), "the size is not known")
		w.parts.alter(answer(90))
		settle(time.Minute)
		w.wake()
		for _, o := range w.engine.allOrders() {
			w.Expect(o.Kind).NotTo(Equal(platform.OrderLoad), "90 and 50 do not fit 100")
			if o.Kind == platform.OrderUnload {
				return
			}
		}
	})
}

// entryCaller answers for entries by their address.
type entryCaller map[string]rpc.PartResult

func (c entryCaller) Call(_ context.Context, addr, _ string, _, result any) error {
	answer, ok := c[addr]
	if !ok {
		return rpc.ErrUnreachable
	}
	*result.(*rpc.PartResult) = answer
	return nil
}

// Guards against an agent that stays with an entry that is gone or lags.
func TestNextEntryIsAsked(t *testing.T) {
	g := NewWithT(t)
	caller := entryCaller{"lagging": {Lagging: true}, "good": {PartOffsets: rpc.PartOffsets{Config: 1, Region: 7}}}
	ask := func(entries ...string) (rpc.PartResult, error) {
		return agent.NewPartClient(caller, func() []string { return entries }).Part(anyone, rpc.PartParams{})
	}
	result, err := ask("gone", "lagging", "good")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(result.Region).To(Equal(state.Offset(7)))
	_, err = ask("gone", "lagging")
	g.Expect(err).To(MatchError(platform.ErrUnavailable))
}
