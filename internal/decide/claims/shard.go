package claims

import (
	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// ShardCount is the number of claim shards over all regions. With MinInterval
// it bounds the appends of all claims. It is no setting: two entries with
// different numbers could run a request twice.
const ShardCount = 16

// ShardOf returns the claim shard of a key. It depends on the key alone, so
// that all sendings of a request meet in one shard.
func ShardOf(caller state.CallerName, key string) int {
	if id, err := uuid.Parse(key); err == nil {
		key = id.String()
	}
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(caller)) // A digest never fails.
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(key)
	return int(d.Sum64() % ShardCount)
}
