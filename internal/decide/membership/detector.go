package membership

import (
	"encoding/binary"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// DetectorSettings holds the times and bounds of a Detector.
type DetectorSettings struct {
	// Interval is the time between probes; default 500 ms.
	Interval time.Duration
	// FastInterval applies while any entry is silent, and after the start until
	// all have been heard of; default 100 ms. Random probes meet the entries of
	// a lost data centre one after the other, and at the usual interval it
	// takes seconds until the last one is probed.
	FastInterval time.Duration
	// Timeout is how long a direct probe, and then the probes through others,
	// may take; default 300 ms each.
	Timeout time.Duration
	// Through is how many others confirm a silence; default 3.
	Through int
	// SuspectFor is how long a suspect may refute; default 1200 ms.
	SuspectFor time.Duration
	// MaxUpdates bounds the updates in a message; default 6.
	MaxUpdates int
	// SyncUpdates bounds the further ones in an answer to an entry that sees
	// other live entries; default 24.
	SyncUpdates int
	// DeadEvery adds a probe of a dead entry to each n-th one, so that the
	// sides of a healed partition find each other; default 5.
	DeadEvery int
	// ForgetAfter is how long an entry stays known after its end; default 1 h.
	// Partitions and pauses last minutes, and a region loses about 4 entries
	// a day, so that few are kept. Entries of the settings are never forgotten:
	// they lead out of a partition that lasts longer.
	ForgetAfter time.Duration
}

// DefaultDetectorSettings returns the defaults.
func DefaultDetectorSettings() DetectorSettings {
	return DetectorSettings{
		Interval: 500 * time.Millisecond, FastInterval: 100 * time.Millisecond,
		Timeout: 300 * time.Millisecond, Through: 3, SuspectFor: 1200 * time.Millisecond,
		MaxUpdates: 6, SyncUpdates: 24, DeadEvery: 5, ForgetAfter: time.Hour,
	}
}

// Probe is a ping to send. With Through set, that entry is asked to ping.
type Probe struct {
	Target, Through state.EntryName
}

type member struct {
	Update
	// since is when the present update was taken over.
	since time.Time
	// sent counts the messages that carried the present update.
	sent int
	// seed marks an entry of the settings.
	seed bool
	// deathReport is the update by which another entry calls this live one dead.
	deathReport Update
	// differs says that the last message of the entry had another sum.
	differs bool
}

// serving reports whether the entry may have roles. Suspects keep theirs until
// their time to refute is over.
func (m *member) serving() bool { return m.Health == Live || m.Health == Suspect }

// unconfirmed reports whether only an own probe can tell what the entry's state is.
func (m *member) unconfirmed() bool { return m.Health == Unknown || m.reportedDead() }

func (m *member) reportedDead() bool { return m.deathReport.Health == Dead }

// probing is a probe without an answer.
type probing struct {
	target   state.EntryName
	started  time.Time
	indirect bool
}

// Detector finds out which entries of a region are alive. Each entry probes
// one other per interval, and changes travel with the probes, so its cost does
// not grow with the number of entries. It belongs to one goroutine.
type Detector struct {
	self     member
	settings DetectorSettings
	random   *rand.Rand
	// members is ordered by name.
	members []*member
	// live and sum are derived from members and self; refresh renews them.
	live    []state.EntryName
	sum     uint32
	changed bool
	version uint64

	open     []probing
	ticked   time.Time
	probed   time.Time
	probes   int
	syncFrom int
}

// NewDetector returns the detector of an entry that has just started.
func NewDetector(self Update, settings DetectorSettings, random *rand.Rand) *Detector {
	self.Health = Live
	return &Detector{self: member{Update: self}, settings: settings, random: random, changed: true}
}

// Seed adds an entry of the settings. It is not live before it is heard of.
func (d *Detector) Seed(name state.EntryName, control string) {
	if name != d.self.Name {
		d.add(&member{Update: Update{Name: name, Control: control}, seed: true})
	}
}

func (d *Detector) find(name state.EntryName) (int, bool) {
	return slices.BinarySearchFunc(d.members, name, func(m *member, name state.EntryName) int {
		return strings.Compare(string(m.Name), string(name))
	})
}

func (d *Detector) member(name state.EntryName) *member {
	if i, ok := d.find(name); ok {
		return d.members[i]
	}
	return nil
}

func (d *Detector) add(m *member) {
	i, _ := d.find(m.Name)
	d.members = slices.Insert(d.members, i, m)
	d.changed = true
}

// set gives a member another update.
func (d *Detector) set(m *member, u Update, now time.Time) {
	m.Update, m.since, m.sent, m.deathReport = u, now, 0, Update{}
	d.changed = true
}

func (d *Detector) setHealth(m *member, health Health, now time.Time) {
	u := m.Update
	u.Health = health
	d.set(m, u, now)
}

// Tick returns the probes that are due.
func (d *Detector) Tick(now time.Time) []Probe {
	d.excusePause(now)
	due := d.judge(now)
	interval := d.settings.Interval
	if d.urgent() {
		interval = d.settings.FastInterval
	}
	// A tick that comes slightly early is the one meant.
	if now.Sub(d.probed) < interval-interval/10 {
		return due
	}
	d.probed = now
	d.probes++
	if target, ok := d.next(now, interval); ok {
		d.open = append(d.open, probing{target: target, started: now})
		due = append(due, Probe{Target: target})
	}
	if dead := d.having(func(m *member) bool { return m.Health == Dead }); len(dead) > 0 && d.probes%d.settings.DeadEvery == 0 {
		due = append(due, Probe{Target: dead[d.random.IntN(len(dead))]})
	}
	return due
}

// urgent reports whether an entry is silent, said to be dead, or not yet heard
// of since the own start.
func (d *Detector) urgent() bool {
	return slices.ContainsFunc(d.open, func(p probing) bool { return p.indirect }) ||
		slices.ContainsFunc(d.members, func(m *member) bool { return m.Health == Suspect || m.unconfirmed() })
}

// excusePause keeps an own pause from counting as the silence of others.
func (d *Detector) excusePause(now time.Time) {
	gap := now.Sub(d.ticked)
	if !d.ticked.IsZero() && gap > 2*d.settings.Timeout {
		d.open = nil
		for _, m := range d.members {
			if m.Health == Suspect {
				m.since = m.since.Add(gap)
			}
		}
	}
	d.ticked = now
}

// judge ends probes, suspicions and the memory of ended entries when their time
// is over.
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
	for _, m := range d.members {
		if m.Health == Suspect && now.Sub(m.since) >= d.settings.SuspectFor {
			d.setHealth(m, Dead, now)
		}
	}
	d.forget(now)
	return due
}

