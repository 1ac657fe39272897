// Package election decides when a process takes, renews or gives up a lease
// that is kept as the newest record of a log with conditional writes. Unlike
// package lease, whose safety comes from log order, the work done under this
// lease leaves no record, so the lease is bounded by time: a holder stops before
// any other process can have taken it. Times come from a clock that also counts
// while the process is suspended.
package election

import (
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/fleet"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// Settings holds the times of a lease.
type Settings struct {
	// TTL is how long a record holds after it was written.
	TTL time.Duration
	// Renew is the time between the holder's writes.
	Renew time.Duration
	// Margin is how much earlier than TTL the holder stops.
	Margin time.Duration
	// Settle is how long a new holder waits before it acts after its
	// predecessor has given the lease up, so that two processes that hand the
	// lease to each other never take turns within that time. After a lease
	// that lapsed no wait is needed if TTL is as long.
	Settle time.Duration
}

// Action is what to do next.
type Action uint8

// The actions.
const (
	Wait Action = iota
	// Read asks for the newest record.
	Read
	// Write asks for a conditional write of Record at End.
	Write
)

// Step is an action with its arguments.
type Step struct {
	Action Action
	Record fleet.LeaseRecord
	End    state.Offset
}

// Machine decides for one process. It is not safe for concurrent use.
type Machine struct {
	settings Settings
	holder   string
	control  string

	// known is the newest record seen, nil if there is none.
	known *fleet.LeaseRecord
	at    state.Offset
	end   state.Offset
	// seen is when the newest record was seen for the first time.
	seen time.Time
	read bool

	sequence uint64
	// token is set while this process holds the lease.
	token state.FencingToken
	holds bool
	// written is when the last successful write of the holder began.
	written time.Time
	// settled is when a new holder may act.
	settled time.Time
	// handedOver says that the lease was given up by its last holder.
	handedOver bool
	// pending is the write whose outcome is not known.
	pending *pendingWrite
	// stale says that the newest record must be read now.
	stale bool
	// outdated says that the newest record must be read before a write: its
	// offset is known from the holder alone.
	outdated bool
}

type pendingWrite struct {
	record fleet.LeaseRecord
	end    state.Offset
	began  time.Time
}

// NewMachine returns the machine of a process that other processes reach at
// control. The holder's name must differ for each start.
func NewMachine(holder, control string, settings Settings) *Machine {
	return &Machine{settings: settings, holder: holder, control: control, at: state.NoOffset, stale: true}
}

// Holds reports whether this process holds the lease and may act, with the
// fencing token of its lease.
func (m *Machine) Holds(now time.Time) (state.FencingToken, bool) {
	valid := m.holds && now.Before(m.ValidUntil()) && !now.Before(m.settled)
	return m.token, valid
}

// ValidUntil returns when the right to act ends unless the lease is renewed.
func (m *Machine) ValidUntil() time.Time { return m.written.Add(m.settings.TTL - m.settings.Margin) }

// Elected reports whether this process holds the lease, though it may still
// have to wait before it acts.
func (m *Machine) Elected(now time.Time) bool {
	return m.holds && now.Before(m.ValidUntil())
}

// Leader returns the control address of the holder as far as known; empty if
// there is none.
func (m *Machine) Leader() string {
	if m.known == nil || m.known.Released {
		return ""
	}
	return m.known.Control
}

// Offset returns the place of the newest record known.
func (m *Machine) Offset() state.Offset { return m.at }

// Heard notes that the holder has said that its record at an offset is the
// newest, which saves reading it.
func (m *Machine) Heard(at state.Offset, now time.Time) {
	if m.holds || at < m.at {
		return
	}
	if at > m.at {
		m.at, m.seen, m.outdated = at, now, true
	}
}

// Observed takes the result of a read.
func (m *Machine) Observed(record *fleet.LeaseRecord, at, end state.Offset, now time.Time) {
	if at != m.at || !m.read {
		m.seen = now
	}
	m.known, m.at, m.end = record, at, end
	m.read, m.stale, m.outdated = true, false, false
	own := record != nil && record.Holder == m.holder
	if p := m.pending; p != nil {
		m.pending = nil
		if own && record.Sequence == p.record.Sequence {
			m.won(p, now)
			return
		}
	}
	if m.holds && (!own || record.Released) {
		m.holds = false
	}
}

// Written takes the result of a write that began at began: ok if it was stored,
// unknown if it may have been or may be later.
func (m *Machine) Written(record fleet.LeaseRecord, end state.Offset, began time.Time, ok, unknown bool, now time.Time) {
	p := &pendingWrite{record: record, end: end, began: began}
	switch {
	case ok:
		m.known, m.at, m.end, m.seen, m.read = &record, end, end+1, now, true
		m.won(p, now)
	case unknown:
		m.pending, m.stale = p, true
	default:
		m.stale = true
	}
}

func (m *Machine) won(p *pendingWrite, now time.Time) {
	if p.record.Released {
		m.holds = false
		return
	}
	if !m.holds {
		// Zero is no token.
		m.token = p.end + 1
		m.settled = now
		if m.handedOver {
			m.settled = now.Add(m.settings.Settle)
		}
	}
	m.holds, m.written = true, p.began
}

// Next returns what to do now. A process that leaves gives its lease up and
// takes none.
func (m *Machine) Next(now time.Time, leaving bool) Step {
	if m.holds && !m.Elected(now) {
		m.holds, m.stale = false, true
	}
	switch {
	case m.stale:
		return Step{Action: Read}
	case m.holds && leaving:
		return m.write(fleet.LeaseRecord{Token: m.token, Released: true})
	case m.holds && !now.Before(m.written.Add(m.settings.Renew)):
		return m.write(fleet.LeaseRecord{Token: m.token})
	case m.holds || leaving:
		return Step{}
	case m.known != nil && !m.known.Released && !m.lapsed(now):
		return Step{}
	case m.outdated:
		return Step{Action: Read}
	default:
		m.handedOver = m.known != nil && m.known.Released
		return m.write(fleet.LeaseRecord{})
	}
}

// lapsed reports whether the record known has stood for TTL.
func (m *Machine) lapsed(now time.Time) bool { return !now.Before(m.seen.Add(m.settings.TTL)) }

// Refresh asks for a read at the next step.
func (m *Machine) Refresh() { m.stale = true }

func (m *Machine) write(record fleet.LeaseRecord) Step {
	m.sequence++
	record.Holder, record.Control, record.Sequence = m.holder, m.control, m.sequence
	return Step{Action: Write, Record: record, End: m.end}
}
