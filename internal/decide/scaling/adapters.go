package scaling

import (
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

const (
	// adapterWindowMax bounds the adapters that an agent loads at once.
	adapterWindowMax = 16
	adapterWindowMin = 1.0
	// adapterCongested is how many times the shortest load time per byte a
	// load takes while too many adapters are in transit.
	adapterCongested = 2
)

// AdapterLimiter bounds the adapters that an agent loads at once. The number in
// transit across all runners that load at full speed is shared without a
// count: loads take longer while there are too many, and each agent then halves
// its window. One load always may start. It is not safe for concurrent use.
type AdapterLimiter struct {
	window float64
	// shortest is the least time per byte seen, in seconds.
	shortest float64
}

// Allows reports whether another load may start beside those in flight.
func (p *AdapterLimiter) Allows(inFlight int) bool {
	return float64(inFlight) < max(p.window, adapterWindowMin)
}

// RecordLoad learns from a load that has succeeded.
func (p *AdapterLimiter) RecordLoad(took time.Duration, size state.Bytes) {
	perByte := took.Seconds() / float64(max(size, 1))
	if p.shortest == 0 || perByte < p.shortest {
		p.shortest = perByte
	}
	if perByte > adapterCongested*p.shortest {
		p.window = max(p.window/2, adapterWindowMin)
		return
	}
	p.window = max(p.window, adapterWindowMin)
	p.window = min(p.window+1/p.window, adapterWindowMax)
}
