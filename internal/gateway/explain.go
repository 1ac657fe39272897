package gateway

import (
	"context"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/boottime"
	"github.com/lagoonvalve/lagoonvalve/internal/decide/access"
	"github.com/lagoonvalve/lagoonvalve/internal/decide/quarantine"
	"github.com/lagoonvalve/lagoonvalve/internal/fleet"
	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
	"github.com/lagoonvalve/lagoonvalve/internal/verdict"
)

// maxExplainedUpstreams bounds the upstreams of an explanation.
const maxExplainedUpstreams = 256

// Explain says what would become of a request now. It sends nothing and changes nothing.
// The error is a verdict if the parameters name something that does not exist.
func (g *Gateway) Explain(_ context.Context, params rpc.ExplainParams) (rpc.ExplainResult, error) {
	v, now := g.view.Load(), time.Now()
	result := rpc.ExplainResult{Gateway: g.opts.Name, DataCentre: g.opts.DataCentre, Ready: g.Ready()}
	result.Ages, result.Notes = g.explainState(now)
	if v.manifest == nil {
		result.Notes = append(result.Notes, "no manifest has been read: all requests are refused")
		result.Refusal = explainedRefusal(verdict.Refuse(verdict.ReasonNotReady, "no manifest has been read").WithRetryAfter(notReadyRetryAfter))
		return result, nil
	}
	result.Manifest = uint64(v.manifest.Version)
	x, err := g.explainedExchange(v.manifest, params, now)
	if err != nil {
		return rpc.ExplainResult{}, err
	}
	result.Route, result.Service, result.Priority = x.route.Name, x.service, x.priority
	result.Deadline, result.Team = state.Duration(x.deadline.Sub(now)), x.teamName()
	result.Services = make(map[state.ServiceName]float64, len(x.route.Services))
	for _, s := range x.route.Services {
		result.Services[s.Service] = s.Weight
	}
	if tokens, age, ok := g.quotas.left(x.teamName()); ok {
		result.Quota = &rpc.ExplainedQuota{Tokens: tokens, Age: state.Duration(age)}
	} else if x.team != nil && x.team.Quota.Limited() {
		result.Notes = append(result.Notes, "the quota of the team is not known here: the request asks the controller first, and is refused without an answer")
	}
	if params.Team != "" && x.team == nil {
		result.Notes = append(result.Notes, "the route needs no key: the team is not used")
	}
	if refusal := x.explainAdmission(now); refusal != nil {
		result.Refusal = explainedRefusal(refusal)
	}
	x.explainChoice(v, now, &result)
	return result, nil
}

// explainState returns the ages of the inputs, and notes on what the gateway lacks.
func (g *Gateway) explainState(now time.Time) (ages rpc.ExplainedAges, notes []string) {
	since := func(at, now time.Time) *state.Duration {
		if at.IsZero() {
			return nil
		}
		age := state.Duration(max(now.Sub(at), 0))
		return &age
	}
	ages.Manifest = since(*g.manifestConfirmedAt.Load(), boottime.Now())
	read := *g.lastStoreRead.Load()
	if relayed := *g.relayed.registryReadAt.Load(); relayed.After(read) {
		read = relayed
	}
	ages.Registry = since(read, now)
	if answered := g.controllerAnsweredAt.Load(); answered != nil {
		ages.Residency = since(*answered, now)
	}
	ages.Loads = since(g.spillover.loadsFrom(), boottime.Now())
	if ages.Residency == nil || ages.Residency.Std() > residencyTTL {
		notes = append(notes, "out of touch with the controller: what upstreams hold is taken from their own entries")
	}
	if !g.Ready() {
		notes = append(notes, "the gateway is not ready: load balancers send it no requests")
	}
	return ages, notes
}

