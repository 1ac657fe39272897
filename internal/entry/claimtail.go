package entry

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"github.com/lagoonvalve/lagoonvalve/internal/ctxtime"
	"github.com/lagoonvalve/lagoonvalve/internal/decide/claims"
	"github.com/lagoonvalve/lagoonvalve/internal/logclient"
	"github.com/lagoonvalve/lagoonvalve/internal/platform"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

const (
	// claimReadBack is how many records before its end an owner reads of a
	// shard's stream: those of as many claims as it remembers.
	claimReadBack = 200_000
	// readBackTimeout bounds the reading of an answer from the log.
	readBackTimeout = 500 * time.Millisecond
)

// readBack adds the answer of an outcome from the log to a reply. If the log
// does not give it in time, the reply says that the request ran and that its
// answer is not kept.
func (s *claimShards) readBack(ctx context.Context, number int, ticket claimTicket, reply claims.Reply) {
	limited, cancel := context.WithTimeout(ctx, readBackTimeout)
	defer cancel()
	page, err := s.log.Read(limited, platform.ClaimStream(number), reply.At, 1, 0)
	if err == nil && len(page.Records) > 0 && page.Records[0].Offset == reply.At && page.Records[0].Kind == state.KindClaimDone {
		if done, err := state.DecodeBody[state.ClaimDone](page.Records[0].Record); err == nil {
			reply.Result.Done = &done
		}
	}
	select {
	case ticket.reply <- reply.Result:
	case <-ticket.asked.Done():
	case <-ctx.Done():
	}
}

// follow reads a shard's stream.
func (s *claimShards) follow(ctx context.Context, shard *claimShard) {
	from := s.start(ctx, shard.number)
	options := logclient.TailOptions{MaxRetryDelay: claimRetry}
	for ctx.Err() == nil {
		err := logclient.Tail(ctx, s.log, platform.ClaimStream(shard.number), from, options,
			func(page platform.Page) error {
				from = page.Next
				empty, err := s.deliver(ctx, shard, page)
				if empty {
					s.mark(ctx, shard.number)
				}
				return err
			})
		var truncated *logclient.TruncatedError
		if errors.As(err, &truncated) {
			from = truncated.Oldest
			s.noteTruncated(ctx, shard)
			continue
		}
		ctxtime.Sleep(ctx, tailPause)
	}
}

// start returns the offset from which an owner reads its shard: at most
// claimReadBack records before the end, since reading all that the log retains
// would take a new owner minutes at the two-year size.
func (s *claimShards) start(ctx context.Context, number int) state.Offset {
	for {
		page, err := s.log.Read(ctx, platform.ClaimStream(number), 0, 1, 0)
		if err == nil || errors.Is(err, platform.ErrTruncated) {
			return max(page.Oldest, page.End-s.readBackRecords, 0)
		}
		if !ctxtime.Sleep(ctx, tailPause) {
			return 0
		}
	}
}

// deliver gives a page to the owner. It reports whether the owner can't begin
// because all records of the stream are gone.
func (s *claimShards) deliver(ctx context.Context, shard *claimShard, page platform.Page) (empty bool, err error) {
	done := make(chan bool, 1)
	posted := s.post(ctx, func(running context.Context, now time.Time) {
		done <- !s.applyPage(running, shard, page, now)
	})
	if !posted {
		return false, ctx.Err()
	}
	select {
	case empty := <-done:
		return empty, nil
	case <-ctx.Done():
		return false, ctx.Err()
	}
}

// mark appends a record without effect to a stream that has lost all its
// records. Only its time, given by the log, shows from when on the stream is
// known: the clock of this process may be behind that of the log.
func (s *claimShards) mark(ctx context.Context, number int) {
	record, err := state.NewRecord(uuid.NewString(), s.self, state.KindClaimVoid, state.ClaimVoid{Witness: s.self})
	for err == nil {
		limited, cancel := context.WithTimeout(ctx, claimWait)
		_, failed := s.appender.Append(limited, platform.ClaimStream(number), record)
		cancel()
		if failed == nil || !ctxtime.Sleep(ctx, claimRetry) {
			return
		}
	}
}

// applyPage applies a page. It reports false if the owner can't begin with it.
func (s *claimShards) applyPage(ctx context.Context, shard *claimShard, page platform.Page, now time.Time) bool {
	if !shard.began {
		t0, known := firstTime(page)
		if !known {
			return false
		}
		shard.began = true
		shard.owner.BeginReading(t0)
	}
	for _, record := range page.Records {
		s.carryOut(ctx, shard, shard.owner.Apply(record, now))
	}
	if page.Next >= page.End {
		s.carryOut(ctx, shard, shard.owner.CaughtUp(now))
	}
	s.carryOut(ctx, shard, shard.owner.RecordsRead(page.Next))
	return true
}

// readEnd tells an owner where its stream ends now. The read waits for no
// record, so the log answers it from what it holds and from no cache.
func (s *claimShards) readEnd(ctx context.Context, shard *claimShard, from state.Offset) {
	limited, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	page, err := s.log.Read(limited, platform.ClaimStream(shard.number), from, 1, 0)
	known := knowsEnd(page, err, from)
	s.post(ctx, func(running context.Context, now time.Time) {
		s.carryOut(running, shard, shard.owner.StreamEndKnown(page.End, known, now))
	})
}

// knowsEnd reports whether a read from an offset on shows the stream's end. The
// page of a read that is older than retention may be missing.
func knowsEnd(page platform.Page, err error, from state.Offset) bool {
	if errors.Is(err, platform.ErrTruncated) {
		return page.Oldest > from && page.End >= page.Oldest
	}
	return err == nil
}

// firstTime returns the log's time of the oldest record that an owner reads, or
// zero if none before it may be missing. It is not known if all records are
// gone.
func firstTime(page platform.Page) (t0 time.Time, known bool) {
	switch {
	case page.From == 0 && page.Oldest == 0:
		return time.Time{}, true
	case len(page.Records) > 0:
		return page.Records[0].Time, true
	}
	return time.Time{}, false
}

// noteTruncated tells an owner that records were lost unread. It begins again
// at the oldest record that is left.
func (s *claimShards) noteTruncated(ctx context.Context, shard *claimShard) {
	s.post(ctx, func(context.Context, time.Time) {
		shard.began = false
		shard.owner.RecordsLost()
	})
}
