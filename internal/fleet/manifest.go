// Package fleet holds what a gateway believes of its deployment: the manifest
// of routes, services and models, and the registered upstreams. Its types are
// pure; the ports to whatever provides them are in ports.go.
package fleet

import (
	"cmp"
	"net"
	"slices"
	"strings"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// Version numbers manifests. Later manifests have higher numbers.
type Version uint64

// Tokens counts tokens of prompts, answers or cache memory.
type Tokens int

// Megabytes is a size in units of 1,000,000 bytes.
type Megabytes float64

// RouteKind says what may be repeated of the requests of a route.
type RouteKind uint8

// The kinds of routes. AtMostOnce is the zero value, so that a kind that
// nobody filled in never allows a repetition.
const (
	AtMostOnce RouteKind = iota
	Idempotent
	Stream
)

// WeightedService is a service that a route sends a share of its requests to.
type WeightedService struct {
	Service state.ServiceName
	Weight  float64
}

// Route says where requests go and what they may cost.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Kind       RouteKind
	// Resumable says that a stream may go on at another upstream.
	Resumable bool
	// Timeout is the longest time that a caller may be kept waiting.
	Timeout time.Duration
	// Objective is the time within which an answer earns its full credit; of
	// a stream, its first event.
	Objective time.Duration
	// MaxGap is the longest pause between events of a stream that is on time.
	MaxGap time.Duration
	// Priority is the rank of the route's requests; 0 is the highest.
	Priority int
	// Attempts bounds the upstreams that one request may be sent to.
	Attempts int
	Services []WeightedService
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// ChooseService returns the service for a draw from 0 to 1.
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
	// The times of a load by where the weights are.
	FromStore, FromDisk, FromMemory time.Duration
}

// EngineSpec describes the model engines of a service.
type EngineSpec struct {
	// Slots is how many requests run side by side.
	Slots int
	// Cache is the memory for running requests and cached prompts.
	Cache Tokens
	// Memory holds the weights of models and adapters.
	Memory       Megabytes
	AdapterSlots int
	// LoadsPerSecond limits loads from the weight store over all upstreams.
	LoadsPerSecond float64
	Models         map[state.ModelName]ModelSpec
}

// Service describes a group of like upstreams.
type Service struct {
	Name state.ServiceName
	// MaxConns bounds the connections that an upstream accepts of all callers.
	MaxConns int
	// Engine is nil for a plain service.
	Engine *EngineSpec
}

// Manifest is one version of the operators' configuration. It is immutable.
type Manifest struct {
	Version  Version
	Services map[state.ServiceName]*Service
	// MaxBody bounds the body of a request.
	MaxBody state.Bytes
	// byHost holds the routes of a host, those with the longest prefix first.
	byHost map[string][]*Route
}

// NewManifest returns a manifest of the given parts.
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

// Match returns the route of a request: of its host's routes, that with the
// longest prefix of the path. It returns nil if there is none.
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
