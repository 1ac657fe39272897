package membership

import (
	"math/bits"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// DetectorSettings holds the times and bounds of a Detector.
type DetectorSettings struct {
	// Interval is the time between probes; default 500 ms.
	Interval time.Duration
	// Timeout is how long a direct probe, and then the probes through others,
	// may take; default 300 ms each.
	Timeout time.Duration
	// Through is how many others confirm a silence; default 3.
	Through int
	// SuspectFor is how long a suspect may refute; default 1500 ms.
	SuspectFor time.Duration
	// MaxUpdates bounds the updates in a message; default 6.
	MaxUpdates int
	// DeadEvery makes each n-th probe go to a dead entry, so that the sides
	// of a healed partition find each other; default 5.
	DeadEvery int
}

// DefaultDetectorSettings returns the defaults.
func DefaultDetectorSettings() DetectorSettings {
	return DetectorSettings{
		Interval: 500 * time.Millisecond, Timeout: 300 * time.Millisecond, Through: 3,
		SuspectFor: 1500 * time.Millisecond, MaxUpdates: 6, DeadEvery: 5,
	}
}

// Update is what one entry says of another, or of itself.
type Update struct {
	Name    state.EntryName `json:"n"`
	Control string          `json:"c,omitempty"`
	// Incarnation starts at the time of the process's start in milliseconds.
	// Only the entry itself raises it, to refute a suspicion.
	Incarnation uint64 `json:"i"`
	Health      Health `json:"h"`
}

// overrides reports whether u replaces old: a higher incarnation does, and at
// the same one a worse state.
func (u Update) overrides(old Update) bool {
	if u.Incarnation != old.Incarnation {
		return u.Incarnation > old.Incarnation
	}
	return u.Health > old.Health
}

// Probe is a ping to send. With Through set, that entry is asked to ping.
type Probe struct {
	Target, Through state.EntryName
}

type member struct {
	Update
	// suspected is when the entry became a suspect.
	suspected time.Time
	// sent counts the messages that carried the present update.
	sent int
}

// probing is a probe without an answer.
type probing struct {
	target   state.EntryName
	started  time.Time
	indirect bool
}

// Detector finds out which entries of a region are alive. Each entry probes
// one other at a time, in a random order that meets all of them once a round,
// and changes travel with the probes, so its cost does not grow with the
// number of entries. It belongs to one goroutine.
type Detector struct {
	self     Update
	settings DetectorSettings
	random   *rand.Rand
	members  map[state.EntryName]*member
	order    []state.EntryName
	open     []probing
	probed   time.Time
	probes   int
}

// NewDetector returns the detector of an entry that has just started.
func NewDetector(self Update, settings DetectorSettings, random *rand.Rand) *Detector {
	self.Health = Live
	return &Detector{self: self, settings: settings, random: random, members: make(map[state.EntryName]*member)}
}

// Tick returns the probes that are due.
func (d *Detector) Tick(now time.Time) []Probe {
	due := d.judge(now)
	if now.Sub(d.probed) < d.settings.Interval {
		return due
	}
	d.probed = now
	if target, ok := d.next(); ok {
		d.open = append(d.open, probing{target: target, started: now})
		due = append(due, Probe{Target: target})
	}
	return due
}

// judge ends probes and suspicions whose time is over.
func (d *Detector) judge(now time.Time) []Probe {
	var due []Probe
	d.open = slices.DeleteFunc(d.open, func(p probing) bool {
		if now.Sub(p.started) < 2*d.settings.Timeout {
			return false
		}
		d.suspect(p.target, now)
		return true
	})
	for i := range d.open {
		if p := &d.open[i]; !p.indirect && now.Sub(p.started) >= d.settings.Timeout {
			p.indirect = true
			due = append(due, d.through(p.target)...)
		}
	}
	for _, name := range d.names() {
		m := d.members[name]
		if m.Health == Suspect && now.Sub(m.suspected) >= d.settings.SuspectFor {
			m.Health, m.sent = Dead, 0
		}
	}
	return due
}

func (d *Detector) suspect(name state.EntryName, now time.Time) {
	if m := d.members[name]; m.Health == Live {
		m.Health, m.suspected, m.sent = Suspect, now, 0
	}
}

// through chooses the entries that confirm a silence.
func (d *Detector) through(target state.EntryName) []Probe {
	var probes []Probe
	live := d.Live()
	d.random.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	for _, name := range live {
		if name != d.self.Name && name != target && len(probes) < d.settings.Through {
			probes = append(probes, Probe{Target: target, Through: name})
		}
	}
	return probes
}

// next returns the entry to probe.
func (d *Detector) next() (state.EntryName, bool) {
	d.probes++
	wanted := func(h Health) bool { return h == Live || h == Suspect }
	if d.probes%d.settings.DeadEvery == 0 {
		if dead := d.having(Dead); len(dead) > 0 {
			return dead[d.random.IntN(len(dead))], true
		}
	}
	for range 2 {
		for len(d.order) > 0 {
			name := d.order[0]
			d.order = d.order[1:]
			if m, ok := d.members[name]; ok && wanted(m.Health) {
				return name, true
			}
		}
		d.order = d.names()
		d.random.Shuffle(len(d.order), func(i, j int) { d.order[i], d.order[j] = d.order[j], d.order[i] })
	}
	return "", false
}

// Answered notes that target was reached, directly or through another entry.
func (d *Detector) Answered(target state.EntryName) {
	d.open = slices.DeleteFunc(d.open, func(p probing) bool { return p.target == target })
}

// Receive takes in the updates of a message.
func (d *Detector) Receive(now time.Time, updates ...Update) {
	for _, u := range updates {
		if u.Name == d.self.Name {
			d.refute(u)
			continue
		}
		m, ok := d.members[u.Name]
		switch {
		case !ok:
			d.members[u.Name] = &member{Update: u, suspected: now}
		case u.overrides(m.Update):
			*m = member{Update: u, suspected: now}
		}
	}
}

// refute answers a word about this entry that is not its own.
func (d *Detector) refute(u Update) {
	if u.Incarnation < d.self.Incarnation || u == d.self || u.Health <= d.self.Health && u.Incarnation == d.self.Incarnation {
		return
	}
	d.self.Incarnation = u.Incarnation + 1
}

// Leave makes the entry tell the others that it stops.
func (d *Detector) Leave() {
	d.self.Health = Leaving
}

// Message returns the updates for a message to an entry: the sender first, then
// what the entry should know of itself, then what was sent least. Each change
// is sent a number of times that grows with the logarithm of the region's size.
func (d *Detector) Message(to state.EntryName) []Update {
	message := []Update{d.self}
	if m, ok := d.members[to]; ok && m.Health != Live {
		message = append(message, m.Update)
	}
	limit := 4 * bits.Len(uint(len(d.members)))
	names := slices.DeleteFunc(d.names(), func(name state.EntryName) bool {
		return name == to || d.members[name].sent >= limit
	})
	slices.SortStableFunc(names, func(a, b state.EntryName) int { return d.members[a].sent - d.members[b].sent })
	for _, name := range names[:min(len(names), d.settings.MaxUpdates)] {
		d.members[name].sent++
		message = append(message, d.members[name].Update)
	}
	return message
}

func (d *Detector) names() []state.EntryName {
	names := make([]state.EntryName, 0, len(d.members))
	for name := range d.members {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b state.EntryName) int { return strings.Compare(string(a), string(b)) })
	return names
}

func (d *Detector) having(health Health) []state.EntryName {
	return slices.DeleteFunc(d.names(), func(name state.EntryName) bool { return d.members[name].Health != health })
}

// Live returns the entries that may have roles, this one included, by name.
// Suspects keep their roles until their time to refute is over.
func (d *Detector) Live() []state.EntryName {
	live := slices.DeleteFunc(d.names(), func(name state.EntryName) bool {
		h := d.members[name].Health
		return h != Live && h != Suspect
	})
	live = append(live, d.self.Name)
	slices.Sort(live)
	return live
}
