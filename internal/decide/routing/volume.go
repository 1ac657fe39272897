package routing

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/lagoonvalve/lagoonvalve/internal/defaults"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// VolumeConfig limits paid traffic between regions. Zero values mean the
// defaults.
type VolumeConfig struct {
	// PerSecond is the mean volume allowed per second; default 1 MiB. A negative
	// value allows none.
	PerSecond state.Bytes
	// Burst is the volume allowed at once; default 16 MiB.
	Burst state.Bytes
}

// VolumeBudget limits the bytes sent between regions with a token bucket.
type VolumeBudget struct {
	limiter  *rate.Limiter
	disabled bool
}

// NewVolumeBudget returns a full budget.
func NewVolumeBudget(cfg VolumeConfig) *VolumeBudget {
	defaults.Set(&cfg.Burst, 16*state.MiB)
	b := &VolumeBudget{limiter: rate.NewLimiter(0, int(cfg.Burst))}
	b.SetRate(cfg.PerSecond)
	return b
}

// SetRate changes the mean volume allowed per second; the values mean the same
// as in VolumeConfig.PerSecond.
func (b *VolumeBudget) SetRate(perSecond state.Bytes) {
	if perSecond == 0 {
		perSecond = state.MiB
	}
	b.disabled = perSecond < 0
	b.limiter.SetLimit(rate.Limit(max(perSecond, 0)))
}

// Allows reports whether the budget covers volume, without taking it.
func (b *VolumeBudget) Allows(now time.Time, volume state.Bytes) bool {
	return !b.disabled && b.limiter.TokensAt(now) >= float64(volume)
}

// Take takes volume from the budget if the budget covers it, and reports whether
// it did.
func (b *VolumeBudget) Take(now time.Time, volume state.Bytes) bool {
	return b.limiter.AllowN(now, int(volume))
}

// Spend takes volume that has been sent, even if the budget does not cover it.
// The budget then stays empty until the excess has been refilled at the mean rate.
func (b *VolumeBudget) Spend(now time.Time, volume state.Bytes) {
	for volume > 0 {
		part := min(volume, state.Bytes(b.limiter.Burst()))
		b.limiter.ReserveN(now, int(part))
		volume -= part
	}
}
