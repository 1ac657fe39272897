// Package estimate predicts the output length and service time of requests from the
// history of their model and caller, and classifies requests as short or long.
package estimate

import (
	"container/list"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/defaults"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// Config holds the settings of an estimator. Zero values mean the defaults.
type Config struct {
	// MaxKeys is the maximum number of (model, caller) pairs with a history;
	// default 4096. The least recently used pair is evicted first.
	MaxKeys int
	// InitialService is the service time assumed without history; default
	// 500 ms. Admission multiplies it by three: with a higher value, it would
	// refuse all requests with short deadlines, and no history would ever be
	// collected.
	InitialService time.Duration
	// InitialTokens is the output length assumed without history; default 128.
	InitialTokens int
	// InitialWeight is how many observations the initial value counts for;
	// default 2.
	InitialWeight int
	// LongFactor is the multiple of its model's median service time above which
	// a request counts as long; default 8.
	LongFactor float64
	// LongFloor is the service time below which no request counts as long;
	// default 2 s.
	LongFloor time.Duration
	// Smoothing is the weight of a new observation; default 0.1.
	Smoothing float64
}

func (c Config) withDefaults() Config {
	defaults.Set(&c.MaxKeys, 4096)
	defaults.Set(&c.InitialService, 500*time.Millisecond)
	defaults.Set(&c.InitialTokens, 128)
	defaults.Set(&c.InitialWeight, 2)
	defaults.Set(&c.LongFactor, 8)
	defaults.Set(&c.LongFloor, 2*time.Second)
	defaults.Set(&c.Smoothing, 0.1)
	return c
}

// Key identifies a history.
type Key struct {
	Model  state.ModelName
	Caller state.CallerName
}

// Sample holds the measurements of a finished request.
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
	// Long is set if the request belongs to the long class.
	Long bool
	// Known is set if the prediction is based on enough history of this caller.
	Known bool
}

// history holds moving averages over the finished requests of one key.
type history struct {
	key     Key
	count   int
	tokens  float64
	service float64
	// long is the share of long requests.
	long float64
}

// Estimator predicts requests from the histories that it keeps. It is not safe
// for concurrent use.
type Estimator struct {
	cfg     Config
	byKey   map[Key]*list.Element
	recency *list.List
	// modelMedians holds the median service time of each model, in seconds.
	modelMedians map[state.ModelName]*medianTracker
	// modelsByAge lists the keys of modelMedians, oldest first.
	modelsByAge []state.ModelName
}

// New returns an estimator without history.
func New(cfg Config) *Estimator {
	return &Estimator{
		cfg:          cfg.withDefaults(),
		byKey:        make(map[Key]*list.Element),
		recency:      list.New(),
		modelMedians: make(map[state.ModelName]*medianTracker),
	}
}

// Observe adds a finished request to the history of key.
func (e *Estimator) Observe(key Key, s Sample) {
	long := 0.0
	if s.Service > e.LongThreshold(key.Model) {
		long = 1
	}
	e.observeModelMedian(key.Model, s.Service)
	h := e.touch(key)
	h.count++
	// The first observations are averaged evenly; later ones are weighted by
	// the smoothing.
	weight := max(e.cfg.Smoothing, 1/float64(h.count))
	h.long += weight * (long - h.long)
	if long == 1 && h.long < longCallerShare {
		// A rare long request of a caller with mostly short ones must not
		// raise the prediction for the short ones.
		return
	}
	h.tokens += weight * (float64(s.Tokens) - h.tokens)
	h.service += weight * (s.Service.Seconds() - h.service)
}

// longCallerShare is the share of long requests from which a caller's long requests
// also count for its predictions.
const longCallerShare = 0.5

func (e *Estimator) observeModelMedian(model state.ModelName, service time.Duration) {
	m, ok := e.modelMedians[model]
	if !ok {
		if len(e.modelMedians) >= e.cfg.MaxKeys {
			delete(e.modelMedians, e.modelsByAge[0])
			e.modelsByAge = e.modelsByAge[1:]
		}
		e.modelsByAge = append(e.modelsByAge, model)
		m = &medianTracker{}
		e.modelMedians[model] = m
	}
	m.add(service.Seconds())
}

