package logclient

import (
	"bytes"
	"context"
	"slices"

	"github.com/go-faster/errors"

	"github.com/lagoonvalve/lagoonvalve/internal/platform"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

const (
	// snapshotPartSize is the number of data bytes in a part. It keeps the
	// body of a record, which holds them in base64, under 64 KiB.
	snapshotPartSize = 47 << 10
	// maxSnapshotParts bounds the memory that a reader needs for one snapshot
	// to about 190 MiB.
	maxSnapshotParts = 4096
	// maxIncompleteSets bounds the incomplete snapshots that a reader keeps;
	// the oldest is dropped first.
	maxIncompleteSets = 4
)

// Snapshot is a complete snapshot of a stream's tables.
type Snapshot struct {
	// Set is the id that the parts of the snapshot have in common.
	Set string
	// Covered is the last offset whose effect Data includes.
	Covered state.Offset
	Data    []byte
}

// SnapshotRecords splits data into snapshot records of at most 64 KiB each.
// newID generates the ids of the snapshot and its records.
func SnapshotRecords(writer state.ProcessID, newID func() string, covered state.Offset, data []byte) ([]state.Record, error) {
	chunks := slices.Collect(slices.Chunk(data, snapshotPartSize))
	if len(chunks) == 0 {
		chunks = [][]byte{nil}
	}
	if len(chunks) > maxSnapshotParts {
		return nil, errors.Errorf("snapshot of %d bytes needs more than %d parts", len(data), maxSnapshotParts)
	}
	set := newID()
	records := make([]state.Record, 0, len(chunks))
	for i, chunk := range chunks {
		part := state.SnapshotPart{SnapshotID: set, Part: i, Parts: len(chunks), Covered: covered, Data: chunk}
		record, err := state.NewRecord(newID(), writer, state.KindSnapshot, part)
		if err != nil {
			return nil, err
		}
		records = append(records, record)
	}
	return records, nil
}

// WriteSnapshot appends the records of a snapshot to stream one by one, so that
// a large snapshot does not fill the append buffer. Readers ignore a snapshot
// that was not written completely.
func WriteSnapshot(ctx context.Context, appender Appender, stream platform.Stream, records []state.Record) error {
	for i, record := range records {
		if _, err := appender.Append(ctx, stream, record); err != nil {
			return errors.Wrapf(err, "snapshot part %d of %d", i, len(records))
		}
	}
	return nil
}

// SnapshotReader assembles snapshots from the records of a stream.
type SnapshotReader struct {
	// covered is the offset up to which the process has applied the stream or
	// has received a snapshot.
	covered state.Offset
	// incomplete is ordered by the arrival of the first part, oldest first.
	incomplete []*incompleteSet
}

// incompleteSet is a snapshot with missing parts.
type incompleteSet struct {
	name    string
	covered state.Offset
	parts   [][]byte
	missing int
}

// NewSnapshotReader returns a reader for a process that has applied the stream
// up to the offset applied. Snapshots that do not cover more are ignored.
func NewSnapshotReader(applied state.Offset) *SnapshotReader {
	return &SnapshotReader{covered: applied}
}

// Add processes a record of any kind. It returns a snapshot if the record
// completes one that covers more than the process has applied and more than all
// snapshots returned before.
func (r *SnapshotReader) Add(record state.StoredRecord) (Snapshot, bool) {
	if record.Kind != state.KindSnapshot {
		return Snapshot{}, false
	}
	part, err := state.DecodeBody[state.SnapshotPart](record.Record)
	if err != nil || !r.usable(part, record.Offset) {
		return Snapshot{}, false
	}
	set := r.findOrAddSet(part)
	if !set.add(part) || set.missing > 0 {
		return Snapshot{}, false
	}
	r.covered = set.covered
	r.incomplete = slices.DeleteFunc(r.incomplete, func(other *incompleteSet) bool { return other.covered <= r.covered })
	return Snapshot{Set: set.name, Covered: set.covered, Data: bytes.Join(set.parts, nil)}, true
}

// usable reports false for parts that are malformed, that claim to cover their
// own or a later offset, or whose snapshot covers no more than r.covered.
func (r *SnapshotReader) usable(part state.SnapshotPart, offset state.Offset) bool {
	wellFormed := part.Part >= 0 && part.Part < part.Parts && part.Parts <= maxSnapshotParts
	return wellFormed && part.Covered < offset && part.Covered > r.covered
}

func (r *SnapshotReader) findOrAddSet(part state.SnapshotPart) *incompleteSet {
	for _, set := range r.incomplete {
		if set.name == part.SnapshotID {
			return set
		}
	}
	set := &incompleteSet{name: part.SnapshotID, covered: part.Covered, parts: make([][]byte, part.Parts), missing: part.Parts}
	r.incomplete = append(r.incomplete, set)
	if len(r.incomplete) > maxIncompleteSets {
		r.incomplete = r.incomplete[1:]
	}
	return set
}

// add stores a part. It reports false if the set already has the part or if its
// number of parts or covered offset differs from the set's.
func (s *incompleteSet) add(part state.SnapshotPart) bool {
	if part.Parts != len(s.parts) || part.Covered != s.covered || s.parts[part.Part] != nil {
		return false
	}
	data := part.Data
	if data == nil {
		data = []byte{}
	}
	s.parts[part.Part] = data
	s.missing--
	return true
}

// LatestSnapshot reads the records of stream after the offset applied and returns the
// newest complete snapshot that covers more than that; ok is false if there is none.
// The records of a snapshot come after all that it covers.
func LatestSnapshot(ctx context.Context, log platform.Log, stream platform.Stream, applied state.Offset) (snapshot Snapshot, ok bool, err error) {
	reader := NewSnapshotReader(applied)
	next := applied + 1
	for {
		page, err := log.Read(ctx, stream, next, readPageLimit, 0)
		if errors.Is(err, platform.ErrTruncated) && page.Oldest > next {
			next = page.Oldest
			continue
		}
		if err != nil {
			return Snapshot{}, false, errors.Wrap(err, "read snapshots")
		}
		for _, record := range page.Records {
			if newer, complete := reader.Add(record); complete {
				snapshot, ok = newer, true
			}
		}
		if page.Next <= next || page.Next >= page.End {
			return snapshot, ok, nil
		}
		next = page.Next
	}
}
