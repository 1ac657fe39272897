// Package health takes upstreams that fail out of rotation for a while, by a
// gateway's own experience of them.
package health

import "time"

// Config governs the time out of rotation.
type Config struct {
	// Failures in a row lead out of rotation.
	Failures int
	// First is the first time out of rotation; it doubles up to Longest while
	// requests go on failing.
	First, Longest time.Duration
}

// DefaultConfig returns the defaults: 2 failures, 400 ms, 6 s.
func DefaultConfig() Config {
	return Config{Failures: 2, First: 400 * time.Millisecond, Longest: 6 * time.Second}
}

// Record is the recent experience with one upstream. Its zero value is that
// with an upstream that was not used yet.
type Record struct {
	failures int
	until    time.Time
	pause    time.Duration
}

// Succeeded notes a request that the upstream answered.
func (r *Record) Succeeded() { *r = Record{} }

// Failed notes a request without a proper answer.
func (r *Record) Failed(now time.Time, cfg Config) {
	r.failures++
	if r.failures < cfg.Failures || now.Before(r.until) {
		return
	}
	r.pause = min(max(2*r.pause, cfg.First), cfg.Longest)
	r.until = now.Add(r.pause)
}

// Ejected reports whether the upstream is out of rotation.
func (r *Record) Ejected(now time.Time) bool { return now.Before(r.until) }
