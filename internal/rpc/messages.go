// Package rpc defines the jsonrpc2 methods and messages between lagoonvalve's
// processes, and provides the client and server that carry them.
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

// RelayReadParams requests that an entry read records of a stream from the log.
type RelayReadParams struct {
	Stream platform.Stream `json:"stream"`
	From   state.Offset    `json:"from"`
	Limit  int             `json:"limit"`
	Wait   state.Duration  `json:"wait"`
}

// RelayReadResult is a page of records. Truncated means that the requested
// records are older than the log's retention; the page then has only its bounds.
type RelayReadResult struct {
	platform.Page
	Truncated bool `json:"truncated,omitempty"`
}

// RelayAppendParams requests that an entry append records to a stream of the
// log.
type RelayAppendParams struct {
	Stream  platform.Stream `json:"stream"`
	Records []state.Record  `json:"records"`
}

// RelayAppendResult holds the offset of each appended record.
type RelayAppendResult struct {
	Offsets []state.Offset `json:"offsets"`
}

// AgentState is the state that an agent reports of itself.
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
	// Agent is the token of the agent's registration, which also identifies the
	// upstream.
	Agent state.FencingToken `json:"a"`
	// Sequence grows with each change of Agent, State, Slowdown and Replicas
	// during an incarnation of the agent.
	Sequence uint64 `json:"s"`
	// Full says that the fields below are set. A heartbeat without them means
	// that nothing has changed since the full one with the same sequence, which
	// the watcher has acknowledged.
	Full        bool               `json:"f,omitempty"`
	Upstream    state.UpstreamName `json:"u,omitempty"`
	Incarnation string             `json:"i,omitempty"`
	State       AgentState         `json:"st,omitempty"`
	Queue       int                `json:"q,omitempty"`
	Running     int                `json:"r,omitempty"`
	// Slowdown is how many times slower than usual the engine is; zero means
	// that it is not slower.
	Slowdown float64         `json:"sl,omitempty"`
	Replicas []state.Replica `json:"rs,omitempty"`
	// Entries is a hash of the entry addresses that the agent holds; zero means
	// the hash that it last sent to the same watcher.
	Entries uint64 `json:"e,omitempty"`
}

// HeartbeatResult answers a heartbeat.
type HeartbeatResult struct {
	// SendFull requests that the agent's next heartbeat be a full one.
	SendFull bool `json:"send_full,omitempty"`
	// Leaving says that the host list shows the agent's host as leaving.
	Leaving bool `json:"leaving,omitempty"`
	// Watcher is the control address of the entry that heartbeats should be sent
	// to, if that is not the one that answers.
	Watcher string `json:"watcher,omitempty"`
	// Entries lists the control addresses of the region's live entries, if the
	// agent's hash is of other addresses.
	Entries []string `json:"entries,omitempty"`
}

// ReportParams is the report that an entry sends to the region's decider every few
// seconds.
type ReportParams struct {
	From state.EntryName `json:"from"`
	// Ring is a hash of the live entries among which From divides the upstreams
	// to watch. If the decider has the same hash, it takes all upstreams that
	// From watches for live, except those in Exceptions.
	Ring       uint64           `json:"ring"`
	Exceptions []AgentException `json:"exceptions,omitempty"`
	// Demands lists the models that need replicas and whose home is From.
	Demands []ModelDemand `json:"demands,omitempty"`
}

// AgentException is a watched agent that is not live.
type AgentException struct {
	Upstream state.UpstreamName `json:"upstream"`
	// Host is the upstream's host in From's tables. The decider ignores the
	// exception if its own tables name another.
	Host state.HostName `json:"host"`
	// Health is the agent's state, as the number of a membership.Health.
	Health uint8 `json:"health"`
}

// ModelDemand is the number of replicas that the home of a model requires.
type ModelDemand struct {
	Model    state.ModelName `json:"model"`
	Replicas int             `json:"replicas"`
	// Loaded is the number of replicas that are loaded or loading now.
	Loaded int `json:"loaded"`
	// Benefit is the cost per second of waiting that the replicas would end: one
	// for each waiting request.
	Benefit float64 `json:"benefit"`
}

// ReplicaChange is a change of a replica, sent by watchers to homes. Changes under
// one agent registration are ordered by Sequence, and those from the same run of a
// watcher with the same Sequence by Revision.
type ReplicaChange struct {
	Replica ReplicaAt `json:"replica"`
	Gone    bool      `json:"gone,omitempty"`
	// Withdrawn says that the replica is gone not because the agent reported it,
	// but because the watcher found that the agent is silent, that its host is
	// leaving or that the configuration no longer has the upstream on that host.
	// The agent may still have the replica.
	Withdrawn bool `json:"withdrawn,omitempty"`
	// Sequence is that of the heartbeat that the change comes from.
	Sequence uint64 `json:"sequence"`
	// Revision grows with each change that the watcher records.
	Revision uint64 `json:"revision"`
}

// ReplicaAt is a replica with the addresses and the location of its upstream.
type ReplicaAt struct {
	state.Replica
	TrafficAddr      string             `json:"traffic_addr"`
	ControlAddr      string             `json:"control_addr"`
	DataCentre       state.DataCentre   `json:"data_centre"`
	Region           state.Region       `json:"region"`
	Agent            state.FencingToken `json:"agent"`
	AgentIncarnation string             `json:"agent_incarnation"`
	// Slowdown is that of the agent's last heartbeat. Homes count a slowed-down
	// replica as less than one, and entries avoid it.
	Slowdown float64 `json:"slowdown,omitempty"`
}

