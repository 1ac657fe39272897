package entry

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"runtime"
	"testing"
	"time"

	"github.com/google/uuid"

	"github.com/lagoonvalve/lagoonvalve/internal/logclient"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
	"github.com/lagoonvalve/lagoonvalve/internal/testenv"
)

// The two-year size of section 1.6 of the design.
const (
	allUpstreams    = 12_000
	regionUpstreams = 1_500
	allModels       = 590
	allAdapters     = 1_600
	allCallers      = 200
)

// recordLog makes records at consecutive offsets.
type recordLog struct {
	b    *testing.B
	next state.Offset
}

func nextRecord[B state.Body](l *recordLog, kind state.Kind, body B) state.StoredRecord {
	record, err := state.NewRecord(uuid.NewString(), state.ProcessID{Name: "entry-1", Incarnation: "1"}, kind, body)
	if err != nil {
		l.b.Fatal(err)
	}
	l.next++
	return state.StoredRecord{Offset: l.next - 1, Time: time.Now(), Record: record}
}

func (l *recordLog) change(kind state.EntityKind, name string, expected state.Revision, v any) state.StoredRecord {
	value, err := json.Marshal(v)
	if err != nil {
		l.b.Fatal(err)
	}
	return nextRecord(l, state.KindConfigChange, state.ConfigChange{Entity: kind, Name: name, Expected: expected, Value: value, Actor: "op"})
}

func largeUpstream(i int) state.Upstream {
	return state.Upstream{
		Name: state.UpstreamName(fmt.Sprintf("runner-%05d", i)), Kind: state.ModelRunner, Host: state.HostName(fmt.Sprintf("host-%05d", i)),
		Region: state.Region(fmt.Sprintf("region-%d", i%8)), DataCentre: state.DataCentre(fmt.Sprintf("dc-%d", i%22)),
		Memory: 80 * state.GiB, Fencing: state.FencingEnforced,
		TrafficAddr: fmt.Sprintf("10.%d.%d.1:8080", i/250, i%250), ControlAddr: fmt.Sprintf("10.%d.%d.1:8081", i/250, i%250),
	}
}

func largeVersion(i int) state.ReplicaKey {
	return state.ReplicaKey{Model: state.ModelName(fmt.Sprintf("model-%04d", i%allModels)), Version: "v1"}
}

// fillConfig applies the configuration of the two-year size.
func fillConfig(l *recordLog, c *state.Config) {
	apply := func(kind state.EntityKind, name string, v any) {
		if out := c.Apply(l.change(kind, name, 0, v)); out.Effect != state.EffectApplied {
			l.b.Fatal(name, out.Reasons)
		}
	}
	apply(state.EntityTeam, "team", state.Team{Name: "team"})
	for i := range allUpstreams {
		apply(state.EntityUpstream, string(largeUpstream(i).Name), largeUpstream(i))
	}
	for i := range allModels {
		key := largeVersion(i)
		apply(state.EntityModel, string(key.Model), state.Model{Name: key.Model, Team: "team", MaxReplicas: 40})
		apply(state.EntityVersion, string(key.Model)+"/"+string(key.Version), state.ModelVersion{Model: key.Model, Name: key.Version, Weights: 16 * state.GiB, KVHeadroom: 4 * state.GiB})
	}
	for i := range allAdapters {
		name := state.AdapterName(fmt.Sprintf("adapter-%05d", i))
		apply(state.EntityAdapter, string(name), state.Adapter{Name: name, Team: "team", Model: largeVersion(i).Model, Size: 64 * state.MiB})
	}
	for i := range allCallers {
		name := state.CallerName(fmt.Sprintf("caller-%03d", i))
		apply(state.EntityCaller, string(name), state.Caller{Name: name, Team: "team", Weight: 1})
	}
}

