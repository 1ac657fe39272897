package controller

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/fleet"
	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// maxResultEntries bounds the entries of one result: all gateways request all
// entries from a new controller at the same time.
const maxResultEntries = 128

const (
	// minPackedEntries is the number of entries from which a result packs them.
	minPackedEntries = 8
	// pacedGateways is the number of gateways from which snapshots are paced. Each snapshot
	// wakes the requests of all gateways, which costs the controller publishCost for each.
	pacedGateways = 64
	publishCost   = 500 * time.Microsecond
	// maxPublishInterval bounds the delay of a change by pacing.
	maxPublishInterval = 200 * time.Millisecond
)

// publishInterval returns the least time between two snapshots of a term.
func publishInterval(gateways int) time.Duration {
	if gateways < pacedGateways {
		return 0
	}
	return min(time.Duration(gateways)*publishCost, maxPublishInterval)
}

// publisher makes the latest snapshot available to the gateways that request
// it.
type publisher struct {
	// now is the clock of the Controller.
	now     func() time.Time
	current atomic.Pointer[snapshot]
	// holderName is the name under which this process holds the lease or would.
	holderName atomic.Pointer[string]
	// registryReadAt is when this process last read the registry.
	registryReadAt atomic.Pointer[time.Time]
	// manifestReadAt is when this process last looked for a new manifest.
	manifestReadAt atomic.Pointer[time.Time]
	// confirmed is the manifest that this process last knew to be the newest; nil before
	// the first one.
	confirmed atomic.Pointer[confirmedManifest]
	// changed is closed when publish replaces current.
	changed atomic.Pointer[chan struct{}]
	// revision is the number of the last change. Only the goroutine of Run uses
	// it.
	revision uint64
	// publishedAt is when the entries of a snapshot last changed. Only the goroutine of Run
	// uses it.
	publishedAt time.Time
}

// snapshot is the state that the controller last published. It is immutable.
type snapshot struct {
	term         state.FencingToken
	revision     uint64
	lease        fleet.LogPosition
	gatewayCount int
	manifest     fleet.Version
	// peers are the gateways that receive notices.
	peers         []rpc.GatewayPeer
	peersRevision uint64
	quarantine    *publishedQuarantine
	// entries are in the order of their revisions.
	entries []*publishedEntry
	// packed has the packed entries of results, keyed by the revision after which they
	// begin.
	packed *sync.Map
}

// packedEntries are entries of a snapshot that were packed once for all gateways.
type packedEntries struct {
	once sync.Once
	data []byte
	err  error
}

// confirmedManifest is a version of the manifest that was certainly the newest one at a time
// by the clock of the publisher.
type confirmedManifest struct {
	version fleet.Version
	at      time.Time
}

type publishedEntry struct {
	revision uint64
	rpc.UpstreamResidency
}

func (p *publisher) init(holder string, now func() time.Time) {
	p.now = now
	changed := make(chan struct{})
	p.changed.Store(&changed)
	p.holderName.Store(&holder)
	p.registryReadAt.Store(new(time.Time))
	p.manifestReadAt.Store(new(time.Time))
}

func (p *publisher) snapshot() *snapshot { return p.current.Load() }

// publish replaces the snapshot and wakes the waiting requests; nil means that
// this process is not the controller.
func (p *publisher) publish(s *snapshot) {
	p.current.Store(s)
	next := make(chan struct{})
	close(*p.changed.Swap(&next))
}

// publishSnapshot publishes the current state of the upstreams. It wakes the
// waiting requests if anything has changed.
func (c *Controller) publishSnapshot(token state.FencingToken) {
	next := &snapshot{term: token, revision: c.publisher.revision, lease: c.machine.Position(), gatewayCount: len(c.demand.gateways)}
	next.manifest = c.manifestVersion
	next.peers, next.peersRevision = c.demand.peers(), c.demand.peersRevision
	next.quarantine = c.crashes.published
	now := c.opts.Now()
	previous := c.publisher.snapshot()
	if previous != nil && previous.term == next.term && (previous.revision == next.revision || now.Sub(c.publisher.publishedAt) < publishInterval(next.gatewayCount)) {
		next.revision, next.entries, next.packed = previous.revision, previous.entries, previous.packed
		c.publisher.current.Store(next)
		return
	}
	c.publisher.publishedAt = now
	next.packed = new(sync.Map)
	for name, e := range c.registry {
		next.entries = append(next.entries, c.publishedEntry(name, e))
	}
	slices.SortFunc(next.entries, func(a, b *publishedEntry) int { return cmp.Compare(a.revision, b.revision) })
	c.publisher.publish(next)
}

