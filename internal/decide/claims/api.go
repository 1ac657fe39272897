// Package claims makes sure that non-idempotent work runs at most once. Owner
// is the state machine of the owner of a claim shard; Seen is the agent's
// table. Both are pure: time comes in, commands go out.
package claims

import (
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// Settings holds the times and bounds of claims.
type Settings struct {
	// Skew is the clock difference that keys may have; default 5 min.
	Skew time.Duration
	// BatchFor is how long a claim waits for others while the shard is
	// quiet; default 20 ms.
	BatchFor time.Duration
	// MinInterval is the mean time between the batches of a busy shard, so
	// that ShardCount shards make at most 133 appends a second; default
	// 120 ms. Full batches don't wait for it.
	MinInterval time.Duration
	// Burst is how many batches of a quiet shard may leave before MinInterval
	// delays the next; default 4.
	Burst int
	// OutcomeFor is how long an outcome waits for a claim to share a batch;
	// default 200 ms.
	OutcomeFor time.Duration
	// BatchSize is the most records of an append; default 256.
	BatchSize int
	// ClaimTimeout bounds the wait for the log; default 2 s.
	ClaimTimeout time.Duration
	// MaxWaiting bounds the requests that wait; default 4096.
	MaxWaiting int
	// Window is how long an agent accepts and remembers a claim's id;
	// default 30 min.
	Window time.Duration
	// MaxClaims bounds the claims that an owner remembers; default 100,000.
	// The keys of those that it forgets are too old from then on.
	MaxClaims int
	// AnswerBytes bounds the kept answers in the memory of an owner, which
	// reads older ones back from the log, and of an agent, which says that
	// they are not kept; default 16 MiB.
	AnswerBytes state.Bytes
	// LookupFor bounds the wait of a lookup for the log; default 250 ms.
	LookupFor time.Duration
	// LookupInterval is the mean time between the reads that lookups of a
	// shard share, Burst of which may come at once: at most 160 reads a second
	// over ShardCount shards; default 100 ms.
	LookupInterval time.Duration
}

// DefaultSettings returns the defaults.
func DefaultSettings() Settings {
	return Settings{
		Skew:         5 * time.Minute,
		BatchFor:     20 * time.Millisecond,
		MinInterval:  120 * time.Millisecond,
		Burst:        4,
		OutcomeFor:   200 * time.Millisecond,
		BatchSize:    256,
		ClaimTimeout: 2 * time.Second,
		MaxWaiting:   4096,
		Window:       30 * time.Minute,
		MaxClaims:    100_000,
		AnswerBytes:  16 * state.MiB,
		LookupFor:    250 * time.Millisecond,

		LookupInterval: 100 * time.Millisecond,
	}
}

// Ticket names a request that waits at an owner.
type Ticket uint64

// Commands is what an owner asks its process to do.
type Commands struct {
	Replies []Reply
	// Append is a batch for the shard's stream; its result goes to Appended.
	Append []state.Record
	// Questions go to agents; the answers go to AgentAnswered.
	Questions []Question
	// Found answers lookups.
	Found []Found
	// EndRead is a read of the stream's end, or nil.
	EndRead *EndRead
}

// Found answers a lookup: Unseen says that the key was never claimed.
type Found struct {
	Ticket Ticket
	Unseen bool
}

// Reply answers a request.
type Reply struct {
	Ticket Ticket
	Result rpc.ClaimResult
	// ReadBack says that the process adds the answer to Result.Done from the
	// outcome at offset At of the shard's stream.
	ReadBack bool
	At       state.Offset
}

// Question asks the agent of an open claim about it.
type Question struct {
	Upstream state.UpstreamName
	Params   rpc.ClaimStatusParams
}

// AppendResult is how an append ended.
type AppendResult uint8

// The results of an append.
const (
	// AppendStored means that the records are in the log. They still count
	// only once they have been read.
	AppendStored AppendResult = iota
	// AppendRefused means that nothing was stored or will be.
	AppendRefused
	// AppendUnknown means that the records may be in the log, or may still
	// arrive there.
	AppendUnknown
)
