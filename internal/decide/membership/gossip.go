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

// Update is the state that one entry reports of another, or of itself.
type Update struct {
	Name    state.EntryName
	Control string
	// Run identifies the process of the entry, see RunID.
	Run string
	// Incarnation is the time of the process's start in milliseconds at first.
	// Only the entry itself raises it, to refute a suspicion.
	Incarnation uint64
	Health      Health
}

// runIDLength is the length of the prefix of a process's random incarnation
// that RunID keeps. It distinguishes the process from the few others of the
// same entry; the rest would only cost bytes.
const runIDLength = 8

// RunID returns the prefix of a process's incarnation that identifies it in
// messages.
func RunID(incarnation string) string {
	return incarnation[:min(runIDLength, len(incarnation))]
}

// overrides reports whether u replaces old: the higher incarnation wins, and at
// the same one the worse state.
func (u Update) overrides(old Update) bool {
	if u.Incarnation != old.Incarnation {
		return u.Incarnation > old.Incarnation
	}
	return u.Health > old.Health
}

// encoded returns the form that is sent. Only updates of live entries carry the
// address and the run: the receiver of another update holds the entry already
// or does not need to.
func (u Update) encoded() rpc.EntryUpdate {
	wire := rpc.EntryUpdate{Name: u.Name, Incarnation: u.Incarnation, Health: uint8(u.Health)}
	if u.Health == Live {
		wire.Control, wire.Run = u.Control, u.Run
	}
	return wire
}

// Receive applies the updates of a message and compares its sum of live entries.
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
		d.applyUpdate(u, now)
	}
	m := d.member(message.From)
	if m == nil {
		return
	}
	m.sumDiffers = message.Sum != d.Sum()
	if !m.sumDiffers {
		// Equal sums: the sender holds all live entries, so their updates count
		// as sent to it.
		d.self.sendCount++
		for _, known := range d.members {
			if known.Health == Live {
				known.sendCount++
			}
		}
	}
}

// applyUpdate applies an update of another entry.
func (d *Detector) applyUpdate(u Update, now time.Time) {
	m := d.member(u.Name)
	if m == nil {
		// An unknown entry that has ended need not be added.
		if u.Health == Live && u.Control != "" {
			d.add(&member{Update: u, updatedAt: now})
		}
		return
	}
	if !u.overrides(m.Update) {
		return
	}
	if u.Health == Dead && m.Health == Live {
		// After a partition each side reports the entries of the other as dead.
		// This entry accepts that only after its own probe has failed, so that
		// no side loses its own entries.
		m.deathReport = u
		return
	}
	if u.Control == "" {
		u.Control = m.Control
		if u.Incarnation == m.Incarnation {
			u.Run = m.Run
		}
	}
	d.setUpdate(m, u, now)
}

// refute raises this entry's incarnation if another entry reports it in a way that
// would override its own update.
func (d *Detector) refute(u Update) {
	if u.Incarnation < d.self.Incarnation || u.Incarnation == d.self.Incarnation && u.Health <= d.self.Health {
		return
	}
	d.self.Incarnation = u.Incarnation + 1
	d.self.sendCount = 0
	d.changed = true
}

// PingRequest returns the ping to send to an entry.
func (d *Detector) PingRequest(to state.EntryName) rpc.Ping {
	m := d.member(to)
	return d.message(to, m == nil || m.Health != Live || m.sumDiffers, false)
}

// PingResponse returns the answer to a received ping. If the sender's sum of live
// entries differs, the answer also carries some of all known entries in turn. The
// sender is one of them: if its clock was set back, only so does it receive
// the incarnation of its former process, and below that one the others ignore
// it.
func (d *Detector) PingResponse(ping rpc.Ping) rpc.Ping {
	differs := ping.Sum != d.Sum()
	answer := d.message(ping.From, differs, !differs)
	if !differs {
		return answer
	}
	for range min(d.settings.SyncUpdates, len(d.members)) {
		d.syncIndex = (d.syncIndex + 1) % len(d.members)
		if m := d.members[d.syncIndex]; m.Incarnation != 0 {
			answer.Updates = append(answer.Updates, m.encoded())
		}
	}
	return answer
}

// message builds a message to an entry. It carries this entry's own update if
// that is new or introduce is set, an update of the receiver itself if one says
// that it is not live, which the receiver may have to refute, and the updates
// sent least often. If the receiver agrees on the live entries, updates of live
// entries are left out. Each update is sent a number of times that grows with
// the logarithm of the region's size.
func (d *Detector) message(to state.EntryName, introduce, agrees bool) rpc.Ping {
	message := rpc.Ping{From: d.self.Name, Sum: d.Sum()}
	limit := 4 * bits.Len(uint(len(d.members)))
	if introduce || d.self.sendCount < limit && !agrees {
		d.self.sendCount++
		message.Updates = append(message.Updates, d.self.encoded())
	}
	if m := d.member(to); m != nil && m.Health != Live && m.Incarnation != 0 {
		message.Updates = append(message.Updates, m.encoded())
	} else if m != nil && m.reportedDead() {
		message.Updates = append(message.Updates, m.deathReport.encoded())
	}
	var pending []*member
	for _, m := range d.members {
		if m.Name != to && m.sendCount < limit && m.Incarnation != 0 && (!agrees || m.Health != Live) {
			pending = append(pending, m)
		}
	}
	// Updates sent equally often go in random order, so that entries don't all
	// pass on the same ones.
	d.random.Shuffle(len(pending), func(i, j int) { pending[i], pending[j] = pending[j], pending[i] })
	slices.SortStableFunc(pending, func(a, b *member) int { return a.sendCount - b.sendCount })
	for _, m := range pending[:min(len(pending), d.settings.MaxUpdates)] {
		m.sendCount++
		message.Updates = append(message.Updates, m.encoded())
	}
	return message
}

// Sum returns a hash of the live entries with their addresses and incarnations.
func (d *Detector) Sum() uint32 {
	d.refresh()
	return d.sum
}

// refresh recomputes the live entries and their sum after a change.
func (d *Detector) refresh() {
	if !d.changed {
		return
	}
	d.changed = false
	d.version++
	d.live = []state.EntryName{}
	var text []byte
	include := func(m *member) {
		d.live = append(d.live, m.Name)
		if m.Health == Leaving {
			return
		}
		for _, part := range []string{string(m.Name), m.Control, m.Run} {
			text = append(append(text, part...), 0)
		}
		text = append(strconv.AppendUint(text, m.Incarnation, 10), 0)
	}
	selfIncluded := false
	for _, m := range d.members {
		if !selfIncluded && m.Name > d.self.Name {
			selfIncluded = true
			include(&d.self)
		}
		if m.eligible() {
			include(m)
		}
	}
	if !selfIncluded {
		include(&d.self)
	}
	d.sum = uint32(xxhash.Sum64(text))
}
