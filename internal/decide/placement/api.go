// Package placement plans the grants of a region: which upstream may load which
// model. A plan is a pure function of a snapshot. The region's tables validate
// each of its records again when they apply it.
package placement

import (
	"github.com/lagoonvalve/lagoonvalve/internal/decide/membership"
	"github.com/lagoonvalve/lagoonvalve/internal/platform"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// Settings holds the limits of a plan.
type Settings struct {
	// IdleGrants is how many grants an idle model gets, as far as its limit
	// allows; default 2.
	IdleGrants int
	// SpareGrants is how many grants beyond the wanted replicas a model with
	// demand gets, so that its next load has a choice of upstreams; default 1.
	SpareGrants int
	// Oversubscription is the maximum granted memory of an upstream, as a
	// multiple of its memory; default 8.
	Oversubscription int
	// MaxRecords is the maximum number of grants and revokes in one plan;
	// default 512.
	MaxRecords int
	// MaxMoves is the maximum number of unused grants that one plan moves to
	// upstreams with less granted memory; default 8.
	MaxMoves int
}

// DefaultSettings returns the default settings.
func DefaultSettings() Settings {
	return Settings{IdleGrants: 2, SpareGrants: 1, Oversubscription: 8, MaxRecords: 512, MaxMoves: 8}
}

// Cached is an upstream that has a checkpoint cached, and the cache tier.
type Cached struct {
	Upstream state.UpstreamName
	Tier     platform.CacheTier
}

// Demand is the demand for a model as its home reports it. The home is the entry
// that decides on the model's replicas.
type Demand struct {
	// Replicas is how many loaded replicas the home requests.
	Replicas int
	// Benefit is the cost per second of the waiting that these replicas would
	// end. Models with a higher benefit are planned first.
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

// Shortfall reports a model that has fewer usable grants than its target.
type Shortfall struct {
	Model   state.ModelName
	Missing int
	Reason  string
}

// Plan holds the records to append: the host.gone records first, then the
// grants, then the revokes.
type Plan struct {
	Gone       []state.HostGone
	Grants     []state.GrantBody
	Revokes    []state.Revoke
	Shortfalls []Shortfall
}
