package entry

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/lagoonvalve/lagoonvalve/internal/decide/claims"
	"github.com/lagoonvalve/lagoonvalve/internal/decide/membership"
	"github.com/lagoonvalve/lagoonvalve/internal/platform"
	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
	"github.com/lagoonvalve/lagoonvalve/internal/standin"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
	"github.com/lagoonvalve/lagoonvalve/internal/verdict"
)

// twoRegions puts the last entries in a region of their own. Each entry knows
// those of the other region by address.
func (w *claimsWorld) twoRegions(north int) {
	for i, e := range w.entries {
		var ring []state.EntryName
		far := make(map[state.EntryName]string)
		for j, other := range w.entries {
			if (i < north) == (j < north) {
				ring = append(ring, other.name)
			} else {
				far[other.name] = string(other.name)
			}
		}
		published := &view{ring: membership.NewRing(ring), addresses: e.router.view().addresses}
		e.router.view = func() *view { return published }
		e.router.region, e.router.regions = "north", map[state.Region]map[state.EntryName]string{"south": far}
		if i >= north {
			e.router.region, e.router.regions = "south", map[state.Region]map[state.EntryName]string{"north": far}
		}
	}
}

// Guards against work that runs twice, a "not run" of work that ran, and a
// resend after the end without the kept answer, while connections between
// entries and to the log come and go in two regions, appends are slow or lost,
// owners pause and the log is truncated.
func TestClaimsUnderPartitions(t *testing.T) {
	type move struct{ kind, entry, other, key, step int }
	moves := rapid.Custom(func(t *rapid.T) move {
		draw := func(most int, label string) int { return rapid.IntRange(0, most).Draw(t, label) }
		return move{draw(15, "kind"), draw(3, "entry"), draw(4, "other"), draw(2, "key"), draw(4, "step")}
	})
	ran, refused, replayed := 0, 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		schedule := rapid.SliceOfN(moves, 5, 30).Draw(rt, "schedule")
		inLog := rapid.Bool().Draw(rt, "answers in the log only")
		synctest.Test(t, func(t *testing.T) {
			w := newAdjustedWorld(t, 4, func(s *claimShards) {
				if inLog {
					s.settings.AnswerBytes = 0
				}
			})
			defer w.stop()
			w.twoRegions(2)
			start := time.Now()
			ends := []string{"entry-0", "entry-1", "entry-2", "entry-3", "log"}
			finished := make(map[string]bool)
			var sendings sync.WaitGroup
			for _, m := range schedule {
				e, key := w.entries[m.entry], keyAt(start, m.key)
				switch m.kind {
				case 0, 1, 2: // One entry loses another, or the log.
					w.cut(string(e.name), ends[m.other], m.step < 4)
				case 3:
					w.heal()
				case 4:
					w.log.SetFaults(standin.LogFaults{DelayNext: 2, NextDelay: state.Duration(time.Duration(1+m.step) * time.Second)})
				case 5:
					w.log.SetFaults(standin.LogFaults{LoseNext: 1 + m.step})
				case 6:
					w.log.SetFaults(standin.LogFaults{Delay: state.Duration(time.Duration(m.step) * 300 * time.Millisecond)})
				case 7:
					e.pause(time.Duration(1+2*m.step) * time.Second)
				case 8:
					time.Sleep(time.Duration(1+m.step) * time.Second)
				case 9, 10: // Two entries at once, each of which reaches no other.
					for _, alone := range []*claimsEntry{e, w.entries[(m.entry+1+m.other%3)%4]} {
						for _, end := range ends[:4] {
							w.cut(string(alone.name), end, end != string(alone.name))
						}
						sendings.Go(func() {
							v, _ := w.send(alone.router, key, completes)
							w.mu.Lock()
							defer w.mu.Unlock()
							finished[key] = finished[key] || v.Reason == verdict.ReasonOK
						})
					}
					time.Sleep(time.Duration(m.step) * 100 * time.Millisecond)
				default:
					sendings.Go(func() {
						v, text := w.send(e.router, key, min(step(m.step), completes))
						w.mu.Lock()
						defer w.mu.Unlock()
						finished[key] = finished[key] || (v != nil && v.Reason == verdict.ReasonOK)
						if v != nil && v.Execution == verdict.NotRun {
							refused++
						}
						if text != "" && text != "answer to "+key {
							w.t.Errorf("%s got %q", key, text)
						}
					})
					time.Sleep(time.Duration(m.key) * 40 * time.Millisecond)
				}
			}
			sendings.Wait()
			w.log.SetFaults(standin.LogFaults{})
			w.heal()
			time.Sleep(30 * time.Second)
			for n := range 3 {
				key := keyAt(start, n)
				w.checkSettled(key, finished[key])
				ran += w.ran[key]
				if finished[key] {
					replayed++
				}
			}
		})
	})
	if ran < 50 || refused < 10 || replayed < 20 {
		t.Fatalf("the schedules reach too little: %d ran, %d refused, %d ended before", ran, refused, replayed)
	}
	t.Logf("%d ran, %d refused, %d ended before", ran, refused, replayed)
}

