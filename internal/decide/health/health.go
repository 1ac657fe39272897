// Package health ejects failing upstreams from rotation for a while, judged by
// the outcome of a gateway's own requests.
package health

import "time"

// Config holds the settings of ejection.
type Config struct {
	// FailureThreshold is the number of consecutive failures from which on an
	// upstream is ejected.
	FailureThreshold int
	// MinEjection is how long the first ejection lasts. Each further one lasts
	// twice as long, up to MaxEjection, while requests go on failing.
	MinEjection, MaxEjection time.Duration
}

// DefaultConfig returns the defaults: 2 failures, 400 ms, 6 s.
func DefaultConfig() Config {
	return Config{FailureThreshold: 2, MinEjection: 400 * time.Millisecond, MaxEjection: 6 * time.Second}
}

// Record tracks the recent failures of one upstream. The zero value is that of
// an upstream that was not used yet.
type Record struct {
	failures     int
	ejectedUntil time.Time
	ejection     time.Duration
}

// Succeeded records a request that the upstream answered, and clears the
// failures.
func (r *Record) Succeeded() { *r = Record{} }

// Failed records a request without a proper answer.
func (r *Record) Failed(now time.Time, cfg Config) {
	r.failures++
	if r.failures < cfg.FailureThreshold || now.Before(r.ejectedUntil) {
		return
	}
	r.ejection = min(max(2*r.ejection, cfg.MinEjection), cfg.MaxEjection)
	r.ejectedUntil = now.Add(r.ejection)
}

// Ejected reports whether the upstream is out of rotation.
func (r *Record) Ejected(now time.Time) bool { return now.Before(r.ejectedUntil) }
