package claims

import "time"

// rateLimiter limits calls to one per interval on average, by the generic cell
// rate algorithm. After an idle period, up to burst calls may run ahead of that
// rate.
type rateLimiter struct {
	interval time.Duration
	burst    int
	// usedUntil is the time up to which past calls, which count one interval
	// each, have used the rate.
	usedUntil time.Time
}

// burstWindow is how far calls may run ahead of the rate.
func (p *rateLimiter) burstWindow() time.Duration { return time.Duration(p.burst) * p.interval }

// nextAllowed returns the earliest time of the next call.
func (p *rateLimiter) nextAllowed() time.Time { return p.usedUntil.Add(-p.burstWindow()) }

// recordCall counts a call. Calls that were made without waiting for
// nextAllowed delay the next one by at most one interval.
func (p *rateLimiter) recordCall(now time.Time) {
	if p.usedUntil.Before(now) {
		p.usedUntil = now
	}
	p.usedUntil = p.usedUntil.Add(p.interval)
	if most := now.Add(p.burstWindow() + p.interval); p.usedUntil.After(most) {
		p.usedUntil = most
	}
}
