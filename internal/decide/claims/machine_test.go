package claims_test

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/google/uuid"
	"pgregory.net/rapid"

	"github.com/lagoonvalve/lagoonvalve/internal/decide/claims"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
	"github.com/lagoonvalve/lagoonvalve/internal/testenv"
	"github.com/lagoonvalve/lagoonvalve/internal/verdict"
)

func TestMain(m *testing.M) { testenv.Main(m, testenv.Properties{Seed: 7, Checks: 4000, Steps: 60}) }

var epoch = time.UnixMilli(1_800_000_000_000)

// sending is one request with a key, as an entry sees it.
type sending struct {
	ticket  claims.Ticket
	claim   state.Claim
	claimID string
	replies int
	given   bool
	verdict *verdict.Verdict
	// asked is the request's place in the history.
	asked int64
	// lookup is set if the sending only asks whether its key was ever claimed.
	lookup bool
	// ranBefore says that work of the key had started before the question.
	ranBefore bool
}

type owner struct {
	*claims.Owner
	name string
	pos  int
}

type question struct {
	owner *owner
	q     claims.Question
}

// endRead is a read of the log's end. The owner may have restarted meanwhile.
type endRead struct {
	*claims.Owner
	owner *owner
	done  bool
	end   state.Offset
}

// world runs two owners, two agents and entries over a small log that fails in
// every way that the platform's may.
type world struct {
	t         *rapid.T
	now       time.Time
	log       []state.Positioned
	oldest    int
	downTill  time.Time
	late      [][]state.Record
	owners    []*owner
	agents    map[state.UpstreamName]*claims.AgentTable
	runs      map[state.UpstreamName]int
	sendings  []*sending
	dispatch  []*sending
	running   []*sending
	questions []question
	endReads  []endRead
	unseen    int
	ran       map[string]int
	ranClaims map[string]bool
	keys      []string
	claimAt   map[string]int
	random    *rand.Rand
	clock     int64
	history   []porcupine.Operation
	settings  claims.Settings
	readBack  int
}

func key(at time.Time, n byte) string {
	var id uuid.UUID
	binary.BigEndian.PutUint64(id[:8], uint64(at.UnixMilli())<<16)
	id[6], id[8], id[15] = 0x70, 0x80, n
	return id.String()
}

func newWorld(t *rapid.T) *world {
	w := &world{
		t: t, now: epoch, agents: map[state.UpstreamName]*claims.AgentTable{}, runs: map[state.UpstreamName]int{},
		ran: map[string]int{}, ranClaims: map[string]bool{}, claimAt: map[string]int{},
		random: rand.New(rand.NewPCG(1, 2)), settings: claims.DefaultSettings(),
	}
	if w.pick(4, "owners that forget") == 3 {
		w.settings.MaxClaims = 2
	}
	if w.pick(6, "owners with little room") == 5 {
		w.settings.MaxWaiting = 2
	}
	if w.pick(2, "answers in the log only") == 1 {
		w.settings.AnswerBytes = 0
	}
	for n := range byte(3) {
		w.keys = append(w.keys, key(epoch, n))
	}
	for range 2 {
		w.owners = append(w.owners, &owner{})
		w.restartOwner(w.owners[len(w.owners)-1])
	}
	w.restartAgent("a")
	w.restartAgent("b")
	return w
}

func (w *world) pick(n int, label string) int { return rapid.IntRange(0, n-1).Draw(w.t, label) }

func (w *world) restartOwner(o *owner) {
	o.name = fmt.Sprint("owner", w.random.Uint32())
	o.Owner = claims.NewOwner(state.ProcessID{Name: "o", Incarnation: o.name}, w.settings, w.random)
	w.begin(o)
}

func (w *world) begin(o *owner) {
	o.pos = w.oldest
	o.BeginReading(w.t0())
}

func (w *world) t0() time.Time {
	if w.oldest == 0 {
		return time.Time{}
	}
	return w.log[min(w.oldest, len(w.log)-1)].Time
}

