package gateway

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/lagoonvalve/lagoonvalve/internal/decide/pacing"
	"github.com/lagoonvalve/lagoonvalve/internal/fleet"
	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

const (
	// permitTimeout bounds the request for a permit.
	permitTimeout = 300 * time.Millisecond
	// permitRetryDelay is the delay before the next request for a permit of an
	// upstream after one failed.
	permitRetryDelay = 300 * time.Millisecond
	// minLimit is the lowest limit, in requests per second, of which a part is used.
	minLimit = 0.1
	// permitCost is the expected time to request a permit.
	permitCost = 30 * time.Millisecond
)

// limitState is this gateway's copy of the rate limit of an upstream, and its permits to send
// requests there. The zero value is that of an upstream without a limit. Its
// methods may be called from any goroutine.
type limitState struct {
	mu    sync.Mutex
	limit fleet.RateLimit
	// observedAt is when the latest request was sent whose answer named the limit, or
	// none.
	observedAt time.Time
	// permitsFrom is when the next permit is expected to become valid.
	permitsFrom time.Time
	permits     heldPermits
	// controllerLostUntil is until when permits are not requested from the
	// controller, and ownPermits grants this gateway's part meanwhile; nil if the
	// controller grants them.
	controllerLostUntil time.Time
	ownPermits          *rate.Limiter
}

// heldPermits is until when the permits that were granted to this gateway are valid.
type heldPermits struct {
	// grantor is the term of the controller that has granted the latest ones, zero
	// for those of this gateway's own part, and until is when the last one is valid.
	grantor state.FencingToken
	until   time.Time
	// earlierUntil is when the last one of the grantors before is valid.
	earlierUntil time.Time
}

// add adds a permit.
func (p *heldPermits) add(grantor state.FencingToken, validAt time.Time) {
	if p.grantor != grantor {
		p.earlierUntil = p.last()
		p.grantor, p.until = grantor, time.Time{}
	}
	if validAt.After(p.until) {
		p.until = validAt
	}
}

// last returns when the last of all permits is valid.
func (p *heldPermits) last() time.Time {
	if p.until.After(p.earlierUntil) {
		return p.until
	}
	return p.earlierUntil
}

// record records the rate limit of the answer to a request sent at a time. That
// an answer names none counts only if its request was sent after the last one with a
// limit: answers overtake each other. It reports whether the limit has changed.
func (s *limitState) record(limit fleet.RateLimit, sentAt time.Time) (changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !limit.Limited && !sentAt.After(s.observedAt) {
		return false
	}
	changed = s.limit != limit
	s.limit = limit
	if sentAt.After(s.observedAt) {
		s.observedAt = sentAt
	}
	return changed
}

// apply applies a change of the limit that another gateway has observed.
func (s *limitState) apply(limit fleet.RateLimit, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit, s.observedAt = limit, now
}

// current returns the limit of the upstream, and when it was observed.
func (s *limitState) current() (fleet.RateLimit, time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.limit, s.observedAt
}

// permitDelay returns the expected time until a request may be sent to the upstream;
// zero without a limit.
func (s *limitState) permitDelay(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.limit.Limited {
		return 0
	}
	return permitCost + max(s.permitsFrom.Sub(now), 0)
}

func (s *limitState) setPermitsFrom(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.permitsFrom = at
}

// recordPermit records a permit that was granted to this gateway.
func (s *limitState) recordPermit(grantor state.FencingToken, validAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.permits.add(grantor, validAt)
}

func (s *limitState) heldPermits() heldPermits {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.permits
}

