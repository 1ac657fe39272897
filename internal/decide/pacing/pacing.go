// Package pacing works with token buckets of permits that are reserved ahead.
package pacing

import (
	"time"

	"golang.org/x/time/rate"
)

// maxReserved bounds the permits that one call reserves. A bucket that has more of them in
// the time is no limit to those who wait.
const maxReserved = 10_000

// SkipUntil reserves permits of a bucket until the next one is valid at a time or later.
func SkipUntil(bucket *rate.Limiter, now, until time.Time) {
	for range maxReserved {
		permit := bucket.ReserveN(now, 1)
		if !permit.OK() {
			return
		}
		if !now.Add(permit.DelayFrom(now)).Before(until) {
			permit.CancelAt(now)
			return
		}
	}
}
