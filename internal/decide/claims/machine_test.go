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

func TestMain(m *testing.M) { testenv.Main(m, testenv.RapidDefaults{Seed: 7, Checks: 4000, Steps: 60}) }

var epoch = time.UnixMilli(1_800_000_000_000)

// submission is one transmission of a request with a key, or one lookup of the
// key, as an entry sees it.
type submission struct {
	ticket  claims.Ticket
	claim   state.Claim
	claimID string
	replies int
	// abandoned is set if the entry's connection to the owner broke, so that no
	// reply is due.
	abandoned bool
	verdict   *verdict.Verdict
	// calledAt is the logical time of the request.
	calledAt int64
	// lookup is set if the submission only checks whether its key was ever
	// claimed.
	lookup bool
	// ranBefore is set if work of the key had started before the submission.
	ranBefore bool
}

// owner is a process that owns the shard. pos is the offset that it reads next.
type owner struct {
	*claims.Owner
	name string
	pos  int
}

// question is an owner's question to an agent that has not been answered yet.
type question struct {
	owner *owner
	q     claims.Question
}

// endRead is a read of the log's end for an owner, which may restart before it
// gets the result. done is set once end has been read.
type endRead struct {
	*claims.Owner
	owner *owner
	done  bool
	end   state.Offset
}

// harness simulates two owners of one shard, two agents and the entries on a small
// log that has every kind of fault that the platform's log can have.
type harness struct {
	t                *rapid.T
	now              time.Time
	log              []state.StoredRecord
	oldest           int // the offset of the oldest retained record
	unavailableUntil time.Time
	lateAppends      [][]state.Record // batches of unknown outcome that may still be stored
	owners           []*owner
	agents           map[state.UpstreamName]*claims.AgentTable
	incarnations     map[state.UpstreamName]int
	submissions      []*submission // by ticket
	toDispatch       []*submission
	running          []*submission
	questions        []question
	endReads         []endRead
	unseenChecks     int // calls of checkNeverStarted
	startsByKey      map[string]int
	startedClaims    map[string]bool
	keys             []string
	claimOffset      map[string]int
	random           *rand.Rand
	logicalTime      int64
	history          []porcupine.Operation // claims and starts, for the linearizability check
	settings         claims.Settings
	readBackCount    int
}

// key returns a UUIDv7 with the time at, made unique by n.
func key(at time.Time, n byte) string {
	var id uuid.UUID
	binary.BigEndian.PutUint64(id[:8], uint64(at.UnixMilli())<<16)
	id[6], id[8], id[15] = 0x70, 0x80, n
	return id.String()
}

func newHarness(t *rapid.T) *harness {
	h := &harness{
		t: t, now: epoch, agents: map[state.UpstreamName]*claims.AgentTable{}, incarnations: map[state.UpstreamName]int{},
		startsByKey: map[string]int{}, startedClaims: map[string]bool{}, claimOffset: map[string]int{},
		random: rand.New(rand.NewPCG(1, 2)), settings: claims.DefaultSettings(),
	}
	if h.pick(4, "owners that forget") == 3 {
		h.settings.MaxClaims = 2
	}
	if h.pick(6, "owners with little room") == 5 {
		h.settings.MaxWaiting = 2
	}
	if h.pick(2, "answers in the log only") == 1 {
		h.settings.AnswerBytes = 0
	}
	for n := range byte(3) {
		h.keys = append(h.keys, key(epoch, n))
	}
	for range 2 {
		h.owners = append(h.owners, &owner{})
		h.restartOwner(h.owners[len(h.owners)-1])
	}
	h.restartAgent("a")
	h.restartAgent("b")
	return h
}

func (h *harness) pick(n int, label string) int { return rapid.IntRange(0, n-1).Draw(h.t, label) }

func (h *harness) restartOwner(o *owner) {
	o.name = fmt.Sprint("owner", h.random.Uint32())
	o.Owner = claims.NewOwner(state.ProcessID{Name: "o", Incarnation: o.name}, h.settings, h.random)
	h.beginReading(o)
}

func (h *harness) beginReading(o *owner) {
	o.pos = h.oldest
	o.BeginReading(h.horizon())
}

// horizon returns the time of the oldest retained record, or zero if the log was
// never truncated.
func (h *harness) horizon() time.Time {
	if h.oldest == 0 {
		return time.Time{}
	}
	return h.log[min(h.oldest, len(h.log)-1)].Time
}