// explainedExchange returns the request that the parameters describe.
func (g *Gateway) explainedExchange(m *fleet.Manifest, params rpc.ExplainParams, now time.Time) (*exchange, error) {
	x := &exchange{gateway: g, explained: true, began: now}
	x.call = fleet.RequestInfo{
		Target: fleet.Target{Model: params.Model, Adapter: params.Adapter},
		Prompt: fleet.Tokens(params.Prompt), MaxAnswer: fleet.Tokens(params.MaxAnswer),
		Patience: params.Deadline.Std(),
	}
	if params.Part != 0 {
		// The last part of a prompt is specific to the request.
		own := max(params.Prompt-params.PartTokens, 0)
		x.call.Parts = []fleet.PromptPart{{ID: params.Part, Tokens: fleet.Tokens(params.PartTokens)}, {Tokens: fleet.Tokens(own)}}
		x.keys.Parts = []quarantine.Key{quarantine.Key(params.Part)}
	}
	x.prompt = newPrompt(&x.call)
	if err := x.explainRoute(m, params); err != nil {
		return nil, err
	}
	team := m.Teams()[params.Team]
	if params.Team != "" && team == nil {
		return nil, verdict.Refuse(verdict.ReasonNotFound, "no team "+string(params.Team))
	}
	if x.needsKey = m.HasTeams() && !x.route.Public; !x.needsKey {
		team = nil
	}
	x.setTeam(team)
	if params.Priority != nil {
		x.priority = *params.Priority
	}
	x.setDeadline()
	if kind, ok := kindOf(m, x.service, x.call.Model); ok {
		x.spill.kind = kind
	}
	if params.Draw != nil {
		x.spill.draw = *params.Draw
	} else {
		x.spill.draw = g.spillover.typicalDraw(x.spill.kind, g.view.Load().upstreamsOf(x.spill.kind), x.deadline.Sub(now), now)
	}
	return x, nil
}

// explainRoute sets the route and the service of the request.
func (x *exchange) explainRoute(m *fleet.Manifest, params rpc.ExplainParams) error {
	x.service = params.Service
	if params.Host != "" || params.Path != "" {
		if x.route = m.Match(params.Host, params.Path); x.route == nil {
			return verdict.Refuse(verdict.ReasonNotFound, "no route matches the host and path")
		}
	} else {
		if x.service == "" {
			x.service = serviceOf(m, params.Model)
		}
		if x.route = m.RouteTo(x.service); x.route == nil {
			return verdict.Refuse(verdict.ReasonNotFound, "no route leads to a service with model "+string(params.Model))
		}
	}
	weight := 0.0
	for _, s := range x.route.Services {
		if params.Service == "" && s.Weight > weight && (params.Host != "" || params.Path != "") {
			x.service, weight = s.Service, s.Weight
		}
	}
	service := m.Services[x.service]
	if service == nil {
		return verdict.Refuse(verdict.ReasonNotFound, "no service "+string(x.service))
	}
	if service.Engine == nil {
		return nil
	}
	if _, ok := service.Engine.Models[params.Model]; !ok && params.Model != "" {
		return verdict.Refuse(verdict.ReasonNotFound, "service "+string(x.service)+" has no model "+string(params.Model))
	}
	return nil
}

// serviceOf returns the service that has a model, the first by name.
func serviceOf(m *fleet.Manifest, model state.ModelName) (name state.ServiceName) {
	for _, s := range m.Services {
		if s.Engine == nil {
			continue
		}
		if _, ok := s.Engine.Models[model]; ok && (name == "" || s.Name < name) {
			name = s.Name
		}
	}
	return name
}

// explainAdmission returns the verdict for a request that is refused before an upstream is
// chosen. With a team it is assumed to carry a valid key of it.
func (x *exchange) explainAdmission(now time.Time) *verdict.Verdict {
	g := x.gateway
	if x.needsKey {
		if result := g.opts.Access.Check(g.manifestState(), access.Key{Known: x.team != nil}); result != access.Allowed {
			return keyRefusal(result)
		}
	}
	if g.refusesNew(now, x.deadline) || x.stopForbidsSend(now) {
		return refuseStopped()
	}
	return x.refuseQuarantined(now)
}

