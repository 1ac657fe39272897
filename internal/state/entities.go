package state

// Class is a priority class of requests. Lower values are served first.
type Class uint8

// The priority classes.
const (
	ClassHigh Class = iota
	ClassNormal
	ClassLow
	// ClassCount is the number of classes.
	ClassCount = 3
)

var classNames = [ClassCount]string{"high", "normal", "low"}

// String returns "high", "normal" or "low".
func (c Class) String() string {
	if int(c) < len(classNames) {
		return classNames[c]
	}
	return "low"
}

// ParseClass parses the name of a class; ok is false if text is not one.
func ParseClass(text string) (class Class, ok bool) {
	for i, name := range classNames {
		if name == text {
			return Class(i), true
		}
	}
	return ClassNormal, false
}

// EntityKind is a kind of configured entity.
type EntityKind string

// The kinds of configured entities.
const (
	EntityTeam     EntityKind = "team"
	EntityModel    EntityKind = "model"
	EntityVersion  EntityKind = "version"
	EntityAdapter  EntityKind = "adapter"
	EntityCaller   EntityKind = "caller"
	EntityService  EntityKind = "service"
	EntityUpstream EntityKind = "upstream"
	EntityDrain    EntityKind = "drain"
)

// Model is a served model. It is configured by operators and read by every
// entry.
type Model struct {
	Name ModelName `json:"name"`
	Team TeamName  `json:"team"`
	// Active is the version that serves new requests.
	Active VersionName `json:"active,omitempty"`
	// MinReplicas is how many replicas per region are kept loaded; default 0.
	MinReplicas int `json:"min_replicas"`
	// MaxReplicas bounds the grants per region; default 1.
	MaxReplicas int `json:"max_replicas"`
	// KeepAlive is how long an idle replica stays loaded; zero means that
	// the time is derived from the observed gaps between requests.
	KeepAlive Duration `json:"keep_alive,omitempty"`
	// Pinned names the upstreams that placement must prefer.
	Pinned []UpstreamName `json:"pinned,omitempty"`
}

// ModelVersion is a checkpoint of a model.
type ModelVersion struct {
	Model ModelName   `json:"model"`
	Name  VersionName `json:"name"`
	// Weights is the memory that the weights take once loaded.
	Weights Bytes `json:"weights"`
	// KVHeadroom is the memory that a replica needs beyond its weights to
	// run its KV cache.
	KVHeadroom Bytes `json:"kv_headroom"`
}

// Footprint is the memory that a replica of v takes on an upstream.
func (v ModelVersion) Footprint() Bytes { return v.Weights + v.KVHeadroom }

// Adapter is a small set of weights that is applied on top of a model.
type Adapter struct {
	Name  AdapterName `json:"name"`
	Team  TeamName    `json:"team"`
	Model ModelName   `json:"model"`
	Size  Bytes       `json:"size"`
}

// Caller is a customer whose requests are served.
type Caller struct {
	Name CallerName `json:"name"`
	Team TeamName   `json:"team"`
	// HighestClass is the highest priority class that the caller may request;
	// default normal.
	HighestClass Class `json:"highest"`
	// Weight is the caller's relative share within a class; default 1.
	Weight int `json:"weight"`
	// MaxInFlight bounds the caller's waiting and running requests per
	// entry; zero means the entry's default.
	MaxInFlight int `json:"max_in_flight,omitempty"`
}

// ServiceCall is one kind of call of a plain service.
type ServiceCall struct {
	// Method is the HTTP method; empty means any.
	Method string `json:"method,omitempty"`
	// Prefix is a prefix of the path, relative to the service's root.
	Prefix string `json:"prefix"`
	// Idempotent says that the call may be repeated.
	Idempotent bool `json:"idempotent"`
}

// Service is a plain service, one that is not a model engine. Calls that match
// no element of Calls count as non-idempotent.
type Service struct {
	Name  ServiceName   `json:"name"`
	Team  TeamName      `json:"team"`
	Calls []ServiceCall `json:"calls,omitempty"`
}

// UpstreamKind says what an upstream runs.
type UpstreamKind string

// The kinds of upstreams.
const (
	ModelRunner       UpstreamKind = "model-runner"
	ApplicationRunner UpstreamKind = "application-runner"
	PlainService      UpstreamKind = "service"
)

// FencingKind says whether an upstream checks the fencing token of an order.
type FencingKind string

// The kinds of fencing.
const (
	// FencingEnforced means that orders with an outdated token are refused.
	FencingEnforced FencingKind = "enforced"
	// FencingIgnored means that the token is not checked.
	FencingIgnored FencingKind = "ignored"
)

// Upstream is a back end that requests are sent to.
type Upstream struct {
	Name       UpstreamName `json:"name"`
	Kind       UpstreamKind `json:"kind"`
	Host       HostName     `json:"host"`
	DataCentre DataCentre   `json:"data_centre"`
	Region     Region       `json:"region"`
	// TrafficAddr is the agent's HTTP address, "ip:port".
	TrafficAddr string `json:"traffic_addr"`
	// ControlAddr is the agent's jsonrpc2 address, "ip:port".
	ControlAddr string `json:"control_addr"`
	// Memory is the accelerator memory that replicas and adapters share.
	Memory  Bytes       `json:"memory"`
	Fencing FencingKind `json:"fencing"`
	// Services lists the plain services that a service upstream runs.
	Services []ServiceName `json:"services,omitempty"`
}

// Drain excludes an upstream or all upstreams of a host from new work. Exactly
// one of the two names is set.
type Drain struct {
	Upstream UpstreamName `json:"upstream,omitempty"`
	Host     HostName     `json:"host,omitempty"`
}

// Team is a group of operators that owns entities.
type Team struct {
	Name TeamName `json:"name"`
}

// ReplicaKey identifies the model version that a replica runs.
type ReplicaKey struct {
	Model   ModelName   `json:"model"`
	Version VersionName `json:"version"`
}

// ReplicaState is the state of a replica on its upstream.
type ReplicaState string

// The states of a replica.
const (
	ReplicaLoading   ReplicaState = "loading"
	ReplicaReady     ReplicaState = "ready"
	ReplicaUnloading ReplicaState = "unloading"
)

// Replica is a loaded or loading copy of a model version on an upstream. It is
// reported by the upstream's agent.
type Replica struct {
	ReplicaKey
	Upstream UpstreamName  `json:"upstream"`
	State    ReplicaState  `json:"state"`
	Adapters []AdapterName `json:"adapters,omitempty"`
}

// Grant permits one replica of a model version on one upstream. It is written
// by the region's decider and stays in force until it is released or its host
// is recorded as gone.
type Grant struct {
	// ID is the offset of the grant's record.
	ID Offset `json:"id"`
	ReplicaKey
	Upstream UpstreamName `json:"upstream"`
	Epoch    Epoch        `json:"epoch"`
	// Revoked is set once the decider has requested the grant's release.
	Revoked bool `json:"revoked,omitempty"`
}
