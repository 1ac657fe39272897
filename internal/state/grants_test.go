package state_test

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// naiveGrants interprets a region's stream record by record with plain slices.
type naiveGrants struct {
	epoch   state.Epoch
	grants  []state.Grant
	latest  map[state.UpstreamName]state.FencingToken
	hosts   map[state.UpstreamName]state.HostName
	configs map[state.ModelName]state.Offset
}

func (n *naiveGrants) apply(offset state.Offset, body any) {
	drop := func(match func(state.Grant) bool) { n.grants = slices.DeleteFunc(n.grants, match) }
	switch b := body.(type) {
	case state.LeaseTake:
		if b.Replaces == n.epoch {
			n.epoch = offset
		}
	case state.GrantBody:
		count := 0
		for _, g := range n.grants {
			if g.Model == b.Model {
				count++
			}
			if g.Model == b.Model && g.Upstream == b.Upstream {
				return
			}
		}
		if b.Epoch != n.epoch || n.epoch < 0 || count >= b.Limit || b.ConfigOffset < n.configs[b.Model] {
			return
		}
		n.configs[b.Model] = b.ConfigOffset
		n.grants = append(n.grants, state.Grant{ID: offset, ReplicaKey: b.ReplicaKey, Upstream: b.Upstream, Epoch: b.Epoch})
	case state.Revoke:
		for i, g := range n.grants {
			if g.ID == b.Grant && b.Epoch == n.epoch {
				n.grants[i].Revoked = true
			}
		}
	case state.Release:
		drop(func(g state.Grant) bool {
			token, known := n.latest[g.Upstream]
			return g.ID == b.Grant && known && token == b.Agent
		})
	case state.AgentStart:
		held := slices.ContainsFunc(n.grants, func(g state.Grant) bool { return g.Upstream == b.Upstream })
		if held && n.elsewhere(b.Upstream, b.Host) && b.Host != "" {
			return
		}
		n.latest[b.Upstream], n.hosts[b.Upstream] = offset, b.Host
	case state.HostGone:
		if b.Epoch != n.epoch || n.epoch < 0 {
			return
		}
		for _, name := range b.Upstreams {
			if n.elsewhere(name, b.Host) {
				continue
			}
			drop(func(g state.Grant) bool { return g.Upstream == name })
			delete(n.latest, name)
			delete(n.hosts, name)
		}
	}
}

func (n *naiveGrants) elsewhere(name state.UpstreamName, host state.HostName) bool {
	return n.hosts[name] != "" && n.hosts[name] != host
}