// ChangesParams carries replica changes to a home.
type ChangesParams struct {
	// Watcher is the sender's incarnation.
	Watcher string          `json:"watcher"`
	Changes []ReplicaChange `json:"changes"`
}

// Backlog is an entry's present demand for a model.
type Backlog struct {
	// Waiting counts the waiting requests by class.
	Waiting [state.ClassCount]int `json:"waiting"`
	// Work is the sum of their predicted service times.
	Work state.Duration `json:"work"`
	// Rate is the number of arrivals per second in the last seconds.
	Rate float64 `json:"rate"`
	// Sent counts the entry's requests that run or wait at the upstreams.
	Sent int `json:"sent,omitempty"`
	// Refused counts the requests refused since the last report because no
	// replica was ready.
	Refused int `json:"refused,omitempty"`
	// Adapters lists the adapters that requests name.
	Adapters []state.AdapterName `json:"adapters,omitempty"`
}

// DemandParams reports to the home of a model what waits at an entry and
// requests the model's replica set.
type DemandParams struct {
	state.ReplicaKey
	Entry   state.EntryName `json:"entry"`
	Backlog Backlog         `json:"backlog"`
	// Missing lists upstreams of the set that could not be reached, or that
	// refused requests because the replica is not ready there.
	Missing []state.UpstreamName `json:"missing,omitempty"`
	// Known is the version of the replica set that the entry has.
	Known uint64 `json:"known"`
	// Wait is how long the home may hold the answer until the set changes.
	Wait state.Duration `json:"wait,omitempty"`
}

// DemandResult is the replica set of a model.
type DemandResult struct {
	// SetVersion grows with each change of the set. Replicas is empty if that is
	// the version that the entry has.
	SetVersion uint64      `json:"set_version"`
	Changed    bool        `json:"changed"`
	Replicas   []ReplicaAt `json:"replicas,omitempty"`
	// ReadyIn is the time until a loading replica is expected to be ready; zero
	// if none is loading.
	ReadyIn state.Duration `json:"ready_in,omitempty"`
	// Refusal is set if no replica can be made ready.
	Refusal *verdict.Verdict `json:"refusal,omitempty"`
}

// ClaimParams requests a claim, the right to run a request once, from its owner.
type ClaimParams struct {
	Claim state.Claim `json:"claim"`
	// MaxWait is how long the request can wait for the claim; zero means no
	// bound. It is a duration and no point in time, since the clocks of entries
	// differ.
	MaxWait state.Duration `json:"within,omitempty"`
}

// ClaimResult is a claim owner's answer. Exactly one of Granted and Refusal
// is set.
type ClaimResult struct {
	// Granted is the id of the claim's record.
	Granted string           `json:"granted,omitempty"`
	Refusal *verdict.Verdict `json:"refusal,omitempty"`
	// Done is the outcome of the earlier run if Refusal has the execution Ran.
	Done *state.ClaimDone `json:"done,omitempty"`
}

// ClaimLookupParams checks with a claim owner whether a key was ever claimed.
type ClaimLookupParams struct {
	Caller state.CallerName `json:"caller"`
	Key    string           `json:"key"`
}

// ClaimLookupResult answers ClaimLookupParams.
type ClaimLookupResult struct {
	// Unseen says that the key was certainly never claimed.
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

// ClaimStatusParams requests the state of a claim from an agent. An agent that
// has not seen the claim refuses it from then on.
type ClaimStatusParams struct {
	Claim string `json:"claim"`
	// Agent is the registration that the claim names.
	Agent            state.FencingToken `json:"agent"`
	AgentIncarnation string             `json:"agent_incarnation"`
}

// ClaimState is an agent's record of a claim.
type ClaimState string

// The states of a claim at an agent.
const (
	// ClaimRefused means that the request never ran here and never will.
	ClaimRefused ClaimState = "refused"
	ClaimRunning ClaimState = "running"
	ClaimRan     ClaimState = "ran"
	// ClaimUnknown means that an earlier incarnation of the agent may have run
	// the request.
	ClaimUnknown ClaimState = "unknown"
)

// ClaimStatusResult answers ClaimStatusParams.
type ClaimStatusResult struct {
	State ClaimState       `json:"state"`
	Done  *state.ClaimDone `json:"done,omitempty"`
}

// CrashParams reports to the entry that attributes crashes to a request's
// fingerprint that the request was running on an upstream that crashed, or that
// it completed.
type CrashParams struct {
	Fingerprint uint64             `json:"fingerprint"`
	Upstream    state.UpstreamName `json:"upstream,omitempty"`
	// Completed says that the request ran to its end, which clears it of
	// suspicion.
	Completed bool `json:"completed,omitempty"`
}

// QueryParams requests an entry's own rows of a table, for an operator's query.
type QueryParams struct {
	Table string `json:"table"`
	// Statement is the query. The entry may leave out rows that its since and
	// where clauses exclude at the time At.
	Statement string    `json:"statement,omitempty"`
	At        time.Time `json:"at,omitzero"`
}

// QueryResult holds an entry's rows. The cells are text; both processes have the
// table's columns and their types.
type QueryResult struct {
	Rows [][]string `json:"rows"`
}
