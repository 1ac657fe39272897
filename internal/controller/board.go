package controller

import (
	"cmp"
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/fleet"
	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// maxEntries bounds the entries of one answer: a new controller is asked for all
// of them by all gateways at once.
const maxEntries = 128

// board shows askers what the upstreams hold.
type board struct {
	now atomic.Pointer[shown]
	// holder is the name of this process as a holder.
	holder atomic.Pointer[string]
	// registryRead is when this process last read the registry.
	registryRead atomic.Pointer[time.Time]
	// manifestRead is when this process last read for a manifest.
	manifestRead atomic.Pointer[time.Time]
	// changed is closed when now is replaced.
	changed atomic.Pointer[chan struct{}]
	// revision numbers the changes; it belongs to the goroutine of Run.
	revision uint64
}

// shown is what the controller last published. It is immutable.
type shown struct {
	term     state.FencingToken
	revision uint64
	lease    state.Offset
	gateways int
	manifest fleet.Version
	// peers are the gateways that take notices.
	peers         []rpc.GatewayPeer
	peersRevision uint64
	entries       []*shownEntry
}

type shownEntry struct {
	revision uint64
	rpc.UpstreamResidency
}

func (b *board) init(holder string) {
	changed := make(chan struct{})
	b.changed.Store(&changed)
	b.holder.Store(&holder)
	b.registryRead.Store(new(time.Time))
	b.manifestRead.Store(new(time.Time))
}

func (b *board) load() *shown { return b.now.Load() }

// publish replaces what is shown; nil shows that this is not the controller.
func (b *board) publish(s *shown) {
	b.now.Store(s)
	next := make(chan struct{})
	close(*b.changed.Swap(&next))
}

// show publishes the upstreams as the controller knows them, and wakes those who
// wait if anything has changed.
func (c *Controller) show(token state.FencingToken) {
	next := &shown{term: token, revision: c.shown.revision, lease: c.machine.Offset(), gateways: len(c.demand.gateways)}
	next.manifest = c.told
	next.peers, next.peersRevision = c.demand.peers(), c.demand.peersRevision
	if before := c.shown.load(); before != nil && before.term == next.term && before.revision == next.revision {
		next.entries = before.entries
		c.shown.now.Store(next)
		return
	}
	for name, e := range c.registry {
		next.entries = append(next.entries, c.entry(name, e))
	}
	c.shown.publish(next)
}

// entry returns what is shown of an upstream. It is made anew only if it has
// changed.
func (c *Controller) entry(name state.UpstreamName, listed *registryEntry) *shownEntry {
	revision := listed.revision
	e, ok := c.engines[name]
	if ok && e.known && !listed.gone {
		revision = max(revision, e.revision)
	}
	if listed.shown == nil || listed.shown.revision != revision {
		listed.shown = newShownEntry(name, listed, e, revision)
	}
	return listed.shown
}

func newShownEntry(name state.UpstreamName, listed *registryEntry, e *engine, revision uint64) *shownEntry {
	shown := &shownEntry{revision: revision, UpstreamResidency: rpc.UpstreamResidency{Upstream: name, Gone: listed.gone}}
	if listed.gone {
		return shown
	}
	u := listed.upstream
	shown.Started, shown.Report, shown.Service, shown.Address = u.Started.UnixMilli(), u.Report, u.Service, u.Address
	shown.DataCentre, shown.Slots, shown.Draining = u.DataCentre, u.Slots, u.Draining
	replicas := u.Replicas
	shown.InMemory, shown.OnDisk = u.InMemory, u.OnDisk
	if e != nil && e.known {
		shown.Known, replicas = true, e.serving()
		shown.InMemory, shown.OnDisk = e.inMemory, e.onDisk
	}
	for _, r := range replicas {
		shown.Replicas = append(shown.Replicas, rpc.HeldReplica{Model: r.Model, Adapters: r.Adapters})
	}
	return shown
}

// changedAfter returns the entries that have changed after a revision, in the
// order of their changes.
func (s *shown) changedAfter(revision uint64) []*shownEntry {
	var changed []*shownEntry
	for _, e := range s.entries {
		if e.revision > revision {
			changed = append(changed, e)
		}
	}
	slices.SortFunc(changed, func(a, b *shownEntry) int { return cmp.Compare(a.revision, b.revision) })
	return changed
}

func (b *board) close() { b.publish(nil) }

// await answers once what is shown is newer than what the asker knows.
func (b *board) await(ctx context.Context, params rpc.ResidencyParams) (rpc.ResidencyResult, error) {
	timer := time.NewTimer(params.Wait.Std())
	defer timer.Stop()
	for {
		changed := *b.changed.Load()
		now := b.load()
		if now == nil {
			return rpc.ResidencyResult{Holder: *b.holder.Load()}, nil
		}
		if now.term != params.Term || now.revision != params.Revision {
			return b.since(now, params), nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return b.since(now, params), nil
		case <-ctx.Done():
			return rpc.ResidencyResult{}, ctx.Err()
		}
	}
}

// since returns the entries that have changed since the asker's revision.
func (b *board) since(s *shown, params rpc.ResidencyParams) rpc.ResidencyResult {
	result := rpc.ResidencyResult{Holder: *b.holder.Load(), Term: s.term, Revision: s.revision, LeaseOffset: s.lease, Gateways: s.gateways, PeersRevision: s.peersRevision}
	result.RegistryAge = state.Duration(time.Since(*b.registryRead.Load()))
	result.Manifest, result.ManifestAge = uint64(s.manifest), state.Duration(time.Since(*b.manifestRead.Load()))
	if s.term != params.Term || s.peersRevision != params.PeersRevision {
		result.Peers = s.peers
	}
	after := params.Revision
	if s.term != params.Term {
		after = 0
	}
	changed := s.changedAfter(after)
	if len(changed) > maxEntries {
		// The asker comes back for the rest at once.
		changed = changed[:maxEntries]
		result.Revision = changed[maxEntries-1].revision
	}
	for _, e := range changed {
		result.Upstreams = append(result.Upstreams, e.UpstreamResidency)
	}
	return result
}
