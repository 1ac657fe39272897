package membership

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// Ring assigns roles to entries by rendezvous hashing: when an entry goes, only
// the roles of that entry move. A ring is immutable.
type Ring struct {
	entries []state.EntryName
	hashes  []uint64
}

// NewRing returns a ring over entries, in any order.
func NewRing(entries []state.EntryName) *Ring {
	r := &Ring{entries: entries, hashes: make([]uint64, len(entries))}
	for i, name := range entries {
		r.hashes[i] = xxhash.Sum64String(string(name))
	}
	return r
}

func keyHash(role Role, key string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(role)) // Writes to a Digest never fail.
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(key)
	return d.Sum64()
}

func weight(entry, key uint64) uint64 {
	var pair [16]byte
	binary.LittleEndian.PutUint64(pair[:8], entry)
	binary.LittleEndian.PutUint64(pair[8:], key)
	return xxhash.Sum64(pair[:])
}

// before reports whether entry i ranks before entry j for a hashed key. Names
// break ties, so that all entries agree.
func (r *Ring) before(i, j int, key uint64) bool {
	a, b := weight(r.hashes[i], key), weight(r.hashes[j], key)
	if a != b {
		return a > b
	}
	return r.entries[i] < r.entries[j]
}

// Owner returns the entry that has the role for key; empty if the ring is.
func (r *Ring) Owner(role Role, key string) state.EntryName {
	if len(r.entries) == 0 {
		return ""
	}
	hash := keyHash(role, key)
	best, highest := 0, weight(r.hashes[0], hash)
	for i := 1; i < len(r.entries); i++ {
		w := weight(r.hashes[i], hash)
		if w > highest || w == highest && r.entries[i] < r.entries[best] {
			best, highest = i, w
		}
	}
	return r.entries[best]
}

// First returns the n highest-ranked entries for the role and key, the owner
// first; fewer if the ring has fewer.
func (r *Ring) First(role Role, key string, n int) []state.EntryName {
	hash := keyHash(role, key)
	order := make([]int, len(r.entries))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(i, j int) int {
		if r.before(i, j, hash) {
			return -1
		}
		return 1
	})
	first := make([]state.EntryName, 0, n)
	for _, i := range order[:min(n, len(order))] {
		first = append(first, r.entries[i])
	}
	return first
}

// Rank returns the rank of entry for the role and key, 0 for the owner, or -1 if
// the ring lacks the entry.
func (r *Ring) Rank(role Role, key string, entry state.EntryName) int {
	hash := keyHash(role, key)
	self := -1
	for i, name := range r.entries {
		if name == entry {
			self = i
		}
	}
	if self < 0 {
		return -1
	}
	rank := 0
	for i := range r.entries {
		if i != self && r.before(i, self, hash) {
			rank++
		}
	}
	return rank
}
