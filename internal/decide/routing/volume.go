package routing

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/lagoonvalve/lagoonvalve/internal/defaults"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// VolumeConfig bounds paid traffic between regions. Zero values mean the
// defaults.
type VolumeConfig struct {
	// PerSecond is the mean volume allowed; default 1 MiB. A negative value
	// allows none.
	PerSecond state.Bytes
	// Burst is the volume allowed at once; default 16 MiB.
	Burst state.Bytes
}

// VolumeBudget is a byte budget for traffic between regions.
type VolumeBudget struct {
	limiter *rate.Limiter
	none    bool
}

// NewVolumeBudget returns a full budget.
func NewVolumeBudget(cfg VolumeConfig) *VolumeBudget {
	defaults.Set(&cfg.Burst, 16*state.MiB)
	b := &VolumeBudget{limiter: rate.NewLimiter(0, int(cfg.Burst))}
	b.SetRate(cfg.PerSecond)
	return b
}

// SetRate changes the mean volume allowed, as VolumeConfig.PerSecond does.
func (b *VolumeBudget) SetRate(perSecond state.Bytes) {
	if perSecond == 0 {
		perSecond = state.MiB
	}
	b.none = perSecond < 0
	b.limiter.SetLimit(rate.Limit(max(perSecond, 0)))
}

// Allows reports whether the budget has room for volume, without taking it.
func (b *VolumeBudget) Allows(now time.Time, volume state.Bytes) bool {
	return !b.none && b.limiter.TokensAt(now) >= float64(volume)
}

// Take takes volume from the budget and reports whether there was room. Without
// room it takes nothing.
func (b *VolumeBudget) Take(now time.Time, volume state.Bytes) bool {
	return b.limiter.AllowN(now, int(volume))
}

// Spend takes volume that has been sent, whether there was room or not. What
// exceeds the budget leaves none until the rate has made up for it.
func (b *VolumeBudget) Spend(now time.Time, volume state.Bytes) {
	for volume > 0 {
		part := min(volume, state.Bytes(b.limiter.Burst()))
		b.limiter.ReserveN(now, int(part))
		volume -= part
	}
}
