// Package routing chooses the upstream of a request, detects stragglers and
// decides on hedges. Times and random sources are passed in as arguments.
package routing

import (
	"math/rand/v2"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// Locality is how far a replica is from the entry.
type Locality uint8

// The localities, nearest first.
const (
	SameDataCentre Locality = iota
	SameRegion
	OtherRegion
)

// Candidate is a ready replica as an entry sees it.
type Candidate struct {
	// Replica is the index in the caller's replica table.
	Replica int
	// Queue is the reported number of waiting and running requests.
	Queue int
	// Sent counts the requests that the entry has sent since that report, which
	// Queue does not include.
	Sent int
	// Slots is how many requests the replica runs concurrently; values below
	// 1 count as 1.
	Slots int
	// Latency is the estimated service time of this request there.
	Latency  time.Duration
	Locality Locality
	// AdapterLoaded is set if the requested adapter is loaded, or none is
	// requested.
	AdapterLoaded bool
	// Prefix is the estimated fraction of the prompt in the replica's prefix
	// cache, from 0 to 1.
	Prefix float64
	// Rank orders the replicas for a prompt prefix in the same way at all
	// entries; see the function Rank.
	Rank uint64
	// Ejected is set if the replica's upstream is out of rotation.
	Ejected bool
}

// AgedQueue estimates what remains of a queue that was reported age ago. After
// the first second it shrinks as fast as the slots serve requests: an entry that
// sends nothing to a replica gets no reports from it, and would otherwise
// consider it full for ever.
func AgedQueue(queue, slots int, age, service time.Duration) int {
	const fresh = time.Second
	if age <= fresh || queue <= 0 {
		return queue
	}
	drained := float64(max(slots, 1)) * float64(age-fresh) / float64(max(service, time.Millisecond))
	return max(queue-int(min(drained, float64(queue))), 0)
}

// Request holds the properties of a request that the choice depends on.
type Request struct {
	// Prefill is the predicted time to process the prompt without a cache.
	Prefill time.Duration
	// Volume is the predicted traffic of the request in both directions.
	Volume state.Bytes
	// Adapter is set if the request needs an adapter.
	Adapter bool
	// Remote is set if the volume budget allows sending the request to another
	// region.
	Remote bool
	// Exclude is the Candidate.Replica of an earlier attempt, or -1.
	Exclude int
}

// Policy selects the replica for a request.
type Policy interface {
	// Select returns an index into candidates; ok is false if none may be
	// used.
	Select(rng *rand.Rand, candidates []Candidate, req Request) (index int, ok bool)
}
