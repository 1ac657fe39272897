// Package rpc holds the jsonrpc2 methods and messages between the system's
// processes, and the connections that carry them.
package rpc

import (
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/platform"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
	"github.com/lagoonvalve/lagoonvalve/internal/verdict"
)

// Methods that entries serve.
const (
	MethodRelayRead   = "relay.read"
	MethodRelayAppend = "relay.append"
	MethodHeartbeat   = "heartbeat"
	MethodChanges     = "home.changes"
	MethodDemand      = "home.demand"
	MethodClaim       = "claims.claim"
	MethodClaimDone   = "claims.done"
	MethodClaimLookup = "claims.lookup"
	MethodStoreSlot   = "store.slot"
	MethodStoreShare  = "store.share"
	MethodPing        = "entry.ping"
	MethodQuery       = "entry.query"
	MethodReport      = "decider.report"
	MethodCrash       = "quarantine.crash"
)

// Methods that agents serve.
const (
	MethodWake        = "agent.wake"
	MethodUnload      = "agent.unload"
	MethodClaimStatus = "agent.claim_status"
	MethodDrain       = "agent.drain"
	MethodAgentStatus = "agent.status"
)

// RelayReadParams asks an entry for records of a stream.
type RelayReadParams struct {
	Stream platform.Stream `json:"stream"`
	From   state.Offset    `json:"from"`
	Limit  int             `json:"limit"`
	Wait   state.Duration  `json:"wait"`
}

// RelayReadResult is a page, or only its bounds if the records asked for are
// older than the log's retention.
type RelayReadResult struct {
	platform.Page
	Truncated bool `json:"truncated,omitempty"`
}

// RelayAppendParams asks an entry to append records.
type RelayAppendParams struct {
	Stream  platform.Stream `json:"stream"`
	Records []state.Record  `json:"records"`
}

// RelayAppendResult gives the offset of each record.
type RelayAppendResult struct {
	Offsets []state.Offset `json:"offsets"`
}

// AgentState is what an agent says of itself.
type AgentState string

// The states of an agent.
const (
	AgentStarting AgentState = "starting"
	AgentServing  AgentState = "serving"
	AgentDraining AgentState = "draining"
)

// Heartbeat is sent by an agent to the watcher of its upstream. Its keys are
// short because each upstream sends one every few seconds.
type Heartbeat struct {
	// Agent is the agent's registration, which also says the upstream.
	Agent state.FencingToken `json:"a"`
	// Sequence grows with each change of Agent, State, Slowdown and Replicas
	// while the incarnation lasts.
	Sequence uint64 `json:"s"`
	// Full says that the fields below are set. A heartbeat without them says
	// that nothing has changed since the full one of the same sequence, which
	// its watcher has confirmed.
	Full        bool               `json:"f,omitempty"`
	Upstream    state.UpstreamName `json:"u,omitempty"`
	Incarnation string             `json:"i,omitempty"`
	State       AgentState         `json:"st,omitempty"`
	Queue       int                `json:"q,omitempty"`
	Running     int                `json:"r,omitempty"`
	// Slowdown is how many times slower than usual the engine is; zero means
	// that it is not.
	Slowdown float64         `json:"sl,omitempty"`
	Replicas []state.Replica `json:"rs,omitempty"`
	// Entries is a hash of the entry addresses that the agent knows; zero
	// means the one that it named last to the same watcher.
	Entries uint64 `json:"e,omitempty"`
}

// HeartbeatResult answers a heartbeat.
type HeartbeatResult struct {
	// SendFull asks for the whole list of replicas next time.
	SendFull bool `json:"send_full,omitempty"`
	// Leaving says that the host list shows the agent's host as leaving.
	Leaving bool `json:"leaving,omitempty"`
	// Watcher is the control address that heartbeats should go to, if it is
	// another one.
	Watcher string `json:"watcher,omitempty"`
	// Entries lists the control addresses of the region's live entries if
	// the agent knows others.
	Entries []string `json:"entries,omitempty"`
}

