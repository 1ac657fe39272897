package lease

import (
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// Machine decides for one process.
type Machine struct{}

// NewMachine returns the machine of process self, started at now.
func NewMachine(self state.ProcessID, settings Settings, now time.Time) *Machine { panic(self) }

// Step returns what to append now.
func (m *Machine) Step(in Input, now time.Time) Action { panic(in) }

// Deciding reports whether this process should plan: it holds the lease and
// has seen its own renewal in the log lately. Nothing unsafe follows from a
// wrong answer.
func (m *Machine) Deciding(now time.Time) bool { panic(now) }
