package election

import "time"

// Capacity is what a host gives its process.
type Capacity struct {
	// Processor is the share of a core, and Link the rate of the link in megabits per
	// second; zero if unknown.
	Processor, Link float64
}

const (
	// enoughProcessor and enoughLink are the share of a core and the rate from which a host
	// leaves a free lease to nobody.
	enoughProcessor, enoughLink = 0.5, 100
	// maxClaimDelay bounds how long a small host leaves a free lease to others, and so how
	// much longer a takeover takes where all hosts are small.
	maxClaimDelay = 600 * time.Millisecond
)

// ClaimDelay returns how long a host leaves a free lease to hosts of larger capacity. The
// controller's work and traffic grow with the number of hosts; on a small one, its answers
// come late for all. A capacity that is unknown counts as enough.
func ClaimDelay(c Capacity) time.Duration {
	return time.Duration((1 - min(portion(c.Processor, enoughProcessor), portion(c.Link, enoughLink))) * float64(maxClaimDelay))
}

// portion returns which part of what is enough a host has, at most 1.
func portion(has, enough float64) float64 {
	if has <= 0 {
		return 1
	}
	return min(has/enough, 1)
}

// freeSince returns since when nobody has held the lease, for a lease that is free or has
// expired.
func (m *Machine) freeSince(now time.Time) time.Time {
	expiry := m.seenAt.Add(m.settings.TTL)
	switch {
	case !m.isFree(now):
		return expiry
	case m.known == nil || m.known.Released:
		return m.seenAt
	}
	if ended := m.endedAt.Add(takeoverDelay); ended.Before(expiry) {
		return ended
	}
	return expiry
}
