package load_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lagoonvalve/lagoonvalve/internal/load"
	"github.com/lagoonvalve/lagoonvalve/internal/platform"
	"github.com/lagoonvalve/lagoonvalve/internal/standin"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
	"github.com/lagoonvalve/lagoonvalve/internal/verdict"
)

func config() load.Config {
	return load.Config{
		URLs: []string{"http://a"}, Caller: "c", Rate: 100, Duration: 10 * time.Second, Seed: 7,
		Models:      []load.Weighted{{Value: "m", Weight: 3}, {Value: "n:x", Weight: 1}},
		Priorities:  []load.Weighted{{Value: "high", Weight: 1}, {Value: "low", Weight: 1}},
		ShortTokens: 4, LongTokens: 50, LongShare: 0.1, StreamShare: 0.5,
		Deadline: time.Second, MaxRequests: 10_000, MaxOpen: 100,
	}
}

func count(plan []load.Arrival, is func(load.Arrival) bool) int {
	n := 0
	for _, a := range plan {
		if is(a) {
			n++
		}
	}
	return n
}

// Guards against a schedule that differs between runs of one seed, or whose
// rate or shares are not those that were asked for.
func TestPlanFollowsTheSeedAndTheShares(t *testing.T) {
	g := NewWithT(t)
	plan := load.Plan(config())
	g.Expect(load.Plan(config())).To(Equal(plan))
	other := config()
	other.Seed = 8
	g.Expect(load.Plan(other)).NotTo(Equal(plan))
	// About four standard deviations around the means of a fixed seed.
	n := len(plan)
	g.Expect(n).To(BeNumerically("~", 1000, 130))
	share := func(is func(load.Arrival) bool) float64 { return float64(count(plan, is)) / float64(n) }
	g.Expect(share(func(a load.Arrival) bool { return a.Long && a.Tokens == 50 })).To(BeNumerically("~", 0.1, 0.04))
	g.Expect(share(func(a load.Arrival) bool { return a.Stream })).To(BeNumerically("~", 0.5, 0.07))
	g.Expect(share(func(a load.Arrival) bool { return a.Model == "m" })).To(BeNumerically("~", 0.75, 0.06))
	g.Expect(share(func(a load.Arrival) bool { return a.Priority == "low" })).To(BeNumerically("~", 0.5, 0.07))
	for i := 1; i < n; i++ {
		g.Expect(plan[i].At).To(BeNumerically(">=", plan[i-1].At))
	}
}

// Guards against steps and bursts at the wrong time or of the wrong size, and
// against a run that exceeds its bound.
func TestPlanHasStepsAndBursts(t *testing.T) {
	g := NewWithT(t)
	cfg := config()
	cfg.Rate = 0
	cfg.Steps = []load.Step{{At: 2 * time.Second, For: time.Second, Rate: 500}}
	cfg.Bursts = []load.Burst{{At: 5 * time.Second, Count: 40}}
	plan := load.Plan(cfg)
	inStep := count(plan, func(a load.Arrival) bool { return a.At >= 2*time.Second && a.At < 3*time.Second })
	inBurst := count(plan, func(a load.Arrival) bool { return a.At == 5*time.Second })
	g.Expect(inStep).To(BeNumerically("~", 500, 90))
	g.Expect(inBurst).To(Equal(40))
	g.Expect(len(plan)).To(Equal(inStep + inBurst))
	cfg.MaxRequests = 100
	g.Expect(load.Plan(cfg)).To(HaveLen(100))
}

// pipeTransport gives requests to a handler without a network, so that it
// works in virtual time. Answers arrive as they are written.
type pipeTransport struct{ handler http.Handler }

type pipeAnswer struct {
	header  http.Header
	status  int
	body    *io.PipeWriter
	started chan struct{}
}

func (p *pipeAnswer) Header() http.Header { return p.header }
func (p *pipeAnswer) Flush()              {}
func (p *pipeAnswer) WriteHeader(status int) {
	if p.status == 0 {
		p.status = status
		close(p.started)
	}
}

func (p *pipeAnswer) Write(data []byte) (int, error) {
	p.WriteHeader(http.StatusOK)
	return p.body.Write(data)
}

func (t pipeTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	reader, writer := io.Pipe()
	answer := &pipeAnswer{header: make(http.Header), body: writer, started: make(chan struct{})}
	go func() {
		defer func() {
			if recover() != nil {
				_ = writer.CloseWithError(io.ErrUnexpectedEOF)
				return
			}
			answer.WriteHeader(http.StatusOK)
			_ = writer.Close()
		}()
		t.handler.ServeHTTP(answer, req)
	}()
	<-answer.started
	return &http.Response{StatusCode: answer.status, Header: answer.header, Body: reader, Request: req}, nil
}

// misbehave answers by the name of the model.
func misbehave(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Model, Prompt string
		MaxTokens     int `json:"max_tokens"`
		Stream        bool
	}
	_ = json.NewDecoder(r.Body).Decode(&body)
	text := standin.CompletionText(state.ModelName(body.Model), "", body.Prompt, body.MaxTokens)
	switch body.Model {
	case "refused":
		verdict.Refuse(verdict.ReasonQueueFull, "full").WriteHTTP(w)
		return
	case "late":
		time.Sleep(1100 * time.Millisecond)
	case "wrong":
		text = standin.CompletionText("wrong", "", "of somebody else", body.MaxTokens)
	}
	choice := func(text string) string { return fmt.Sprintf(`{"choices":[{"text":%q}]}`, text) }
	if !body.Stream {
		answer := choice(text)
		if body.Model == "cut" {
			answer = answer[:len(answer)-5]
		}
		_, _ = io.WriteString(w, answer)
		return
	}
	first, rest, _ := strings.Cut(text, " ")
	_, _ = io.WriteString(w, "data: "+choice(first)+"\n\n")
	if body.Model == "cut" {
		return
	}
	time.Sleep(20 * time.Millisecond)
	_, _ = io.WriteString(w, "data: "+choice(" "+rest)+"\n\ndata: [DONE]\n\n")
}

