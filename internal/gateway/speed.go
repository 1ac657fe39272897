package gateway

import (
	"sync"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/decide/routing"
	"github.com/lagoonvalve/lagoonvalve/internal/decide/speed"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// maxModelSpeeds bounds the models whose speed is kept.
const maxModelSpeeds = 1024

// modelSpeeds holds the measured prefill times of models. Its methods may be called from any
// goroutine.
type modelSpeeds struct {
	mu      sync.Mutex
	byModel map[state.ModelName]speed.Model
}

func newModelSpeeds() *modelSpeeds {
	return &modelSpeeds{byModel: make(map[state.ModelName]speed.Model)}
}

func (s *modelSpeeds) of(model state.ModelName) speed.Model {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byModel[model]
}

// update replaces the speed of a model by the result of learn. It forgets all models before
// it exceeds maxModelSpeeds.
func (s *modelSpeeds) update(model state.ModelName, learn func(speed.Model) speed.Model) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before, ok := s.byModel[model]
	if !ok && len(s.byModel) >= maxModelSpeeds {
		clear(s.byModel)
	}
	s.byModel[model] = learn(before)
}

// speedOfModel returns the speed of a model, the default one if speeds are not measured.
func (g *Gateway) speedOfModel(model state.ModelName) speed.Model {
	if !g.opts.MeasuredSpeed {
		return speed.Model{}
	}
	return g.modelSpeeds.of(model)
}

// prefillPerToken returns the expected prefill time of one prompt token of a model at an
// upstream.
func (g *Gateway) prefillPerToken(m *member, model speed.Model, now time.Time) time.Duration {
	if !g.opts.MeasuredSpeed {
		return g.selection.PrefillPerToken
	}
	return time.Duration(speed.Factor(m.stats.currentSpeed(), model, now) * float64(g.selection.PrefillPerToken))
}

// isAlone reports whether no other prompt is known to be processed at the upstream, and its
// batch has room. It has to be called before the request's own prompt counts as pending.
func (x *exchange) isAlone(m *member) bool {
	if !x.gateway.opts.MeasuredSpeed || m.stats.pendingPrefill(time.Now()) > 0 {
		return false
	}
	others := x.otherRunning * max(int(x.gateway.gatewayCount.Load()), 1)
	return m.upstream.Slots <= 0 || others < m.upstream.Slots
}

// learnSpeed updates the speeds of the upstream and the model by the time to the first event
// of a stream.
func (x *exchange) learnSpeed(now time.Time) {
	g, m := x.gateway, x.servedBy
	if !x.alone || m == nil || x.call.Model == "" {
		return
	}
	took := now.Sub(x.ranked.at) - time.Duration(x.otherRunning)*g.selection.PerRunningRequest
	switch m.locality {
	case routing.SameRegion:
		took -= g.selection.SameRegionCost
	case routing.OtherRegion:
		took -= g.selection.OtherRegionCost
	}
	// Prompts that were sent since may have been processed first.
	alone := m.stats.pendingPrefill(now) == 0
	sample := speed.Sample{FirstToken: took, Uncached: x.uncachedTokens, Prompt: x.call.Prompt, Alone: alone}
	g.modelSpeeds.update(x.call.Model, func(model speed.Model) speed.Model {
		m.stats.mu.Lock()
		defer m.stats.mu.Unlock()
		m.stats.speed, model = speed.Learn(m.stats.speed, model, sample, g.selection.PrefillPerToken, now)
		return model
	})
}

func (s *upstreamStats) currentSpeed() speed.Upstream {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.speed
}
