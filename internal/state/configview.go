package state

import "iter"

// ConfigView is an immutable view of the configuration. It may be read by any
// number of goroutines. Readers must not modify the slices in its values.
type ConfigView struct {
	offset    Offset
	teams     rows[TeamName, Team]
	models    rows[ModelName, Model]
	versions  rows[ReplicaKey, ModelVersion]
	adapters  rows[AdapterName, Adapter]
	callers   rows[CallerName, Caller]
	services  rows[ServiceName, Service]
	upstreams rows[UpstreamName, Upstream]
	drains    rows[string, Drain]
}

// Offset returns the last applied offset, or NoOffset.
func (v *ConfigView) Offset() Offset { return v.offset }

// Team looks up a team.
func (v *ConfigView) Team(name TeamName) (Team, Revision, bool) { return v.teams.lookup(name) }

// Model looks up a model.
func (v *ConfigView) Model(name ModelName) (Model, Revision, bool) { return v.models.lookup(name) }

// Version looks up a version.
func (v *ConfigView) Version(key ReplicaKey) (ModelVersion, Revision, bool) {
	return v.versions.lookup(key)
}

// Adapter looks up an adapter.
func (v *ConfigView) Adapter(name AdapterName) (Adapter, Revision, bool) {
	return v.adapters.lookup(name)
}

// Caller looks up a caller.
func (v *ConfigView) Caller(name CallerName) (Caller, Revision, bool) { return v.callers.lookup(name) }

// Service looks up a service.
func (v *ConfigView) Service(name ServiceName) (Service, Revision, bool) {
	return v.services.lookup(name)
}

// Upstream looks up an upstream.
func (v *ConfigView) Upstream(name UpstreamName) (Upstream, Revision, bool) {
	return v.upstreams.lookup(name)
}

// Drain looks up a drain by its Key.
func (v *ConfigView) Drain(key string) (Drain, Revision, bool) { return v.drains.lookup(key) }

// Drained reports whether the upstream or its host is drained.
func (v *ConfigView) Drained(name UpstreamName) bool {
	if v.drains.tree.Len() == 0 {
		return false
	}
	if _, ok := v.drains.get(Drain{Upstream: name}.Key()); ok {
		return true
	}
	upstream, ok := v.upstreams.get(name)
	if !ok {
		return false
	}
	_, ok = v.drains.get(Drain{Host: upstream.value.Host}.Key())
	return ok
}

// Teams iterates over the teams. All iterators of a view are in key order.
func (v *ConfigView) Teams() iter.Seq[Team] { return v.teams.all() }

// Models iterates over the models.
func (v *ConfigView) Models() iter.Seq[Model] { return v.models.all() }

// Versions iterates over the versions of all models.
func (v *ConfigView) Versions() iter.Seq[ModelVersion] { return v.versions.all() }

// VersionsOf iterates over the versions of a model.
func (v *ConfigView) VersionsOf(model ModelName) iter.Seq[ModelVersion] {
	return versionsOf(v.versions, model)
}

func versionsOf(versions rows[ReplicaKey, ModelVersion], model ModelName) iter.Seq[ModelVersion] {
	return func(yield func(ModelVersion) bool) {
		for version := range versions.from(ReplicaKey{Model: model}) {
			if version.Model != model || !yield(version) {
				return
			}
		}
	}
}

// Adapters iterates over the adapters.
func (v *ConfigView) Adapters() iter.Seq[Adapter] { return v.adapters.all() }

// Callers iterates over the callers.
func (v *ConfigView) Callers() iter.Seq[Caller] { return v.callers.all() }

// Services iterates over the services.
func (v *ConfigView) Services() iter.Seq[Service] { return v.services.all() }

// Upstreams iterates over the upstreams in order of name.
func (v *ConfigView) Upstreams() iter.Seq[Upstream] { return v.upstreams.all() }

// Drains iterates over the drains.
func (v *ConfigView) Drains() iter.Seq[Drain] { return v.drains.all() }
