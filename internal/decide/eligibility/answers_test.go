package eligibility_test

import (
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lagoonvalve/lagoonvalve/internal/decide/eligibility"
	"github.com/lagoonvalve/lagoonvalve/internal/fleet"
)

// Guards against an upstream that is taken to stay after all, since an answer from before it
// began to leave arrives last.
func TestLeaving(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	var a eligibility.Answers
	g.Expect(a.Record(fleet.AnswerInfo{Leaving: true, Pause: time.Second}, now)).To(Equal(eligibility.Leaving))
	g.Expect(a.Record(fleet.AnswerInfo{Leaving: true}, now)).To(Equal(eligibility.Eligible))
	g.Expect(a.Record(fleet.AnswerInfo{}, now)).To(Equal(eligibility.Eligible))
	u := eligibility.Upstream{Listed: true, Started: now, HoldsTarget: true, Answers: a}
	g.Expect(eligibility.Check(now, u, now.Add(time.Hour))).To(Equal(eligibility.Leaving))
}

// Guards against a pause that ends early with a later answer, does not end, or keeps an
// upstream out of use for good because of one absurd value.
func TestPause(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	var a eligibility.Answers
	g.Expect(a.Record(fleet.AnswerInfo{}, now)).To(Equal(eligibility.Eligible))
	g.Expect(a.PauseLeft(now)).To(BeZero())
	g.Expect(a.Record(fleet.AnswerInfo{Pause: 5 * time.Second}, now)).To(Equal(eligibility.Paused))
	g.Expect(a.Record(fleet.AnswerInfo{Pause: time.Second}, now.Add(time.Second))).To(Equal(eligibility.Eligible))
	g.Expect(a.Record(fleet.AnswerInfo{}, now.Add(time.Second))).To(Equal(eligibility.Eligible))
	g.Expect(a.PauseLeft(now.Add(2 * time.Second))).To(Equal(3 * time.Second))
	sound := eligibility.Upstream{Listed: true, Started: now, HoldsTarget: true, Answers: a}
	g.Expect(eligibility.Check(now, sound, now.Add(5*time.Second-1))).To(Equal(eligibility.Paused))
	g.Expect(eligibility.Check(now, sound, now.Add(5*time.Second))).To(Equal(eligibility.Eligible))
	a.Record(fleet.AnswerInfo{Pause: 10 * time.Minute}, now)
	g.Expect(a.PauseLeft(now)).To(Equal(10*time.Minute), "the upstream wants nothing for so long")
	a.Record(fleet.AnswerInfo{Pause: math.MaxInt64}, now)
	g.Expect(a.PauseLeft(now)).To(BeNumerically("<=", time.Hour))
	g.Expect(a.Record(fleet.AnswerInfo{Pause: time.Second}, now.Add(time.Hour))).To(Equal(eligibility.Paused))
}

// Guards against an upstream that is avoided although it serves requests between its
// refusals, or for good, against several requests that find out at the same time that it
// still refuses, and against refusals to requests sent before that count as further ones.
func TestAvoidance(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	var a eligibility.Answers
	refuse := func(times int) (began int) {
		for range times {
			if a.RecordRefusal(now) == eligibility.Refusing {
				began++
			}
		}
		return began
	}
	a.RecordChosen(now)
	for range 5 {
		refuse(2)
		g.Expect(a.Avoided(now)).To(BeFalse())
		a.RecordServed()
	}
	g.Expect(refuse(10)).To(Equal(1))
	g.Expect(a.Avoided(now.Add(199 * time.Millisecond))).To(BeTrue())
	now = now.Add(200 * time.Millisecond)
	g.Expect(a.Avoided(now)).To(BeFalse())
	a.RecordChosen(now)
	g.Expect(a.Avoided(now)).To(BeTrue(), "while the probe is on its way")
	g.Expect(refuse(1)).To(BeZero(), "it goes on")
	g.Expect(a.Avoided(now.Add(399 * time.Millisecond))).To(BeTrue())
	g.Expect(a.Avoided(now.Add(400 * time.Millisecond))).To(BeFalse())
	for range 20 {
		now = now.Add(time.Minute)
		a.RecordChosen(now)
		refuse(1)
	}
	g.Expect(a.Avoided(now.Add(5 * time.Second))).To(BeFalse())
	a.RecordServed()
	g.Expect(a.Avoided(now)).To(BeFalse())
	refuse(2)
	g.Expect(a.Avoided(now)).To(BeFalse(), "it begins anew")
}
