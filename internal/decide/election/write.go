package election

import (
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/fleet"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

type pendingWrite struct {
	record fleet.LeaseRecord
	end    state.Offset
	began  time.Time
}

// WriteResult is the result of a write.
type WriteResult struct {
	// Stored is set if the record was stored, and Unknown if it may have been stored or
	// may be stored later.
	Stored, Unknown bool
	// Epoch is the epoch of the log in the answer; zero if there was none.
	Epoch fleet.LogEpoch
}

// ObserveWrite applies the result of a write of record at end, started at began. A
// write that was stored in another epoch than that by which it was decided counts for
// nothing: another holder's record may have been the newest there.
func (m *Machine) ObserveWrite(record fleet.LeaseRecord, end state.Offset, began time.Time, result WriteResult, now time.Time) {
	m.ObserveEpoch(result.Epoch, now)
	p := &pendingWrite{record: record, end: end, began: began}
	switch {
	case result.Stored && result.Epoch == record.Epoch && result.Epoch == m.latest:
		m.known, m.knownOffset, m.nextOffset, m.seenAt, m.hasRead = &record, end, end+1, now, true
		m.epoch = result.Epoch
		m.applyWrite(p, now)
	case result.Unknown:
		m.pending, m.needsRead = p, true
	default:
		m.needsRead = true
	}
}

// applyWrite applies a write of this process that is known to be stored.
func (m *Machine) applyWrite(p *pendingWrite, now time.Time) {
	if p.record.Released {
		m.holds = false
		return
	}
	if !m.holds {
		m.token = fleet.LogPosition{Epoch: p.record.Epoch, Offset: p.end}.Token()
		m.activeFrom = now
		if m.mustPause {
			m.activeFrom = now.Add(m.settings.Settle)
		}
	}
	m.holds, m.lastWrite, m.promisedAt = true, p.began, time.Time{}
}
