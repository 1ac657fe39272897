package scaling_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/lagoonvalve/lagoonvalve/internal/decide/scaling"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// storeRegion simulates a region that requests and uses shares.
type storeRegion struct {
	name             state.Region
	share            scaling.StoreShare
	asked            time.Time
	number, answered uint64
	demand           scaling.StoreDemand
}

func (r *storeRegion) atOnce(now time.Time, regions int) int {
	return r.share.At(now.Sub(r.asked), scaling.StoreLimits{}.Floor(regions)).AtOnce
}

// Guards against shares that together exceed the limits of the weight store when
// requests or answers are late or lost, or when the divider of the limits or a
// region's slot broker is replaced. The counts at the end check that the
// schedules also grant one region the whole limit and let regions fall back to
// their floors.
func TestStoreSharesStayWithinLimits(t *testing.T) {
	wholeLimit, onFloor := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		const tick = 250 * time.Millisecond
		now := epoch
		names := []state.Region{"east", "north", "west"}[:rapid.IntRange(2, 3).Draw(t, "regions")]
		shares := scaling.NewStoreShares(now, scaling.StoreLimits{}, names)
		var regions []*storeRegion
		for _, name := range names {
			// A new slot broker uses no share before ShareTTL has passed.
			regions = append(regions, &storeRegion{name: name, asked: now})
		}
		var partitioned, answersLost [3]bool
		for range rapid.IntRange(100, 300).Draw(t, "ticks") {
			now = now.Add(tick)
			if rapid.IntRange(0, 80).Draw(t, "new divider") == 80 {
				shares = scaling.NewStoreShares(now, scaling.StoreLimits{}, names)
			}
			for i, r := range regions {
				switch rapid.IntRange(0, 60).Draw(t, "event") {
				case 60:
					partitioned[i] = !partitioned[i]
				case 59:
					answersLost[i] = !answersLost[i]
				case 1:
					r.demand = scaling.StoreDemand{Waiting: rapid.SampledFrom([]int{0, 0, 1, 9}).Draw(t, "waiting"), Benefit: float64(rapid.IntRange(0, 3).Draw(t, "benefit"))}
				case 58: // The region's slot broker is replaced.
					*r = storeRegion{name: r.name, asked: now, demand: r.demand}
				}
				if rapid.IntRange(0, 3).Draw(t, "asks") == 3 || partitioned[i] {
					continue
				}
				r.number++
				sent := now.Add(-time.Duration(rapid.IntRange(0, 900).Draw(t, "delay")) * time.Millisecond)
				share, ok := shares.Ask(now, scaling.StoreShareRequest{Region: r.name, Demand: r.demand, Number: r.number, Answered: r.answered})
				if ok && !answersLost[i] {
					r.answered, r.share, r.asked = r.number, share, sent
				}
			}
			sum := 0
			for _, r := range regions {
				sum += r.atOnce(now, len(names))
				if r.atOnce(now, len(names)) == 4 {
					wholeLimit++
				}
				if now.Sub(r.asked) >= scaling.ShareTTL {
					onFloor++
				}
			}
			if sum > 4 {
				t.Fatalf("the regions together may run %d loads at once, limit 4: %+v %+v %+v", sum, regions[0], regions[1], regions[len(regions)-1])
			}
		}
	})
	if wholeLimit < 500 || onFloor < 1000 {
		t.Fatalf("too few schedules reach the cases to test: one region with the whole limit %d times (want 500), a region on its floor %d times (want 1000)", wholeLimit, onFloor)
	}
}
