// Package election decides when a process takes, renews or gives up a lease
// that is kept as the newest record of a log with conditional writes. Unlike
// package lease, whose safety comes from log order, the work done under this
// lease leaves no record, so the lease is bounded by time: a holder stops before
// any other process can have taken it. Times come from a clock that also counts
// while the process is suspended.
//
// The log may come back as an older copy of itself, in a new epoch. The newest record
// may then be an old one again, or one that was decided by the former log and stored
// on its way. Neither says who holds the lease. The holder goes on for as long as its
// last stored write gives it, and writes its record again; all others wait for TTL
// from when they learned of the epoch, which is later than that write.
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
	// Margin is how long before the end of TTL the holder stops acting.
	Margin time.Duration
	// Settle is the time within which two hosts must not act in turns: a host
	// that has held the lease recently waits that long after it takes the lease
	// again before it acts. It must not exceed TTL.
	Settle time.Duration
	// FirstEpoch is the greatest epoch in which an empty log is known to have lost
	// no record, so that the lease may be taken at once.
	FirstEpoch fleet.LogEpoch
	// ClaimDelay is how long this process leaves a free lease to others.
	ClaimDelay time.Duration
}

const (
	// takeoverDelay is the time between proof that a holder has ended and the
	// first write of the next one: the last orders of the former holder may
	// still be in transit.
	takeoverDelay = 300 * time.Millisecond
	// yieldDuration is how long a process that would have to pause leaves a free
	// lease to others.
	yieldDuration = 500 * time.Millisecond
	// maxRecentHosts bounds the list of recent hosts. If the list is full, a host
	// that isn't on it pauses as well.
	maxRecentHosts = 16
	// anyHost on the list of recent hosts stands for each host: the record that
	// names the last one was lost.
	anyHost = "*"
)

// Action is what to do next.
type Action uint8

// The actions.
const (
	Wait Action = iota
	// Read requests the newest record.
	Read
	// Write requests a conditional write of Record at End.
	Write
)

// Step is an action with its arguments.
type Step struct {
	Action Action
	Record fleet.LeaseRecord
	// End is the offset that Record must get.
	End state.Offset
}

// Machine decides what one process does with the lease. It is not safe for
// concurrent use.
type Machine struct {
	settings Settings
	holder   string
	host     string
	control  string

	// known is the newest record seen, nil if there is none.
	known       *fleet.LeaseRecord
	knownOffset state.Offset
	// nextOffset is the offset that the next record will have.
	nextOffset state.Offset
	// epoch is the epoch of the log in which knownOffset is valid, and latest the latest
	// that an answer of the log has named.
	epoch, latest fleet.LogEpoch
	// seenAt is when the newest record was first seen, or when this process last
	// promised to leave the lease to its holder.
	seenAt  time.Time
	hasRead bool

	sequence uint64
	// token is set while this process holds the lease.
	token state.FencingToken
	holds bool
	// lastWrite is when the last successful write of the holder began.
	lastWrite time.Time
	// promisedAt is a time at or after which all other processes have promised
	// not to take the lease for TTL; zero if they have not.
	promisedAt time.Time
	// activeFrom is the time from which a new holder may act.
	activeFrom time.Time
	// recentHosts lists the hosts that held the lease recently and must pause
	// before they act again.
	recentHosts []string
	// mustPause is set if this process has to pause for Settle before it acts if
	// the write under way takes the lease.
	mustPause bool
	// endedHolder is a process that no longer holds the lease, as known since
	// endedAt.
	endedHolder string
	endedAt     time.Time
	// pending is the write whose outcome is unknown.
	pending *pendingWrite
	// needsRead is set if the newest record must be read now.
	needsRead bool
	// readBeforeWrite is set if the newest record must be read before a write:
	// only its offset is known, from its holder.
	readBeforeWrite bool
}

// NewMachine returns the machine of a process on a host that other processes
// reach at control. The holder's name must differ for each start.
func NewMachine(holder, host, control string, settings Settings) *Machine {
	return &Machine{settings: settings, holder: holder, host: host, control: control, knownOffset: state.NoOffset, needsRead: true}
}