func (w *world) restartAgent(name state.UpstreamName) {
	w.runs[name]++
	w.agents[name] = claims.NewAgentTable(w.incarnation(name), claims.DefaultSettings())
	kept := w.running[:0]
	for _, s := range w.running {
		if s.claim.Upstream != name {
			kept = append(kept, s)
		}
	}
	w.running = kept
}

func (w *world) incarnation(name state.UpstreamName) string { return fmt.Sprint(name, w.runs[name]) }

// do carries out an owner's commands.
func (w *world) do(o *owner, c claims.Commands) {
	for _, r := range c.Replies {
		s := w.sendings[r.Ticket]
		s.replies++
		s.verdict, s.claimID = r.Result.Refusal, r.Result.Granted
		if s.claimID != "" {
			w.record(s.asked, w.place(), event{key: s.claim.Key, claim: s.claimID})
		} else if s.verdict.Execution == verdict.Ran {
			w.record(s.asked, w.place(), event{key: s.claim.Key, done: true})
		}
		if s.replies > 1 || (s.verdict == nil) == (s.claimID == "") {
			w.t.Fatalf("sending %d: reply %d is %+v", r.Ticket, s.replies, r.Result)
		}
		if s.claimID != "" {
			w.dispatch = append(w.dispatch, s)
		}
		if r.ReadBack && int(r.At) >= w.oldest {
			body, err := state.DecodeBody[state.ClaimDone](w.log[r.At].Record)
			if err != nil || w.log[r.At].Kind != state.KindClaimDone {
				w.t.Fatalf("no outcome at offset %d: %+v", r.At, w.log[r.At])
			}
			r.Result.Done = &body
			w.readBack++
		}
		if done := r.Result.Done; done != nil && done.AnswerKept && string(done.Answer) != s.claim.Key {
			w.t.Fatalf("key %s got the answer of %s", s.claim.Key, done.Answer)
		}
		w.checkKnown(o, s)
		if s.verdict != nil && s.verdict.Execution == verdict.NotRun && s.verdict.Reason != verdict.ReasonKeyReused {
			w.checkUnseen(s)
		}
	}
	for _, found := range c.Found {
		s := w.sendings[found.Ticket]
		s.replies++
		if s.replies > 1 || !s.lookup {
			w.t.Fatalf("sending %d: reply %d answers a lookup", found.Ticket, s.replies)
		}
		if found.Unseen {
			w.checkUnseen(s)
		}
	}
	if c.EndRead != nil {
		w.endReads = append(w.endReads, endRead{Owner: o.Owner, owner: o})
	}
	for _, q := range c.Questions {
		w.questions = append(w.questions, question{o, q})
	}
	if len(c.Append) > 0 {
		w.append(o, c.Append)
	}
}

// checkUnseen guards I5: no owner, however far it lags, may call a key unseen, or
// a request not run, whose work had started when it was asked.
func (w *world) checkUnseen(s *sending) {
	w.unseen++
	if s.ranBefore {
		w.t.Fatalf("sending %d was called unseen, but %s had run", s.ticket, s.claim.Key)
	}
}

// checkKnown guards I5 for resends: an owner that has read the claim of work
// that ran must not call a resend of the same request not run.
func (w *world) checkKnown(o *owner, s *sending) {
	if s.verdict == nil || s.verdict.Execution != verdict.NotRun || s.verdict.Reason == verdict.ReasonKeyReused {
		return
	}
	for id := range w.ranClaims {
		at, stored := w.claimAt[id]
		if stored && at < o.pos && at >= w.oldest && w.keyOf(at) == s.claim.Key {
			w.t.Fatalf("sending %d was called not run (%s), but %s ran and its claim was read", s.ticket, s.verdict, id)
		}
	}
}

func (w *world) keyOf(at int) string {
	body, _ := state.DecodeBody[state.Claim](w.log[at].Record)
	return body.Key
}