// keyOwnedBy returns a key of now whose shard the entry owns first.
func (w *claimsWorld) keyOwnedBy(e *claimsEntry, asker *claimsEntry, from int) string {
	for n := from; ; n++ {
		key := keyAt(time.Now(), n)
		if asker.router.owners(claims.ShardOf("c", key))[0] == string(e.name) {
			return key
		}
	}
}

// Guards against work that runs a second time when an owner comes back from a
// pause that was longer than its takeover.
func TestPausedOwnerIsTakenOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := newClaimsWorld(t, 2)
		defer w.stop()
		first, second := w.entries[0], w.entries[1]
		key := w.keyOwnedBy(first, second, 0)
		w.log.SetFaults(standin.LogFaults{DelayNext: 1, NextDelay: state.Duration(100 * time.Millisecond)})
		var sendings sync.WaitGroup
		sendings.Go(func() {
			v, _ := w.send(second.router, key, completes)
			g.Expect(v.Execution).To(Equal(verdict.MayHaveRun), v.Error())
		})
		time.Sleep(60 * time.Millisecond)
		first.pause(20 * time.Second)
		sendings.Wait()
		shard := platform.ClaimStream(claims.ShardOf("c", key))
		g.Expect(w.log.Records(shard)).To(HaveLen(1), "the paused owner's claim")
		w.cut("entry-0", "entry-1", true)
		v, _ := w.send(second.router, key, completes)
		g.Expect(v.Reason).To(Equal(verdict.ReasonOK), v.Error())
		time.Sleep(30 * time.Second)
		w.heal()
		w.checkSettled(key, true)
		g.Expect(w.ran[key]).To(Equal(1))
	})
}

// Guards against two runs when an owner comes back from a pause before its own
// request has given up, but after another owner has settled the claim.
func TestGrantAfterPauseIsRefusedByAgent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := newClaimsWorld(t, 2)
		defer w.stop()
		first, second := w.entries[0], w.entries[1]
		key := w.keyOwnedBy(first, second, 0)
		w.cut("entry-0", "entry-1", true)
		w.log.SetFaults(standin.LogFaults{DelayNext: 1, NextDelay: state.Duration(100 * time.Millisecond)})
		var sendings sync.WaitGroup
		sendings.Go(func() {
			v, _ := w.send(first.router, key, completes)
			g.Expect(v.Execution).To(Equal(verdict.NotRun), v.Error())
		})
		time.Sleep(60 * time.Millisecond)
		first.pause(1400 * time.Millisecond)
		time.Sleep(200 * time.Millisecond)
		v, _ := w.send(second.router, key, completes)
		g.Expect(v.Reason).To(Equal(verdict.ReasonOK), v.Error())
		sendings.Wait()
		g.Expect(w.ran[key]).To(Equal(1))
		time.Sleep(5 * time.Second)
		w.heal()
		w.checkSettled(key, true)
	})
}

