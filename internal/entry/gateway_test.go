package entry

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	. "github.com/onsi/gomega"

	"github.com/lagoonvalve/lagoonvalve/internal/decide/admission"
	"github.com/lagoonvalve/lagoonvalve/internal/decide/estimate"
	"github.com/lagoonvalve/lagoonvalve/internal/decide/membership"
	"github.com/lagoonvalve/lagoonvalve/internal/decide/retry"
	"github.com/lagoonvalve/lagoonvalve/internal/decide/routing"
	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
	"github.com/lagoonvalve/lagoonvalve/internal/telemetry"
	"github.com/lagoonvalve/lagoonvalve/internal/verdict"
)

const testKey = "01a23f3e-9db5-74b5-a5af-632e745ca894"

// fakeAgents answers the gateway's requests by the address of the replica.
type fakeAgents struct {
	mu     sync.Mutex
	calls  []string
	answer map[string]func(*http.Request) (*http.Response, error)
}

// RoundTrip implements http.RoundTripper.
func (f *fakeAgents) RoundTrip(r *http.Request) (*http.Response, error) {
	f.mu.Lock()
	f.calls = append(f.calls, r.URL.Host)
	answer := f.answer[r.URL.Host]
	f.mu.Unlock()
	return answer(r)
}

func reply(status int, v *verdict.Verdict, body io.Reader) *http.Response {
	h := http.Header{"Content-Type": {"text/plain"}}
	if v != nil {
		v.SetHeaders(h)
	}
	return &http.Response{StatusCode: status, Header: h, Body: io.NopCloser(body), Trailer: http.Header{}}
}

func served(text string) func(*http.Request) (*http.Response, error) {
	return func(*http.Request) (*http.Response, error) {
		return reply(http.StatusOK, &verdict.Verdict{Execution: verdict.Ran, Reason: verdict.ReasonOK}, strings.NewReader(text)), nil
	}
}

func refused(reason verdict.Reason) func(*http.Request) (*http.Response, error) {
	return func(*http.Request) (*http.Response, error) {
		return reply(reason.HTTPStatus(), verdict.Refuse(reason, "test"), strings.NewReader("{}")), nil
	}
}

func broken(*http.Request) (*http.Response, error) { return nil, errors.New("connection reset") }

// inTurn answers with the next of answers and stays with the last.
func inTurn(answers ...func(*http.Request) (*http.Response, error)) func(*http.Request) (*http.Response, error) {
	return func(r *http.Request) (*http.Response, error) {
		next := answers[0]
		if len(answers) > 1 {
			answers = answers[1:]
		}
		return next(r)
	}
}

// fakeClaims grants every claim, or answers with result.
type fakeClaims struct {
	result   *rpc.ClaimResult
	err      error
	neverRan bool
	// lookupBy is the time given to the last lookup.
	lookupBy time.Time
	asked    int
	outcomes []rpc.ClaimOutcomeParams
}

func (f *fakeClaims) claim(context.Context, rpc.ClaimParams) (rpc.ClaimResult, error) {
	f.asked++
	if f.result != nil || f.err != nil {
		result := rpc.ClaimResult{}
		if f.result != nil {
			result = *f.result
		}
		return result, f.err
	}
	return rpc.ClaimResult{Granted: "claim-1"}, nil
}

func (f *fakeClaims) outcome(p rpc.ClaimOutcomeParams) { f.outcomes = append(f.outcomes, p) }

func (f *fakeClaims) unseen(_ state.CallerName, _ string, by time.Time) bool {
	f.lookupBy = by
	return f.neverRan
}

func (f *fakeClaims) self() state.ProcessID { return state.ProcessID{Name: "entry-1"} }

// sinkSpy remembers the verdicts. Benchmarks call it from many goroutines.
type sinkSpy struct {
	mu       sync.Mutex
	verdicts []*verdict.Verdict
	// heard counts the other calls by name.
	heard map[string]int
}

func (s *sinkSpy) ended(_ *execution, v *verdict.Verdict) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.verdicts = append(s.verdicts, v)
}

func (s *sinkSpy) hear(call string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.heard[call]++
}

func (s *sinkSpy) retried(*request, verdict.Reason) { s.hear("retried") }

func (s *sinkSpy) hedged(*request, telemetry.HedgeResult) { s.hear("hedged") }

