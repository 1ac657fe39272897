package gateway

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lagoonvalve/lagoonvalve/internal/controller"
	"github.com/lagoonvalve/lagoonvalve/internal/fleet"
	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// Guards against a gateway that keeps an old manifest although the controller holds
// a newer one, that relies on a read of the controller that is too old, or that
// relies on a new controller, which doesn't repeat its predecessor's changes.
func TestManifestIsReadUnlessRelayedOneIsCurrent(t *testing.T) {
	g := NewWithT(t)
	gw := New(Options{DataCentre: "dc", Controller: controller.New(controller.Options{})})
	tables := newTables("dc", nil)
	tables.applyManifest(fleet.NewManifest(5, nil, nil, 0))
	relayed := func(version uint64, age time.Duration, newTerm bool) bool {
		gw.applyRelayed(rpc.ResidencyResult{
			Manifest: version, ManifestAge: state.Duration(age), RegistryAge: state.Duration(age),
		}, newTerm)
		return gw.manifestRelayed(time.Now())
	}
	g.Expect(relayed(5, 0, false)).To(BeFalse(), "this gateway has no manifest")
	gw.view.Store(tables.view(time.Now()))
	g.Expect(relayed(5, 100*time.Millisecond, false)).To(BeTrue())
	g.Expect(relayed(6, 100*time.Millisecond, false)).To(BeFalse(), "the controller knows a newer manifest")
	g.Expect(relayed(5, 2*time.Second, false)).To(BeFalse(), "the controller read the manifest too long ago")
	g.Expect(gw.registryRelayed(time.Now())).To(BeFalse())
	g.Expect(relayed(4, 0, false)).To(BeTrue(), "this gateway has read a newer manifest itself")
	g.Expect(gw.registryRelayed(time.Now())).To(BeTrue())
	gw.applyRelayed(rpc.ResidencyResult{Manifest: 5, Unrenewed: 1}, false)
	g.Expect(gw.manifestRelayed(time.Now())).To(BeFalse(), "a controller that can't reach the store")
	g.Expect(relayed(5, 0, false)).To(BeTrue())
	g.Expect(relayed(5, 0, true)).To(BeFalse(), "a new controller")
	g.Expect(gw.registryRelayed(time.Now())).To(BeFalse())
}

// Guards against limits whose sum exceeds the time within which a manifest must be in
// force or an upstream must get no more requests. When the controller stops
// responding, its last read first has to exceed relayedAge, and then this gateway
// reads the feed itself.
func TestRelayTimeoutsFitPropagationLimit(t *testing.T) {
	g := NewWithT(t)
	const read = 200 * time.Millisecond
	g.Expect(relayedAge + relayedPoll + read).To(BeNumerically("<", 2*time.Second))
	// In normal operation the age of the read stays within relayedAge.
	g.Expect(max(sharedFollowWait, upstreamReadInterval, manifestReadInterval) + residencyWait + read).To(BeNumerically("<=", relayedAge))
}