// restartAgent starts a new incarnation of an agent, which loses the work that
// runs there.
func (h *harness) restartAgent(name state.UpstreamName) {
	h.incarnations[name]++
	h.agents[name] = claims.NewAgentTable(h.incarnation(name), claims.DefaultSettings())
	kept := h.running[:0]
	for _, s := range h.running {
		if s.claim.Upstream != name {
			kept = append(kept, s)
		}
	}
	h.running = kept
}

func (h *harness) incarnation(name state.UpstreamName) string {
	return fmt.Sprint(name, h.incarnations[name])
}

// execute carries out an owner's commands.
func (h *harness) execute(o *owner, c claims.Commands) {
	for _, r := range c.Replies {
		s := h.submissions[r.Ticket]
		s.replies++
		s.verdict, s.claimID = r.Result.Refusal, r.Result.Granted
		if s.claimID != "" {
			h.recordOperation(s.calledAt, h.nextTime(), modelInput{key: s.claim.Key, claim: s.claimID})
		} else if s.verdict.Execution == verdict.Ran {
			h.recordOperation(s.calledAt, h.nextTime(), modelInput{key: s.claim.Key, done: true})
		}
		if s.replies > 1 || (s.verdict == nil) == (s.claimID == "") {
			h.t.Fatalf("submission %d: reply %d is %+v", r.Ticket, s.replies, r.Result)
		}
		if s.claimID != "" {
			h.toDispatch = append(h.toDispatch, s)
		}
		if r.ReadBack && int(r.At) >= h.oldest {
			body, err := state.DecodeBody[state.ClaimDone](h.log[r.At].Record)
			if err != nil || h.log[r.At].Kind != state.KindClaimDone {
				h.t.Fatalf("no outcome at offset %d: %+v", r.At, h.log[r.At])
			}
			r.Result.Done = &body
			h.readBackCount++
		}
		if done := r.Result.Done; done != nil && done.AnswerKept && string(done.Answer) != s.claim.Key {
			h.t.Fatalf("key %s got the answer of %s", s.claim.Key, done.Answer)
		}
		h.checkAppliedClaims(o, s)
		if s.verdict != nil && s.verdict.Execution == verdict.NotRun && s.verdict.Reason != verdict.ReasonKeyReused {
			h.checkNeverStarted(s)
		}
	}
	for _, found := range c.Found {
		s := h.submissions[found.Ticket]
		s.replies++
		if s.replies > 1 || !s.lookup {
			h.t.Fatalf("submission %d: reply %d is a second reply or answers a lookup that was not made", found.Ticket, s.replies)
		}
		if found.Unseen {
			h.checkNeverStarted(s)
		}
	}
	if c.EndRead != nil {
		h.endReads = append(h.endReads, endRead{Owner: o.Owner, owner: o})
	}
	for _, q := range c.Questions {
		h.questions = append(h.questions, question{o, q})
	}
	if len(c.Append) > 0 {
		h.append(o, c.Append)
	}
}

// checkNeverStarted checks invariant I5, that no work that may have run is
// reported as not run: no owner, however far its reading lags, may report a key
// as unseen, or a request as not run, if work of the key had started before the
// submission.
func (h *harness) checkNeverStarted(s *submission) {
	h.unseenChecks++
	if s.ranBefore {
		h.t.Fatalf("invariant I5: submission %d was reported as unseen or not run, but work of key %s had started", s.ticket, s.claim.Key)
	}
}

// checkAppliedClaims checks invariant I5 for resends: an owner that has read the
// claim of work that ran must not report a resend of the request as not run.
func (h *harness) checkAppliedClaims(o *owner, s *submission) {
	if s.verdict == nil || s.verdict.Execution != verdict.NotRun || s.verdict.Reason == verdict.ReasonKeyReused {
		return
	}
	for id := range h.startedClaims {
		at, stored := h.claimOffset[id]
		if stored && at < o.pos && at >= h.oldest && h.keyOf(at) == s.claim.Key {
			h.t.Fatalf("invariant I5: submission %d was reported as not run (%s), but claim %s ran and its record was read", s.ticket, s.verdict, id)
		}
	}
}

// keyOf returns the key of the claim record at an offset.
func (h *harness) keyOf(at int) string {
	body, _ := state.DecodeBody[state.Claim](h.log[at].Record)
	return body.Key
}

