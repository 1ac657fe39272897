package standin_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
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

var (
	_ platform.Log      = (*standin.Log)(nil)
	_ platform.HostList = (*standin.Hosts)(nil)
	_ platform.Engine   = (*standin.Engine)(nil)
	_ standin.Fetcher   = (*standin.Store)(nil)
	_ standin.Fetcher   = (*standin.HTTPFetcher)(nil)
)

// post sends body to handler without a network; aborted tells that the
// handler ended the connection.
func post(ctx context.Context, handler http.Handler, path, body string, header ...string) (answer *httptest.ResponseRecorder, aborted bool) {
	req := httptest.NewRequestWithContext(ctx, http.MethodPost, path, strings.NewReader(body))
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	answer = httptest.NewRecorder()
	defer func() { aborted = recover() != nil }()
	handler.ServeHTTP(answer, req)
	return answer, false
}

// Guards against a log that takes more than its rate, keeps more than its
// retention, or wakes no waiting reader.
func TestLogLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		log := standin.NewLog(standin.LogConfig{AppendsPerSecond: 10, Burst: 1, RetainFor: time.Minute})
		_, err := log.Append(t.Context(), "s", []state.Record{{ID: "a"}, {ID: "b"}})
		g.Expect(err).NotTo(HaveOccurred())
		_, err = log.Append(t.Context(), "s", []state.Record{{ID: "c"}})
		g.Expect(errors.Is(err, platform.ErrUnavailable)).To(BeTrue())
		began := time.Now()
		time.AfterFunc(5*time.Second, func() { _, _ = log.Append(t.Context(), "s", []state.Record{{ID: "d"}}) })
		page, err := log.Read(t.Context(), "s", 2, 10, 10*time.Second)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(page.Records[0].ID).To(Equal("d"))
		g.Expect(time.Since(began)).To(Equal(5 * time.Second))
		time.Sleep(57 * time.Second)
		page, err = log.Read(t.Context(), "s", 0, 10, 0)
		g.Expect(errors.Is(err, platform.ErrTruncated)).To(BeTrue())
		g.Expect(page.Oldest).To(Equal(state.Offset(2)))
	})
}

// Guards against a store that is faster or slower than the platform's.
func TestStoreSharesItsSpeed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		store := standin.NewStore(standin.StoreConfig{LoadsPerSecond: 1000, BytesPerSecond: state.GiB})
		loads := func(count int, load func() error) time.Duration {
			began := time.Now()
			done := make(chan error, count)
			for range count {
				go func() { done <- load() }()
			}
			for range count {
				g.Expect(<-done).To(Succeed())
			}
			return time.Since(began)
		}
		weights := func() error { return store.FetchWeights(t.Context(), 4*state.GiB) }
		adapter := func() error { return store.FetchAdapter(t.Context()) }
		slack := 20 * time.Millisecond
		g.Expect(loads(4, weights)).To(BeNumerically("~", 4*time.Second, slack))
		g.Expect(loads(8, weights)).To(BeNumerically("~", 8*time.Second, slack))
		g.Expect(loads(30, adapter)).To(BeNumerically("~", 8*time.Millisecond, time.Millisecond))
		g.Expect(loads(90, adapter)).To(BeNumerically("~", 24*time.Millisecond, time.Millisecond))
		store.SetFaults(standin.StoreFaults{Slowdown: 3})
		g.Expect(loads(1, weights)).To(BeNumerically("~", 12*time.Second, slack))
		limited := standin.NewStore(standin.StoreConfig{})
		tiny := func() error { return limited.FetchWeights(t.Context(), 1) }
		g.Expect(loads(7, tiny)).To(BeNumerically("~", 2*time.Second, slack), "3 loads a second")
	})
}

// Guards against a host list that shows changes too early or never.
func TestHostsLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		hosts := standin.NewHosts(10*time.Second, platform.HostInfo{Name: "a"}, platform.HostInfo{Name: "b"})
		hosts.Set(platform.HostInfo{Name: "a", State: platform.HostLeaving})
		hosts.Remove("b")
		time.Sleep(9 * time.Second)
		list, err := hosts.Hosts(t.Context())
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(list).To(HaveLen(2))
		time.Sleep(time.Second)
		list, err = hosts.Hosts(t.Context())
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(list).To(Equal([]platform.HostInfo{{Name: "a", State: platform.HostLeaving}}))
	})
}

