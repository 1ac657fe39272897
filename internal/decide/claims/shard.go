package claims

import (
	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// ShardCount is the number of claim shards over all regions. Together with
// MinInterval it bounds the append rate of all claims. It is a constant rather
// than a setting because entries that disagree on it would map a key to
// different shards and could run a request twice.
const ShardCount = 16

// ShardOf returns the claim shard of a caller's key. It depends on nothing else
// and ignores how a UUID is spelled, so that a request and all its resends map
// to the same shard.
func ShardOf(caller state.CallerName, key string) int {
	if id, err := uuid.Parse(key); err == nil {
		key = id.String()
	}
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(caller)) // Writing to a digest never fails.
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(key)
	return int(d.Sum64() % ShardCount)
}
