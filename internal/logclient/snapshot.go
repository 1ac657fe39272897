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
	// snapshotPartData is the data of a part. JSON writes it in base64, so
	// that a record's body stays under 64 KiB.
	snapshotPartData = 47 << 10
	// maxSnapshotParts bounds what a reader keeps of one set, about 190 MiB.
	maxSnapshotParts = 4096
	// maxOpenSets bounds the incomplete sets that a reader keeps.
	maxOpenSets = 4
)

// Snapshot is a complete snapshot of a stream's tables.
type Snapshot struct {
	Set string
	// Covered is the last offset whose effect Data holds.
	Covered state.Offset
	Data    []byte
}

// SnapshotRecords splits data into snapshot records of at most 64 KiB each.
// newID makes record ids.
func SnapshotRecords(writer state.ProcessID, newID func() string, covered state.Offset, data []byte) ([]state.Record, error) {
	chunks := slices.Collect(slices.Chunk(data, snapshotPartData))
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

// WriteSnapshot appends the records of a snapshot to stream, one after the
// other, so that a large snapshot does not fill the append buffer. A snapshot
// that is cut short is never used by readers.
func WriteSnapshot(ctx context.Context, appender Appender, stream platform.Stream, records []state.Record) error {
	for i, record := range records {
		if _, err := appender.Append(ctx, stream, record); err != nil {
			return errors.Wrapf(err, "snapshot part %d of %d", i, len(records))
		}
	}
	return nil
}

// SnapshotReader puts snapshots together from the records of a stream.
type SnapshotReader struct {
	have state.Offset
	// open holds the incomplete sets, oldest first.
	open []*openSet
}

// openSet is a snapshot of which parts are missing.
type openSet struct {
	name    string
	covered state.Offset
	parts   [][]byte
	missing int
}

// NewSnapshotReader returns a reader for a process that has applied the
// stream up to have; snapshots that cover less are ignored.
func NewSnapshotReader(have state.Offset) *SnapshotReader {
	return &SnapshotReader{have: have}
}

// Add takes a record of any kind. It returns a snapshot if the record
// completes one that is newer than all before.
func (r *SnapshotReader) Add(record state.StoredRecord) (Snapshot, bool) {
	if record.Kind != state.KindSnapshot {
		return Snapshot{}, false
	}
	part, err := state.DecodeBody[state.SnapshotPart](record.Record)
	if err != nil || !r.usable(part, record.Offset) {
		return Snapshot{}, false
	}
	set := r.set(part)
	if !set.add(part) || set.missing > 0 {
		return Snapshot{}, false
	}
	r.have = set.covered
	r.open = slices.DeleteFunc(r.open, func(other *openSet) bool { return other.covered <= r.have })
	return Snapshot{Set: set.name, Covered: set.covered, Data: bytes.Join(set.parts, nil)}, true
}

// usable refuses parts that are malformed, that claim to cover records after
// themselves, or whose set is not newer than what the reader has.
func (r *SnapshotReader) usable(part state.SnapshotPart, at state.Offset) bool {
	wellFormed := part.Part >= 0 && part.Part < part.Parts && part.Parts <= maxSnapshotParts
	return wellFormed && part.Covered < at && part.Covered > r.have
}

func (r *SnapshotReader) set(part state.SnapshotPart) *openSet {
	for _, set := range r.open {
		if set.name == part.SnapshotID {
			return set
		}
	}
	set := &openSet{name: part.SnapshotID, covered: part.Covered, parts: make([][]byte, part.Parts), missing: part.Parts}
	r.open = append(r.open, set)
	if len(r.open) > maxOpenSets {
		r.open = r.open[1:]
	}
	return set
}

// add stores a part and reports whether it was new and belongs to the set.
func (s *openSet) add(part state.SnapshotPart) bool {
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

// LatestSnapshot reads all that the log has of stream and returns the newest
// complete snapshot that covers more than have; ok is false if there is none.
func LatestSnapshot(ctx context.Context, log platform.Log, stream platform.Stream, have state.Offset) (snapshot Snapshot, ok bool, err error) {
	reader := NewSnapshotReader(have)
	var next state.Offset
	for {
		page, err := log.Read(ctx, stream, next, readLimit, 0)
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
