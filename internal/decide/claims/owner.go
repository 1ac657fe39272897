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

// appendRetryDelay is the delay before records are appended again after a refused
// append or one of unknown outcome.
const appendRetryDelay = 500 * time.Millisecond

// phase is what a waiting request waits for.
type phase uint8

const (
	// waitForTable waits until the table is complete.
	waitForTable phase = iota
	// waitForClaim waits until the request's own claim record is read.
	waitForClaim
	// waitForAgent waits for an agent's answer about the key's earlier claim.
	waitForAgent
	// waitForVoid waits until the claim.void record of the key's earlier claim
	// is read.
	waitForVoid
)

// waiter is a request for a claim that waits for its reply.
type waiter struct {
	ticket   Ticket
	params   rpc.ClaimParams
	key      requestKey
	deadline time.Time
	phase    phase
	// claimID is the id of the request's own claim record in waitForClaim, of
	// the key's earlier claim in waitForAgent and waitForVoid, and empty in
	// waitForTable.
	claimID string
}

// Owner is the owner of one claim shard. Its verdicts concern one submission of a
// request, the first or a resend: NotRun means that this submission was not
// dispatched and never will be. If the owner has determined that an earlier
// submission with the same key ran or may have run, the verdict reports that
// instead.
type Owner struct {
	self     state.ProcessID
	settings Settings
	random   *rand.Rand

	// lastApplied is the offset of the record applied last.
	lastApplied state.Offset
	// nextOffset is the offset of the next record to read. Every record
	// before it, from where reading began, has been read.
	nextOffset state.Offset
	// horizon is the log time up to which claims may be missing from the table,
	// because the log truncated them or the owner evicted them; zero if none
	// are missing.
	horizon  time.Time
	reading  bool
	caughtUp bool
	table

	waiting map[Ticket]*waiter
	// claiming holds for each key the request whose own claim record is queued
	// or has not been read yet.
	claiming map[requestKey]*waiter
	// unreadClaims holds the ids of the claim records that this owner wrote and
	// has not read back yet, with the time until which it remembers them.
	unreadClaims map[string]time.Time
	// waitersByClaim lists the waiters by their claimID.
	waitersByClaim map[string][]*waiter
	// queue holds the records to append, and sendAt is when the next batch of
	// them is due.
	queue      []state.Record
	sendAt     time.Time
	appendRate rateLimiter
	// retrying is set while the queue holds records of a failed append.
	retrying bool
	lookups  lookups
}

// NewOwner returns an owner that has read nothing yet. It uses random for record
// ids.
func NewOwner(self state.ProcessID, settings Settings, random *rand.Rand) *Owner {
	o := &Owner{
		self: self, settings: settings, random: random,
		waiting: map[Ticket]*waiter{}, claiming: map[requestKey]*waiter{}, unreadClaims: map[string]time.Time{},
		waitersByClaim: map[string][]*waiter{},
	}
	o.appendRate = rateLimiter{interval: settings.MinInterval, burst: settings.Burst}
	o.lookups.readRate = rateLimiter{interval: settings.LookupInterval, burst: settings.Burst}
	o.callerNumbers = map[state.CallerName]uint32{}
	o.reset()
	return o
}

func (o *Owner) reset() {
	o.lastApplied, o.nextOffset = state.NoOffset, 0
	// The caller numbers are kept, because the keys of waiting requests contain
	// them.
	o.table = newTable(o.callerNumbers, o.settings.AnswerBytes)
	o.reading, o.caughtUp = false, false
}

// RecordsLost notes that the log truncated records before they were read. The owner
// clears its table and holds no claims until reading starts over. The claims
// that it had read are not needed any more: they were stored before the lost
// records, so their keys are too old to be accepted.
func (o *Owner) RecordsLost() { o.reset() }

// BeginReading notes that reading starts at the log's oldest retained record,
// which was stored at horizon; horizon is zero if the stream was never
// truncated. It is called again if the log truncates records before they were
// read.
func (o *Owner) BeginReading(horizon time.Time) {
	o.reset()
	o.reading = true
	if horizon.After(o.horizon) {
		o.horizon = horizon
	}
}

// CaughtUp notes that all records up to the stream's end have been applied.
func (o *Owner) CaughtUp(now time.Time) Commands {
	var out Commands
	if o.caughtUp || !o.reading {
		return out
	}
	o.caughtUp = true
	for _, w := range o.inTicketOrder(maps.Values(o.waiting), func(w *waiter) bool { return w.phase == waitForTable }) {
		o.decide(w, now, &out)
	}
	return out
}

