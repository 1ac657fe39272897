package membership

import (
	"math/bits"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// Update is what one entry says of another, or of itself.
type Update struct {
	Name    state.EntryName
	Control string
	// Run identifies the process, see RunID.
	Run string
	// Incarnation starts at the time of the process's start in milliseconds.
	// Only the entry itself raises it, to refute a suspicion.
	Incarnation uint64
	Health      Health
}

// runLength is how much of a process's random incarnation tells its run from
// the few other runs of the same entry; the rest would only cost bytes.
const runLength = 8

// RunID returns the short form of a process's incarnation.
func RunID(incarnation string) string {
	return incarnation[:min(runLength, len(incarnation))]
}

// overrides reports whether u replaces old: a higher incarnation does, and at
// the same one a worse state.
func (u Update) overrides(old Update) bool {
	if u.Incarnation != old.Incarnation {
		return u.Incarnation > old.Incarnation
	}
	return u.Health > old.Health
}

// encoded returns the form sent. All states but Live are short: who gets them
// knows the entry, or need not.
func (u Update) encoded() rpc.EntryUpdate {
	wire := rpc.EntryUpdate{Name: u.Name, Incarnation: u.Incarnation, Health: uint8(u.Health)}
	if u.Health == Live {
		wire.Control, wire.Run = u.Control, u.Run
	}
	return wire
}

// Receive takes in a message.
func (d *Detector) Receive(now time.Time, message rpc.Ping) {
	for _, wire := range message.Updates {
		u := Update{
			Name: wire.Name, Control: wire.Control, Run: wire.Run,
			Incarnation: wire.Incarnation, Health: Health(wire.Health),
		}
		if u.Health < Live || u.Health > Leaving {
			continue
		}
		if u.Name == d.self.Name {
			d.refute(u)
			continue
		}
		d.take(u, now)
	}
	m := d.member(message.From)
	if m == nil {
		return
	}
	m.differs = message.Sum != d.Sum()
	if !m.differs {
		// It knows all live entries, as if it had been sent them.
		d.self.sent++
		for _, known := range d.members {
			if known.Health == Live {
				known.sent++
			}
		}
	}
}

// take applies an update of another entry.
func (d *Detector) take(u Update, now time.Time) {
	m := d.member(u.Name)
	if m == nil {
		// An unknown entry that has ended need not become known.
		if u.Health == Live && u.Control != "" {
			d.add(&member{Update: u, since: now})
		}
		return
	}
	if !u.overrides(m.Update) {
		return
	}
	if u.Health == Dead && m.Health == Live {
		// After a partition each side calls the other dead. Only the entry's
		// own silence counts then, so that no side loses its own entries.
		m.deathReport = u
		return
	}
	if u.Control == "" {
		u.Control = m.Control
		if u.Incarnation == m.Incarnation {
			u.Run = m.Run
		}
	}
	d.set(m, u, now)
}

// refute answers a word about this entry that is not its own.
func (d *Detector) refute(u Update) {
	if u.Incarnation < d.self.Incarnation || u.Incarnation == d.self.Incarnation && u.Health <= d.self.Health {
		return
	}
	d.self.Incarnation = u.Incarnation + 1
	d.self.sent = 0
	d.changed = true
}

// PingRequest returns the message of a probe to an entry.
func (d *Detector) PingRequest(to state.EntryName) rpc.Ping {
	m := d.member(to)
	return d.message(to, m == nil || m.Health != Live || m.differs, false)
}

// PingResponse returns the answer to a question that was received. If the asker sees
// other live entries, the answer also lists some of all that are known. The
// asker is one of them: if its clock was set back, it learns of the incarnation
// of its former process only so, and can't be taken up below it.
func (d *Detector) PingResponse(question rpc.Ping) rpc.Ping {
	differs := question.Sum != d.Sum()
	answer := d.message(question.From, differs, !differs)
	if !differs {
		return answer
	}
	for range min(d.settings.SyncUpdates, len(d.members)) {
		d.syncFrom = (d.syncFrom + 1) % len(d.members)
		if m := d.members[d.syncFrom]; m.Incarnation != 0 {
			answer.Updates = append(answer.Updates, m.encoded())
		}
	}
	return answer
}

// message holds the sender if it is new or introduce is set, what the receiver
// should know of itself, and what was sent least, without the live entries if
// the receiver agrees on them. Each change is sent a number
// of times that grows with the logarithm of the region's size.
func (d *Detector) message(to state.EntryName, introduce, agrees bool) rpc.Ping {
	message := rpc.Ping{From: d.self.Name, Sum: d.Sum()}
	limit := 4 * bits.Len(uint(len(d.members)))
	if introduce || d.self.sent < limit && !agrees {
		d.self.sent++
		message.Updates = append(message.Updates, d.self.encoded())
	}
	if m := d.member(to); m != nil && m.Health != Live && m.Incarnation != 0 {
		message.Updates = append(message.Updates, m.encoded())
	} else if m != nil && m.reportedDead() {
		message.Updates = append(message.Updates, m.deathReport.encoded())
	}
	var pending []*member
	for _, m := range d.members {
		if m.Name != to && m.sent < limit && m.Incarnation != 0 && (!agrees || m.Health != Live) {
			pending = append(pending, m)
		}
	}
	// Equals go in random order, so that entries don't all pass on the same.
	d.random.Shuffle(len(pending), func(i, j int) { pending[i], pending[j] = pending[j], pending[i] })
	slices.SortStableFunc(pending, func(a, b *member) int { return a.sent - b.sent })
	for _, m := range pending[:min(len(pending), d.settings.MaxUpdates)] {
		m.sent++
		message.Updates = append(message.Updates, m.encoded())
	}
	return message
}

// Sum is a hash of the live entries with their addresses and incarnations.
func (d *Detector) Sum() uint32 {
	d.refresh()
	return d.sum
}

// refresh derives the live entries and their sum after a change.
func (d *Detector) refresh() {
	if !d.changed {
		return
	}
	d.changed = false
	d.version++
	d.live = []state.EntryName{}
	var text []byte
	note := func(m *member) {
		d.live = append(d.live, m.Name)
		if m.Health == Leaving {
			return
		}
		for _, part := range []string{string(m.Name), m.Control, m.Run} {
			text = append(append(text, part...), 0)
		}
		text = append(strconv.AppendUint(text, m.Incarnation, 10), 0)
	}
	self := false
	for _, m := range d.members {
		if !self && m.Name > d.self.Name {
			self = true
			note(&d.self)
		}
		if m.serving() {
			note(m)
		}
	}
	if !self {
		note(&d.self)
	}
	d.sum = uint32(xxhash.Sum64(text))
}
