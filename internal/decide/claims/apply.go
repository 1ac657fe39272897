package claims

import (
	"cmp"
	"iter"
	"maps"
	"slices"
	"time"

	"github.com/google/uuid"

	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
	"github.com/lagoonvalve/lagoonvalve/internal/verdict"
)

// Apply applies a record of the shard's stream. A record at or below the offset
// applied last is ignored.
func (o *Owner) Apply(p state.StoredRecord, now time.Time) Commands {
	var out Commands
	if !o.reading || p.Offset <= o.lastApplied {
		return out
	}
	o.lastApplied = p.Offset
	switch p.Kind {
	case state.KindClaim:
		if body, err := state.DecodeBody[state.Claim](p.Record); err == nil {
			o.applyClaim(p, body, now, &out)
		}
	case state.KindClaimVoid:
		if body, err := state.DecodeBody[state.ClaimVoid](p.Record); err == nil {
			o.applyVoid(body, now, &out)
		}
	case state.KindClaimDone:
		if body, err := state.DecodeBody[state.ClaimDone](p.Record); err == nil {
			o.applyDone(p, body, &out)
		}
	}
	return out
}

func (o *Owner) applyClaim(p state.StoredRecord, body state.Claim, now time.Time, out *Commands) {
	w := o.claimant(p.ID)
	_, ownRecord := o.unreadClaims[p.ID]
	delete(o.unreadClaims, p.ID)
	id, err := uuid.Parse(body.Key)
	if err != nil || id.Version() != 7 || keyTime(id).After(p.Time.Add(o.settings.Skew)) {
		if w != nil {
			// Every reader ignores the record, so no owner holds a claim for
			// this submission.
			o.refuse(w, out, verdict.Refuse(verdict.ReasonKeyInvalid, "the time in the idempotency key is too far ahead of the log's time"))
		}
		return
	}
	key := o.keyOf(body.Caller, id)
	if o.tooOld(key) {
		// An earlier claim of the key may be missing from the table, so this
		// one is never granted.
		if w != nil {
			o.refuse(w, out, verdict.Unknown(verdict.ReasonKeyTooOld, "the idempotency key is older than the log's retention"))
		}
		return
	}
	if o.claimed(key) {
		// The record has no effect, since an earlier claim of the key is in
		// effect.
		if w != nil {
			delete(o.claiming, w.key)
			o.resolveDuplicate(w, out)
		}
		return
	}
	c := newOpenClaim(p, key, body)
	o.byKey[key], o.byID[c.id] = c, c
	switch {
	case w != nil && now.Before(w.deadline):
		o.remove(w)
		out.Replies = append(out.Replies, Reply{Ticket: w.ticket, Result: rpc.ClaimResult{Granted: c.id}})
	case w != nil:
		// The claim is in effect, but its id is never handed out, so this
		// submission is never dispatched.
		o.refuse(w, out, verdict.Refuse(verdict.ReasonLogUnavailable, "the log confirmed the claim too late"))
		o.voidOwnClaim(c, now)
	case ownRecord:
		o.voidOwnClaim(c, now)
	}
	if other, ok := o.claiming[key]; ok {
		// A request here is claiming the same key. Its record, if it is read
		// at all, either comes after this one and has no effect, or is voided
		// then, because no request waits for it any more.
		delete(o.claiming, key)
		o.unqueue(other.claimID)
		o.resolveDuplicate(other, out)
	}
	o.enforceMaxClaims()
}

// enforceMaxClaims keeps the table within MaxClaims: it raises the horizon past
// the oldest eighth of the keys, which makes them too old, and removes their
// claims.
func (o *Owner) enforceMaxClaims() {
	if o.claimCount() <= o.settings.MaxClaims {
		return
	}
	times := o.keyTimes()
	slices.SortFunc(times, time.Time.Compare)
	o.Truncated(times[len(times)/8].Add(-o.settings.Skew))
}

// unqueue removes a claim record that has not been sent from the queue.
func (o *Owner) unqueue(record string) {
	if i := slices.IndexFunc(o.queue, func(r state.Record) bool { return r.ID == record }); i >= 0 {
		o.queue = slices.Delete(o.queue, i, i+1)
		delete(o.unreadClaims, record)
	}
}

