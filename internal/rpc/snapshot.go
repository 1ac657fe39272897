package rpc

import (
	"github.com/lagoonvalve/lagoonvalve/internal/platform"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// MethodSnapshot is served by entries. An entry calls it to get a stream's tables
// if the log no longer has records that it has not read.
const MethodSnapshot = "entry.snapshot"

// SnapshotPartSize is the size in bytes of each part of a snapshot but the last,
// which may be shorter.
const SnapshotPartSize = 256 << 10

// MaxSnapshotParts bounds a snapshot to 64 MiB.
const MaxSnapshotParts = 256

// SnapshotParams requests one part of a snapshot.
type SnapshotParams struct {
	Stream platform.Stream `json:"stream"`
	// AtLeast is the lowest offset that the snapshot may cover.
	AtLeast state.Offset `json:"at_least"`
	// Part is the number of the part, and Sum the hash of the snapshot that it
	// belongs to. For part 0, Sum is zero: any snapshot that reaches AtLeast
	// may be returned.
	Part int    `json:"part"`
	Sum  uint64 `json:"sum,omitempty"`
}

// SnapshotResult is a part of a snapshot.
type SnapshotResult struct {
	// Covered is the offset of the last record that the snapshot includes.
	Covered state.Offset `json:"covered"`
	// Sum is the hash of the stream's name, Covered and the data of all parts,
	// Size the length of that data in bytes and Parts the number of parts.
	Sum   uint64 `json:"sum"`
	Size  int    `json:"size"`
	Parts int    `json:"parts"`
	Data  []byte `json:"data"`
}