func (d *Detector) forget(now time.Time) {
	d.members = slices.DeleteFunc(d.members, func(m *member) bool {
		ended := m.Health == Dead || m.Health == Leaving
		if !ended || now.Sub(m.since) < d.settings.ForgetAfter {
			return false
		}
		if m.seed {
			m.Health = Dead // It is probed again even if it had left.
			return false
		}
		d.changed = true
		return true
	})
}

func (d *Detector) suspect(name state.EntryName, now time.Time) {
	m := d.member(name)
	switch {
	case m == nil:
	case m.Health == Live:
		d.setHealth(m, Suspect, now)
	case m.Health == Unknown:
		d.setHealth(m, Dead, now)
	}
}

// through chooses the entries that confirm a silence.
func (d *Detector) through(target state.EntryName) []Probe {
	var probes []Probe
	live := slices.Clone(d.Live())
	d.random.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	for _, name := range live {
		if name != d.self.Name && name != target && len(probes) < d.settings.Through && d.member(name).Health == Live {
			probes = append(probes, Probe{Target: target, Through: name})
		}
	}
	return probes
}

// next returns the entry to probe: a unconfirmed one, otherwise the one at a distance in the list of live entries. The
// distance is drawn from the time, so that entries with like clocks and lists
// probe each entry once per interval. With independent choices, an entry would
// now and then be probed by nobody for seconds.
func (d *Detector) next(now time.Time, interval time.Duration) (state.EntryName, bool) {
	idle := func(name state.EntryName) bool {
		return !slices.ContainsFunc(d.open, func(p probing) bool { return p.target == name })
	}
	unconfirmed := d.having(func(m *member) bool { return m.unconfirmed() && idle(m.Name) })
	if len(unconfirmed) > 0 {
		return unconfirmed[d.random.IntN(len(unconfirmed))], true
	}
	live := d.Live()
	own, _ := slices.BinarySearch(live, d.self.Name)
	var period [8]byte
	binary.LittleEndian.PutUint64(period[:], uint64(now.UnixMilli()/interval.Milliseconds()))
	others := len(live) - 1
	for i := range others {
		distance := 1 + (int(xxhash.Sum64(period[:])%uint64(others))+i)%others
		if name := live[(own+distance)%len(live)]; idle(name) {
			return name, true
		}
	}
	return "", false
}

func (d *Detector) having(condition func(*member) bool) []state.EntryName {
	var names []state.EntryName
	for _, m := range d.members {
		if condition(m) {
			names = append(names, m.Name)
		}
	}
	return names
}

// Answered notes that target was reached, directly or through another entry.
func (d *Detector) Answered(target state.EntryName) {
	d.open = slices.DeleteFunc(d.open, func(p probing) bool { return p.target == target })
}

// Leave makes the entry tell the others that it stops.
func (d *Detector) Leave() {
	d.self.Health, d.self.sent = Leaving, 0
	d.changed = true
}

// Live returns the entries that may have roles, this one included, by name. The
// caller must not change the list.
func (d *Detector) Live() []state.EntryName {
	d.refresh()
	return d.live
}

// Version grows with each change of what Live, Members and Member return.
func (d *Detector) Version() uint64 {
	d.refresh()
	return d.version
}

// Members returns what is known of the other entries, by name.
func (d *Detector) Members() []Update {
	updates := make([]Update, len(d.members))
	for i, m := range d.members {
		updates[i] = m.Update
	}
	return updates
}

// Member returns what is known of an entry.
func (d *Detector) Member(name state.EntryName) (Update, bool) {
	if m := d.member(name); m != nil {
		return m.Update, true
	}
	return Update{}, false
}
