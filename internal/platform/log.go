// Package platform defines the interfaces to the services that the platform
// provides, the log, the host list and the engines, and their HTTP clients.
package platform

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// Stream is the name of a stream of the log.
type Stream string

// StreamConfig is the stream of the configuration of all regions.
const StreamConfig Stream = "config"

// RegionStream returns the name of the stream of the decisions of region r.
func RegionStream(r state.Region) Stream { return Stream("region/" + string(r)) }

// claimStreamPrefix is the prefix of the names of claim shards' streams.
const claimStreamPrefix = "claims/"

// ClaimStream returns the name of the stream of a claim shard.
func ClaimStream(shard int) Stream { return Stream(fmt.Sprintf("%s%02d", claimStreamPrefix, shard)) }

// IsClaimStream reports whether s is the stream of a claim shard.
func IsClaimStream(s Stream) bool { return strings.HasPrefix(string(s), claimStreamPrefix) }

// AuditStream returns the name of the stream of the audit trail of region r.
func AuditStream(r state.Region) Stream { return Stream("audit/" + string(r)) }

// ErrUnknownOutcome means that an append or an order may or may not have taken
// effect.
var ErrUnknownOutcome = errors.New("append outcome unknown")

// ErrUnavailable means that the service refused the call or could not be reached;
// the call took no effect.
var ErrUnavailable = errors.New("service unavailable")

// ErrTruncated means that the requested offset is older than the oldest record
// that the log retains.
var ErrTruncated = errors.New("offset older than retention")

// ErrRejected means that the service rejected the call as invalid. The call took
// no effect, and a retry would be rejected as well.
var ErrRejected = errors.New("call rejected as invalid")

// Page holds consecutive records of a stream: every record from From up to, but
// not including, Next.
type Page struct {
	// From is the offset that the read requested.
	From    state.Offset         `json:"from"`
	Records []state.StoredRecord `json:"records"`
	// Oldest is the offset of the oldest record that the log retains.
	Oldest state.Offset `json:"oldest"`
	// Next is the offset from which the next read continues.
	Next state.Offset `json:"next"`
	// End is the offset that the stream's next record will get.
	End state.Offset `json:"end"`
}

// Log is the platform's append-only log service.
type Log interface {
	// Append stores records as one append with consecutive offsets and
	// returns the first. The error wraps ErrUnavailable if nothing was
	// stored, ErrUnknownOutcome if it is not known whether the records were
	// stored, and ErrRejected if the log will never accept them.
	Append(ctx context.Context, stream Stream, records []state.Record) (state.Offset, error)
	// Read returns at most limit records beginning at offset from. If there is
	// none, it waits up to wait for one; with a wait of zero, it returns the
	// current content of the log, never a cached one. The error wraps
	// ErrTruncated if from is older than the oldest retained record; the page
	// then still has Oldest and End. It wraps ErrUnavailable if the log did not
	// respond.
	Read(ctx context.Context, stream Stream, from state.Offset, limit int, wait time.Duration) (Page, error)
}

// HostState is the state of a host in the host list.
type HostState string

// The states of a host.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
)

// HostInfo is one entry of the host list. A host that no longer exists is not
// listed.
type HostInfo struct {
	Name       state.HostName   `json:"name"`
	DataCentre state.DataCentre `json:"data_centre"`
	State      HostState        `json:"state"`
}

// HostList is the platform's list of hosts, which lags behind their actual state.
type HostList interface {
	Hosts(ctx context.Context) ([]HostInfo, error)
}
