package claims

import (
	"math/rand/v2"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
	"github.com/lagoonvalve/lagoonvalve/internal/verdict"
)

// ShardOf returns the claim shard of a key.
func ShardOf(caller state.CallerName, key string) int { panic(key) }

// Owner is the owner of one claim shard.
type Owner struct{}

// NewOwner returns an owner that knows nothing. random makes record ids.
func NewOwner(self state.ProcessID, settings Settings, random *rand.Rand) *Owner { panic(self) }

// Begin says that the table starts at oldest, the log's oldest retained
// record, stored at t0. t0 is zero if the stream was never truncated.
func (o *Owner) Begin(t0 time.Time) { panic(t0) }

// CaughtUp says that all records up to the stream's end have been applied.
func (o *Owner) CaughtUp() {}

// Truncated raises T0. Keys that are too old from now on are forgotten.
func (o *Owner) Truncated(t0 time.Time) { panic(t0) }

// Apply applies a record of the shard's stream.
func (o *Owner) Apply(p state.Positioned, now time.Time) Commands { panic(p) }

// Ask asks for a claim.
func (o *Owner) Ask(t Ticket, p rpc.ClaimParams, now time.Time) Commands { panic(t) }

// Outcome notes the outcome of a claim, from the entry that dispatched it or
// gave it up.
func (o *Owner) Outcome(p rpc.ClaimOutcomeParams, from state.ProcessID, now time.Time) Commands {
	panic(p)
}

// Appended notes the result of the append of batch.
func (o *Owner) Appended(batch []state.Record, result AppendResult, now time.Time) Commands {
	panic(result)
}

// AgentAnswered notes an agent's answer. answer is nil if the agent could not
// be asked.
func (o *Owner) AgentAnswered(claim string, answer *rpc.ClaimStatusResult, now time.Time) Commands {
	panic(claim)
}

// Tick sends due batches and ends waits that are over.
func (o *Owner) Tick(now time.Time) Commands { panic(now) }

// Seen is an agent's table of claims.
type Seen struct{}

// NewSeen returns the table of one incarnation of an agent.
func NewSeen(incarnation string, settings Settings) *Seen { panic(incarnation) }

// Start is called right before work of a claim is started. A non-nil verdict
// forbids the start.
func (s *Seen) Start(claim string, now time.Time) *verdict.Verdict { panic(claim) }

// NotStarted notes that the work was refused before its start, for good.
func (s *Seen) NotStarted(claim string, now time.Time) { panic(claim) }

// Finish notes the outcome of started work.
func (s *Seen) Finish(done state.ClaimDone, now time.Time) { panic(done) }

// Status answers a question about a claim and refuses it from then on if it
// has not been seen.
func (s *Seen) Status(p rpc.ClaimStatusParams, now time.Time) rpc.ClaimStatusResult { panic(p) }
