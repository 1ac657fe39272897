// Package election decides when a process takes, renews or gives up a lease
// that is kept as the newest record of a log with conditional writes. Unlike
// package lease, whose safety comes from log order, the work done under this
// lease leaves no record, so the lease is bounded by time: a holder stops before
// any other process can have taken it. Times come from a clock that also counts
// while the process is suspended.
package election

import (
	"slices"
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
	// Settle is the time within which hosts must not take turns: one that has
	// held the lease waits that long before it acts again after another. It
	// must not exceed TTL.
	Settle time.Duration
}

const (
	// endedPause is the time between the end of a holder, of which another
	// process has proof, and the next holder's first write: its last orders
	// may still be on their way.
	endedPause = 300 * time.Millisecond
	// yieldFor is how long a process that would have to pause leaves a free
	// lease to others.
	yieldFor = 500 * time.Millisecond
	// maxRecent bounds the list of recent hosts. Who isn't on a full list
	// pauses as well.
	maxRecent = 16
)

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
	host     string
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
	// promised is a time from which on all other processes have promised to
	// leave the lease alone for TTL; zero for none.
	promised time.Time
	// settled is when a new holder may act.
	settled time.Time
	// recent lists the hosts that have held the lease lately.
	recent []string
	// pauses says that this host is one of them, if this process takes the
	// lease by the write under way.
	pauses bool
	// endedHolder is a process that is known to hold nothing any more, since
	// endedAt.
	endedHolder string
	endedAt     time.Time
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

// NewMachine returns the machine of a process on a host that other processes
// reach at control. The holder's name must differ for each start.
func NewMachine(holder, host, control string, settings Settings) *Machine {
	return &Machine{settings: settings, holder: holder, host: host, control: control, at: state.NoOffset, stale: true}
}

// MayAct reports whether this process holds the lease and may act, with the
// fencing token of its lease.
func (m *Machine) MayAct(now time.Time) (state.FencingToken, bool) {
	valid := m.holds && now.Before(m.ValidUntil()) && !now.Before(m.settled)
	return m.token, valid
}

// ValidUntil returns when the right to act ends unless the lease is renewed, or
// the other processes renew their promises.
func (m *Machine) ValidUntil() time.Time {
	last := m.written
	if m.promised.After(last) {
		last = m.promised
	}
	return last.Add(m.settings.TTL - m.settings.Margin)
}

// SetPromisedAt notes that all other processes have promised at or after a time not
// to take the lease for TTL; zero if they have not.
func (m *Machine) SetPromisedAt(at time.Time) { m.promised = at }

// SinceRenewal returns for how long the holder has not renewed its lease; zero if
// this process does not hold it.
func (m *Machine) SinceRenewal(now time.Time) time.Duration {
	if !m.holds {
		return 0
	}
	return now.Sub(m.written)
}

// HoldsLease reports whether this process holds the lease, though it may still
// have to wait before it acts.
func (m *Machine) HoldsLease(now time.Time) bool {
	return m.holds && now.Before(m.ValidUntil())
}

// Leader returns the name and the control address of the holder as far as known;
// empty if there is none.
func (m *Machine) Leader() (holder, control string) {
	if m.known == nil || m.known.Released {
		return "", ""
	}
	return m.known.Holder, m.known.Control
}

// Offset returns the place of the newest record known.
func (m *Machine) Offset() state.Offset { return m.at }

// ObserveOffset notes that the holder has said that its record at an offset is the
// newest, which saves reading it.
func (m *Machine) ObserveOffset(at state.Offset, now time.Time) {
	if m.holds || at < m.at {
		return
	}
	if at > m.at {
		m.at, m.seen, m.outdated = at, now, true
	}
}

// Promise is asked for by a holder that acts by the record at an offset and
// can't renew it. It reports whether this process will not take the lease for
// TTL from now on.
func (m *Machine) Promise(at state.Offset, now time.Time) bool {
	if m.holds || m.pending != nil {
		return false
	}
	if !m.read {
		// What it reads first counts from then on.
		return true
	}
	if at != m.at || m.known == nil || m.known.Released {
		return false
	}
	m.seen = now
	return true
}

