package state

import (
	"iter"
	"time"
)

// LeaseState is the decider lease that is in force.
type LeaseState struct {
	Epoch  Epoch     `json:"epoch"`
	Holder EntryName `json:"holder"`
	// Writer is the process that took the lease. A new run of the same
	// entry does not hold it.
	Writer ProcessID `json:"writer"`
	// RenewedOffset is the offset of the last lease record of the epoch.
	RenewedOffset Offset `json:"renewed"`
	// RenewedAt is the log's time of that record.
	RenewedAt time.Time `json:"renewed_at"`
}

// AgentRegistration is the latest agent of an upstream.
type AgentRegistration struct {
	Upstream    UpstreamName `json:"upstream"`
	Incarnation string       `json:"incarnation"`
	Token       FencingToken `json:"token"`
	Fencing     FencingKind  `json:"fencing"`
	// Host is where the agent runs; empty if its record did not name it.
	Host HostName `json:"host,omitempty"`
}

// OnOtherHostThan reports whether the agent is known to run on another host. Its
// grants then belong to that host until they are released or the host is gone.
func (a AgentRegistration) OnOtherHostThan(host HostName) bool {
	return a.Host != "" && a.Host != host
}

// IntentSet is the standing intent in force for an upstream.
type IntentSet struct {
	Upstream UpstreamName `json:"upstream"`
	// Agent is the registration that wrote the set. It is older than the
	// upstream's latest one until the successor writes its own.
	Agent  FencingToken `json:"agent"`
	Offset Offset       `json:"offset"`
	// Record is the id of the set's record.
	Record string       `json:"record,omitempty"`
	Models []ReplicaKey `json:"models"`
	// Orders is as in Intent: a successor reserves for so many loads.
	Orders int `json:"orders,omitempty"`
}

// RegionView is an immutable view of a region's tables. It may be read by any
// number of goroutines.
type RegionView struct {
	offset     Offset
	lease      LeaseState
	held       bool
	grants     rows[Offset, Grant]
	byModel    rows[ModelName, []Grant]
	byUpstream rows[UpstreamName, []Grant]
	agents     rows[UpstreamName, AgentRegistration]
	intents    rows[UpstreamName, IntentSet]
	quarantine rows[uint64, Quarantine]
}

// Offset returns the last applied offset, or NoOffset.
func (v *RegionView) Offset() Offset { return v.offset }

// Lease returns the lease in force.
func (v *RegionView) Lease() (LeaseState, bool) { return v.lease, v.held }

// Grant returns the unreleased grant with the id.
func (v *RegionView) Grant(id Offset) (Grant, bool) {
	item, ok := v.grants.get(id)
	return item.value, ok
}

// GrantsOf returns the unreleased grants of a model in order of id. The
// caller must not change the slice.
func (v *RegionView) GrantsOf(model ModelName) []Grant {
	item, _ := v.byModel.get(model)
	return item.value
}

// GrantsOn returns the unreleased grants on an upstream in order of id. The
// caller must not change the slice.
func (v *RegionView) GrantsOn(upstream UpstreamName) []Grant {
	item, _ := v.byUpstream.get(upstream)
	return item.value
}

// Grants iterates over all unreleased grants in order of id.
func (v *RegionView) Grants() iter.Seq[Grant] { return v.grants.all() }

// Agents iterates over the latest registrations in order of upstream.
func (v *RegionView) Agents() iter.Seq[AgentRegistration] { return v.agents.all() }

// Agent returns the latest registration of an upstream.
func (v *RegionView) Agent(upstream UpstreamName) (AgentRegistration, bool) {
	item, ok := v.agents.get(upstream)
	return item.value, ok
}

// IntentOf returns the standing intent of an upstream.
func (v *RegionView) IntentOf(upstream UpstreamName) (IntentSet, bool) {
	item, ok := v.intents.get(upstream)
	return item.value, ok
}

// Quarantined reports whether the fingerprint is in quarantine at now.
func (v *RegionView) Quarantined(fingerprint uint64, now time.Time) bool {
	item, ok := v.quarantine.get(fingerprint)
	return ok && now.Before(item.value.Until)
}

// Quarantines iterates over the quarantines, expired ones included.
func (v *RegionView) Quarantines() iter.Seq[Quarantine] { return v.quarantine.all() }
