package gateway

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lagoonvalve/lagoonvalve/internal/fleet"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// Guards against a limit that ends with an answer from before it, as answers overtake
// each other.
func TestOlderAnswerDoesNotEndALimit(t *testing.T) {
	g := NewWithT(t)
	var s limitState
	now := time.Unix(1000, 0)
	limit := fleet.RateLimit{Limited: true, PerSecond: 2}
	g.Expect(s.record(fleet.RateLimit{}, now)).To(BeFalse())
	g.Expect(s.record(limit, now.Add(time.Second))).To(BeTrue())
	g.Expect(s.record(fleet.RateLimit{}, now)).To(BeFalse())
	g.Expect(s.record(limit, now.Add(2*time.Second))).To(BeFalse())
	g.Expect(s.permitDelay(now)).To(BeNumerically(">", 0))
	g.Expect(s.record(fleet.RateLimit{}, now.Add(3*time.Second))).To(BeTrue())
	g.Expect(s.permitDelay(now)).To(BeZero())
	_, observedAt := s.current()
	g.Expect(observedAt).To(Equal(now.Add(3*time.Second)), "the controller must take the end for newer than the limit")
}

// Guards against an upstream with a limit that gets no requests while the controller is
// lost, and against gateways that together send more than the limit then.
func TestOwnPermitsStayWithinTheLimit(t *testing.T) {
	g := NewWithT(t)
	const gateways, perSecond, seconds = 6, 3, 20
	start := time.Unix(1000, 0)
	granted := 0
	for range gateways {
		var s limitState
		s.record(fleet.RateLimit{Limited: true, PerSecond: perSecond}, start)
		for i := range 10 * seconds {
			if s.ownPermit(start.Add(time.Duration(i)*100*time.Millisecond), gateways, 0).Granted {
				granted++
			}
		}
		later := s.ownPermit(start.Add(seconds*time.Second), gateways, time.Minute)
		g.Expect(later.Granted).To(BeTrue())
		g.Expect(later.Delay.Std()).To(BeNumerically("<=", gateways*time.Second/perSecond))
	}
	g.Expect(granted).To(And(BeNumerically("<=", perSecond*seconds), BeNumerically(">=", perSecond*(seconds-3))))
}

// Guards against permits of a gateway's own part that are valid beside those that the lost
// controller has granted: together they exceed the limit.
func TestOwnPermitsFollowThoseOfTheController(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	var s limitState
	s.record(fleet.RateLimit{Limited: true, PerSecond: 8}, now)
	s.recordPermit(3, now.Add(5*time.Second))
	s.recordPermit(3, now.Add(2*time.Second))
	g.Expect(s.ownPermit(now, minGateways, 4*time.Second).Granted).To(BeFalse())
	first := s.ownPermit(now, minGateways, time.Minute)
	g.Expect(first.Granted).To(BeTrue())
	g.Expect(first.Delay.Std()).To(And(BeNumerically(">=", 5*time.Second), BeNumerically("<=", 7*time.Second)))
}

// Guards against a new controller that is not told of the permits of the former one, and
// against one that is told of its own: it would skip permits for the time that messages
// take.
func TestHeldPermitsByGrantor(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	m := &member{upstream: &fleet.Upstream{Name: "u"}, stats: &upstreamStats{}}
	s := &m.stats.limit
	s.recordPermit(3, now.Add(5*time.Second))
	held := m.observation(now)
	g.Expect([]any{held.GrantedBy, held.GrantedUntil.Std(), held.EarlierUntil.Std()}).To(Equal([]any{state.FencingToken(3), 5 * time.Second, time.Duration(0)}))
	s.recordPermit(0, now.Add(2*time.Second))
	s.recordPermit(4, now.Add(time.Second))
	held = m.observation(now)
	g.Expect([]any{held.GrantedBy, held.GrantedUntil.Std(), held.EarlierUntil.Std()}).To(Equal([]any{state.FencingToken(4), time.Second, 5 * time.Second}))
}

// Guards against a loop of requests for permits while the controller is lost.
func TestPermitsAreNotRequestedAgainAtOnce(t *testing.T) {
	g := NewWithT(t)
	var s limitState
	now := time.Unix(1000, 0)
	g.Expect(s.isControllerLost(now)).To(BeFalse())
	s.setControllerLost(now)
	g.Expect(s.isControllerLost(now.Add(permitRetryDelay - time.Millisecond))).To(BeTrue())
	g.Expect(s.isControllerLost(now.Add(permitRetryDelay))).To(BeFalse())
}
