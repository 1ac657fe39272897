package claims

import (
	"encoding/binary"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/google/uuid"

	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
	"github.com/lagoonvalve/lagoonvalve/internal/verdict"
)

// retryAfter paces appends that were refused or whose outcome is unknown.
const retryAfter = 500 * time.Millisecond

// phase is what a waiting request waits for.
type phase uint8

const (
	// waitTable waits for the table to be complete.
	waitTable phase = iota
	// waitClaim waits for its own claim record to be read.
	waitClaim
	// waitAgent waits for the answer to a question.
	waitAgent
	// waitVoid waits for a claim.void to be read.
	waitVoid
)

type waiter struct {
	ticket Ticket
	params rpc.ClaimParams
	key    keyID
	until  time.Time
	phase  phase
	// record is the own claim in waitClaim, otherwise the claim in the way.
	record string
}

// Owner is the owner of one claim shard. A verdict that it gives concerns one
// sending of a request: NotRun says that this sending was not dispatched and
// never will be. Where the owner knows of an earlier sending with the same
// key that may have run, it says so instead.
type Owner struct {
	self     state.ProcessID
	settings Settings
	random   *rand.Rand

	offset state.Offset
	// next is the offset to read next: all records before it since Begin have
	// been read.
	next     state.Offset
	t0       time.Time
	begun    bool
	caughtUp bool
	table

	waiting map[Ticket]*waiter
	// inLine is the request of a key that claims it.
	inLine map[keyID]*waiter
	// unread holds the own claim records that have not been read yet, with
	// the time until which they are remembered.
	unread map[string]time.Time
	// behind lists the requests that wait for something about a claim.
	behind  map[string][]*waiter
	queue   []state.Record
	sendAt  time.Time
	batches pacing
	// failed is set while the queue holds what a failed append left.
	failed  bool
	lookups lookups
}

// NewOwner returns an owner that knows nothing. random makes record ids.
func NewOwner(self state.ProcessID, settings Settings, random *rand.Rand) *Owner {
	o := &Owner{
		self: self, settings: settings, random: random,
		waiting: map[Ticket]*waiter{}, inLine: map[keyID]*waiter{}, unread: map[string]time.Time{},
		behind: map[string][]*waiter{},
	}
	o.batches = pacing{interval: settings.MinInterval, burst: settings.Burst}
	o.lookups.reads = pacing{interval: settings.LookupInterval, burst: settings.Burst}
	o.callers = map[state.CallerName]uint32{}
	o.reset()
	return o
}

func (o *Owner) reset() {
	o.offset, o.next = state.NoOffset, 0
	// Waiting requests keep the numbers of their callers.
	o.table = newTable(o.callers, o.settings.AnswerBytes)
	o.begun, o.caughtUp = false, false
}

// RecordsLost says that records of the stream were lost unread. The owner knows
// nothing until it begins again: a lost claim is stored after all that were
// read, so no key of those is accepted any more.
func (o *Owner) RecordsLost() { o.reset() }

// BeginReading says that the reading starts at the log's oldest retained record,
// stored at t0. t0 is zero if the stream was never truncated. An owner whose
// reading has lost records to retention begins again.
func (o *Owner) BeginReading(t0 time.Time) {
	o.reset()
	o.begun = true
	if t0.After(o.t0) {
		o.t0 = t0
	}
}

// CaughtUp says that all records up to the stream's end have been applied.
func (o *Owner) CaughtUp(now time.Time) Commands {
	var out Commands
	if o.caughtUp || !o.begun {
		return out
	}
	o.caughtUp = true
	for _, w := range o.sorted(maps.Values(o.waiting), func(w *waiter) bool { return w.phase == waitTable }) {
		o.decide(w, now, &out)
	}
	return out
}

// Waiting counts the requests that wait for an answer.
func (o *Owner) Waiting() int { return len(o.waiting) }

// Idle reports whether nobody waits and no record is left to append.
func (o *Owner) Idle() bool {
	return len(o.waiting) == 0 && len(o.queue) == 0 && o.lookups.waiting() == 0
}

// Truncated raises T0. Keys that are too old from now on are forgotten, since
// no claim of theirs is ever granted again.
func (o *Owner) Truncated(t0 time.Time) {
	if !t0.After(o.t0) {
		return
	}
	o.t0 = t0
	o.forget(o.tooOld)
}

