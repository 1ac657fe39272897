package fleet

import (
	"slices"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// Replica is a model that an upstream holds.
type Replica struct {
	Model    state.ModelName
	Adapters []state.AdapterName
}

// Upstream is what an upstream says of itself in the registry. It is immutable.
type Upstream struct {
	// Name is unique, but an upstream may start again under the name it had.
	Name state.UpstreamName
	// Started is the time of its start, as the upstream's clock has it. It
	// tells two starts under one name apart.
	Started time.Time
	// Report numbers what it has said since its start.
	Report     uint64
	Service    state.ServiceName
	Address    string
	DataCentre state.DataCentre
	// Slots is how many requests it runs side by side.
	Slots int
	// Draining says that it takes no new work.
	Draining bool
	Replicas []Replica
	// InMemory and OnDisk list models whose weights are kept by the host of
	// the upstream, so that a load needs no weight store.
	InMemory, OnDisk []state.ModelName
}

// Supersedes reports whether u was said later than other, an entry under the
// same name.
func (u *Upstream) Supersedes(other *Upstream) bool {
	if !u.Started.Equal(other.Started) {
		return u.Started.After(other.Started)
	}
	return u.Report >= other.Report
}

// Target is what a request needs an upstream to hold. Model is empty for a
// plain service, Adapter for a request of the model itself.
type Target struct {
	Model   state.ModelName
	Adapter state.AdapterName
}

// Holds reports whether the upstream says that it holds the target.
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

// LoadTime returns how long an upstream takes to load a model.
func (u *Upstream) LoadTime(spec ModelSpec) time.Duration {
	return LoadTime(spec, u.InMemory, u.OnDisk)
}

// LoadTime returns how long a load takes where the weights of some models are
// at hand.
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
