// Package oplang is the operators' query and command language: its grammar,
// its parser and an executor over interfaces that an entry implements.
package oplang

import (
	"context"
	"encoding/json"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// Tables lists the tables that a query can name after "show".
var Tables = []string{
	"loaded", "waiting", "refused", "replicas", "grants", "upstreams", "hosts",
	"models", "versions", "adapters", "callers", "services", "audit", "claims",
	"counts",
}

// Source gives the rows of the tables that queries read.
type Source interface {
	// Rows returns the rows of a query's table, which is listed in Tables. It
	// may leave out those that the query's filter at now does not keep. A
	// table with a history has a time column called "time" for "since".
	Rows(ctx context.Context, q *Show, now time.Time) (Table, error)
	// Explain tells why a model or a request is in its present state, one
	// row per step. Subject is "model" or "request".
	Explain(ctx context.Context, subject, name string) (Table, error)
}

// Changer carries out commands. Its errors are verdicts: ReasonConflict for a
// wrong revision, ReasonForbidden, ReasonInvalidChange and so on.
type Changer interface {
	// Current returns an entity's value and revision; revision zero means
	// that it does not exist.
	Current(ctx context.Context, entity state.EntityKind, name string) (json.RawMessage, state.Revision, error)
	// Change makes a change of the configuration; with dryRun it only
	// checks it. It returns the new revision.
	Change(ctx context.Context, change state.ConfigChange, dryRun bool) (state.Revision, error)
	// Act carries out an action that is no change of configuration; with
	// dryRun it only checks it. It returns a line that says what was done.
	Act(ctx context.Context, action Action, dryRun bool) (string, error)
}

// Verb names an action.
type Verb string

// The actions.
const (
	VerbPrewarm    Verb = "prewarm"
	VerbUnload     Verb = "unload"
	VerbQuarantine Verb = "quarantine"
	VerbRelease    Verb = "release"
)

// Action is a command that is no change of configuration.
type Action struct {
	Verb     Verb               `json:"verb"`
	Model    state.ModelName    `json:"model,omitempty"`
	Upstream state.UpstreamName `json:"upstream,omitempty"`
	// Fingerprint is of a request, for quarantine and release.
	Fingerprint uint64 `json:"fingerprint,omitempty"`
	// For is how long a quarantine lasts.
	For    time.Duration  `json:"for,omitempty"`
	Actor  string         `json:"actor"`
	Team   state.TeamName `json:"team,omitempty"`
	Reason string         `json:"reason,omitempty"`
}

// Operator is who gives a statement.
type Operator struct {
	// Name stands for the operator in the audit trail.
	Name string
	Team state.TeamName
}
