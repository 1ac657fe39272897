// Package speed estimates how long upstreams take for the prompts of models. The time for a
// token is a default time, multiplied by a factor of the upstream and a factor of the model.
// The factor of a model is learned at all upstreams that hold it, so few requests at each of
// them are enough.
//
// Factors are averaged as logarithms. A request that has waited in a queue looks slow and one
// with a cached prompt fast, so the influence of each sample is bounded, and slow samples have
// less weight than fast ones.
package speed

import (
	"math"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/fleet"
)

const (
	// maxUpstreamFactor and maxModelFactor bound the factors and their inverses, and so the
	// effect of wrong samples.
	maxUpstreamFactor, maxModelFactor = 4, 5
	// upstreamGain is the weight of a sample in the factor of an upstream, which may become
	// slow within seconds. minModelGain is the weight in the factor of a model, which is
	// constant: its first samples are averaged.
	upstreamGain, minModelGain = 0.3, 0.05
	// maxResidual bounds the difference between the logarithms of a sample and the
	// estimate.
	maxResidual = 1.0
	// slowWeight is the weight of a sample that is slower than the estimate: it may have
	// waited in a queue. cachedWeight is the weight of a sample that is faster by more than
	// maxResidual: its prompt was probably cached.
	slowWeight, cachedWeight = 0.6, 0.1
	// decayTime is the time constant with which an upstream's factor returns to 1, so that
	// an upstream that was slow is tried again.
	decayTime = 15 * time.Second
	// minTokens is the minimum uncached length of a prompt that is measured. For shorter
	// ones, the latency and the engine's batch steps take longer than the prompt.
	minTokens fleet.Tokens = 500
)

// Upstream is the factor of an upstream. The zero value is 1.
type Upstream struct {
	log float64
	at  time.Time
}

// Model is the factor of a model. The zero value is 1.
type Model struct {
	log     float64
	samples int
}

// Factor returns the time for a prompt token of the model at the upstream, as a multiple of
// the default.
func Factor(u Upstream, m Model, now time.Time) float64 { return math.Exp(u.current(now) + m.log) }

func (u Upstream) current(now time.Time) float64 {
	return u.log * math.Exp(-max(now.Sub(u.at), 0).Seconds()/decayTime.Seconds())
}

// Sample is the measured time to the first token of a request.
type Sample struct {
	// FirstToken is the time from the send to the first token, less latency.
	FirstToken time.Duration
	// Uncached is the length of the prompt without the part that is known to be cached,
	// and Prompt its whole length.
	Uncached, Prompt fleet.Tokens
	// Alone is set if no other prompt was known to be processed at the upstream at the
	// same time, and its batch had room.
	Alone bool
}

// usable reports whether the sample shows the upstream's speed. The cached part of a prompt
// is an estimate, whose error dominates if most of the prompt is cached.
func (s Sample) usable() bool {
	return s.Alone && s.Uncached >= minTokens && 2*s.Uncached >= s.Prompt && s.FirstToken > 0
}

// Learn returns the factors of an upstream and a model, updated by a sample of both; perToken
// is the default time for a token.
func Learn(u Upstream, m Model, s Sample, perToken time.Duration, now time.Time) (Upstream, Model) {
	if !s.usable() {
		return u, m
	}
	u = Upstream{log: u.current(now), at: now}
	measured := math.Log(float64(s.FirstToken) / (float64(s.Uncached) * float64(perToken)))
	m.samples++
	gain := max(1/float64(m.samples), minModelGain)
	m.log = bound(m.log+gain*weighted(measured-u.log-m.log, gain > minModelGain), maxModelFactor)
	u.log = bound(u.log+upstreamGain*weighted(measured-u.log-m.log, false), maxUpstreamFactor)
	return u, m
}

// weighted returns a residual with its weight. The first ones of a model have full weight.
func weighted(residual float64, first bool) float64 {
	if first {
		return residual
	}
	switch {
	case residual > 0:
		return slowWeight * min(residual, maxResidual)
	case residual < -maxResidual:
		return -cachedWeight * maxResidual
	default:
		return residual
	}
}

func bound(log, factor float64) float64 {
	limit := math.Log(factor)
	return min(max(log, -limit), limit)
}
