package rpc

import (
	"cmp"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// MethodPart is served by entries. It is how agents receive the log's records that
// concern their upstream.
const MethodPart = "upstream.part"

// DefaultPartWait is how long an entry may hold its answer to PartParams. An agent
// whose heartbeat fails ends the wait earlier, so that an entry that is lost does
// not delay it for long.
const DefaultPartWait = state.Duration(25 * time.Second)

// PartOffsets holds the offsets up to which the config stream and the region stream
// are applied.
type PartOffsets struct {
	Config state.Offset `json:"c"`
	Region state.Offset `json:"r"`
}

// Reaches reports whether o is at or after other in both streams.
func (o PartOffsets) Reaches(other PartOffsets) bool {
	return o.Config >= other.Config && o.Region >= other.Region
}

// PartParams requests from an entry the part of both streams' tables that concerns
// an upstream. The entry answers once it has reached AtLeast and the part differs
// from the one that the agent has.
type PartParams struct {
	state.PartQuery
	// AtLeast holds the lowest offsets that the answer may have.
	AtLeast PartOffsets `json:"min"`
	// Known is the hash (PartResult.Sum) of the part that the agent has; zero
	// if it has none.
	Known uint64 `json:"k,omitempty"`
	// Wait is how long the entry may hold the answer until the part changes;
	// zero means DefaultPartWait.
	Wait state.Duration `json:"w,omitempty"`
}

// MaxWait returns how long the entry may hold the answer.
func (p PartParams) MaxWait() time.Duration {
	return cmp.Or(p.Wait, DefaultPartWait).Std()
}

// PartResult is an upstream's part of the tables at the given offsets.
type PartResult struct {
	PartOffsets
	// Lagging says that the entry has not reached PartParams.AtLeast in time.
	Lagging bool `json:"lagging,omitempty"`
	// Sum is the hash of Part, which the agent sends as Known in its next
	// request. The entry computes it, since an agent of another release may
	// encode the part differently.
	Sum uint64 `json:"sum,omitempty"`
	// Part is nil if its hash is the agent's Known.
	Part *state.UpstreamPart `json:"part,omitempty"`
}