func (w *world) append(o *owner, batch []state.Record) {
	if w.now.Before(w.downTill) {
		w.do(o, o.Appended(batch, claims.AppendRefused, w.now))
		return
	}
	switch w.pick(5, "append outcome") {
	case 0:
		w.do(o, o.Appended(batch, claims.AppendRefused, w.now))
	case 1:
		w.store(batch)
		w.do(o, o.Appended(batch, claims.AppendUnknown, w.now))
	case 2:
		w.late = append(w.late, batch)
		w.do(o, o.Appended(batch, claims.AppendUnknown, w.now))
	default:
		w.store(batch)
		w.do(o, o.Appended(batch, claims.AppendStored, w.now))
	}
}

func (w *world) store(batch []state.Record) {
	for _, r := range batch {
		if r.Kind == state.KindClaim {
			w.claimAt[r.ID] = len(w.log)
		}
		w.log = append(w.log, state.Positioned{Offset: state.Offset(len(w.log)), Time: w.now, Record: r})
	}
}

// check holds after every step.
func (w *world) check(*rapid.T) {
	for key, n := range w.ran {
		if n > 1 {
			w.t.Fatalf("I6: key %s ran %d times", key, n)
		}
	}
	for _, s := range w.sendings {
		if s.verdict != nil && s.verdict.Execution == verdict.NotRun && w.ranClaims[s.claimID] {
			w.t.Fatalf("I5: sending %d is called not run (%s) but ran", s.ticket, s.verdict)
		}
	}
}

// Guards I5 and I6 against pauses, deaths, lost answers, late and repeated
// messages, outages and truncation of the log in any order, and I3 against a
// request that an owner forgets.
func TestClaimsUnderFaults(t *testing.T) {
	granted, resent, voided, readBack, unseen := 0, 0, 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		w.t = t
		read := func(t *rapid.T) {
			limit := rapid.SampledFrom([]int{100, 1, 100, 3, 100}).Draw(t, "limit")
			w.read(w.owners[w.pick(2, "reader")], limit)
		}
		for _, o := range w.owners {
			w.read(o, 1)
		}
		t.Repeat(map[string]func(*rapid.T){
			"": w.check, "ask": w.ask, "ask again": w.ask, "tick": w.tick, "tick again": w.tick,
			"read": read, "read more": read, "read on": read, "read still": read,
			"deliver": w.deliver, "deliver more": w.deliver, "give up": w.giveUp, "finish": w.finish,
			"answer": w.answer, "answer more": w.answer, "fault": w.fault,
			"look up": w.lookUp, "end": w.endRead, "end again": w.endRead,
		})
		// The wait for the log, and that for a lookup after it.
		for _, wait := range []time.Duration{w.settings.ClaimTimeout, w.settings.LookupFor} {
			w.now = w.now.Add(wait)
			for _, o := range w.owners {
				w.do(o, o.Tick(w.now))
			}
		}
		for _, s := range w.sendings {
			if s.replies == 0 && !s.given {
				t.Fatalf("I3: sending %d never got a reply", s.ticket)
			}
			if s.claimID != "" {
				granted++
			}
			if s.verdict != nil && s.verdict.Execution == verdict.Ran {
				resent++
			}
		}
		readBack += w.readBack
		unseen += w.unseen
		for _, p := range w.log {
			if p.Kind == state.KindClaimVoid {
				voided++
			}
		}
		if !porcupine.CheckOperations(claimModel, w.history) {
			t.Fatalf("the history of claims and starts is not linearizable: %+v", w.history)
		}
	})
	if granted < 1000 || resent < 100 || voided < 100 || readBack < 20 || unseen < 100 {
		t.Fatalf("the schedules reach too little: %d granted, %d answered from outcomes, %d of them read back, %d voids, %d unseen",
			granted, resent, readBack, voided, unseen)
	}
	t.Logf("%d granted, %d answered from outcomes, %d of them read back, %d voids, %d unseen", granted, resent, readBack, voided, unseen)
}
