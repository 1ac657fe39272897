package entry

import (
	"context"
	"io"
	"net/http"

	"github.com/lagoonvalve/lagoonvalve/gen/callers"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// callersAPI implements the goa service of callers over the gateway. The
// gateway writes the answer itself, so the bodies that goa gets are empty.
type callersAPI struct{ gateway *gateway }

// Completions implements callers.Service.
func (a callersAPI) Completions(ctx context.Context, p *callers.CompletionsPayload, body io.ReadCloser) (io.ReadCloser, error) {
	return http.NoBody, a.gateway.serveGeneration(ctx, attributes{
		caller: p.Caller, priority: p.Priority,
		key: p.IdempotencyKey, deadlineMillis: p.DeadlineMs,
	}, body)
}

// Chat implements callers.Service.
func (a callersAPI) Chat(ctx context.Context, p *callers.ChatPayload, body io.ReadCloser) (io.ReadCloser, error) {
	return http.NoBody, a.gateway.serveGeneration(ctx, attributes{
		caller: p.Caller, priority: p.Priority,
		key: p.IdempotencyKey, deadlineMillis: p.DeadlineMs,
	}, body)
}

// Call implements callers.Service.
func (a callersAPI) Call(ctx context.Context, p *callers.CallPayload, body io.ReadCloser) (io.ReadCloser, error) {
	return http.NoBody, a.gateway.serveCall(ctx, attributes{
		caller: p.Caller, priority: p.Priority,
		key: p.IdempotencyKey, deadlineMillis: p.DeadlineMs,
	}, p.Service, p.Path, body)
}

// Models implements callers.Service.
func (a callersAPI) Models(context.Context) (*callers.ModelList, error) {
	current := a.gateway.view()
	if refusal := current.unready(); refusal != nil {
		return nil, refusal
	}
	list := &callers.ModelList{Object: "list"}
	for model := range current.config.Models() {
		list.Data = append(list.Data, modelInfo(string(model.Name), model.Team, nil))
	}
	for adapter := range current.config.Adapters() {
		parent := string(adapter.Model)
		list.Data = append(list.Data, modelInfo(string(adapter.Name), adapter.Team, &parent))
	}
	return list, nil
}

func modelInfo(id string, team state.TeamName, parent *string) *callers.ModelInfo {
	return &callers.ModelInfo{ID: id, Object: "model", OwnedBy: string(team), Parent: parent}
}