func (e *Estimator) touch(key Key) *history {
	if element, ok := e.byKey[key]; ok {
		e.recency.MoveToFront(element)
		return element.Value.(*history)
	}
	if e.recency.Len() >= e.cfg.MaxKeys {
		oldest := e.recency.Back()
		delete(e.byKey, oldest.Value.(*history).key)
		e.recency.Remove(oldest)
	}
	h := &history{key: key}
	e.byKey[key] = e.recency.PushFront(h)
	return h
}

// Estimate predicts a request. maxTokens is the caller's limit on the output length;
// zero means no limit.
func (e *Estimator) Estimate(key Key, maxTokens int) Estimate {
	out := Estimate{Tokens: e.cfg.InitialTokens, Service: e.cfg.InitialService}
	if m, ok := e.modelMedians[key.Model]; ok && m.count >= e.cfg.InitialWeight {
		out.Service = seconds(m.value)
	}
	if element, ok := e.byKey[key]; ok {
		e.blend(&out, element.Value.(*history))
	}
	if maxTokens > 0 && maxTokens < out.Tokens {
		out.Service = time.Duration(float64(out.Service) * float64(maxTokens) / float64(out.Tokens))
		out.Tokens = maxTokens
	}
	out.Long = out.Service > e.LongThreshold(key.Model)
	return out
}

// blend moves the initial values towards those of the history. The more observations
// the history has, the more it counts.
func (e *Estimator) blend(out *Estimate, h *history) {
	share := float64(h.count) / float64(h.count+e.cfg.InitialWeight)
	out.Tokens += int(share * (h.tokens - float64(out.Tokens)))
	out.Tokens = max(out.Tokens, 1)
	out.Service += time.Duration(share * float64(seconds(h.service)-out.Service))
	out.Known = h.count >= e.cfg.InitialWeight
}

// LongThreshold returns the service time after which a running request of the model
// counts as long, whatever was predicted.
func (e *Estimator) LongThreshold(model state.ModelName) time.Duration {
	median := e.cfg.InitialService
	if m, ok := e.modelMedians[model]; ok {
		median = seconds(m.value)
	}
	return max(e.cfg.LongFloor, time.Duration(e.cfg.LongFactor*float64(median)))
}

// Len returns the number of histories.
func (e *Estimator) Len() int { return e.recency.Len() }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// medianTracker approximates the median of a sequence in constant memory. Each sample
// moves the value up or down by at most a share of it, so rare long requests affect it
// less than a mean.
type medianTracker struct {
	value float64
	count int
}

func (m *medianTracker) add(x float64) { m.addStep(x, 0.05) }

// addStep moves the value towards x by at most a share of it. The share is the inverse
// of the number of samples, and at least minShare.
func (m *medianTracker) addStep(x, minShare float64) {
	m.count++
	if m.count == 1 {
		m.value = x
		return
	}
	step := m.value * max(minShare, 1/float64(m.count))
	if x > m.value {
		m.value += min(step, x-m.value)
	} else {
		m.value -= min(step, m.value-x)
	}
}

// LongLimit limits the number of long requests that run on one upstream.
type LongLimit struct {
	// Share is the share of the upstream's slots that long requests may occupy;
	// default 0.25.
	Share float64
}

// Max returns how many of an upstream's slots long requests may occupy: at least one,
// and never all of them unless there is only one.
func (l LongLimit) Max(slots int) int {
	share := l.Share
	if share <= 0 {
		share = 0.25
	}
	return max(1, min(int(share*float64(slots)), slots-1))
}

// Fits reports whether another long request may start on an upstream.
func (l LongLimit) Fits(slots, runningLong int) bool { return runningLong < l.Max(slots) }
