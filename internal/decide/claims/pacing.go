package claims

import "time"

// pacing spaces calls at a mean interval. After a quiet time, burst calls may
// run ahead of it.
type pacing struct {
	interval time.Duration
	burst    int
	// paidTo is the time up to which the calls made have used the rate, one
	// interval each.
	paidTo time.Time
}

func (p *pacing) allowance() time.Duration { return time.Duration(p.burst) * p.interval }

// earliest returns when the next call may be made.
func (p *pacing) earliest() time.Time { return p.paidTo.Add(-p.allowance()) }

// spend notes a call. Calls that did not wait make later ones wait for an
// interval at most.
func (p *pacing) spend(now time.Time) {
	if p.paidTo.Before(now) {
		p.paidTo = now
	}
	p.paidTo = p.paidTo.Add(p.interval)
	if most := now.Add(p.allowance() + p.interval); p.paidTo.After(most) {
		p.paidTo = most
	}
}
