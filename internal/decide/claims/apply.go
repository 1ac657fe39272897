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

// Apply applies a record of the shard's stream. Offsets at or below the
// applied one are ignored.
func (o *Owner) Apply(p state.Positioned, now time.Time) Commands {
	var out Commands
	if !o.begun || p.Offset <= o.offset {
		return out
	}
	o.offset = p.Offset
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

func (o *Owner) applyClaim(p state.Positioned, body state.Claim, now time.Time, out *Commands) {
	w := o.claimant(p.ID)
	_, mine := o.unread[p.ID]
	delete(o.unread, p.ID)
	id, err := uuid.Parse(body.Key)
	if err != nil || id.Version() != 7 || keyTime(id).After(p.Time.Add(o.settings.Skew)) {
		if w != nil {
			// The record is void for every reader, so nobody holds a claim
			// for this sending.
			o.end(w, out, verdict.Refuse(verdict.ReasonKeyInvalid, "the idempotency key's time is ahead of the log"))
		}
		return
	}
	key := o.keyOf(body.Caller, id)
	if o.tooOld(key) {
		// An earlier claim of the key may have been forgotten, so this one
		// is never granted.
		if w != nil {
			o.end(w, out, verdict.Unknown(verdict.ReasonKeyTooOld, "the idempotency key is older than the log's retention"))
		}
		return
	}
	if o.claimed(key) {
		// The record is void: an earlier claim of the key is live.
		if w != nil {
			delete(o.inLine, w.key)
			o.meet(w, out)
		}
		return
	}
	c := newClaim(p, key, body)
	o.byKey[key], o.byID[c.id] = c, c
	switch {
	case w != nil && now.Before(w.until):
		o.remove(w)
		out.Replies = append(out.Replies, Reply{Ticket: w.ticket, Result: rpc.ClaimResult{Granted: c.id}})
	case w != nil:
		// The claim is effective, but its id is never handed out, so this
		// sending is never dispatched.
		o.end(w, out, verdict.Refuse(verdict.ReasonLogUnavailable, "the log was too slow"))
		o.voidOwn(c, now)
	case mine:
		o.voidOwn(c, now)
	}
	if other, ok := o.inLine[key]; ok {
		// Its own record will be void by position, or is voided when it is
		// read, since nobody waits for it any more.
		delete(o.inLine, key)
		o.unqueue(other.record)
		o.meet(other, out)
	}
	o.bound()
}

// bound keeps the table within MaxClaims: it raises T0 over the oldest eighth
// of the keys and forgets their claims, which are too old from then on.
func (o *Owner) bound() {
	if o.claims() <= o.settings.MaxClaims {
		return
	}
	times := o.keyTimes()
	slices.SortFunc(times, time.Time.Compare)
	o.Truncated(times[len(times)/8].Add(-o.settings.Skew))
}

// unqueue drops a claim record that has not been sent.
func (o *Owner) unqueue(record string) {
	if i := slices.IndexFunc(o.queue, func(r state.Record) bool { return r.ID == record }); i >= 0 {
		o.queue = slices.Delete(o.queue, i, i+1)
		delete(o.unread, record)
	}
}

// claimant returns the request that waits for its own claim record.
func (o *Owner) claimant(record string) *waiter {
	for _, w := range o.behind[record] {
		if w.phase == waitClaim {
			return w
		}
	}
	return nil
}

// voidOwn ends a claim that this process wrote and whose id it never hands
// out. It can be its own witness: no other process gives out the id.
func (o *Owner) voidOwn(c *claim, now time.Time) {
	enqueue(o, o.newID(now), state.KindClaimVoid, state.ClaimVoid{Claim: c.id, Witness: o.self}, now, o.settings.OutcomeFor)
}

// witnessed reports whether the witness can make sure that the claim's work
// never runs: the named agent, which has refused it for good; the entry, which
// has not dispatched it; or the writer, which has not handed it out.
func witnessed(c *claim, witness state.ProcessID) bool {
	agent := state.ProcessID{Name: string(c.body.Upstream), Incarnation: c.body.AgentIncarnation}
	return witness == agent || witness == c.body.Entry || witness == c.writer
}

func (o *Owner) applyVoid(body state.ClaimVoid, now time.Time, out *Commands) {
	c, ok := o.byID[body.Claim]
	if !ok || !witnessed(c, body.Witness) {
		return
	}
	delete(o.byID, c.id)
	delete(o.byKey, c.key)
	if !o.caughtUp {
		return
	}
	for _, w := range o.sorted(slices.Values(o.behind[c.id]), func(w *waiter) bool { return w.phase != waitClaim }) {
		o.move(w, waitTable, "")
		o.decide(w, now, out)
	}
}

func (o *Owner) applyDone(p state.Positioned, body state.ClaimDone, out *Commands) {
	c, ok := o.byID[body.Claim]
	if !ok {
		return
	}
	o.close(c, p.Offset, body)
	for _, w := range o.sorted(slices.Values(o.behind[c.id]), func(w *waiter) bool { return w.phase != waitClaim }) {
		o.endRan(w, out, &body, state.NoOffset)
	}
}

// RecordOutcome notes the outcome of a claim, from the entry that dispatched it or
// gave it up.
func (o *Owner) RecordOutcome(p rpc.ClaimOutcomeParams, from state.ProcessID, now time.Time) Commands {
	var out Commands
	if len(o.queue) >= o.settings.MaxWaiting {
		return out // The claim stays open; a resend asks the agent.
	}
	if p.Done != nil {
		enqueue(o, o.newID(now), state.KindClaimDone, Keep(*p.Done), now, o.settings.OutcomeFor)
	}
	if p.Void != nil && p.Void.Witness == from {
		enqueue(o, o.newID(now), state.KindClaimVoid, *p.Void, now, o.settings.OutcomeFor)
	}
	o.flushFull(&out, now)
	return out
}

// Appended notes the result of the append of batch. Stored records count only
// once they are read.
func (o *Owner) Appended(batch []state.Record, result AppendResult, now time.Time) Commands {
	if result == AppendStored {
		return Commands{}
	}
	var again []state.Record
	for _, r := range batch {
		switch {
		case r.Kind != state.KindClaim:
			// A second copy of a void or outcome has no effect.
			if len(o.queue)+len(again) < o.settings.MaxWaiting {
				again = append(again, r)
			}
		case result == AppendRefused && o.claimant(r.ID) != nil:
			again = append(again, r)
		case result == AppendRefused:
			delete(o.unread, r.ID)
		}
		// A claim of unknown outcome is not sent again: reading decides.
	}
	if len(again) > 0 {
		o.queue = append(again, o.queue...)
		o.sendAt = now.Add(retryAfter)
		o.failed = true
	}
	return Commands{}
}

// AgentAnswered notes an agent's answer. answer is nil if the agent could not
// be asked.
func (o *Owner) AgentAnswered(id string, answer *rpc.ClaimStatusResult, now time.Time) Commands {
	var out Commands
	c, open := o.byID[id]
	waiters := o.sorted(slices.Values(o.behind[id]), func(w *waiter) bool { return w.phase == waitAgent })
	if answer == nil {
		answer = &rpc.ClaimStatusResult{State: rpc.ClaimUnknown}
	}
	switch answer.State {
	case rpc.ClaimRefused:
		if open {
			agent := state.ProcessID{Name: string(c.body.Upstream), Incarnation: c.body.AgentIncarnation}
			enqueue(o, o.newID(now), state.KindClaimVoid, state.ClaimVoid{Claim: id, Witness: agent}, now, o.settings.BatchFor)
		}
		for _, w := range waiters {
			o.move(w, waitVoid, id)
		}
		return out
	case rpc.ClaimRan:
		done := &state.ClaimDone{Claim: id}
		if answer.Done != nil {
			kept := Keep(*answer.Done)
			done = &kept
		}
		if open {
			enqueue(o, o.newID(now), state.KindClaimDone, *done, now, o.settings.OutcomeFor)
		}
		for _, w := range waiters {
			o.endRan(w, &out, done, state.NoOffset)
		}
		return out
	}
	for _, w := range waiters {
		if answer.State == rpc.ClaimRunning {
			o.end(w, &out, verdict.Unknown(verdict.ReasonClaimInProgress, "the request is running"))
			continue
		}
		o.end(w, &out, verdict.Unknown(verdict.ReasonClaimUnknown, "the upstream that had the request cannot tell its outcome"))
	}
	return out
}

// Tick sends due batches and ends waits that are over.
func (o *Owner) Tick(now time.Time) Commands {
	var out Commands
	for _, w := range o.sorted(maps.Values(o.waiting), func(w *waiter) bool { return !now.Before(w.until) }) {
		o.giveUp(w, now, &out)
	}
	for id, until := range o.unread {
		if now.After(until) {
			// If it is stored after all, it stays open until a resend.
			delete(o.unread, id)
		}
	}
	if len(o.queue) > 0 && !now.Before(o.sendAt) {
		o.flush(&out, now)
	}
	o.expireLookups(now, &out)
	o.readEnd(now, &out)
	return out
}

func (o *Owner) giveUp(w *waiter, now time.Time, out *Commands) {
	switch {
	case o.tooOld(w.key):
		// Retention has caught up with the key while the request waited, so
		// the table may lack an earlier sending that ran.
		o.unqueue(w.record)
		o.end(w, out, verdict.Unknown(verdict.ReasonKeyTooOld, "the idempotency key is older than the log's retention"))
		return
	case !o.caughtUp:
		// The same, because the reading has begun again.
		o.unqueue(w.record)
		o.end(w, out, verdict.Unknown(verdict.ReasonNotReady, "the claim owner has not read the log yet"))
		return
	}
	if w.phase == waitAgent {
		o.end(w, out, verdict.Unknown(verdict.ReasonClaimUnknown, "the upstream that had the request did not answer"))
		return
	}
	// The id of the claim made here is never handed out: a queued record is
	// dropped, and one that is read later is voided. So this sending is never
	// dispatched. Whether an earlier one was, only a fresh read shows.
	o.unqueue(w.record)
	o.remove(w)
	refusal := verdict.Unknown(verdict.ReasonLogUnavailable, "the log did not confirm the claim in time")
	o.look(lookup{ticket: w.ticket, key: w.key, until: now.Add(o.settings.LookupFor), refusal: refusal}, now, out)
}

// sorted returns the matching requests in order of ticket, so that the first
// to come is the first in line.
func (o *Owner) sorted(among iter.Seq[*waiter], match func(*waiter) bool) []*waiter {
	var list []*waiter
	for w := range among {
		if match(w) {
			list = append(list, w)
		}
	}
	slices.SortFunc(list, func(a, b *waiter) int { return cmp.Compare(a.ticket, b.ticket) })
	return list
}
