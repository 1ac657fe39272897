package state

import (
	"encoding/json"
	"strings"

	"github.com/go-faster/errors"
)

// ErrOlderSnapshot means that a snapshot covers less than what is applied.
var ErrOlderSnapshot = errors.New("snapshot is older than the applied offset")

// Config holds the tables of the config stream. One goroutine owns it; the
// others read its views.
type Config struct {
	offset    Offset
	teams     *table[TeamName, Team]
	models    *table[ModelName, Model]
	versions  *table[ReplicaKey, ModelVersion]
	adapters  *table[AdapterName, Adapter]
	callers   *table[CallerName, Caller]
	services  *table[ServiceName, Service]
	upstreams *table[UpstreamName, Upstream]
	drains    *table[string, Drain]
	// addresses maps the traffic and control addresses to their upstreams.
	addresses map[string]UpstreamName
}

// changer is a table of any kind.
type changer interface {
	change(c *Config, ch ConfigChange, p StoredRecord, check bool) Outcome
	save() (json.RawMessage, error)
	load(data json.RawMessage) error
}

// NewConfig returns empty tables that have applied nothing.
func NewConfig() *Config {
	return &Config{
		offset:    NoOffset,
		teams:     newTable(teamKind()),
		models:    newTable(modelKind()),
		versions:  newTable(versionKind()),
		adapters:  newTable(adapterKind()),
		callers:   newTable(callerKind()),
		services:  newTable(serviceKind()),
		upstreams: newTable(upstreamKind()),
		drains:    newTable(drainKind()),
		addresses: map[string]UpstreamName{},
	}
}

func (c *Config) table(kind EntityKind) (changer, bool) {
	switch kind {
	case EntityTeam:
		return c.teams, true
	case EntityModel:
		return c.models, true
	case EntityVersion:
		return c.versions, true
	case EntityAdapter:
		return c.adapters, true
	case EntityCaller:
		return c.callers, true
	case EntityService:
		return c.services, true
	case EntityUpstream:
		return c.upstreams, true
	case EntityDrain:
		return c.drains, true
	}
	return nil, false
}

// Offset returns the last applied offset, or NoOffset.
func (c *Config) Offset() Offset { return c.offset }

// Apply applies the record at p's position. Offsets at or below the applied
// one are ignored, so a late or repeated read reverts nothing.
func (c *Config) Apply(p StoredRecord) Outcome {
	if p.Offset <= c.offset {
		return Outcome{Offset: p.Offset}
	}
	c.offset = p.Offset
	if p.Kind != KindConfigChange {
		return Outcome{Offset: p.Offset}
	}
	ch, err := DecodeBody[ConfigChange](p.Record)
	if err != nil {
		return invalid(p, err.Error())
	}
	t, ok := c.table(ch.Entity)
	if !ok {
		return invalid(p, "unknown kind of entity \""+string(ch.Entity)+"\"")
	}
	old, _ := c.upstreams.rows.get(UpstreamName(ch.Name))
	out := t.change(c, ch, p, false)
	if ch.Entity == EntityUpstream && out.Effect == EffectApplied {
		c.reindex(old.value, UpstreamName(ch.Name))
	}
	return out
}

// Check tells what a change would come to if it were the next record. The
// revision is an estimate for an entity that existed before.
func (c *Config) Check(ch ConfigChange) Outcome {
	t, ok := c.table(ch.Entity)
	if !ok {
		return invalid(StoredRecord{Offset: NoOffset}, "unknown kind of entity \""+string(ch.Entity)+"\"")
	}
	return t.change(c, ch, StoredRecord{Offset: NoOffset}, true)
}

// reindex keeps the addresses in step with the upstream that was changed.
func (c *Config) reindex(old Upstream, name UpstreamName) {
	delete(c.addresses, old.TrafficAddr)
	delete(c.addresses, old.ControlAddr)
	if item, ok := c.upstreams.rows.get(name); ok {
		c.addresses[item.value.TrafficAddr] = name
		c.addresses[item.value.ControlAddr] = name
	}
}

// View returns an immutable view of the tables. Tables that have not changed
// since the last view are shared with it.
func (c *Config) View() *ConfigView {
	return &ConfigView{
		offset:    c.offset,
		teams:     c.teams.view(),
		models:    c.models.view(),
		versions:  c.versions.view(),
		adapters:  c.adapters.view(),
		callers:   c.callers.view(),
		services:  c.services.view(),
		upstreams: c.upstreams.view(),
		drains:    c.drains.view(),
	}
}

var snapshotKinds = []EntityKind{
	EntityTeam, EntityModel, EntityVersion, EntityAdapter,
	EntityCaller, EntityService, EntityUpstream, EntityDrain,
}

// Snapshot encodes the tables and returns the offset that they cover. Equal
// tables give equal bytes.
func (c *Config) Snapshot() ([]byte, Offset) {
	saved := make(map[EntityKind]json.RawMessage, len(snapshotKinds))
	for _, kind := range snapshotKinds {
		t, _ := c.table(kind)
		data, err := t.save()
		if err != nil {
			panic(errors.Wrap(err, "encode own tables")) // Only types that always encode are in them.
		}
		saved[kind] = data
	}
	data, err := json.Marshal(saved)
	if err != nil {
		panic(errors.Wrap(err, "encode own tables"))
	}
	return data, c.offset
}

// Restore replaces the tables by those of a snapshot. It refuses to go back
// and leaves the tables as they are on any error.
func (c *Config) Restore(data []byte, covered Offset) error {
	if covered < c.offset {
		return errors.Wrapf(ErrOlderSnapshot, "covers %d, applied %d", covered, c.offset)
	}
	var saved map[EntityKind]json.RawMessage
	if err := json.Unmarshal(data, &saved); err != nil {
		return errors.Wrap(err, "decode configuration snapshot")
	}
	fresh := NewConfig()
	for _, kind := range snapshotKinds {
		t, _ := fresh.table(kind)
		if err := t.load(saved[kind]); err != nil {
			return errors.Wrapf(err, "snapshot of %s", kind)
		}
	}
	fresh.offset = covered
	for u := range fresh.upstreams.rows.all() {
		fresh.addresses[u.TrafficAddr] = u.Name
		fresh.addresses[u.ControlAddr] = u.Name
	}
	*c = *fresh
	return nil
}

func lessName[K ~string](a, b K) bool { return a < b }

func lessReplica(a, b ReplicaKey) bool {
	if a.Model != b.Model {
		return a.Model < b.Model
	}
	return a.Version < b.Version
}

func parseName[K ~string](name string) (K, bool) { return K(name), validName(name) }

func parseVersion(name string) (ReplicaKey, bool) {
	key, ok := ParseReplicaKey(name)
	return key, ok && validName(string(key.Model)) && validName(string(key.Version))
}

func parseDrain(name string) (string, bool) {
	kind, target, ok := strings.Cut(name, "/")
	return name, ok && (kind == "upstream" || kind == "host") && validName(target)
}
