package rpc

import "github.com/lagoonvalve/lagoonvalve/internal/state"

// AnswerObservation is what an upstream has said of itself in an answer: a rate limit or
// none, and whether it leaves.
type AnswerObservation struct {
	Upstream state.UpstreamName `json:"u"`
	// Started is the upstream's start time in Unix milliseconds.
	Started int64 `json:"s"`
	// Limited says that there is a limit. PerSecond is how many requests a second
	// the upstream takes from all gateways together.
	Limited   bool    `json:"l,omitempty"`
	PerSecond float64 `json:"r,omitempty"`
	// Leaving says that this start of the upstream leaves.
	Leaving bool `json:"leaving,omitempty"`
	// GrantedBy is the term of the controller that has granted the sender's latest
	// permits for the upstream, zero if they are of the sender's own part.
	// GrantedUntil is the time until the last of them is valid, and EarlierUntil the
	// same for permits that another controller has granted before.
	GrantedBy    state.FencingToken `json:"gb,omitempty"`
	GrantedUntil state.Duration     `json:"gu,omitempty"`
	EarlierUntil state.Duration     `json:"eu,omitempty"`
	// Age is the time since the request of that answer was sent.
	Age state.Duration `json:"age"`
}

// AnswersParams reports what is new in the answers of upstreams to the controller, which
// reports it to all gateways.
type AnswersParams struct {
	Gateway string              `json:"gateway"`
	Answers []AnswerObservation `json:"answers"`
}

// AnswersResult answers AnswersParams.
type AnswersResult struct{}

// PermitParams requests a permit to send one request to an upstream with a rate
// limit.
type PermitParams struct {
	Gateway string            `json:"gateway"`
	Limit   AnswerObservation `json:"limit"`
	// MaxWait is how long the request may wait for the permit to become valid.
	MaxWait state.Duration `json:"wait"`
}

// PermitResult answers PermitParams.
type PermitResult struct {
	Granted bool `json:"ok,omitempty"`
	// Term is that of the controller.
	Term state.FencingToken `json:"term,omitempty"`
	// Delay is the time until the permit becomes valid, or until one could have if
	// none is granted.
	Delay state.Duration `json:"delay,omitempty"`
}
