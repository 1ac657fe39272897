package state

import (
	"iter"
	"time"
)

// LeaseState is the decider lease that is in force.
type LeaseState struct {
	Epoch  Epoch     `json:"epoch"`
	Holder EntryName `json:"holder"`
	// Writer is the process that took the lease. A later run of the same
	// entry does not hold the lease.
	Writer ProcessID `json:"writer"`
	// RenewedOffset is the offset of the last lease record of the epoch.
	RenewedOffset Offset `json:"renewed"`
	// RenewedAt is when the log stored that record, by the log's clock.
	RenewedAt time.Time `json:"renewed_at"`
}

// AgentRegistration is the latest registration of an agent for an upstream.
type AgentRegistration struct {
	Upstream    UpstreamName `json:"upstream"`
	Incarnation string       `json:"incarnation"`
	Token       FencingToken `json:"token"`
	Fencing     FencingKind  `json:"fencing"`
	// Host is where the agent runs; empty if its agent.start record does not
	// name it.
	Host HostName `json:"host,omitempty"`
}

// OnOtherHostThan reports whether the agent is known to run on another host. Its
// grants then belong to that host until they are released or the host is gone.
func (a AgentRegistration) OnOtherHostThan(host HostName) bool {
	return a.Host != "" && a.Host != host
}

// IntentSet is the intent in force for an upstream.
type IntentSet struct {
	Upstream UpstreamName `json:"upstream"`
	// Agent is the fencing token of the agent that wrote the set. It is older
	// than the upstream's latest registration until that agent writes its
	// own intent.
	Agent  FencingToken `json:"agent"`
	Offset Offset       `json:"offset"`
	// Record is the ID of the intent record.
	Record string       `json:"record,omitempty"`
	Models []ReplicaKey `json:"models"`
	// Orders is that of the intent record; a successor of the agent reserves
	// memory for that many loads.
	Orders int `json:"orders,omitempty"`
}

// RegionView is an immutable view of a region's tables. It may be read by any
// number of goroutines.
type RegionView struct {
	offset           Offset
	lease            LeaseState
	leaseHeld        bool
	grants           rows[Offset, Grant]
	grantsByModel    rows[ModelName, []Grant]
	grantsByUpstream rows[UpstreamName, []Grant]
	agents           rows[UpstreamName, AgentRegistration]
	intents          rows[UpstreamName, IntentSet]
	quarantine       rows[uint64, Quarantine]
}

// Offset returns the last applied offset, or NoOffset.
func (v *RegionView) Offset() Offset { return v.offset }

// Lease returns the lease in force.
func (v *RegionView) Lease() (LeaseState, bool) { return v.lease, v.leaseHeld }

// Grant returns the unreleased grant with the ID.
func (v *RegionView) Grant(id Offset) (Grant, bool) {
	item, ok := v.grants.get(id)
	return item.value, ok
}

// GrantsOf returns the unreleased grants of a model in order of ID. The
// slice must not be modified.
func (v *RegionView) GrantsOf(model ModelName) []Grant {
	item, _ := v.grantsByModel.get(model)
	return item.value
}

// GrantsOn returns the unreleased grants on an upstream in order of ID. The
// slice must not be modified.
func (v *RegionView) GrantsOn(upstream UpstreamName) []Grant {
	item, _ := v.grantsByUpstream.get(upstream)
	return item.value
}

// Grants iterates over all unreleased grants in order of ID.
func (v *RegionView) Grants() iter.Seq[Grant] { return v.grants.all() }

// Agents iterates over the latest registrations in order of upstream.
func (v *RegionView) Agents() iter.Seq[AgentRegistration] { return v.agents.all() }

// Agent returns the latest registration of an upstream.
func (v *RegionView) Agent(upstream UpstreamName) (AgentRegistration, bool) {
	item, ok := v.agents.get(upstream)
	return item.value, ok
}

// IntentOf returns the intent in force for an upstream.
func (v *RegionView) IntentOf(upstream UpstreamName) (IntentSet, bool) {
	item, ok := v.intents.get(upstream)
	return item.value, ok
}

// Quarantined reports whether the fingerprint is in quarantine at the time now.
func (v *RegionView) Quarantined(fingerprint uint64, now time.Time) bool {
	item, ok := v.quarantine.get(fingerprint)
	return ok && now.Before(item.value.Until)
}

// Quarantines iterates over the quarantines, expired ones included.
func (v *RegionView) Quarantines() iter.Seq[Quarantine] { return v.quarantine.all() }
