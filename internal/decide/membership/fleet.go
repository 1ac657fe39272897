package membership

import (
	"iter"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/platform"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// hostRetention is how long a host that the host list lacks is remembered; much
// longer than the list lags.
const hostRetention = time.Hour

// agentReport is the latest report on the agent of an upstream.
type agentReport struct {
	host       state.HostName
	health     Health
	receivedAt time.Time
	// aliveAt is when any watcher last reported the agent as live, suspect or
	// leaving.
	aliveAt time.Time
}

// Fleet is the decider's view of the health of its region's upstreams.
type Fleet struct {
	settings   Settings
	reports    map[state.UpstreamName]agentReport
	listed     map[state.HostName]platform.HostInfo
	lastListed map[state.HostName]time.Time
	firstRead  time.Time
	lastRead   time.Time
}

// NewFleet returns a view without reports and without a host list.
func NewFleet(settings Settings) *Fleet {
	return &Fleet{
		settings:   settings,
		reports:    map[state.UpstreamName]agentReport{},
		listed:     map[state.HostName]platform.HostInfo{},
		lastListed: map[state.HostName]time.Time{},
	}
}

// RecordReport records a watcher's report. While the watcher of an upstream
// changes, a report that the agent is live, suspect or leaving overrides one
// that it is silent.
func (f *Fleet) RecordReport(r AgentReport, now time.Time) {
	old := f.reports[r.Upstream]
	if old.host != r.Host {
		old = agentReport{} // An upstream of the same name on another host.
	}
	heard := r.Health == Live || r.Health == Suspect || r.Health == Leaving
	recent := !old.aliveAt.IsZero() && now.Sub(old.aliveAt) < f.settings.ReportFreshFor
	if !heard && recent {
		return
	}
	if r.Health == Unknown && now.Sub(old.receivedAt) < f.settings.ReportFreshFor {
		return
	}
	next := agentReport{host: r.Host, health: r.Health, receivedAt: now, aliveAt: old.aliveAt}
	if heard {
		next.aliveAt = now
	}
	f.reports[r.Upstream] = next
}

// RecordHosts records a reading of the host list. A failed reading must not be
// recorded.
func (f *Fleet) RecordHosts(list []platform.HostInfo, now time.Time) {
	if f.firstRead.IsZero() {
		f.firstRead = now
	}
	f.lastRead = now
	clear(f.listed)
	for _, host := range list {
		f.listed[host.Name] = host
		f.lastListed[host.Name] = now
	}
	for name, at := range f.lastListed {
		if now.Sub(at) > hostRetention {
			delete(f.lastListed, name)
		}
	}
}

// HostLeaving reports whether the latest host list shows the host as leaving.
func (f *Fleet) HostLeaving(name state.HostName) bool {
	return f.listed[name].State == platform.HostLeaving
}

// absent reports whether all readings over HostAbsentAfter lacked the host. One
// reading proves nothing: the list lags behind new hosts.
func (f *Fleet) absent(name state.HostName) bool {
	since := f.firstRead
	if at, ok := f.lastListed[name]; ok && at.After(since) {
		since = at
	}
	return !f.firstRead.IsZero() && f.lastRead.Sub(since) >= f.settings.HostAbsentAfter
}

// Health returns the state of each upstream. An upstream is Gone only if the
// host list lacks its host and every agent of the host is reported dead.
func (f *Fleet) Health(upstreams iter.Seq[state.Upstream], now time.Time) map[state.UpstreamName]Health {
	health := make(map[state.UpstreamName]Health, len(f.reports))
	hostOfDead := make(map[state.UpstreamName]state.HostName)
	alive := make(map[state.HostName]bool)
	for u := range upstreams {
		h := f.healthOf(u, now)
		health[u.Name] = h
		if h != Dead {
			alive[u.Host] = true
			continue
		}
		hostOfDead[u.Name] = u.Host
	}
	for name, host := range hostOfDead {
		if !alive[host] && f.absent(host) {
			health[name] = Gone
		}
	}
	return health
}

func (f *Fleet) healthOf(u state.Upstream, now time.Time) Health {
	r, ok := f.reports[u.Name]
	fresh := ok && r.host == u.Host && now.Sub(r.receivedAt) < f.settings.ReportFreshFor
	switch {
	case fresh && r.health == Dead:
		return Dead
	case f.HostLeaving(u.Host):
		return Leaving
	case !fresh:
		return Unknown
	}
	return r.health
}
