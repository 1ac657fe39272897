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

func (w *world) ask(t *rapid.T) {
	name := state.UpstreamName(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "agent"))
	s := &sending{asked: w.place(), ticket: claims.Ticket(len(w.sendings)), claim: state.Claim{
		Caller: "c", Key: rapid.SampledFrom(w.keys).Draw(t, "key"), Upstream: name,
		Fingerprint:      uint64(w.pick(10, "fingerprint") / 9),
		Entry:            state.ProcessID{Name: "e", Incarnation: fmt.Sprint(len(w.sendings))},
		AgentIncarnation: w.incarnation(name),
	}}
	s.ranBefore = w.ran[s.claim.Key] > 0
	w.sendings = append(w.sendings, s)
	o := w.owners[w.pick(2, "owner")]
	w.do(o, o.RequestClaim(s.ticket, rpc.ClaimParams{Claim: s.claim, Within: state.Duration(30 * time.Second)}, w.now))
}

func (w *world) lookUp(t *rapid.T) {
	s := &sending{ticket: claims.Ticket(len(w.sendings)), lookup: true}
	s.claim.Key = rapid.SampledFrom(w.keys).Draw(t, "key")
	s.ranBefore = w.ran[s.claim.Key] > 0
	w.sendings = append(w.sendings, s)
	o := w.owners[w.pick(2, "owner")]
	w.do(o, o.Lookup(s.ticket, "c", s.claim.Key, w.now))
}

// endRead reads the log's end for an owner, or brings it the result of a read.
func (w *world) endRead(t *rapid.T) {
	if len(w.endReads) == 0 {
		t.Skip()
	}
	read := &w.endReads[0]
	if !read.done {
		read.done, read.end = true, state.Offset(len(w.log))
		return
	}
	w.endReads = w.endReads[1:]
	if read.owner.Owner != read.Owner {
		return
	}
	if w.pick(4, "read fails") == 3 {
		w.do(read.owner, read.StreamEndKnown(0, false, w.now))
		return
	}
	w.do(read.owner, read.StreamEndKnown(read.end, true, w.now))
}

func (w *world) read(o *owner, limit int) {
	if o.pos < w.oldest {
		if w.pick(2, "notices the loss first") == 1 {
			o.RecordsLost()
			return
		}
		w.begin(o)
	}
	for ; limit > 0 && o.pos < len(w.log); limit-- {
		p := w.log[o.pos]
		o.pos++
		w.do(o, o.Apply(p, w.now))
	}
	if o.pos == len(w.log) {
		w.do(o, o.CaughtUp(w.now))
	}
	w.do(o, o.RecordsRead(state.Offset(o.pos)))
	o.Truncated(w.t0())
}

// deliver brings a dispatch to its agent, possibly a second time later.
func (w *world) deliver(t *rapid.T) {
	if len(w.dispatch) == 0 {
		t.Skip()
	}
	i := w.pick(len(w.dispatch), "dispatch")
	s := w.dispatch[i]
	if rapid.Bool().Draw(t, "once") {
		w.dispatch = append(w.dispatch[:i], w.dispatch[i+1:]...)
	}
	if v := w.agents[s.claim.Upstream].Start(s.claimID, s.claim.AgentIncarnation, w.now); v != nil {
		if s.verdict == nil || v.Execution == verdict.NotRun {
			s.verdict = v
		}
		return
	}
	w.ran[s.claim.Key]++
	w.ranClaims[s.claimID] = true
	at := w.place()
	w.record(at, at, event{key: s.claim.Key, claim: s.claimID, start: true})
	w.running = append(w.running, s)
}

// giveUp lets an entry drop a claim that it has not dispatched.
func (w *world) giveUp(t *rapid.T) {
	if len(w.dispatch) == 0 {
		t.Skip()
	}
	i := w.pick(len(w.dispatch), "given up")
	s := w.dispatch[i]
	if w.ranClaims[s.claimID] || s.verdict != nil {
		t.Skip()
	}
	w.dispatch = append(w.dispatch[:i], w.dispatch[i+1:]...)
	s.verdict = verdict.Refuse(verdict.ReasonDeadlinePast, "")
	o := w.owners[w.pick(2, "owner")]
	void := &state.ClaimVoid{Claim: s.claimID, Witness: s.claim.Entry}
	w.do(o, o.RecordOutcome(rpc.ClaimOutcomeParams{Key: s.claim.Key, Void: void}, s.claim.Entry, w.now))
}

func (w *world) finish(t *rapid.T) {
	if len(w.running) == 0 {
		t.Skip()
	}
	i := w.pick(len(w.running), "finished")
	s := w.running[i]
	w.running = append(w.running[:i], w.running[i+1:]...)
	done := state.ClaimDone{Claim: s.claimID, Status: 200, Answer: []byte(s.claim.Key), AnswerKept: true}
	w.agents[s.claim.Upstream].End(done.Claim, rpc.ClaimRan, &done, w.now)
	if rapid.Bool().Draw(t, "entry reports") {
		o := w.owners[w.pick(2, "owner")]
		w.do(o, o.RecordOutcome(rpc.ClaimOutcomeParams{Key: s.claim.Key, Done: &done}, s.claim.Entry, w.now))
	}
}

func (w *world) answer(t *rapid.T) {
	if len(w.questions) == 0 {
		t.Skip()
	}
	i := w.pick(len(w.questions), "question")
	q := w.questions[i]
	w.questions = append(w.questions[:i], w.questions[i+1:]...)
	answer := w.agents[q.q.Upstream].Status(q.q.Params, w.now)
	switch w.pick(4, "answer") {
	case 0: // The question arrives, its answer is lost.
		w.do(q.owner, q.owner.AgentAnswered(q.q.Params.Claim, nil, w.now))
	case 1: // The answer comes twice.
		w.do(q.owner, q.owner.AgentAnswered(q.q.Params.Claim, &answer, w.now))
		fallthrough
	default:
		w.do(q.owner, q.owner.AgentAnswered(q.q.Params.Claim, &answer, w.now))
	}
}

func (w *world) truncate(t *rapid.T) {
	w.now = w.now.Add(time.Duration(rapid.IntRange(1, 20).Draw(t, "minutes")) * time.Minute)
	w.store([]state.Record{{ID: "filler", Kind: state.KindAudit}})
	w.oldest += w.pick(len(w.log)-w.oldest, "truncated")
}

func (w *world) tick(t *rapid.T) {
	w.now = w.now.Add(time.Duration(rapid.SampledFrom([]int{60, 10, 60, 60, 300, 60, 60, 3000}).Draw(t, "ms")) * time.Millisecond)
	for _, o := range w.owners {
		if w.pick(8, "paused") < 7 {
			w.do(o, o.Tick(w.now))
		}
	}
}

func (w *world) fault(t *rapid.T) {
	o := w.owners[w.pick(2, "owner")]
	switch w.pick(7, "fault") {
	case 0:
		w.truncate(t)
	case 1:
		w.downTill = w.now.Add(2 * time.Second)
	case 2: // A repeated read.
		o.pos = max(w.oldest, o.pos-3)
	case 3:
		for _, s := range w.sendings {
			s.given = true // Its entry sees the connection break.
		}
		w.restartOwner(o)
	case 4:
		w.restartAgent("a")
	default: // A late append.
		if len(w.late) > 0 {
			w.store(w.late[0])
			w.late = w.late[1:]
		}
	}
}