// Guards against a fault switch that resets the others, and against doubled
// work that the service does not show.
func TestServiceCountsAndFaults(t *testing.T) {
	g := NewWithT(t)
	service := standin.NewService("tickets", "order")
	service.SetFaults(standin.ServiceFaults{FailNext: 1})
	answer, _ := post(t.Context(), service, standin.PathFaults, `{"lose_next":1}`)
	g.Expect(answer.Code).To(Equal(http.StatusOK))
	g.Expect(service.Faults()).To(Equal(standin.ServiceFaults{FailNext: 1, LoseNext: 1}))
	_, aborted := post(t.Context(), service, "/issue", `{"order":"7"}`)
	g.Expect(aborted).To(BeTrue())
	answer, _ = post(t.Context(), service, "/issue", `{"order":"7"}`)
	g.Expect(answer.Code).To(Equal(http.StatusInternalServerError))
	_, _ = post(t.Context(), service, "/issue", `{}`, standin.HeaderIdempotencyKey, "k")
	g.Expect(service.Executions()).To(Equal(map[string]int{"7": 2, "k": 1}))
}

// Guards against stand-ins that run what they have turned away.
func TestRefusedRequestsAreNotRun(t *testing.T) {
	const (
		switches = `{"refuse_next":1,"retry_after":"2.5"}`
		refused  = http.StatusServiceUnavailable
	)
	t.Run("service", func(t *testing.T) {
		g := NewWithT(t)
		service := standin.NewService("tickets", "order")
		_, _ = post(t.Context(), service, standin.PathFaults, switches)
		answer, _ := post(t.Context(), service, "/issue", `{"order":"7"}`)
		g.Expect(answer.Code).To(Equal(refused))
		g.Expect(answer.Header().Get("Retry-After")).To(Equal("2.5"))
		g.Expect(service.Executions()).To(BeEmpty())
		answer, _ = post(t.Context(), service, "/issue", `{"order":"7"}`)
		g.Expect(answer.Code).To(Equal(http.StatusOK))
		g.Expect(service.Executions()).To(Equal(map[string]int{"7": 1}))
	})
	t.Run("engine", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			engine := loaded(t, standin.EngineConfig{})
			_, _ = post(t.Context(), engine, standin.PathFaults, switches)
			answer, _ := post(t.Context(), engine, standin.PathCompletions, `{"model":"m"}`)
			g.Expect(answer.Code).To(Equal(refused))
			g.Expect(answer.Header().Get("Retry-After")).To(Equal("2.5"))
			g.Expect(started(t, engine)).To(BeZero())
			answer, _ = post(t.Context(), engine, standin.PathCompletions, `{"model":"m"}`)
			g.Expect(answer.Code).To(Equal(http.StatusOK))
			g.Expect(started(t, engine)).To(Equal(1))
		})
	})
}

// Guards against faults by share or by time that spare all requests or hit all, and against
// a cut answer that looks whole.
func TestFaultsByShareAndTime(t *testing.T) {
	const whole, stream = `{"model":"m","max_tokens":4}`, `{"model":"m","max_tokens":4,"stream":true}`
	for _, c := range []struct {
		switches     string
		refused, cut int
	}{
		{`{"refuse_every":8}`, 3, 0},
		{`{"refuse_every":3}`, 10, 0},
		{`{"refuse_for":"150ms"}`, 6, 0},
		{`{"cut_every":8}`, 0, 3},
	} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			check := func(upstream http.Handler, path, body string) {
				_, _ = post(t.Context(), upstream, standin.PathFaults, c.switches)
				refused, cut := 0, 0
				for range 30 {
					time.Sleep(time.Until(time.Now().Truncate(100 * time.Millisecond).Add(100 * time.Millisecond)))
					answer, aborted := post(t.Context(), upstream, path, body)
					switch {
					case aborted:
						cut++
					case answer.Code == http.StatusServiceUnavailable:
						refused++
					default:
						g.Expect(answer.Code).To(Equal(http.StatusOK))
					}
				}
				g.Expect([]int{refused, cut}).To(Equal([]int{c.refused, c.cut}), "%s %s", path, c.switches)
			}
			check(loaded(t, standin.EngineConfig{}), standin.PathCompletions, whole)
			check(loaded(t, standin.EngineConfig{}), standin.PathCompletions, stream)
			check(standin.NewService("tickets", "order"), "/issue", `{"order":"7"}`)
		})
	}
}

// started returns how many requests the engine began to run.
func started(t *testing.T, engine http.Handler) int {
	answer, _ := post(t.Context(), engine, standin.PathCounters, "")
	var counters standin.EngineCounters
	NewWithT(t).Expect(json.Unmarshal(answer.Body.Bytes(), &counters)).To(Succeed())
	return counters.Started
}
