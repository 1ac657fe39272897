package membership

import (
	"iter"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/platform"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// forgetAfter is how long a host that the list lacks stays known; much longer
// than the list lags.
const forgetAfter = time.Hour

type report struct {
	host   state.HostName
	health Health
	at     time.Time
	// aliveAt is the last report by any watcher that the agent was heard.
	aliveAt time.Time
}

// Fleet is the decider's picture of its region's upstreams.
type Fleet struct {
	settings  Settings
	reports   map[state.UpstreamName]report
	listed    map[state.HostName]platform.HostInfo
	listedAt  map[state.HostName]time.Time
	firstRead time.Time
	lastRead  time.Time
}

// NewFleet returns an empty picture.
func NewFleet(settings Settings) *Fleet {
	return &Fleet{
		settings: settings,
		reports:  map[state.UpstreamName]report{},
		listed:   map[state.HostName]platform.HostInfo{},
		listedAt: map[state.HostName]time.Time{},
	}
}

// RecordReport notes a watcher's report. While watchers change, a report that the
// agent was heard outweighs one of its silence.
func (f *Fleet) RecordReport(r AgentReport, now time.Time) {
	old := f.reports[r.Upstream]
	if old.host != r.Host {
		old = report{} // An upstream of the same name on another host.
	}
	heard := r.Health == Live || r.Health == Suspect || r.Health == Leaving
	recent := !old.aliveAt.IsZero() && now.Sub(old.aliveAt) < f.settings.ReportFreshFor
	if !heard && recent {
		return
	}
	if r.Health == Unknown && now.Sub(old.at) < f.settings.ReportFreshFor {
		return
	}
	next := report{host: r.Host, health: r.Health, at: now, aliveAt: old.aliveAt}
	if heard {
		next.aliveAt = now
	}
	f.reports[r.Upstream] = next
}

// RecordHosts notes a reading of the host list. A failed reading must not be noted.
func (f *Fleet) RecordHosts(list []platform.HostInfo, now time.Time) {
	if f.firstRead.IsZero() {
		f.firstRead = now
	}
	f.lastRead = now
	clear(f.listed)
	for _, host := range list {
		f.listed[host.Name] = host
		f.listedAt[host.Name] = now
	}
	for name, at := range f.listedAt {
		if now.Sub(at) > forgetAfter {
			delete(f.listedAt, name)
		}
	}
}

// HostLeaving reports whether the latest host list shows the host as leaving.
func (f *Fleet) HostLeaving(name state.HostName) bool {
	return f.listed[name].State == platform.HostLeaving
}

// absent reports whether the readings of a long enough time all lacked the
// host. One reading proves nothing: the list lags behind new hosts.
func (f *Fleet) absent(name state.HostName) bool {
	since := f.firstRead
	if at, ok := f.listedAt[name]; ok && at.After(since) {
		since = at
	}
	return !f.firstRead.IsZero() && f.lastRead.Sub(since) >= f.settings.HostAbsentAfter
}

// Health returns the state of each upstream. An upstream is Gone only if the
// host list lacks its host and every agent of the host is reported silent.
func (f *Fleet) Health(upstreams iter.Seq[state.Upstream], now time.Time) map[state.UpstreamName]Health {
	health := make(map[state.UpstreamName]Health, len(f.reports))
	hosts := make(map[state.UpstreamName]state.HostName)
	heard := make(map[state.HostName]bool)
	for u := range upstreams {
		h := f.judge(u, now)
		health[u.Name] = h
		if h != Dead {
			heard[u.Host] = true
			continue
		}
		hosts[u.Name] = u.Host
	}
	for name, host := range hosts {
		if !heard[host] && f.absent(host) {
			health[name] = Gone
		}
	}
	return health
}

func (f *Fleet) judge(u state.Upstream, now time.Time) Health {
	r, ok := f.reports[u.Name]
	fresh := ok && r.host == u.Host && now.Sub(r.at) < f.settings.ReportFreshFor
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
