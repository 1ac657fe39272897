package scaling

import "time"

// KeepAliveConfig holds the settings of keep-alive. Zero values mean the
// defaults.
type KeepAliveConfig struct {
	// IdleWeight is the cost of one idle accelerator second; default 1.
	IdleWeight float64
	// ColdStartWeight is the cost of one second of cold start; default 10.
	ColdStartWeight float64
	// Min and Max bound the keep-alive; defaults 10 s and 1 h.
	Min, Max time.Duration
	// Start is the keep-alive without history; default 2 min.
	Start time.Duration
	// Hysteresis is the relative gain that a new value must bring; default
	// 0.1.
	Hysteresis float64
	// Memory is how many gaps a history counts for; default 200.
	Memory float64
}

// KeepAlive derives how long an idle replica stays loaded from the gaps
// between requests. Its size is fixed. It is not safe for concurrent use.
type KeepAlive struct{ cfg KeepAliveConfig }

// NewKeepAlive returns a keep-alive without history.
func NewKeepAlive(cfg KeepAliveConfig) *KeepAlive { return &KeepAlive{cfg: cfg} }

// Observe adds a gap: the time from the end of the last request of a replica
// to the next request.
func (k *KeepAlive) Observe(gap time.Duration) {}

// Value returns how long an idle replica with the given load time stays.
func (k *KeepAlive) Value(load time.Duration) time.Duration { return 0 }
