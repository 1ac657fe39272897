package entry

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/lagoonvalve/lagoonvalve/internal/logclient"
	"github.com/lagoonvalve/lagoonvalve/internal/platform"
	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

const (
	// snapshotSources bounds the entries of a region that one attempt asks for
	// a snapshot; the next attempt asks others.
	snapshotSources = 8
	// snapshotPartTimeout bounds the fetching of a part.
	snapshotPartTimeout = 5 * time.Second
	// snapshotFetchTimeout bounds the fetching of a snapshot.
	snapshotFetchTimeout = time.Minute
)

// recovery brings an entry's tables past records that the log has lost.
type recovery struct {
	*control
	log    platform.Log
	stream platform.Stream
	// attempts counts the rounds of questions to other entries.
	attempts int
}

// from loads a snapshot that covers the records that the log has lost, from
// the log or else from another entry, and returns the offset to read next.
func (r *recovery) from(ctx context.Context, lost *logclient.TruncatedError) (state.Offset, bool) {
	snapshot, ok, err := logclient.LatestSnapshot(ctx, r.log, r.stream, lost.From-1)
	if err != nil {
		// Without the log no snapshot can be checked against it.
		r.deps.logger.Warn("the log's snapshots can't be read", "stream", r.stream, "error", err)
		return 0, false
	}
	if ok && snapshot.Covered+1 >= lost.Oldest {
		if next, applied := r.apply(ctx, snapshot); applied {
			return next, true
		}
	}
	for _, address := range r.sources() {
		snapshot, err := r.fetch(ctx, address, lost)
		if err != nil {
			r.deps.logger.Debug("no snapshot from another entry", "stream", r.stream, "address", address, "error", err)
			continue
		}
		if next, applied := r.apply(ctx, snapshot); applied {
			r.deps.counters.Add("lagoonvalve_entry_snapshots_total", 1)
			r.deps.logger.Info("snapshot taken from another entry", "stream", r.stream, "address", address, "covered", snapshot.Covered)
			return next, true
		}
	}
	r.deps.logger.Warn("no snapshot to go on from", "stream", r.stream, "next", lost.From, "oldest", lost.Oldest)
	return 0, false
}

// apply hands a snapshot to the control goroutine; applied is false if the
// tables refused it.
func (r *recovery) apply(ctx context.Context, snapshot logclient.Snapshot) (next state.Offset, applied bool) {
	done := make(chan state.Offset, 1)
	if !r.post(ctx, snapshotRead{stream: r.stream, snapshot: snapshot, done: done}) {
		return 0, false
	}
	select {
	case offset := <-done:
		return offset + 1, offset >= snapshot.Covered
	case <-ctx.Done():
		return 0, false
	}
}

// sources lists the control addresses to ask in this attempt: entries of the
// own region and, for the configuration, then of other regions. Each entry
// starts at another place of the lists, so that not all ask the same one.
func (r *recovery) sources() []string {
	near := make(map[state.EntryName]string)
	for _, peer := range r.cfg.peers {
		near[peer.Name] = peer.Control
	}
	if current := r.view(); current != nil {
		for name, address := range current.addresses {
			near[name] = address
		}
	}
	var own, far []rpc.Peer
	for name, address := range near {
		if name != r.cfg.name {
			own = append(own, rpc.Peer{Name: name, Control: address})
		}
	}
	if r.stream == platform.StreamConfig {
		far = slices.Clone(r.cfg.remotes)
	}
	first := r.attempts * snapshotSources
	r.attempts++
	return slices.Concat(r.turn(own, first), r.turn(far, first))
}

// turn returns the addresses of up to snapshotSources peers, from that many
// places after the own name on.
func (r *recovery) turn(peers []rpc.Peer, first int) []string {
	slices.SortFunc(peers, func(a, b rpc.Peer) int { return cmp.Compare(a.Name, b.Name) })
	after, _ := slices.BinarySearchFunc(peers, r.cfg.name, func(p rpc.Peer, name state.EntryName) int { return cmp.Compare(p.Name, name) })
	addresses := make([]string, 0, snapshotSources)
	for i := range min(snapshotSources, len(peers)) {
		addresses = append(addresses, peers[(after+first+i)%len(peers)].Control)
	}
	return addresses
}

// fetch asks one entry for a snapshot. It returns only one that is whole,
// newer than the own tables, and whose next record the log still has.
func (r *recovery) fetch(ctx context.Context, address string, lost *logclient.TruncatedError) (logclient.Snapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, snapshotFetchTimeout)
	defer cancel()
	params := rpc.SnapshotParams{Stream: r.stream, AtLeast: max(lost.From, lost.Oldest-1)}
	head, err := r.fetchPart(ctx, address, params)
	if err != nil {
		return logclient.Snapshot{}, err
	}
	if head.Covered < params.AtLeast {
		return logclient.Snapshot{}, errors.Errorf("covers %d, want %d at least", head.Covered, params.AtLeast)
	}
	if head.Size < 0 || head.Parts > rpc.MaxSnapshotParts || head.Parts != snapshotParts(head.Size) {
		return logclient.Snapshot{}, errors.Errorf("%d bytes in %d parts", head.Size, head.Parts)
	}
	data := head.Data
	for params.Part = 1; params.Part < head.Parts; params.Part++ {
		params.Sum = head.Sum
		part, err := r.fetchPart(ctx, address, params)
		if err != nil {
			return logclient.Snapshot{}, err
		}
		data = append(data, part.Data...)
		if len(data) > head.Size {
			break
		}
	}
	if len(data) != head.Size || snapshotSum(r.stream, head.Covered, data) != head.Sum {
		return logclient.Snapshot{}, errors.New("the snapshot is not whole")
	}
	if err := r.continues(ctx, head.Covered); err != nil {
		return logclient.Snapshot{}, err
	}
	return logclient.Snapshot{Covered: head.Covered, Data: data}, nil
}

func (r *recovery) fetchPart(ctx context.Context, address string, params rpc.SnapshotParams) (rpc.SnapshotResult, error) {
	ctx, cancel := context.WithTimeout(ctx, snapshotPartTimeout)
	defer cancel()
	var part rpc.SnapshotResult
	err := r.deps.caller.Call(ctx, address, rpc.MethodSnapshot, params, &part)
	return part, err
}

// continues checks that the log can go on after covered: it has not lost the
// next record, and it has been as far.
func (r *recovery) continues(ctx context.Context, covered state.Offset) error {
	page, err := r.log.Read(ctx, r.stream, covered+1, 1, 0)
	if err != nil {
		return errors.Wrap(err, "read after the snapshot")
	}
	if page.Oldest > covered+1 || page.End < covered+1 {
		return errors.Errorf("the log has %d to %d, the snapshot covers %d", page.Oldest, page.End, covered)
	}
	return nil
}
