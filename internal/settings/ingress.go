package settings

import (
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// Ingress limits what callers can make a process hold. docs/limits.md explains the limits.
type Ingress struct {
	// MemoryShare is the fraction of the host's memory that callers' unfinished requests
	// may hold together: heads, bodies and the buffers of their connections. Default 0.12.
	MemoryShare float64 `toml:"memory_share" validate:"gt=0,max=0.5"`
	// HeadLines is the maximum number of header lines of a request. Default 8192, more than
	// a head of 16 KiB can have.
	HeadLines int `toml:"head_lines" validate:"min=32,max=100000"`
	// BodyGrace is how long a body may take before MinBodyRate counts, and how long it may
	// stall. Default 15s.
	BodyGrace state.Duration `toml:"body_grace" validate:"min_duration=1s,max_duration=10m"`
	// MinBodyRate is the minimum number of bytes of a body per second, on average after
	// BodyGrace. Default 1KiB.
	MinBodyRate state.Bytes `toml:"min_body_rate" validate:"min=1,max=1073741824"`
}

func defaultIngress() Ingress {
	return Ingress{
		MemoryShare: 0.12,
		HeadLines:   8192,
		BodyGrace:   state.Duration(15 * time.Second),
		MinBodyRate: state.KiB,
	}
}
