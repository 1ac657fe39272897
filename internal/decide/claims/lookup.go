package claims

import (
	"time"

	"github.com/google/uuid"

	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
	"github.com/lagoonvalve/lagoonvalve/internal/verdict"
)

// lookup asks whether a key was ever claimed. A table shows that only if it
// holds all records that were in the log when the question came, since another
// owner may have claimed the key.
type lookup struct {
	ticket Ticket
	key    keyID
	until  time.Time
	// refusal answers a request for a claim that finds no place; nil for a
	// plain question.
	refusal *verdict.Verdict
	// need is the offset up to which the owner must have read.
	need state.Offset
}

// lookups are the questions that wait for proof that the table is fresh. All
// that wait share one read of the stream's end, since refusals come in bursts.
type lookups struct {
	// asked wait for a read to begin, reading for the one under way, and
	// behind for the tail to reach the end that a read found.
	asked, reading, behind []lookup
	// underWay is set while a read of the end is under way, from the offset
	// readFrom on.
	underWay bool
	readFrom state.Offset
	reads    pacing
}

func (l *lookups) waiting() int { return len(l.asked) + len(l.reading) + len(l.behind) }

// EndRead asks for a read of the stream's end without wait, from the offset
// From on. Its result goes to StreamEndKnown.
type EndRead struct {
	From state.Offset
}

// Lookup asks whether no claim of a key was ever made, so that no work with
// the key has run. The answer is false unless the owner can show that.
func (o *Owner) Lookup(t Ticket, caller state.CallerName, key string, now time.Time) Commands {
	var out Commands
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 {
		// Owners claim no such key, so nothing was ever run with it.
		out.Found = append(out.Found, Found{Ticket: t, Unseen: true})
		return out
	}
	o.look(lookup{ticket: t, key: o.keyOf(caller, id), until: now.Add(o.settings.LookupFor)}, now, &out)
	return out
}

// refuseFull refuses a request for a claim for want of room.
func (o *Owner) refuseFull(t Ticket, p rpc.ClaimParams, id uuid.UUID, now time.Time, out *Commands) {
	until := now.Add(o.settings.LookupFor)
	if within := now.Add(p.Within.Std()); p.Within > 0 && within.Before(until) {
		until = within
	}
	refusal := verdict.Unknown(verdict.ReasonQueueFull, "too many claims wait").WithRetryAfter(o.settings.ClaimTimeout)
	o.look(lookup{ticket: t, key: o.keyOf(p.Claim.Caller, id), until: until, refusal: refusal}, now, out)
}

func (o *Owner) look(l lookup, now time.Time, out *Commands) {
	if o.seen(l.key) || o.lookups.waiting() >= o.settings.MaxWaiting {
		l.answer(false, out)
		return
	}
	o.lookups.asked = append(o.lookups.asked, l)
	o.readEnd(now, out)
}

// seen reports whether a claim of the key is known, is being made or may have
// been forgotten.
func (o *Owner) seen(key keyID) bool {
	_, inLine := o.inLine[key]
	return o.claimed(key) || inLine || o.tooOld(key)
}

func (l lookup) answer(unseen bool, out *Commands) {
	if l.refusal == nil {
		out.Found = append(out.Found, Found{Ticket: l.ticket, Unseen: unseen})
		return
	}
	refusal := l.refusal
	if unseen {
		// Neither this sending nor an earlier one got a claim.
		refusal = refusal.WithExecution(verdict.NotRun)
	}
	out.refuse(l.ticket, refusal)
}

// readEnd begins a read for the lookups that wait for one.
func (o *Owner) readEnd(now time.Time, out *Commands) {
	l := &o.lookups
	if len(l.asked) == 0 || l.underWay || now.Before(l.reads.earliest()) {
		return
	}
	l.reads.spend(now)
	l.reading, l.asked = l.asked, nil
	l.underWay, l.readFrom = true, o.next
	out.EndRead = &EndRead{From: o.next}
}

// StreamEndKnown notes the result of a read of the stream's end: end is the offset
// that its next record will get. A failed read proves nothing.
func (o *Owner) StreamEndKnown(end state.Offset, ok bool, now time.Time) Commands {
	var out Commands
	l := &o.lookups
	if !l.underWay {
		return out
	}
	l.underWay = false
	// An end before what had been read then comes from an old copy of the
	// stream.
	fresh := ok && end >= l.readFrom
	for _, each := range l.reading {
		if !fresh {
			each.answer(false, &out)
			continue
		}
		each.need = end
		l.behind = append(l.behind, each)
	}
	l.reading = nil
	o.answerFresh(&out)
	o.readEnd(now, &out)
	return out
}

// RecordsRead says that all records before next have been read.
func (o *Owner) RecordsRead(next state.Offset) Commands {
	var out Commands
	if o.begun {
		o.next = max(o.next, next)
		o.answerFresh(&out)
	}
	return out
}

// answerFresh answers the lookups for which the owner has read far enough.
func (o *Owner) answerFresh(out *Commands) {
	if !o.begun {
		return
	}
	l := &o.lookups
	l.behind = answerSome(l.behind, func(each lookup) bool { return each.need <= o.next }, func(each lookup) {
		each.answer(!o.seen(each.key), out)
	})
}

// expireLookups answers the lookups that have waited too long.
func (o *Owner) expireLookups(now time.Time, out *Commands) {
	over := func(each lookup) bool { return !now.Before(each.until) }
	for _, list := range []*[]lookup{&o.lookups.asked, &o.lookups.reading, &o.lookups.behind} {
		*list = answerSome(*list, over, func(each lookup) { each.answer(false, out) })
	}
}

// answerSome answers the matching lookups and returns the others.
func answerSome(list []lookup, match func(lookup) bool, answer func(lookup)) []lookup {
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
