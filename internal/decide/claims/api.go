// Package claims makes sure that non-idempotent work runs at most once. A
// request must hold the claim of its idempotency key before it is dispatched.
// Owner is the state machine of the process that owns a claim shard. Agents use
// their own table of the claims dispatched to them. Both are deterministic and do
// no I/O: the caller passes in the time and events, and carries out the commands
// that an owner returns.
package claims

import (
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// Settings holds the timeouts, delays and limits of claims.
type Settings struct {
	// Skew is how far the time in an idempotency key may be ahead of the
	// clock that checks it; default 5 min.
	Skew time.Duration
	// BatchDelay is how long a claim waits for others to share its batch while
	// the shard is below its append rate; default 20 ms.
	BatchDelay time.Duration
	// MinInterval is the mean time between the batches of a busy shard;
	// default 120 ms, with which ShardCount shards make at most 133 appends a
	// second. Full batches don't wait for it.
	MinInterval time.Duration
	// Burst is how many batches a shard may send ahead of MinInterval after an
	// idle period; default 4. It applies to LookupInterval in the same way.
	Burst int
	// OutcomeDelay is how long an outcome waits for a claim to share its
	// batch; default 200 ms.
	OutcomeDelay time.Duration
	// BatchSize is the maximum number of records in an append; default 256.
	BatchSize int
	// ClaimTimeout bounds the time that a request for a claim waits, for the
	// log or for an agent's answer; default 2 s.
	ClaimTimeout time.Duration
	// MaxWaiting bounds the requests that wait for a claim, the lookups that
	// wait, and the queue of records to which outcomes are added; default 4096
	// each.
	MaxWaiting int
	// Window is how long after its creation an agent accepts and remembers a
	// claim's id; default 30 min.
	Window time.Duration
	// MaxClaims bounds the claims that an owner holds in memory; default
	// 100,000. It evicts those with the oldest keys and from then on refuses
	// these keys as too old.
	MaxClaims int
	// AnswerBytes bounds the answers held in memory; default 16 MiB. An owner
	// has evicted ones read back from the log, while an agent reports them as
	// not kept.
	AnswerBytes state.Bytes
	// LookupTimeout bounds the time that a lookup waits for the log; default
	// 250 ms.
	LookupTimeout time.Duration
	// LookupInterval is the mean time between the reads of the stream's end
	// that the lookups of a shard share; default 100 ms, with which ShardCount
	// shards make at most 160 reads a second.
	LookupInterval time.Duration
}

// DefaultSettings returns the default settings.
func DefaultSettings() Settings {
	return Settings{
		Skew:          5 * time.Minute,
		BatchDelay:    20 * time.Millisecond,
		MinInterval:   120 * time.Millisecond,
		Burst:         4,
		OutcomeDelay:  200 * time.Millisecond,
		BatchSize:     256,
		ClaimTimeout:  2 * time.Second,
		MaxWaiting:    4096,
		Window:        30 * time.Minute,
		MaxClaims:     100_000,
		AnswerBytes:   16 * state.MiB,
		LookupTimeout: 250 * time.Millisecond,

		LookupInterval: 100 * time.Millisecond,
	}
}

// Ticket identifies a request or lookup that waits at an owner. The process that
// runs the owner chooses it.
type Ticket uint64

// Commands is what the process that runs an owner has to do for it.
type Commands struct {
	// Replies answer requests for a claim.
	Replies []Reply
	// Append is a batch to append to the shard's stream; its result goes to
	// Appended.
	Append []state.Record
	// Questions are to be sent to agents; the answers go to AgentAnswered.
	Questions []Question
	// Found answers lookups.
	Found []LookupResult
	// EndRead is a read of the stream's end to make, or nil.
	EndRead *StreamEndRead
}

// LookupResult answers a lookup.
type LookupResult struct {
	Ticket Ticket
	// Unseen is true only if the key was certainly never claimed.
	Unseen bool
}

// Reply answers a request for a claim.
type Reply struct {
	Ticket Ticket
	Result rpc.ClaimResult
	// ReadBack requires the process to fill in the answer in Result.Done from
	// the outcome record at offset At of the shard's stream.
	ReadBack bool
	At       state.Offset
}

// Question is a query for the outcome of an open claim to the agent that the
// claim names.
type Question struct {
	Upstream state.UpstreamName
	Params   rpc.ClaimStatusParams
}

// AppendResult is how an append ended.
type AppendResult uint8

// The results of an append.
const (
	// AppendStored means that the records are in the log. They take effect
	// only once they have been read back.
	AppendStored AppendResult = iota
	// AppendRefused means that nothing was stored and nothing will be.
	AppendRefused
	// AppendUnknown means that the records may be in the log, or may still
	// arrive there.
	AppendUnknown
)
