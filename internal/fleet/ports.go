package fleet

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// Errors of the interfaces in this file, besides those of package platform.
var (
	// ErrConflict means that a conditional write was refused because the state
	// differs from the expected one. Nothing was written.
	ErrConflict = errors.New("conditional write refused: state has changed")
	// ErrInvalidEntry means that an entry of a feed is invalid.
	ErrInvalidEntry = errors.New("invalid entry")
)

// Change is a new value for a key of a feed, or the removal of the key.
type Change[T any] struct {
	Key string
	// Value is nil if the key was removed or its new entry is invalid.
	Value *T
	// Invalid is why the entry is invalid; nil for a valid entry or a
	// removal.
	Invalid error
}

// Page is a batch of changes from a feed.
type Page[T any] struct {
	Changes []Change[T]
	// Next is the offset from which to continue.
	Next state.Offset
	// End is the end of the feed when it was read; the page has all changes up to then
	// unless Next is lower.
	End state.Offset
	// Epoch is the epoch of the log in which the offsets are valid. It is also set along
	// with an error; zero if no answer has come.
	Epoch LogEpoch
}

// Feed provides the current values of keys and then their changes. The errors
// wrap platform.ErrUnavailable, or platform.ErrTruncated if changes are
// missing. A page of another epoch than that of the offset it was requested by
// does not continue the pages before it.
type Feed[T any] interface {
	// Newest returns all keys with their current values.
	Newest(ctx context.Context) (Page[T], error)
	// Follow returns the changes from an offset on. If there are none, it waits
	// for one, at most for the given time.
	Follow(ctx context.Context, from state.Offset, wait time.Duration) (Page[T], error)
}

// LeaseRecord is what the holder of a lease writes to take, renew or release
// it.
type LeaseRecord struct {
	// Holder identifies the process and its start, and Host is its host.
	Holder string `json:"holder"`
	Host   string `json:"host"`
	// Recent lists the hosts that have held the lease so recently that they
	// must pause before they act again.
	Recent []string `json:"recent,omitempty"`
	// Control is the address at which other processes reach the holder.
	Control string `json:"control"`
	// Token orders the holders: it is the LogPosition.Token of the record by which
	// the lease was taken. It is zero in that record itself.
	Token state.FencingToken `json:"token,omitempty"`
	// Released is set if the holder has released the lease.
	Released bool `json:"released,omitempty"`
	// Sequence distinguishes the records of one holder.
	Sequence uint64 `json:"sequence"`
	// Epoch is the epoch of the log by which the writer decided to write the
	// record. The record may have been stored in a later one.
	Epoch LogEpoch `json:"epoch,omitempty"`
}

// LeaseState is the state of the log of a lease at a read.
type LeaseState struct {
	// Record is the newest record, nil if there is none, and At its offset.
	Record *LeaseRecord
	At     state.Offset
	// End is the offset that the next record will have.
	End state.Offset
	// Epoch is the epoch of the log.
	Epoch LogEpoch
}

// LeaseStore keeps the newest record of a lease. Writes are conditional, so of
// several writers that read the same record only one succeeds.
type LeaseStore interface {
	// Read returns the newest record. Along with an error, only the epoch is set; it is
	// zero if no answer has come.
	Read(ctx context.Context) (LeaseState, error)
	// Write appends a record if it receives the offset end, in whichever epoch the log
	// is by then. It returns the epoch of the answer, also along with an error; zero if
	// there was none. The error wraps ErrConflict, platform.ErrUnavailable or
	// platform.ErrUnknownOutcome.
	Write(ctx context.Context, record LeaseRecord, end state.Offset) (LogEpoch, error)
}

// QuarantineRecord is a quarantine as the store keeps it.
type QuarantineRecord struct {
	// Key is the quarantine.Key.
	Key uint64
	// Until is the end of the quarantine by the time of day.
	Until time.Time
}

// QuarantineStore keeps the quarantines that the controller has decided, for
// gateways that start later. The errors wrap platform.ErrUnavailable or
// platform.ErrUnknownOutcome. Each write may be repeated. The writes return the epoch
// of the answer, also along with an error; zero if there was none.
type QuarantineStore interface {
	// List returns all quarantines, also those that have ended. It leaves out
	// invalid records.
	List(ctx context.Context) ([]QuarantineRecord, error)
	Put(ctx context.Context, record QuarantineRecord) (LogEpoch, error)
	Remove(ctx context.Context, key uint64) (LogEpoch, error)
}

