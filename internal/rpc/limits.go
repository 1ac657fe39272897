package rpc

import "github.com/lagoonvalve/lagoonvalve/internal/state"

// LimitObservation is the rate limit that an upstream named in an answer, or that it
// named none.
type LimitObservation struct {
	Upstream state.UpstreamName `json:"u"`
	// Started is the upstream's start time in Unix milliseconds.
	Started int64 `json:"s"`
	// Limited says that there is a limit. PerSecond is how many requests a second
	// the upstream takes from all gateways together.
	Limited   bool    `json:"l,omitempty"`
	PerSecond float64 `json:"r,omitempty"`
	// Age is the time since the request of that answer was sent.
	Age state.Duration `json:"age"`
}

// LimitsParams reports changes of rate limits to the controller, which reports them
// to all gateways.
type LimitsParams struct {
	Gateway string             `json:"gateway"`
	Limits  []LimitObservation `json:"limits"`
}

// LimitsResult answers LimitsParams.
type LimitsResult struct{}

// PermitParams requests a permit to send one request to an upstream with a rate
// limit.
type PermitParams struct {
	Gateway string           `json:"gateway"`
	Limit   LimitObservation `json:"limit"`
	// MaxWait is how long the request may wait for the permit to become valid.
	MaxWait state.Duration `json:"wait"`
}

// PermitResult answers PermitParams.
type PermitResult struct {
	Granted bool `json:"ok,omitempty"`
	// Delay is the time until the permit becomes valid, or until one could have if
	// none is granted.
	Delay state.Duration `json:"delay,omitempty"`
}
