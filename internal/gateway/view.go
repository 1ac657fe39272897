package gateway

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/decide/health"
	"github.com/lagoonvalve/lagoonvalve/internal/decide/routing"
	"github.com/lagoonvalve/lagoonvalve/internal/decide/selection"
	"github.com/lagoonvalve/lagoonvalve/internal/fleet"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// view is what requests are routed by. It is immutable but for the load of the
// upstreams, which all views share.
type view struct {
	manifest  *fleet.Manifest
	byService map[state.ServiceName][]*member
	byName    map[state.UpstreamName]*member
	// changed is closed when a newer view is published.
	changed chan struct{}
}

// member is an upstream that takes requests.
type member struct {
	upstream *fleet.Upstream
	// replicas is what it holds by the latest word, from the controller or
	// from the upstream itself.
	replicas []fleet.Replica
	locality routing.Locality
	// hash identifies the upstream in rankings.
	hash uint64
	load *load
}

// load is a gateway's own experience of an upstream. It lasts as long as the
// upstream's process.
type load struct {
	// index names the upstream in tables of the routing decisions.
	index   int
	running atomic.Int32
	// reading is the expected time, in nanoseconds, to read the prompts of
	// requests that have no first part of an answer yet.
	reading atomic.Int64

	mu     sync.Mutex
	health health.Record
	// others is the work that other gateways have sent.
	others selection.Backlog
}

// toRead returns the expected time until the upstream has read the prompts that
// were sent to it.
func (l *load) toRead(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Duration(l.reading.Load()) + l.others.Remaining(now)
}

// sentByOther notes work that another gateway has sent.
func (l *load) sentByOther(work time.Duration, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.others.Add(work, now)
}

func (l *load) ejected(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.health.Ejected(now)
}

// ended notes how a request to the upstream ended.
func (l *load) ended(ok bool, now time.Time, cfg health.Config) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if ok {
		l.health.Succeeded()
	} else {
		l.health.Failed(now, cfg)
	}
}

// service returns the upstreams of a service.
func (v *view) service(name state.ServiceName) []*member { return v.byService[name] }
