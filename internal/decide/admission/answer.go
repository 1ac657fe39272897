package admission

import "time"

const (
	// answerReserve is the time that a refusal at the last moment needs on its
	// way to the caller: a few milliseconds to a caller in the region, and some
	// tens more if the request was passed to another region.
	answerReserve = 50 * time.Millisecond
	// answerShare bounds the reserve of short deadlines to this part of them.
	answerShare = 10
)

// AnswerBy is when the last answer to a request must leave, so that a refusal
// reaches its caller before the deadline.
func AnswerBy(now, deadline time.Time) time.Time {
	return deadline.Add(-min(answerReserve, max(deadline.Sub(now), 0)/answerShare))
}
