// Package routing chooses the upstream of a request, detects stragglers and
// decides on hedges. Times and random sources come in as arguments.
package routing

import (
	"math/rand/v2"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// Locality says how far a replica is from the entry.
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
	// Sent counts the entry's own sends that the report does not include.
	Sent int
	// Slots is how many requests the replica runs side by side; values
	// below 1 count as 1.
	Slots int
	// Latency is the estimated service time of this request there.
	Latency  time.Duration
	Locality Locality
	// AdapterLoaded says that the adapter asked for is loaded, or that none
	// is asked for.
	AdapterLoaded bool
	// Prefix is the believed share of the prompt in the prefix cache, from 0
	// to 1.
	Prefix float64
	// Rank orders the replicas for a prompt prefix alike at all entries; see
	// Rank.
	Rank uint64
	// Ejected says that the replica's upstream is out of rotation.
	Ejected bool
}

// AgedQueue is what probably remains of a queue reported some time ago. After
// a second of silence it shrinks as fast as the slots serve it: an entry that
// sends nothing gets no reports, and must not take a replica for full for ever.
func AgedQueue(queue, slots int, age, service time.Duration) int {
	const fresh = time.Second
	if age <= fresh || queue <= 0 {
		return queue
	}
	drained := float64(max(slots, 1)) * float64(age-fresh) / float64(max(service, time.Millisecond))
	return max(queue-int(min(drained, float64(queue))), 0)
}

// Request is what a choice needs to know of a request.
type Request struct {
	// Prefill is the predicted time to process the prompt without a cache.
	Prefill time.Duration
	// Volume is the predicted traffic of the request in both directions.
	Volume state.Bytes
	// Adapter says that the request asks for an adapter.
	Adapter bool
	// Remote says that the volume budget allows other regions.
	Remote bool
	// Exclude is the Replica of an earlier attempt, or -1.
	Exclude int
}

// Policy selects a replica by some criterion. It returns an index into
// candidates; ok is false if none may be used.
type Policy interface {
	Select(rng *rand.Rand, candidates []Candidate, req Request) (index int, ok bool)
}
