package retry

import (
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/verdict"
)

// Step is what becomes of a request after a failed attempt.
type Step uint8

const (
	// Refuse answers the caller with the verdict of the attempt.
	Refuse Step = iota
	// Elsewhere sends the request to a replica that has not failed it.
	Elsewhere
	// Again sends the request, after a backoff, to a replica that has failed it.
	Again
	// AwaitLoad waits until a replica of the request's target is loaded.
	AwaitLoad
)

// String returns the form of s in logs.
func (s Step) String() string {
	switch s {
	case Elsewhere:
		return "elsewhere"
	case Again:
		return "again"
	case AwaitLoad:
		return "await-load"
	default:
		return "refuse"
	}
}

// Obstacle is what keeps a request from being sent again.
type Obstacle string

const (
	// NoObstacle means that the request may be sent again.
	NoObstacle Obstacle = ""
	// ObstacleFinal is a verdict that no further attempt changes.
	ObstacleFinal Obstacle = "final_verdict"
	// ObstacleQuarantine is the verdict of a quarantined request.
	ObstacleQuarantine Obstacle = "quarantine"
	// ObstacleMayHaveRun means that the request may have run, and must not run twice.
	ObstacleMayHaveRun Obstacle = "may_have_run"
	// ObstacleDelivered means that the caller has received part of the response, and
	// the rest can't be requested.
	ObstacleDelivered Obstacle = "delivered"
	// ObstacleAttempts means that all attempts of the request are used.
	ObstacleAttempts Obstacle = "attempts"
	// ObstacleBudget means that the retry budget is spent.
	ObstacleBudget Obstacle = "retry_budget"
	// ObstacleTime means that the deadline is too near.
	ObstacleTime Obstacle = "time"
	// ObstaclePause means that all replicas are in a pause or have reached their rate limits.
	ObstaclePause Obstacle = "pause"
	// ObstacleReplicas means that no replica is fit for the request otherwise.
	ObstacleReplicas Obstacle = "no_replica"
)

// Replicas counts the replicas of a request's target after a failed attempt. Those that
// can't be reached or don't hold the target any more do not count.
type Replicas struct {
	// Untried have not failed the request and can take it in time.
	Untried int
	// Failed have refused or failed the request and may get it again.
	Failed int
	// Delayed are in a pause or have reached their rate limits, and would take the request
	// too late.
	Delayed int
	// Unfit have refused or failed the request, and others as well.
	Unfit int
}

// Next returns what becomes of a request after a failed attempt, and why if it is refused. It
// takes nothing from the budget. A load is awaited only if no replica is left at all: while
// there is one, even one that must not get the request now, no load is certain to be on its
// way.
func (b *Budget) Next(now time.Time, a Attempt, r Replicas) (Step, Obstacle) {
	obstacle := b.obstacle(now, a)
	switch {
	case obstacle != NoObstacle:
		return Refuse, obstacle
	case r.Untried > 0:
		return Elsewhere, NoObstacle
	case r.Failed > 0:
		return Again, NoObstacle
	case r.Delayed > 0:
		return Refuse, ObstaclePause
	case r.Unfit > 0:
		return Refuse, ObstacleReplicas
	default:
		return AwaitLoad, NoObstacle
	}
}

// obstacle returns what forbids a further attempt, wherever it would go.
func (b *Budget) obstacle(now time.Time, a Attempt) Obstacle {
	switch {
	case a.Streamed:
		return ObstacleDelivered
	case a.Verdict != nil && a.Verdict.Reason == verdict.ReasonQuarantined:
		return ObstacleQuarantine
	case a.Verdict == nil, !transientReasons[a.Verdict.Reason], a.Verdict.Execution == verdict.Ran:
		return ObstacleFinal
	case a.Verdict.Execution == verdict.MayHaveRun && !a.Repeatable:
		return ObstacleMayHaveRun
	case a.Number >= b.cfg.MaxAttempts:
		return ObstacleAttempts
	case !now.Add(a.Cost).Before(a.Deadline):
		return ObstacleTime
	case b.tokens < 1:
		return ObstacleBudget
	default:
		return NoObstacle
	}
}
