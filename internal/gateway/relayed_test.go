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

// Guards against a gateway that goes on by an old manifest though the controller
// knows of a newer one, by a reading that is too old, or by the word of a new
// controller that does not know what its predecessor had told.
func TestManifestIsReadUnlessTheControllerKnowsNoNewer(t *testing.T) {
	g := NewWithT(t)
	gw := New(Options{DataCentre: "dc", Controller: controller.New(controller.Options{})})
	tables := newTables("dc", nil)
	tables.applyManifest(fleet.NewManifest(5, nil, nil, 0))
	say := func(version uint64, age time.Duration, newTerm bool) bool {
		gw.takeRelayed(rpc.ResidencyResult{
			Manifest: version, ManifestAge: state.Duration(age), RegistryAge: state.Duration(age),
		}, newTerm)
		return gw.manifestRelayed(time.Now())
	}
	g.Expect(say(5, 0, false)).To(BeFalse(), "no manifest is known here")
	gw.view.Store(tables.view(time.Now()))
	g.Expect(say(5, 100*time.Millisecond, false)).To(BeTrue())
	g.Expect(say(6, 100*time.Millisecond, false)).To(BeFalse(), "a newer one")
	g.Expect(say(5, 2*time.Second, false)).To(BeFalse(), "an old reading")
	g.Expect(gw.registryRelayed(time.Now())).To(BeFalse())
	g.Expect(say(4, 0, false)).To(BeTrue(), "this gateway has read a newer one itself")
	g.Expect(gw.registryRelayed(time.Now())).To(BeTrue())
	gw.takeRelayed(rpc.ResidencyResult{Manifest: 5, Unrenewed: 1}, false)
	g.Expect(gw.manifestRelayed(time.Now())).To(BeFalse(), "a controller that can't reach the store")
	g.Expect(say(5, 0, false)).To(BeTrue())
	g.Expect(say(5, 0, true)).To(BeFalse(), "a new controller")
	g.Expect(gw.registryRelayed(time.Now())).To(BeFalse())
}

// Guards against limits that together exceed the time within which a manifest
// must be in force or an upstream must be left alone, when the controller falls
// silent: its reading ages, then the feed is read.
func TestRelayedFeedsAreInForceInTime(t *testing.T) {
	g := NewWithT(t)
	const read = 200 * time.Millisecond
	g.Expect(relayedAge + relayedPoll + read).To(BeNumerically("<", 2*time.Second))
	// While all is well the reading never looks too old.
	g.Expect(max(reliedOnWait, upstreamPace, manifestPace) + residencyWait + read).To(BeNumerically("<=", relayedAge))
}
