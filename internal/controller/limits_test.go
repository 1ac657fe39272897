package controller_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lagoonvalve/lagoonvalve/internal/controller"
	"github.com/lagoonvalve/lagoonvalve/internal/fleet"
	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// limitObserved returns the report of a limit of the upstream u0.
func limitObserved(limited bool, perSecond float64) rpc.AnswerObservation {
	// The start of the harness's upstreams is the zero time.
	return rpc.AnswerObservation{Upstream: "u0", Started: time.Time{}.UnixMilli(), Limited: limited, PerSecond: perSecond}
}

func requestPermit(ctx context.Context, h *harness, c *controller.Controller, gateway string, perSecond float64, maxWait time.Duration) rpc.PermitResult {
	result, err := c.Permit(ctx, rpc.PermitParams{Gateway: gateway, Limit: limitObserved(true, perSecond), MaxWait: state.Duration(maxWait)})
	h.g.Expect(err).NotTo(HaveOccurred())
	return result
}

// Guards against issue 24, LIMIT: an upstream that names a limit for all gateways
// together gets that number from each of them.
func TestGatewaysShareTheLimitOfAnUpstream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		h := newHarness(t, 3, 2)
		c := h.start(ctx, "a")
		time.Sleep(time.Second)
		const perSecond, seconds = 1.5, 40
		var valid []time.Time
		for range seconds * 10 {
			for _, gateway := range []string{"g", "h", "i", "j", "k", "l"} {
				now := time.Now()
				if result := requestPermit(ctx, h, c, gateway, perSecond, 200*time.Millisecond); result.Granted {
					valid = append(valid, now.Add(result.Delay.Std()))
				} else {
					h.g.Expect(result.Delay.Std()).To(BeNumerically(">", 200*time.Millisecond))
				}
			}
			time.Sleep(100 * time.Millisecond)
		}
		h.g.Expect(float64(len(valid))).To(BeNumerically("~", perSecond*seconds, 2), "the limit is used")
		const window = 4 * time.Second
		for i, first := range valid {
			n := 0
			for _, at := range valid[i:] {
				if at.Sub(first) < window {
					n++
				}
			}
			h.g.Expect(float64(n)).To(BeNumerically("<=", perSecond*window.Seconds()+1))
		}
		cancel()
		synctest.Wait()
	})
}

// Guards against permits that a new holder grants beside those of the former one, which
// gateways go on using: an upstream got up to twice its limit.
func TestNewHolderGrantsAfterThePermitsOfTheFormerOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		h := newHarness(t, 1, 1)
		c := h.start(ctx, "a")
		time.Sleep(time.Second)
		const perSecond, held = 20, 5 * time.Second
		observed := limitObserved(true, perSecond)
		observed.GrantedBy, observed.GrantedUntil = 1_000, state.Duration(held)
		_, err := c.ReportAnswers(ctx, rpc.AnswersParams{Gateway: "g", Answers: []rpc.AnswerObservation{observed}})
		h.g.Expect(err).NotTo(HaveOccurred())
		h.g.Expect(requestPermit(ctx, h, c, "h", perSecond, held-time.Second).Granted).To(BeFalse())
		for i := range 10 {
			result := requestPermit(ctx, h, c, "h", perSecond, time.Minute)
			h.g.Expect(result.Granted).To(BeTrue())
			want := held + time.Duration(i)*time.Second/perSecond
			h.g.Expect(result.Delay.Std()).To(BeNumerically("~", want, 100*time.Millisecond))
			// What the holder has granted itself does not defer its next permits.
			observed.GrantedBy, observed.GrantedUntil, observed.EarlierUntil = result.Term, state.Duration(time.Minute), state.Duration(held)
			_, err := c.ReportAnswers(ctx, rpc.AnswersParams{Gateway: "g", Answers: []rpc.AnswerObservation{observed}})
			h.g.Expect(err).NotTo(HaveOccurred())
		}
		cancel()
		synctest.Wait()
	})
}

// Guards against gateways that don't receive a limit or its end, and against an old
// report that replaces a newer one.
func TestLimitsArePublished(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		h := newHarness(t, 1, 1)
		c := h.start(ctx, "a")
		time.Sleep(time.Second)
		published := func() (bool, float64) {
			time.Sleep(100 * time.Millisecond)
			result, err := c.Residency(ctx, rpc.ResidencyParams{Gateway: "g"})
			h.g.Expect(err).NotTo(HaveOccurred())
			h.g.Expect(result.Upstreams).To(HaveLen(1))
			return result.Upstreams[0].Limited, result.Upstreams[0].PerSecond
		}
		report := func(o rpc.AnswerObservation) {
			_, err := c.ReportAnswers(ctx, rpc.AnswersParams{Gateway: "g", Answers: []rpc.AnswerObservation{o}})
			h.g.Expect(err).NotTo(HaveOccurred())
		}
		report(limitObserved(false, 0))
		limited, _ := published()
		h.g.Expect(limited).To(BeFalse())
		report(limitObserved(true, 2))
		limited, perSecond := published()
		h.g.Expect(limited).To(BeTrue())
		h.g.Expect(perSecond).To(Equal(2.0))
		old := limitObserved(false, 0)
		old.Age = state.Duration(time.Minute)
		report(old)
		limited, _ = published()
		h.g.Expect(limited).To(BeTrue())
		report(limitObserved(false, 0))
		limited, _ = published()
		h.g.Expect(limited).To(BeFalse())
		cancel()
		synctest.Wait()
	})
}

// Guards against an upstream that gets no request again after it has named zero: nobody
// would receive that the limit has ended.
func TestLimitOfZeroIsProbed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		h := newHarness(t, 1, 1)
		c := h.start(ctx, "a")
		time.Sleep(time.Second)
		granted := 0
		for range 300 {
			if requestPermit(ctx, h, c, "g", 0, 0).Granted {
				granted++
			}
			time.Sleep(100 * time.Millisecond)
		}
		h.g.Expect(granted).To(BeNumerically("~", 3, 1))
		cancel()
		synctest.Wait()
	})
}

// Guards against a limit that outlasts the restart of its upstream.
func TestLimitEndsWithARestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		h := newHarness(t, 1, 1)
		first := h.fleet.Upstreams[0]
		first.Started = time.UnixMilli(1000)
		c := h.start(ctx, "a")
		time.Sleep(time.Second)
		limit := limitObserved(true, 2)
		limit.Started = 1000
		_, err := c.ReportAnswers(ctx, rpc.AnswersParams{Gateway: "g", Answers: []rpc.AnswerObservation{limit}})
		h.g.Expect(err).NotTo(HaveOccurred())
		limited := func() bool {
			time.Sleep(time.Second)
			result, err := c.Residency(ctx, rpc.ResidencyParams{Gateway: "g"})
			h.g.Expect(err).NotTo(HaveOccurred())
			return result.Upstreams[0].Limited
		}
		h.g.Expect(limited()).To(BeTrue())
		restarted := *first
		restarted.Started = time.UnixMilli(2000)
		c.Update(&controller.Fleet{Manifest: h.fleet.Manifest, Upstreams: []*fleet.Upstream{&restarted}})
		h.g.Expect(limited()).To(BeFalse())
		cancel()
		synctest.Wait()
	})
}
