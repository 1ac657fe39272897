package quarantine_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lagoonvalve/lagoonvalve/internal/decide/quarantine"
)

// Parts of prompts: system and session are shared by sound requests, deadly crashes
// each upstream that writes an answer on it.
const (
	system quarantine.Key = iota + 1
	session
	deadly
	otherSession
)

// crashes feeds crashes to an attribution, each of a further upstream unless named.
type crashes struct {
	*quarantine.Attribution
	start time.Time
	next  quarantine.Key
}

func newCrashes() *crashes {
	return &crashes{Attribution: quarantine.NewAttribution(quarantine.DefaultAttributionSettings()), start: time.Unix(1000, 0), next: 1000}
}

func (c *crashes) at(after time.Duration) time.Time { return c.start.Add(after) }

// run returns a request that is like no other one.
func (c *crashes) run(parts ...quarantine.Key) quarantine.Run {
	c.next++
	return quarantine.Run{Parts: parts, Content: c.next}
}

func (c *crashes) crash(after time.Duration, runs ...quarantine.Run) {
	c.next++
	c.RecordCrash(quarantine.CrashID{Upstream: "u", Started: int64(c.next)}, c.at(after), c.at(after), runs)
}

// decided returns the quarantines that are decided at a time, once all gateways had
// the time to report the crashes before it.
func (c *crashes) decided(after time.Duration) (keys []quarantine.Key) {
	delay := quarantine.DefaultAttributionSettings().ReportDelay
	for _, d := range c.Decide(c.at(after + delay)) {
		keys = append(keys, d.Key)
	}
	return keys
}

// Guards against a prompt part that crashes one upstream after the other because no
// two of its requests are alike, and against the quarantine of the parts that sound
// requests share with it.
func TestPartThatCrashesUpstreamsIsQuarantined(t *testing.T) {
	g := NewWithT(t)
	c := newCrashes()
	c.RecordSound(system, c.at(0))
	c.RecordSound(session, c.at(0))
	for i := range 2 {
		c.crash(time.Duration(i+1)*time.Second, c.run(system, session, deadly), c.run(system, otherSession))
	}
	c.RecordSound(otherSession, c.at(2500*time.Millisecond))
	g.Expect(c.decided(3*time.Second)).To(BeEmpty(), "two crashes")
	c.crash(4*time.Second, c.run(system, session, deadly))
	g.Expect(c.decided(4 * time.Second)).To(Equal([]quarantine.Key{deadly}))
	g.Expect(c.Quarantined(c.at(5 * time.Second))).To(HaveKey(deadly))
	c.crash(5*time.Second, c.run(system, session, deadly))
	g.Expect(c.decided(6*time.Second)).To(BeEmpty(), "a request that was on its way")
}

// Guards against the quarantine of the parts that sound requests share, when none of
// them has been answered yet, the crashes go on for a moment, and one of them lacks the
// report of the gateway that had sent the deadly request.
func TestLastCommonPartIsQuarantined(t *testing.T) {
	g := NewWithT(t)
	c := newCrashes()
	for i := range 3 {
		c.crash(time.Duration(i)*time.Second, c.run(system, session, deadly))
	}
	c.crash(500*time.Millisecond, c.run(system, session))
	g.Expect(c.decided(2 * time.Second)).To(Equal([]quarantine.Key{deadly}))
	c.crash(2100*time.Millisecond, c.run(system, session, deadly), c.run(system, session))
	for after := 2 * time.Second; after < 10*time.Second; after += 100 * time.Millisecond {
		g.Expect(c.decided(after)).To(BeEmpty())
	}
}

