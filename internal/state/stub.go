package state

import (
	"iter"
	"time"
)

// Config holds the tables of the config stream.
type Config struct{}

// NewConfig returns empty tables that have applied nothing.
func NewConfig() *Config { return &Config{} }

// Apply applies the record at p's position. Offsets at or below the applied
// one are ignored.
func (c *Config) Apply(p Positioned) Outcome { panic(p) }

// Offset returns the last applied offset, or NoOffset.
func (c *Config) Offset() Offset { return NoOffset }

// View returns an immutable view of the tables.
func (c *Config) View() *ConfigView { return nil }

// Snapshot encodes the tables and returns the offset that they cover.
func (c *Config) Snapshot() ([]byte, Offset) { return nil, NoOffset }

// Restore replaces the tables. It refuses to go back.
func (c *Config) Restore(data []byte, covered Offset) error { panic(covered) }

// ConfigView is an immutable view of the configuration.
type ConfigView struct{}

// Offset returns the last applied offset, or NoOffset.
func (v *ConfigView) Offset() Offset { return NoOffset }

// Team looks up a team.
func (v *ConfigView) Team(name TeamName) (Team, Revision, bool) { panic(name) }

// Model looks up a model.
func (v *ConfigView) Model(name ModelName) (Model, Revision, bool) { panic(name) }

// Version looks up a version.
func (v *ConfigView) Version(key ReplicaKey) (ModelVersion, Revision, bool) { panic(key) }

// Adapter looks up an adapter.
func (v *ConfigView) Adapter(name AdapterName) (Adapter, Revision, bool) { panic(name) }

// Caller looks up a caller.
func (v *ConfigView) Caller(name CallerName) (Caller, Revision, bool) { panic(name) }

// Service looks up a service.
func (v *ConfigView) Service(name ServiceName) (Service, Revision, bool) { panic(name) }

// Upstream looks up an upstream.
func (v *ConfigView) Upstream(name UpstreamName) (Upstream, Revision, bool) { panic(name) }

// Drain looks up a drain by its Key.
func (v *ConfigView) Drain(key string) (Drain, Revision, bool) { panic(key) }

// Drained reports whether the upstream or its host is drained.
func (v *ConfigView) Drained(name UpstreamName) bool { panic(name) }

// Teams iterates in order of name, as all iterators of a view do.
func (v *ConfigView) Teams() iter.Seq[Team] { return nil }

// Models iterates over the models.
func (v *ConfigView) Models() iter.Seq[Model] { return nil }

// Versions iterates over the versions of all models.
func (v *ConfigView) Versions() iter.Seq[ModelVersion] { return nil }

// VersionsOf iterates over the versions of a model.
func (v *ConfigView) VersionsOf(model ModelName) iter.Seq[ModelVersion] { panic(model) }

// Adapters iterates over the adapters.
func (v *ConfigView) Adapters() iter.Seq[Adapter] { return nil }

// Callers iterates over the callers.
func (v *ConfigView) Callers() iter.Seq[Caller] { return nil }

// Services iterates over the services.
func (v *ConfigView) Services() iter.Seq[Service] { return nil }

// Upstreams iterates over the upstreams.
func (v *ConfigView) Upstreams() iter.Seq[Upstream] { return nil }

// Drains iterates over the drains.
func (v *ConfigView) Drains() iter.Seq[Drain] { return nil }

// RegionTables holds the tables of a region's stream.
type RegionTables struct{}

// NewRegionTables returns empty tables that have applied nothing.
func NewRegionTables() *RegionTables { return &RegionTables{} }

// Apply applies the record at p's position. Offsets at or below the applied
// one are ignored.
func (r *RegionTables) Apply(p Positioned) Outcome { panic(p) }

// Offset returns the last applied offset, or NoOffset.
func (r *RegionTables) Offset() Offset { return NoOffset }

// View returns an immutable view of the tables.
func (r *RegionTables) View() *RegionView { return nil }

// Snapshot encodes the tables and returns the offset that they cover.
func (r *RegionTables) Snapshot() ([]byte, Offset) { return nil, NoOffset }

// Restore replaces the tables. It refuses to go back.
func (r *RegionTables) Restore(data []byte, covered Offset) error { panic(covered) }

// RegionView is an immutable view of a region's tables.
type RegionView struct{}

// Offset returns the last applied offset, or NoOffset.
func (v *RegionView) Offset() Offset { return NoOffset }

// Lease returns the lease in force.
func (v *RegionView) Lease() (LeaseState, bool) { return LeaseState{}, false }

// Grant returns the unreleased grant with the id.
func (v *RegionView) Grant(id Offset) (Grant, bool) { panic(id) }

// GrantsOf returns the unreleased grants of a model in order of id. The
// caller must not change the slice.
func (v *RegionView) GrantsOf(model ModelName) []Grant { panic(model) }

// GrantsOn returns the unreleased grants on an upstream in order of id. The
// caller must not change the slice.
func (v *RegionView) GrantsOn(upstream UpstreamName) []Grant { panic(upstream) }

// Grants iterates over all unreleased grants in order of id.
func (v *RegionView) Grants() iter.Seq[Grant] { return nil }

// Agent returns the latest registration of an upstream.
func (v *RegionView) Agent(upstream UpstreamName) (AgentRegistration, bool) { panic(upstream) }

// IntentOf returns the standing intent of an upstream.
func (v *RegionView) IntentOf(upstream UpstreamName) (IntentSet, bool) { panic(upstream) }

// Quarantined reports whether the fingerprint is in quarantine at now.
func (v *RegionView) Quarantined(fingerprint uint64, now time.Time) bool { panic(now) }
