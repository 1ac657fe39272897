package entry

import (
	"context"
	"encoding/json"
	"slices"
	"strconv"
	"strings"

	"github.com/lagoonvalve/lagoonvalve/gen/operators"
	"github.com/lagoonvalve/lagoonvalve/internal/settings"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
	"github.com/lagoonvalve/lagoonvalve/internal/verdict"
)

// operatorsAPI implements the goa service of operators.
type operatorsAPI struct {
	control *control
	// tokens returns the tokens of the settings in force.
	tokens func() []settings.Token
	// run carries out a statement of the operators' language.
	run statementRunner
	// change makes a change of the configuration and notes it in the audit
	// trail.
	change func(ctx context.Context, change state.ConfigChange) (state.Outcome, error)
}

// statementRunner runs a statement for an operator.
type statementRunner interface {
	runStatement(ctx context.Context, who settings.Token, statement string) (*operators.StatementResult, error)
}

// openAccess stands for everyone where the settings list no tokens.
var openAccess = settings.Token{Name: "anonymous", Role: settings.RoleAdministrator}

// authorize finds the operator of a token. All digests are compared, each in
// constant time, so that the time tells nothing about which one is near.
func (a operatorsAPI) authorize(authorization *string, needed settings.Role) (settings.Token, error) {
	who := openAccess
	if tokens := a.tokens(); len(tokens) > 0 {
		found := false
		for _, token := range tokens {
			if bearerMatches(authorization, token.SHA256) {
				who, found = token, true
			}
		}
		if !found {
			return who, verdict.Refuse(verdict.ReasonUnauthorized, "the token is missing or unknown")
		}
	}
	if roleRank(who.Role) < roleRank(needed) {
		return who, verdict.Refuse(verdict.ReasonForbidden, "this needs the role "+string(needed))
	}
	return who, nil
}

func roleRank(r settings.Role) int {
	return slices.Index([]settings.Role{settings.RoleViewer, settings.RoleOperator, settings.RoleAdministrator}, r)
}

// teamOf is the team that a change is made for; administrators act for all.
func teamOf(who settings.Token) state.TeamName {
	if who.Role == settings.RoleAdministrator {
		return ""
	}
	return who.Team
}

// Operate implements operators.Service.
func (a operatorsAPI) Operate(ctx context.Context, p *operators.OperatePayload) (*operators.StatementResult, error) {
	who, err := a.authorize(p.Authorization, settings.RoleViewer)
	if err != nil {
		return nil, err
	}
	return a.run.runStatement(ctx, who, p.Statement)
}

// List implements operators.Service.
func (a operatorsAPI) List(_ context.Context, p *operators.ListPayload) (*operators.EntityPage, error) {
	if _, err := a.authorize(p.Authorization, settings.RoleViewer); err != nil {
		return nil, err
	}
	current := a.control.view()
	if refusal := current.unready(); refusal != nil {
		return nil, refusal
	}
	page := &operators.EntityPage{Items: []*operators.Entity{}}
	for _, found := range entitiesOf(current.config, state.EntityKind(p.Kind)) {
		if p.After != nil && found.name <= *p.After {
			continue
		}
		if len(page.Items) == p.Limit {
			last := page.Items[len(page.Items)-1].Name
			page.Next = &last
			break
		}
		page.Items = append(page.Items, found.wire(p.Kind))
	}
	return page, nil
}

// Get implements operators.Service.
func (a operatorsAPI) Get(_ context.Context, p *operators.GetPayload) (*operators.GetResult, error) {
	if _, err := a.authorize(p.Authorization, settings.RoleViewer); err != nil {
		return nil, err
	}
	current := a.control.view()
	if refusal := current.unready(); refusal != nil {
		return nil, refusal
	}
	found, ok := findEntity(current.config, state.EntityKind(p.Kind), p.Name)
	if !ok {
		return nil, verdict.Refuse(verdict.ReasonNotFound, "no such "+p.Kind+": "+p.Name)
	}
	return &operators.GetResult{Entity: found.wire(p.Kind), Etag: etagOf(found.revision)}, nil
}

// Put implements operators.Service.
func (a operatorsAPI) Put(ctx context.Context, p *operators.PutPayload) (*operators.ChangeResult, error) {
	value, err := json.Marshal(p.Value)
	if err != nil {
		return nil, verdict.Refuse(verdict.ReasonBadRequest, "the value is not valid JSON")
	}
	return a.changeEntity(ctx, p.Authorization, state.ConfigChange{
		Entity: state.EntityKind(p.Kind), Name: p.Name, Value: value,
	}, p.IfMatch, p.Reason)
}

// Delete implements operators.Service.
func (a operatorsAPI) Delete(ctx context.Context, p *operators.DeletePayload) (*operators.ChangeResult, error) {
	return a.changeEntity(ctx, p.Authorization, state.ConfigChange{
		Entity: state.EntityKind(p.Kind), Name: p.Name,
	}, &p.IfMatch, p.Reason)
}

func (a operatorsAPI) changeEntity(ctx context.Context, authorization *string, change state.ConfigChange, ifMatch, reason *string) (*operators.ChangeResult, error) {
	who, err := a.authorize(authorization, neededRole(change.Entity))
	if err != nil {
		return nil, err
	}
	if ifMatch != nil {
		if change.Expected, err = parseETag(*ifMatch); err != nil {
			return nil, err
		}
	}
	if reason != nil {
		change.Reason = *reason
	}
	change.Actor = who.Name
	change.Team = teamOf(who)
	outcome, err := a.change(ctx, change)
	if err != nil {
		return nil, err
	}
	return &operators.ChangeResult{
		Offset: int64(outcome.Offset), Revision: uint64(outcome.Revision), Etag: etagOf(outcome.Revision),
	}, nil
}

// neededRole is the role that may change a kind of entity: what belongs to no
// team takes an administrator.
func neededRole(kind state.EntityKind) settings.Role {
	switch kind {
	case state.EntityTeam, state.EntityUpstream:
		return settings.RoleAdministrator
	default:
		return settings.RoleOperator
	}
}

func etagOf(r state.Revision) string { return `"` + strconv.FormatUint(uint64(r), 10) + `"` }

func parseETag(text string) (state.Revision, error) {
	number, err := strconv.ParseUint(strings.Trim(text, `"`), 10, 64)
	if err != nil {
		return 0, verdict.Refuse(verdict.ReasonBadRequest, "If-Match: want the ETag of the entity")
	}
	return state.Revision(number), nil
}
