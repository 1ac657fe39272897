package election

import (
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/fleet"
)

// Epoch returns the latest epoch that an answer of the log has named.
func (m *Machine) Epoch() fleet.LogEpoch { return m.latest }

// ObserveEpoch records that the log has answered in an epoch. It reports whether that is a later
// one than was known. The holder in it may be one whose record was lost, so this process
// waits for TTL from now on.
func (m *Machine) ObserveEpoch(epoch fleet.LogEpoch, now time.Time) bool {
	if epoch <= m.latest {
		return false
	}
	m.latest, m.seenAt, m.needsRead = epoch, now, true
	return true
}

// isNews reports whether a position that a holder reports as that of the newest record
// is later than the one known.
func (m *Machine) isNews(at fleet.LogPosition) bool {
	return at.Epoch >= m.latest && (at.Epoch > m.epoch || at.Epoch == m.epoch && at.Offset > m.knownOffset)
}

// adopt sets the position of the newest record to one that its holder reports. It leaves
// latest as it is, since a wrong report must not hide what the log answers.
func (m *Machine) adopt(at fleet.LogPosition, now time.Time) {
	m.epoch, m.knownOffset = at.Epoch, at.Offset
	m.seenAt, m.readBeforeWrite = now, true
}

// stale reports whether the newest record does not say who holds the lease: it was
// decided by the log of another epoch, or it is missing and may have been lost.
func (m *Machine) stale() bool {
	if m.known == nil {
		return m.epoch > m.settings.FirstEpoch
	}
	return m.known.Epoch != m.epoch
}

// isFree reports whether the newest record shows that nobody holds the lease, before it
// expires.
func (m *Machine) isFree(now time.Time) bool {
	return !m.stale() && (m.known == nil || m.known.Released || m.holderEnded(now))
}
