// Package membership decides which entries and agents are alive, suspect,
// dead or leaving, and which entry has which soft role: one that each entry
// assigns by hashing over the entries that it considers live.
package membership

import (
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// Settings holds the timeouts that apply to agents and hosts.
type Settings struct {
	// AgentSuspectAfter and AgentDeadAfter are how long an agent must have sent
	// no heartbeat to be suspect or dead. Heartbeats are sent every 5 s;
	// defaults 8 s and 15 s.
	AgentSuspectAfter time.Duration
	AgentDeadAfter    time.Duration
	// ReportFreshFor is how long a watcher's report is valid; default 10 s.
	ReportFreshFor time.Duration
	// HostAbsentAfter is how long every reading of the host list must have
	// lacked a host before it counts as absent, because the list lags;
	// default 20 s.
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

// The states. Only live entries and upstreams get new work or grants.
const (
	// Unknown means that no entry has watched it for long enough to determine
	// its state.
	Unknown Health = iota
	Live
	Suspect
	// Dead means silent for the configured time. The host may still run.
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

// AgentReport is a watcher's report on an agent to the region's decider.
type AgentReport struct {
	Upstream state.UpstreamName `json:"upstream"`
	// Host is the one on which the upstream is watched.
	Host        state.HostName `json:"host"`
	Incarnation string         `json:"incarnation"`
	// Agent is the fencing token of the agent's registration.
	Agent state.FencingToken `json:"agent"`
	// Health is Unknown until the watcher has watched for long enough.
	Health Health `json:"health"`
}

// HomeBatch holds the replica changes for one home.
type HomeBatch struct {
	Home    state.EntryName
	Changes []rpc.ReplicaChange
}
