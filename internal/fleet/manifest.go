// Package fleet holds a gateway's view of its deployment: the manifest of
// routes, services and models, and the registered upstreams. Its types do no
// I/O; ports.go has the interfaces to the components that provide the data.
package fleet

import (
	"cmp"
	"maps"
	"net"
	"slices"
	"strings"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// Version is the number of a manifest. Later manifests have higher numbers.
type Version uint64

// Tokens is a number of tokens of prompts, answers or cache memory.
type Tokens int

// Megabytes is a size in units of 1,000,000 bytes.
type Megabytes float64

// RouteKind is the kind of a route: whether its requests may run more than once.
type RouteKind uint8

// The kinds of routes. AtMostOnce is the zero value, so that a kind that was
// never set doesn't permit repetition.
const (
	AtMostOnce RouteKind = iota
	Idempotent
	Stream
)

// WeightedService is a service that receives a share of a route's requests.
type WeightedService struct {
	Service state.ServiceName
	Weight  float64
}

// Route is the destination of the requests for a host and path prefix, and their
// limits.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Kind       RouteKind
	// Resumable is set if a stream may continue on another upstream.
	Resumable bool
	// Timeout is the longest time that a caller may be kept waiting.
	Timeout time.Duration
	// Objective is the latency target: an answer within this time, or the first
	// event of a stream, is on time.
	Objective time.Duration
	// MaxGap is the longest pause between the events of a stream that is on
	// time.
	MaxGap time.Duration
	// Priority is the rank of the route's requests; 0 is the highest.
	Priority int
	// Public routes take requests without a key.
	Public bool
	// Attempts bounds how many upstreams one request may be sent to.
	Attempts int
	Services []WeightedService
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// ChooseService returns the service for a random number from 0 to 1, in
// proportion to the weights.
func (r *Route) ChooseService(draw float64) state.ServiceName {
	total := 0.0
	for _, s := range r.Services {
		total += s.Weight
	}
	left := draw * total
	for _, s := range r.Services {
		if left < s.Weight {
			return s.Service
		}
		left -= s.Weight
	}
	if len(r.Services) == 0 {
		return ""
	}
	return r.Services[len(r.Services)-1].Service
}

// ModelSpec describes a model that upstreams of a service may load.
type ModelSpec struct {
	Name state.ModelName
	Size Megabytes
	// Adapters is how many adapters the model has.
	Adapters    int
	AdapterSize Megabytes
	// FromStore, FromDisk and FromMemory are the durations of a load, by where
	// the weights are.
	FromStore, FromDisk, FromMemory time.Duration
}

// EngineSpec describes the model engines of a service.
type EngineSpec struct {
	// Slots is how many requests run concurrently.
	Slots int
	// Cache is the capacity for running requests and cached prompts.
	Cache Tokens
	// Memory is the capacity for the weights of models and adapters.
	Memory       Megabytes
	AdapterSlots int
	// LoadsPerSecond limits the loads from the weight store by all upstreams
	// together.
	LoadsPerSecond float64
	Models         map[state.ModelName]ModelSpec
}

// Service describes a group of identical upstreams.
type Service struct {
	Name state.ServiceName
	// MaxConns bounds the connections that an upstream accepts from all callers
	// together.
	MaxConns int
	// Engine describes the model engines; nil for a plain service.
	Engine *EngineSpec
}

// CallerLimits are limits on what callers may send; zero values set none.
type CallerLimits struct {
	// HeadBytes bounds the size of a request's head, and HeadTimeout the time that it may
	// take.
	HeadBytes   state.Bytes
	HeadTimeout time.Duration
	// IdleTimeout is how long callers keep connections without a request.
	IdleTimeout time.Duration
}

// Manifest is one version of the operators' configuration. It is immutable.
type Manifest struct {
	Version  Version
	Services map[state.ServiceName]*Service
	// MaxBody bounds the size of a request body.
	MaxBody state.Bytes
	// Callers holds further limits on what callers may send.
	Callers CallerLimits
	// byHost holds the routes of a host, those with the longest prefix first.
	byHost map[string][]*Route
	// teams and teamByKey are nil without teams.
	teams     map[state.TeamName]*Team
	teamByKey map[KeyHash]*Team
	// revoked has keys of earlier manifests that this one lacks.
	revoked map[KeyHash]struct{}
}

// NewManifest returns a manifest with the given parts.
func NewManifest(version Version, routes []*Route, services []*Service, maxBody state.Bytes) *Manifest {
	m := &Manifest{
		Version:  version,
		Services: make(map[state.ServiceName]*Service, len(services)),
		MaxBody:  maxBody,
		byHost:   make(map[string][]*Route),
	}
	for _, s := range services {
		m.Services[s.Name] = s
	}
	for _, r := range routes {
		m.byHost[r.Host] = append(m.byHost[r.Host], r)
	}
	for _, list := range m.byHost {
		slices.SortStableFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix)) })
	}
	return m
}

// RouteTo returns a route that leads to a service, the first by host; nil if there is none.
func (m *Manifest) RouteTo(service state.ServiceName) *Route {
	for _, host := range slices.Sorted(maps.Keys(m.byHost)) {
		for _, r := range m.byHost[host] {
			if slices.ContainsFunc(r.Services, func(s WeightedService) bool { return s.Service == service }) {
				return r
			}
		}
	}
	return nil
}

// Match returns the route of a request: among the routes of its host, the one
// with the longest prefix of the path. It returns nil if no route matches.
func (m *Manifest) Match(host, path string) *Route {
	list, ok := m.byHost[host]
	if !ok {
		if name, _, err := net.SplitHostPort(host); err == nil {
			list = m.byHost[name]
		}
	}
	for _, r := range list {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}