// fillRegion applies a region's registrations, intents and grants.
func fillRegion(l *recordLog, r *state.RegionTables) {
	must := func(p state.StoredRecord) state.StoredRecord {
		if out := r.Apply(p); out.Effect != state.EffectApplied {
			l.b.Fatal(p.Kind, out.Reasons)
		}
		return p
	}
	epoch := must(nextRecord(l, state.KindLeaseTake, state.LeaseTake{Holder: "entry-1", Replaces: state.NoOffset})).Offset
	for i := range regionUpstreams {
		upstream := largeUpstream(8 * i).Name
		agent := must(nextRecord(l, state.KindAgentStart, state.AgentStart{Upstream: upstream, Incarnation: uuid.NewString(), Fencing: state.FencingEnforced, Host: state.HostName("host-" + upstream)}))
		var models []state.ReplicaKey
		for j := range 3 {
			key := largeVersion(3*i + j)
			models = append(models, key)
			must(nextRecord(l, state.KindGrant, state.GrantBody{Epoch: epoch, ReplicaKey: key, Upstream: upstream, Limit: 40}))
		}
		must(nextRecord(l, state.KindIntent, state.Intent{Agent: agent.Offset, Models: models}))
	}
}

// BenchmarkTablesHeap measures the live heap of an entry's tables at the
// two-year size and what views and snapshots add to it. Run it with
// -benchtime 1x.
func BenchmarkTablesHeap(b *testing.B) {
	for b.Loop() {
		mib := func(name string, since uint64) uint64 {
			now := testenv.LiveHeapBytes()
			b.ReportMetric((float64(now)-float64(since))/(1<<20), name+"-MiB")
			return now
		}
		l, regionLog := &recordLog{b: b}, &recordLog{b: b}
		c := newControl(controlConfig{name: "entry-1", region: "region-0"},
			controlDeps{logger: slog.New(slog.DiscardHandler), counters: noCounters{}}, time.Now())
		at := testenv.LiveHeapBytes()
		fillConfig(l, c.config)
		at = mib("config", at)
		fillRegion(regionLog, c.region)
		at = mib("region", at)
		c.dirty = true
		c.publish()
		at = mib("view", at)

		// What an older view holds while the tables change: an answer that
		// takes long may hold one.
		held := c.view()
		for i := range 1000 {
			p := largeUpstream(8 * i)
			_, revision, _ := c.config.View().Upstream(p.Name)
			p.Memory++
			c.config.Apply(l.change(state.EntityUpstream, string(p.Name), revision, p))
			c.dirty = true
			c.publish()
		}
		at = mib("old-view-1000-changes", at)

		data, covered := c.config.Snapshot()
		at = mib("config-snapshot", at)
		records, err := logclient.SnapshotRecords(c.cfg.self, uuid.NewString, covered, data)
		if err != nil {
			b.Fatal(err)
		}
		at = mib("config-snapshot-records", at)
		regionData, _ := c.region.Snapshot()
		at = mib("region-snapshot", at)

		restored := state.NewConfig()
		if err := restored.Restore(data, covered); err != nil {
			b.Fatal(err)
		}
		at = mib("restored-config", at)

		// The relay's window of 20,000 records of the configuration.
		window := make([]state.StoredRecord, 0, 20_000)
		for i := range cap(window) {
			window = append(window, l.change(state.EntityUpstream, "runner", 0, largeUpstream(i%allUpstreams)))
		}
		mib("relay-window", at)

		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		again, _ := c.config.Snapshot()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.TotalAlloc-before.TotalAlloc)/(1<<20), "config-snapshot-garbage-MiB")
		runtime.KeepAlive(again)
		runtime.ReadMemStats(&before)
		if err := state.NewConfig().Restore(data, covered); err != nil {
			b.Fatal(err)
		}
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.TotalAlloc-before.TotalAlloc)/(1<<20), "restore-garbage-MiB")
		// All that was measured stays until here, so that no part of it is
		// freed while the next one is measured.
		runtime.KeepAlive([]any{c, held, data, records, regionData, restored, window})
	}
}