// awaitPermit waits until a request may be sent to an upstream. It returns false if
// that would be after the given time, and as soon as the upstream may not be sent the
// request at all; the upstream's expected delay is then up to date.
func (x *exchange) awaitPermit(ctx context.Context, m *member, latest time.Time) bool {
	if limit, _ := m.stats.limit.current(); !limit.Limited {
		return true
	}
	x.limitLoadTurn()
	now := time.Now()
	defer func() { x.permitWait += time.Since(now) }()
	result := x.gateway.permit(ctx, m, now, max(latest.Sub(now), 0))
	validAt := time.Now().Add(result.Delay.Std())
	m.stats.limit.setPermitsFrom(validAt)
	if result.Granted {
		m.stats.limit.recordPermit(result.Term, validAt)
	}
	return result.Granted && x.sleepWhileEligible(ctx, m, result.Delay.Std())
}

// awaitPauseEnd waits until the end of the pause that an upstream has requested, or the next
// view, if there is a pause. It returns false then: the request chooses again.
func (x *exchange) awaitPauseEnd(ctx context.Context, m *member) bool {
	began := time.Now()
	answers := m.stats.currentAnswers()
	left := answers.PauseLeft(began)
	if left == 0 {
		return true
	}
	x.limitLoadTurn()
	x.gateway.view.Load().awaitChange(ctx, left)
	x.permitWait += time.Since(began)
	return false
}

// sleepWhileEligible waits for d. It returns false if ctx ends or the request must not be
// sent to the upstream any more.
func (x *exchange) sleepWhileEligible(ctx context.Context, m *member, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	for {
		v := x.gateway.view.Load()
		if !x.eligible(v, m) || x.stopForbidsSend(time.Now()) {
			return false
		}
		select {
		case <-timer.C:
			return true
		case <-v.changed:
		case <-ctx.Done():
			return false
		}
	}
}

// permit requests a permit from the controller. While it can't be reached, the gateway
// uses its part of the limit.
func (g *Gateway) permit(ctx context.Context, m *member, now time.Time, maxWait time.Duration) rpc.PermitResult {
	gateways := max(float64(g.gatewayCount.Load()), minGateways)
	if m.stats.limit.isControllerLost(now) {
		return m.stats.limit.ownPermit(now, gateways, maxWait)
	}
	result, err := g.requestPermit(ctx, m, now, maxWait)
	now = time.Now()
	if err == nil {
		m.stats.limit.endOwnPermits()
		return result
	}
	g.opts.Logger.Warn("permit not received", "upstream", m.upstream.Name, "error", err)
	m.stats.limit.setControllerLost(now)
	return m.stats.limit.ownPermit(now, gateways, maxWait)
}

// isControllerLost reports whether the last request for a permit failed recently.
func (s *limitState) isControllerLost(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Before(s.controllerLostUntil)
}

func (s *limitState) setControllerLost(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.controllerLostUntil = now.Add(permitRetryDelay)
}

// ownPermit grants a permit from this gateway's part of the limit. The part begins after
// the permits that the controller has granted.
func (s *limitState) ownPermit(now time.Time, gateways float64, maxWait time.Duration) rpc.PermitResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ownPermits == nil {
		s.ownPermits = rate.NewLimiter(rate.Limit(max(s.limit.PerSecond, minLimit)/gateways), 1)
		s.ownPermits.AllowN(now, 1)
		pacing.SkipUntil(s.ownPermits, now, s.permits.last())
	}
	permit := s.ownPermits.ReserveN(now, 1)
	delay := permit.DelayFrom(now)
	if delay > maxWait {
		permit.CancelAt(now)
	}
	return rpc.PermitResult{Granted: delay <= maxWait, Delay: state.Duration(delay)}
}

func (s *limitState) endOwnPermits() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ownPermits = nil
}

func (g *Gateway) requestPermit(ctx context.Context, m *member, now time.Time, maxWait time.Duration) (rpc.PermitResult, error) {
	ctx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	params := rpc.PermitParams{Gateway: g.opts.Name, Limit: m.observation(now), MaxWait: state.Duration(max(maxWait, 0))}
	return callLeader(ctx, g, g.opts.Controller.Leader(), rpc.MethodPermit, params, g.opts.Controller.Permit)
}