// ObserveRead takes the result of a read.
func (m *Machine) ObserveRead(record *fleet.LeaseRecord, at, end state.Offset, now time.Time) {
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

// ObserveWrite takes the result of a write that began at began: ok if it was stored,
// unknown if it may have been or may be later.
func (m *Machine) ObserveWrite(record fleet.LeaseRecord, end state.Offset, began time.Time, ok, unknown bool, now time.Time) {
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
		if m.pauses {
			m.settled = now.Add(m.settings.Settle)
		}
	}
	m.holds, m.written, m.promised = true, p.began, time.Time{}
}

// Next returns what to do now. A process that leaves gives its lease up and
// takes none.
func (m *Machine) Next(now time.Time, leaving bool) Step {
	if m.holds && !m.HoldsLease(now) {
		m.holds, m.stale = false, true
	}
	switch {
	case m.stale:
		return Step{Action: Read}
	case m.holds && leaving:
		// Another may act as soon as the record is stored, which may be long
		// before the answer to the write.
		m.holds = false
		return m.write(fleet.LeaseRecord{Token: m.token, Released: true})
	case m.holds && !now.Before(m.written.Add(m.settings.Renew)):
		if !now.Before(m.settled.Add(m.settings.Settle)) {
			// Whoever held the lease before has paused long enough.
			m.recent = nil
		}
		return m.write(fleet.LeaseRecord{Token: m.token})
	case m.holds || leaving:
		return Step{}
	case m.known != nil && !m.known.Released && !m.lapsed(now) && !m.ended(now):
		return Step{}
	case m.outdated:
		return Step{Action: Read}
	default:
		m.follow(now)
		if m.pauses && now.Before(m.seen.Add(yieldFor)) {
			return Step{}
		}
		return m.write(fleet.LeaseRecord{})
	}
}

// follow notes which hosts this process would follow as the holder.
func (m *Machine) follow(now time.Time) {
	m.recent, m.pauses = nil, false
	if m.known == nil {
		return
	}
	if !m.lapsed(now) {
		// Those before the last holder may have acted lately as well.
		m.recent = m.known.Recent
	}
	m.pauses = slices.Contains(m.recent, m.host) || len(m.recent) >= maxRecent
	switch {
	case m.pauses:
		m.recent = nil
	case m.known.Host != m.host:
		m.recent = append(slices.Clone(m.recent), m.known.Host)
	}
}

// ObserveEnd notes proof that a process, by its name as a holder, acts no more and
// never will by the lease that is known. It reports whether that is news.
func (m *Machine) ObserveEnd(holder string, now time.Time) bool {
	if m.endedHolder == holder {
		return false
	}
	m.endedHolder, m.endedAt = holder, now
	return true
}

// ObserveAnnouncement notes that a holder has said that its record at an offset is the
// newest. It reports whether the holder is news. The record itself is read
// before this process writes one.
func (m *Machine) ObserveAnnouncement(holder, control string, at state.Offset, now time.Time) bool {
	if m.holds || at <= m.at {
		return false
	}
	news := m.known == nil || m.known.Holder != holder
	m.known = &fleet.LeaseRecord{Holder: holder, Control: control}
	m.at, m.seen, m.outdated = at, now, true
	return news
}

// Resign gives the lease up without a write, for a holder that can't reach the
// store while others can. The process goes on under another name: its old one
// acts no more, whatever is still written under it.
func (m *Machine) Resign(name string, now time.Time) {
	if m.holds {
		m.ObserveEnd(m.holder, now)
	}
	m.holder, m.holds, m.pending, m.stale, m.promised = name, false, nil, true, time.Time{}
}

// ended reports whether the holder of the newest record is known to have ended.
func (m *Machine) ended(now time.Time) bool {
	return m.known.Holder == m.endedHolder && m.endedHolder != m.holder && !now.Before(m.endedAt.Add(endedPause))
}

// lapsed reports whether the record known has stood for TTL.
func (m *Machine) lapsed(now time.Time) bool { return !now.Before(m.seen.Add(m.settings.TTL)) }

// RequestRead asks for a read at the next step.
func (m *Machine) RequestRead() { m.stale = true }

func (m *Machine) write(record fleet.LeaseRecord) Step {
	m.sequence++
	record.Holder, record.Host, record.Control, record.Sequence = m.holder, m.host, m.control, m.sequence
	record.Recent = m.recent
	return Step{Action: Write, Record: record, End: m.end}
}