// ReportParams is what an entry tells the region's decider every few seconds.
type ReportParams struct {
	From state.EntryName `json:"from"`
	// Ring is a hash of the live entries that From assigns the watched
	// upstreams by. The decider takes all upstreams that From watches as
	// live but for the exceptions, if it sees the same ring.
	Ring       uint64           `json:"ring"`
	Exceptions []AgentException `json:"exceptions,omitempty"`
	// Demands lists the models that From is home of and that need replicas.
	Demands []ModelDemand `json:"demands,omitempty"`
}

// AgentException is a watched agent that is not simply live.
type AgentException struct {
	Upstream state.UpstreamName `json:"upstream"`
	// Host is the one on which From watches the upstream.
	Host state.HostName `json:"host"`
	// Health is the number of a membership state.
	Health uint8 `json:"health"`
}

// ModelDemand is how many replicas the home of a model wants.
type ModelDemand struct {
	Model    state.ModelName `json:"model"`
	Replicas int             `json:"replicas"`
	// Loaded is how many are loaded or loading now.
	Loaded int `json:"loaded"`
	// Benefit is what the waiters lose per second without them.
	Benefit float64 `json:"benefit"`
}

// ReplicaChange is a change of a replica, sent by watchers to homes. Changes of
// one agent registration are ordered by Sequence, then by Revision if they come
// from the same run of a watcher.
type ReplicaChange struct {
	Replica ReplicaAt `json:"replica"`
	Gone    bool      `json:"gone,omitempty"`
	// Withdrawn says that the replica is gone by the watcher's judgement of
	// the agent's silence or its host. The agent may still have it.
	Withdrawn bool `json:"withdrawn,omitempty"`
	// Sequence is the one of the heartbeat that the change comes from.
	Sequence uint64 `json:"sequence"`
	// Revision grows with each change that the watcher notes.
	Revision uint64 `json:"revision"`
}

// ReplicaAt is a replica and where requests for it go.
type ReplicaAt struct {
	state.Replica
	TrafficAddr      string             `json:"traffic_addr"`
	ControlAddr      string             `json:"control_addr"`
	DataCentre       state.DataCentre   `json:"data_centre"`
	Region           state.Region       `json:"region"`
	Agent            state.FencingToken `json:"agent"`
	AgentIncarnation string             `json:"agent_incarnation"`
	// Slowdown is the one in the agent's last heartbeat. Homes count such a
	// replica less, and entries avoid it.
	Slowdown float64 `json:"slowdown,omitempty"`
}

// ChangesParams carries replica changes to a home.
type ChangesParams struct {
	// Watcher is the sender's incarnation.
	Watcher string          `json:"watcher"`
	Changes []ReplicaChange `json:"changes"`
}

// Backlog is what waits at an entry for a model.
type Backlog struct {
	// Waiting counts requests by class.
	Waiting [state.ClassCount]int `json:"waiting"`
	// Work is the predicted service time of all of them.
	Work state.Duration `json:"work"`
	// Rate is the arrivals per second of the last seconds.
	Rate float64 `json:"rate"`
	// Sent counts the entry's requests that run or wait at the replicas.
	Sent int `json:"sent,omitempty"`
	// Refused counts requests refused for want of a ready replica since the
	// last report.
	Refused int `json:"refused,omitempty"`
	// Adapters lists the adapters asked for.
	Adapters []state.AdapterName `json:"adapters,omitempty"`
}

// DemandParams tells the home of a model what waits at an entry and asks for
// the replica set.
type DemandParams struct {
	state.ReplicaKey
	Entry   state.EntryName `json:"entry"`
	Backlog Backlog         `json:"backlog"`
	// Missing lists upstreams of the set that refused requests because the
	// replica is not ready there, or that could not be reached.
	Missing []state.UpstreamName `json:"missing,omitempty"`
	// Known is the version of the replica set that the entry has.
	Known uint64 `json:"known"`
	// Wait is how long the home may hold the answer until the set changes.
	Wait state.Duration `json:"wait,omitempty"`
}