// MayAct reports whether this process holds the lease and may act, with the
// fencing token of its lease.
func (m *Machine) MayAct(now time.Time) (state.FencingToken, bool) {
	valid := m.holds && now.Before(m.ValidUntil()) && !now.Before(m.activeFrom)
	return m.token, valid
}

// ValidUntil returns when the right to act ends unless the lease or the promises of
// the other processes are renewed.
func (m *Machine) ValidUntil() time.Time {
	last := m.lastWrite
	if m.promisedAt.After(last) {
		last = m.promisedAt
	}
	return last.Add(m.settings.TTL - m.settings.Margin)
}

// SetPromisedAt records that all other processes have promised, at or after a
// time, not to take the lease for TTL; zero if they have not.
func (m *Machine) SetPromisedAt(at time.Time) { m.promisedAt = at }

// SinceRenewal returns for how long the holder has not renewed its lease; zero if
// this process does not hold it.
func (m *Machine) SinceRenewal(now time.Time) time.Duration {
	if !m.holds {
		return 0
	}
	return now.Sub(m.lastWrite)
}

// HoldsLease reports whether this process holds the lease. It may still have to
// pause before it acts.
func (m *Machine) HoldsLease(now time.Time) bool {
	return m.holds && now.Before(m.ValidUntil())
}

// Leader returns the name and the control address of the holder in the newest
// record that this process has observed; empty if there is none.
func (m *Machine) Leader() (holder, control string) {
	if m.known == nil || m.known.Released {
		return "", ""
	}
	return m.known.Holder, m.known.Control
}

// Position returns the position of the newest record known.
func (m *Machine) Position() fleet.LogPosition {
	return fleet.LogPosition{Epoch: m.epoch, Offset: m.knownOffset}
}

// ObservePosition records that the holder has reported its record at a position as
// the newest, so that the record need not be read now.
func (m *Machine) ObservePosition(at fleet.LogPosition, now time.Time) {
	if !m.holds && m.isNews(at) {
		m.adopt(at, now)
	}
}

// Promise answers a holder that acts by the record at a position and can't renew
// it. It reports whether this process promises not to take the lease for TTL from
// now on.
func (m *Machine) Promise(at fleet.LogPosition, now time.Time) bool {
	if m.holds || m.pending != nil {
		return false
	}
	if !m.hasRead {
		// The TTL of the record that it reads first counts from that read.
		return true
	}
	if at != m.Position() || m.epoch < m.latest || m.known == nil || m.known.Released {
		return false
	}
	m.seenAt = now
	return true
}

// ObserveRead applies the result of a read. It ignores that of an earlier epoch than
// the latest one known.
func (m *Machine) ObserveRead(read fleet.LeaseState, now time.Time) {
	m.ObserveEpoch(read.Epoch, now)
	if read.Epoch != m.latest {
		return
	}
	record := read.Record
	if read.At != m.knownOffset || read.Epoch != m.epoch || !m.hasRead {
		m.seenAt = now
	}
	m.known, m.knownOffset, m.nextOffset, m.epoch = record, read.At, read.End, read.Epoch
	m.hasRead, m.needsRead, m.readBeforeWrite = true, false, false
	own := record != nil && record.Holder == m.holder
	if p := m.pending; p != nil {
		m.pending = nil
		// In another epoch, the record may have been stored after that of another holder.
		if own && record.Sequence == p.record.Sequence && read.Epoch == p.record.Epoch {
			m.applyWrite(p, now)
			return
		}
	}
	if m.holds && !m.stale() && (!own || record.Released) {
		m.holds = false
	}
}

// Next returns what to do now. A leaving process releases its lease and takes none.
func (m *Machine) Next(now time.Time, leaving bool) Step {
	if m.holds && !m.HoldsLease(now) {
		m.holds, m.needsRead = false, true
	}
	switch {
	case m.needsRead || m.epoch < m.latest:
		return Step{Action: Read}
	case leaving && m.keepsOthers(now):
		// Another process may act as soon as the record is stored, which may be
		// long before the answer to the write.
		m.holds = false
		return m.write(fleet.LeaseRecord{Token: m.token, Released: true})
	case m.holds && (m.stale() || !now.Before(m.lastWrite.Add(m.settings.Renew))):
		if !now.Before(m.activeFrom.Add(m.settings.Settle)) {
			// The hosts of earlier holders need not pause any longer.
			m.recentHosts = nil
		}
		return m.write(fleet.LeaseRecord{Token: m.token})
	case m.holds || leaving:
		return Step{}
	case !m.expired(now) && !m.isFree(now):
		return Step{}
	case m.readBeforeWrite:
		return Step{Action: Read}
	case now.Before(m.freeSince(now).Add(m.settings.ClaimDelay)):
		return Step{}
	default:
		m.updateRecentHosts(now)
		if m.mustPause && now.Before(m.seenAt.Add(yieldDuration)) {
			return Step{}
		}
		return m.write(fleet.LeaseRecord{})
	}
}

