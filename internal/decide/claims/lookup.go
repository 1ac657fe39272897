package claims

import (
	"time"

	"github.com/google/uuid"

	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
	"github.com/lagoonvalve/lagoonvalve/internal/verdict"
)

// lookup is a query whether a key was ever claimed. The table can only prove
// that it was not after applying all records that were in the log when the
// lookup arrived, since another owner of the shard may have claimed the key.
type lookup struct {
	ticket   Ticket
	key      requestKey
	deadline time.Time
	// refusal is the reply to a request for a claim that was not granted; the
	// lookup decides whether it may say that the work was not run. It is nil
	// for a call of Lookup.
	refusal *verdict.Verdict
	// requiredOffset is the offset up to which the owner must have read to
	// answer, once the end of the stream is known.
	requiredOffset state.Offset
}

// lookups holds the lookups that wait until the table is proven up to date. All
// that wait share one read of the stream's end, since refusals come in bursts.
type lookups struct {
	// queued holds the lookups that wait for a read of the stream's end to
	// begin, awaitingEnd those that wait for the read in flight, and
	// awaitingRecords those that wait until the owner has read up to the end
	// that a read returned.
	queued, awaitingEnd, awaitingRecords []lookup
	// readInFlight is set while a read of the end is in flight.
	readInFlight bool
	// readFrom is the offset from which that read was requested.
	readFrom state.Offset
	readRate rateLimiter
}

// waiting returns the number of lookups that wait.
func (l *lookups) waiting() int { return len(l.queued) + len(l.awaitingEnd) + len(l.awaitingRecords) }

// StreamEndRead is a read of the stream from the offset From that does not wait
// for new records. The stream's end that it returns goes to StreamEndKnown.
type StreamEndRead struct {
	From state.Offset
}

// Lookup checks whether a key was never claimed, so that no work with it has
// run. The result has Unseen set only if the owner can prove that.
func (o *Owner) Lookup(t Ticket, caller state.CallerName, key string, now time.Time) Commands {
	var out Commands
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 {
		// No owner grants a claim of such a key, so no work with it ever ran.
		out.Found = append(out.Found, LookupResult{Ticket: t, Unseen: true})
		return out
	}
	o.startLookup(lookup{ticket: t, key: o.keyOf(caller, id), deadline: now.Add(o.settings.LookupTimeout)}, now, &out)
	return out
}

// refuseQueueFull refuses a request for a claim because too many wait. A lookup
// determines whether the refusal may say that the work was not run.
func (o *Owner) refuseQueueFull(t Ticket, p rpc.ClaimParams, id uuid.UUID, now time.Time, out *Commands) {
	until := now.Add(o.settings.LookupTimeout)
	if within := now.Add(p.MaxWait.Std()); p.MaxWait > 0 && within.Before(until) {
		until = within
	}
	refusal := verdict.Unknown(verdict.ReasonQueueFull, "too many requests wait for a claim").WithRetryAfter(o.settings.ClaimTimeout)
	o.startLookup(lookup{ticket: t, key: o.keyOf(p.Claim.Caller, id), deadline: until, refusal: refusal}, now, out)
}

// startLookup queues a lookup, or answers it if the key may be claimed or too many
// lookups wait.
func (o *Owner) startLookup(l lookup, now time.Time, out *Commands) {
	if o.mayBeClaimed(l.key) || o.lookups.waiting() >= o.settings.MaxWaiting {
		l.answer(false, out)
		return
	}
	o.lookups.queued = append(o.lookups.queued, l)
	o.requestStreamEnd(now, out)
}

// mayBeClaimed reports whether the key has a claim in the table, is being claimed,
// or is so old that its claim may be missing from the table.
func (o *Owner) mayBeClaimed(key requestKey) bool {
	_, inLine := o.claiming[key]
	return o.claimed(key) || inLine || o.tooOld(key)
}

// answer answers the lookup. unseen is set if the key was certainly never claimed.
func (l lookup) answer(unseen bool, out *Commands) {
	if l.refusal == nil {
		out.Found = append(out.Found, LookupResult{Ticket: l.ticket, Unseen: unseen})
		return
	}
	refusal := l.refusal
	if unseen {
		// Neither this submission nor an earlier one got a claim.
		refusal = refusal.WithExecution(verdict.NotRun)
	}
	out.refuse(l.ticket, refusal)
}

// requestStreamEnd requests a read of the stream's end for the queued lookups,
// unless one is in flight or the read rate does not allow it yet.
func (o *Owner) requestStreamEnd(now time.Time, out *Commands) {
	l := &o.lookups
	if len(l.queued) == 0 || l.readInFlight || now.Before(l.readRate.nextAllowed()) {
		return
	}
	l.readRate.recordCall(now)
	l.awaitingEnd, l.queued = l.queued, nil
	l.readInFlight, l.readFrom = true, o.nextOffset
	out.EndRead = &StreamEndRead{From: o.nextOffset}
}

// StreamEndKnown handles the result of a read of the stream's end: end is the
// offset that the stream's next record will get. If the read failed, ok is
// false, and no waiting lookup can be proven.
func (o *Owner) StreamEndKnown(end state.Offset, ok bool, now time.Time) Commands {
	var out Commands
	l := &o.lookups
	if !l.readInFlight {
		return out
	}
	l.readInFlight = false
	// An end before the offset that the owner had already reached comes from a
	// stale copy of the stream.
	fresh := ok && end >= l.readFrom
	for _, each := range l.awaitingEnd {
		if !fresh {
			each.answer(false, &out)
			continue
		}
		each.requiredOffset = end
		l.awaitingRecords = append(l.awaitingRecords, each)
	}
	l.awaitingEnd = nil
	o.answerCaughtUp(&out)
	o.requestStreamEnd(now, &out)
	return out
}

// RecordsRead notes that all records before next have been read.
func (o *Owner) RecordsRead(next state.Offset) Commands {
	var out Commands
	if o.reading {
		o.nextOffset = max(o.nextOffset, next)
		o.answerCaughtUp(&out)
	}
	return out
}

// answerCaughtUp answers the lookups whose required offset the owner has reached.
func (o *Owner) answerCaughtUp(out *Commands) {
	if !o.reading {
		return
	}
	l := &o.lookups
	l.awaitingRecords = answerMatching(l.awaitingRecords, func(each lookup) bool { return each.requiredOffset <= o.nextOffset }, func(each lookup) {
		each.answer(!o.mayBeClaimed(each.key), out)
	})
}

// expireLookups answers the lookups whose deadline has passed.
func (o *Owner) expireLookups(now time.Time, out *Commands) {
	over := func(each lookup) bool { return !now.Before(each.deadline) }
	for _, list := range []*[]lookup{&o.lookups.queued, &o.lookups.awaitingEnd, &o.lookups.awaitingRecords} {
		*list = answerMatching(*list, over, func(each lookup) { each.answer(false, out) })
	}
}

// answerMatching answers the matching lookups and returns the others.
func answerMatching(list []lookup, match func(lookup) bool, answer func(lookup)) []lookup {
	var kept []lookup
	for _, each := range list {
		if match(each) {
			answer(each)
			continue
		}
		kept = append(kept, each)
	}
	return kept
}