// Guards against answers that are counted as right although they are late,
// cut, refused or somebody else's, streamed or not, and against latencies that
// do not count from the intended send time.
func TestEveryAnswerIsCountedAsWhatItIs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		cfg := config()
		cfg.Priorities = nil
		cfg.LongShare = 0
		cfg.MaxOpen = 10_000
		cfg.Models = nil
		for _, name := range []string{"right", "refused", "late", "wrong", "cut"} {
			cfg.Models = append(cfg.Models, load.Weighted{Value: name, Weight: 1})
		}
		plan := load.Plan(cfg)
		report, err := load.Run(context.Background(), cfg, pipeTransport{http.HandlerFunc(misbehave)})
		g.Expect(err).NotTo(HaveOccurred())
		of := func(name string) int {
			return count(plan, func(a load.Arrival) bool { return a.Model == name })
		}
		all := report.All
		g.Expect(of("right")).To(BeNumerically(">", 100))
		g.Expect([]int{all.InTime, all.Refused, all.Late, all.Wrong, all.Cut}).To(
			Equal([]int{of("right"), of("refused"), of("late"), of("wrong"), of("cut")}))
		g.Expect(all.Reasons).To(Equal(map[string]int{"queue_full": of("refused")}))
		g.Expect(all.Requests).To(Equal(len(plan)))
		g.Expect(all.Total.Max).To(BeNumerically("~", 1120, 2))
		g.Expect(all.Between.P50).To(BeNumerically("~", 20, 0.1))
		g.Expect(all.Total.Count).To(BeNumerically("==", of("right")+of("late")))
		var table strings.Builder
		g.Expect(report.WriteTable(&table)).To(Succeed())
		g.Expect(table.String()).To(ContainSubstring("queue_full"))
	})
}

// Guards against a generator that waits for slow answers before it sends on
// (closed loop), and against unbounded open requests.
func TestSlowAnswersDoNotDelayTheSchedule(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		cfg := config()
		cfg.Models = []load.Weighted{{Value: "late", Weight: 1}}
		cfg.Priorities, cfg.Rate, cfg.StreamShare = nil, 0, 0
		cfg.Bursts = []load.Burst{{At: 0, Count: 30}, {At: 500 * time.Millisecond, Count: 30}}
		cfg.MaxOpen = 40
		report, err := load.Run(context.Background(), cfg, pipeTransport{http.HandlerFunc(misbehave)})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(report.All.Late).To(Equal(40))
		g.Expect(report.All.Unsent).To(Equal(20))
		g.Expect(report.Seconds).To(BeNumerically("~", 1.6, 0.01))
	})
}

// Guards against a check that does not fit the format of the engine stand-in.
func TestAnswersOfTheEngineStandInAreRight(t *testing.T) {
	g := NewWithT(t)
	engine := standin.NewEngine(standin.EngineConfig{Name: "e", Memory: 8 * state.GiB, DiskSpeed: 1 << 50, Concurrency: 64}, standin.NewStore(standin.StoreConfig{BytesPerSecond: 1 << 50}))
	order := platform.Order{Kind: platform.OrderLoad, ReplicaKey: state.ReplicaKey{Model: "m", Version: "v1"}, Size: state.GiB, Weights: state.GiB}
	g.Expect(engine.Do(context.Background(), order)).To(Succeed())
	server := httptest.NewServer(engine)
	defer server.Close()
	cfg := config()
	cfg.URLs = []string{server.URL}
	cfg.Models = []load.Weighted{{Value: "m", Weight: 1}}
	cfg.Rate, cfg.Bursts, cfg.LongShare = 0, []load.Burst{{Count: 40}}, 0.2
	cfg.Duration, cfg.Deadline = time.Second, time.Minute
	transport := load.NewTransport(40)
	defer transport.CloseIdleConnections()
	report, err := load.Run(context.Background(), cfg, transport)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(report.All.InTime).To(Equal(40))
	g.Expect(report.Long.InTime).To(BeNumerically(">", 0))
	g.Expect(report.All.FirstToken.Count).To(BeNumerically(">", 0))
}

// Guards against a run that starts with settings that make no sense.
func TestWrongSettingsAreRefused(t *testing.T) {
	g := NewWithT(t)
	for _, spoil := range []func(*load.Config){
		func(c *load.Config) { c.URLs = nil },
		func(c *load.Config) { c.Models = nil },
		func(c *load.Config) { c.Models[0].Weight = 0 },
		func(c *load.Config) { c.Priorities[0].Value = "urgent" },
		func(c *load.Config) { c.Duration = 2 * time.Hour },
		func(c *load.Config) { c.MaxRequests = 2_000_000 },
		func(c *load.Config) { c.Deadline = 0 },
	} {
		cfg := config()
		spoil(&cfg)
		_, err := load.Run(context.Background(), cfg, pipeTransport{})
		g.Expect(err).To(HaveOccurred())
	}
}
