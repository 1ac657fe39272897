package lease

import (
	"slices"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/decide/membership"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// Machine decides for one process.
type Machine struct {
	self     state.ProcessID
	settings Settings
	// renewed is the offset of the newest lease record seen, and seenAt is
	// when this process saw it. The log's own time plays no part.
	renewed state.Offset
	seenAt  time.Time
	triedAt time.Time
	holding bool
	leaving bool
}

// NewMachine returns the machine of process self, started at now.
func NewMachine(self state.ProcessID, settings Settings, now time.Time) *Machine {
	return &Machine{self: self, settings: settings, renewed: state.NoOffset, seenAt: now}
}

// Step returns what to append now. An append that fails or whose answer is
// lost needs no care: the next step tries again, and log order decides.
func (m *Machine) Step(in Input, now time.Time) Action {
	m.observe(in, now)
	if m.leaving || now.Sub(m.triedAt) < m.settings.RenewEvery {
		return Action{}
	}
	if m.holding {
		m.triedAt = now
		return Action{Renew: &state.LeaseRenew{Epoch: in.Lease.Epoch}}
	}
	if now.Sub(m.seenAt) < m.patience(in) {
		return Action{}
	}
	m.triedAt = now
	replaces := state.NoOffset
	if in.Held {
		replaces = in.Lease.Epoch
	}
	return Action{Take: &state.LeaseTake{Holder: state.EntryName(m.self.Name), Replaces: replaces}}
}

func (m *Machine) observe(in Input, now time.Time) {
	if in.Held && in.Lease.Renewed != m.renewed {
		m.renewed = in.Lease.Renewed
		m.seenAt = now
	}
	m.holding = in.Held && in.Lease.Writer == m.self
	m.leaving = in.Leaving
}

// patience is how long a standby waits without a sign of the holder.
func (m *Machine) patience(in Input) time.Duration {
	wait := m.stagger(in)
	// An earlier run of this entry has ended, so its silence is certain.
	earlierRun := in.Lease.Writer.Name == m.self.Name
	if in.Held && !in.HolderLeaving && !earlierRun {
		wait += m.settings.TakeAfter
	}
	return wait
}

// stagger keeps standbys from trying at once. The holder does not count, so
// that its most likely successor does not wait.
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
// has seen its own renewal in the log lately. Nothing unsafe follows from a
// wrong answer.
func (m *Machine) Deciding(now time.Time) bool {
	return m.holding && !m.leaving && now.Sub(m.seenAt) < m.settings.TakeAfter
}
