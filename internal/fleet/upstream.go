package fleet

import (
	"slices"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// Replica is a model, with its adapters, that an upstream holds.
type Replica struct {
	Model    state.ModelName
	Adapters []state.AdapterName
}

// Upstream is what an upstream reports about itself in the registry. It is
// immutable.
type Upstream struct {
	// Name is unique, but an upstream may start again under its earlier name.
	Name state.UpstreamName
	// Started is the start time by the upstream's clock. It distinguishes
	// starts under the same name.
	Started time.Time
	// Report numbers the reports since the upstream's start.
	Report     uint64
	Service    state.ServiceName
	Address    string
	DataCentre state.DataCentre
	// Slots is how many requests the upstream runs concurrently.
	Slots int
	// Draining is set if the upstream accepts no new work.
	Draining bool
	Replicas []Replica
	// InMemory and OnDisk list the models whose weights the upstream's host
	// keeps, so that a load does not need the weight store.
	InMemory, OnDisk []state.ModelName
}

// Supersedes reports whether u is at least as recent as other, an entry under
// the same name.
func (u *Upstream) Supersedes(other *Upstream) bool {
	if !u.Started.Equal(other.Started) {
		return u.Started.After(other.Started)
	}
	return u.Report >= other.Report
}

// Target is what a request needs an upstream to hold. Model is empty for a
// plain service, and Adapter for a request to the model itself.
type Target struct {
	Model   state.ModelName
	Adapter state.AdapterName
}

// Holds reports whether the upstream's entry contains the target.
func (u *Upstream) Holds(t Target) bool { return Holds(u.Replicas, t) }

// Holds reports whether one of the replicas serves the target.
func Holds(replicas []Replica, t Target) bool {
	if t.Model == "" {
		return true
	}
	for i := range replicas {
		if replicas[i].Model == t.Model {
			return t.Adapter == "" || slices.Contains(replicas[i].Adapters, t.Adapter)
		}
	}
	return false
}

// LoadTime returns how long the upstream takes to load a model.
func (u *Upstream) LoadTime(spec ModelSpec) time.Duration {
	return LoadTime(spec, u.InMemory, u.OnDisk)
}

// LoadTime returns how long a load of a model takes if the host has the weights
// of the given models in memory and on disk.
func LoadTime(spec ModelSpec, inMemory, onDisk []state.ModelName) time.Duration {
	switch {
	case slices.Contains(inMemory, spec.Name):
		return spec.FromMemory
	case slices.Contains(onDisk, spec.Name):
		return spec.FromDisk
	default:
		return spec.FromStore
	}
}
