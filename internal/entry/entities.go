package entry

import (
	"iter"
	"strings"

	"github.com/lagoonvalve/lagoonvalve/gen/operators"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// entityRow is a configured entity of any kind.
type entityRow struct {
	name     string
	revision state.Revision
	value    any
}

func (r entityRow) wire(kind string) *operators.Entity {
	return &operators.Entity{Kind: kind, Name: r.name, Revision: uint64(r.revision), Value: r.value}
}

// rowsOf lists entities by their keys.
func rowsOf[V any](all iter.Seq[V], key func(V) string, revision func(V) state.Revision) []entityRow {
	var rows []entityRow
	for value := range all {
		rows = append(rows, entityRow{name: key(value), revision: revision(value), value: value})
	}
	return rows
}

// revisionOf adapts a lookup of a view to the revision of a value.
func revisionOf[K, V any](lookup func(K) (V, state.Revision, bool), key func(V) K) func(V) state.Revision {
	return func(value V) state.Revision {
		_, revision, _ := lookup(key(value))
		return revision
	}
}

// entitiesOf lists the entities of a kind in order of name.
func entitiesOf(v *state.ConfigView, kind state.EntityKind) []entityRow {
	switch kind {
	case state.EntityTeam:
		key := func(e state.Team) state.TeamName { return e.Name }
		return rowsOf(v.Teams(), func(e state.Team) string { return string(e.Name) }, revisionOf(v.Team, key))
	case state.EntityModel:
		key := func(e state.Model) state.ModelName { return e.Name }
		return rowsOf(v.Models(), func(e state.Model) string { return string(e.Name) }, revisionOf(v.Model, key))
	case state.EntityVersion:
		return rowsOf(v.Versions(), func(e state.ModelVersion) string {
			return string(e.Model) + "/" + string(e.Name)
		}, revisionOf(v.Version, state.ModelVersion.Key))
	case state.EntityAdapter:
		key := func(e state.Adapter) state.AdapterName { return e.Name }
		return rowsOf(v.Adapters(), func(e state.Adapter) string { return string(e.Name) }, revisionOf(v.Adapter, key))
	case state.EntityCaller:
		key := func(e state.Caller) state.CallerName { return e.Name }
		return rowsOf(v.Callers(), func(e state.Caller) string { return string(e.Name) }, revisionOf(v.Caller, key))
	case state.EntityService:
		key := func(e state.Service) state.ServiceName { return e.Name }
		return rowsOf(v.Services(), func(e state.Service) string { return string(e.Name) }, revisionOf(v.Service, key))
	case state.EntityUpstream:
		key := func(e state.Upstream) state.UpstreamName { return e.Name }
		return rowsOf(v.Upstreams(), func(e state.Upstream) string { return string(e.Name) }, revisionOf(v.Upstream, key))
	case state.EntityDrain:
		return rowsOf(v.Drains(), state.Drain.Key, revisionOf(v.Drain, state.Drain.Key))
	default:
		return nil
	}
}

// found makes a row of a lookup's result.
func found[V any](name string, value V, revision state.Revision, ok bool) (entityRow, bool) {
	return entityRow{name: name, revision: revision, value: value}, ok
}

// findEntity looks up one entity.
func findEntity(v *state.ConfigView, kind state.EntityKind, name string) (entityRow, bool) {
	switch kind {
	case state.EntityTeam:
		value, revision, ok := v.Team(state.TeamName(name))
		return found(name, value, revision, ok)
	case state.EntityModel:
		value, revision, ok := v.Model(state.ModelName(name))
		return found(name, value, revision, ok)
	case state.EntityVersion:
		model, version, _ := strings.Cut(name, "/")
		value, revision, ok := v.Version(state.ReplicaKey{Model: state.ModelName(model), Version: state.VersionName(version)})
		return found(name, value, revision, ok)
	case state.EntityAdapter:
		value, revision, ok := v.Adapter(state.AdapterName(name))
		return found(name, value, revision, ok)
	case state.EntityCaller:
		value, revision, ok := v.Caller(state.CallerName(name))
		return found(name, value, revision, ok)
	case state.EntityService:
		value, revision, ok := v.Service(state.ServiceName(name))
		return found(name, value, revision, ok)
	case state.EntityUpstream:
		value, revision, ok := v.Upstream(state.UpstreamName(name))
		return found(name, value, revision, ok)
	case state.EntityDrain:
		value, revision, ok := v.Drain(name)
		return found(name, value, revision, ok)
	default:
		return entityRow{}, false
	}
}
