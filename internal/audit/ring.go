package audit

import (
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// ring holds the newest entries of a trail.
type ring struct {
	entries []state.Audit
	ids     []string
	known   map[string]struct{}
	// next is where the next entry goes.
	next int
	size int
}

func newRing(size int) ring {
	return ring{size: size, known: make(map[string]struct{})}
}

func (r *ring) has(id string) bool {
	_, ok := r.known[id]
	return ok
}

func (r *ring) add(id string, a state.Audit) {
	if len(r.entries) < r.size {
		r.entries = append(r.entries, a)
		r.ids = append(r.ids, id)
	} else {
		delete(r.known, r.ids[r.next])
		r.entries[r.next] = a
		r.ids[r.next] = id
	}
	r.known[id] = struct{}{}
	r.next = (r.next + 1) % r.size
}

func (r *ring) newest(since time.Time, limit int) []state.Audit {
	var found []state.Audit
	for i := range r.entries {
		place := (r.next - 1 - i + 2*r.size) % r.size
		if len(found) == limit {
			break
		}
		if a := r.entries[place]; !a.Time.Before(since) {
			found = append(found, a)
		}
	}
	return found
}
