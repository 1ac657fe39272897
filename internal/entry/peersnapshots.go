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

// givenFor is how long a snapshot is kept for those that fetch its parts after
// the last of them has asked.
const givenFor = 30 * time.Second

// snapshotGiver gives other entries snapshots of the own tables. It keeps one
// for each stream, so that many that ask at once cost one encoding.
type snapshotGiver struct {
	control *control

	mu   sync.Mutex
	kept map[platform.Stream]*givenSnapshot
}

// givenSnapshot is a snapshot that others fetch.
type givenSnapshot struct {
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
func (s *snapshotGiver) part(ctx context.Context, p rpc.SnapshotParams) (rpc.SnapshotResult, error) {
	if p.Stream != platform.StreamConfig && p.Stream != platform.RegionStream(s.control.cfg.region) {
		return rpc.SnapshotResult{}, verdict.Refuse(verdict.ReasonNotFound, "this entry does not follow the stream")
	}
	given := s.find(p)
	if given == nil && p.Sum == 0 {
		var err error
		if given, err = s.encode(ctx, p); err != nil {
			return rpc.SnapshotResult{}, err
		}
	}
	if given == nil {
		return rpc.SnapshotResult{}, verdict.Refuse(verdict.ReasonNotFound, "no such snapshot")
	}
	result := rpc.SnapshotResult{
		Covered: given.covered, Sum: given.sum, Size: len(given.data), Parts: snapshotParts(len(given.data)),
	}
	if p.Part < 0 || p.Part >= result.Parts {
		return rpc.SnapshotResult{}, verdict.Refuse(verdict.ReasonBadRequest, "no such part of the snapshot")
	}
	first := p.Part * rpc.SnapshotPartSize
	result.Data = given.data[first:min(first+rpc.SnapshotPartSize, len(given.data))]
	return result, nil
}

// snapshotParts is the number of parts of so many bytes.
func snapshotParts(size int) int {
	return max(1, (size+rpc.SnapshotPartSize-1)/rpc.SnapshotPartSize)
}

// find returns the kept snapshot that p asks for.
func (s *snapshotGiver) find(p rpc.SnapshotParams) *givenSnapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	given := s.kept[p.Stream]
	if given == nil || given.covered < p.AtLeast || (p.Sum != 0 && p.Sum != given.sum) {
		return nil
	}
	given.expires.Reset(givenFor)
	return given
}

// encode makes the snapshot that later questions are answered from. Tables
// that do not reach far enough are not encoded.
func (s *snapshotGiver) encode(ctx context.Context, p rpc.SnapshotParams) (*givenSnapshot, error) {
	given, err := exchangeEvent(ctx, s.control, func(reply chan *givenSnapshot) event {
		return snapshotAsked{stream: p.Stream, atLeast: p.AtLeast, reply: reply}
	})
	if err != nil {
		return nil, err
	}
	if given == nil {
		return nil, verdict.Refuse(verdict.ReasonNotFound, "the tables of this entry do not reach that offset")
	}
	if snapshotParts(len(given.data)) > rpc.MaxSnapshotParts {
		return nil, verdict.Refuse(verdict.ReasonNotFound, "the tables of this entry are too large")
	}
	given.sum = snapshotSum(p.Stream, given.covered, given.data)
	s.mu.Lock()
	defer s.mu.Unlock()
	if old := s.kept[p.Stream]; old != nil {
		old.expires.Stop()
	}
	given.expires = time.AfterFunc(givenFor, func() { s.forget(p.Stream, given) })
	if s.kept == nil {
		s.kept = make(map[platform.Stream]*givenSnapshot)
	}
	s.kept[p.Stream] = given
	return given, nil
}

func (s *snapshotGiver) forget(stream platform.Stream, given *givenSnapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.kept[stream] == given {
		delete(s.kept, stream)
	}
}

// snapshotAsked asks for a snapshot of a stream's tables; the reply is nil if
// they do not reach atLeast.
type snapshotAsked struct {
	stream  platform.Stream
	atLeast state.Offset
	reply   chan *givenSnapshot
}

func (e snapshotAsked) apply(c *control, _ time.Time) {
	t := c.tablesOf(e.stream)
	if t.Offset() < e.atLeast || t.Offset() == state.NoOffset {
		e.reply <- nil
		return
	}
	data, covered := t.Snapshot()
	e.reply <- &givenSnapshot{covered: covered, data: data}
}
