// Package membership decides which entries and agents are alive, suspect,
// dead or leaving, and which entry has which soft role.
package membership

import (
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// Settings holds the times after which the silence of agents and hosts counts.
type Settings struct {
	// AgentSuspectAfter and AgentDeadAfter apply to heartbeats, which are
	// sent every 5 s; defaults 8 s and 15 s.
	AgentSuspectAfter time.Duration
	AgentDeadAfter    time.Duration
	// ReportFreshFor is how long a watcher's report counts; default 10 s.
	ReportFreshFor time.Duration
	// HostAbsentAfter is how long the host list must have lacked a host in
	// each reading, because the list lags; default 20 s.
	HostAbsentAfter time.Duration
}

// DefaultSettings returns the defaults.
func DefaultSettings() Settings {
	return Settings{
		AgentSuspectAfter: 8 * time.Second,
		AgentDeadAfter:    15 * time.Second,
		ReportFreshFor:    10 * time.Second,
		HostAbsentAfter:   20 * time.Second,
	}
}

// Health is the state of an entry or of an upstream with its agent.
type Health uint8

// The states. Only Live ones get new work or grants.
const (
	// Unknown means that nobody has watched it for long enough.
	Unknown Health = iota
	Live
	Suspect
	// Dead means silent for the stated time. The host may still run.
	Dead
	Leaving
	// Gone means that the host list no longer has the host and all of its
	// agents are silent.
	Gone
)

var healthNames = [...]string{"unknown", "live", "suspect", "dead", "leaving", "gone"}

// String returns the lower-case name of h.
func (h Health) String() string { return healthNames[h] }

// Role is a soft role that rendezvous hashing gives to an entry.
type Role string

// The soft roles.
const (
	RoleHome       Role = "home"
	RoleRelay      Role = "relay"
	RoleWatcher    Role = "watcher"
	RoleClaimOwner Role = "claim-owner"
	RoleDecider    Role = "decider"
)

// AgentReport is what a watcher tells the region's decider of an agent.
type AgentReport struct {
	Upstream state.UpstreamName `json:"upstream"`
	// Host is the one on which the upstream is watched.
	Host        state.HostName     `json:"host"`
	Incarnation string             `json:"incarnation"`
	Agent       state.FencingToken `json:"agent"`
	// Health is Unknown until the watcher has watched for long enough.
	Health Health `json:"health"`
}

// HomeBatch holds the replica changes for one home.
type HomeBatch struct {
	Home    state.EntryName
	Changes []rpc.ReplicaChange
}
