package entry

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lagoonvalve/lagoonvalve/internal/oplang"
	"github.com/lagoonvalve/lagoonvalve/internal/platform"
	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
	"github.com/lagoonvalve/lagoonvalve/internal/standin"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// Guards against a log that answers each of 44 entries once per change, against
// a configuration that is in force only after the limit of 13 s, and against
// operators, agents and a lease that the pace of the reads holds up.
func TestManyEntriesReadTheConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		const size, changes = 44, 100
		entries := size
		if raceDetector {
			// The race detector itself crashes now and then while many
			// entries run (tsan_rtl.cpp:346, go1.26.8). They keep the pace of
			// a region of 44.
			entries = 4
		}
		gap := time.Second * 100 / 87
		r := newTestRegion(t, standin.LogConfig{})
		peers := peersOf("r", size)
		for i := range entries {
			// The entries know their number but not each other, which saves
			// the pings.
			m := r.prepare("r", i, nil, 24*time.Hour)
			m.cfg.Peers = peers
			r.start(m)
		}
		defer r.stopAll()
		time.Sleep(20 * time.Second)
		before := r.readsOf(platform.StreamConfig)
		start := time.Now()
		var writing sync.WaitGroup
		writing.Go(func() {
			for i := range changes {
				appendTo(g, r.log, platform.StreamConfig, state.KindConfigChange, teamChange(fmt.Sprint("t", i)))
				time.Sleep(gap)
			}
		})
		// Without chance, what waits for a read would fall in step with it.
		random := rand.New(rand.NewPCG(1, 2))
		var pauses [2][30]time.Duration
		for i := range pauses[0] {
			pauses[0][i] = time.Second + time.Duration(random.IntN(4000))*time.Millisecond
			pauses[1][i] = time.Second + time.Duration(random.IntN(4000))*time.Millisecond
		}
		var longestWait time.Duration
		writing.Go(func() {
			for i := range 30 {
				began := time.Now()
				_, err := r.members[i%entries].control.changeConfig(t.Context(), teamChange(fmt.Sprint("o", i)))
				g.Expect(err).NotTo(HaveOccurred())
				longestWait = max(longestWait, time.Since(began))
				time.Sleep(pauses[0][i])
			}
		})
		region := platform.RegionStream("r")
		writing.Go(func() {
			for i := range changes {
				appendTo(g, r.log, region, state.KindAgentStart, state.AgentStart{Upstream: state.UpstreamName(fmt.Sprint("u", i)), Incarnation: "1"})
				time.Sleep(gap)
			}
		})
		var longestRegistration time.Duration
		writing.Go(func() {
			for i := range 30 {
				upstream := state.UpstreamName(fmt.Sprint("mine", i))
				at := appendTo(g, r.log, region, state.KindAgentStart, state.AgentStart{Upstream: upstream, Incarnation: "1"})
				began := time.Now()
				result, err := r.members[i%entries].control.part(t.Context(), rpc.PartParams{
					PartQuery: state.PartQuery{Upstream: upstream}, Wait: state.Duration(25 * time.Second),
					AtLeast: rpc.PartOffsets{Config: state.NoOffset, Region: at},
				})
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(result.Lagging).To(BeFalse(), "an agent is sent to another entry")
				longestRegistration = max(longestRegistration, time.Since(began))
				time.Sleep(pauses[1][i])
			}
		})
		// The entries write their audit trails every 2 s, 22 appends a second in
		// a region of 44, and operators ask for them every 5 s.
		audited, asked := platform.AuditStream("r"), oplang.Show{Table: "audit"}
		writing.Go(func() {
			for i := range 22 * changes {
				appendTo(g, r.log, audited, state.KindAudit, state.Audit{Action: "eject", Time: time.Now()})
				if i%110 == 0 {
					_, err := source{entry: r.members[i/110%entries].Entry}.Rows(t.Context(), &asked, time.Now())
					g.Expect(err).NotTo(HaveOccurred())
				}
				time.Sleep(time.Second / 22)
			}
		})
		held, ok := r.members[0].control.view().region.Lease()
		g.Expect(ok).To(BeTrue())
		var slowest time.Duration
		for next := 0; time.Since(start) < changes*gap+10*time.Second; time.Sleep(10 * time.Millisecond) {
			applied := state.Offset(1 << 30)
			for _, m := range r.members {
				applied = min(applied, m.control.view().config.Offset())
			}
			for _, record := range r.log.Records(platform.StreamConfig)[next:] {
				if record.Offset > applied {
					break
				}
				slowest = max(slowest, time.Since(record.Time))
				next++
			}
		}
		writing.Wait()
		perSecond := float64(r.readsOf(platform.StreamConfig)-before) / time.Since(start).Seconds()
		auditReads := float64(r.readsOf(audited)) / time.Since(start).Seconds()
		t.Logf("slowest change in force in all %d entries after %v; an operator waited up to %v, an agent's registration up to %v; %.1f reads/s of the configuration and %.1f of the audit stream at the log",
			entries, slowest, longestWait, longestRegistration, perSecond, auditReads)
		g.Expect(auditReads).To(BeNumerically("<", 1.5))
		g.Expect(longestWait).To(BeNumerically("<", time.Second), "an operator's change")
		later, _ := r.members[0].control.view().region.Lease()
		g.Expect(later.Epoch).To(Equal(held.Epoch), "the lease changed hands")
		for _, m := range r.members {
			_, _, ok := m.control.view().config.Team(state.TeamName(fmt.Sprint("t", changes-1)))
			g.Expect(ok).To(BeTrue())
		}
		g.Expect(slowest).To(BeNumerically("<", 4*time.Second))
		// For an operator's change its entry reads at once what is pending, then
		// the change, and what comes between the two.
		urgent := 3 * float64(len(pauses[0])) / time.Since(start).Seconds()
		g.Expect(perSecond).To(BeNumerically("<", 0.55*float64(entries)+urgent))
	})
}

