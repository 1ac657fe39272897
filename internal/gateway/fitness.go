package gateway

import (
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/decide/retry"
	"github.com/lagoonvalve/lagoonvalve/internal/fleet"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// exclusion is why an upstream does not get a request once more, or only if no other
// upstream is left.
type exclusion uint8

const (
	notExcluded exclusion = iota
	// hasFailed: the upstream has refused or failed the request.
	hasFailed
	// isGone: the upstream can't be reached or doesn't hold the target any more.
	isGone
)

func (x *exchange) exclude(m *member, e exclusion) {
	if x.excluded == nil {
		x.excluded = make(map[state.UpstreamName]exclusion)
	}
	x.excluded[m.upstream.Name] = e
}

// replicasLeft counts the upstreams that hold the request's target by what they are to it.
func (x *exchange) replicasLeft(now time.Time) retry.Replicas {
	v := x.gateway.view.Load()
	limit := x.loadWaitDeadline(v)
	var r retry.Replicas
	for _, m := range v.service(x.service) {
		if !fleet.Holds(m.replicas, x.call.Target) {
			continue
		}
		switch f, _ := x.fitnessOf(m, now, limit); {
		case f == fit:
			r.Untried++
		case f == onlyAgain && m.stats.servesOthers(now):
			r.Failed++
		case f == onlyAgain:
			r.Unfit++
		case f == tooLate:
			r.Delayed++
		}
	}
	return r
}

// triedAll reports whether upstreams hold the target and none is left that has not failed
// the request and takes it in time. No load is certain to be on its way then.
func (x *exchange) triedAll(now time.Time) bool {
	r := x.replicasLeft(now)
	return r.Untried == 0 && r.Failed+r.Unfit+r.Delayed > 0
}

// fitness is what an upstream that holds the target is to a request.
type fitness uint8

const (
	// unusable: it leaves, or is excluded for good.
	unusable fitness = iota
	// tooLate: its rate limit or a pause delays the request for too long.
	tooLate
	// onlyAgain: it has failed the request, and may get it again.
	onlyAgain
	fit
)

// fitnessOf returns what an upstream is to the request, and the time until the request could
// be sent there. A pausing upstream that has failed the request is too late.
func (x *exchange) fitnessOf(m *member, now, latest time.Time) (fitness, time.Duration) {
	answers := m.stats.currentAnswers()
	pause := answers.PauseLeft(now)
	delay := max(m.stats.limit.permitDelay(now), pause)
	excluded := x.excluded[m.upstream.Name]
	switch {
	case answers.Leaving(), excluded == isGone && pause == 0:
		return unusable, 0
	case excluded != notExcluded && pause > 0, delay > 0 && now.Add(delay).After(latest):
		return tooLate, delay
	case excluded == hasFailed:
		return onlyAgain, delay
	default:
		return fit, delay
	}
}

// servesOthers reports whether an upstream that has failed one request is likely to serve
// others: it has served some, and is not ejected or avoided.
func (s *upstreamStats) servesOthers(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.answers.HasServed() && !s.answers.Avoided(now) && !s.health.Ejected(now)
}

// delayLeft returns the time until the first of the upstreams that hold the request's
// target takes requests again, zero if one does now or none holds it.
func (x *exchange) delayLeft(now time.Time) time.Duration {
	v := x.gateway.view.Load()
	limit := x.loadWaitDeadline(v)
	least := time.Duration(0)
	for _, m := range v.service(x.service) {
		if !fleet.Holds(m.replicas, x.call.Target) {
			continue
		}
		switch f, delay := x.fitnessOf(m, now, limit); {
		case f == fit, f == onlyAgain:
			return 0
		case f == tooLate && (least == 0 || delay < least):
			least = delay
		}
	}
	return least
}

// recordUnserved records what keeps the upstreams from taking the request, and reports its
// target as in demand: the controller may load it elsewhere.
func (x *exchange) recordUnserved(obstacle retry.Obstacle) {
	x.obstacle = obstacle
	x.gateway.demand.recordRefusal(x.call.Target)
}
