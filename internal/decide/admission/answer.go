package admission

import "time"

const (
	// answerReserve is the time that a refusal sent just before the deadline
	// needs to reach the caller: a few milliseconds within the region, and
	// some tens more if the request was forwarded to another region.
	answerReserve = 50 * time.Millisecond
	// reserveDivisor limits the reserve to this fraction, a tenth, of the time
	// that remains before the deadline, so that short deadlines keep most of
	// theirs.
	reserveDivisor = 10
)

// AnswerBy returns the latest time at which to send an answer to a request so that
// a refusal reaches the caller before the deadline.
func AnswerBy(now, deadline time.Time) time.Time {
	return deadline.Add(-min(answerReserve, max(deadline.Sub(now), 0)/reserveDivisor))
}
