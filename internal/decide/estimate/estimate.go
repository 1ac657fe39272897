// Package estimate predicts the length and service time of requests from the
// history of their model and caller, and divides work into short and long.
package estimate

import (
	"container/list"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/defaults"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// Config holds the settings of an estimator. Zero values mean the defaults.
type Config struct {
	// MaxKeys bounds the (model, caller) pairs remembered; default 4096. The
	// least recently used pair is forgotten first.
	MaxKeys int
	// StartService is the service time assumed without history; default
	// 500 ms. Admission counts it threefold; a higher value would refuse all
	// requests with short deadlines, and nothing would ever be learned.
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
	// Smoothing is the weight of a new observation; default 0.1.
	Smoothing float64
}

func (c Config) withDefaults() Config {
	defaults.Set(&c.MaxKeys, 4096)
	defaults.Set(&c.StartService, 500*time.Millisecond)
	defaults.Set(&c.StartTokens, 128)
	defaults.Set(&c.StartWeight, 2)
	defaults.Set(&c.LongFactor, 8)
	defaults.Set(&c.LongFloor, 2*time.Second)
	defaults.Set(&c.Smoothing, 0.1)
	return c
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

// history is a decaying summary of the finished requests of one key.
type history struct {
	key     Key
	count   int
	tokens  float64
	service float64
	// long is the share of the requests that were long.
	long float64
}

// Estimator keeps histories. It is not safe for concurrent use.
type Estimator struct {
	cfg     Config
	byKey   map[Key]*list.Element
	recency *list.List
	// typical is the median service time by model, in seconds.
	typical map[state.ModelName]*medianTracker
	// models lists the keys of typical, oldest first.
	models []state.ModelName
}

// New returns an estimator without history.
func New(cfg Config) *Estimator {
	return &Estimator{
		cfg:     cfg.withDefaults(),
		byKey:   make(map[Key]*list.Element),
		recency: list.New(),
		typical: make(map[state.ModelName]*medianTracker),
	}
}

// Observe adds a finished request to the history of key.
func (e *Estimator) Observe(key Key, s Sample) {
	long := 0.0
	if s.Service > e.LongThreshold(key.Model) {
		long = 1
	}
	e.observeTypical(key.Model, s.Service)
	h := e.touch(key)
	h.count++
	// The first observations count fully, later ones by the smoothing.
	weight := max(e.cfg.Smoothing, 1/float64(h.count))
	h.long += weight * (long - h.long)
	if long == 1 && h.long < longCaller {
		// A rare long request of a short caller must not raise the
		// prediction of all its short ones.
		return
	}
	h.tokens += weight * (float64(s.Tokens) - h.tokens)
	h.service += weight * (s.Service.Seconds() - h.service)
}

// longCaller is the share of long requests from which a caller's requests are
// predicted to be long.
const longCaller = 0.5

func (e *Estimator) observeTypical(model state.ModelName, service time.Duration) {
	m, ok := e.typical[model]
	if !ok {
		if len(e.typical) >= e.cfg.MaxKeys {
			delete(e.typical, e.models[0])
			e.models = e.models[1:]
		}
		e.models = append(e.models, model)
		m = &medianTracker{}
		e.typical[model] = m
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

// Estimate predicts a request. The maxTokens is the caller's own bound on the
// output length; zero means none.
func (e *Estimator) Estimate(key Key, maxTokens int) Estimate {
	out := Estimate{Tokens: e.cfg.StartTokens, Service: e.cfg.StartService}
	if m, ok := e.typical[key.Model]; ok && m.count >= e.cfg.StartWeight {
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

// blend moves the start values towards the history by its count.
func (e *Estimator) blend(out *Estimate, h *history) {
	share := float64(h.count) / float64(h.count+e.cfg.StartWeight)
	out.Tokens += int(share * (h.tokens - float64(out.Tokens)))
	out.Tokens = max(out.Tokens, 1)
	out.Service += time.Duration(share * float64(seconds(h.service)-out.Service))
	out.Known = h.count >= e.cfg.StartWeight
}

// LongThreshold reports the service time after which a running request of the
// model counts as long whatever its prediction was.
func (e *Estimator) LongThreshold(model state.ModelName) time.Duration {
	typical := e.cfg.StartService
	if m, ok := e.typical[model]; ok {
		typical = seconds(m.value)
	}
	return max(e.cfg.LongFloor, time.Duration(e.cfg.LongFactor*float64(typical)))
}

// Len counts the histories kept.
func (e *Estimator) Len() int { return e.recency.Len() }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// medianTracker follows the median of a sequence in constant memory: it moves
// up or down by a share of its value, so that rare long requests do not pull
// it as they pull a mean.
type medianTracker struct {
	value float64
	count int
}

func (m *medianTracker) add(x float64) { m.addStep(x, 0.05) }

// addStep moves by at least the share least of the value.
func (m *medianTracker) addStep(x, least float64) {
	m.count++
	if m.count == 1 {
		m.value = x
		return
	}
	step := m.value * max(least, 1/float64(m.count))
	if x > m.value {
		m.value += min(step, x-m.value)
	} else {
		m.value -= min(step, m.value-x)
	}
}

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
