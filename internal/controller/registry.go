package controller

import (
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/fleet"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// goneEntryTTL is how long the controller reports that an upstream is gone. A
// gateway that has not requested residency for so long reads the registry
// itself.
const goneEntryTTL = time.Minute

// registryEntry is an upstream as the registry lists it, for gateways that
// don't read the registry themselves.
type registryEntry struct {
	upstream *fleet.Upstream
	// revision is the number of the last change that matters to a gateway.
	revision uint64
	// published is the entry in the last snapshot. It is rebuilt when the
	// revision differs from its own.
	published *publishedEntry
	gone      bool
	goneAt    time.Time
}

// RecordRegistryRead records that this process has read the registry.
func (c *Controller) RecordRegistryRead(now time.Time) { c.publisher.registryReadAt.Store(&now) }

// ConfirmManifest records that a manifest was certainly the newest one at a time by the
// clock of Options.Now.
func (c *Controller) ConfirmManifest(version fleet.Version, at time.Time) {
	c.publisher.confirmed.Store(&confirmedManifest{version: version, at: at})
}

// RecordManifestRead records that this process has looked for a new manifest.
func (c *Controller) RecordManifestRead(now time.Time) { c.publisher.manifestReadAt.Store(&now) }

// IsActing reports whether this process is the controller, from which the other
// gateways receive the registry and the manifest.
func (c *Controller) IsActing() bool { return c.publisher.snapshot() != nil }

// syncRegistry applies the current fleet to the registry that is published to
// gateways.
func (c *Controller) syncRegistry(f *Fleet, now time.Time) {
	if f == c.syncedFleet {
		return
	}
	c.syncedFleet = f
	if f.Manifest.Version != c.manifestVersion {
		c.manifestVersion = f.Manifest.Version
		c.publisher.revision++
	}
	listed := make(map[state.UpstreamName]bool, len(f.Upstreams))
	for _, u := range f.Upstreams {
		listed[u.Name] = true
		e, ok := c.registry[u.Name]
		if ok && !e.gone && sameRouting(e.upstream, u) {
			e.upstream = u
			continue
		}
		c.publisher.revision++
		c.registry[u.Name] = &registryEntry{upstream: u, revision: c.publisher.revision}
	}
	for name, e := range c.registry {
		switch {
		case listed[name]:
		case !e.gone:
			c.publisher.revision++
			*e = registryEntry{gone: true, goneAt: now, revision: c.publisher.revision}
		case now.Sub(e.goneAt) > goneEntryTTL:
			delete(c.registry, name)
		}
	}
}

// sameRouting reports whether two entries of an upstream are the same for
// routing. The controller reports what an engine holds to the gateways instead.
func sameRouting(a, b *fleet.Upstream) bool {
	return a.Started.Equal(b.Started) && a.Service == b.Service && a.Address == b.Address && a.DataCentre == b.DataCentre &&
		a.Slots == b.Slots && a.Draining == b.Draining
}
