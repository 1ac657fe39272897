package scaling_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/lagoonvalve/lagoonvalve/internal/decide/scaling"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// storeRegion is a region that follows the protocol of the shares.
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

// Guards against regions that together may use more of the weight store than
// its limits, whichever questions and answers are late or lost and whoever
// divides, and against a region with demand that never gets the whole.
func TestStoreSharesKeepTheLimits(t *testing.T) {
	whole, floors := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		const tick = 250 * time.Millisecond
		now := epoch
		names := []state.Region{"east", "north", "west"}[:rapid.IntRange(2, 3).Draw(t, "regions")]
		shares := scaling.NewStoreShares(now, scaling.StoreLimits{}, names)
		var regions []*storeRegion
		for _, name := range names {
			// A keeper of slots uses none before a TTL has passed.
			regions = append(regions, &storeRegion{name: name, asked: now})
		}
		var cut, deaf [3]bool
		for range rapid.IntRange(100, 300).Draw(t, "ticks") {
			now = now.Add(tick)
			if rapid.IntRange(0, 80).Draw(t, "new divider") == 80 {
				shares = scaling.NewStoreShares(now, scaling.StoreLimits{}, names)
			}
			for i, r := range regions {
				switch rapid.IntRange(0, 60).Draw(t, "event") {
				case 60:
					cut[i] = !cut[i]
				case 59:
					deaf[i] = !deaf[i]
				case 1:
					r.demand = scaling.StoreDemand{Waiting: rapid.SampledFrom([]int{0, 0, 1, 9}).Draw(t, "waiting"), Benefit: float64(rapid.IntRange(0, 3).Draw(t, "benefit"))}
				case 58: // A new keeper of the region's slots.
					*r = storeRegion{name: r.name, asked: now, demand: r.demand}
				}
				if rapid.IntRange(0, 3).Draw(t, "asks") == 3 || cut[i] {
					continue
				}
				r.number++
				sent := now.Add(-time.Duration(rapid.IntRange(0, 900).Draw(t, "delay")) * time.Millisecond)
				share, ok := shares.Ask(now, scaling.StoreShareRequest{Region: r.name, Demand: r.demand, Number: r.number, Answered: r.answered})
				if ok && !deaf[i] {
					r.answered, r.share, r.asked = r.number, share, sent
				}
			}
			sum := 0
			for _, r := range regions {
				sum += r.atOnce(now, len(names))
				if r.atOnce(now, len(names)) == 4 {
					whole++
				}
				if now.Sub(r.asked) >= scaling.ShareTTL {
					floors++
				}
			}
			if sum > 4 {
				t.Fatalf("the regions may run %d loads at once: %+v %+v %+v", sum, regions[0], regions[1], regions[len(regions)-1])
			}
		}
	})
	if whole < 500 || floors < 1000 {
		t.Fatalf("the schedules reach too little: the whole store %d times, a floor %d times", whole, floors)
	}
}