// Guards I1 at the log: for any order of records, late and stale ones
// included, the tables equal those of the naive reading after each record,
// and a model never has more grants than the limit of its newest grant.
func TestGrantsMatchNaiveReading(t *testing.T) {
	effects := map[state.Effect]int{}
	elsewhere := 0
	rapid.Check(t, func(t *rapid.T) {
		n := &naiveGrants{epoch: state.NoOffset, latest: map[state.UpstreamName]state.FencingToken{}, hosts: map[state.UpstreamName]state.HostName{}, configs: map[state.ModelName]state.Offset{}}
		tables, offset := state.NewRegionTables(), state.Offset(0)
		views := map[*state.RegionView]string{}
		old := func(label string) state.Offset {
			return max(0, offset-state.Offset(rapid.IntRange(0, 12).Draw(t, label)))
		}
		epoch := func() state.Epoch {
			if rapid.IntRange(0, 3).Draw(t, "stale") < 3 {
				return n.epoch
			}
			return old("epoch")
		}
		model := rapid.SampledFrom([]state.ModelName{"m", "n"})
		host := rapid.SampledFrom([]state.HostName{"h1", "h1", "h2", ""})
		upstream := rapid.SampledFrom([]state.UpstreamName{"a", "b", "c"})
		grant := func(t *rapid.T) {
			b := state.GrantBody{Epoch: epoch(), Upstream: upstream.Draw(t, "on"), Limit: rapid.IntRange(0, 3).Draw(t, "limit"), ConfigOffset: state.Offset(rapid.IntRange(0, 3).Draw(t, "config"))}
			b.Model, b.Version = model.Draw(t, "model"), state.VersionName(rapid.SampledFrom([]string{"1", "2"}).Draw(t, "version"))
			out := put(tables, n, offset, state.KindGrant, b)
			if count := len(tables.View().GrantsOf(b.Model)); out.Effect == state.EffectApplied && count > b.Limit {
				t.Fatalf("I1: %d grants of %s, limit %d", count, b.Model, b.Limit)
			}
			effects[out.Effect]++
		}
		release := func(t *rapid.T) {
			token := old("agent")
			if name := upstream.Draw(t, "of"); rapid.Bool().Draw(t, "latest") {
				token = n.latest[name]
			}
			id := old("grant")
			if len(n.grants) > 0 {
				id = rapid.SampledFrom(n.grants).Draw(t, "grant").ID
			}
			put(tables, n, offset, state.KindRelease, state.Release{Grant: id, Agent: token})
		}
		take := func(t *rapid.T) { put(tables, n, offset, state.KindLeaseTake, state.LeaseTake{Replaces: epoch()}) }
		register := func(t *rapid.T) {
			b := state.AgentStart{Upstream: upstream.Draw(t, "of"), Host: host.Draw(t, "host")}
			if out := put(tables, n, offset, state.KindAgentStart, b); out.Effect == state.EffectConflict {
				elsewhere++
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"": func(*rapid.T) {
				v := tables.View()
				got := grantsIn(v)
				if want := fmt.Sprint(n.grants); got != want && (got != "[]" || len(n.grants) > 0) {
					t.Fatalf("grants after %d:\n%s\nnaive:\n%s", offset, got, want)
				}
				for _, name := range []state.UpstreamName{"a", "b", "c"} {
					agent, ok := v.Agent(name)
					if token, want := n.latest[name]; ok != want || ok && (agent.Token != token || agent.Host != n.hosts[name]) {
						t.Fatalf("registration of %s: %+v, want %d on %q", name, agent, token, n.hosts[name])
					}
				}
				for _, g := range n.grants {
					if !slices.Contains(v.GrantsOf(g.Model), g) || !slices.Contains(v.GrantsOn(g.Upstream), g) {
						t.Fatalf("grant %+v is missing from an index", g)
					}
				}
				for seen, was := range views {
					if now := grantsIn(seen); now != was {
						t.Fatalf("a published view changed from %s to %s", was, now)
					}
				}
				clear(views) // One old view is enough, and cheap.
				views[v] = got
				offset++
			},
			"grant": grant, "grant more": grant, "grant on": grant, "release": release, "take": take, "register": register,
			"revoke": func(t *rapid.T) {
				put(tables, n, offset, state.KindRevoke, state.Revoke{Epoch: epoch(), Grant: old("grant")})
			},
			"gone": func(t *rapid.T) {
				put(tables, n, offset, state.KindHostGone, state.HostGone{Epoch: epoch(), Host: host.Draw(t, "host"), Upstreams: []state.UpstreamName{upstream.Draw(t, "gone")}})
			},
			"restore": func(t *rapid.T) {
				data, covered := tables.Snapshot()
				fresh := state.NewRegionTables()
				if err := fresh.Restore(data, covered); err != nil {
					t.Fatal(err)
				}
				if fresh.Restore(data, covered-1) == nil {
					t.Fatal("an older snapshot was taken")
				}
				if again, _ := fresh.Snapshot(); string(again) != string(data) {
					t.Fatalf("restored tables differ: %s, want %s", again, data)
				}
				tables = fresh
			},
		})
	})
	if effects[state.EffectApplied] < 1000 || effects[state.EffectConflict] < 1000 || elsewhere < 100 {
		t.Fatalf("the schedules reach too little: %v, %d starts on another host", effects, elsewhere)
	}
	t.Log(effects, elsewhere)
}

func put[B state.Body](tables *state.RegionTables, n *naiveGrants, offset state.Offset, kind state.Kind, body B) state.Outcome {
	n.apply(offset, body)
	return tables.Apply(at(offset, kind, body))
}

func grantsIn(v *state.RegionView) string { return fmt.Sprint(slices.Collect(v.Grants())) }