func (s *sinkSpy) resumed(result telemetry.ResumeResult) { s.hear(string(result)) }

func (s *sinkSpy) waited(*request, time.Duration) { s.hear("waited") }

func (s *sinkSpy) streamed(*request, time.Duration) { s.hear("streamed") }

func (s *sinkSpy) coldStarted(target, time.Duration) { s.hear("cold") }

func (s *sinkSpy) ejected(_ target, upstream state.UpstreamName, cause telemetry.EjectionCause) {
	s.hear("ejected " + string(upstream) + " " + string(cause))
}

type gatewayBench struct {
	*gateway
	agents *fakeAgents
	claims *fakeClaims
	sink   *sinkSpy
	target target
}

// newGatewayBench returns a gateway with one replica at each of addresses.
func newGatewayBench(t *testing.T, agents *fakeAgents, addresses ...string) *gatewayBench {
	t.Helper()
	config := state.NewConfig()
	current := &view{config: config.View(), region: state.NewRegionTables().View(), ready: true, ring: membership.NewRing(nil)}
	b := &gatewayBench{agents: agents, claims: &fakeClaims{}, sink: &sinkSpy{heard: make(map[string]int)}, target: target{service: "tickets"}}
	client := &http.Client{Transport: agents}
	b.gateway = &gateway{
		cfg:  gatewayConfig{requestLimits: requestLimits{bodyLimit: state.MiB, defaultDeadline: 30 * time.Second}},
		view: func() *view { return current }, claims: b.claims, sink: b.sink,
		kick: func(target) {}, touch: func(target) {},
		client: client, onceClient: client,
		limiter:   admission.NewLimiter(admission.LimiterConfig{}),
		estimator: estimate.New(estimate.Config{}), retries: retry.NewBudget(retry.Config{}),
		hedges: routing.NewHedgeBudget(routing.HedgeConfig{}), volume: routing.NewVolumeBudget(routing.VolumeConfig{}),
	}
	b.cfg.route = routeConfig{slots: 4, place: "dc", region: "north", seed: 1, loads: &b.loads}
	b.suspects = newSuspects(&Entry{}, t.Context())
	var replicas []rpc.ReplicaAt
	for _, address := range addresses {
		replicas = append(replicas, rpc.ReplicaAt{
			Replica: state.Replica{Upstream: state.UpstreamName(address)}, TrafficAddr: address, DataCentre: "dc", Region: "north",
		})
	}
	current.services = map[state.ServiceName][]rpc.ReplicaAt{"tickets": replicas}
	return b
}

// send takes a request through the gateway. The idempotent one may be
// repeated; the other carries an idempotency key.
func (b *gatewayBench) send(ctx context.Context, idempotent bool, change func(*request)) (*httptest.ResponseRecorder, error) {
	recorder := httptest.NewRecorder()
	r := httptest.NewRequestWithContext(ctx, http.MethodPost, "/v1/services/tickets/issue", http.NoBody)
	x := &exchange{request: r, answer: &answerWriter{ResponseWriter: recorder}}
	ctx = context.WithValue(ctx, exchangeKey{}, x)
	now := time.Now()
	req := &request{id: "r1", target: b.target, arrived: now, deadline: now.Add(30 * time.Second), idempotent: idempotent, body: []byte("{}")}
	if !idempotent {
		req.key = testKey
	}
	if change != nil {
		change(req)
	}
	if req.header != nil {
		r.Header = req.header
	}
	err := func() (err error) {
		defer func() {
			if p := recover(); p != nil {
				err = p.(error)
			}
		}()
		return b.serve(ctx, b.view(), attributes{}, req)
	}()
	return recorder, err
}

func agentsOf(answers map[string]func(*http.Request) (*http.Response, error)) *fakeAgents {
	return &fakeAgents{answer: answers}
}

type answers = map[string]func(*http.Request) (*http.Response, error)

// Guards against a refused attempt ending a request that has time left, and
// against the use of the retry budget for waiting.
func TestFullReplicaIsWaitedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		agents := agentsOf(answers{"a": inTurn(refused(verdict.ReasonQueueFull), refused(verdict.ReasonQueueFull), served("done"))})
		b := newGatewayBench(t, agents, "a")
		b.retries = retry.NewBudget(retry.Config{Burst: 0.001})
		got, err := b.send(t.Context(), true, nil)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(got.Body.String()).To(Equal("done"))
		g.Expect(agents.calls).To(HaveLen(3))
	})
}