// Guards against a key that is claimed again after its claim was truncated
// unread, and against refusals of keys that are younger than all that is lost.
func TestTruncationWhileRunning(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := newClaimsWorld(t, 2)
		defer w.stop()
		a, b := w.entries[0], w.entries[1]
		earlier := w.keyOwnedBy(a, b, 0)
		number := claims.ShardOf("c", earlier)
		shard := platform.ClaimStream(number)
		keyNow := func() string { return keyOfShard(number, "c", 0) }
		_, _ = w.send(a.router, earlier, completes)
		time.Sleep(time.Second)
		w.cut("entry-0", "log", true)
		w.cut("entry-0", "entry-1", true)
		lost := keyNow()
		v, _ := w.send(b.router, lost, completes)
		g.Expect(v.Reason).To(Equal(verdict.ReasonOK), v.Error())
		time.Sleep(time.Minute)
		lostEnd := w.log.Records(shard)
		left := keyNow()
		_, _ = w.send(b.router, left, completes)
		time.Sleep(9 * time.Minute)
		w.log.Truncate(shard, lostEnd[len(lostEnd)-1].Offset+1)
		w.cut("entry-0", "log", false)
		time.Sleep(15 * time.Second)
		for _, key := range []string{earlier, lost, left} {
			v, _ = w.send(a.router, key, completes)
			g.Expect(v.Reason).To(Equal(verdict.ReasonKeyTooOld), v.Error())
			g.Expect(v.Execution).To(Equal(verdict.MayHaveRun))
			g.Expect(w.ran[key]).To(Equal(1))
		}
		fresh := keyNow()
		v, _ = w.send(a.router, fresh, completes)
		g.Expect(v.Reason).To(Equal(verdict.ReasonOK), v.Error())
		w.heal()
		w.checkSettled(fresh, true)
	})
}

// Guards against "unseen" from an owner that has lost records unread and not
// yet read on, since a lost claim may be of that key.
func TestLossMakesLookupsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := newClaimsWorld(t, 1)
		defer w.stop()
		e, key := w.entries[0], keyAt(time.Now(), 1)
		shards := e.router.local
		_, _ = w.send(e.router, key, completes)
		time.Sleep(time.Second)
		other := keyOfShard(claims.ShardOf("c", key), "c", 2)
		g.Expect(e.router.unseen("c", other, time.Now().Add(time.Second))).To(BeTrue())
		w.log.SetFaults(standin.LogFaults{Outage: true})
		number := claims.ShardOf("c", key)
		shards.post(t.Context(), func(ctx context.Context, _ time.Time) {
			go shards.noteTruncated(ctx, shards.shards[number])
		})
		time.Sleep(time.Millisecond)
		g.Expect(e.router.unseen("c", other, time.Now().Add(time.Second))).To(BeFalse())
		v, _ := w.send(e.router, other, completes)
		g.Expect(v.Execution).To(Equal(verdict.MayHaveRun), v.Error())
	})
}

