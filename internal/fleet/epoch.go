package fleet

import "github.com/lagoonvalve/lagoonvalve/internal/state"

// LogEpoch counts how often the platform's log has come back as an older copy of
// itself. Such a copy lacks the last records and gives their offsets out again, so
// offsets are compared within one epoch only. It is zero for a platform that does
// not count epochs.
type LogEpoch uint64

const (
	// tokenOffsetBits is how many low bits of a fencing token hold the offset. A
	// lease log reaches 2^32 records after 68 years of two writes a second.
	tokenOffsetBits = 32
	// MaxLogEpoch is the greatest epoch: engines accept tokens below 2^53.
	MaxLogEpoch LogEpoch = 1<<(53-tokenOffsetBits) - 1
)

// LogPosition is the position of a record in a log whose offsets start again.
type LogPosition struct {
	Epoch  LogEpoch
	Offset state.Offset
}

// Token returns the fencing token of a lease that was taken by the record at p. It
// grows with the epoch and, within an epoch, with the offset. In epoch zero it is
// one more than the offset, since zero is no token.
func (p LogPosition) Token() state.FencingToken {
	return state.FencingToken(p.Epoch)<<tokenOffsetBits + p.Offset + 1
}
