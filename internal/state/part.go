package state

import (
	"encoding/json"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
)

// PartQuery asks for what both streams say of one upstream.
type PartQuery struct {
	Upstream UpstreamName `json:"u"`
	Host     HostName     `json:"h"`
	// ExtraReplicas names replicas that the engine holds without a grant or intent.
	// Their sizes count in the memory account.
	ExtraReplicas []ReplicaKey `json:"also,omitempty"`
}

// UpstreamPart is what both streams say of one upstream. It is a pure function
// of the query and of the two prefixes, so all entries that have applied the
// same offsets derive the same part.
type UpstreamPart struct {
	Upstream UpstreamName `json:"upstream"`
	// Registration is the latest one; nil if there is none.
	Registration *AgentRegistration `json:"registration,omitempty"`
	// Intent is the intent in force; nil if there is none.
	Intent *IntentSet `json:"intent,omitempty"`
	// Grants lists the grants in force, revoked ones too.
	Grants []Grant `json:"grants,omitempty"`
	// Versions and Adapters are those of the models that are granted, in the
	// intent or asked for.
	Versions []ModelVersion `json:"versions,omitempty"`
	Adapters []Adapter      `json:"adapters,omitempty"`
	// KeepAlive holds the keep-alive of those models that set one.
	KeepAlive map[ModelName]Duration `json:"keep_alive,omitempty"`
	// Drained says that an operator drains the upstream or its host.
	Drained bool `json:"drained,omitempty"`
	// ExtraReplicas repeats PartQuery.Also.
	ExtraReplicas []ReplicaKey `json:"asked,omitempty"`
}

// AdapterIndex finds the adapters of a model.
type AdapterIndex map[ModelName][]Adapter

// NewAdapterIndex indexes the adapters of a configuration.
func NewAdapterIndex(config *ConfigView) AdapterIndex {
	index := make(AdapterIndex)
	for adapter := range config.Adapters() {
		index[adapter.Model] = append(index[adapter.Model], adapter)
	}
	return index
}

// PartOf derives the part of an upstream. adapters must be the index of
// config.
func PartOf(config *ConfigView, region *RegionView, adapters AdapterIndex, q PartQuery) UpstreamPart {
	part := UpstreamPart{Upstream: q.Upstream, Grants: region.GrantsOn(q.Upstream), ExtraReplicas: q.ExtraReplicas}
	if registered, ok := region.Agent(q.Upstream); ok {
		part.Registration = &registered
	}
	if intent, ok := region.IntentOf(q.Upstream); ok {
		part.Intent = &intent
	}
	_, _, hostDrained := config.Drain(Drain{Host: q.Host}.Key())
	part.Drained = hostDrained || config.Drained(q.Upstream)
	models := part.models()
	for _, name := range models {
		part.Versions = slices.AppendSeq(part.Versions, config.VersionsOf(name))
		part.Adapters = append(part.Adapters, adapters[name]...)
		if model, _, ok := config.Model(name); ok && model.KeepAlive > 0 {
			if part.KeepAlive == nil {
				part.KeepAlive = make(map[ModelName]Duration)
			}
			part.KeepAlive[name] = model.KeepAlive
		}
	}
	return part
}

// models lists the models that the part covers, by name.
func (p *UpstreamPart) models() []ModelName {
	var names []ModelName
	for _, g := range p.Grants {
		names = append(names, g.Model)
	}
	if p.Intent != nil {
		for _, key := range p.Intent.Models {
			names = append(names, key.Model)
		}
	}
	for _, key := range p.ExtraReplicas {
		names = append(names, key.Model)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// Covers reports whether the part says all that is configured of a model.
func (p *UpstreamPart) Covers(model ModelName) bool {
	return slices.Contains(p.models(), model)
}

// Sum is a hash of the part. Equal parts have equal sums at all entries.
func (p *UpstreamPart) Sum() uint64 {
	data, err := json.Marshal(p)
	if err != nil {
		panic(errors.Wrap(err, "encode a part")) // Only types that always encode are in it.
	}
	return xxhash.Sum64(data)
}
