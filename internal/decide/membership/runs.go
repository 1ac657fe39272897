package membership

import "slices"

// maxEndedRuns bounds the ended runs remembered per process.
const maxEndedRuns = 8

// runs tells the current run of a process from ended ones. Incarnations have
// no order, so ended ones are remembered.
type runs struct {
	current string
	ended   []string
}

// advance notes a message of a run. stale means that the run has ended;
// restarted means that a new run has replaced a known one.
func (r *runs) advance(incarnation string) (stale, restarted bool) {
	switch {
	case incarnation == r.current:
		return false, false
	case slices.Contains(r.ended, incarnation):
		return true, false
	case r.current == "":
		r.current = incarnation
		return false, false
	}
	r.ended = append(r.ended, r.current)
	if len(r.ended) > maxEndedRuns {
		r.ended = r.ended[1:]
	}
	r.current = incarnation
	return false, true
}
