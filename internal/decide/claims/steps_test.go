package claims_test

import (
	"fmt"
	"time"

	"pgregory.net/rapid"

	"github.com/lagoonvalve/lagoonvalve/internal/decide/claims"
	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
	"github.com/lagoonvalve/lagoonvalve/internal/verdict"
)

func (h *harness) requestClaim(t *rapid.T) {
	name := state.UpstreamName(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "agent"))
	s := &submission{calledAt: h.nextTime(), ticket: claims.Ticket(len(h.submissions)), claim: state.Claim{
		Caller: "c", Key: rapid.SampledFrom(h.keys).Draw(t, "key"), Upstream: name,
		Fingerprint:      uint64(h.pick(10, "fingerprint") / 9),
		Entry:            state.ProcessID{Name: "e", Incarnation: fmt.Sprint(len(h.submissions))},
		AgentIncarnation: h.incarnation(name),
	}}
	s.ranBefore = h.startsByKey[s.claim.Key] > 0
	h.submissions = append(h.submissions, s)
	o := h.owners[h.pick(2, "owner")]
	h.execute(o, o.RequestClaim(s.ticket, rpc.ClaimParams{Claim: s.claim, MaxWait: state.Duration(30 * time.Second)}, h.now))
}

func (h *harness) lookUp(t *rapid.T) {
	s := &submission{ticket: claims.Ticket(len(h.submissions)), lookup: true}
	s.claim.Key = rapid.SampledFrom(h.keys).Draw(t, "key")
	s.ranBefore = h.startsByKey[s.claim.Key] > 0
	h.submissions = append(h.submissions, s)
	o := h.owners[h.pick(2, "owner")]
	h.execute(o, o.Lookup(s.ticket, "c", s.claim.Key, h.now))
}

// readStreamEnd reads the log's end for an owner, or hands it the result of a read.
func (h *harness) readStreamEnd(t *rapid.T) {
	if len(h.endReads) == 0 {
		t.Skip()
	}
	read := &h.endReads[0]
	if !read.done {
		read.done, read.end = true, state.Offset(len(h.log))
		return
	}
	h.endReads = h.endReads[1:]
	if read.owner.Owner != read.Owner {
		return
	}
	if h.pick(4, "read fails") == 3 {
		h.execute(read.owner, read.StreamEndKnown(0, false, h.now))
		return
	}
	h.execute(read.owner, read.StreamEndKnown(read.end, true, h.now))
}

// read lets an owner read up to limit records, after it has started over if the
// log truncated records that it had not read.
func (h *harness) read(o *owner, limit int) {
	if o.pos < h.oldest {
		if h.pick(2, "notices the loss first") == 1 {
			o.RecordsLost()
			return
		}
		h.beginReading(o)
	}
	for ; limit > 0 && o.pos < len(h.log); limit-- {
		p := h.log[o.pos]
		o.pos++
		h.execute(o, o.Apply(p, h.now))
	}
	if o.pos == len(h.log) {
		h.execute(o, o.CaughtUp(h.now))
	}
	h.execute(o, o.RecordsRead(state.Offset(o.pos)))
	o.Truncated(h.horizon())
}

// deliver delivers a dispatch to its agent, possibly again later.
func (h *harness) deliver(t *rapid.T) {
	if len(h.toDispatch) == 0 {
		t.Skip()
	}
	i := h.pick(len(h.toDispatch), "dispatch")
	s := h.toDispatch[i]
	if rapid.Bool().Draw(t, "once") {
		h.toDispatch = append(h.toDispatch[:i], h.toDispatch[i+1:]...)
	}
	if v := h.agents[s.claim.Upstream].Start(s.claimID, s.claim.AgentIncarnation, h.now); v != nil {
		if s.verdict == nil || v.Execution == verdict.NotRun {
			s.verdict = v
		}
		return
	}
	h.startsByKey[s.claim.Key]++
	h.startedClaims[s.claimID] = true
	at := h.nextTime()
	h.recordOperation(at, at, modelInput{key: s.claim.Key, claim: s.claimID, start: true})
	h.running = append(h.running, s)
}

