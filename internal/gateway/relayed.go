package gateway

import (
	"sync/atomic"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/fleet"
	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
)

// relayedAge is how old the controller's reading of a feed may be before a
// gateway reads the feed itself. It is well below the times within which gateways
// must know that an upstream leaves or that a manifest is in force.
const relayedAge = 1500 * time.Millisecond

// relay is what the controller of another process has said of the feeds.
type relay struct {
	// registryAsOf and manifestAsOf are when it had read them.
	registryAsOf, manifestAsOf atomic.Pointer[time.Time]
	// manifest is the version of the manifest that it knows.
	manifest atomic.Uint64
}

// forget has the feeds be read once more.
func (r *relay) forget() {
	r.registryAsOf.Store(new(time.Time))
	r.manifestAsOf.Store(new(time.Time))
}

// takeRelayed takes what the controller of another process says of the feeds.
// With a new controller both are read once more, since that one does not tell
// what its predecessor had told; and so they are for one that can't reach the
// store, to tell it whether this gateway can.
func (g *Gateway) takeRelayed(result rpc.ResidencyResult, newTerm bool) {
	if newTerm || result.Unrenewed != 0 {
		g.relay.forget()
		return
	}
	registry := time.Now().Add(-result.RegistryAge.Std())
	manifest := time.Now().Add(-result.ManifestAge.Std())
	g.relay.manifest.Store(result.Manifest)
	g.relay.registryAsOf.Store(&registry)
	g.relay.manifestAsOf.Store(&manifest)
}

// registryRelayed reports whether the controller of another process tells the
// changes of the registry soon enough.
func (g *Gateway) registryRelayed(now time.Time) bool {
	return now.Sub(*g.relay.registryAsOf.Load()) < relayedAge
}

// manifestRelayed reports whether the controller of another process has read for
// a manifest lately and knows of none that this gateway has not.
func (g *Gateway) manifestRelayed(now time.Time) bool {
	known := g.view.Load().manifest
	return known != nil && known.Version >= fleet.Version(g.relay.manifest.Load()) &&
		now.Sub(*g.relay.manifestAsOf.Load()) < relayedAge
}
