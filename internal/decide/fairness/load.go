package fairness

import "time"

// Load is what a gateway sees of the load of an upstream.
type Load struct {
	// Running is the number of this gateway's requests at the upstream, and Slots how many
	// the upstream runs at once; zero if unknown.
	Running, Slots int
	// Gateways is the number of gateways.
	Gateways int
	// PendingPrefill is the expected time to prefill the prompts that all gateways have
	// sent.
	PendingPrefill time.Duration
	// Waits are the delays that this gateway's requests have had at the upstream, and
	// ServiceWaits those at all upstreams of the service: a gateway sends too few requests
	// to each upstream to know it from these alone.
	Waits, ServiceWaits *Waits
}

// expectedWait returns the wait to expect with an engine priority.
func (l *Load) expectedWait(engine int, now time.Time, memory time.Duration) time.Duration {
	return max(l.Waits.Expected(engine, now, memory), l.ServiceWaits.Expected(engine, now, memory))
}

// minRunning is the number of a gateway's requests at an upstream from which they tell
// something about those of the other gateways.
const minRunning = 2

// Scarce reports whether a request is likely to wait at the upstream. A wrong guess has no
// effect on an engine without a queue.
func (c Config) Scarce(l *Load, now time.Time) bool {
	full := l.Slots > 0 && l.Running >= minRunning && l.Running*max(l.Gateways, 1) >= l.Slots
	return full || l.PendingPrefill >= c.ScarceDelay || l.expectedWait(EnginePriorities-1, now, c.WaitMemory) >= c.ScarceDelay
}

// Waits records by engine priority how long requests have waited at an upstream for their
// first token, beyond the time that their prompts need. The zero value has no observation.
type Waits [EnginePriorities]struct {
	wait time.Duration
	at   time.Time
}

// waitGain is the weight of a new observation in the average, if the one before is recent;
// it is more after a pause.
const waitGain = 0.5

// Observe records the wait of a request.
func (w *Waits) Observe(engine int, wait time.Duration, now time.Time, memory time.Duration) {
	o := &w[min(max(engine, 0), EnginePriorities-1)]
	before := decayed(1-waitGain, o.at, now, memory)
	o.wait, o.at = time.Duration(before*float64(o.wait)+(1-before)*float64(max(wait, 0))), now
}

// Expected returns the wait to expect with an engine priority: at least that of all more
// urgent ones.
func (w *Waits) Expected(engine int, now time.Time, memory time.Duration) time.Duration {
	longest := time.Duration(0)
	for i := range w[:engine+1] {
		if o := &w[i]; o.wait > longest {
			longest = max(longest, time.Duration(decayed(float64(o.wait), o.at, now, memory)))
		}
	}
	return longest
}