// Guards against "not run" for a request whose first attempt may have run and
// whose second was refused.
func TestEarlierAttemptDecidesVerdict(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		b := newGatewayBench(t, agentsOf(answers{"a": inTurn(broken, refused(verdict.ReasonQuarantined))}), "a")
		_, err := b.send(t.Context(), true, nil)
		v := verdict.Of(err)
		g.Expect(v.Reason).To(Equal(verdict.ReasonQuarantined))
		g.Expect(v.Execution).To(Equal(verdict.MayHaveRun))
	})
}

// Guards against a cut answer that looks whole, and against its repetition
// after the caller has received a part.
func TestCutAnswerAborts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		cut := func(*http.Request) (*http.Response, error) {
			body := io.MultiReader(strings.NewReader("half"), iotest.ErrReader(errors.New("connection reset")))
			return reply(http.StatusOK, nil, body), nil
		}
		agents := agentsOf(answers{"a": inTurn(cut, served("whole"))})
		b := newGatewayBench(t, agents, "a")
		got, err := b.send(t.Context(), true, nil)
		g.Expect(err).To(MatchError(http.ErrAbortHandler))
		g.Expect(got.Body.String()).To(Equal("half"))
		g.Expect(agents.calls).To(HaveLen(1))
		g.Expect(b.sink.verdicts[0].Execution).To(Equal(verdict.MayHaveRun))
	})
}

// Guards against a request that is lost when its replica's agent is gone, and
// against a dial failure counting as a run.
func TestUnreachableAgentIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		unreachable := func(*http.Request) (*http.Response, error) {
			return nil, &net.OpError{Op: "dial", Err: errors.New("refused")}
		}
		b := newGatewayBench(t, agentsOf(answers{"a": unreachable, "b": served("done")}), "a", "b")
		for range 8 {
			got, err := b.send(t.Context(), false, nil)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(got.Body.String()).To(Equal("done"))
		}
		for _, outcome := range b.claims.outcomes {
			g.Expect(outcome.Void != nil || outcome.Done != nil).To(BeTrue())
		}
	})
}

// Guards against a verdict that reaches the caller after the deadline, and
// against one that says of work under way that it was not run.
func TestVerdictComesBeforeTheDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		hang := func(r *http.Request) (*http.Response, error) {
			<-r.Context().Done()
			return nil, r.Context().Err()
		}
		for _, patience := range []time.Duration{2 * time.Second, 5 * time.Second} {
			for _, repeatable := range []bool{true, false} {
				b := newGatewayBench(t, agentsOf(answers{"a": hang}), "a")
				started := time.Now()
				_, err := b.send(t.Context(), repeatable, func(r *request) { r.deadline = started.Add(patience) })
				v := verdict.Of(err)
				g.Expect(v.Reason).To(Equal(verdict.ReasonDeadlineExceeded))
				g.Expect(v.Execution).To(Equal(verdict.MayHaveRun))
				left := patience - time.Since(started)
				g.Expect(left).To(Equal(50 * time.Millisecond))
			}
		}
	})
}

// Guards against upstream work that goes on after its caller has left, and
// against a waiting request that outlives its deadline.
func TestCallerAndDeadlineEndRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ended := make(chan struct{})
		hang := func(r *http.Request) (*http.Response, error) {
			<-r.Context().Done()
			close(ended)
			return nil, r.Context().Err()
		}
		b := newGatewayBench(t, agentsOf(answers{"a": hang}), "a")
		ctx, leave := context.WithCancel(t.Context())
		time.AfterFunc(time.Second, leave)
		_, err := b.send(ctx, true, nil)
		<-ended
		g.Expect(verdict.Of(err).Reason).To(Equal(verdict.ReasonCallerGone))

		empty := newGatewayBench(t, agentsOf(nil))
		started := time.Now()
		stop := make(chan struct{})
		go func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(expireInterval):
					empty.routes.each(func(r *route) { r.room.expire(time.Now()) })
				}
			}
		}()
		_, err = empty.send(t.Context(), true, func(r *request) { r.deadline = started.Add(2 * time.Second) })
		close(stop)
		g.Expect(verdict.Of(err).Execution).To(Equal(verdict.NotRun))
		g.Expect(time.Since(started)).To(BeNumerically("<=", 2*time.Second+expireInterval))
	})
}
