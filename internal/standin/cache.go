package standin

import (
	"slices"

	"github.com/lagoonvalve/lagoonvalve/internal/platform"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// cacheTiers keeps the checkpoints used last in memory and on disk.
type cacheTiers struct {
	inMemory int
	onDisk   int
	memory   []state.ReplicaKey
	disk     []state.ReplicaKey
}

func newCacheTiers(inMemory, onDisk int) *cacheTiers {
	return &cacheTiers{inMemory: inMemory, onDisk: onDisk}
}

// use puts key in front of both caches.
func (c *cacheTiers) use(key state.ReplicaKey) {
	c.memory = toFront(c.memory, key, c.inMemory)
	c.disk = toFront(c.disk, key, c.onDisk)
}

func toFront(keys []state.ReplicaKey, key state.ReplicaKey, size int) []state.ReplicaKey {
	keys = slices.DeleteFunc(keys, func(other state.ReplicaKey) bool { return other == key })
	keys = slices.Insert(keys, 0, key)
	return keys[:min(size, len(keys))]
}

func (c *cacheTiers) loseMemory() { c.memory = nil }

func (c *cacheTiers) tier(key state.ReplicaKey) platform.CacheTier {
	switch {
	case slices.Contains(c.memory, key):
		return platform.CacheMemory
	case slices.Contains(c.disk, key):
		return platform.CacheDisk
	default:
		return platform.CacheRemote
	}
}

func (c *cacheTiers) list() map[string]platform.CacheTier {
	list := make(map[string]platform.CacheTier, len(c.disk))
	for _, key := range append(slices.Clone(c.disk), c.memory...) {
		list[string(key.Model)+"/"+string(key.Version)] = c.tier(key)
	}
	return list
}
