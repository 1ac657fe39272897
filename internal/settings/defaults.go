package settings

import (
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// DefaultEntry returns the settings that an entry uses for keys missing from its
// file.
func DefaultEntry() Entry {
	return Entry{
		Common: defaultCommon(),
		Limits: EntryLimits{
			BodyBytes:                 16 * state.MiB,
			QueueRequests:             4096,
			QueueBytes:                64 * state.MiB,
			ModelInFlight:             2048,
			CallerInFlight:            512,
			DefaultDeadline:           state.Duration(30 * time.Second),
			MaxDeadline:               state.Duration(10 * time.Minute),
			StarvationBound:           16,
			CrossRegionBytesPerSecond: state.MiB,
			LogAppendsPerSecond:       20,
			StoreLoadsPerSecond:       3,
			StoreLoadsAtOnce:          4,
		},
		Weights: EntryWeights{Weights: defaultWeights(), TailLatency: 10},
	}
}

// defaultWeights returns the ratio with which the scaling policies were
// measured.
func defaultWeights() Weights { return Weights{Idle: 1, ColdStart: 10} }

// DefaultAgent returns the settings that an agent uses for keys missing from its
// file.
func DefaultAgent() Agent {
	return Agent{
		Common: defaultCommon(),
		Upstream: AgentUpstream{
			Kind:        state.ModelRunner,
			Fencing:     state.FencingIgnored,
			Concurrency: 16,
		},
		Limits: AgentLimits{
			QueueRequests:   256,
			QueueBytes:      64 * state.MiB,
			BodyBytes:       16 * state.MiB,
			LongShare:       0.5,
			StarvationBound: 16,
		},
		Weights: defaultWeights(),
	}
}

func defaultCommon() Common {
	return Common{
		Telemetry: Telemetry{
			LogFormat:    "text",
			LogLevel:     "info",
			OTLPInterval: state.Duration(15 * time.Second),
			TopNames:     50,
		},
		Ingress: defaultIngress(),
		Shutdown: Shutdown{
			DrainTimeout: state.Duration(30 * time.Second),
			StopTimeout:  state.Duration(5 * time.Second),
		},
	}
}
