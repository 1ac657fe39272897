package entry

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/platform"
	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
	"github.com/lagoonvalve/lagoonvalve/internal/verdict"
)

// servedFor is how long a snapshot is kept for those that fetch its parts after
// the last of them has asked.
const servedFor = 30 * time.Second

// snapshotServer serves snapshots of the own tables to other entries. It keeps one
// for each stream, so that many that ask at once cost one encoding.
type snapshotServer struct {
	control *control

	mu   sync.Mutex
	kept map[platform.Stream]*servedSnapshot
}

// servedSnapshot is a snapshot that others fetch.
type servedSnapshot struct {
	covered state.Offset
	sum     uint64
	data    []byte
	expires *time.Timer
}

// snapshotSum names a snapshot and proves that it is whole.
func snapshotSum(stream platform.Stream, covered state.Offset, data []byte) uint64 {
	return contentHash(string(stream)+"@"+strconv.FormatInt(int64(covered), 10), data)
}

// part answers another entry with a part of a snapshot.
func (s *snapshotServer) part(ctx context.Context, p rpc.SnapshotParams) (rpc.SnapshotResult, error) {
	if p.Stream != platform.StreamConfig && p.Stream != platform.RegionStream(s.control.cfg.region) {
		return rpc.SnapshotResult{}, verdict.Refuse(verdict.ReasonNotFound, "this entry does not follow the stream")
	}
	snapshot := s.find(p)
	if snapshot == nil && p.Sum == 0 {
		var err error
		if snapshot, err = s.encode(ctx, p); err != nil {
			return rpc.SnapshotResult{}, err
		}
	}
	if snapshot == nil {
		return rpc.SnapshotResult{}, verdict.Refuse(verdict.ReasonNotFound, "no such snapshot")
	}
	result := rpc.SnapshotResult{
		Covered: snapshot.covered, Sum: snapshot.sum, Size: len(snapshot.data), Parts: snapshotParts(len(snapshot.data)),
	}
	if p.Part < 0 || p.Part >= result.Parts {
		return rpc.SnapshotResult{}, verdict.Refuse(verdict.ReasonBadRequest, "no such part of the snapshot")
	}
	first := p.Part * rpc.SnapshotPartSize
	result.Data = snapshot.data[first:min(first+rpc.SnapshotPartSize, len(snapshot.data))]
	return result, nil
}

// snapshotParts is the number of parts of so many bytes.
func snapshotParts(size int) int {
	return max(1, (size+rpc.SnapshotPartSize-1)/rpc.SnapshotPartSize)
}

// find returns the kept snapshot that p asks for.
func (s *snapshotServer) find(p rpc.SnapshotParams) *servedSnapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	snapshot := s.kept[p.Stream]
	if snapshot == nil || snapshot.covered < p.AtLeast || (p.Sum != 0 && p.Sum != snapshot.sum) {
		return nil
	}
	snapshot.expires.Reset(servedFor)
	return snapshot
}

// encode makes the snapshot that later questions are answered from. Tables
// that do not reach far enough are not encoded.
func (s *snapshotServer) encode(ctx context.Context, p rpc.SnapshotParams) (*servedSnapshot, error) {
	snapshot, err := exchangeEvent(ctx, s.control, func(reply chan *servedSnapshot) event {
		return snapshotAsked{stream: p.Stream, atLeast: p.AtLeast, reply: reply}
	})
	if err != nil {
		return nil, err
	}
	if snapshot == nil {
		return nil, verdict.Refuse(verdict.ReasonNotFound, "the tables of this entry do not reach that offset")
	}
	if snapshotParts(len(snapshot.data)) > rpc.MaxSnapshotParts {
		return nil, verdict.Refuse(verdict.ReasonNotFound, "the tables of this entry are too large")
	}
	snapshot.sum = snapshotSum(p.Stream, snapshot.covered, snapshot.data)
	s.mu.Lock()
	defer s.mu.Unlock()
	if old := s.kept[p.Stream]; old != nil {
		old.expires.Stop()
	}
	snapshot.expires = time.AfterFunc(servedFor, func() { s.forget(p.Stream, snapshot) })
	if s.kept == nil {
		s.kept = make(map[platform.Stream]*servedSnapshot)
	}
	s.kept[p.Stream] = snapshot
	return snapshot, nil
}

func (s *snapshotServer) forget(stream platform.Stream, snapshot *servedSnapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.kept[stream] == snapshot {
		delete(s.kept, stream)
	}
}

// snapshotAsked asks for a snapshot of a stream's tables; the reply is nil if
// they do not reach atLeast.
type snapshotAsked struct {
	stream  platform.Stream
	atLeast state.Offset
	reply   chan *servedSnapshot
}

func (e snapshotAsked) apply(c *control, _ time.Time) {
	t := c.tablesOf(e.stream)
	if t.Offset() < e.atLeast || t.Offset() == state.NoOffset {
		e.reply <- nil
		return
	}
	data, covered := t.Snapshot()
	e.reply <- &servedSnapshot{covered: covered, data: data}
}
