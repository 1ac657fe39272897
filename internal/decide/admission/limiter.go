package admission

import (
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/defaults"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
	"github.com/lagoonvalve/lagoonvalve/internal/verdict"
)

// LimiterConfig bounds requests in flight (waiting and running) at one entry.
type LimiterConfig struct {
	// PerCaller bounds the requests of a caller without a limit of its own;
	// default 256.
	PerCaller int
	// PerModel bounds the requests for a model; default 1024.
	PerModel int
	// RetryAfter is the retry delay that refusals give to callers; default 1 s.
	RetryAfter time.Duration
}

// Limiter counts requests in flight by caller and by model. It is not safe
// for concurrent use.
type Limiter struct {
	cfg     LimiterConfig
	callers map[state.CallerName]int
	models  map[state.ModelName]int
}

// NewLimiter returns a limiter with nothing in flight.
func NewLimiter(cfg LimiterConfig) *Limiter {
	l := &Limiter{callers: make(map[state.CallerName]int), models: make(map[state.ModelName]int)}
	l.Configure(cfg)
	return l
}

// Configure changes the limits. Requests in flight stay counted.
func (l *Limiter) Configure(cfg LimiterConfig) {
	defaults.Set(&cfg.PerCaller, 256)
	defaults.Set(&cfg.PerModel, 1024)
	defaults.Set(&cfg.RetryAfter, time.Second)
	l.cfg = cfg
}

// Acquire counts a request, or returns a refusal if the caller or the model
// is at its limit. callerMax is the caller's own limit; zero or less means
// PerCaller.
func (l *Limiter) Acquire(caller state.CallerName, callerMax int, model state.ModelName) *verdict.Verdict {
	if callerMax <= 0 {
		callerMax = l.cfg.PerCaller
	}
	if l.callers[caller] >= callerMax {
		return verdict.Refuse(verdict.ReasonCallerLimit, "caller has too many requests in flight").
			WithRetryAfter(l.cfg.RetryAfter)
	}
	if l.models[model] >= l.cfg.PerModel {
		return verdict.Refuse(verdict.ReasonModelLimit, "model has too many requests in flight").
			WithRetryAfter(l.cfg.RetryAfter)
	}
	l.callers[caller]++
	l.models[model]++
	return nil
}

// Release stops counting a request that Acquire counted.
func (l *Limiter) Release(caller state.CallerName, model state.ModelName) {
	decrement(l.callers, caller)
	decrement(l.models, model)
}

// decrement lowers a count and deletes its key at zero.
func decrement[K comparable](counts map[K]int, key K) {
	if counts[key] <= 1 {
		delete(counts, key)
		return
	}
	counts[key]--
}
