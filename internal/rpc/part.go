package rpc

import (
	"cmp"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// MethodPart is served by entries. Agents read the log through it.
const MethodPart = "upstream.part"

// DefaultPartWait is how long an entry may hold an answer to PartParams. A
// failed heartbeat ends the wait earlier, so that a lost entry delays nothing
// for long.
const DefaultPartWait = state.Duration(25 * time.Second)

// PartOffsets says how far both streams are applied.
type PartOffsets struct {
	Config state.Offset `json:"c"`
	Region state.Offset `json:"r"`
}

// Reaches reports whether o is at or after other in both streams.
func (o PartOffsets) Reaches(other PartOffsets) bool {
	return o.Config >= other.Config && o.Region >= other.Region
}

// PartParams asks an entry for an upstream's part of both streams.
type PartParams struct {
	state.PartQuery
	// AtLeast is the lowest offsets that an answer may have.
	AtLeast PartOffsets `json:"min"`
	// Known is the sum of the part that the agent has; zero if it has none.
	Known uint64 `json:"k,omitempty"`
	// Wait is how long the entry may hold the answer until the part changes;
	// zero means DefaultPartWait.
	Wait state.Duration `json:"w,omitempty"`
}

// MaxWait returns how long the entry may hold the answer.
func (p PartParams) MaxWait() time.Duration {
	return cmp.Or(p.Wait, DefaultPartWait).Std()
}

// PartResult is a part at stated offsets.
type PartResult struct {
	PartOffsets
	// Lagging says that the entry has not reached the offsets asked for.
	Lagging bool `json:"lagging,omitempty"`
	// Sum is the sum of Part, which the agent names in its next question. It
	// is the entry's, since a process of another release may encode the part
	// differently.
	Sum uint64 `json:"sum,omitempty"`
	// Part is nil if it has the sum that the agent named.
	Part *state.UpstreamPart `json:"part,omitempty"`
}