// claimant returns the request that waits for this claim record of its own, or
// nil.
func (o *Owner) claimant(record string) *waiter {
	for _, w := range o.waitersByClaim[record] {
		if w.phase == waitForClaim {
			return w
		}
	}
	return nil
}

// voidOwnClaim queues a void record for a claim that this process wrote and
// whose id it never hands out. The process can be its own witness, because no
// other process hands out the id.
func (o *Owner) voidOwnClaim(c *openClaim, now time.Time) {
	enqueue(o, o.newID(now), state.KindClaimVoid, state.ClaimVoid{Claim: c.id, Witness: o.self}, now, o.settings.OutcomeDelay)
}

// validWitness reports whether the witness of a void record can guarantee that
// the claim's work never runs. It can if it is the agent that the claim names,
// which has permanently refused the claim; the entry, which has not dispatched
// it; or the writer, which has not handed out its id.
func validWitness(c *openClaim, witness state.ProcessID) bool {
	agent := state.ProcessID{Name: string(c.body.Upstream), Incarnation: c.body.AgentIncarnation}
	return witness == agent || witness == c.body.Entry || witness == c.writer
}

func (o *Owner) applyVoid(body state.ClaimVoid, now time.Time, out *Commands) {
	c, ok := o.byID[body.Claim]
	if !ok || !validWitness(c, body.Witness) {
		return
	}
	delete(o.byID, c.id)
	delete(o.byKey, c.key)
	if !o.caughtUp {
		return
	}
	for _, w := range o.inTicketOrder(slices.Values(o.waitersByClaim[c.id]), func(w *waiter) bool { return w.phase != waitForClaim }) {
		o.setWait(w, waitForTable, "")
		o.decide(w, now, out)
	}
}

func (o *Owner) applyDone(p state.StoredRecord, body state.ClaimDone, out *Commands) {
	c, ok := o.byID[body.Claim]
	if !ok {
		return
	}
	o.complete(c, p.Offset, body)
	for _, w := range o.inTicketOrder(slices.Values(o.waitersByClaim[c.id]), func(w *waiter) bool { return w.phase != waitForClaim }) {
		o.replyRan(w, out, &body, state.NoOffset)
	}
}

// RecordOutcome queues a record of the outcome of a claim, which the entry that
// dispatched or abandoned it reports.
func (o *Owner) RecordOutcome(p rpc.ClaimOutcomeParams, from state.ProcessID, now time.Time) Commands {
	var out Commands
	if len(o.queue) >= o.settings.MaxWaiting {
		return out // The claim stays open; a resend will ask the agent.
	}
	if p.Done != nil {
		enqueue(o, o.newID(now), state.KindClaimDone, DropLongAnswer(*p.Done), now, o.settings.OutcomeDelay)
	}
	if p.Void != nil && p.Void.Witness == from {
		enqueue(o, o.newID(now), state.KindClaimVoid, *p.Void, now, o.settings.OutcomeDelay)
	}
	o.flushFull(&out, now)
	return out
}

// Appended handles the result of appending batch. Stored records take effect
// only once they are read back.
func (o *Owner) Appended(batch []state.Record, result AppendResult, now time.Time) Commands {
	if result == AppendStored {
		return Commands{}
	}
	var again []state.Record
	for _, r := range batch {
		switch {
		case r.Kind != state.KindClaim:
			// A duplicate void or outcome record has no effect.
			if len(o.queue)+len(again) < o.settings.MaxWaiting {
				again = append(again, r)
			}
		case result == AppendRefused && o.claimant(r.ID) != nil:
			again = append(again, r)
		case result == AppendRefused:
			delete(o.unreadClaims, r.ID)
		}
		// A claim that may have been stored is not sent again; whether it took
		// effect shows when the stream is read.
	}
	if len(again) > 0 {
		o.queue = append(again, o.queue...)
		o.sendAt = now.Add(appendRetryDelay)
		o.retrying = true
	}
	return Commands{}
}

