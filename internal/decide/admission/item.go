// Package admission holds the bounded queue in front of an upstream.
package admission

import (
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// Item is a waiting request.
type Item struct {
	// ID is unique within the queue.
	ID     uint64
	Caller state.CallerName
	// Weight is the caller's share within its class.
	Weight  int
	Class   state.Class
	Arrived time.Time
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// Cost is the predicted service time.
	Cost time.Duration
	// Long marks work that may use only part of the concurrency.
	Long bool
	// Size is the memory that the waiting request takes.
	Size state.Bytes
	// Key and Adapter name the replica that the request needs; both are
	// empty for plain services.
	Key     state.ReplicaKey
	Adapter state.AdapterName
}
