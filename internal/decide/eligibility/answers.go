package eligibility

import (
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/fleet"
)

// maxPause bounds a pause: an upstream that names a pause by mistake is asked again after
// this time.
const maxPause = time.Minute

// Answers is what one start of an upstream has said in its answers about further requests.
// The zero value has said nothing. It is updated with each answer that this gateway gets,
// and dropped when the upstream restarts or leaves the registry.
type Answers struct {
	// leaving says that the upstream is about to end. That holds for the rest of this
	// start, as answers overtake each other.
	leaving bool
	// pausedUntil is the end of the pause that the upstream has asked for.
	pausedUntil time.Time
}

// Record applies an answer that has arrived at the time now. It returns the reason for
// which requests are no longer sent from now on, Eligible if none is new.
func (a *Answers) Record(answer fleet.AnswerInfo, now time.Time) (began Reason) {
	if until := now.Add(min(answer.Pause, maxPause)); until.After(a.pausedUntil) && answer.Pause > 0 {
		if a.PauseLeft(now) == 0 {
			began = Paused
		}
		a.pausedUntil = until
	}
	if answer.Leaving && !a.leaving {
		a.leaving = true
		began = Leaving
	}
	return began
}

// Leaving reports whether the upstream has said that it is about to end.
func (a *Answers) Leaving() bool { return a.leaving }

// PauseLeft returns how long the upstream still wants no requests.
func (a *Answers) PauseLeft(now time.Time) time.Duration { return max(a.pausedUntil.Sub(now), 0) }