// Guards against a decision on the report of one gateway, while that of the gateway
// which had sent the deadly request is on its way.
func TestDecisionWaitsForAllReports(t *testing.T) {
	g := NewWithT(t)
	c := newCrashes()
	for i := range 3 {
		id := quarantine.CrashID{Upstream: "u", Started: int64(i)}
		c.RecordCrash(id, c.at(time.Duration(i)*time.Second), c.at(time.Duration(i)*time.Second), []quarantine.Run{c.run(system)})
		g.Expect(c.Decide(c.at(time.Duration(i)*time.Second + 100*time.Millisecond))).To(BeEmpty())
		c.RecordCrash(id, c.at(time.Duration(i)*time.Second), c.at(time.Duration(i)*time.Second), []quarantine.Run{c.run(system, deadly)})
	}
	g.Expect(c.decided(2 * time.Second)).To(Equal([]quarantine.Key{deadly}))
}

// Guards against a new controller that decides on the first gateway's repeated reports:
// the crashes are long past, but those of the gateway that had sent the deadly requests,
// and what speaks for the other parts, are on their way.
func TestNewControllerWaitsForAllReports(t *testing.T) {
	g := NewWithT(t)
	c := newCrashes()
	report := func(after time.Duration, run quarantine.Run) {
		for i := range 3 {
			c.RecordCrash(quarantine.CrashID{Upstream: "u", Started: int64(i)}, c.at(time.Duration(i)*time.Second), c.at(after), []quarantine.Run{run})
		}
	}
	report(10*time.Second, c.run(system))
	g.Expect(c.Decide(c.at(10 * time.Second))).To(BeEmpty())
	report(10100*time.Millisecond, c.run(system, deadly))
	g.Expect(c.Decide(c.at(10400 * time.Millisecond))).To(BeEmpty())
	g.Expect(c.decided(11 * time.Second)).To(Equal([]quarantine.Key{deadly}))
}

// Guards against a request that comes again and again and has no parts, or parts of
// which others are sound.
func TestWholeRequestIsQuarantined(t *testing.T) {
	g := NewWithT(t)
	c := newCrashes()
	whole := c.run(system)
	plain := c.run()
	c.RecordSound(system, c.at(0))
	for i := range 3 {
		c.crash(time.Duration(i+1)*time.Second, whole)
		c.crash(time.Duration(i+1)*time.Second, plain)
	}
	g.Expect(c.decided(3 * time.Second)).To(ConsistOf(whole.Content, plain.Content))
}

// Guards against a part that goes on crashing upstreams because a later part was in
// the first crashes too.
func TestEarlierPartFollows(t *testing.T) {
	g := NewWithT(t)
	c := newCrashes()
	for i := range 3 {
		c.crash(time.Duration(i)*time.Second, c.run(deadly, session))
	}
	g.Expect(c.decided(2 * time.Second)).To(Equal([]quarantine.Key{session}))
	for i := range 3 {
		c.crash(time.Duration(i+3)*time.Second, c.run(deadly, otherSession+quarantine.Key(i)))
	}
	g.Expect(c.decided(5 * time.Second)).To(Equal([]quarantine.Key{deadly}))
}

// Guards against the quarantine of requests that were running when a rack failed or
// when an unreliable upstream crashed again and again.
func TestCrashesOfSoundRequests(t *testing.T) {
	g := NewWithT(t)
	c := newCrashes()
	for i := range 10 {
		c.crash(time.Duration(i)*20*time.Millisecond, c.run(system, session))
	}
	g.Expect(c.decided(3*time.Second)).To(BeEmpty(), "crashes at the same moment")
	c = newCrashes()
	for i := range 20 {
		c.crash(time.Duration(i)*time.Second, c.run(system, session), c.run(system, otherSession))
		g.Expect(c.decided(time.Duration(i) * time.Second)).To(BeEmpty())
		c.RecordSound(system, c.at(time.Duration(i)*time.Second+time.Millisecond))
		c.RecordSound([]quarantine.Key{session, otherSession}[i%2], c.at(time.Duration(i)*time.Second+time.Millisecond))
	}
	c = newCrashes()
	c.crash(0, c.run(system))
	c.crash(300*time.Millisecond, c.run(system))
	c.crash(600*time.Millisecond, c.run(system))
	g.Expect(c.Decide(c.at(900*time.Millisecond))).To(BeEmpty(), "reports of sound runs may still arrive")
}

