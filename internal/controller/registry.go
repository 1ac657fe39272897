package controller

import (
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/fleet"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// goneFor is how long the controller tells that an upstream is gone. A gateway
// that has not asked for so long reads the registry itself.
const goneFor = time.Minute

// registryEntry is an upstream as the registry lists it, for gateways that do
// not read the registry themselves.
type registryEntry struct {
	upstream *fleet.Upstream
	// revision numbers the last change that matters to a gateway.
	revision uint64
	// shown is what gateways are told, by the revision in it.
	shown  *shownEntry
	gone   bool
	goneAt time.Time
}

// RecordRegistryRead notes that this process has read the registry.
func (c *Controller) RecordRegistryRead(now time.Time) { c.shown.registryRead.Store(&now) }

// RecordManifestRead notes that this process has read for a manifest.
func (c *Controller) RecordManifestRead(now time.Time) { c.shown.manifestRead.Store(&now) }

// IsActing reports whether this process is the controller, by whose reading others
// go.
func (c *Controller) IsActing() bool { return c.shown.load() != nil }

// syncRegistry follows the registry for other gateways.
func (c *Controller) syncRegistry(f *Fleet, now time.Time) {
	if f == c.synced {
		return
	}
	c.synced = f
	if f.Manifest.Version != c.told {
		c.told = f.Manifest.Version
		c.shown.revision++
	}
	listed := make(map[state.UpstreamName]bool, len(f.Upstreams))
	for _, u := range f.Upstreams {
		listed[u.Name] = true
		e, ok := c.registry[u.Name]
		if ok && !e.gone && sameToGateways(e.upstream, u) {
			e.upstream = u
			continue
		}
		c.shown.revision++
		c.registry[u.Name] = &registryEntry{upstream: u, revision: c.shown.revision}
	}
	for name, e := range c.registry {
		switch {
		case listed[name]:
		case !e.gone:
			c.shown.revision++
			*e = registryEntry{gone: true, goneAt: now, revision: c.shown.revision}
		case now.Sub(e.goneAt) > goneFor:
			delete(c.registry, name)
		}
	}
}

// sameToGateways reports whether two entries of an upstream are the same to a
// gateway that routes by them. What an engine holds it learns from the
// controller.
func sameToGateways(a, b *fleet.Upstream) bool {
	return a.Started.Equal(b.Started) && a.Service == b.Service && a.Address == b.Address && a.DataCentre == b.DataCentre &&
		a.Slots == b.Slots && a.Draining == b.Draining
}
