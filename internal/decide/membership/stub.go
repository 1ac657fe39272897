package membership

import (
	"iter"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/platform"
	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// Ring assigns roles to entries by rendezvous hashing.
type Ring struct{}

// NewRing returns a ring over entries, in any order.
func NewRing(entries []state.EntryName) *Ring { panic(entries) }

// Owner returns the entry that has the role for key; empty without entries.
func (r *Ring) Owner(role Role, key string) state.EntryName { panic(key) }

// Rank returns the place of entry for the role and key, from 0, or -1.
func (r *Ring) Rank(role Role, key string, entry state.EntryName) int { panic(key) }

// Entries tells which other entries are alive.
type Entries struct{}

// NewEntries returns the table of entry self.
func NewEntries(self state.EntryName, settings Settings) *Entries { panic(self) }

// Pinged notes a ping from another entry. It makes the sender known, but only
// an answer to an own ping shows that both directions work.
func (e *Entries) Pinged(from rpc.PingParams, now time.Time) { panic(from) }

// Answered notes an answer to an own ping.
func (e *Entries) Answered(by rpc.PingResult, now time.Time) { panic(by) }

// Health returns the state of an entry.
func (e *Entries) Health(name state.EntryName, now time.Time) Health { panic(name) }

// Live returns the entries that may have roles, self included, by name.
func (e *Entries) Live(now time.Time) []state.EntryName { panic(now) }

// Peer returns the last word of an entry.
func (e *Entries) Peer(name state.EntryName) (rpc.PingParams, bool) { panic(name) }

// Agents is a watcher's table of the agents it watches.
type Agents struct{}

// NewAgents returns an empty table.
func NewAgents(settings Settings) *Agents { panic(settings) }

// Watch sets the upstreams to watch. Silence of a new one counts from now.
func (a *Agents) Watch(upstreams iter.Seq[state.Upstream], now time.Time) { panic(now) }

// Observe notes a heartbeat. ok is false if the upstream is not watched.
func (a *Agents) Observe(h rpc.Heartbeat, now time.Time) (answer rpc.HeartbeatResult, ok bool) {
	panic(h)
}

// Tick notes agents that have fallen silent. Their replicas are gone.
func (a *Agents) Tick(now time.Time) { panic(now) }

// Changes returns the replica changes since the last call, batched by home.
func (a *Agents) Changes(ring *Ring) []HomeBatch { panic(ring) }

// Reports returns what the decider should know of the watched agents.
func (a *Agents) Reports(now time.Time) []AgentReport { panic(now) }

// Fleet is the decider's picture of its region's upstreams.
type Fleet struct{}

// NewFleet returns an empty picture.
func NewFleet(settings Settings, now time.Time) *Fleet { panic(now) }

// Report notes a watcher's report.
func (f *Fleet) Report(r AgentReport, now time.Time) { panic(r) }

// Hosts notes a reading of the host list.
func (f *Fleet) Hosts(list []platform.HostInfo, now time.Time) { panic(list) }

// HostLeaving reports whether the latest host list shows the host as leaving.
func (f *Fleet) HostLeaving(name state.HostName) bool { panic(name) }

// Health returns the state of each upstream.
func (f *Fleet) Health(upstreams iter.Seq[state.Upstream], now time.Time) map[state.UpstreamName]Health {
	panic(now)
}
