package claims_test

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lagoonvalve/lagoonvalve/internal/decide/claims"
	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
	"github.com/lagoonvalve/lagoonvalve/internal/verdict"
)

// Guards against an owner that evicts a claim to bound its memory but still accepts
// the key, so that a resend runs a second time.
func TestForgottenKeysAreTooOld(t *testing.T) {
	g := NewWithT(t)
	settings := claims.DefaultSettings()
	settings.MaxClaims = 1000
	o := ownerWithClaims(t, settings, 3000, 10, 0)
	now := epoch.Add(time.Hour)
	o.CaughtUp(now)
	remembered := 0
	for n := range 3000 {
		at := epoch.Add(time.Duration(n+1) * 29 * time.Millisecond)
		caller := state.CallerName("caller-" + strconv.Itoa(n%40))
		out := o.RequestClaim(claims.Ticket(n), rpc.ClaimParams{Claim: state.Claim{Caller: caller, Key: key(at, byte(n)), Fingerprint: uint64(n)}}, now)
		found := o.Lookup(claims.Ticket(n), caller, key(at, byte(n)), now)
		g.Expect(found.Found).To(Equal([]claims.LookupResult{{Ticket: claims.Ticket(n)}}), "claim %d", n)
		if len(out.Replies) == 0 {
			g.Expect(out.Questions).To(HaveLen(1), "claim %d", n) // The claim is open.
			remembered++
			continue
		}
		refusal := out.Replies[0].Result.Refusal
		switch refusal.Reason {
		case verdict.ReasonClaimRan:
			remembered++
		default:
			g.Expect(refusal.Reason).To(Equal(verdict.ReasonKeyTooOld), "claim %d", n)
			g.Expect(refusal.Execution).To(Equal(verdict.MayHaveRun))
			g.Expect(remembered).To(BeZero(), "claim %d was evicted before an older one", n)
		}
	}
	g.Expect(remembered).To(And(BeNumerically(">", 800), BeNumerically("<=", 1000)))
}

// Guards against an owner whose kept answers grow without bound, and against a
// resend that gets no answer or another request's because the answer is no longer
// in memory.
func TestOldAnswersAreReadBack(t *testing.T) {
	g := NewWithT(t)
	settings := claims.DefaultSettings()
	settings.AnswerBytes = 64 * state.KiB
	o := ownerWithClaims(t, settings, 400, 0, 4096)
	o.CaughtUp(epoch)
	inMemory := 0
	for n := range 10 {
		for _, at := range []int{n, 390 + n} {
			p := rpc.ClaimParams{Claim: state.Claim{
				Caller: state.CallerName("caller-" + strconv.Itoa(at%40)), Fingerprint: uint64(at),
				Key: key(epoch.Add(time.Duration(at+1)*29*time.Millisecond), byte(at)),
			}}
			reply := o.RequestClaim(claims.Ticket(at), p, epoch).Replies[0]
			g.Expect(reply.Result.Refusal.Execution).To(Equal(verdict.Ran))
			if at < 10 {
				g.Expect(reply.ReadBack).To(BeTrue())
				g.Expect(reply.At).To(Equal(state.Offset(2*at + 1)))
				g.Expect(reply.Result.Done.AnswerKept).To(BeFalse(), "the answer comes only from the log")
			} else if !reply.ReadBack {
				g.Expect(reply.Result.Done.Answer).To(HaveLen(4096))
				inMemory++
			}
		}
	}
	g.Expect(inMemory).To(Equal(10))
}

// Guards against a burst of full batches that exceeds the append rate and then
// delays claims long after the burst has ended.
func TestFloodDelaysNoLaterClaim(t *testing.T) {
	g := NewWithT(t)
	settings := claims.DefaultSettings()
	settings.MaxWaiting = 64 * settings.BatchSize
	o := claims.NewOwner(state.ProcessID{Name: "o"}, settings, rand.New(rand.NewPCG(1, 1)))
	o.BeginReading(time.Time{})
	o.CaughtUp(epoch)
	full, refused := 0, 0
	note := func(out claims.Commands) {
		for _, reply := range out.Replies {
			refused++
			g.Expect(reply.Result.Refusal.Execution).To(Equal(verdict.MayHaveRun), "no read proves that the table is up to date")
		}
	}
	for n := range 80 * settings.BatchSize {
		out := o.RequestClaim(claims.Ticket(n), rpc.ClaimParams{Claim: state.Claim{Caller: state.CallerName(strconv.Itoa(n)), Key: key(epoch, byte(n))}}, epoch)
		note(out)
		if len(out.Append) > 0 {
			full++
		}
	}
	g.Expect(full).To(Equal(settings.MaxWaiting / settings.BatchSize))
	later := epoch.Add(3 * time.Second)
	note(o.Tick(later))
	note(o.Tick(later.Add(settings.LookupTimeout)))
	g.Expect(refused).To(Equal(80 * settings.BatchSize))
	for n := range 20 {
		later = later.Add(settings.MinInterval)
		o.RequestClaim(claims.Ticket(1_000_000+n), rpc.ClaimParams{Claim: state.Claim{Caller: "late", Key: key(epoch, byte(n))}}, later)
		g.Expect(o.Tick(later.Add(settings.MinInterval)).Append).To(HaveLen(1), "claim %d", n)
	}
}

// Guards against an uneven hash that leaves shards unused and so concentrates the
// claims on few owners.
func TestAllShardsAreUsed(t *testing.T) {
	g := NewWithT(t)
	used := map[int]int{}
	for n := range 2000 {
		used[claims.ShardOf("c", key(epoch.Add(time.Duration(n)*time.Millisecond), byte(n)))]++
	}
	g.Expect(used).To(HaveLen(claims.ShardCount))
	for number, count := range used {
		g.Expect(number).To(And(BeNumerically(">=", 0), BeNumerically("<", claims.ShardCount)))
		g.Expect(count).To(BeNumerically("~", 2000/claims.ShardCount, 60))
	}
}

// Guards against a request that is matched with another caller's claim of the same
// key because reading starts over while it waits and callers are renumbered.
func TestCallersAreKeptApart(t *testing.T) {
	g := NewWithT(t)
	o := claims.NewOwner(state.ProcessID{Name: "o"}, claims.DefaultSettings(), rand.New(rand.NewPCG(1, 1)))
	o.BeginReading(time.Time{})
	o.CaughtUp(epoch)
	shared := key(epoch, 1)
	o.RequestClaim(1, rpc.ClaimParams{Claim: state.Claim{Caller: "a", Key: shared}}, epoch)
	batch := o.Tick(epoch.Add(time.Second)).Append
	o.BeginReading(time.Time{})
	other := positioned(t, 0, epoch, "other", state.KindClaim, state.Claim{Caller: "b", Key: shared})
	g.Expect(o.Apply(other, epoch)).To(BeZero())
	g.Expect(batch).To(HaveLen(1))
	out := o.Apply(state.StoredRecord{Offset: 1, Time: epoch, Record: batch[0]}, epoch)
	g.Expect(out.Replies).To(HaveLen(1))
	g.Expect(out.Replies[0].Result.Granted).To(Equal(batch[0].ID))
}
