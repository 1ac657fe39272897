package state

import "time"

// LeaseState is the decider lease that is in force.
type LeaseState struct {
	Epoch  Epoch     `json:"epoch"`
	Holder EntryName `json:"holder"`
	// Writer is the process that took the lease. A new run of the same
	// entry does not hold it.
	Writer ProcessID `json:"writer"`
	// Renewed is the offset of the last lease record of the epoch.
	Renewed Offset `json:"renewed"`
	// RenewedAt is the log's time of that record.
	RenewedAt time.Time `json:"renewed_at"`
}

// AgentRegistration is the latest agent of an upstream.
type AgentRegistration struct {
	Upstream    UpstreamName `json:"upstream"`
	Incarnation string       `json:"incarnation"`
	Token       FencingToken `json:"token"`
	Fencing     FencingKind  `json:"fencing"`
}

// IntentSet is the standing intent in force for an upstream.
type IntentSet struct {
	Upstream UpstreamName `json:"upstream"`
	// Agent is the registration that wrote the set. It is older than the
	// upstream's latest one until the successor writes its own.
	Agent  FencingToken `json:"agent"`
	Offset Offset       `json:"offset"`
	Models []ReplicaKey `json:"models"`
}
