package entry

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lagoonvalve/lagoonvalve/internal/logclient"
	"github.com/lagoonvalve/lagoonvalve/internal/platform"
	"github.com/lagoonvalve/lagoonvalve/internal/standin"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// freshTables makes tables of what the log holds, as a process without state
// does. It returns when the snapshot that they start from was written, and
// false if the log has lost records of which it holds no snapshot.
func freshTables(g Gomega, records []state.StoredRecord, t tables) (snapshotAt time.Time, ok bool) {
	reader := logclient.NewSnapshotReader(state.NoOffset)
	for _, record := range records {
		if snapshot, complete := reader.Add(record); complete {
			g.Expect(t.Restore(snapshot.Data, snapshot.Covered)).To(Succeed())
			snapshotAt = record.Time
		}
	}
	if len(records) == 0 || records[0].Offset > t.Offset()+1 {
		return snapshotAt, false
	}
	for _, record := range records {
		t.Apply(record)
	}
	return snapshotAt, true
}

// Guards against records that the log drops before a snapshot covers them, also
// when an outage of an hour begins just before a snapshot is due, and against
// a snapshot that comes late after the outage.
func TestLogAloneIsEnoughForANewEntry(t *testing.T) {
	// Snapshots are due after a minute and then each 25 minutes.
	const retention, outageAt, outageEnd = 100 * time.Minute, 75 * time.Minute, 135 * time.Minute
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		r := newTestRegion(t, standin.LogConfig{RetainFor: retention})
		r.add("r", 0, nil, retention)
		defer r.stopAll()
		region := platform.RegionStream("r")
		for i := range 200 {
			if at := time.Duration(i) * time.Minute; i%7 == 0 && (at < outageAt || at >= outageEnd) {
				appendTo(g, r.log, platform.StreamConfig, state.KindConfigChange, teamChange(fmt.Sprint("t", i)))
				appendTo(g, r.log, region, state.KindAgentStart, state.AgentStart{Upstream: state.UpstreamName(fmt.Sprint("u", i)), Incarnation: "1"})
			}
			time.Sleep(time.Minute)
			since := time.Duration(i+1) * time.Minute
			r.log.SetFaults(standin.LogFaults{Outage: since >= outageAt && since < outageEnd})
			config, tables := state.NewConfig(), state.NewRegionTables()
			configAt, ok := freshTables(g, r.log.Records(platform.StreamConfig), config)
			g.Expect(ok).To(BeTrue(), "configuration after %v", since)
			regionAt, ok := freshTables(g, r.log.Records(region), tables)
			g.Expect(ok).To(BeTrue(), "region after %v", since)
			_, _, ok = config.View().Team("t0")
			g.Expect(ok).To(BeTrue(), "after %v", since)
			_, ok = tables.View().Agent("u0")
			g.Expect(ok).To(BeTrue(), "after %v", since)
			if since == outageEnd+2*time.Minute {
				g.Expect(time.Since(configAt)).To(BeNumerically("<", 2*time.Minute))
				g.Expect(time.Since(regionAt)).To(BeNumerically("<", 2*time.Minute))
			}
		}
		g.Expect(r.log.Records(platform.StreamConfig)[0].Offset).To(BeNumerically(">", 0), "nothing was dropped")
	})
}
