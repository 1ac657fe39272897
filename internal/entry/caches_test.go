package entry

import (
	"encoding/json"
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/lagoonvalve/lagoonvalve/internal/platform"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// configOf returns tables with the given entities, in order.
func configOf(t *testing.T, entities ...any) *state.Config {
	t.Helper()
	config := state.NewConfig()
	for i, entity := range entities {
		change := state.ConfigChange{Actor: "test"}
		switch e := entity.(type) {
		case state.Team:
			change.Entity, change.Name = state.EntityTeam, string(e.Name)
		case state.Model:
			change.Entity, change.Name = state.EntityModel, string(e.Name)
		case state.ModelVersion:
			change.Entity, change.Name = state.EntityVersion, e.Key().Path()
		case state.Upstream:
			change.Entity, change.Name = state.EntityUpstream, string(e.Name)
		default:
			t.Fatalf("no such entity: %T", entity)
		}
		change.Value, _ = json.Marshal(entity)
		record, err := state.NewRecord(fmt.Sprint(i), state.ProcessID{Name: "test"}, state.KindConfigChange, change)
		if err != nil {
			t.Fatal(err)
		}
		outcome := config.Apply(state.StoredRecord{Offset: state.Offset(i), Record: record})
		if outcome.Effect != state.EffectApplied {
			t.Fatalf("%+v: %v", change, outcome.Reasons)
		}
	}
	return config
}

func runner(name state.UpstreamName, port int) state.Upstream {
	return state.Upstream{
		Name: name, Kind: state.ModelRunner, Host: state.HostName("host-" + name), DataCentre: "dc", Region: "north",
		TrafficAddr: fmt.Sprintf("127.0.0.1:%d", port), ControlAddr: fmt.Sprintf("127.0.0.1:%d", port+1),
		Memory: state.GiB, Fencing: state.FencingEnforced,
	}
}

// Guards against an upstream that is never asked for its caches, and against
// answers that the planner gets under the wrong checkpoint.
func TestCachesAreAskedInTurn(t *testing.T) {
	g := NewWithT(t)
	config := configOf(t, state.Team{Name: "a"}, state.Model{Name: "m", Team: "a", MaxReplicas: 1},
		state.ModelVersion{Model: "m", Name: "v", Weights: state.MiB}, runner("r1", 9000), runner("r2", 9010), runner("r3", 9020)).View()
	var table cacheTable
	var asked []state.UpstreamName
	for range 4 {
		next, ok := table.next(config, "north")
		g.Expect(ok).To(BeTrue())
		table.last = next.Name
		asked = append(asked, next.Name)
	}
	g.Expect(asked).To(Equal([]state.UpstreamName{"r1", "r2", "r3", "r1"}))
	_, ok := table.next(config, "south")
	g.Expect(ok).To(BeFalse())

	c := &control{}
	cachesAnswered{upstream: "r2", cached: map[string]platform.CacheTier{"m/v": platform.CacheDisk, "gone/v": platform.CacheMemory}}.apply(c, c.fleet.caches.asked)
	got := c.fleet.caches.byCheckpoint(config)
	g.Expect(got).To(HaveLen(1))
	g.Expect(got[state.ReplicaKey{Model: "m", Version: "v"}]).To(HaveLen(1))
	g.Expect(got[state.ReplicaKey{Model: "m", Version: "v"}][0].Upstream).To(Equal(state.UpstreamName("r2")))
}
