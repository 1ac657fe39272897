package eligibility_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lagoonvalve/lagoonvalve/internal/decide/eligibility"
)

// Guards against a choice that outlives what it was based on: an upstream that has left,
// restarted, begun to drain or dropped the model since.
func TestCheck(t *testing.T) {
	start := time.Unix(1000, 0)
	sound := eligibility.Upstream{Listed: true, Started: start, HoldsTarget: true}
	for want, change := range map[eligibility.Reason]func(*eligibility.Upstream){
		eligibility.Eligible:  func(*eligibility.Upstream) {},
		eligibility.Gone:      func(u *eligibility.Upstream) { *u = eligibility.Upstream{} },
		eligibility.Restarted: func(u *eligibility.Upstream) { u.Started = start.Add(time.Millisecond) },
		eligibility.Draining:  func(u *eligibility.Upstream) { u.Draining = true },
		eligibility.NotHeld:   func(u *eligibility.Upstream) { u.HoldsTarget = false },
	} {
		u := sound
		change(&u)
		NewWithT(t).Expect(eligibility.Check(start, u, start)).To(Equal(want))
	}
}
