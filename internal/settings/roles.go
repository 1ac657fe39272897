package settings

import "github.com/lagoonvalve/lagoonvalve/internal/state"

// Entry holds the settings of the role entry.
type Entry struct {
	Common
	// Platform holds the addresses of the platform's services.
	Platform Platform `toml:"platform"`
	// Limits holds the limits on what the entry accepts.
	Limits EntryLimits `toml:"limits" reload:"yes"`
	// Weights holds the cost weights of the entry's decisions.
	Weights EntryWeights `toml:"weights" reload:"yes"`
	// Tokens lists the operators' bearer tokens.
	Tokens []Token `toml:"tokens" validate:"max=1024,dive" reload:"yes"`
}

// EntryLimits holds the limits on what an entry accepts. Limits are per entry
// unless stated otherwise.
type EntryLimits struct {
	// BodyBytes is the maximum size of a request body. Default 16MiB.
	BodyBytes state.Bytes `toml:"body_bytes" validate:"min=1024,max=1073741824"`
	// QueueRequests is the maximum number of waiting requests of all models
	// and services. Default 4096 requests.
	QueueRequests int `toml:"queue_requests" validate:"min=1,max=1000000"`
	// QueueBytes is the maximum total size of the bodies of waiting requests.
	// Default 64MiB.
	QueueBytes state.Bytes `toml:"queue_bytes" validate:"min=1024"`
	// ModelInFlight is the maximum number of waiting and running requests of
	// one model. Default 2048 requests.
	ModelInFlight int `toml:"model_in_flight" validate:"min=1,max=1000000"`
	// CallerInFlight is the maximum number of waiting and running requests of
	// a caller whose configuration sets no limit. Default 512 requests.
	CallerInFlight int `toml:"caller_in_flight" validate:"min=1,max=1000000"`
	// DefaultDeadline is the deadline of a request that sets none.
	// Default 30s.
	DefaultDeadline state.Duration `toml:"default_deadline" validate:"min_duration=1ms,max_duration=1h"`
	// MaxDeadline caps the deadline that a request may set; it must be at
	// least DefaultDeadline. Agents cap deadlines at 1h. Default 10m.
	MaxDeadline state.Duration `toml:"max_deadline" validate:"max_duration=1h"`
	// StarvationBound is how many requests of higher classes may be served
	// in a row while a lower class waits. Default 16 requests.
	StarvationBound int `toml:"starvation_bound" validate:"min=1,max=1000000" reload:"no"`
	// CrossRegionBytesPerSecond is the budget for traffic to other regions,
	// which is charged by volume. Default 1MiB (per second); 0B allows none.
	CrossRegionBytesPerSecond state.Bytes `toml:"cross_region_bytes_per_second" validate:"min=0"`
	// LogAppendsPerSecond is this entry's share of the log's rate limit.
	// Default 20 appends a second.
	LogAppendsPerSecond int `toml:"log_appends_per_second" validate:"min=1,max=1000"`
	// StoreLoadsPerSecond and StoreLoadsAtOnce limit the rate and the number of
	// concurrent loads from the weight store for all regions together, which
	// share them by need. They must be the same at all entries. Default 3 (per
	// second) and 4.
	StoreLoadsPerSecond float64 `toml:"store_loads_per_second" validate:"gt=0,max=10000" reload:"no"`
	StoreLoadsAtOnce    int     `toml:"store_loads_at_once" validate:"min=1,max=10000" reload:"no"`
}

// Weights holds the cost weights with which decisions trade idle accelerators
// against cold starts. Only the ratio of the two matters.
type Weights struct {
	// Idle is the weight of idle accelerator time. Default 1. A higher value
	// unloads idle models earlier.
	Idle float64 `toml:"idle" validate:"gt=0,max=1000"`
	// ColdStart is the weight of the time that callers wait for a load.
	// Default 10. A higher value keeps idle models loaded longer.
	ColdStart float64 `toml:"cold_start" validate:"gt=0,max=1000"`
}

