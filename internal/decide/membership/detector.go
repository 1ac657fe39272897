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
	// FastInterval replaces Interval while any entry does not answer or is
	// reported dead, and after the start until the states of all seeds are
	// known; default 100 ms. Random probes reach the entries of a failed data
	// centre one after the other, and at the usual interval it takes seconds
	// until the last one is probed.
	FastInterval time.Duration
	// Timeout is how long a direct probe, and then the indirect probes, may
	// take; default 300 ms each.
	Timeout time.Duration
	// IndirectProbes is how many other entries are requested to probe an entry
	// that did not answer; default 3.
	IndirectProbes int
	// SuspicionTimeout is how long a suspect has to refute the suspicion;
	// default 1200 ms.
	SuspicionTimeout time.Duration
	// MaxUpdates bounds the updates in a message; default 6.
	MaxUpdates int
	// SyncUpdates bounds the additional updates in the answer to an entry whose
	// list of live entries differs; default 24.
	SyncUpdates int
	// DeadProbeEvery is n if each n-th probe comes with one of a dead entry, so
	// that the sides of a healed partition find each other; default 5.
	DeadProbeEvery int
	// ForgetAfter is how long an entry stays known after it is dead or leaving;
	// default 1 h. Partitions and pauses last minutes, and a region loses about
	// 4 entries a day, so that few are kept. Seeds, which the settings name, are
	// never forgotten: through them the sides of a longer partition find each
	// other.
	ForgetAfter time.Duration
}

// DefaultDetectorSettings returns the defaults.
func DefaultDetectorSettings() DetectorSettings {
	return DetectorSettings{
		Interval: 500 * time.Millisecond, FastInterval: 100 * time.Millisecond,
		Timeout: 300 * time.Millisecond, IndirectProbes: 3, SuspicionTimeout: 1200 * time.Millisecond,
		MaxUpdates: 6, SyncUpdates: 24, DeadProbeEvery: 5, ForgetAfter: time.Hour,
	}
}

// Probe is a ping to send. An indirect probe has Through set: that entry is
// requested to ping the target.
type Probe struct {
	Target, Through state.EntryName
}

// member is this entry's record of an entry.
type member struct {
	Update
	// updatedAt is when the current update was applied.
	updatedAt time.Time
	// sendCount counts the messages that carried the current update.
	sendCount int
	// seed marks an entry that the settings name.
	seed bool
	// deathReport is another entry's update that reports this live one as dead;
	// zero if there is none.
	deathReport Update
	// sumDiffers is set if the sum of live entries in the entry's last message
	// differed from this entry's.
	sumDiffers bool
}

// eligible reports whether the entry may have roles. Suspects keep theirs until
// the suspicion times out.
func (m *member) eligible() bool { return m.Health == Live || m.Health == Suspect }

// unconfirmed reports whether only a probe by this entry can determine the
// state: it is still unknown, or another entry reports the entry as dead.
func (m *member) unconfirmed() bool { return m.Health == Unknown || m.reportedDead() }

func (m *member) reportedDead() bool { return m.deathReport.Health == Dead }

// pendingProbe is a probe that has not been answered yet.
type pendingProbe struct {
	target   state.EntryName
	started  time.Time
	indirect bool
}

// Detector finds out which entries of a region are alive, by a gossip protocol
// like SWIM. Each entry probes one other per interval, and updates are piggybacked
// on the probes, so the cost per entry does not grow with the number of entries.
// It is not safe for concurrent use.
type Detector struct {
	self     member
	settings DetectorSettings
	random   *rand.Rand
	// members is ordered by name.
	members []*member
	// live and sum are derived from members and self; refresh recomputes them
	// if changed is set.
	live    []state.EntryName
	sum     uint32
	changed bool
	version uint64

	pending    []pendingProbe
	lastTick   time.Time
	lastProbe  time.Time
	probeCount int
	syncIndex  int
}

// NewDetector returns the detector of an entry that has just started.
func NewDetector(self Update, settings DetectorSettings, random *rand.Rand) *Detector {
	self.Health = Live
	return &Detector{self: member{Update: self}, settings: settings, random: random, changed: true}
}

// Seed adds an entry that the settings name. It is not live before an update
// reports it as live.
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

// setUpdate replaces the update of a member.
func (d *Detector) setUpdate(m *member, u Update, now time.Time) {
	m.Update, m.updatedAt, m.sendCount, m.deathReport = u, now, 0, Update{}
	d.changed = true
}

func (d *Detector) setHealth(m *member, health Health, now time.Time) {
	u := m.Update
	u.Health = health
	d.setUpdate(m, u, now)
}

// Tick applies the timeouts and returns the probes that are due.
func (d *Detector) Tick(now time.Time) []Probe {
	d.ignoreOwnPause(now)
	due := d.handleTimeouts(now)
	interval := d.settings.Interval
	if d.urgent() {
		interval = d.settings.FastInterval
	}
	// A tick may come up to a tenth of the interval early.
	if now.Sub(d.lastProbe) < interval-interval/10 {
		return due
	}
	d.lastProbe = now
	d.probeCount++
	if target, ok := d.nextTarget(now, interval); ok {
		d.pending = append(d.pending, pendingProbe{target: target, started: now})
		due = append(due, Probe{Target: target})
	}
	if dead := d.membersWhere(func(m *member) bool { return m.Health == Dead }); len(dead) > 0 && d.probeCount%d.settings.DeadProbeEvery == 0 {
		due = append(due, Probe{Target: dead[d.random.IntN(len(dead))]})
	}
	return due
}