// Guards against a part that was sound before, and that no later part explains.
func TestPartThatTurnsDeadly(t *testing.T) {
	g := NewWithT(t)
	c := newCrashes()
	c.RecordSound(system, c.at(0))
	for i := range 3 {
		c.crash(time.Duration(i+1)*time.Second, c.run(system))
	}
	g.Expect(c.decided(3 * time.Second)).To(Equal([]quarantine.Key{system}))
}

// Guards against a wrong quarantine that lasts although an upstream has written an
// answer, and against three more crashes after the end of a right one.
func TestEndOfQuarantine(t *testing.T) {
	g := NewWithT(t)
	c := newCrashes()
	for i := range 3 {
		c.crash(time.Duration(i)*time.Second, c.run(deadly))
		c.crash(time.Duration(i)*time.Second, c.run(session))
	}
	g.Expect(c.decided(2 * time.Second)).To(ConsistOf(deadly, session))
	g.Expect(c.RecordSound(session, c.at(3*time.Second))).To(BeTrue())
	g.Expect(c.Quarantined(c.at(3 * time.Second))).To(HaveKeyWithValue(session, time.Time{}))
	later := quarantine.DefaultAttributionSettings().FirstDuration + 3*time.Second
	g.Expect(c.Quarantined(c.at(later))).NotTo(HaveKey(deadly))
	c.crash(later, c.run(deadly), c.run(session))
	g.Expect(c.decided(later + time.Second)).To(Equal([]quarantine.Key{deadly}))
	g.Expect(c.Quarantined(c.at(later + time.Hour))).To(HaveKey(deadly))
}

// Guards against one crash that counts several times because several gateways report
// it, or one gateway again to a new controller.
func TestReportsOfOneCrashAreMerged(t *testing.T) {
	g := NewWithT(t)
	c := newCrashes()
	for i := range 5 {
		id := quarantine.CrashID{Upstream: "u", Started: 1}
		c.RecordCrash(id, c.at(time.Duration(i)*time.Second), c.at(time.Duration(i)*time.Second), []quarantine.Run{c.run(deadly)})
	}
	g.Expect(c.decided(5 * time.Second)).To(BeEmpty())
}

// Guards against a quarantine that is lost with the controller, and against a new
// controller that needs more crashes for it.
func TestRestoredQuarantine(t *testing.T) {
	g := NewWithT(t)
	c := newCrashes()
	c.Restore(deadly, c.at(time.Minute))
	c.Restore(deadly, c.at(time.Second))
	g.Expect(c.Quarantined(c.at(2 * time.Second))).To(HaveKeyWithValue(deadly, c.at(time.Minute)))
	c.RecordSound(deadly, c.at(3*time.Second))
	c.Restore(deadly, c.at(time.Minute))
	g.Expect(c.Quarantined(c.at(4 * time.Second))).To(HaveKeyWithValue(deadly, time.Time{}))
}

// Guards against memory that grows with the number of crashes and requests.
func TestAttributionIsBounded(t *testing.T) {
	g := NewWithT(t)
	c := newCrashes()
	settings := quarantine.DefaultAttributionSettings()
	for i := range 4 * settings.MaxCrashes {
		runs := make([]quarantine.Run, settings.MaxKeys)
		for j := range runs {
			runs[j] = c.run()
		}
		c.crash(time.Duration(i)*time.Second, runs...)
	}
	g.Expect(c.Suspects(c.at(time.Hour), 100)).To(HaveLen(100))
	g.Expect(len(c.Suspects(c.at(time.Hour), 1<<20))).To(BeNumerically("<=", settings.MaxCrashes*settings.MaxKeys))
	for i := range quarantine.Key(2 * settings.MaxQuarantines) {
		c.Restore(i, c.at(time.Hour+time.Duration(i)))
	}
	g.Expect(c.Quarantined(c.at(0))).To(HaveLen(settings.MaxQuarantines))
}