// tooOld reports whether claims of the key may be missing from the table. A
// claim takes effect only if its key is at most Skew ahead of the log's time
// of its record, so every claim that was truncated has a key of T0 plus Skew
// or less.
func (o *Owner) tooOld(key keyID) bool {
	return !o.t0.IsZero() && !keyTime(key.key).After(o.t0.Add(o.settings.Skew))
}

// RequestClaim asks for a claim.
func (o *Owner) RequestClaim(t Ticket, p rpc.ClaimParams, now time.Time) Commands {
	var out Commands
	id, err := uuid.Parse(p.Claim.Key)
	if err != nil || id.Version() != 7 {
		// No owner claims such a key, so no request with it was ever run.
		out.refuse(t, verdict.Refuse(verdict.ReasonKeyInvalid, "the idempotency key must be a UUIDv7"))
		return out
	}
	if keyTime(id).After(now.Add(o.settings.Skew)) {
		// This sending ends here without a claim.
		out.refuse(t, verdict.Refuse(verdict.ReasonKeyInvalid, "the idempotency key's time is ahead of now"))
		return out
	}
	if len(o.waiting) >= o.settings.MaxWaiting {
		o.refuseFull(t, p, id, now, &out)
		return out
	}
	until := now.Add(o.settings.ClaimTimeout)
	if within := p.Within.Std(); within > 0 {
		// The answer may need a lookup after the wait.
		if latest := now.Add(max(within-o.settings.LookupFor, within/2)); latest.Before(until) {
			until = latest
		}
	}
	w := &waiter{ticket: t, params: p, key: o.keyOf(p.Claim.Caller, id), until: until}
	o.waiting[t] = w
	if o.caughtUp {
		o.decide(w, now, &out)
	}
	return out
}

// decide takes w as far as the table allows. The table is complete.
func (o *Owner) decide(w *waiter, now time.Time, out *Commands) {
	if o.tooOld(w.key) {
		// The table may lack an earlier claim that ran, so nothing is said
		// about the work but that it will not run from now on.
		o.end(w, out, verdict.Unknown(verdict.ReasonKeyTooOld, "the idempotency key is older than the log's retention"))
		return
	}
	if o.claimed(w.key) {
		o.meet(w, out)
		return
	}
	if first, ok := o.inLine[w.key]; ok {
		if first.params.Claim.Fingerprint != w.params.Claim.Fingerprint {
			// The key is about to belong to another request; this one gets
			// no claim.
			o.end(w, out, verdict.Refuse(verdict.ReasonKeyReused, "the idempotency key is in use for another request"))
			return
		}
		o.end(w, out, verdict.Unknown(verdict.ReasonClaimInProgress, "the request is being claimed"))
		return
	}
	o.claim(w, now)
	o.flushFull(out, now)
}

// meet resolves w against the earlier claim of its key.
func (o *Owner) meet(w *waiter, out *Commands) {
	if r, ok := o.ran[w.key]; ok {
		if r.fingerprint != w.params.Claim.Fingerprint {
			o.endReused(w, out)
			return
		}
		done, at := o.outcome(w.key, r)
		o.endRan(w, out, done, at)
		return
	}
	c := o.byKey[w.key]
	if c.body.Fingerprint != w.params.Claim.Fingerprint {
		o.endReused(w, out)
		return
	}
	asked := slices.ContainsFunc(o.behind[c.id], func(other *waiter) bool { return other.phase == waitAgent })
	o.move(w, waitAgent, c.id)
	if !asked {
		out.Questions = append(out.Questions, Question{Upstream: c.body.Upstream, Params: rpc.ClaimStatusParams{
			Claim: c.id, Agent: c.body.Agent, AgentIncarnation: c.body.AgentIncarnation,
		}})
	}
}

// endReused refuses w: the key's claim is for another request, so this one
// gets none.
func (o *Owner) endReused(w *waiter, out *Commands) {
	o.end(w, out, verdict.Refuse(verdict.ReasonKeyReused, "the idempotency key was used for another request"))
}

