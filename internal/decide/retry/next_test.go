package retry_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lagoonvalve/lagoonvalve/internal/decide/retry"
	"github.com/lagoonvalve/lagoonvalve/internal/verdict"
)

// Guards against issue 35: a request that waits for a load that nothing orders, one that is
// given up although a replica could serve it, and one that is sent again although its verdict,
// the budget or its deadline forbid it.
func TestNext(t *testing.T) {
	refused := verdict.Refuse(verdict.ReasonShed, "")
	failed := verdict.Unknown(verdict.ReasonUpstreamFailed, "")
	final := verdict.Refuse(verdict.ReasonQuarantined, "")
	const runsOnce, repeatable = false, true
	for _, c := range []struct {
		name       string
		verdict    *verdict.Verdict
		repeatable bool
		replicas   retry.Replicas
		want       retry.Step
		obstacle   retry.Obstacle
	}{
		{"refused, another replica", refused, runsOnce, retry.Replicas{Untried: 1, Failed: 1}, retry.Elsewhere, retry.NoObstacle},
		{"refused, others unfit, one left", refused, runsOnce, retry.Replicas{Untried: 1, Unfit: 3}, retry.Elsewhere, retry.NoObstacle},
		{"refused by the only one", refused, runsOnce, retry.Replicas{Failed: 1}, retry.Again, retry.NoObstacle},
		{"refused by all of several", refused, runsOnce, retry.Replicas{Failed: 2, Unfit: 1}, retry.Again, retry.NoObstacle},
		{"refused, all refuse others too", refused, runsOnce, retry.Replicas{Unfit: 2}, retry.Refuse, retry.ObstacleReplicas},
		{"refused, all want a pause", refused, runsOnce, retry.Replicas{Delayed: 1, Unfit: 1}, retry.Refuse, retry.ObstaclePause},
		{"the caller has left", verdict.Refuse(verdict.ReasonCallerGone, ""), repeatable, retry.Replicas{Untried: 1}, retry.Refuse, retry.ObstacleFinal},
		{"refused, no replica is left", refused, runsOnce, retry.Replicas{}, retry.AwaitLoad, retry.NoObstacle},
		{"failed, may run again, another replica", failed, repeatable, retry.Replicas{Untried: 1}, retry.Elsewhere, retry.NoObstacle},
		{"failed, may run again, the only one", failed, repeatable, retry.Replicas{Failed: 1}, retry.Again, retry.NoObstacle},
		{"failed, may run again, it fails others too", failed, repeatable, retry.Replicas{Unfit: 1}, retry.Refuse, retry.ObstacleReplicas},
		{"failed, may run again, no replica is left", failed, repeatable, retry.Replicas{}, retry.AwaitLoad, retry.NoObstacle},
		{"failed, runs once, another replica", failed, runsOnce, retry.Replicas{Untried: 1}, retry.Refuse, retry.ObstacleMayHaveRun},
		{"failed, runs once, the only one", failed, runsOnce, retry.Replicas{Failed: 1}, retry.Refuse, retry.ObstacleMayHaveRun},
		{"failed, runs once, no replica is left", failed, runsOnce, retry.Replicas{}, retry.Refuse, retry.ObstacleMayHaveRun},
		{"quarantined", final, repeatable, retry.Replicas{Untried: 1, Failed: 1}, retry.Refuse, retry.ObstacleQuarantine},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			a := retry.Attempt{Verdict: c.verdict, Number: 1, Repeatable: c.repeatable, Deadline: now.Add(time.Second)}
			budget := retry.NewBudget(retry.Config{Burst: 1})
			next := func(at time.Time) []any {
				step, obstacle := budget.Next(at, a, c.replicas)
				return []any{step, obstacle}
			}
			g.Expect(next(now)).To(Equal([]any{c.want, c.obstacle}))
			if c.want == retry.Refuse {
				return
			}
			g.Expect(next(now.Add(time.Second))).To(Equal([]any{retry.Refuse, retry.ObstacleTime}))
			a.Number = 4
			g.Expect(next(now)).To(Equal([]any{retry.Refuse, retry.ObstacleAttempts}))
			a.Number = 1
			_, ok := budget.Decide(now, newRand(), a)
			g.Expect(ok).To(BeTrue())
			g.Expect(next(now)).To(Equal([]any{retry.Refuse, retry.ObstacleBudget}))
		})
	}
}

// Guards against repeats at a replica that has failed the request so soon that it fails again,
// all at the same moment, or too late to be of use.
func TestBackoffAtTheSameReplica(t *testing.T) {
	g := NewWithT(t)
	budget := retry.NewBudget(retry.Config{Burst: 1000})
	rng := newRand()
	a := failedAttempt(verdict.Refuse(verdict.ReasonShed, ""))
	a.Number, a.SameReplica = 3, true
	for repeats, longest := range []time.Duration{200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond} {
		a.Repeats = repeats
		seen := make(map[time.Duration]bool)
		for range 50 {
			wait, ok := budget.Decide(now, rng, a)
			g.Expect(ok).To(BeTrue())
			g.Expect(wait).To(And(BeNumerically(">=", longest/2), BeNumerically("<=", longest)))
			seen[wait] = true
		}
		g.Expect(len(seen)).To(BeNumerically(">", 40))
	}
	a.Deadline = now.Add(300 * time.Millisecond)
	_, ok := budget.Decide(now, rng, a)
	g.Expect(ok).To(BeFalse())
}