// AgentAnswered handles an agent's answer to a question about the claim id. The
// answer is nil if none was received.
func (o *Owner) AgentAnswered(id string, answer *rpc.ClaimStatusResult, now time.Time) Commands {
	var out Commands
	c, open := o.byID[id]
	waiters := o.inTicketOrder(slices.Values(o.waitersByClaim[id]), func(w *waiter) bool { return w.phase == waitForAgent })
	if answer == nil {
		answer = &rpc.ClaimStatusResult{State: rpc.ClaimUnknown}
	}
	switch answer.State {
	case rpc.ClaimRefused:
		if open {
			agent := state.ProcessID{Name: string(c.body.Upstream), Incarnation: c.body.AgentIncarnation}
			enqueue(o, o.newID(now), state.KindClaimVoid, state.ClaimVoid{Claim: id, Witness: agent}, now, o.settings.BatchDelay)
		}
		for _, w := range waiters {
			o.setWait(w, waitForVoid, id)
		}
		return out
	case rpc.ClaimRan:
		done := &state.ClaimDone{Claim: id}
		if answer.Done != nil {
			kept := DropLongAnswer(*answer.Done)
			done = &kept
		}
		if open {
			enqueue(o, o.newID(now), state.KindClaimDone, *done, now, o.settings.OutcomeDelay)
		}
		for _, w := range waiters {
			o.replyRan(w, &out, done, state.NoOffset)
		}
		return out
	}
	for _, w := range waiters {
		if answer.State == rpc.ClaimRunning {
			o.refuse(w, &out, verdict.Unknown(verdict.ReasonClaimInProgress, "the request is running"))
			continue
		}
		o.refuse(w, &out, verdict.Unknown(verdict.ReasonClaimUnknown, "the upstream that had the request cannot tell its outcome"))
	}
	return out
}

// Tick sends a batch that is due and ends the waits that have timed out.
func (o *Owner) Tick(now time.Time) Commands {
	var out Commands
	for _, w := range o.inTicketOrder(maps.Values(o.waiting), func(w *waiter) bool { return !now.Before(w.deadline) }) {
		o.giveUp(w, now, &out)
	}
	for id, until := range o.unreadClaims {
		if now.After(until) {
			// If it is stored after all, the claim stays open until a resend
			// resolves it.
			delete(o.unreadClaims, id)
		}
	}
	if len(o.queue) > 0 && !now.Before(o.sendAt) {
		o.flush(&out, now)
	}
	o.expireLookups(now, &out)
	o.requestStreamEnd(now, &out)
	return out
}

// giveUp answers a request whose wait has timed out.
func (o *Owner) giveUp(w *waiter, now time.Time, out *Commands) {
	switch {
	case o.tooOld(w.key):
		// The key became too old while the request waited, so the table may
		// lack the claim of an earlier submission that ran.
		o.unqueue(w.claimID)
		o.refuse(w, out, verdict.Unknown(verdict.ReasonKeyTooOld, "the idempotency key is older than the log's retention"))
		return
	case !o.caughtUp:
		// The table may lack such a claim because reading has started over.
		o.unqueue(w.claimID)
		o.refuse(w, out, verdict.Unknown(verdict.ReasonNotReady, "the claim owner has not finished reading the log"))
		return
	}
	if w.phase == waitForAgent {
		o.refuse(w, out, verdict.Unknown(verdict.ReasonClaimUnknown, "the upstream that had the request did not answer"))
		return
	}
	// The id of the claim that this request made, if any, is never handed out:
	// a queued record is dropped, and one that is read later is voided. So this
	// submission is never dispatched. Whether an earlier one was can only be
	// determined by reading up to the stream's current end.
	o.unqueue(w.claimID)
	o.remove(w)
	refusal := verdict.Unknown(verdict.ReasonLogUnavailable, "the log did not confirm the claim in time")
	o.startLookup(lookup{ticket: w.ticket, key: w.key, deadline: now.Add(o.settings.LookupTimeout), refusal: refusal}, now, out)
}

// inTicketOrder returns the matching requests in the order of their tickets, so
// that the request that arrived first is handled first.
func (o *Owner) inTicketOrder(among iter.Seq[*waiter], match func(*waiter) bool) []*waiter {
	var list []*waiter
	for w := range among {
		if match(w) {
			list = append(list, w)
		}
	}
	slices.SortFunc(list, func(a, b *waiter) int { return cmp.Compare(a.ticket, b.ticket) })
	return list
}
