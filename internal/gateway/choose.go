package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/decide/selection"
	"github.com/lagoonvalve/lagoonvalve/internal/fleet"
	"github.com/lagoonvalve/lagoonvalve/internal/verdict"
)

const (
	// holdShare is the part of a caller's patience that a request may wait for
	// a load of its model or adapter.
	holdShare = 0.7
	// minSilence, silentObjectives and silentGaps give the silence after which
	// callers leave a stream: the longest of a time, a number of the route's
	// objectives and a number of its pauses.
	minSilence       = 2 * time.Second
	silentObjectives = 4
	silentGaps       = 8
	// loadRetry is when callers may come back for a model that no upstream
	// can load in time.
	loadRetry = 500 * time.Millisecond
)

// place returns an upstream for the next sending. It waits for one while the
// model or adapter is being loaded.
func (x *exchange) place(ctx context.Context) (*member, *verdict.Verdict) {
	began := time.Time{}
	defer func() {
		if !began.IsZero() {
			x.gateway.wanted.wait(x.call.Target, -1)
			x.waited += time.Since(began)
		}
	}()
	for {
		v := x.gateway.view.Load()
		if m := x.choose(v); m != nil {
			return m, nil
		}
		now := time.Now()
		limit := x.holdUntil(v)
		if !now.Before(limit) {
			x.gateway.wanted.refuse(x.call.Target)
			return nil, verdict.Refuse(verdict.ReasonNoReplica, "no upstream holds the model").WithRetryAfter(loadRetry)
		}
		if began.IsZero() {
			began = now
			x.gateway.wanted.wait(x.call.Target, 1)
		}
		timer := time.NewTimer(limit.Sub(now))
		select {
		case <-v.changed:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
		if ctx.Err() != nil {
			return nil, x.ended(ctx)
		}
	}
}

// holdUntil returns until when the request may wait. There is no use in waiting
// for a model that no upstream can load before the deadline.
func (x *exchange) holdUntil(v *view) time.Time {
	limit := x.began.Add(time.Duration(holdShare * float64(x.patience())))
	service := v.manifest.Services[x.service]
	if service == nil || service.Engine == nil || x.call.Model == "" {
		return limit
	}
	spec, known := service.Engine.Models[x.call.Model]
	if !known {
		return x.began
	}
	if x.waited > 0 || held(v.service(x.service), fleet.Target{Model: spec.Name}) {
		return limit
	}
	soonest := spec.FromStore
	for _, m := range v.service(x.service) {
		soonest = min(soonest, m.upstream.LoadTime(spec))
	}
	if x.began.Add(soonest).After(limit) {
		return x.began
	}
	return limit
}

// patience returns how long the caller is likely to wait for the first byte.
// Callers of streams leave after a long silence.
func (x *exchange) patience() time.Duration {
	patience := x.deadline.Sub(x.began)
	if x.route.Kind != fleet.Stream {
		return patience
	}
	silence := max(minSilence, silentObjectives*x.route.Objective, silentGaps*x.route.MaxGap)
	return min(patience, silence)
}

func held(members []*member, t fleet.Target) bool {
	return slices.ContainsFunc(members, func(m *member) bool { return fleet.Holds(m.replicas, t) })
}

// choose returns the upstream with the least expected cost, or nil if none can
// take the request. Upstreams that failed lately are used only if no other
// holds the target.
func (x *exchange) choose(v *view) *member {
	now := time.Now()
	members := v.service(x.service)
	candidates := make([]selection.Candidate, 0, len(members))
	chosen := make([]*member, 0, len(members))
	for _, m := range members {
		if !fleet.Holds(m.replicas, x.call.Target) || slices.Contains(x.excluded, m.upstream.Name) {
			continue
		}
		candidates = append(candidates, selection.Candidate{
			Hash:           m.hash,
			Locality:       m.locality,
			Running:        int(m.load.running.Load()),
			PendingPrefill: m.load.toRead(now),
			Cached:         x.gateway.prompts.cached(m.load.index, x.prompt, x.call.Parts),
			Ejected:        m.load.ejected(now),
		})
		chosen = append(chosen, m)
	}
	i := x.gateway.selection.Select(candidates, x.prompt.request(&x.call))
	if i < 0 {
		return nil
	}
	x.unread = max(x.call.Prompt-candidates[i].Cached, 0)
	return chosen[i]
}
