// Package estimate predicts the length and service time of requests from the
// history of their model and caller, and divides work into short and long.
package estimate

import (
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// Config holds the settings of an estimator. Zero values mean the defaults.
type Config struct {
	// MaxKeys bounds the (model, caller) pairs remembered; default 4096. The
	// least recently used pair is forgotten first.
	MaxKeys int
	// StartService is the service time assumed without history; default 1 s.
	// It is above the usual short request, so that an unknown model is
	// admitted cautiously, and far below a deadline, so that it is admitted.
	StartService time.Duration
	// StartTokens is the output length assumed without history; default 128.
	StartTokens int
	// StartWeight is how many observations the start value counts for;
	// default 2.
	StartWeight int
	// LongFactor is how many times its model's typical service time a
	// request must be predicted to take to count as long; default 8.
	LongFactor float64
	// LongFloor is the service time below which no request counts as long;
	// default 2 s.
	LongFloor time.Duration
}

// Key names a history.
type Key struct {
	Model  state.ModelName
	Caller state.CallerName
}

// Sample is a finished request.
type Sample struct {
	// Tokens is the output length; zero for services.
	Tokens int
	// Service is the time from the start of service to its end.
	Service time.Duration
}

// Estimate is a prediction for one request.
type Estimate struct {
	Tokens  int
	Service time.Duration
	// Long says that the request belongs to the long class.
	Long bool
	// Known says that the prediction rests on history of this caller.
	Known bool
}

// Estimator keeps histories. It is not safe for concurrent use.
type Estimator struct{ cfg Config }

// New returns an estimator without history.
func New(cfg Config) *Estimator { return &Estimator{cfg: cfg} }

// Observe adds a finished request to the history of key.
func (e *Estimator) Observe(key Key, s Sample) {}

// Estimate predicts a request. The maxTokens is the caller's own bound on the
// output length; zero means none.
func (e *Estimator) Estimate(key Key, maxTokens int) Estimate { return Estimate{} }

// LongSince reports the service time after which a running request of the
// model counts as long whatever its prediction was.
func (e *Estimator) LongSince(model state.ModelName) time.Duration { return 0 }

// LongLimit bounds the long work on one upstream.
type LongLimit struct {
	// Share of the upstream's slots that long work may take; default 0.25.
	Share float64
}

// Max returns how many of an upstream's slots long work may take: at least
// one, and never all of them unless there is only one.
func (l LongLimit) Max(slots int) int {
	share := l.Share
	if share <= 0 {
		share = 0.25
	}
	return max(1, min(int(share*float64(slots)), slots-1))
}

// Fits reports whether a further long request may start on an upstream.
func (l LongLimit) Fits(slots, runningLong int) bool { return runningLong < l.Max(slots) }
