package retry_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lagoonvalve/lagoonvalve/internal/decide/retry"
	"github.com/lagoonvalve/lagoonvalve/internal/verdict"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func source() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

func failed(v *verdict.Verdict) retry.Attempt {
	return retry.Attempt{Verdict: v, Number: 1, Deadline: epoch.Add(10 * time.Second), Cost: time.Second}
}

// Guards against a second run of non-idempotent work, and against retries of
// final verdicts.
func TestVerdictDecides(t *testing.T) {
	g := NewWithT(t)
	rng := source()
	decide := func(a retry.Attempt) bool {
		_, ok := retry.NewBudget(retry.Config{}).Decide(epoch, rng, a)
		return ok
	}
	notRun := failed(verdict.Refuse(verdict.ReasonQueueFull, ""))
	g.Expect(decide(notRun)).To(BeTrue())
	unknown := failed(verdict.Unknown(verdict.ReasonUpstreamFailed, ""))
	g.Expect(decide(unknown)).To(BeFalse())
	unknown.Repeatable = true
	g.Expect(decide(unknown)).To(BeTrue())
	unknown.Streamed = true
	g.Expect(decide(unknown)).To(BeFalse())
	quarantined := failed(verdict.Refuse(verdict.ReasonQuarantined, ""))
	quarantined.Repeatable = true
	g.Expect(decide(quarantined)).To(BeFalse())
	notRun.Number = 4
	g.Expect(decide(notRun)).To(BeFalse())
}

// Guards against retries that amplify an overload: all attempts fail.
func TestBudgetBoundsAmplification(t *testing.T) {
	g := NewWithT(t)
	b := retry.NewBudget(retry.Config{Burst: 5})
	rng := source()
	retries := 0
	for range 1000 {
		b.RecordRequest()
		a := failed(verdict.Refuse(verdict.ReasonQueueFull, ""))
		for {
			if _, ok := b.Decide(epoch, rng, a); !ok {
				break
			}
			retries++
			a.Number++
		}
	}
	g.Expect(retries).To(BeNumerically("~", 200, 6))
}

// Guards against attempts that cannot end in time and against backoff without
// jitter, growth or respect for Retry-After.
func TestBackoffStaysWithinDeadline(t *testing.T) {
	g := NewWithT(t)
	b := retry.NewBudget(retry.Config{Burst: 1000})
	rng := source()
	a := failed(verdict.Refuse(verdict.ReasonQueueFull, ""))
	a.Number = 3
	seen := make(map[time.Duration]bool)
	for range 50 {
		wait, ok := b.Decide(epoch, rng, a)
		g.Expect(ok).To(BeTrue())
		g.Expect(wait).To(And(BeNumerically(">=", 40*time.Millisecond), BeNumerically("<=", 80*time.Millisecond)))
		seen[wait] = true
	}
	g.Expect(len(seen)).To(BeNumerically(">", 40))
	a.Verdict = a.Verdict.WithRetryAfter(3 * time.Second)
	wait, ok := b.Decide(epoch, rng, a)
	g.Expect(ok).To(BeTrue())
	g.Expect(wait).To(Equal(3 * time.Second))
	a.Cost = 8 * time.Second
	_, ok = b.Decide(epoch, rng, a)
	g.Expect(ok).To(BeFalse())
}
