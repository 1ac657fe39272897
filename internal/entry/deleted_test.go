package entry

import (
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lagoonvalve/lagoonvalve/internal/platform"
	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
	"github.com/lagoonvalve/lagoonvalve/internal/standin"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// Guards against grants that nobody can release after their upstream was
// deleted and its host is gone, and against freeing them while the agent may
// still run: it is heard, the host list has its host, its record does not name
// the host, or another agent of the upstream's name is what is heard.
func TestDeletedUpstreamFreesItsGrants(t *testing.T) {
	const old, next = state.HostName("h-old"), state.HostName("h-next")
	for _, test := range []struct {
		name string
		// host is the one that the agent's record names.
		host                              state.HostName
		listed, beats, recreated, changed bool
		freed                             bool
	}{
		{name: "host gone", host: old, freed: true},
		{name: "the record names no host"},
		{name: "the list has the host", host: old, listed: true},
		{name: "the agent is heard", host: old, beats: true},
		{name: "created again elsewhere", host: old, recreated: true, freed: true},
		{name: "created again elsewhere, old host listed", host: old, listed: true, recreated: true},
		{name: "created again elsewhere, old agent heard", host: old, beats: true, recreated: true},
		{name: "moved by a change of the host", host: old, changed: true, freed: true},
	} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			r := newTestRegion(t, standin.LogConfig{})
			m := r.add("r", 0, peersOf("r", 1), 24*time.Hour)
			r.connect(m)
			defer r.stopAll()
			c, stream := m.control, platform.RegionStream("r")
			change := func(kind state.EntityKind, name string, expected state.Revision, v any) {
				body := state.ConfigChange{Entity: kind, Name: name, Expected: expected, Actor: "op"}
				if v != nil {
					body.Value, _ = json.Marshal(v)
				}
				appendTo(g, r.log, platform.StreamConfig, state.KindConfigChange, body)
			}
			start := func(incarnation string, host state.HostName) rpc.Heartbeat {
				token := appendTo(g, r.log, stream, state.KindAgentStart, state.AgentStart{Upstream: "u", Incarnation: incarnation, Host: host})
				return rpc.Heartbeat{Full: true, Upstream: "u", Agent: token, Incarnation: incarnation, State: rpc.AgentServing}
			}
			run := func(d time.Duration, listed bool, agents ...rpc.Heartbeat) {
				hosts := []platform.HostInfo{{Name: next, State: platform.HostLive}}
				if listed {
					hosts = append(hosts, platform.HostInfo{Name: old, State: platform.HostLive})
				}
				for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(time.Second) {
					c.post(t.Context(), hostsRead{hosts})
					for _, h := range agents {
						c.post(t.Context(), heartbeatReceived{heartbeat: h, reply: make(chan rpc.HeartbeatResult, 1)})
					}
				}
			}
			u := runner("u", 1)
			u.Region, u.Host = "r", old
			moved := u
			moved.Host = next
			change(state.EntityTeam, "t", 0, state.Team{Name: "t"})
			change(state.EntityModel, "m", 0, state.Model{Name: "m", Team: "t", MaxReplicas: 1})
			change(state.EntityVersion, "m/1", 0, state.ModelVersion{Model: "m", Name: "1", Weights: state.GiB})
			change(state.EntityModel, "m", 1, state.Model{Name: "m", Team: "t", MaxReplicas: 1, Active: "1"})
			change(state.EntityUpstream, "u", 0, u)
			first := start("1", test.host)
			run(40*time.Second, true, first)
			g.Expect(c.view().region.GrantsOn("u")).To(HaveLen(1), test.name)
			grant := c.view().region.GrantsOn("u")[0].ID
			var running []rpc.Heartbeat
			if test.beats {
				running = append(running, first)
			}
			if test.changed {
				change(state.EntityUpstream, "u", 1, moved)
			} else {
				change(state.EntityUpstream, "u", 1, nil)
			}
			if test.recreated {
				change(state.EntityUpstream, "u", 0, moved)
			}
			if test.recreated || test.changed {
				unregistered := start("2", next)
				unregistered.Agent = state.NoOffset
				running = append(running, unregistered)
			}
			run(2*time.Minute, test.listed, running...)
			_, kept := c.view().region.Grant(grant)
			g.Expect(kept).To(Equal(!test.freed), test.name)
			agent, ok := c.view().region.Agent("u")
			g.Expect(ok && agent.Token == first.Agent).To(Equal(kept), test.name)
			if test.freed && (test.recreated || test.changed) {
				run(time.Minute, test.listed, start("2", next))
				g.Expect(c.view().region.GrantsOn("u")).To(HaveLen(1), "%s: the model's place at the new agent", test.name)
			}
		})
	}
}
