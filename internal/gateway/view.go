package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/decide/eligibility"
	"github.com/lagoonvalve/lagoonvalve/internal/decide/fairness"
	"github.com/lagoonvalve/lagoonvalve/internal/decide/health"
	"github.com/lagoonvalve/lagoonvalve/internal/decide/occupancy"
	"github.com/lagoonvalve/lagoonvalve/internal/decide/routing"
	"github.com/lagoonvalve/lagoonvalve/internal/decide/selection"
	"github.com/lagoonvalve/lagoonvalve/internal/decide/speed"
	"github.com/lagoonvalve/lagoonvalve/internal/fleet"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// view is the data by which requests are routed. It is immutable except for the
// upstreams' stats, which all views share.
type view struct {
	manifest *fleet.Manifest
	fairness *fairness.Policy
	// leastUrgent is the least urgent priority of the manifest.
	leastUrgent int
	byService   map[state.ServiceName][]*member
	byName      map[state.UpstreamName]*member
	// draining has the upstreams that are registered as draining or have announced
	// that they leave; they are in neither of the other maps.
	draining map[state.UpstreamName]*member
	// changed is closed when a newer view is published.
	changed chan struct{}
}

// member is an upstream that takes requests.
type member struct {
	upstream *fleet.Upstream
	// replicas is what the upstream holds according to the controller or, failing
	// that, to the upstream's own entry.
	replicas []fleet.Replica
	locality routing.Locality
	// hash identifies the upstream in rankings.
	hash  uint64
	stats *upstreamStats
}

// upstreamStats is the load and health of an upstream as seen by this gateway. It
// is discarded when the upstream restarts.
type upstreamStats struct {
	// index identifies the upstream in sentPrompts.
	index   int
	running atomic.Int32
	// ownPrefill is the expected time, in nanoseconds, to prefill the prompts of
	// this gateway's requests that have not returned the first part of a response.
	ownPrefill atomic.Int64
	// limit is the rate limit that the upstream names.
	limit limitState

	mu     sync.Mutex
	health health.Record
	// answers is the state that the upstream's answers imply for further requests.
	answers eligibility.Answers
	// othersBacklog is the prefill work sent by other gateways.
	othersBacklog selection.Backlog
	// waits are the delays of this gateway's requests until their first tokens.
	waits fairness.Waits
	// memory is what requests hold of the upstream's memory. It is only kept if that
	// is a limit.
	memory occupancy.Occupancy
	// speed is how fast the upstream processes prompts. It is only kept if the choice of
	// upstreams counts with it.
	speed speed.Upstream
}

// pendingPrefill returns the expected time until the upstream has prefilled the
// prompts sent to it.
func (s *upstreamStats) pendingPrefill(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(s.ownPrefill.Load()) + s.othersBacklog.Remaining(now)
}

// addOthersWork adds prefill work that another gateway has sent.
func (s *upstreamStats) addOthersWork(work time.Duration, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.othersBacklog.Add(work, now)
}

func (s *upstreamStats) ejected(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.health.Ejected(now)
}

// recordAnswer applies an answer to the state for further requests. It returns the reason
// for which the upstream is not eligible from now on, if that is new.
func (s *upstreamStats) recordAnswer(answer fleet.AnswerInfo, now time.Time) (began eligibility.Reason) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.answers.Record(answer, now)
}

// recordRefusal, recordServed and recordChosen are those of eligibility.Answers.
func (s *upstreamStats) recordRefusal(now time.Time) (began eligibility.Reason) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.answers.RecordRefusal(now)
}

func (s *upstreamStats) recordServed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answers.RecordServed()
}

func (s *upstreamStats) recordChosen(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answers.RecordChosen(now)
}

func (s *upstreamStats) currentAnswers() eligibility.Answers {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.answers
}

// recordResult records the success or failure of a request to the upstream.
func (s *upstreamStats) recordResult(ok bool, now time.Time, cfg health.Config) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ok {
		s.health.Succeeded()
	} else {
		s.health.Failed(now, cfg)
	}
}

// eligibility returns whether a request for a target may be sent to an upstream that was
// chosen from this view or from an earlier one.
func (v *view) eligibility(chosen *member, t fleet.Target, now time.Time) eligibility.Reason {
	m, ok := v.byName[chosen.upstream.Name]
	if !ok {
		m, ok = v.draining[chosen.upstream.Name]
	}
	if !ok {
		return eligibility.Check(chosen.upstream.Started, eligibility.Upstream{}, now)
	}
	return eligibility.Check(chosen.upstream.Started, eligibility.Upstream{
		Listed: true, Started: m.upstream.Started, Draining: m.upstream.Draining,
		HoldsTarget: fleet.Holds(m.replicas, t), Answers: m.stats.currentAnswers(),
	}, now)
}

// awaitChange waits until a newer view is published, d has passed or ctx ends.
func (v *view) awaitChange(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-v.changed:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// service returns the upstreams of a service.
func (v *view) service(name state.ServiceName) []*member { return v.byService[name] }