// claim queues a claim record for w.
func (o *Owner) claim(w *waiter, now time.Time) {
	id := o.newID(now)
	o.move(w, waitClaim, id)
	o.inLine[w.key] = w
	o.unread[id] = now.Add(o.settings.Window)
	enqueue(o, id, state.KindClaim, w.params.Claim, now, o.settings.BatchFor)
}

// newID returns a UUIDv7 of now, so that a claim's id tells its age.
func (o *Owner) newID(now time.Time) string {
	var id uuid.UUID
	binary.BigEndian.PutUint64(id[:8], uint64(now.UnixMilli())<<16|uint64(o.random.Uint32()&0xfff))
	binary.BigEndian.PutUint64(id[8:], o.random.Uint64())
	id[6] = id[6]&0x0f | 0x70
	id[8] = id[8]&0x3f | 0x80
	return id.String()
}

// keyTime returns the time in a UUIDv7.
func keyTime(id uuid.UUID) time.Time {
	return time.UnixMilli(int64(binary.BigEndian.Uint64(id[:8]) >> 16))
}

// enqueue adds a record to the next batch, which leaves within the time given
// unless the append rate or a failed append makes it wait longer.
func enqueue[B state.Body](o *Owner, id string, kind state.Kind, body B, now time.Time, within time.Duration) {
	record, err := state.NewRecord(id, o.self, kind, body)
	if err != nil {
		panic(err) // The bodies hold only types that always encode.
	}
	due := now.Add(within)
	if paced := o.batches.earliest(); due.Before(paced) {
		due = paced
	}
	if len(o.queue) == 0 || (!o.failed && due.Before(o.sendAt)) {
		o.sendAt = due
	}
	o.queue = append(o.queue, record)
}

// flushFull sends a batch that is full, but not while the log fails.
func (o *Owner) flushFull(out *Commands, now time.Time) {
	if len(o.queue) >= o.settings.BatchSize && len(out.Append) == 0 && !o.failed {
		o.flush(out, now)
	}
}

// Flush sends the next batch before its time, unless the log fails.
func (o *Owner) Flush(now time.Time) Commands {
	var out Commands
	if len(o.queue) > 0 && (!o.failed || !now.Before(o.sendAt)) {
		o.flush(&out, now)
	}
	return out
}

// Unsent reports whether records wait to be appended.
func (o *Owner) Unsent() bool { return len(o.queue) > 0 }

func (o *Owner) flush(out *Commands, now time.Time) {
	o.failed = false
	// Full batches don't wait.
	o.batches.spend(now)
	n := min(len(o.queue), o.settings.BatchSize)
	out.Append = append(out.Append, o.queue[:n]...)
	o.queue = append([]state.Record(nil), o.queue[n:]...)
}

func (c *Commands) refuse(t Ticket, v *verdict.Verdict) {
	c.Replies = append(c.Replies, Reply{Ticket: t, Result: rpc.ClaimResult{Refusal: v}})
}

// move makes w wait for something about the claim record.
func (o *Owner) move(w *waiter, to phase, record string) {
	if w.record != record {
		left := slices.DeleteFunc(o.behind[w.record], func(other *waiter) bool { return other == w })
		o.behind[w.record] = left
		if len(left) == 0 {
			delete(o.behind, w.record)
		}
		if record != "" {
			o.behind[record] = append(o.behind[record], w)
		}
	}
	w.phase, w.record = to, record
}

// remove takes w out of all lists.
func (o *Owner) remove(w *waiter) {
	o.move(w, w.phase, "")
	delete(o.waiting, w.ticket)
	if o.inLine[w.key] == w {
		delete(o.inLine, w.key)
	}
}

func (o *Owner) end(w *waiter, out *Commands, v *verdict.Verdict) {
	o.remove(w)
	out.refuse(w.ticket, v)
}

// endRan answers with the outcome of an earlier run. readBack is the offset of
// the outcome if its answer has to be read from the log, otherwise NoOffset.
func (o *Owner) endRan(w *waiter, out *Commands, done *state.ClaimDone, readBack state.Offset) {
	o.remove(w)
	out.Replies = append(out.Replies, Reply{Ticket: w.ticket, ReadBack: readBack != state.NoOffset, At: readBack, Result: rpc.ClaimResult{
		Refusal: &verdict.Verdict{Execution: verdict.Ran, Reason: verdict.ReasonClaimRan},
		Done:    done,
	}})
}
