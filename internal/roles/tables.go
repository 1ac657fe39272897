// Package roles builds the processes of the system from their settings.
package roles

import (
	"github.com/go-faster/errors"

	"github.com/lagoonvalve/lagoonvalve/internal/logclient"
	"github.com/lagoonvalve/lagoonvalve/internal/platform"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// applier is what both kinds of tables can do.
type applier interface {
	Apply(p state.Positioned) state.Outcome
	Restore(data []byte, covered state.Offset) error
}

// streamTables applies one stream, from its start or from a snapshot on.
type streamTables struct {
	tables applier
	// complete says that nothing before the applied offset is missing.
	complete bool
	next     state.Offset
	// pending holds the records that were read while the tables wait for a
	// snapshot. The decider writes one at least every 10,000 records.
	pending   []state.Positioned
	snapshots *logclient.SnapshotReader
}

func newStreamTables(t applier) *streamTables {
	return &streamTables{tables: t, snapshots: logclient.NewSnapshotReader(state.NoOffset)}
}

func (s *streamTables) apply(p state.Positioned) error {
	if p.Offset < s.next {
		return nil
	}
	if p.Offset == 0 {
		s.complete = true
	} else if p.Offset != s.next {
		s.complete = false
	}
	s.next = p.Offset + 1
	if s.complete {
		s.tables.Apply(p)
		return nil
	}
	s.pending = append(s.pending, p)
	snapshot, ok := s.snapshots.Add(p)
	if !ok || snapshot.Covered < s.pending[0].Offset-1 {
		return nil
	}
	return s.restore(snapshot)
}

func (s *streamTables) restore(snapshot logclient.Snapshot) error {
	if err := s.tables.Restore(snapshot.Data, snapshot.Covered); err != nil {
		return errors.Wrap(err, "restore snapshot")
	}
	for _, p := range s.pending {
		s.tables.Apply(p)
	}
	s.pending = nil
	s.complete = true
	return nil
}

// agentTables holds what an agent reads from the log. It implements
// agent.Tables.
type agentTables struct {
	config       *state.Config
	region       *state.RegionTables
	configStream *streamTables
	regionStream *streamTables
}

func newAgentTables() *agentTables {
	t := &agentTables{config: state.NewConfig(), region: state.NewRegionTables()}
	t.configStream = newStreamTables(t.config)
	t.regionStream = newStreamTables(t.region)
	return t
}

// Apply implements agent.Tables.
func (t *agentTables) Apply(stream platform.Stream, p state.Positioned) error {
	if stream == platform.StreamConfig {
		return t.configStream.apply(p)
	}
	return t.regionStream.apply(p)
}

// Complete implements agent.Tables.
func (t *agentTables) Complete() bool { return t.configStream.complete && t.regionStream.complete }

// Grants implements agent.Tables.
func (t *agentTables) Grants(upstream state.UpstreamName) []state.Grant {
	return t.region.View().GrantsOn(upstream)
}

// Registration implements agent.Tables.
func (t *agentTables) Registration(upstream state.UpstreamName) (state.FencingToken, state.AgentStart, bool) {
	registered, ok := t.region.View().Agent(upstream)
	if !ok {
		return state.NoOffset, state.AgentStart{}, false
	}
	return registered.Token, state.AgentStart{
		Upstream: registered.Upstream, Incarnation: registered.Incarnation, Fencing: registered.Fencing,
	}, true
}

// Intent implements agent.Tables.
func (t *agentTables) Intent(upstream state.UpstreamName) state.Intent {
	set, ok := t.region.View().IntentOf(upstream)
	if !ok {
		return state.Intent{Agent: state.NoOffset}
	}
	return state.Intent{Agent: set.Agent, Models: set.Models}
}

// Version implements account.Catalogue.
func (t *agentTables) Version(key state.ReplicaKey) (state.ModelVersion, bool) {
	version, _, ok := t.config.View().Version(key)
	return version, ok
}

// Adapter implements account.Catalogue.
func (t *agentTables) Adapter(name state.AdapterName) (state.Adapter, bool) {
	adapter, _, ok := t.config.View().Adapter(name)
	return adapter, ok
}

// LargestAdapter implements account.Catalogue.
func (t *agentTables) LargestAdapter(model state.ModelName) state.Bytes {
	var largest state.Bytes
	for adapter := range t.config.View().Adapters() {
		if adapter.Model == model {
			largest = max(largest, adapter.Size)
		}
	}
	return largest
}

// Model implements agent.Tables.
func (t *agentTables) Model(name state.ModelName) (state.Model, bool) {
	model, _, ok := t.config.View().Model(name)
	return model, ok
}

// Caller implements agent.Tables.
func (t *agentTables) Caller(name state.CallerName) (state.Caller, bool) {
	caller, _, ok := t.config.View().Caller(name)
	return caller, ok
}

// Draining implements agent.Tables.
func (t *agentTables) Draining(upstream state.UpstreamName, host state.HostName) bool {
	view := t.config.View()
	_, _, hostDrained := view.Drain(state.Drain{Host: host}.Key())
	return hostDrained || view.Drained(upstream)
}
