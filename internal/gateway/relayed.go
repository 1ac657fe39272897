package gateway

import (
	"sync/atomic"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/fleet"
	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// relayedAge is the maximum age of the controller's last read of a feed; beyond it a
// gateway reads the feed itself. It is well below the times within which gateways
// must have read that an upstream is leaving or that a manifest is in force.
const relayedAge = 1500 * time.Millisecond

// relayedFeeds is the state of the feeds as reported by a controller in another
// process.
type relayedFeeds struct {
	// registryReadAt and manifestReadAt are the times of the controller's last
	// reads.
	registryReadAt, manifestReadAt atomic.Pointer[time.Time]
	// manifestVersion is the version of the manifest that the controller holds.
	manifestVersion atomic.Uint64
	// requestAll is set if the next request has to be for the whole registry.
	requestAll atomic.Bool
	// skipped is set once entries of the registry were not applied, until the whole registry
	// is requested. Only the goroutine that polls the controller uses it.
	skipped bool
}

// reset causes both feeds to be read again.
func (r *relayedFeeds) reset() {
	r.registryReadAt.Store(new(time.Time))
	r.manifestReadAt.Store(new(time.Time))
}

// applyRelayed records what a controller in another process reports of the feeds, and
// reports whether its entries of the registry may be applied. A controller that can't read
// the registry repeats its entry of an upstream whenever what that holds changes; the
// upstream may have left meanwhile, and this gateway may have read that itself.
//
// Both feeds are read again after a change of the controller, as the new one
// doesn't repeat the changes reported by its predecessor, and while the controller
// can't reach the store, so that this gateway can report to it whether it can
// itself.
func (g *Gateway) applyRelayed(result rpc.ResidencyResult, newTerm bool) (current bool) {
	current = result.Unrenewed == 0 && result.RegistryAge.Std() < relayedAge
	switch {
	case !current:
		g.relayed.skipped = g.relayed.skipped || len(result.Upstreams) > 0
	case g.relayed.skipped:
		g.relayed.skipped = false
		g.requestRegistry()
	}
	if newTerm || result.Unrenewed != 0 {
		g.relayed.reset()
		return current
	}
	registry := time.Now().Add(-result.RegistryAge.Std())
	manifest := time.Now().Add(-result.ManifestAge.Std())
	g.relayed.manifestVersion.Store(result.Manifest)
	g.relayed.registryReadAt.Store(&registry)
	g.relayed.manifestReadAt.Store(&manifest)
	return current
}

// requestRegistry makes the next request to the controller one for the whole registry. From
// now on this gateway uses the controller's registry. It may lack entries of that, as it has
// read the registry at another moment, and the controller reports changes only.
func (g *Gateway) requestRegistry() { g.relayed.requestAll.Store(true) }

// prepareResidency updates the parameters of the next request to the controller.
func (g *Gateway) prepareResidency(params *rpc.ResidencyParams) {
	params.StoreAge = state.Duration(time.Since(*g.lastStoreRead.Load()))
	if g.relayed.requestAll.Swap(false) {
		params.Revision = 0
	}
}

// registryRelayed reports whether a controller in another process relays changes of
// the registry promptly enough.
func (g *Gateway) registryRelayed(now time.Time) bool {
	return now.Sub(*g.relayed.registryReadAt.Load()) < relayedAge
}

// manifestRelayed reports whether a controller in another process has read the
// manifest feed recently and holds no newer manifest than this gateway. It is false while
// the controller does not confirm that manifest often enough to check keys, as one of an
// older build.
func (g *Gateway) manifestRelayed(now time.Time) bool {
	known := g.view.Load().manifest
	if known == nil || known.HasTeams() && g.opts.Access.NeedsConfirmation(g.manifestState()) {
		return false
	}
	return known.Version >= fleet.Version(g.relayed.manifestVersion.Load()) && now.Sub(*g.relayed.manifestReadAt.Load()) < relayedAge
}
