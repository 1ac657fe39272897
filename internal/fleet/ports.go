package fleet

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// Errors of the ports, besides those of package platform.
var (
	// ErrConflict means that a conditional write found another state. Nothing
	// was written.
	ErrConflict = errors.New("state changed meanwhile")
	// ErrInvalidEntry means that an entry of a feed can't be used.
	ErrInvalidEntry = errors.New("invalid entry")
)

// Change is a new value of a key of a feed, or its removal.
type Change[T any] struct {
	Key string
	// Value is nil if the key was removed or its new entry can't be used.
	Value *T
	// Invalid says why an entry can't be used; nil for a removal.
	Invalid error
}

// Page is a part of a feed.
type Page[T any] struct {
	Changes []Change[T]
	// Next is where to go on.
	Next state.Offset
}

// Feed gives the current values of keys and then their changes. The errors wrap
// platform.ErrUnavailable, or platform.ErrTruncated if changes are missing.
type Feed[T any] interface {
	// Newest returns all keys with their values.
	Newest(ctx context.Context) (Page[T], error)
	// Follow returns the changes from an offset on. It waits for one at most
	// for the given time.
	Follow(ctx context.Context, from state.Offset, wait time.Duration) (Page[T], error)
}

// LeaseRecord is what the holder of a lease writes to take or to keep it.
type LeaseRecord struct {
	// Holder names the process and its start, and Host its host.
	Holder string `json:"holder"`
	Host   string `json:"host"`
	// Recent lists the hosts that have held the lease so lately that they have
	// to pause before they act again.
	Recent []string `json:"recent,omitempty"`
	// Control is the holder's address for other processes.
	Control string `json:"control"`
	// Token orders the holders: the offset of the record by which the lease
	// was taken. It is zero in that record itself.
	Token state.FencingToken `json:"token,omitempty"`
	// Released says that the holder has given the lease up.
	Released bool `json:"released,omitempty"`
	// Sequence tells records of one holder apart.
	Sequence uint64 `json:"sequence"`
}

// LeaseStore keeps the newest record of a lease. Writes are conditional, so of
// several writers that read the same record only one succeeds.
type LeaseStore interface {
	// Read returns the newest record, nil if there is none, its offset and
	// the offset that the next record will have.
	Read(ctx context.Context) (record *LeaseRecord, at, end state.Offset, err error)
	// Write appends a record if it gets the offset end. The error wraps
	// ErrConflict, platform.ErrUnavailable or platform.ErrUnknownOutcome.
	Write(ctx context.Context, record LeaseRecord, end state.Offset) error
}

// OrderKind is what an order asks of an upstream.
type OrderKind uint8

// The kinds of orders.
const (
	Load OrderKind = iota + 1
	Unload
)

// String returns the name of the kind.
func (k OrderKind) String() string {
	if k == Load {
		return "load"
	}
	return "unload"
}

// Order asks an upstream to load or unload a model or an adapter.
type Order struct {
	Kind OrderKind
	Target
	// Expect is the number of orders that the upstream must have accepted.
	Expect int
	// Holder names the sender, and Token its lease.
	Holder string
	Token  state.FencingToken
}

// OrderResult says what became of an order.
type OrderResult uint8

// The results of an order.
const (
	// OrderUnknown means that it may be carried out, now or later.
	OrderUnknown OrderResult = iota
	// OrderAccepted means that it is being carried out.
	OrderAccepted
	// OrderAlreadySatisfied means that what it asks for is already so.
	OrderAlreadySatisfied
	// OrderConflict means that another order is in progress or that Expect
	// is wrong.
	OrderConflict
	// OrderRefused means that it will never be carried out.
	OrderRefused
)

// EngineReport is what an engine says of itself when asked, as of some hundred
// milliseconds ago.
type EngineReport struct {
	Replicas []Replica
	// Busy says that an order is in progress.
	Busy bool
	// Accepted counts the orders accepted since the start.
	Accepted         int
	InMemory, OnDisk []state.ModelName
}

// EngineControl is the control side of all model engines.
type EngineControl interface {
	Report(ctx context.Context, u *Upstream) (EngineReport, error)
	Order(ctx context.Context, u *Upstream, order Order) (OrderResult, error)
}

// PromptPart is a part of a prompt that requests may share.
type PromptPart struct {
	ID     uint64
	Tokens Tokens
}

// RequestInfo is what a request says of itself besides its method, path and body.
type RequestInfo struct {
	// ID is unique for each sending of a caller.
	ID string
	// Patience is how long the caller waits; zero if it does not say.
	Patience time.Duration
	Target
	// Prompt and MaxAnswer are sizes; zero if unknown.
	Prompt, MaxAnswer Tokens
	Parts             []PromptPart
	// LastEvent is the id of the last event that the caller has of a stream;
	// empty for the whole stream.
	LastEvent string
}

// AttemptInfo is what an upstream is told with a request.
type AttemptInfo struct {
	Upstream  state.UpstreamName
	TimeLeft  time.Duration
	Priority  int
	LastEvent string
}

// AnswerInfo is what an upstream's answer says of itself besides its status
// and body.
type AnswerInfo struct {
	// ID is that of the request it answers; empty if the answer names none.
	ID string
	// Sealed says that the answer is marked as an upstream's own.
	Sealed bool
	// NotRun says that the request was not run and won't be.
	NotRun bool
}

// Dialect translates between the headers of the deployment and the types here.
type Dialect interface {
	// ParseRequest reads the headers of a caller's request.
	ParseRequest(h http.Header) (RequestInfo, error)
	// Prepare turns the headers of a caller's request into those of a request
	// to an upstream, but for what Send adds. It may change h.
	Prepare(h http.Header)
	// AddAttemptHeaders adds what is particular to one sending.
	AddAttemptHeaders(h http.Header, s AttemptInfo)
	// ParseAnswer reads the status and the headers of an upstream's answer.
	ParseAnswer(status int, h http.Header) AnswerInfo
}
