package routing

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// VolumeConfig bounds paid traffic between regions. Zero values mean the
// defaults.
type VolumeConfig struct {
	// PerSecond is the mean volume allowed; default 1 MiB.
	PerSecond state.Bytes
	// Burst is the volume allowed at once; default 16 MiB.
	Burst state.Bytes
}

// VolumeBudget is a byte budget for traffic between regions.
type VolumeBudget struct{ limiter *rate.Limiter }

// NewVolumeBudget returns a full budget.
func NewVolumeBudget(cfg VolumeConfig) *VolumeBudget {
	if cfg.PerSecond <= 0 {
		cfg.PerSecond = state.MiB
	}
	if cfg.Burst <= 0 {
		cfg.Burst = 16 * state.MiB
	}
	return &VolumeBudget{limiter: rate.NewLimiter(rate.Limit(cfg.PerSecond), int(cfg.Burst))}
}

// Allows reports whether the budget has room for volume, without taking it.
func (b *VolumeBudget) Allows(now time.Time, volume state.Bytes) bool {
	return b.limiter.TokensAt(now) >= float64(volume)
}

// Take takes volume from the budget and reports whether there was room.
func (b *VolumeBudget) Take(now time.Time, volume state.Bytes) bool {
	return b.limiter.AllowN(now, int(volume))
}
