package eligibility

import (
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/fleet"
)

const (
	// maxPause bounds a pause: an upstream that names a longer one by mistake is not out
	// of use for good.
	maxPause = time.Hour
	// refusalsToAvoid is how many refusals, without a served request between, let an
	// upstream be avoided. One that is merely full serves others meanwhile.
	refusalsToAvoid = 3
	// minAvoidance is how long it is avoided then. Each further refusal doubles that,
	// up to maxAvoidance.
	minAvoidance = 200 * time.Millisecond
	maxAvoidance = 5 * time.Second
)

// Answers is the state that the answers of one start of an upstream imply for further
// requests. The zero value implies nothing. It is updated with each answer to this gateway
// and with the controller's reports of answers to others, and dropped when the upstream
// restarts or has been missing from the registry for a while.
type Answers struct {
	// leaving is set once the upstream is about to end. It stays set for the rest of this
	// start, as answers overtake each other.
	leaving bool
	// pausedUntil is the end of the pause that the upstream has requested.
	pausedUntil time.Time
	// refusals counts the refusals since the last served request, up to
	// refusalsToAvoid. avoidance is how long the last one lets the upstream be
	// avoided, and avoidedUntil is when that ends.
	refusals     int
	avoidance    time.Duration
	avoidedUntil time.Time
	// probing is set while a request is on its way whose outcome decides whether the
	// upstream is avoided for longer.
	probing bool
	// served is set once the upstream has answered a request and not refused it.
	served bool
}

// Record applies an answer that has arrived at the time now. It returns the reason for
// which requests are no longer sent from now on, Eligible if none is new.
func (a *Answers) Record(answer fleet.AnswerInfo, now time.Time) (began Reason) {
	if answer.Pause > 0 {
		began = a.recordPause(min(answer.Pause, maxPause), now)
	}
	if answer.Leaving && !a.leaving {
		a.leaving = true
		began = Leaving
	}
	return began
}

func (a *Answers) recordPause(d time.Duration, now time.Time) (began Reason) {
	if a.PauseLeft(now) == 0 {
		began = Paused
	}
	if until := now.Add(d); until.After(a.pausedUntil) {
		a.pausedUntil = until
	}
	return began
}

// Leaving reports whether the upstream has announced in an answer that it is about to end.
func (a *Answers) Leaving() bool { return a.leaving }

// RecordRefusal records that the upstream has refused a request. It returns Refusing if the
// upstream is avoided from now on and was not since its last served request.
func (a *Answers) RecordRefusal(now time.Time) (began Reason) {
	if a.Avoided(now) && !a.probing {
		// The request was sent before the first refusal arrived.
		return Eligible
	}
	if a.refusals++; a.refusals < refusalsToAvoid {
		return Eligible
	}
	a.refusals = refusalsToAvoid
	if a.avoidance == 0 {
		began = Refusing
	}
	a.avoidance = min(max(2*a.avoidance, minAvoidance), maxAvoidance)
	a.avoidedUntil, a.probing = now.Add(a.avoidance), false
	return began
}

// RecordServed records that the upstream has answered a request and not refused it.
func (a *Answers) RecordServed() {
	a.refusals, a.avoidance, a.avoidedUntil, a.probing = 0, 0, time.Time{}, false
	a.served = true
}

// HasServed reports whether the upstream has answered a request and not refused it.
func (a *Answers) HasServed() bool { return a.served }

// RecordChosen records that the upstream was chosen for a request. The first one after a
// time of avoidance is a probe: others avoid the upstream until its outcome is known.
func (a *Answers) RecordChosen(now time.Time) {
	if a.avoidance > 0 && !a.Avoided(now) {
		a.avoidedUntil, a.probing = now.Add(a.avoidance), true
	}
}

// Avoided reports whether a request goes to the upstream only if all others that hold its
// target are avoided as well: it has refused requests lately.
func (a *Answers) Avoided(now time.Time) bool { return now.Before(a.avoidedUntil) }

// PauseLeft returns the remaining time of the pause that the upstream has requested.
func (a *Answers) PauseLeft(now time.Time) time.Duration { return max(a.pausedUntil.Sub(now), 0) }
