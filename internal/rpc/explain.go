package rpc

import (
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// MethodExplain explains what a gateway would do with a request now. It sends nothing and
// changes nothing.
const MethodExplain = "gateway.explain"

// ExplainParams describes a request: by host and path, or by a model.
type ExplainParams struct {
	Host string `json:"host,omitempty"`
	Path string `json:"path,omitempty"`
	// Service chooses one of the services of the route; empty is the one with the
	// greatest weight.
	Service state.ServiceName `json:"service,omitempty"`
	Model   state.ModelName   `json:"model,omitempty"`
	Adapter state.AdapterName `json:"adapter,omitempty"`
	// Team is the name of the team whose key the request would carry.
	Team state.TeamName `json:"team,omitempty"`
	// Prompt and MaxAnswer are sizes in tokens, and Part is the identifier of a part of
	// the prompt that other requests share, PartTokens its size.
	Prompt     int    `json:"prompt,omitempty"`
	MaxAnswer  int    `json:"maxAnswer,omitempty"`
	Part       uint64 `json:"part,omitempty"`
	PartTokens int    `json:"partTokens,omitempty"`
	// Priority replaces that of route and team.
	Priority *int `json:"priority,omitempty"`
	// Deadline is how long the caller waits; zero is the route's limit.
	Deadline state.Duration `json:"deadline,omitempty"`
	// Draw is the request's number for shares, from 0 to 1; nil is one in the middle of
	// the largest share.
	Draw *float64 `json:"draw,omitempty"`
}

// ExplainResult says what a gateway would do with a request, and why.
type ExplainResult struct {
	Gateway    string           `json:"gateway"`
	DataCentre state.DataCentre `json:"dataCentre"`
	Ready      bool             `json:"ready"`
	// Notes say what limits the explanation, such as that the gateway is out of touch.
	Notes []string `json:"notes,omitempty"`
	// Ages are those of the inputs.
	Ages     ExplainedAges     `json:"ages"`
	Manifest uint64            `json:"manifest,omitempty"`
	Route    string            `json:"route,omitempty"`
	Service  state.ServiceName `json:"service,omitempty"`
	// Services are all services of the route with their weights.
	Services map[state.ServiceName]float64 `json:"services,omitempty"`
	Team     state.TeamName                `json:"team,omitempty"`
	Priority int                           `json:"priority"`
	Deadline state.Duration                `json:"deadline"`
	// Quota is what is left of the team's quota; nil if that is not known.
	Quota     *ExplainedQuota     `json:"quota,omitempty"`
	Upstreams []ExplainedUpstream `json:"upstreams,omitempty"`
	// Spillover is nil if it is not enabled.
	Spillover *ExplainedSpillover `json:"spillover,omitempty"`
	// Chosen is the upstream that the request would be sent to, and ExpectedWait the time
	// until its prompt has been processed there.
	Chosen       state.UpstreamName `json:"chosen,omitempty"`
	ExpectedWait state.Duration     `json:"expectedWait,omitempty"`
	// WaitsForUpstream is for how long the request would wait for an upstream that holds what
	// it needs, at most; zero if it would not.
	WaitsForUpstream state.Duration    `json:"waitsForUpstream,omitempty"`
	Refusal          *ExplainedRefusal `json:"refusal,omitempty"`
}

// ExplainedAges are the ages of a gateway's inputs. What it counts itself (its running
// requests, answers of upstreams) has none. Nil was never received.
type ExplainedAges struct {
	// Manifest is the time since the manifest was certainly the newest, Registry since the
	// registry was read, Residency since the controller last told what upstreams hold, and
	// Loads since the loads of data centres were added up.
	Manifest  *state.Duration `json:"manifest,omitempty"`
	Registry  *state.Duration `json:"registry,omitempty"`
	Residency *state.Duration `json:"residency,omitempty"`
	Loads     *state.Duration `json:"loads,omitempty"`
}

// ExplainedQuota is what is left of a team's quota at a gateway.
type ExplainedQuota struct {
	// Tokens may be spent: those that the controller had left at its last answer, which is
	// of the given age, and those that the gateway holds.
	Tokens float64        `json:"tokens"`
	Age    state.Duration `json:"age"`
}

// ExplainedUpstream is an upstream of the service as the request finds it.
type ExplainedUpstream struct {
	Name       state.UpstreamName `json:"name"`
	DataCentre state.DataCentre   `json:"dataCentre"`
	// State is "chosen", "possible" or why the upstream is left out.
	State string `json:"state"`
	// Against lists what counts against it, For what counts for it.
	Against []string `json:"against,omitempty"`
	For     []string `json:"for,omitempty"`
}

// ExplainedSpillover is the decision whether the request leaves the data centre.
type ExplainedSpillover struct {
	// Planned is false if no figures cover the request.
	Planned bool             `json:"planned"`
	Action  string           `json:"action,omitempty"`
	Reason  string           `json:"reason,omitempty"`
	To      state.DataCentre `json:"to,omitempty"`
	// Shares are the fractions of the requests of this kind that go elsewhere, and Excess
	// the fraction that is not served in time anywhere.
	Shares map[state.DataCentre]float64 `json:"shares,omitempty"`
	Excess float64                      `json:"excess,omitempty"`
	// Offered is how many slots the data centre's callers need, Slots how many it has.
	Offered float64 `json:"offered"`
	Slots   float64 `json:"slots"`
	// Wait is the expected wait of a request that stays, Cost what leaving costs.
	Wait state.Duration `json:"wait,omitempty"`
	Cost state.Duration `json:"cost,omitempty"`
}

// ExplainedRefusal is the refusal that the request would get.
type ExplainedRefusal struct {
	Status     int            `json:"status"`
	Reason     string         `json:"reason"`
	Detail     string         `json:"detail,omitempty"`
	RetryAfter state.Duration `json:"retryAfter,omitempty"`
}