// append appends a batch for an owner. The log may refuse or store it, or leave the
// outcome unknown and store it now, later or never.
func (h *harness) append(o *owner, batch []state.Record) {
	if h.now.Before(h.unavailableUntil) {
		h.execute(o, o.Appended(batch, claims.AppendRefused, h.now))
		return
	}
	switch h.pick(5, "append outcome") {
	case 0:
		h.execute(o, o.Appended(batch, claims.AppendRefused, h.now))
	case 1:
		h.store(batch)
		h.execute(o, o.Appended(batch, claims.AppendUnknown, h.now))
	case 2:
		h.lateAppends = append(h.lateAppends, batch)
		h.execute(o, o.Appended(batch, claims.AppendUnknown, h.now))
	default:
		h.store(batch)
		h.execute(o, o.Appended(batch, claims.AppendStored, h.now))
	}
}

func (h *harness) store(batch []state.Record) {
	for _, r := range batch {
		if r.Kind == state.KindClaim {
			h.claimOffset[r.ID] = len(h.log)
		}
		h.log = append(h.log, state.StoredRecord{Offset: state.Offset(len(h.log)), Time: h.now, Record: r})
	}
}

// checkInvariants checks after every step that work of a key runs at most once
// (I6) and that no work that ran is reported as not run (I5).
func (h *harness) checkInvariants(*rapid.T) {
	for key, n := range h.startsByKey {
		if n > 1 {
			h.t.Fatalf("invariant I6: key %s ran %d times", key, n)
		}
	}
	for _, s := range h.submissions {
		if s.verdict != nil && s.verdict.Execution == verdict.NotRun && h.startedClaims[s.claimID] {
			h.t.Fatalf("invariant I5: submission %d was reported as not run (%s) but ran", s.ticket, s.verdict)
		}
	}
}

// Guards against work that runs twice (invariant I6) or is reported as not run
// although it may have run (I5), for any order of pauses, restarts, lost answers,
// late and repeated messages, outages and truncations of the log. Guards also
// against a request that an owner never answers (I3).
func TestClaimsUnderFaults(t *testing.T) {
	granted, resent, voided, readBack, unseen := 0, 0, 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		h := newHarness(t)
		h.t = t
		read := func(t *rapid.T) {
			limit := rapid.SampledFrom([]int{100, 1, 100, 3, 100}).Draw(t, "limit")
			h.read(h.owners[h.pick(2, "reader")], limit)
		}
		for _, o := range h.owners {
			h.read(o, 1)
		}
		t.Repeat(map[string]func(*rapid.T){
			"": h.checkInvariants, "ask": h.requestClaim, "ask again": h.requestClaim, "tick": h.tick, "tick again": h.tick,
			"read": read, "read more": read, "read on": read, "read still": read,
			"deliver": h.deliver, "deliver more": h.deliver, "give up": h.abandonClaim, "finish": h.finish,
			"answer": h.answerQuestion, "answer more": h.answerQuestion, "fault": h.injectFault,
			"look up": h.lookUp, "end": h.readStreamEnd, "end again": h.readStreamEnd,
		})
		// Both waits must end: that for the log and that of the lookup after it.
		for _, wait := range []time.Duration{h.settings.ClaimTimeout, h.settings.LookupTimeout} {
			h.now = h.now.Add(wait)
			for _, o := range h.owners {
				h.execute(o, o.Tick(h.now))
			}
		}
		for _, s := range h.submissions {
			if s.replies == 0 && !s.abandoned {
				t.Fatalf("invariant I3: submission %d never got a reply", s.ticket)
			}
			if s.claimID != "" {
				granted++
			}
			if s.verdict != nil && s.verdict.Execution == verdict.Ran {
				resent++
			}
		}
		readBack += h.readBackCount
		unseen += h.unseenChecks
		for _, p := range h.log {
			if p.Kind == state.KindClaimVoid {
				voided++
			}
		}
		if !porcupine.CheckOperations(claimModel, h.history) {
			t.Fatalf("the history of claims and starts is not linearizable: %+v", h.history)
		}
	})
	if granted < 1000 || resent < 100 || voided < 100 || readBack < 20 || unseen < 100 {
		t.Fatalf("the generated schedules cover too few cases: %d granted, %d answered from outcomes, %d of them read back, %d voids, %d checks of unseen keys",
			granted, resent, readBack, voided, unseen)
	}
	t.Logf("%d granted, %d answered from outcomes, %d of them read back, %d voids, %d checks of unseen keys", granted, resent, readBack, voided, unseen)
}
