package scaling

import (
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

const (
	// adapterWindowMax and adapterWindowMin bound the number of adapters that
	// an agent loads at once.
	adapterWindowMax = 16
	adapterWindowMin = 1.0
	// adapterCongestionFactor is the ratio of a load's time per byte to the
	// least one seen above which the load counts as congested.
	adapterCongestionFactor = 2
)

// AdapterLimiter limits how many adapters an agent loads at once. The runners
// share the bandwidth for adapters without a common counter: too many
// concurrent loads take longer each, and every agent that observes this halves
// its window (additive increase, multiplicative decrease). The window is never
// below one load. It is not safe for concurrent use.
type AdapterLimiter struct {
	window float64
	// minPerByte is the least time per byte seen, in seconds.
	minPerByte float64
}

// Allows reports whether another load may start while inFlight are running.
func (p *AdapterLimiter) Allows(inFlight int) bool {
	return float64(inFlight) < max(p.window, adapterWindowMin)
}

// RecordLoad adjusts the window to the duration of a successful load.
func (p *AdapterLimiter) RecordLoad(took time.Duration, size state.Bytes) {
	perByte := took.Seconds() / float64(max(size, 1))
	if p.minPerByte == 0 || perByte < p.minPerByte {
		p.minPerByte = perByte
	}
	if perByte > adapterCongestionFactor*p.minPerByte {
		p.window = max(p.window/2, adapterWindowMin)
		return
	}
	p.window = max(p.window, adapterWindowMin)
	p.window = min(p.window+1/p.window, adapterWindowMax)
}
