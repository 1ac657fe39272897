package standin_test

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	. "github.com/onsi/gomega"

	"github.com/lagoonvalve/lagoonvalve/internal/platform"
	"github.com/lagoonvalve/lagoonvalve/internal/standin"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

var key = state.ReplicaKey{Model: "m", Version: "v1"}

func order(kind platform.OrderKind, token state.FencingToken) platform.Order {
	return platform.Order{Kind: kind, ReplicaKey: key, Size: 4 * state.GiB, Weights: 4 * state.GiB, Token: token}
}

// loaded returns an engine with a ready replica.
func loaded(t *testing.T, cfg standin.EngineConfig) *standin.Engine {
	t.Helper()
	cfg.Name, cfg.Memory = "e", 6*state.GiB
	engine := standin.NewEngine(cfg, standin.NewStore(standin.StoreConfig{}))
	NewWithT(t).Expect(engine.Do(t.Context(), order(platform.OrderLoad, 1))).To(Succeed())
	return engine
}

// Guards against an engine that ignores its memory, its caches or a token.
func TestEngineOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		engine := loaded(t, standin.EngineConfig{})
		other := order(platform.OrderLoad, 5)
		other.Model, other.Size = "other", 6*state.GiB
		g.Expect(errors.Is(engine.Do(t.Context(), other), platform.ErrNoMemory)).To(BeTrue())
		g.Expect(errors.Is(engine.Do(t.Context(), order(platform.OrderUnload, 4)), platform.ErrStaleToken)).To(BeTrue())
		adapter := platform.Order{Kind: platform.OrderLoadAdapter, ReplicaKey: key, Adapter: "a", Size: state.GiB, Token: 5}
		g.Expect(engine.Do(t.Context(), adapter)).To(Succeed())
		g.Expect(engine.Do(t.Context(), order(platform.OrderUnload, 5))).To(Succeed())
		began := time.Now()
		g.Expect(engine.Do(t.Context(), order(platform.OrderLoad, 5))).To(Succeed())
		g.Expect(time.Since(began)).To(Equal(250*time.Millisecond), "from the memory cache at 16 GiB/s")
		g.Expect(engine.Do(t.Context(), order(platform.OrderUnload, 5))).To(Succeed())
		g.Expect(engine.Do(t.Context(), other)).To(Succeed(), "all memory must be free again")

		ignoring := loaded(t, standin.EngineConfig{Fencing: state.FencingIgnored})
		g.Expect(ignoring.Do(t.Context(), order(platform.OrderUnload, 0))).To(Succeed())
	})
}

// Guards against a load that stops with its caller; an agent that dies leaves
// it running.
func TestEngineLoadOutlivesCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		engine := standin.NewEngine(standin.EngineConfig{Memory: 6 * state.GiB}, standin.NewStore(standin.StoreConfig{}))
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		err := engine.Do(ctx, order(platform.OrderLoad, 1))
		g.Expect(errors.Is(err, platform.ErrUnknownOutcome)).To(BeTrue())
		status, _ := engine.Status(t.Context())
		g.Expect(status.Replicas[0].State).To(Equal(state.ReplicaLoading))
		time.Sleep(5 * time.Second)
		status, _ = engine.Status(t.Context())
		g.Expect(status.Replicas[0].State).To(Equal(state.ReplicaReady))
	})
}

// Guards against answers that cannot be told apart, and against a stream that
// is not one of server-sent events.
func TestEngineAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		engine := loaded(t, standin.EngineConfig{})
		want := standin.CompletionText("m", "", "hi", 3)
		g.Expect(want).NotTo(Equal(standin.CompletionText("m", "a", "hi", 3)))
		answer, _ := post(t.Context(), engine, standin.PathChatCompletions, `{"model":"m/v1","max_tokens":3,"messages":[{"role":"user","content":"hi"}]}`)
		var whole struct {
			Choices []struct {
				Message struct{ Content string } `json:"message"`
			} `json:"choices"`
		}
		g.Expect(json.Unmarshal(answer.Body.Bytes(), &whole)).To(Succeed())
		g.Expect(whole.Choices[0].Message.Content).To(Equal(want))
		answer, _ = post(t.Context(), engine, standin.PathCompletions, `{"model":"m","prompt":"hi","max_tokens":3,"stream":true}`)
		events := strings.Split(strings.TrimSpace(answer.Body.String()), "\n\n")
		g.Expect(events).To(HaveLen(4))
		g.Expect(events[3]).To(Equal("data: [DONE]"))
		answer, _ = post(t.Context(), engine, standin.PathCompletions, `{"model":"m:a","prompt":"hi"}`)
		g.Expect(answer.Code).To(Equal(http.StatusNotFound))
		g.Expect(engine.Started()).To(Equal(2))
	})
}

// Guards against a batch without limit, low classes before high ones, and
// work that goes on for callers that left.
func TestEngineBatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		engine := loaded(t, standin.EngineConfig{Concurrency: 1})
		finished := make(chan string, 3)
		ask := func(ctx context.Context, class string) {
			if _, aborted := post(ctx, engine, standin.PathCompletions, `{"model":"m","prompt":"p"}`, standin.HeaderPriority, class); !aborted {
				finished <- class
			}
		}
		ctx, cancel := context.WithCancel(t.Context())
		go ask(ctx, "normal")
		synctest.Wait()
		go ask(t.Context(), "low")
		synctest.Wait()
		go ask(t.Context(), "high")
		synctest.Wait()
		engine.SetFaults(standin.EngineFaults{ReportLag: state.Duration(time.Second)})
		status, _ := engine.Status(t.Context())
		g.Expect([]int{status.Running, status.Waiting}).To(Equal([]int{0, 0}), "late report")
		time.Sleep(time.Millisecond)
		began := time.Now()
		cancel()
		g.Expect([]string{<-finished, <-finished}).To(Equal([]string{"high", "low"}))
		g.Expect(time.Since(began)).To(Equal(2 * 95 * time.Millisecond))
	})
}

// Guards against a crash that spares a request, a replica or the incarnation.
func TestEngineCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		engine := loaded(t, standin.EngineConfig{})
		engine.SetFaults(standin.EngineFaults{CrashPrompt: "boom"})
		before, _ := engine.Status(t.Context())
		dropped := make(chan bool, 1)
		go func() {
			_, aborted := post(t.Context(), engine, standin.PathCompletions, `{"model":"m","prompt":"fine"}`)
			dropped <- aborted
		}()
		synctest.Wait()
		_, aborted := post(t.Context(), engine, standin.PathCompletions, `{"model":"m","prompt":"go boom"}`)
		g.Expect(aborted).To(BeTrue())
		g.Expect(<-dropped).To(BeTrue())
		_, err := engine.Status(t.Context())
		g.Expect(errors.Is(err, platform.ErrUnavailable)).To(BeTrue())
		time.Sleep(time.Second)
		after, err := engine.Status(t.Context())
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(after.Incarnation).NotTo(Equal(before.Incarnation))
		g.Expect(after.Replicas).To(BeEmpty())
		g.Expect(after.Cached["m/v1"]).To(Equal(platform.CacheDisk))
	})
}