// urgent reports whether an entry does not answer, is reported dead, or has
// been in an unknown state since this process started.
func (d *Detector) urgent() bool {
	return slices.ContainsFunc(d.pending, func(p pendingProbe) bool { return p.indirect }) ||
		slices.ContainsFunc(d.members, func(m *member) bool { return m.Health == Suspect || m.unconfirmed() })
}

// ignoreOwnPause keeps a pause of this process, seen as a gap between ticks, from
// counting as the silence of others.
func (d *Detector) ignoreOwnPause(now time.Time) {
	gap := now.Sub(d.lastTick)
	if !d.lastTick.IsZero() && gap > 2*d.settings.Timeout {
		d.pending = nil
		for _, m := range d.members {
			if m.Health == Suspect {
				m.updatedAt = m.updatedAt.Add(gap)
			}
		}
	}
	d.lastTick = now
}

// handleTimeouts ends the probes and suspicions that have timed out, removes the
// entries that ended long ago and returns the indirect probes that are due.
func (d *Detector) handleTimeouts(now time.Time) []Probe {
	var due []Probe
	d.pending = slices.DeleteFunc(d.pending, func(p pendingProbe) bool {
		if now.Sub(p.started) < 2*d.settings.Timeout {
			return false
		}
		d.handleProbeFailure(p.target, now)
		return true
	})
	for i := range d.pending {
		if p := &d.pending[i]; !p.indirect && now.Sub(p.started) >= d.settings.Timeout {
			p.indirect = true
			due = append(due, d.indirectProbes(p.target)...)
		}
	}
	for _, m := range d.members {
		if m.Health == Suspect && now.Sub(m.updatedAt) >= d.settings.SuspicionTimeout {
			d.setHealth(m, Dead, now)
		}
	}
	d.removeExpired(now)
	return due
}

// removeExpired removes entries that have been dead or leaving for ForgetAfter.
// Seeds stay and count as dead.
func (d *Detector) removeExpired(now time.Time) {
	d.members = slices.DeleteFunc(d.members, func(m *member) bool {
		ended := m.Health == Dead || m.Health == Leaving
		if !ended || now.Sub(m.updatedAt) < d.settings.ForgetAfter {
			return false
		}
		if m.seed {
			m.Health = Dead // Dead entries are probed again, leaving ones are not.
			return false
		}
		d.changed = true
		return true
	})
}

// handleProbeFailure marks a live entry as suspect, and one whose state is
// still unknown as dead.
func (d *Detector) handleProbeFailure(name state.EntryName, now time.Time) {
	m := d.member(name)
	switch {
	case m == nil:
	case m.Health == Live:
		d.setHealth(m, Suspect, now)
	case m.Health == Unknown:
		d.setHealth(m, Dead, now)
	}
}

// indirectProbes returns probes of target through other live entries, chosen at
// random.
func (d *Detector) indirectProbes(target state.EntryName) []Probe {
	var probes []Probe
	live := slices.Clone(d.Live())
	d.random.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	for _, name := range live {
		if name != d.self.Name && name != target && len(probes) < d.settings.IndirectProbes && d.member(name).Health == Live {
			probes = append(probes, Probe{Target: target, Through: name})
		}
	}
	return probes
}

// nextTarget returns the entry to probe: an unconfirmed one if there is one,
// otherwise the one at some distance from this entry in the list of live entries.
// The distance is a hash of the time, so that entries with similar clocks and
// equal lists probe each entry once per interval. With independent choices, an
// entry would now and then be probed by nobody for seconds.
func (d *Detector) nextTarget(now time.Time, interval time.Duration) (state.EntryName, bool) {
	notPending := func(name state.EntryName) bool {
		return !slices.ContainsFunc(d.pending, func(p pendingProbe) bool { return p.target == name })
	}
	unconfirmed := d.membersWhere(func(m *member) bool { return m.unconfirmed() && notPending(m.Name) })
	if len(unconfirmed) > 0 {
		return unconfirmed[d.random.IntN(len(unconfirmed))], true
	}
	live := d.Live()
	self, _ := slices.BinarySearch(live, d.self.Name)
	var period [8]byte
	binary.LittleEndian.PutUint64(period[:], uint64(now.UnixMilli()/interval.Milliseconds()))
	others := len(live) - 1
	for i := range others {
		distance := 1 + (int(xxhash.Sum64(period[:])%uint64(others))+i)%others
		if name := live[(self+distance)%len(live)]; notPending(name) {
			return name, true
		}
	}
	return "", false
}

// membersWhere returns the names of the members that meet a condition.
func (d *Detector) membersWhere(condition func(*member) bool) []state.EntryName {
	var names []state.EntryName
	for _, m := range d.members {
		if condition(m) {
			names = append(names, m.Name)
		}
	}
	return names
}

// Answered records that target has answered, directly or through another entry.
func (d *Detector) Answered(target state.EntryName) {
	d.pending = slices.DeleteFunc(d.pending, func(p pendingProbe) bool { return p.target == target })
}

// Leave marks this entry as leaving; its next messages report this to the
// others.
func (d *Detector) Leave() {
	d.self.Health, d.self.sendCount = Leaving, 0
	d.changed = true
}

// Live returns the entries that may have roles, this one included, in order of
// name. The caller must not change the list.
func (d *Detector) Live() []state.EntryName {
	d.refresh()
	return d.live
}

// Version grows with each change of what Live, Members and Member return.
func (d *Detector) Version() uint64 {
	d.refresh()
	return d.version
}

// Members returns what is known of the other entries, in order of name.
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
