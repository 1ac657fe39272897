package state

import (
	"encoding/json"
	"time"

	"github.com/go-faster/errors"
)

// Kind is the kind of a log record.
type Kind string

// The kinds of log records. docs/design.md, section 3.1, says when each takes
// effect.
const (
	KindConfigChange Kind = "config.change"
	KindLeaseTake    Kind = "lease.take"
	KindLeaseRenew   Kind = "lease.renew"
	KindGrant        Kind = "grant"
	KindRevoke       Kind = "revoke"
	KindRelease      Kind = "release"
	KindAgentStart   Kind = "agent.start"
	KindHostGone     Kind = "host.gone"
	KindIntent       Kind = "intent"
	KindClaim        Kind = "claim"
	KindClaimVoid    Kind = "claim.void"
	KindClaimDone    Kind = "claim.done"
	KindQuarantine   Kind = "quarantine"
	KindSnapshot     Kind = "snapshot"
	KindAudit        Kind = "audit"
)

// ConfigChange creates, replaces or deletes a configured entity.
type ConfigChange struct {
	Entity EntityKind `json:"entity"`
	// Name is the entity's key: "model/version" for a version, Drain.Key for
	// a drain, and the entity's name for all others.
	Name string `json:"name"`
	// Expected is the revision that the change replaces; zero creates the
	// entity.
	Expected Revision `json:"expected"`
	// Value is the encoded entity; empty deletes it.
	Value  json.RawMessage `json:"value,omitempty"`
	Actor  string          `json:"actor"`
	Team   TeamName        `json:"team,omitempty"`
	Reason string          `json:"reason,omitempty"`
}

// LeaseTake takes the region's decider lease.
type LeaseTake struct {
	Holder EntryName `json:"holder"`
	// Replaces is the epoch of the lease that it ends; NoOffset if there was
	// no lease.
	Replaces Epoch `json:"replaces"`
}

// LeaseRenew shows that the decider of the epoch is still running.
type LeaseRenew struct {
	Epoch Epoch `json:"epoch"`
}

// GrantBody is the body of a grant record.
type GrantBody struct {
	Epoch Epoch `json:"epoch"`
	ReplicaKey
	Upstream UpstreamName `json:"upstream"`
	// Limit is the model's max_replicas in the configuration that the decider
	// used.
	Limit int `json:"limit"`
	// ConfigOffset is the offset of the configuration that the decider used.
	ConfigOffset Offset `json:"config"`
}

// Revoke requests that the agent of a grant release it.
type Revoke struct {
	Epoch Epoch  `json:"epoch"`
	Grant Offset `json:"grant"`
}

// Release ends a grant. Its agent writes it once the replica is confirmed to be
// unloaded.
type Release struct {
	Grant Offset       `json:"grant"`
	Agent FencingToken `json:"agent"`
}

// AgentStart registers an agent; the record's offset is its fencing token.
type AgentStart struct {
	Upstream    UpstreamName `json:"upstream"`
	Incarnation string       `json:"incarnation"`
	Fencing     FencingKind  `json:"fencing"`
	// Host is where the agent runs; empty in records of early releases.
	Host HostName `json:"host,omitempty"`
}

// HostGone ends the grants, registrations and intents of the upstreams of a
// host, except for upstreams whose agent is registered on another host.
type HostGone struct {
	Epoch Epoch    `json:"epoch"`
	Host  HostName `json:"host"`
	// Upstreams lists the upstreams of the host in the region. Thus the
	// record's effect does not depend on the config stream.
	Upstreams []UpstreamName `json:"upstreams"`
}

// Intent is the set of replicas that an agent may order its upstream to load,
// for upstreams that ignore fencing tokens. It replaces the upstream's earlier
// set.
type Intent struct {
	Agent  FencingToken `json:"agent"`
	Models []ReplicaKey `json:"models"`
	// Orders is an upper bound on the load orders that may still take effect
	// after the agent has died: its own and those of predecessors that did
	// not end cleanly. Zero counts as one if Models is not empty.
	Orders int `json:"orders,omitempty"`
}

