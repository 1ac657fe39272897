package gateway

import (
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/decide/quarantine"
)

// maxRecentKeys bounds each of the two generations of recentKeys.
const maxRecentKeys = 4096

// recentKeys holds the times of the last sound runs of keys. When it is full, the
// keys that were not used since it was last full are dropped.
type recentKeys struct {
	current, previous map[quarantine.Key]time.Time
}

func (r *recentKeys) add(key quarantine.Key, now time.Time) {
	if r.current == nil || len(r.current) >= maxRecentKeys {
		r.previous, r.current = r.current, make(map[quarantine.Key]time.Time)
	}
	r.current[key] = now
}

func (r *recentKeys) last(key quarantine.Key) (time.Time, bool) {
	if at, ok := r.current[key]; ok {
		return at, true
	}
	at, ok := r.previous[key]
	return at, ok
}