// explainChoice adds the upstreams, the decision on the data centre and what becomes of the
// request.
func (x *exchange) explainChoice(v *view, now time.Time, result *rpc.ExplainResult) {
	limit := x.loadWaitDeadline(v)
	o := x.assess(v, now, limit)
	if refusal := x.refuseUnservable(); refusal != nil && result.Refusal == nil {
		result.Refusal = explainedRefusal(refusal)
	}
	if result.Refusal != nil {
		o.chosen = -1
	}
	result.Upstreams = x.explainUpstreams(v, now, limit, &o)
	result.Spillover = x.explainSpillover(v, now)
	if result.Refusal != nil {
		return
	}
	if o.chosen >= 0 {
		c := &o.candidates[o.chosen]
		m := o.members[o.chosen]
		result.Chosen = m.upstream.Name
		prefill := time.Duration(max(x.call.Prompt-c.Cached, 0)) * c.PerToken
		wait := c.Delay - x.spillPenalty(m) + c.PendingPrefill + prefill
		result.ExpectedWait = state.Duration(wait)
		return
	}
	refusal := x.refuseTooLarge(v)
	if refusal == nil {
		refusal, _ = x.refuseUnserved(now, limit, o.freeAt)
	}
	if refusal != nil {
		result.Refusal = explainedRefusal(refusal)
		return
	}
	result.WaitsForUpstream = state.Duration(limit.Sub(now))
}

// explainUpstreams describes the upstreams of the service.
func (x *exchange) explainUpstreams(v *view, now, latest time.Time, o *options) []rpc.ExplainedUpstream {
	members := v.service(x.service)
	list := make([]rpc.ExplainedUpstream, 0, min(len(members), maxExplainedUpstreams))
	next := 0
	for _, m := range members {
		e := rpc.ExplainedUpstream{Name: m.upstream.Name, DataCentre: m.upstream.DataCentre}
		isCandidate := next < len(o.members) && o.members[next] == m
		switch {
		case isCandidate:
			e.State = "possible"
			if next == o.chosen {
				e.State = "chosen"
			}
			e.For, e.Against = x.explainCandidate(&o.candidates[next], m)
			next++
		case !fleet.Holds(m.replicas, x.call.Target):
			e.State = "does not hold the model or adapter"
		default:
			switch f, delay := x.fitnessOf(m, now, latest); f {
			case tooLate:
				e.State = "free in " + delay.Round(time.Millisecond).String() + ", too late"
			case fit:
				e.State = "its memory is full"
			default:
				e.State = "leaves"
			}
		}
		if len(list) < maxExplainedUpstreams {
			list = append(list, e)
		}
	}
	return list
}

// explainSpillover returns the decision on the data centre; nil without spillover.
func (x *exchange) explainSpillover(v *view, now time.Time) *rpc.ExplainedSpillover {
	s := x.gateway.spillover
	if s == nil {
		return nil
	}
	e := &rpc.ExplainedSpillover{Planned: x.spill.planned}
	if !e.Planned {
		return e
	}
	d := x.spill.decision
	e.Action, e.Reason, e.To = d.Action.String(), d.Reason.String(), d.To
	e.Wait, e.Cost = state.Duration(d.Wait), state.Duration(d.Cost)
	plan := s.planOf(x.spill.kind, v.upstreamsOf(x.spill.kind), x.deadline.Sub(now), now)
	e.Offered, e.Slots, e.Excess = plan.Offered, plan.Slots, plan.Excess
	e.Shares = make(map[state.DataCentre]float64, len(plan.Shares))
	for _, share := range plan.Shares {
		e.Shares[share.DataCentre] = share.Fraction
	}
	return e
}

func explainedRefusal(v *verdict.Verdict) *rpc.ExplainedRefusal {
	return &rpc.ExplainedRefusal{Status: statusOf(v), Reason: string(v.Reason), Detail: v.Detail, RetryAfter: state.Duration(v.RetryAfter)}
}
