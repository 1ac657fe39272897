package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// Decision is a quarantine that the attribution has decided.
type Decision struct {
	Key   Key
	Until time.Time
	// Crashes is the number of crashes that led to it.
	Crashes int
}

// Decide returns the new quarantines at a time and records them.
func (a *Attribution) Decide(now time.Time) []Decision {
	a.expire(now)
	if len(a.crashes) == 0 {
		return nil
	}
	crashes := a.settledCrashes(now)
	counts := a.momentsByKey(crashes)
	var decisions []Decision
	for _, key := range a.candidates(crashes, counts) {
		if d, ok := a.decide(crashes, counts, key, now); ok {
			a.setQuarantine(d.Key, d.Until)
			decisions = append(decisions, d)
		}
	}
	return decisions
}

// candidates returns the keys in crashes in the order in which they are considered,
// as each that is quarantined explains crashes for those after it: parts without sound
// runs, the last ones of the prompts first; whole requests without sound runs; and
// keys with sound runs.
func (a *Attribution) candidates(crashes []*crash, counts map[Key]int) []Key {
	depths := make(map[Key]int, len(counts))
	for _, c := range crashes {
		for key, depth := range c.keys {
			depths[key] = max(depths[key], depth)
		}
	}
	isSound := func(key Key) int {
		if a.lastSound[key].IsZero() {
			return 0
		}
		return 1
	}
	keys := sortedKeys(counts)
	slices.SortStableFunc(keys, func(x, y Key) int {
		return cmp.Or(cmp.Compare(isSound(x), isSound(y)), cmp.Compare(depths[y], depths[x]))
	})
	return keys
}

// decide applies the thresholds to a key.
func (a *Attribution) decide(crashes []*crash, counts map[Key]int, key Key, now time.Time) (Decision, bool) {
	until, remembered := a.until[key]
	if now.Before(until) {
		return Decision{}, false
	}
	needed, minSpan, duration := a.settings.Crashes, a.settings.MinSpan, a.settings.FirstDuration
	if remembered {
		needed, minSpan, duration = 1, 0, a.settings.RepeatDuration
	}
	if counts[key] < needed {
		return Decision{}, false
	}
	against := a.unexplained(crashes, counts, key, until)
	moments := a.moments(against)
	if moments < needed || now.Sub(against[0].reportedAt) < minSpan {
		return Decision{}, false
	}
	return Decision{Key: key, Until: now.Add(duration), Crashes: moments}, true
}

// unexplained returns the crashes that count against a key. Those before the key's
// last sound run or before the end of its last quarantine don't count.
func (a *Attribution) unexplained(crashes []*crash, counts map[Key]int, key Key, quarantineEnd time.Time) []*crash {
	since := a.lastSound[key]
	if quarantineEnd.After(since) {
		since = quarantineEnd
	}
	var list []*crash
	for _, c := range crashes {
		if c.has(key) && c.at.After(since) && !a.explained(c, counts, key) {
			list = append(list, c)
		}
	}
	return list
}

// moments returns the number of moments at which crashes occurred.
func (a *Attribution) moments(crashes []*crash) int {
	n := 0
	var moment time.Time
	for _, c := range crashes {
		if n == 0 || c.at.Sub(moment) > a.settings.SameMoment {
			moment = c.at
			n++
		}
	}
	return n
}

// primeCrashes is the number of crashes from which on a key without sound runs
// explains them.
const primeCrashes = 2

// explained reports whether another key explains a crash: it is quarantined, or it
// has been in several crashes and the given key, unlike it, has sound runs.
func (a *Attribution) explained(c *crash, counts map[Key]int, key Key) bool {
	isSound := !a.lastSound[key].IsZero()
	for other := range c.keys {
		if other == key {
			continue
		}
		isPrime := a.lastSound[other].IsZero() && counts[other] >= primeCrashes
		if c.at.Before(a.until[other]) || isSound && isPrime {
			return true
		}
	}
	return false
}

// momentsByKey returns the number of moments at which crashes occurred with each
// key in flight.
func (a *Attribution) momentsByKey(crashes []*crash) map[Key]int {
	byKey := make(map[Key][]*crash)
	for _, c := range crashes {
		for key := range c.keys {
			byKey[key] = append(byKey[key], c)
		}
	}
	counts := make(map[Key]int, len(byKey))
	for key, list := range byKey {
		counts[key] = a.moments(list)
	}
	return counts
}

// settledCrashes returns the crashes of which all gateways should have reported, in
// the order of their times.
func (a *Attribution) settledCrashes(now time.Time) []*crash {
	list := make([]*crash, 0, len(a.crashes))
	for _, c := range a.crashes {
		if now.Sub(c.reportedAt) >= a.settings.ReportDelay {
			list = append(list, c)
		}
	}
	slices.SortFunc(list, func(x, y *crash) int { return x.at.Compare(y.at) })
	return list
}
