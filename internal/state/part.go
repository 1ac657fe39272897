package state

import (
	"encoding/json"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
)

// PartQuery selects the part of both streams' tables that concerns one upstream.
type PartQuery struct {
	Upstream UpstreamName `json:"u"`
	Host     HostName     `json:"h"`
	// ExtraReplicas names replicas that the engine holds without a grant or
	// intent. The part includes their versions, because their sizes count in
	// the agent's memory accounting.
	ExtraReplicas []ReplicaKey `json:"also,omitempty"`
}

// UpstreamPart is the part of the tables of the config and region streams that
// concerns one upstream. It depends only on the query and the records applied
// from both streams, so all entries that have applied the same offsets derive
// the same part.
type UpstreamPart struct {
	Upstream UpstreamName `json:"upstream"`
	// Registration is the latest registration of an agent; nil if there is
	// none.
	Registration *AgentRegistration `json:"registration,omitempty"`
	// Intent is the intent in force; nil if there is none.
	Intent *IntentSet `json:"intent,omitempty"`
	// Grants lists the unreleased grants, including revoked ones.
	Grants []Grant `json:"grants,omitempty"`
	// Versions and Adapters belong to the models of the grants, of the intent
	// and of the extra replicas in the query.
	Versions []ModelVersion `json:"versions,omitempty"`
	Adapters []Adapter      `json:"adapters,omitempty"`
	// KeepAlive maps the models that set a keep-alive to it.
	KeepAlive map[ModelName]Duration `json:"keep_alive,omitempty"`
	// Drained says that an operator has drained the upstream or its host.
	Drained bool `json:"drained,omitempty"`
	// ExtraReplicas holds the extra replicas of the query.
	ExtraReplicas []ReplicaKey `json:"asked,omitempty"`
}

// AdapterIndex maps each model to its adapters.
type AdapterIndex map[ModelName][]Adapter

// NewAdapterIndex indexes the adapters of a configuration.
func NewAdapterIndex(config *ConfigView) AdapterIndex {
	index := make(AdapterIndex)
	for adapter := range config.Adapters() {
		index[adapter.Model] = append(index[adapter.Model], adapter)
	}
	return index
}

// PartOf derives the part of an upstream. adapters must have been built from
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

// models lists the models that the part covers, sorted by name.
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

// Covers reports whether the part holds the configuration of the model.
func (p *UpstreamPart) Covers(model ModelName) bool {
	return slices.Contains(p.models(), model)
}

// Sum returns a hash of the part. Entries that encode parts alike compute equal
// sums for equal parts.
func (p *UpstreamPart) Sum() uint64 {
	data, err := json.Marshal(p)
	if err != nil {
		panic(errors.Wrap(err, "encode upstream part")) // All types in a part can be encoded.
	}
	return xxhash.Sum64(data)
}
