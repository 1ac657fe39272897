package entry

import (
	"context"
	"maps"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/lagoonvalve/lagoonvalve/internal/decide/admission"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
	"github.com/lagoonvalve/lagoonvalve/internal/verdict"
)

// Guards against a waiting request that is lost or released twice, against a
// release beyond the window, and against a place that is never given back when
// a request leaves while it is released.
func TestWaitingRoomLosesNothing(t *testing.T) {
	type move struct{ kind, class, after int }
	moves := rapid.Custom(func(t *rapid.T) move {
		draw := func(most int, label string) int { return rapid.IntRange(0, most).Draw(t, label) }
		return move{kind: draw(9, "kind"), class: draw(2, "class"), after: draw(5, "after")}
	})
	rapid.Check(t, func(rt *rapid.T) {
		schedule := rapid.SliceOfN(moves, 10, 60).Draw(rt, "schedule")
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			room := newWaitingRoom(admission.Config{MaxRequests: 6, Concurrency: 2})
			room.window = 2
			var mu sync.Mutex
			entered, ended, running := 0, 0, 0
			latest := make(map[uint64]time.Time)
			var requests sync.WaitGroup
			for i, m := range schedule {
				_, _, before := room.waiting()
				switch m.kind {
				case 0, 1:
					room.setReplicas(m.after % 3)
				case 2:
					time.Sleep(time.Duration(m.after) * 50 * time.Millisecond)
				case 3:
					room.expire(time.Now())
				default:
					entered++
					latest[uint64(i)] = time.Now().Add(time.Duration(1+m.after)*200*time.Millisecond - 30*time.Millisecond)
					requests.Go(func() {
						ctx, cancel := context.WithTimeout(t.Context(), time.Duration((1+m.after)*(1+2*m.class))*100*time.Millisecond)
						defer cancel()
						item := admission.Item{
							ID: uint64(i), Class: state.Class(m.class), Arrived: time.Now(),
							Deadline: time.Now().Add(time.Duration(1+m.after) * 200 * time.Millisecond), Cost: 10 * time.Millisecond,
						}
						v := room.enter(ctx, item, 0, false)
						if v == nil {
							mu.Lock()
							running++
							mu.Unlock()
							time.Sleep(time.Duration(1+m.after) * 50 * time.Millisecond)
							mu.Lock()
							running--
							mu.Unlock()
							room.leave(m.class == 0)
						}
						mu.Lock()
						ended++
						mu.Unlock()
					})
				}
				synctest.Wait()
				room.mu.Lock()
				mu.Lock()
				now, queued, waits := running, room.queue.Len(), maps.Clone(room.waiters)
				places, over, limit := room.outstanding, ended, int(room.window*float64(room.replicas))
				mu.Unlock()
				room.mu.Unlock()
				g.Expect(places).To(Equal(now), "places and running requests")
				g.Expect(queued).To(Equal(len(waits)))
				g.Expect(over + now + queued).To(Equal(entered))
				if m.kind != 2 && now > max(before, limit) {
					t.Errorf("%d run beyond the window of %d", now, limit)
				}
				for id := range waits {
					if now < limit && latest[id].After(time.Now()) {
						t.Errorf("%d of %d run while %d waits", now, limit, id)
					}
				}
			}
			requests.Wait()
			g.Expect(ended).To(Equal(entered))
			g.Expect(room.outstanding).To(BeZero())
			g.Expect(room.waiters).To(BeEmpty())
		})
	})
}

// Guards against a place that is lost when a request leaves right after its
// release.
func TestAbandonGivesReleasedPlaceBack(t *testing.T) {
	g := NewWithT(t)
	room := newWaitingRoom(admission.Config{})
	room.setReplicas(1)
	mine := &waiter{ready: make(chan *verdict.Verdict, 1)}
	g.Expect(room.offer(time.Now(), admission.Item{ID: 1, Deadline: time.Now().Add(time.Hour)}, mine, 0)).To(BeNil())
	g.Expect(room.outstanding).To(Equal(1))
	gone, leave := context.WithCancel(t.Context())
	leave()
	g.Expect(room.abandon(gone, 1, mine).Execution).To(Equal(verdict.NotRun))
	g.Expect(room.outstanding).To(BeZero())
}