// DemandResult is the replica set of a model.
type DemandResult struct {
	// SetVersion grows with each change; Replicas is empty if the entry
	// knows that version.
	SetVersion uint64      `json:"set_version"`
	Changed    bool        `json:"changed"`
	Replicas   []ReplicaAt `json:"replicas,omitempty"`
	// ReadyIn is when a loading replica is expected to be ready; zero if
	// none is loading.
	ReadyIn state.Duration `json:"ready_in,omitempty"`
	// Refusal is set if no replica can be made ready.
	Refusal *verdict.Verdict `json:"refusal,omitempty"`
}

// ClaimParams asks a claim owner for the right to run a request once.
type ClaimParams struct {
	Claim state.Claim `json:"claim"`
	// MaxWait is how long the request can wait; zero means no bound. It is not
	// a time of day, since the clocks of entries differ.
	MaxWait state.Duration `json:"within,omitempty"`
}

// ClaimResult is a claim owner's answer. Exactly one of Granted and Refusal
// is set.
type ClaimResult struct {
	// Granted is the claim's record id.
	Granted string           `json:"granted,omitempty"`
	Refusal *verdict.Verdict `json:"refusal,omitempty"`
	// Done is the outcome of the earlier run, with verdict Ran.
	Done *state.ClaimDone `json:"done,omitempty"`
}

// ClaimLookupParams asks a claim owner whether a key was ever claimed.
type ClaimLookupParams struct {
	Caller state.CallerName `json:"caller"`
	Key    string           `json:"key"`
}

// ClaimLookupResult answers ClaimLookupParams.
type ClaimLookupResult struct {
	// Unseen says that no claim of the key was made.
	Unseen bool `json:"unseen"`
}

// ClaimOutcomeParams reports the outcome of a claim to its owner.
type ClaimOutcomeParams struct {
	Caller state.CallerName `json:"caller"`
	Key    string           `json:"key"`
	Done   *state.ClaimDone `json:"done,omitempty"`
	Void   *state.ClaimVoid `json:"void,omitempty"`
}

// ClaimOutcomeReport is ClaimOutcomeParams with the entry that reports it.
type ClaimOutcomeReport struct {
	ClaimOutcomeParams
	From state.ProcessID `json:"from"`
}

// ClaimStatusParams asks an agent about a claim. An agent that has not seen
// it refuses it from then on.
type ClaimStatusParams struct {
	Claim string `json:"claim"`
	// Agent is the registration that the claim names.
	Agent            state.FencingToken `json:"agent"`
	AgentIncarnation string             `json:"agent_incarnation"`
}

// ClaimState is what an agent knows of a claim.
type ClaimState string

// The states of a claim at an agent.
const (
	// ClaimRefused means that it never ran here and never will.
	ClaimRefused ClaimState = "refused"
	ClaimRunning ClaimState = "running"
	ClaimRan     ClaimState = "ran"
	// ClaimUnknown means that an earlier incarnation may have run it.
	ClaimUnknown ClaimState = "unknown"
)

// ClaimStatusResult answers ClaimStatusParams.
type ClaimStatusResult struct {
	State ClaimState       `json:"state"`
	Done  *state.ClaimDone `json:"done,omitempty"`
}

// CrashParams tells the owner of a fingerprint's attribution that a request
// was running in an upstream that crashed, or that it ran to its end.
type CrashParams struct {
	Fingerprint uint64             `json:"fingerprint"`
	Upstream    state.UpstreamName `json:"upstream,omitempty"`
	// Completed clears the request.
	Completed bool `json:"completed,omitempty"`
}

// QueryParams asks an entry for its own rows of a table.
type QueryParams struct {
	Table string `json:"table"`
	// Statement is the query. Rows that its since and where do not keep at
	// the given time may be left out.
	Statement string    `json:"statement,omitempty"`
	At        time.Time `json:"at,omitzero"`
}

// QueryResult holds an entry's rows. The cells are text; both sides know the
// columns and their types.
type QueryResult struct {
	Rows [][]string `json:"rows"`
}
