// Package eligibility decides from an upstream's registry entry and from its answers whether
// a request may be sent to it. A choice goes out of date
// while the request waits for a permit or a connection, so the same check is made once
// more right before each send.
package eligibility

import "time"

// Reason is why a request must not be sent to an upstream.
type Reason string

// The reasons. Eligible means that the request may be sent.
const (
	Eligible  Reason = ""
	Gone      Reason = "gone"
	Restarted Reason = "restarted"
	Draining  Reason = "draining"
	Leaving   Reason = "leaving"
	Paused    Reason = "paused"
	NotHeld   Reason = "not_held"
)

// Refusing is the reason for which an upstream comes after the others, see
// Answers.Avoided. Check does not return it.
const Refusing Reason = "refusing"

// Upstream is the present state of an upstream.
type Upstream struct {
	// Listed is set if the registry has an entry of the upstream.
	Listed bool
	// Started is when the process of that entry has started.
	Started time.Time
	// Draining is set if the registry lists it as draining.
	Draining bool
	// HoldsTarget is set if it holds the model and the adapter of the request.
	HoldsTarget bool
	// Answers is the state that its answers imply.
	Answers Answers
}

// Check returns whether a request may be sent to an upstream that was chosen when the
// process started at chosenStart ran there.
func Check(chosenStart time.Time, u Upstream, now time.Time) Reason {
	switch {
	case !u.Listed:
		return Gone
	case !u.Started.Equal(chosenStart):
		return Restarted
	case u.Draining:
		return Draining
	case u.Answers.Leaving():
		return Leaving
	case u.Answers.PauseLeft(now) > 0:
		return Paused
	case !u.HoldsTarget:
		return NotHeld
	default:
		return Eligible
	}
}