// OrderKind is the operation that an order requests from an upstream.
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

// Order requests that an upstream load or unload a model or an adapter.
type Order struct {
	Kind OrderKind
	Target
	// Expect is the number of orders that the upstream must have accepted
	// before this one.
	Expect int
	// Holder is the host that sends the order, and Token the fencing token of
	// its lease.
	Holder string
	Token  state.FencingToken
}

// OrderResult is the result of sending an order.
type OrderResult uint8

// The results of sending an order.
const (
	// OrderUnknown means that the order may be carried out, now or later.
	OrderUnknown OrderResult = iota
	// OrderAccepted means that the order is being carried out.
	OrderAccepted
	// OrderAlreadySatisfied means that the upstream is already in the state
	// that the order requests.
	OrderAlreadySatisfied
	// OrderConflict means that another order is in progress or that Expect is
	// wrong.
	OrderConflict
	// OrderRefused means that the order will never be carried out.
	OrderRefused
)

// EngineReport is the state that an engine reports on request. It is some
// hundred milliseconds old.
type EngineReport struct {
	Replicas []Replica
	// Coming lists the adapters that are being loaded. They take places like those
	// that are held.
	Coming []Target
	// Busy is set if an order is in progress.
	Busy bool
	// Accepted is the number of orders accepted since the engine's start.
	Accepted         int
	InMemory, OnDisk []state.ModelName
}

// EngineControl is the control interface of all model engines.
type EngineControl interface {
	Report(ctx context.Context, u *Upstream) (EngineReport, error)
	Order(ctx context.Context, u *Upstream, order Order) (OrderResult, error)
}

// PromptPart is a part of a prompt that requests may share.
type PromptPart struct {
	ID     uint64
	Tokens Tokens
}

// RequestInfo is the metadata that a caller's request carries in its headers.
type RequestInfo struct {
	// ID is unique for each submission by a caller.
	ID string
	// Patience is how long the caller waits for an answer; zero if it does not
	// say.
	Patience time.Duration
	// Key is the caller's key, empty if it sent none or several different ones.
	Key APIKey
	Target
	// Prompt and MaxAnswer are sizes in tokens; zero if unknown.
	Prompt, MaxAnswer Tokens
	Parts             []PromptPart
	// LastEvent is the id of the last event of a stream that the caller has
	// received; empty if it needs the whole stream.
	LastEvent string
}

// AttemptInfo is the metadata of one attempt that an upstream receives with a
// request.
type AttemptInfo struct {
	Upstream state.UpstreamName
	// Team is the team of the caller's key; empty if the request needs no key.
	Team      state.TeamName
	TimeLeft  time.Duration
	Priority  int
	LastEvent string
}

// AnswerInfo is the metadata that an upstream's answer carries besides its
// status and body.
type AnswerInfo struct {
	// ID is the id of the request that is answered; empty if the answer has
	// none.
	ID string
	// Sealed is set if the answer is marked as coming from the upstream itself.
	Sealed bool
	// NotRun is set if the request was not run and will not be.
	NotRun bool
	// Limit is the rate limit that the upstream names.
	Limit RateLimit
	// Leaving is set if the upstream is about to end.
	Leaving bool
	// Pause is how long the upstream asks this gateway to send it nothing; zero if
	// it asks for no pause.
	Pause time.Duration
}

// RateLimit is how many requests a second an upstream takes from all gateways
// together. The zero value is no limit.
type RateLimit struct {
	Limited   bool
	PerSecond float64
}

// Dialect translates between the deployment's headers and the types of this
// package.
type Dialect interface {
	// ParseRequest parses the headers of a caller's request.
	ParseRequest(h http.Header) (RequestInfo, error)
	// Prepare turns the headers of a caller's request into those of a request
	// to an upstream, without those of one attempt. It may change h. With teams, the
	// caller's key and any name of a team are removed.
	Prepare(h http.Header, teams bool)
	// AddAttemptHeaders adds the headers of one attempt.
	AddAttemptHeaders(h http.Header, s AttemptInfo)
	// ParseAnswer parses the status and the headers of an upstream's answer.
	ParseAnswer(status int, h http.Header) AnswerInfo
}