// keepsOthers reports whether others wait until the newest record, of this process, expires.
// The process need not hold the lease any more. A record of an earlier epoch may hide that of
// another holder, so only a holder may release the lease then.
func (m *Machine) keepsOthers(now time.Time) bool {
	if m.stale() {
		return m.holds
	}
	return m.known != nil && m.known.Holder == m.holder && !m.known.Released && !m.expired(now)
}

// NeedsRelease reports whether others may wait for the lease of this process to expire unless
// it is released.
func (m *Machine) NeedsRelease(now time.Time) bool { return m.pending != nil || m.keepsOthers(now) }

// updateRecentHosts sets recentHosts and mustPause for a write that takes the
// lease.
func (m *Machine) updateRecentHosts(now time.Time) {
	m.recentHosts, m.mustPause = nil, false
	if m.stale() {
		m.recentHosts = []string{anyHost}
		return
	}
	if m.known == nil {
		return
	}
	if !m.expired(now) {
		// Hosts of holders before the last one may have acted recently as well.
		m.recentHosts = m.known.Recent
	}
	m.mustPause = slices.Contains(m.recentHosts, m.host) || slices.Contains(m.recentHosts, anyHost) || len(m.recentHosts) >= maxRecentHosts
	switch {
	case m.mustPause:
		m.recentHosts = nil
	case m.known.Host != m.host:
		m.recentHosts = append(slices.Clone(m.recentHosts), m.known.Host)
	}
}

// ObserveEnd records proof that a holder no longer acts by the known lease and
// never will. It reports whether that was unknown before.
func (m *Machine) ObserveEnd(holder string, now time.Time) bool {
	if m.endedHolder == holder {
		return false
	}
	m.endedHolder, m.endedAt = holder, now
	return true
}

// ObserveAnnouncement records that a holder has reported its record at a
// position as the newest. It reports whether that is another holder than the one
// known. The record itself is read before this process writes one.
func (m *Machine) ObserveAnnouncement(holder, control string, at fleet.LogPosition, now time.Time) bool {
	if m.holds || !m.isNews(at) {
		return false
	}
	isNew := m.known == nil || m.known.Holder != holder
	m.known = &fleet.LeaseRecord{Holder: holder, Control: control, Epoch: at.Epoch}
	m.adopt(at, now)
	return isNew
}

// Resign gives the lease up without a write, for a holder that can't reach the
// store while others can. The process continues under another name and no longer
// acts under the old one, whatever is still written under that.
func (m *Machine) Resign(name string, now time.Time) {
	if m.holds {
		m.ObserveEnd(m.holder, now)
	}
	m.holder, m.holds, m.pending, m.needsRead, m.promisedAt = name, false, nil, true, time.Time{}
}

// holderEnded reports whether the holder of the newest record is known to have
// ended, takeoverDelay ago or longer.
func (m *Machine) holderEnded(now time.Time) bool {
	return m.known.Holder == m.endedHolder && m.endedHolder != m.holder && !now.Before(m.endedAt.Add(takeoverDelay))
}

// expired reports whether TTL has passed since seenAt.
func (m *Machine) expired(now time.Time) bool { return !now.Before(m.seenAt.Add(m.settings.TTL)) }

// RequestRead requests a read at the next step.
func (m *Machine) RequestRead() { m.needsRead = true }

func (m *Machine) write(record fleet.LeaseRecord) Step {
	m.sequence++
	record.Holder, record.Host, record.Control, record.Sequence = m.holder, m.host, m.control, m.sequence
	record.Recent, record.Epoch = m.recentHosts, m.epoch
	return Step{Action: Write, Record: record, End: m.nextOffset}
}