// publishedEntry returns the published state of an upstream. It builds a new
// entry only if the upstream has changed.
func (c *Controller) publishedEntry(name state.UpstreamName, listed *registryEntry) *publishedEntry {
	revision := listed.revision
	e, ok := c.engines[name]
	if ok && e.known && !listed.gone {
		revision = max(revision, e.revision)
	}
	limit := c.limits[name]
	if listed.gone || limit != nil && limit.started != listed.upstream.Started.UnixMilli() {
		limit = nil
	}
	if limit != nil {
		revision = max(revision, limit.revision)
	}
	if listed.published == nil || listed.published.revision != revision {
		listed.published = newPublishedEntry(name, listed, e, revision)
		if limit != nil {
			listed.published.Limited, listed.published.PerSecond = limit.limit.Limited, limit.limit.PerSecond
		}
		listed.published.Leaving = !listed.gone && c.isLeaving(listed.upstream)
	}
	return listed.published
}

func newPublishedEntry(name state.UpstreamName, listed *registryEntry, e *engine, revision uint64) *publishedEntry {
	entry := &publishedEntry{revision: revision, UpstreamResidency: rpc.UpstreamResidency{Upstream: name, Gone: listed.gone}}
	if listed.gone {
		return entry
	}
	u := listed.upstream
	entry.Started, entry.Report, entry.Service, entry.Address = u.Started.UnixMilli(), u.Report, u.Service, u.Address
	entry.DataCentre, entry.Slots, entry.Draining = u.DataCentre, u.Slots, u.Draining
	replicas := u.Replicas
	entry.InMemory, entry.OnDisk = u.InMemory, u.OnDisk
	if e != nil && e.known {
		entry.Known, replicas = true, e.serving()
		entry.InMemory, entry.OnDisk = e.inMemory, e.onDisk
	}
	for _, r := range replicas {
		entry.Replicas = append(entry.Replicas, rpc.HeldReplica{Model: r.Model, Adapters: r.Adapters})
	}
	return entry
}

// changedAfter returns the entries that have changed after a revision, in the
// order of their changes.
func (s *snapshot) changedAfter(revision uint64) []*publishedEntry {
	first, _ := slices.BinarySearchFunc(s.entries, revision, func(e *publishedEntry, revision uint64) int {
		if e.revision > revision {
			return 1
		}
		return -1
	})
	return s.entries[first:]
}

// pack returns the packed form of the entries after a revision.
func (s *snapshot) pack(after uint64, entries []rpc.UpstreamResidency) ([]byte, error) {
	value, _ := s.packed.LoadOrStore(after, new(packedEntries))
	p := value.(*packedEntries)
	p.once.Do(func() { p.data, p.err = rpc.PackUpstreams(entries) })
	return p.data, p.err
}

func (p *publisher) close() { p.publish(nil) }

// await returns a result once the snapshot is newer than the one the gateway
// has, or when the requested wait ends.
func (p *publisher) await(ctx context.Context, params rpc.ResidencyParams) (rpc.ResidencyResult, error) {
	timer := time.NewTimer(params.Wait.Std())
	defer timer.Stop()
	for {
		changed := *p.changed.Load()
		current := p.snapshot()
		if current == nil {
			return rpc.ResidencyResult{Holder: *p.holderName.Load()}, nil
		}
		if current.term != params.Term || current.revision != params.Revision {
			return p.resultFor(current, params), nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return p.resultFor(current, params), nil
		case <-ctx.Done():
			return rpc.ResidencyResult{}, ctx.Err()
		}
	}
}

// resultFor returns the entries that have changed after the gateway's revision.
func (p *publisher) resultFor(s *snapshot, params rpc.ResidencyParams) rpc.ResidencyResult {
	result := rpc.ResidencyResult{Holder: *p.holderName.Load(), Term: s.term, Revision: s.revision, LeaseOffset: s.lease.Offset, LeaseEpoch: uint64(s.lease.Epoch), Gateways: s.gatewayCount, PeersRevision: s.peersRevision}
	result.RegistryAge = state.Duration(time.Since(*p.registryReadAt.Load()))
	result.Manifest, result.ManifestAge = uint64(s.manifest), state.Duration(time.Since(*p.manifestReadAt.Load()))
	if confirmed := p.confirmed.Load(); confirmed != nil {
		age := state.Duration(p.now().Sub(confirmed.at))
		result.Manifest, result.ManifestConfirmedAge = max(result.Manifest, uint64(confirmed.version)), &age
	}
	if s.term != params.Term || s.peersRevision != params.PeersRevision {
		result.Peers = s.peers
	}
	s.quarantine.addTo(&result, params, s.term, p.now())
	after := params.Revision
	if s.term != params.Term {
		after = 0
	}
	changed := s.changedAfter(after)
	if len(changed) > maxResultEntries {
		// The gateway requests the rest at once, since its revision is not the
		// newest.
		changed = changed[:maxResultEntries]
		result.Revision = changed[maxResultEntries-1].revision
	}
	for _, e := range changed {
		result.Upstreams = append(result.Upstreams, e.UpstreamResidency)
	}
	if params.Unpacks && len(changed) >= minPackedEntries {
		if data, err := s.pack(after, result.Upstreams); err == nil {
			result.Upstreams, result.Packed = nil, data
		}
	}
	return result
}
