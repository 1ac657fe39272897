// Package claims makes sure that non-idempotent work runs at most once. Owner
// is the state machine of the owner of a claim shard; Seen is the agent's
// table. Both are pure: time comes in, commands go out.
package claims

import (
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// ShardCount is the number of claim shards over all regions.
const ShardCount = 64

// Settings holds the times and bounds of claims.
type Settings struct {
	// Skew is the clock difference that keys may have; default 5 min.
	Skew time.Duration
	// BatchFor is how long a claim waits for others; default 50 ms.
	BatchFor time.Duration
	// BatchSize is the most records of an append; default 256.
	BatchSize int
	// GiveUpAfter bounds the wait for the log; default 2 s.
	GiveUpAfter time.Duration
	// MaxWaiting bounds the requests that wait; default 4096.
	MaxWaiting int
	// Window is how long an agent accepts and remembers a claim's id;
	// default 30 min.
	Window time.Duration
}

// DefaultSettings returns the defaults.
func DefaultSettings() Settings {
	return Settings{
		Skew:        5 * time.Minute,
		BatchFor:    50 * time.Millisecond,
		BatchSize:   256,
		GiveUpAfter: 2 * time.Second,
		MaxWaiting:  4096,
		Window:      30 * time.Minute,
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
}

// Reply answers a request.
type Reply struct {
	Ticket Ticket
	Result rpc.ClaimResult
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