// abandonClaim lets an entry void a claim that it has not dispatched.
func (h *harness) abandonClaim(t *rapid.T) {
	if len(h.toDispatch) == 0 {
		t.Skip()
	}
	i := h.pick(len(h.toDispatch), "given up")
	s := h.toDispatch[i]
	if h.startedClaims[s.claimID] || s.verdict != nil {
		t.Skip()
	}
	h.toDispatch = append(h.toDispatch[:i], h.toDispatch[i+1:]...)
	s.verdict = verdict.Refuse(verdict.ReasonDeadlinePast, "")
	o := h.owners[h.pick(2, "owner")]
	void := &state.ClaimVoid{Claim: s.claimID, Witness: s.claim.Entry}
	h.execute(o, o.RecordOutcome(rpc.ClaimOutcomeParams{Key: s.claim.Key, Void: void}, s.claim.Entry, h.now))
}

// finish ends running work. The entry may fail to report the outcome.
func (h *harness) finish(t *rapid.T) {
	if len(h.running) == 0 {
		t.Skip()
	}
	i := h.pick(len(h.running), "finished")
	s := h.running[i]
	h.running = append(h.running[:i], h.running[i+1:]...)
	done := state.ClaimDone{Claim: s.claimID, Status: 200, Answer: []byte(s.claim.Key), AnswerKept: true}
	h.agents[s.claim.Upstream].End(done.Claim, rpc.ClaimRan, &done, h.now)
	if rapid.Bool().Draw(t, "entry reports") {
		o := h.owners[h.pick(2, "owner")]
		h.execute(o, o.RecordOutcome(rpc.ClaimOutcomeParams{Key: s.claim.Key, Done: &done}, s.claim.Entry, h.now))
	}
}

// answerQuestion delivers a question to its agent and the answer to the owner.
func (h *harness) answerQuestion(t *rapid.T) {
	if len(h.questions) == 0 {
		t.Skip()
	}
	i := h.pick(len(h.questions), "question")
	q := h.questions[i]
	h.questions = append(h.questions[:i], h.questions[i+1:]...)
	answer := h.agents[q.q.Upstream].Status(q.q.Params, h.now)
	switch h.pick(4, "answer") {
	case 0: // The question arrives, but its answer is lost.
		h.execute(q.owner, q.owner.AgentAnswered(q.q.Params.Claim, nil, h.now))
	case 1: // The answer arrives twice.
		h.execute(q.owner, q.owner.AgentAnswered(q.q.Params.Claim, &answer, h.now))
		fallthrough
	default:
		h.execute(q.owner, q.owner.AgentAnswered(q.q.Params.Claim, &answer, h.now))
	}
}

func (h *harness) truncate(t *rapid.T) {
	h.now = h.now.Add(time.Duration(rapid.IntRange(1, 20).Draw(t, "minutes")) * time.Minute)
	h.store([]state.Record{{ID: "filler", Kind: state.KindAudit}})
	h.oldest += h.pick(len(h.log)-h.oldest, "truncated")
}

func (h *harness) tick(t *rapid.T) {
	h.now = h.now.Add(time.Duration(rapid.SampledFrom([]int{60, 10, 60, 60, 300, 60, 60, 3000}).Draw(t, "ms")) * time.Millisecond)
	for _, o := range h.owners {
		if h.pick(8, "paused") < 7 {
			h.execute(o, o.Tick(h.now))
		}
	}
}

func (h *harness) injectFault(t *rapid.T) {
	o := h.owners[h.pick(2, "owner")]
	switch h.pick(7, "fault") {
	case 0:
		h.truncate(t)
	case 1:
		h.unavailableUntil = h.now.Add(2 * time.Second)
	case 2: // The owner reads some records again.
		o.pos = max(h.oldest, o.pos-3)
	case 3:
		for _, s := range h.submissions {
			s.abandoned = true // The entry's connection to the owner breaks.
		}
		h.restartOwner(o)
	case 4:
		h.restartAgent("a")
	default: // A batch of unknown outcome is stored late.
		if len(h.lateAppends) > 0 {
			h.store(h.lateAppends[0])
			h.lateAppends = h.lateAppends[1:]
		}
	}
}
