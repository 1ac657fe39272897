package rpc

import (
	"github.com/lagoonvalve/lagoonvalve/internal/platform"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// MethodSnapshot is served by entries. An entry asks it for a stream's tables
// when the log has lost records that it lacks.
const MethodSnapshot = "entry.snapshot"

// SnapshotPartSize is the size of all parts of a snapshot but the last.
const SnapshotPartSize = 256 << 10

// MaxSnapshotParts bounds a snapshot to 64 MiB.
const MaxSnapshotParts = 256

// SnapshotParams asks for one part of a snapshot.
type SnapshotParams struct {
	Stream platform.Stream `json:"stream"`
	// AtLeast is the lowest offset that the snapshot may cover.
	AtLeast state.Offset `json:"at_least"`
	// Part is the number of the part, and Sum names the snapshot that it
	// belongs to; for part 0, Sum is zero and any snapshot will do.
	Part int    `json:"part"`
	Sum  uint64 `json:"sum,omitempty"`
}

// SnapshotResult is a part of a snapshot.
type SnapshotResult struct {
	// Covered is the last offset whose effect the snapshot holds.
	Covered state.Offset `json:"covered"`
	// Sum is the hash of the stream's name, the covered offset and the whole
	// data, Size the length of the data and Parts the number of parts.
	Sum   uint64 `json:"sum"`
	Size  int    `json:"size"`
	Parts int    `json:"parts"`
	Data  []byte `json:"data"`
}
