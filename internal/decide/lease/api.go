// Package lease decides when an entry takes, renews or gives up the decider
// lease of its region. Safety comes from log order alone; time only decides
// when an attempt is made.
package lease

import (
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// Settings holds the intervals of the lease.
type Settings struct {
	// RenewEvery is the holder's renewal interval; default 3 s.
	RenewEvery time.Duration
	// TakeAfter is how long a standby waits without seeing a renewal before
	// it tries to take the lease; default 10 s.
	TakeAfter time.Duration
	// Stagger delays a standby's attempt per rendezvous rank; default 1 s.
	Stagger time.Duration
}

// DefaultSettings returns the defaults.
func DefaultSettings() Settings {
	return Settings{RenewEvery: 3 * time.Second, TakeAfter: 10 * time.Second, Stagger: time.Second}
}

// Input is the state on which a step decides.
type Input struct {
	// Lease is the lease in force; Held is false if there is none.
	Lease state.LeaseState
	Held  bool
	// Entries lists the live entries of the region that are not leaving,
	// self included.
	Entries []state.EntryName
	// HolderLeaving is set if the holder has announced its stop, so that
	// standbys need not wait for TakeAfter.
	HolderLeaving bool
	// Leaving is set if this process is stopping.
	Leaving bool
}

// Action is the record to append. At most one field is set.
type Action struct {
	Take  *state.LeaseTake
	Renew *state.LeaseRenew
}
