package lease

import (
	"slices"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/decide/membership"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// Machine is the lease state machine of one process.
type Machine struct {
	self     state.ProcessID
	settings Settings
	// lastRecord is the offset of the newest lease record seen, and seenAt is
	// when this process saw it. The log's timestamps are not used.
	lastRecord  state.Offset
	seenAt      time.Time
	lastAttempt time.Time
	holding     bool
	leaving     bool
}

// NewMachine returns the machine of process self, started at now.
func NewMachine(self state.ProcessID, settings Settings, now time.Time) *Machine {
	return &Machine{self: self, settings: settings, lastRecord: state.NoOffset, seenAt: now}
}

// Step returns what to append now. An append that fails or whose answer is
// lost needs no handling: the next step tries again, and log order decides.
func (m *Machine) Step(in Input, now time.Time) Action {
	m.observe(in, now)
	if m.leaving || now.Sub(m.lastAttempt) < m.settings.RenewEvery {
		return Action{}
	}
	if m.holding {
		m.lastAttempt = now
		return Action{Renew: &state.LeaseRenew{Epoch: in.Lease.Epoch}}
	}
	if now.Sub(m.seenAt) < m.takeDelay(in) {
		return Action{}
	}
	m.lastAttempt = now
	replaces := state.NoOffset
	if in.Held {
		replaces = in.Lease.Epoch
	}
	return Action{Take: &state.LeaseTake{Holder: state.EntryName(m.self.Name), Replaces: replaces}}
}

func (m *Machine) observe(in Input, now time.Time) {
	if in.Held && in.Lease.RenewedOffset != m.lastRecord {
		m.lastRecord = in.Lease.RenewedOffset
		m.seenAt = now
	}
	m.holding = in.Held && in.Lease.Writer == m.self
	m.leaving = in.Leaving
}

// takeDelay returns how long a standby waits without a new lease record before
// it tries to take the lease.
func (m *Machine) takeDelay(in Input) time.Duration {
	wait := m.stagger(in)
	// An earlier run of this entry has ended, so it will not renew its lease.
	earlierRun := in.Lease.Writer.Name == m.self.Name
	if in.Held && !in.HolderLeaving && !earlierRun {
		wait += m.settings.TakeAfter
	}
	return wait
}

// stagger returns a delay by rank, so that the standbys do not all try at the
// same time. The holder is left out of the ranking, so that the first standby
// has no delay.
func (m *Machine) stagger(in Input) time.Duration {
	standbys := slices.DeleteFunc(slices.Clone(in.Entries), func(name state.EntryName) bool {
		return in.Held && name == in.Lease.Holder && name != state.EntryName(m.self.Name)
	})
	rank := membership.NewRing(standbys).Rank(membership.RoleDecider, "", state.EntryName(m.self.Name))
	if rank < 0 {
		rank = len(standbys)
	}
	return time.Duration(rank) * m.settings.Stagger
}

// Deciding reports whether this process should plan: it holds the lease and
// has recently seen its own renewal in the log. A wrong answer is safe, since
// log order decides.
func (m *Machine) Deciding(now time.Time) bool {
	return m.holding && !m.leaving && now.Sub(m.seenAt) < m.settings.TakeAfter
}