func (r *testRegion) readsOf(stream platform.Stream) int {
	reads := 0
	for _, m := range r.members {
		reads += m.log.readsOf(stream)
	}
	return reads
}

// Guards against operators who wait for seconds after a handful of changes at
// today's sizes, and against a lease that is lost or a decider that plans late
// because reads are paced.
func TestChangesInARowAtTodaysSize(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		r := newTestRegion(t, standin.LogConfig{})
		peers := peersOf("r", 3)
		for i := range 3 {
			r.connect(r.add("r", i, peers, 24*time.Hour))
		}
		defer r.stopAll()
		time.Sleep(20 * time.Second)
		held, ok := r.members[0].control.view().region.Lease()
		g.Expect(ok).To(BeTrue())
		var slowest, total time.Duration
		for i := range 40 {
			began := time.Now()
			_, err := r.members[0].control.changeConfig(t.Context(), teamChange(fmt.Sprint("t", i)))
			g.Expect(err).NotTo(HaveOccurred())
			slowest = max(slowest, time.Since(began))
			total += time.Since(began)
		}
		t.Logf("40 changes in a row: slowest %v, all %v", slowest, total)
		g.Expect(slowest).To(BeNumerically("<", 400*time.Millisecond))
		// The records of 60 agents that start at once, as after a power loss.
		var last state.Offset
		region := platform.RegionStream("r")
		began := time.Now()
		for i := range 60 {
			last = appendTo(g, r.log, region, state.KindAgentStart, state.AgentStart{Upstream: state.UpstreamName(fmt.Sprint("u", i)), Incarnation: "1"})
			time.Sleep(20 * time.Millisecond)
		}
		appended := time.Now()
		for _, m := range r.members {
			for m.control.view().region.Offset() < last {
				time.Sleep(5 * time.Millisecond)
			}
		}
		t.Logf("60 registrations in %v: the last one read by all entries after %v", appended.Sub(began), time.Since(appended))
		g.Expect(time.Since(appended)).To(BeNumerically("<", 400*time.Millisecond))
		time.Sleep(time.Minute)
		later, _ := r.members[0].control.view().region.Lease()
		g.Expect(later.Epoch).To(Equal(held.Epoch), "the lease changed hands")
	})
}

// Guards against a log that answers each entry of a large region once per write
// of the audit trail, against a query that reads the whole stream again or
// without a bound, and against an answer that does not say what it lacks.
func TestAuditStreamIsReadForQueries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		r := newTestRegion(t, standin.LogConfig{})
		m := r.add("r", 0, nil, 24*time.Hour)
		defer r.stopAll()
		stream := platform.AuditStream("r")
		appendSome := func(n int) {
			var records []state.Record
			for range n {
				records = append(records, newTestRecord(g, state.KindAudit, state.Audit{Action: "eject", Name: "u", Time: time.Now()}))
			}
			_, err := r.log.Append(t.Context(), stream, records)
			g.Expect(err).NotTo(HaveOccurred())
		}
		show := func(statement string) (rows int, lacks []string) {
			query, err := oplang.Parse(statement)
			g.Expect(err).NotTo(HaveOccurred())
			table, err := source{entry: m.Entry}.Rows(t.Context(), query.Show, time.Now())
			g.Expect(err).NotTo(HaveOccurred())
			return len(table.Rows), table.Incomplete
		}
		for range 300 {
			appendSome(1)
			time.Sleep(100 * time.Millisecond)
		}
		g.Expect(m.log.readsOf(stream)).To(BeZero())
		for _, step := range []struct{ added, reads, rows int }{{0, 2, 300}, {0, 1, 300}, {1, 1, 301}, {2000, 5, 2301}} {
			if step.added > 0 {
				appendSome(step.added)
			}
			before := m.log.readsOf(stream)
			rows, lacks := show("show audit where action = eject since < 1h")
			g.Expect(lacks).To(BeEmpty())
			g.Expect(rows).To(Equal(step.rows))
			g.Expect(m.log.readsOf(stream) - before).To(BeNumerically("<=", step.reads))
		}
		time.Sleep(time.Minute)
		for range 50 {
			appendSome(500)
		}
		before := m.log.readsOf(stream)
		rows, lacks := show("show audit")
		g.Expect(rows).To(Equal(5000))
		g.Expect(lacks).To(BeEmpty(), "the table holds the newest entries")
		g.Expect(m.log.readsOf(stream) - before).To(BeNumerically("<=", 42))
		_, lacks = show("show audit since < 1h")
		g.Expect(lacks).To(ConsistOf(HavePrefix("the audit trail before ")))
		time.Sleep(2 * time.Second)
		_, lacks = show("show audit since < 1s")
		g.Expect(lacks).To(BeEmpty())
		skipping, err := newAuditReader(r.log, "r", func([]state.StoredRecord) {}).read(t.Context())
		g.Expect(err).NotTo(HaveOccurred())
		all := r.log.Records(stream)
		g.Expect(skipping).To(Equal(all[len(all)-historyRecords].Time))
		m.log.setCut(true)
		for _, statement := range []string{"show audit", "show counts"} {
			_, lacks = show(statement)
			g.Expect(lacks).To(ConsistOf(HavePrefix("the log: read up to offset 27301")), statement)
		}
	})
}
