package rpc

import "github.com/lagoonvalve/lagoonvalve/internal/state"

// LostRun is a request that was running in an upstream when it crashed.
type LostRun struct {
	// Parts identify the parts of its prompt that other requests may share, in
	// their order.
	Parts []uint64 `json:"p,omitempty"`
	// Content identifies the content of the whole request.
	Content uint64 `json:"c"`
}

// CrashReport is a crash of an upstream, with the sender's requests that were
// running in it. Requests whose answer was being written are left out.
type CrashReport struct {
	Upstream state.UpstreamName `json:"u"`
	// Started is the upstream's start time in Unix milliseconds.
	Started int64 `json:"s"`
	// Age is the time since the crash.
	Age  state.Duration `json:"age"`
	Runs []LostRun      `json:"runs"`
}

// SoundKey is a key of ResidencyResult.Suspects for which an upstream has written
// an answer.
type SoundKey struct {
	Key uint64 `json:"k"`
	// Age is the time since the last such answer.
	Age state.Duration `json:"age"`
}

// QuarantinedKey is a prompt part or the content of a request that is not sent to
// upstreams.
type QuarantinedKey struct {
	Key uint64 `json:"k"`
	// Remaining is the time to the end of the quarantine; zero if it has been
	// lifted.
	Remaining state.Duration `json:"r,omitempty"`
}

// CrashesParams reports crashes of upstreams to the controller, and what speaks for
// or against the suspects. Repeated reports are merged.
type CrashesParams struct {
	Gateway string        `json:"gateway"`
	Crashes []CrashReport `json:"crashes,omitempty"`
	Sound   []SoundKey    `json:"sound,omitempty"`
	// Quarantined lists the quarantines known to the sender, for a new
	// controller.
	Quarantined []QuarantinedKey `json:"quarantined,omitempty"`
}

// CrashesResult answers CrashesParams.
type CrashesResult struct{}