// Waiting returns the number of requests that wait for a claim.
func (o *Owner) Waiting() int { return len(o.waiting) }

// Idle reports whether no request or lookup waits and no record is left to
// append.
func (o *Owner) Idle() bool {
	return len(o.waiting) == 0 && len(o.queue) == 0 && o.lookups.waiting() == 0
}

// Truncated raises the owner's horizon to the given one. It removes the claims
// whose keys are too old from now on, since no claim of these keys is ever
// granted again.
func (o *Owner) Truncated(horizon time.Time) {
	if !horizon.After(o.horizon) {
		return
	}
	o.horizon = horizon
	o.forget(o.tooOld)
}

// tooOld reports whether claims of the key may be missing from the table. A
// claim takes effect only if the time in its key is at most Skew ahead of the
// log's time of its record, so the key of every truncated claim is at or before
// the horizon plus Skew.
func (o *Owner) tooOld(key requestKey) bool {
	return !o.horizon.IsZero() && !keyTime(key.key).After(o.horizon.Add(o.settings.Skew))
}

// RequestClaim requests a claim of the key in p. Its reply carries the ticket t
// and may come with the commands of a later call.
func (o *Owner) RequestClaim(t Ticket, p rpc.ClaimParams, now time.Time) Commands {
	var out Commands
	id, err := uuid.Parse(p.Claim.Key)
	if err != nil || id.Version() != 7 {
		// No owner grants a claim of such a key, so no request with it ever ran.
		out.refuse(t, verdict.Refuse(verdict.ReasonKeyInvalid, "the idempotency key must be a UUIDv7"))
		return out
	}
	if keyTime(id).After(now.Add(o.settings.Skew)) {
		// This submission ends here without a claim.
		out.refuse(t, verdict.Refuse(verdict.ReasonKeyInvalid, "the time in the idempotency key is too far ahead of the current time"))
		return out
	}
	if len(o.waiting) >= o.settings.MaxWaiting {
		o.refuseQueueFull(t, p, id, now, &out)
		return out
	}
	until := now.Add(o.settings.ClaimTimeout)
	if within := p.MaxWait.Std(); within > 0 {
		// Time is left for the lookup that may follow the wait.
		if latest := now.Add(max(within-o.settings.LookupTimeout, within/2)); latest.Before(until) {
			until = latest
		}
	}
	w := &waiter{ticket: t, params: p, key: o.keyOf(p.Claim.Caller, id), deadline: until}
	o.waiting[t] = w
	if o.caughtUp {
		o.decide(w, now, &out)
	}
	return out
}

// decide refuses w, resolves it against an earlier claim or queues its own claim.
// The table must be complete.
func (o *Owner) decide(w *waiter, now time.Time, out *Commands) {
	if o.tooOld(w.key) {
		// The table may lack an earlier claim that ran, so the refusal cannot
		// say that the work was not run, although it will not run from now on.
		o.refuse(w, out, verdict.Unknown(verdict.ReasonKeyTooOld, "the idempotency key is older than the log's retention"))
		return
	}
	if o.claimed(w.key) {
		o.resolveDuplicate(w, out)
		return
	}
	if first, ok := o.claiming[w.key]; ok {
		if first.params.Claim.Fingerprint != w.params.Claim.Fingerprint {
			// Another request is claiming the key, so this one gets no claim.
			o.refuse(w, out, verdict.Refuse(verdict.ReasonKeyReused, "the idempotency key is in use for another request"))
			return
		}
		o.refuse(w, out, verdict.Unknown(verdict.ReasonClaimInProgress, "the request is being claimed"))
		return
	}
	o.queueClaim(w, now)
	o.flushFull(out, now)
}

// resolveDuplicate answers w from the earlier claim of its key, or sends a
// query to that claim's agent if the claim is still open.
func (o *Owner) resolveDuplicate(w *waiter, out *Commands) {
	if r, ok := o.completed[w.key]; ok {
		if r.fingerprint != w.params.Claim.Fingerprint {
			o.refuseReusedKey(w, out)
			return
		}
		done, at := o.outcome(w.key, r)
		o.replyRan(w, out, done, at)
		return
	}
	c := o.byKey[w.key]
	if c.body.Fingerprint != w.params.Claim.Fingerprint {
		o.refuseReusedKey(w, out)
		return
	}
	asked := slices.ContainsFunc(o.waitersByClaim[c.id], func(other *waiter) bool { return other.phase == waitForAgent })
	o.setWait(w, waitForAgent, c.id)
	if !asked {
		out.Questions = append(out.Questions, Question{Upstream: c.body.Upstream, Params: rpc.ClaimStatusParams{
			Claim: c.id, Agent: c.body.Agent, AgentIncarnation: c.body.AgentIncarnation,
		}})
	}
}

