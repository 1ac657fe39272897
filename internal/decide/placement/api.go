// Package placement plans which upstream gets which grant. A plan is a pure
// function of a snapshot; the region's tables check each record again.
package placement

import (
	"github.com/lagoonvalve/lagoonvalve/internal/decide/membership"
	"github.com/lagoonvalve/lagoonvalve/internal/platform"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// Settings bounds the plans.
type Settings struct {
	// Standing is how many grants an idle model gets, as far as its limit
	// allows; default 2.
	Standing int
	// Spare is how many grants beyond the wanted replicas a model with
	// demand gets, so that a wake finds a choice; default 1.
	Spare int
	// Oversubscription bounds the granted memory of an upstream as a
	// multiple of its memory; default 8.
	Oversubscription int
	// MaxRecords bounds the records of one plan; default 512.
	MaxRecords int
	// Moves bounds the unused grants that one plan moves to emptier
	// upstreams; default 8.
	Moves int
}

// DefaultSettings returns the defaults.
func DefaultSettings() Settings {
	return Settings{Standing: 2, Spare: 1, Oversubscription: 8, MaxRecords: 512, Moves: 8}
}

// Cached is a place where a checkpoint is cached.
type Cached struct {
	Upstream state.UpstreamName
	Tier     platform.CacheTier
}

// Demand is what a model's home asks for.
type Demand struct {
	// Replicas is how many loaded replicas the home wants.
	Replicas int
	// Benefit is what the waiters lose per second without them.
	Benefit float64
	// Loaded is how many replicas are loaded or loading now.
	Loaded int
}

// Input is the snapshot that a plan is made from.
type Input struct {
	Settings Settings
	Region   state.Region
	Epoch    state.Epoch
	Config   *state.ConfigView
	Tables   *state.RegionView
	// Health holds the state of each upstream; missing means unknown.
	Health map[state.UpstreamName]membership.Health
	// Cached lists memory and disk caches by checkpoint.
	Cached map[state.ReplicaKey][]Cached
	Demand map[state.ModelName]Demand
}

// Shortfall says that a model has fewer usable grants than it should.
type Shortfall struct {
	Model   state.ModelName
	Missing int
	Reason  string
}

// Plan is a list of records to append: host.gone first, then grants, then
// revokes.
type Plan struct {
	Gone       []state.HostGone
	Grants     []state.GrantBody
	Revokes    []state.Revoke
	Shortfalls []Shortfall
}
