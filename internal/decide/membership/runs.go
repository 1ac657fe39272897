package membership

import "slices"

// maxEndedIncarnations bounds the ended incarnations remembered per agent.
const maxEndedIncarnations = 8

// incarnationHistory distinguishes the current incarnation of a process from
// ended ones. Incarnations have no order, so the ended ones are remembered.
type incarnationHistory struct {
	current string
	ended   []string
}

// advance records a message of an incarnation. stale means that the incarnation has
// ended; restarted means that it has replaced a known one.
func (r *incarnationHistory) advance(incarnation string) (stale, restarted bool) {
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
	if len(r.ended) > maxEndedIncarnations {
		r.ended = r.ended[1:]
	}
	r.current = incarnation
	return false, true
}