// Guards against "unseen" from an owner that is cut off from the log, or whose
// reading lags, after a second owner has claimed the key, and against a read of
// the log for each lookup of a burst.
func TestLaggingOwnerCallsNoClaimedKeyUnseen(t *testing.T) {
	for _, lag := range []func(w *claimsWorld){
		func(w *claimsWorld) { w.cut("entry-0", "log", true) },
		func(w *claimsWorld) { w.cut("entry-0", "long polls", true) },
	} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			w := newClaimsWorld(t, 2)
			defer w.stop()
			first, second := w.entries[0], w.entries[1]
			key := w.keyOwnedBy(first, second, 0)
			other := keyOfShard(claims.ShardOf("c", key), "c", 1000)
			g.Expect(first.router.unseen("c", key, time.Now().Add(time.Second))).To(BeTrue(), "an unused shard")
			_, _ = w.send(first.router, other, completes)
			time.Sleep(time.Second)
			g.Expect(first.router.unseen("c", key, time.Now().Add(time.Second))).To(BeTrue())
			lag(w)
			w.cut("entry-0", "entry-1", true)
			v, _ := w.send(second.router, key, completes)
			g.Expect(v.Reason).To(Equal(verdict.ReasonOK), v.Error())
			w.cut("entry-0", "entry-1", false)
			for _, e := range w.entries {
				g.Expect(e.router.unseen("c", key, time.Now().Add(time.Second))).To(BeFalse(), string(e.name))
			}
			w.heal()
			time.Sleep(15 * time.Second)
			g.Expect(second.router.unseen("c", key, time.Now().Add(time.Second))).To(BeFalse())
			before := w.endReads
			var lookups sync.WaitGroup
			for n := range 3000 {
				lookups.Go(func() {
					time.Sleep(time.Duration(n) * time.Millisecond)
					g.Expect(second.router.unseen("d", key, time.Now().Add(time.Second))).To(BeTrue())
				})
			}
			lookups.Wait()
			g.Expect(w.endReads - before).To(BeNumerically("<=", 3*10+claims.DefaultSettings().Burst+2))
		})
	}
}

// Guards against answers of a second owner that has not read its shard.
func TestSecondOwnerNeedsItsTable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := newClaimsWorld(t, 2)
		defer w.stop()
		first, second := w.entries[0], w.entries[1]
		key := w.keyOwnedBy(first, second, 0)
		_, _ = w.send(first.router, key, completes)
		time.Sleep(time.Second)
		w.cut("entry-0", "entry-1", true)
		w.cut("entry-1", "log", true)
		for range 3 {
			g.Expect(second.router.unseen("c", key, time.Now().Add(time.Second))).To(BeFalse())
			v, _ := w.send(second.router, key, completes)
			g.Expect(v.Execution).To(Equal(verdict.MayHaveRun), v.Error())
			g.Expect(w.ran[key]).To(Equal(1))
			time.Sleep(time.Second)
		}
		w.cut("entry-1", "log", false)
		time.Sleep(time.Second)
		v, text := w.send(second.router, key, completes)
		g.Expect(v.Reason).To(Equal(verdict.ReasonOK), v.Error())
		g.Expect(text).To(Equal("answer to " + key))
		g.Expect(w.ran[key]).To(Equal(1))
	})
}

// Guards against requests that wait for good, and work that runs twice, when
// their shard becomes idle while its owner is paused.
func TestShardBecomesIdleWhileRequestsWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := newClaimsWorld(t, 1)
		defer w.stop()
		e, key := w.entries[0], keyAt(time.Now(), 1)
		shards := e.router.local
		_, _ = w.send(e.router, keyAt(time.Now(), 2), completes)
		w.log.SetFaults(standin.LogFaults{DelayNext: 1, NextDelay: state.Duration(time.Second)})
		params := rpc.ClaimParams{Claim: state.Claim{Caller: "c", Key: key, Fingerprint: 7, Upstream: "u", AgentIncarnation: "1"}}
		answered := make(chan rpc.ClaimResult, 1)
		go func() {
			// The caller waits longer than an entry would.
			result, _ := shards.ask(t.Context(), params)
			answered <- result
		}()
		time.Sleep(100 * time.Millisecond)
		e.pause(shardIdle + time.Minute)
		time.Sleep(shardIdle + 2*time.Minute)
		select {
		case result := <-answered:
			g.Expect(result.Refusal).NotTo(BeNil())
			g.Expect(result.Refusal.Execution).To(Equal(verdict.NotRun))
		default:
			t.Fatal("the request never got an answer")
		}
		v, _ := w.send(e.router, key, completes)
		g.Expect(v.Reason).To(Equal(verdict.ReasonOK), v.Error())
		w.checkSettled(key, true)
		g.Expect(w.ran[key]).To(Equal(1))
	})
}
