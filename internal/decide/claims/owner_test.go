package claims_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lagoonvalve/lagoonvalve/internal/decide/claims"
	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
	"github.com/lagoonvalve/lagoonvalve/internal/verdict"
)

// Guards against acceptance of keys that are not a UUIDv7, are too far in the
// future, or are so old that the log may have truncated their claims.
func TestKeysAndWindow(t *testing.T) {
	g := NewWithT(t)
	o := claims.NewOwner(state.ProcessID{Name: "o"}, claims.DefaultSettings(), rand.New(rand.NewPCG(1, 1)))
	o.BeginReading(epoch)
	o.CaughtUp(epoch)
	ask := func(key string) *verdict.Verdict {
		out := o.RequestClaim(1, rpc.ClaimParams{Claim: state.Claim{Key: key}}, epoch)
		if len(out.Replies) == 0 {
			return nil
		}
		return out.Replies[0].Result.Refusal
	}
	g.Expect(ask("k").Reason).To(Equal(verdict.ReasonKeyInvalid))
	g.Expect(ask("6ba7b810-9dad-11d1-80b4-00c04fd430c8").Reason).To(Equal(verdict.ReasonKeyInvalid))
	g.Expect(ask(key(epoch.Add(5*time.Minute+time.Second), 1)).Reason).To(Equal(verdict.ReasonKeyInvalid))
	old := ask(key(epoch.Add(5*time.Minute), 1))
	g.Expect(old.Reason).To(Equal(verdict.ReasonKeyTooOld))
	g.Expect(old.Execution).To(Equal(verdict.MayHaveRun))
}

// Guards against "not run" from an owner whose table may lack an earlier claim,
// because the log's end cannot be read, reading has started over or the key has
// become too old, and against a claim that stays open after its request has timed
// out.
func TestGivenUpClaims(t *testing.T) {
	g := NewWithT(t)
	for _, c := range []struct {
		meanwhile func(*claims.Owner)
		readable  bool
		want      verdict.Execution
		voids     int
	}{
		{func(*claims.Owner) {}, true, verdict.NotRun, 1},
		{func(*claims.Owner) {}, false, verdict.MayHaveRun, 1},
		{func(o *claims.Owner) { o.BeginReading(time.Time{}) }, true, verdict.MayHaveRun, 1},
		{func(o *claims.Owner) { o.Truncated(epoch) }, true, verdict.MayHaveRun, 0},
	} {
		o := claims.NewOwner(state.ProcessID{Name: "o"}, claims.DefaultSettings(), rand.New(rand.NewPCG(1, 1)))
		o.BeginReading(time.Time{})
		o.CaughtUp(epoch)
		o.RequestClaim(1, rpc.ClaimParams{Claim: state.Claim{Key: key(epoch, 1)}}, epoch)
		batch := o.Tick(epoch.Add(50 * time.Millisecond)).Append
		g.Expect(batch).To(HaveLen(1))
		o.Appended(batch, claims.AppendUnknown, epoch)
		c.meanwhile(o)
		out := o.Tick(epoch.Add(2 * time.Second))
		if out.EndRead != nil {
			g.Expect(out.Replies).To(BeEmpty())
			out = o.StreamEndKnown(0, c.readable, epoch.Add(2*time.Second))
		}
		g.Expect(out.Replies[0].Result.Refusal.Execution).To(Equal(c.want))
		o.Apply(state.StoredRecord{Time: epoch, Record: batch[0]}, epoch.Add(3*time.Second))
		g.Expect(o.Tick(epoch.Add(4 * time.Second)).Append).To(HaveLen(c.voids))
	}
}

// Guards against an agent whose table or kept answers grow without bound, or that
// starts a claim again after it has removed the claim's entry, even with its clock
// set back, or after it has dropped the claim's answer.
func TestAgentTableIsBounded(t *testing.T) {
	g := NewWithT(t)
	settings := claims.DefaultSettings()
	settings.AnswerBytes = 100 * state.KiB
	s := claims.NewAgentTable("1", settings)
	for i := range byte(100) {
		id := key(epoch, i)
		g.Expect(s.Start(id, "1", epoch)).To(BeNil())
		g.Expect(s.Start(id, "1", epoch).Execution).To(Equal(verdict.MayHaveRun))
		size := 4000 + 1000*int(i%2)
		s.End(id, rpc.ClaimRan, &state.ClaimDone{Claim: id, Status: 201, Answer: make([]byte, size), AnswerKept: true}, epoch)
	}
	for i := range byte(100) {
		known, _ := s.Known(key(epoch, i), epoch)
		g.Expect(known.State).To(Equal(rpc.ClaimRan))
		g.Expect(known.Done.Status).To(Equal(201))
		// The newest 24 of 4,000 B and their overhead fit; 5,000 B are too long.
		g.Expect(known.Done.AnswerKept).To(Equal(i >= 52 && i%2 == 0), "%d", i)
		g.Expect(len(known.Done.Answer) == 4000).To(Equal(known.Done.AnswerKept))
		g.Expect(s.Start(key(epoch, i), "1", epoch)).NotTo(BeNil())
	}
	status := s.Status(rpc.ClaimStatusParams{Claim: key(epoch, 1), AgentIncarnation: "1"}, epoch)
	g.Expect(status.State).To(Equal(rpc.ClaimRan))
	g.Expect(status.Done.AnswerKept).To(BeFalse())
	g.Expect(s.Len()).To(Equal(100))
	s.Status(rpc.ClaimStatusParams{Claim: key(epoch.Add(31*time.Minute), 1), AgentIncarnation: "1"}, epoch.Add(31*time.Minute))
	g.Expect(s.Len()).To(Equal(1))
	g.Expect(s.Start(key(epoch, 1), "1", epoch).Execution).To(Equal(verdict.MayHaveRun), "entry removed, clock set back")
	g.Expect(s.Start(key(epoch.Add(31*time.Minute), 1), "1", epoch).Execution).To(Equal(verdict.NotRun))
	g.Expect(s.Start(key(epoch.Add(31*time.Minute), 2), "0", epoch).Execution).To(Equal(verdict.MayHaveRun))
}

// BenchmarkClaimBatch measures a batch of 256 claims from the requests to the
// grants.
func BenchmarkClaimBatch(b *testing.B) {
	b.ReportAllocs()
	o := claims.NewOwner(state.ProcessID{Name: "o"}, claims.DefaultSettings(), rand.New(rand.NewPCG(1, 1)))
	o.BeginReading(time.Time{})
	o.CaughtUp(epoch)
	offset, ticket, now := state.Offset(0), claims.Ticket(0), epoch
	for b.Loop() {
		now = now.Add(time.Second)
		var batch []state.Record
		for i := range 256 {
			p := rpc.ClaimParams{Claim: state.Claim{Caller: "c", Key: key(now, byte(i))}}
			batch = append(batch, o.RequestClaim(ticket, p, now).Append...)
			ticket++
		}
		granted := 0
		for _, r := range batch {
			out := o.Apply(state.StoredRecord{Offset: offset, Time: now, Record: r}, now)
			granted += len(out.Replies)
			offset++
		}
		if granted != 256 {
			b.Fatalf("%d granted", granted)
		}
		if offset%(256*100) == 0 {
			o.Truncated(now.Add(-10 * time.Minute))
		}
	}
}
