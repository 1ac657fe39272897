// Package platform holds the ports to the services that the platform gives:
// the log, the weight store, the host list and the engines, and their clients.
package platform

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// Stream names a stream of the log.
type Stream string

// StreamConfig holds the configuration of all regions.
const StreamConfig Stream = "config"

// RegionStream is the stream of the decisions of region r.
func RegionStream(r state.Region) Stream { return Stream("region/" + string(r)) }

// claimStreams begins the names of the streams of claim shards.
const claimStreams = "claims/"

// ClaimStream is the stream of a claim shard.
func ClaimStream(shard int) Stream { return Stream(fmt.Sprintf("%s%02d", claimStreams, shard)) }

// IsClaimStream reports whether s is the stream of a claim shard.
func IsClaimStream(s Stream) bool { return strings.HasPrefix(string(s), claimStreams) }

// AuditStream is the stream of the audit trail of region r.
func AuditStream(r state.Region) Stream { return Stream("audit/" + string(r)) }

// ErrUnknownOutcome means that an append may or may not have taken effect.
var ErrUnknownOutcome = errors.New("append outcome unknown")

// ErrUnavailable means that the service refused or could not be reached
// before the call could take effect.
var ErrUnavailable = errors.New("service unavailable")

// ErrTruncated means that the offset asked for is older than the oldest
// record that the log still has.
var ErrTruncated = errors.New("offset older than retention")

// ErrRejected means that the service rejected the call as invalid. Nothing
// took effect and a repetition would be rejected as well.
var ErrRejected = errors.New("call rejected as invalid")

// Page is a run of records of a stream. It holds every record from From up to,
// but not including, Next.
type Page struct {
	// From is the offset that the read asked for.
	From    state.Offset         `json:"from"`
	Records []state.StoredRecord `json:"records"`
	// Oldest is the oldest offset that the log still has.
	Oldest state.Offset `json:"oldest"`
	// Next is the offset to read from next.
	Next state.Offset `json:"next"`
	// End is the offset that the stream's next record will get.
	End state.Offset `json:"end"`
}

// Log is the platform's append-only log service.
type Log interface {
	// Append stores records as one append with consecutive offsets and
	// returns the first. The error wraps ErrUnavailable if nothing was
	// stored, ErrUnknownOutcome if that is not known, and ErrRejected if the
	// log will never take the records.
	Append(ctx context.Context, stream Stream, records []state.Record) (state.Offset, error)
	// Read returns at most limit records from offset on. If there is none it
	// waits up to wait for one; a read with wait zero is answered with what
	// the log holds now, never from a cache. The error wraps ErrTruncated if
	// from is older than retention; the page then still has Oldest and End.
	// It wraps ErrUnavailable if the log gave no answer.
	Read(ctx context.Context, stream Stream, from state.Offset, limit int, wait time.Duration) (Page, error)
}

// HostState is what the host list says of a host.
type HostState string

// The states of a host.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
)

// HostInfo is one host of the host list. A host that is gone is not listed.
type HostInfo struct {
	Name       state.HostName   `json:"name"`
	DataCentre state.DataCentre `json:"data_centre"`
	State      HostState        `json:"state"`
}

// HostList is the platform's lagging list of hosts.
type HostList interface {
	Hosts(ctx context.Context) ([]HostInfo, error)
}
