package entry

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/lagoonvalve/lagoonvalve/internal/decide/claims"
	"github.com/lagoonvalve/lagoonvalve/internal/platform"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
	"github.com/lagoonvalve/lagoonvalve/internal/verdict"
)

// Guards against a second run of a key whose claim a new owner did not read,
// since it reads only the end of a long stream.
func TestNewOwnerReadsTheEndOfItsShard(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := newAdjustedWorld(t, 1, func(s *claimShards) { s.readBackRecords = 10 })
		defer w.stop()
		e := w.entries[0]
		var keys []string
		number := claims.ShardOf("c", keyAt(time.Now(), 0))
		for range 12 {
			keys = append(keys, keyOfShard(number, "c", 0))
			_, _ = w.send(e.router, keys[len(keys)-1], completes)
			time.Sleep(2 * time.Minute)
		}
		e.kill()
		e.start(e.name)
		for _, key := range keys {
			_, _ = w.send(e.router, key, completes)
			g.Expect(w.ran[key]).To(Equal(1))
		}
		v, _ := w.send(e.router, keys[0], completes)
		g.Expect(v.Reason).To(Equal(verdict.ReasonKeyTooOld), v.Error())
		_, text := w.send(e.router, keys[11], completes)
		g.Expect(text).To(Equal("answer to " + keys[11]))
	})
}

// Guards against a second run of a key whose claim is truncated with all records
// of its shard, by an owner whose clock is behind the log's, and against an
// emptied shard that refuses the requests of callers that seldom send one.
func TestEmptiedShardIsKnownByTheLogsClock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := newClaimsWorld(t, 1)
		defer w.stop()
		w.logAhead = 5 * time.Minute
		// An owner with the log's clock accepts a key that is 5 min ahead.
		key := keyAt(time.Now().Add(10*time.Minute), 1)
		number := claims.ShardOf("c", key)
		claimed, err := state.NewRecord("claim", state.ProcessID{}, state.KindClaim, state.Claim{Caller: "c", Key: key})
		g.Expect(err).NotTo(HaveOccurred())
		_, err = w.log.Append(t.Context(), platform.ClaimStream(number), []state.Record{claimed})
		g.Expect(err).NotTo(HaveOccurred())
		w.log.Truncate(platform.ClaimStream(number), 1)
		router := w.entries[0].router
		_, _ = w.send(router, key, completes)
		time.Sleep(6 * time.Minute)
		v, _ := w.send(router, key, completes)
		g.Expect(v.Reason).To(Equal(verdict.ReasonKeyTooOld), v.Error())
		g.Expect(v.Execution).To(Equal(verdict.MayHaveRun))
		time.Sleep(shardIdle + time.Minute)
		v, _ = w.send(router, keyOfShard(number, "c", 1), completes)
		g.Expect(v.Reason).To(Equal(verdict.ReasonOK), v.Error())
	})
}

// Guards against a lookup that takes the missing page of a truncated read for the
// end of an empty stream.
func TestMissingPageShowsNoEnd(t *testing.T) {
	g := NewWithT(t)
	g.Expect(knowsEnd(platform.Page{}, platform.ErrTruncated, 0)).To(BeFalse())
	g.Expect(knowsEnd(platform.Page{Oldest: 2, End: 2}, platform.ErrTruncated, 0)).To(BeTrue())
	g.Expect(knowsEnd(platform.Page{}, platform.ErrUnavailable, 0)).To(BeFalse())
	g.Expect(knowsEnd(platform.Page{}, nil, 0)).To(BeTrue())
}

// naive is what callers must see while nothing fails: a map of the answers.
type naive map[string]struct {
	fingerprint uint64
	answer      string
}

func (n naive) send(key string, fingerprint uint64) (verdict.Reason, string) {
	earlier, ok := n[key]
	switch {
	case !ok:
		earlier.fingerprint, earlier.answer = fingerprint, "answer to "+key
		n[key] = earlier
	case earlier.fingerprint != fingerprint:
		return verdict.ReasonKeyReused, ""
	}
	return verdict.ReasonOK, earlier.answer
}

// Guards against any difference from a map in memory while nothing fails: a
// refusal, an answer of another request, a second run.
func TestClaimsMatchNaiveVersion(t *testing.T) {
	type move struct{ entry, key, fingerprint, pause int }
	moves := rapid.Custom(func(t *rapid.T) move {
		draw := func(most int, label string) int { return rapid.IntRange(0, most).Draw(t, label) }
		return move{draw(3, "entry"), draw(9, "key"), draw(5, "fingerprint"), draw(5, "pause")}
	})
	rapid.Check(t, func(rt *rapid.T) {
		schedule := rapid.SliceOfN(moves, 10, 40).Draw(rt, "schedule")
		inLog := rapid.Bool().Draw(rt, "answers in the log only")
		synctest.Test(t, func(t *testing.T) {
			w := newAdjustedWorld(t, 4, func(s *claimShards) {
				if inLog {
					s.settings.AnswerBytes = 0
				}
			})
			defer w.stop()
			w.twoRegions(2)
			start, model := time.Now(), naive{}
			for i, m := range schedule {
				key, fingerprint := keyAt(start, m.key), uint64(7+m.fingerprint/5)
				reason, answer := model.send(key, fingerprint)
				v, text := w.sendAs(w.entries[m.entry].router, key, fingerprint, completes)
				if v.Reason != reason || text != answer {
					t.Fatalf("sending %d of %s: got %s, %q; want %s, %q", i, key, v, text, reason, answer)
				}
				if w.ran[key] != 1 {
					t.Fatalf("sending %d of %s: ran %d times", i, key, w.ran[key])
				}
				time.Sleep(time.Duration(m.pause) * 70 * time.Millisecond)
			}
			if len(w.ran) != len(model) {
				t.Fatalf("%d keys ran, want %d", len(w.ran), len(model))
			}
		})
	})
}
