package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/ctxtime"
	"github.com/lagoonvalve/lagoonvalve/internal/decide/eligibility"
	"github.com/lagoonvalve/lagoonvalve/internal/forward"
	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// recordAnswer applies an answer to the state of its upstream for further requests; sentAt is
// when its request was sent.
func (x *exchange) recordAnswer(ctx context.Context, m *member, resp *forward.Response, sentAt time.Time) {
	g := x.gateway
	if limit := resp.Info.Limit; m.stats.limit.record(limit, sentAt) {
		g.answerReports.add(m)
		g.opts.Logger.Info("upstream names a rate limit", "request", x.call.ID, "upstream", m.upstream.Name,
			"limited", limit.Limited, "per_second", limit.PerSecond)
	}
	if !resp.Info.NotRun {
		m.stats.recordServed()
	}
	reason := m.stats.recordAnswer(resp.Info, time.Now())
	x.reportBegan(m, reason, resp.Info.Pause)
	if reason == eligibility.Leaving {
		// Requests that wait for a permit choose again with the next view.
		g.post(ctx, func(*tables, time.Time) bool { return true })
		g.answerReports.add(m)
	}
}

// recordRefusal records that an upstream has refused the request.
func (x *exchange) recordRefusal(m *member) {
	x.reportBegan(m, m.stats.recordRefusal(time.Now()), 0)
}

// reportBegan logs and counts why an upstream takes no further requests, or comes after the
// others, from an answer to this request on.
func (x *exchange) reportBegan(m *member, reason eligibility.Reason, pause time.Duration) {
	if reason == eligibility.Eligible {
		return
	}
	x.gateway.opts.Meter.UpstreamIneligible(m.upstream.Name, reason)
	x.gateway.opts.Logger.Info("upstream not eligible by its answer", "request", x.call.ID, "upstream", m.upstream.Name,
		"reason", reason, "pause", pause)
}

// observation returns the report to the controller of the state that the upstream's answers
// imply.
func (m *member) observation(now time.Time) rpc.AnswerObservation {
	limit, at := m.stats.limit.current()
	answers := m.stats.currentAnswers()
	held := m.stats.limit.heldPermits()
	return rpc.AnswerObservation{
		Upstream: m.upstream.Name, Started: m.upstream.Started.UnixMilli(), Limited: limit.Limited, PerSecond: limit.PerSecond,
		Leaving: answers.Leaving(), Age: state.Duration(now.Sub(at)),
		GrantedBy: held.grantor, GrantedUntil: timeUntil(held.until, now), EarlierUntil: timeUntil(held.earlierUntil, now),
	}
}

func timeUntil(at, now time.Time) state.Duration { return state.Duration(max(at.Sub(now), 0)) }

// answerReports holds the upstreams whose answers have to be reported to the controller.
// Its methods may be called from any goroutine.
type answerReports struct {
	reportNow chan struct{}

	mu      sync.Mutex
	pending map[state.UpstreamName]*member
}

func newAnswerReports() *answerReports {
	return &answerReports{reportNow: make(chan struct{}, 1), pending: make(map[state.UpstreamName]*member)}
}

func (r *answerReports) add(m *member) {
	r.mu.Lock()
	r.pending[m.upstream.Name] = m
	r.mu.Unlock()
	select {
	case r.reportNow <- struct{}{}:
	default:
	}
}

// take removes and returns the pending reports.
func (r *answerReports) take() []*member {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]*member, 0, len(r.pending))
	for _, m := range r.pending {
		list = append(list, m)
	}
	clear(r.pending)
	return list
}

// reportAnswers reports to the controller what is new in the answers of upstreams.
func (g *Gateway) reportAnswers(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.answerReports.reportNow:
		}
		members := g.answerReports.take()
		if len(members) == 0 {
			continue
		}
		if err := g.sendAnswers(ctx, members); err != nil {
			g.opts.Logger.Warn("answers of upstreams not reported", "upstreams", len(members), "error", err)
			ctxtime.Sleep(ctx, callRetryDelay)
			for _, m := range members {
				g.answerReports.add(m)
			}
		}
	}
}

func (g *Gateway) sendAnswers(ctx context.Context, members []*member) error {
	params := rpc.AnswersParams{Gateway: g.opts.Name}
	now := time.Now()
	for _, m := range members {
		params.Answers = append(params.Answers, m.observation(now))
	}
	return sendReport(ctx, g, rpc.MethodAnswers, params, g.opts.Controller.ReportAnswers)
}

// repeatAnswers reports all limits and all upstreams that leave to a new controller, which
// starts without them.
func (g *Gateway) repeatAnswers() {
	v := g.view.Load()
	for _, m := range v.byName {
		if limit, _ := m.stats.limit.current(); limit.Limited {
			g.answerReports.add(m)
		}
	}
	for _, m := range v.draining {
		if answers := m.stats.currentAnswers(); answers.Leaving() {
			g.answerReports.add(m)
		}
	}
}
