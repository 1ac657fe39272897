package claims

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

const (
	// ShardCount is the number of claim shards over all regions. With
	// MinInterval it bounds the appends of all claims.
	ShardCount = 16
	// formerShards is the number of shards of the former layout, numbered
	// from 0. The present shards are numbered after them, so that no stream
	// and no owner belongs to both layouts.
	formerShards = 64
)

// Layout assigns keys to shards. A key's shard depends on the key alone, so
// that all sendings of a request meet in one shard while a change of the
// layout is under way. All entries must have the same layout.
type Layout struct {
	// Since is the time in keys from which the present layout is in use; zero
	// means for all keys.
	Since time.Time
}

// Shard returns the claim shard of a key.
func (l Layout) Shard(caller state.CallerName, key string) int {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(caller)) // A digest never fails.
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(key)
	if id, err := uuid.Parse(key); err == nil && keyTime(id).Before(l.Since) {
		return int(d.Sum64() % formerShards)
	}
	return formerShards + int(d.Sum64()%ShardCount)
}