// refuseReusedKey refuses w because the key was claimed for another request.
func (o *Owner) refuseReusedKey(w *waiter, out *Commands) {
	o.refuse(w, out, verdict.Refuse(verdict.ReasonKeyReused, "the idempotency key was used for another request"))
}

// queueClaim queues a claim record for w.
func (o *Owner) queueClaim(w *waiter, now time.Time) {
	id := o.newID(now)
	o.setWait(w, waitForClaim, id)
	o.claiming[w.key] = w
	o.unreadClaims[id] = now.Add(o.settings.Window)
	enqueue(o, id, state.KindClaim, w.params.Claim, now, o.settings.BatchDelay)
}

// newID returns a UUIDv7 with the time now, from which agents determine a
// claim's age.
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

// enqueue adds a record to the queue. The next batch is sent within the given
// time, unless the append rate or a failed append delays it longer.
func enqueue[B state.Body](o *Owner, id string, kind state.Kind, body B, now time.Time, within time.Duration) {
	record, err := state.NewRecord(id, o.self, kind, body)
	if err != nil {
		panic(err) // The bodies hold only types that always encode.
	}
	due := now.Add(within)
	if paced := o.appendRate.nextAllowed(); due.Before(paced) {
		due = paced
	}
	if len(o.queue) == 0 || (!o.retrying && due.Before(o.sendAt)) {
		o.sendAt = due
	}
	o.queue = append(o.queue, record)
}

// flushFull sends a full batch at once, but not while records of a failed append
// are queued.
func (o *Owner) flushFull(out *Commands, now time.Time) {
	if len(o.queue) >= o.settings.BatchSize && len(out.Append) == 0 && !o.retrying {
		o.flush(out, now)
	}
}

// Flush sends the next batch at once. A batch with records of a failed append is
// sent only when it is due.
func (o *Owner) Flush(now time.Time) Commands {
	var out Commands
	if len(o.queue) > 0 && (!o.retrying || !now.Before(o.sendAt)) {
		o.flush(&out, now)
	}
	return out
}

// Unsent reports whether records wait to be appended.
func (o *Owner) Unsent() bool { return len(o.queue) > 0 }

func (o *Owner) flush(out *Commands, now time.Time) {
	o.retrying = false
	// Full batches are sent without waiting for the rate, but count towards it.
	o.appendRate.recordCall(now)
	n := min(len(o.queue), o.settings.BatchSize)
	out.Append = append(out.Append, o.queue[:n]...)
	o.queue = append([]state.Record(nil), o.queue[n:]...)
}

// refuse replies to the request with the ticket t that it gets no claim.
func (c *Commands) refuse(t Ticket, v *verdict.Verdict) {
	c.Replies = append(c.Replies, Reply{Ticket: t, Result: rpc.ClaimResult{Refusal: v}})
}

// setWait changes the phase and the claim id of w. An empty record takes w out of
// waitersByClaim.
func (o *Owner) setWait(w *waiter, to phase, record string) {
	if w.claimID != record {
		left := slices.DeleteFunc(o.waitersByClaim[w.claimID], func(other *waiter) bool { return other == w })
		o.waitersByClaim[w.claimID] = left
		if len(left) == 0 {
			delete(o.waitersByClaim, w.claimID)
		}
		if record != "" {
			o.waitersByClaim[record] = append(o.waitersByClaim[record], w)
		}
	}
	w.phase, w.claimID = to, record
}

// remove removes w from all lists of waiters.
func (o *Owner) remove(w *waiter) {
	o.setWait(w, w.phase, "")
	delete(o.waiting, w.ticket)
	if o.claiming[w.key] == w {
		delete(o.claiming, w.key)
	}
}

// refuse ends the wait of w without a claim.
func (o *Owner) refuse(w *waiter, out *Commands, v *verdict.Verdict) {
	o.remove(w)
	out.refuse(w.ticket, v)
}

// replyRan answers w with the outcome of an earlier run. If the answer must be
// read back from the log, readBack is the offset of the outcome record, otherwise
// NoOffset.
func (o *Owner) replyRan(w *waiter, out *Commands, done *state.ClaimDone, readBack state.Offset) {
	o.remove(w)
	out.Replies = append(out.Replies, Reply{Ticket: w.ticket, ReadBack: readBack != state.NoOffset, At: readBack, Result: rpc.ClaimResult{
		Refusal: &verdict.Verdict{Execution: verdict.Ran, Reason: verdict.ReasonClaimRan},
		Done:    done,
	}})
}
