package gateway

import (
	"slices"
	"strings"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/controller"
	"github.com/lagoonvalve/lagoonvalve/internal/decide/fairness"
	"github.com/lagoonvalve/lagoonvalve/internal/decide/routing"
	"github.com/lagoonvalve/lagoonvalve/internal/fleet"
	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

const (
	// reregisterGrace is how long an upstream whose entry lapsed during an outage
	// of the store may take to register again after the store's return.
	reregisterGrace = 2200 * time.Millisecond
	// unlistedTTL is how long the stats of an upstream outlast its entry.
	unlistedTTL = time.Minute
	// residencyTTL is how long the controller's last response remains valid.
	residencyTTL = 3 * time.Second
)

// tables hold the gateway's knowledge of the manifest, the registry and the
// upstreams' replicas. They are owned by the control goroutine.
type tables struct {
	dataCentre state.DataCentre
	regionOf   map[state.DataCentre]state.Region

	manifest *fleet.Manifest
	// fairness is the order between the teams of the manifest; nil if there is none.
	fairness *fairness.Policy
	// leastUrgent is the least urgent priority of the manifest.
	leastUrgent int
	// manifestConfirmedAt is the latest time at which the manifest was certainly the
	// newest, by a clock that continues while the host is suspended.
	manifestConfirmedAt time.Time

	upstreams map[state.UpstreamName]*upstreamRow
	unlisted  map[state.UpstreamName]unlistedUpstream
	// nextIndex is the last index assigned to an upstream.
	nextIndex int

	residency map[state.UpstreamName]rpc.UpstreamResidency
	term      state.FencingToken
	revision  uint64
	// residencyAt is the time of the controller's last response.
	residencyAt time.Time
}

// upstreamRow is an upstream of the registry.
type upstreamRow struct {
	upstream *fleet.Upstream
	stats    *upstreamStats
	// dropAt is when an upstream whose entry is missing is dropped; zero if the
	// entry exists.
	dropAt time.Time
}

// unlistedUpstream is an upstream without an entry. The entry may have lapsed while the
// upstream runs; once it is back, the state from the answers of this start still holds.
type unlistedUpstream struct {
	started time.Time
	stats   *upstreamStats
	dropAt  time.Time
}

func newTables(dc state.DataCentre, regionOf map[state.DataCentre]state.Region) *tables {
	return &tables{
		dataCentre: dc,
		regionOf:   regionOf,
		upstreams:  make(map[state.UpstreamName]*upstreamRow),
		unlisted:   make(map[state.UpstreamName]unlistedUpstream),
		residency:  make(map[state.UpstreamName]rpc.UpstreamResidency),
	}
}

// applyManifest applies a manifest unless it is older than the one in force.
func (t *tables) applyManifest(m *fleet.Manifest) bool {
	if t.manifest != nil && m.Version <= t.manifest.Version {
		return false
	}
	m.SetRevoked(t.manifest)
	t.manifest = m
	priorities := m.Priorities()
	t.fairness, t.leastUrgent = fairness.NewPolicy(priorities, m.Teams()), 0
	if len(priorities) > 0 {
		t.leastUrgent = slices.Max(priorities)
	}
	return true
}

// confirmManifest records that no manifest newer than the given version existed at a
// time. It has no effect while a newer one is known to exist and has not been read.
func (t *tables) confirmManifest(version fleet.Version, at time.Time) {
	if t.manifest != nil && t.manifest.Version >= version && at.After(t.manifestConfirmedAt) {
		t.manifestConfirmedAt = at
	}
}

// applyUpstream applies a registry entry unless a later one is known. It reports
// whether the upstream is new, has restarted, or has begun or ended draining.
func (t *tables) applyUpstream(u *fleet.Upstream) (changed bool) {
	row, ok := t.upstreams[u.Name]
	if !ok {
		t.upstreams[u.Name] = &upstreamRow{upstream: u, stats: t.statsOf(u)}
		return true
	}
	if !u.Started.Before(row.upstream.Started) {
		// The upstream is listed, though the controller may relay an older report of it.
		row.dropAt = time.Time{}
	}
	if !u.Supersedes(row.upstream) {
		return false
	}
	changed = u.Draining != row.upstream.Draining || !u.Started.Equal(row.upstream.Started)
	if !u.Started.Equal(row.upstream.Started) {
		row.stats = t.newStats()
	}
	row.upstream = u
	return changed
}

// statsOf returns the stats of an upstream whose entry is new, which are those that it had
// if the entry had lapsed.
func (t *tables) statsOf(u *fleet.Upstream) *upstreamStats {
	earlier, ok := t.unlisted[u.Name]
	delete(t.unlisted, u.Name)
	if ok && earlier.started.Equal(u.Started) {
		return earlier.stats
	}
	return t.newStats()
}

func (t *tables) newStats() *upstreamStats {
	t.nextIndex++
	return &upstreamStats{index: t.nextIndex}
}

// removeUpstream drops an upstream whose entry is missing, after reregisterGrace if
// the store was unavailable.
func (t *tables) removeUpstream(name state.UpstreamName, now time.Time, grace bool) {
	row, ok := t.upstreams[name]
	if !ok || !row.dropAt.IsZero() {
		return
	}
	if grace {
		row.dropAt = now.Add(reregisterGrace)
		return
	}
	t.drop(row, now)
}

func (t *tables) drop(row *upstreamRow, now time.Time) {
	u := row.upstream
	delete(t.upstreams, u.Name)
	t.unlisted[u.Name] = unlistedUpstream{started: u.Started, stats: row.stats, dropAt: now.Add(unlistedTTL)}
}

// expire drops the upstreams whose grace has passed, and what is kept of those that were
// dropped before.
func (t *tables) expire(now time.Time) (dropped []state.UpstreamName) {
	for name, u := range t.unlisted {
		if !now.Before(u.dropAt) {
			delete(t.unlisted, name)
		}
	}
	for name, row := range t.upstreams {
		if !row.dropAt.IsZero() && !now.Before(row.dropAt) {
			t.drop(row, now)
			dropped = append(dropped, name)
		}
	}
	return dropped
}

// applyResidency applies a response of the controller.
func (t *tables) applyResidency(r rpc.ResidencyResult, now time.Time) (changed bool) {
	changed = t.term != r.Term || t.revision != r.Revision || now.Sub(t.residencyAt) > residencyTTL
	if t.term != r.Term {
		clear(t.residency)
	}
	t.term, t.revision, t.residencyAt = r.Term, r.Revision, now
	for _, u := range r.Upstreams {
		t.applyReportedAnswers(u, now)
		t.residency[u.Upstream] = u
	}
	return changed
}

// applyReportedAnswers applies the controller's report of answers to other gateways: that
// the upstream leaves, and a rate limit if it differs from the last one that the controller
// reported.
func (t *tables) applyReportedAnswers(u rpc.UpstreamResidency, now time.Time) {
	row, ok := t.upstreams[u.Upstream]
	last := t.residency[u.Upstream]
	if !ok || u.Started != row.upstream.Started.UnixMilli() {
		return
	}
	row.stats.recordAnswer(fleet.AnswerInfo{Leaving: u.Leaving}, now)
	if u.Limited != last.Limited || u.PerSecond != last.PerSecond {
		row.stats.limit.apply(fleet.RateLimit{Limited: u.Limited, PerSecond: u.PerSecond}, now)
	}
}

// replicas returns what an upstream holds: as reported by the controller if that
// report is recent and about this start of the upstream, and otherwise as in the
// upstream's own entry.
func (t *tables) replicas(u *fleet.Upstream, now time.Time) []fleet.Replica {
	entry, ok := t.residency[u.Name]
	if !ok || !entry.Known || now.Sub(t.residencyAt) > residencyTTL || entry.Started != u.Started.UnixMilli() {
		return u.Replicas
	}
	return replicasOf(entry)
}

func replicasOf(u rpc.UpstreamResidency) []fleet.Replica {
	replicas := make([]fleet.Replica, len(u.Replicas))
	for i, r := range u.Replicas {
		replicas[i] = fleet.Replica{Model: r.Model, Adapters: r.Adapters}
	}
	return replicas
}

// registryPage converts the registry entries reported by the controller to a page of
// the feed.
func registryPage(upstreams []rpc.UpstreamResidency) fleet.Page[fleet.Upstream] {
	page := fleet.Page[fleet.Upstream]{Changes: make([]fleet.Change[fleet.Upstream], len(upstreams))}
	for i, u := range upstreams {
		page.Changes[i].Key = string(u.Upstream)
		if u.Gone {
			continue
		}
		page.Changes[i].Value = &fleet.Upstream{
			Name: u.Upstream, Started: time.UnixMilli(u.Started), Report: u.Report, Service: u.Service, Address: u.Address,
			DataCentre: u.DataCentre, Slots: u.Slots, Draining: u.Draining, Replicas: replicasOf(u), InMemory: u.InMemory, OnDisk: u.OnDisk,
		}
	}
	return page
}

func (t *tables) locality(dc state.DataCentre) routing.Locality {
	return localityOf(dc, t.dataCentre, t.regionOf)
}

// localityOf returns how far a data centre is from another one.
func localityOf(dc, from state.DataCentre, regionOf map[state.DataCentre]state.Region) routing.Locality {
	switch {
	case dc == from:
		return routing.SameDataCentre
	case regionOf[dc] == regionOf[from]:
		return routing.SameRegion
	default:
		return routing.OtherRegion
	}
}

// view builds a view of the current tables.
func (t *tables) view(now time.Time) *view {
	v := &view{
		manifest:    t.manifest,
		fairness:    t.fairness,
		leastUrgent: t.leastUrgent,
		byService:   make(map[state.ServiceName][]*member),
		byName:      make(map[state.UpstreamName]*member),
		draining:    make(map[state.UpstreamName]*member),
		changed:     make(chan struct{}),
	}
	for _, row := range t.sorted() {
		u := row.upstream
		m := &member{
			upstream: u,
			replicas: t.replicas(u, now),
			locality: t.locality(u.DataCentre),
			hash:     routing.UpstreamHash(u.Name),
			stats:    row.stats,
		}
		if answers := row.stats.currentAnswers(); u.Draining || answers.Leaving() {
			v.draining[u.Name] = m
			continue
		}
		v.byService[u.Service] = append(v.byService[u.Service], m)
		v.byName[u.Name] = m
	}
	return v
}

// fleet returns the manifest and the upstreams on which the controller works.
func (t *tables) fleet() *controller.Fleet {
	f := &controller.Fleet{Manifest: t.manifest}
	for _, row := range t.sorted() {
		f.Upstreams = append(f.Upstreams, row.upstream)
	}
	return f
}

func (t *tables) sorted() []*upstreamRow {
	rows := make([]*upstreamRow, 0, len(t.upstreams))
	for _, row := range t.upstreams {
		rows = append(rows, row)
	}
	slices.SortFunc(rows, func(a, b *upstreamRow) int {
		return strings.Compare(string(a.upstream.Name), string(b.upstream.Name))
	})
	return rows
}
