// Package occupancy estimates how many tokens of an engine's memory the requests of all
// gateways hold, and decides whether another request fits. An engine that runs out of memory
// preempts requests or fails.
package occupancy

import (
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/fleet"
)

const (
	// usableShare is the fraction of an engine's memory that all requests together may hold.
	// The rest is for requests that several gateways send at the same moment, and for cached
	// prompts that are in use.
	usableShare = 0.9
	// reportTTL is how long a report of another gateway is valid. reportInterval is the
	// maximum time between two reports of a gateway that holds memory: two in a row may be
	// lost.
	reportTTL      = 3 * time.Second
	reportInterval = time.Second
	// minIncrease and minDecrease are the fractions of the memory by which the held tokens
	// have to change for a report before reportInterval has passed. The increases that all
	// gateways have not reported must fit the memory that usableShare leaves free.
	minIncrease, minDecrease = 0.0025, 0.05
	// maxReporters bounds the gateways whose reports are kept.
	maxReporters = 256
)

// Occupancy is the memory that the requests at one engine hold. The zero value is that of an engine
// without requests. It is not safe for concurrent use.
type Occupancy struct {
	own    fleet.Tokens
	others map[string]report
	// reported is the last report of this gateway.
	reported report
}

type report struct {
	held fleet.Tokens
	at   time.Time
}

// Verdict is whether a request may be sent to an engine.
type Verdict uint8

// The verdicts.
const (
	Fits Verdict = iota
	// Full means that the request fits once others have ended.
	Full
	// TooLarge means that it never fits.
	TooLarge
)

// Check decides on a request that needs a number of tokens at an engine with the given
// capacity; an unknown capacity of zero has no limit.
func (o *Occupancy) Check(need, capacity fleet.Tokens, now time.Time) Verdict {
	if capacity <= 0 || need <= 0 {
		return Fits
	}
	if need > capacity {
		return TooLarge
	}
	held := o.Held(now)
	if held == 0 || float64(held+need) <= usableShare*float64(capacity) {
		return Fits
	}
	return Full
}

// Hold adds the tokens of a request of this gateway, or removes them if they are negative.
func (o *Occupancy) Hold(tokens fleet.Tokens) { o.own = max(o.own+tokens, 0) }

// Held returns the tokens that the requests of all gateways are estimated to hold.
func (o *Occupancy) Held(now time.Time) fleet.Tokens {
	held := o.own
	for _, r := range o.others {
		if now.Sub(r.at) < reportTTL {
			held += r.held
		}
	}
	return held
}

// Observe records another gateway's report of the tokens that its requests hold. It reports
// whether they hold less than before. A report of a new gateway beyond maxReporters is
// ignored.
func (o *Occupancy) Observe(gateway string, held fleet.Tokens, now time.Time) (less bool) {
	before, known := o.others[gateway]
	if held <= 0 {
		delete(o.others, gateway)
		return known
	}
	if !known && len(o.others) >= maxReporters {
		o.expire(now)
		if len(o.others) >= maxReporters {
			return false
		}
	}
	if o.others == nil {
		o.others = make(map[string]report)
	}
	o.others[gateway] = report{held, now}
	return known && held < before.held
}

func (o *Occupancy) expire(now time.Time) {
	for name, r := range o.others {
		if now.Sub(r.at) >= reportTTL {
			delete(o.others, name)
		}
	}
}

// ReportDue reports whether this gateway has to report what its requests hold: it has changed
// by much, or to nothing, or the last report is older than reportInterval.
func (o *Occupancy) ReportDue(capacity fleet.Tokens, now time.Time) bool {
	increase := float64(o.own - o.reported.held)
	switch {
	case o.own == 0:
		return o.reported.held > 0
	case increase >= minIncrease*float64(capacity), -increase >= minDecrease*float64(capacity):
		return true
	default:
		return now.Sub(o.reported.at) >= reportInterval
	}
}

// Report returns the tokens that this gateway's requests hold, and records them as reported.
func (o *Occupancy) Report(now time.Time) fleet.Tokens {
	o.reported = report{o.own, now}
	return o.own
}
