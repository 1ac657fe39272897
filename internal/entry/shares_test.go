package entry

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
	"github.com/lagoonvalve/lagoonvalve/internal/settings"
	"github.com/lagoonvalve/lagoonvalve/internal/standin"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// loader stands for the agents of a region: each wants to load, and a load
// takes loadTakes.
type loader struct {
	*member
	wants int
	slots map[int]string
	ends  map[int]time.Time
}

const loadTakes = time.Second

func newLoader(m *member) *loader {
	return &loader{member: m, slots: make(map[int]string), ends: make(map[int]time.Time)}
}

// step asks for what is wanted and ends loads that are done. It returns how
// many run.
func (l *loader) step(g Gomega, now time.Time) int {
	for i := range l.wants {
		params := rpc.StoreSlotParams{Upstream: state.UpstreamName(fmt.Sprint(l.cfg.Name, i)), Slot: l.slots[i], Benefit: 1}
		params.Release = params.Slot != "" && !now.Before(l.ends[i])
		result, err := l.storeSlot(context.Background(), params)
		g.Expect(err).NotTo(HaveOccurred())
		if params.Slot == "" && result.Slot != "" {
			l.ends[i] = now.Add(loadTakes)
		}
		if l.slots[i] = result.Slot; result.Slot == "" {
			delete(l.slots, i)
		}
	}
	return len(l.slots)
}

// Guards against regions that together load more at once than the store
// allows, a region that gets only a part of an idle store, and one that loads
// nothing when it is cut off from the others.
func TestRegionsShareTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		r := newTestRegion(t, standin.LogConfig{})
		defer r.stopAll()
		peers := append(peersOf("north", 1), peersOf("south", 1)...)
		north, south := newLoader(r.add("north", 0, peers, time.Hour)), newLoader(r.add("south", 0, peers, time.Hour))
		r.connect(north.member)
		r.connect(south.member)
		limit := settings.DefaultEntry().Limits.StoreLoadsAtOnce
		// watch lets time pass and returns the most loads at once.
		watch := func(d time.Duration) (inNorth, inSouth int) {
			for began := time.Now(); time.Since(began) < d; time.Sleep(50 * time.Millisecond) {
				n, s := north.step(g, time.Now()), south.step(g, time.Now())
				g.Expect(n + s).To(BeNumerically("<=", limit))
				inNorth, inSouth = max(inNorth, n), max(inSouth, s)
			}
			return inNorth, inSouth
		}
		watch(8 * time.Second)
		south.wants = 9
		_, most := watch(5 * time.Second)
		g.Expect(most).To(BeNumerically(">=", limit-1), "the whole store, but for loads that end before the next may start")
		north.wants = 9
		inNorth, _ := watch(3 * time.Second)
		g.Expect(inNorth).To(BeNumerically(">=", 1))
		r.network.serve("north0", nil)
		watch(7 * time.Second)
		inNorth, inSouth := watch(10 * time.Second)
		g.Expect([]int{inNorth, inSouth}).To(Equal([]int{limit / 2, limit / 2}), "the floors")
		r.connect(north.member)
		north.wants = 0
		watch(5 * time.Second)
		_, most = watch(5 * time.Second)
		g.Expect(most).To(BeNumerically(">=", limit-1))
	})
}
