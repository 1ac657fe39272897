package audit

import (
	"slices"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// recent holds the newest entries of a trail by their times. Entries of other
// processes come late, when the log is read, so that the order in which they
// come says nothing.
type recent struct {
	entries []recentEntry
	known   map[string]struct{}
	size    int
	// dropped says that older entries found no room.
	dropped bool
}

type recentEntry struct {
	id string
	state.Audit
}

func newRecent(size int) recent {
	return recent{size: size, known: make(map[string]struct{})}
}

func (r *recent) has(id string) bool {
	_, ok := r.known[id]
	return ok
}

// add takes entries in any order.
func (r *recent) add(added ...recentEntry) {
	late := false
	for _, a := range added {
		if r.has(a.id) {
			continue
		}
		r.known[a.id] = struct{}{}
		late = late || len(r.entries) > 0 && a.Time.Before(r.entries[len(r.entries)-1].Time)
		r.entries = append(r.entries, a)
	}
	if late {
		slices.SortStableFunc(r.entries, func(a, b recentEntry) int { return a.Time.Compare(b.Time) })
	}
	surplus := max(0, len(r.entries)-r.size)
	for _, old := range r.entries[:surplus] {
		delete(r.known, old.id)
		r.dropped = true
	}
	clear(r.entries[:surplus])
	r.entries = r.entries[surplus:]
}

func (r *recent) newest(since time.Time, limit int) []state.Audit {
	var found []state.Audit
	for _, a := range slices.Backward(r.entries) {
		if len(found) == limit || a.Time.Before(since) {
			break
		}
		found = append(found, a.Audit)
	}
	return found
}

// reach returns the time from which on no entry was dropped.
func (r *recent) reach() time.Time {
	if !r.dropped {
		return time.Time{}
	}
	return r.entries[0].Time
}