// EntryWeights holds the cost weights of an entry's decisions.
type EntryWeights struct {
	Weights
	// TailLatency is the weight of the delay of requests whose model's only
	// replica is a straggler. Default 10. With a higher value, more models in
	// steady use get one or two spare replicas.
	TailLatency float64 `toml:"tail_latency" validate:"gt=0,max=1000"`
}

// Role determines what the holder of a token may do.
type Role string

// The roles. Each includes the permissions of the roles before it.
const (
	// RoleViewer may query.
	RoleViewer Role = "viewer"
	// RoleOperator may also change its team's entities and act on them.
	RoleOperator Role = "operator"
	// RoleAdministrator may also change every team's entities, upstreams
	// and teams.
	RoleAdministrator Role = "administrator"
)

// Token describes a bearer token of an operator. The settings hold only its
// digest.
type Token struct {
	// Name identifies the holder in the audit trail. Required.
	Name string `toml:"name" validate:"required,max=128"`
	// Team is the holder's team. Required.
	Team state.TeamName `toml:"team" validate:"required,max=128"`
	// Role is "viewer", "operator" or "administrator". Required.
	Role Role `toml:"role" validate:"required,oneof=viewer operator administrator"`
	// SHA256 is the SHA-256 digest of the token in lower-case hexadecimal.
	// Required.
	SHA256 string `toml:"sha256" validate:"required,len=64,hexadecimal,lowercase"`
}

// Agent holds the settings of the role agent.
type Agent struct {
	Common
	// Upstream describes the upstream that the agent manages.
	Upstream AgentUpstream `toml:"upstream"`
	// Limits holds the limits on what the agent accepts.
	Limits AgentLimits `toml:"limits"`
	// Weights holds the cost weights from which the agent derives how long
	// idle models stay loaded; they should be the same as at entries.
	Weights Weights `toml:"weights" reload:"yes"`
}

// AgentUpstream describes the upstream that an agent manages.
type AgentUpstream struct {
	// Kind is "model-runner", "application-runner" or "service". Default
	// "model-runner".
	Kind state.UpstreamKind `toml:"kind" validate:"oneof=model-runner application-runner service"`
	// URL is the base URL of the engine or service. Required.
	URL string `toml:"url" validate:"required,http_url"`
	// Memory is the accelerator memory that replicas and adapters share.
	// Required for a model runner.
	Memory state.Bytes `toml:"memory" validate:"required_if=Kind model-runner,min=0"`
	// Fencing is "enforced" if the engine refuses orders with an outdated
	// fencing token, else "ignored". Default "ignored".
	Fencing state.FencingKind `toml:"fencing" validate:"oneof=enforced ignored"`
	// Concurrency is how many requests the upstream runs at once.
	// Default 16 requests.
	Concurrency int `toml:"concurrency" validate:"min=1,max=100000"`
}

// AgentLimits holds the limits on the queue in front of the upstream.
type AgentLimits struct {
	// QueueRequests is the maximum number of waiting requests. Default 256
	// requests.
	QueueRequests int `toml:"queue_requests" validate:"min=1,max=1000000"`
	// QueueBytes is the maximum total size of the bodies of waiting requests.
	// Default 64MiB.
	QueueBytes state.Bytes `toml:"queue_bytes" validate:"min=1024"`
	// BodyBytes is the maximum size of a request body. Default 16MiB.
	BodyBytes state.Bytes `toml:"body_bytes" validate:"min=1024,max=1073741824"`
	// LongShare is the fraction of Concurrency that long requests may use,
	// from 0 to 1; they may always use one slot. Default 0.5.
	LongShare float64 `toml:"long_share" validate:"gt=0,max=1"`
	// StarvationBound is how many requests of higher classes may be served
	// in a row while a lower class waits. Default 16 requests.
	StarvationBound int `toml:"starvation_bound" validate:"min=1,max=1000000"`
}