// Claim reserves the right to run one non-idempotent request.
type Claim struct {
	Caller CallerName `json:"caller"`
	// Key is the caller's idempotency key, a UUIDv7.
	Key string `json:"key"`
	// Fingerprint is a hash of the request.
	Fingerprint uint64       `json:"fingerprint"`
	Entry       ProcessID    `json:"entry"`
	Upstream    UpstreamName `json:"upstream"`
	// Agent is the fencing token of the agent that the request will be sent
	// to.
	Agent FencingToken `json:"agent"`
	// AgentIncarnation is the incarnation of that agent.
	AgentIncarnation string `json:"agent_incarnation"`
}

// ClaimVoid ends a claim whose request did not run and will not run.
type ClaimVoid struct {
	// Claim is the claim's record id.
	Claim string `json:"claim"`
	// Witness is the process that guarantees this: the agent named in the
	// claim, or the entry that made the claim and had not dispatched it.
	Witness ProcessID `json:"witness"`
}

// ClaimDone records the outcome of a claim.
type ClaimDone struct {
	Claim  string `json:"claim"`
	Status int    `json:"status"`
	// ContentType and Answer hold the response if it has at most 4 KiB.
	ContentType string `json:"content_type,omitempty"`
	Answer      []byte `json:"answer,omitempty"`
	// AnswerKept says whether Answer holds the whole response.
	AnswerKept bool `json:"answer_kept"`
}

// Quarantine puts a request fingerprint into quarantine or removes it.
type Quarantine struct {
	Fingerprint uint64 `json:"fingerprint"`
	// Until is when the quarantine ends; zero removes the fingerprint.
	Until time.Time `json:"until"`
	Actor string    `json:"actor"`
}

// SnapshotPart is one part of a snapshot of a stream's tables.
type SnapshotPart struct {
	// SnapshotID identifies the snapshot; all its parts have the same value.
	SnapshotID string `json:"set"`
	// Part is the index of this part, from 0 to Parts-1.
	Part  int `json:"part"`
	Parts int `json:"parts"`
	// Covered is the last offset whose record the snapshot includes.
	Covered Offset `json:"covered"`
	Data    []byte `json:"data"`
}

// Audit is one entry of the audit trail.
type Audit struct {
	Time     time.Time       `json:"time"`
	Actor    string          `json:"actor"`
	Action   string          `json:"action"`
	Entity   EntityKind      `json:"entity,omitempty"`
	Name     string          `json:"name,omitempty"`
	Before   json.RawMessage `json:"before,omitempty"`
	After    json.RawMessage `json:"after,omitempty"`
	Reason   string          `json:"reason,omitempty"`
	Accepted bool            `json:"accepted"`
	Detail   string          `json:"detail,omitempty"`
	Offset   Offset          `json:"offset"`
}

// Body is the set of types that a record's body can have.
type Body interface {
	ConfigChange | LeaseTake | LeaseRenew | GrantBody | Revoke | Release |
		AgentStart | HostGone | Intent | Claim | ClaimVoid | ClaimDone |
		Quarantine | SnapshotPart | Audit
}

// NewRecord encodes body and returns a record that holds it.
func NewRecord[B Body](id string, writer ProcessID, kind Kind, body B) (Record, error) {
	encoded, err := json.Marshal(body)
	if err != nil {
		return Record{}, errors.Wrapf(err, "encode %s", kind)
	}
	return Record{ID: id, Writer: writer, Kind: kind, Body: encoded}, nil
}

// DecodeBody decodes the body of r as a B.
func DecodeBody[B Body](r Record) (B, error) {
	var body B
	if err := json.Unmarshal(r.Body, &body); err != nil {
		return body, errors.Wrapf(err, "decode %s", r.Kind)
	}
	return body, nil
}
