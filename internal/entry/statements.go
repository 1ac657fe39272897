package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"github.com/lagoonvalve/lagoonvalve/gen/operators"
	"github.com/lagoonvalve/lagoonvalve/internal/audit"
	"github.com/lagoonvalve/lagoonvalve/internal/ctxtime"
	"github.com/lagoonvalve/lagoonvalve/internal/oplang"
	"github.com/lagoonvalve/lagoonvalve/internal/platform"
	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
	"github.com/lagoonvalve/lagoonvalve/internal/settings"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
	"github.com/lagoonvalve/lagoonvalve/internal/verdict"
)

// quarantineDefault is how long an operator's quarantine lasts without "for".
const quarantineDefault = time.Hour

// statements runs the operators' language on an entry.
type statements struct{ entry *Entry }

func (s statements) runStatement(ctx context.Context, who settings.Token, statement string) (*operators.StatementResult, error) {
	parsed, err := oplang.Parse(statement)
	if err != nil {
		return nil, err
	}
	executor := oplang.Executor{
		Source:  source{entry: s.entry, statement: statement},
		Changer: changer{entry: s.entry, who: who},
		Now:     time.Now,
	}
	table, err := executor.Run(ctx, parsed, oplang.Operator{Name: who.Name, Team: teamOf(who)})
	if err != nil {
		return nil, err
	}
	answer := oplang.NewAnswer(table)
	result := &operators.StatementResult{Columns: answer.Columns, Incomplete: answer.Incomplete, Rows: [][]any{}}
	for _, row := range answer.Rows {
		cells := make([]any, len(row))
		for i, value := range row {
			cells[i] = value
		}
		result.Rows = append(result.Rows, cells)
	}
	return result, nil
}

// changer carries out commands for one operator. It implements
// oplang.Changer.
type changer struct {
	entry *Entry
	who   settings.Token
}

func (c changer) allow(needed settings.Role) error {
	if roleRank(c.who.Role) < roleRank(needed) {
		return verdict.Refuse(verdict.ReasonForbidden, "this needs the role "+string(needed))
	}
	return nil
}

// Current implements oplang.Changer.
func (c changer) Current(_ context.Context, entity state.EntityKind, name string) (json.RawMessage, state.Revision, error) {
	current := c.entry.control.view()
	if refusal := current.unready(); refusal != nil {
		return nil, 0, refusal
	}
	found, ok := findEntity(current.config, entity, name)
	if !ok {
		return nil, 0, nil
	}
	value, err := json.Marshal(found.value)
	if err != nil {
		return nil, 0, errors.Wrap(err, "encode entity")
	}
	return value, found.revision, nil
}

// Change implements oplang.Changer.
func (c changer) Change(ctx context.Context, change state.ConfigChange, dryRun bool) (state.Revision, error) {
	if err := c.allow(neededRole(change.Entity)); err != nil {
		return 0, err
	}
	if dryRun {
		outcome, err := c.entry.control.checkChange(ctx, change)
		return outcome.Revision, err
	}
	outcome, err := c.entry.change(ctx, change)
	return outcome.Revision, err
}

// change makes a change and notes it in the audit trail, accepted or not.
func (e *Entry) change(ctx context.Context, change state.ConfigChange) (state.Outcome, error) {
	var before json.RawMessage
	if current := e.control.view(); current != nil {
		if found, ok := findEntity(current.config, change.Entity, change.Name); ok {
			before, _ = json.Marshal(found.value)
		}
	}
	outcome, err := e.control.changeConfig(ctx, change)
	e.trail.Operator(audit.ChangeEntry(time.Now(), change, before, err, outcome.Offset))
	return outcome, err
}

// Act implements oplang.Changer.
func (c changer) Act(ctx context.Context, action oplang.Action, dryRun bool) (string, error) {
	if err := c.allow(settings.RoleOperator); err != nil {
		return "", err
	}
	done, err := c.act(ctx, action, dryRun)
	if !dryRun {
		c.note(action, done, err)
	}
	return done, err
}

func (c changer) note(action oplang.Action, done string, err error) {
	entry := state.Audit{
		Time: time.Now(), Actor: action.Actor, Action: string(action.Verb), Reason: action.Reason,
		Accepted: err == nil, Detail: done, Offset: state.NoOffset,
	}
	if action.Model != "" {
		entry.Entity, entry.Name = state.EntityModel, string(action.Model)
	}
	if err != nil {
		entry.Detail = err.Error()
	}
	c.entry.trail.Operator(entry)
}

func (c changer) act(ctx context.Context, action oplang.Action, dryRun bool) (string, error) {
	switch action.Verb {
	case oplang.VerbPrewarm:
		return c.prewarm(ctx, action.Model, dryRun)
	case oplang.VerbUnload:
		return c.unload(ctx, action, dryRun)
	case oplang.VerbQuarantine:
		until := time.Now().Add(quarantineDefault)
		if action.For > 0 {
			until = time.Now().Add(action.For)
		}
		return c.quarantine(ctx, action, until, dryRun)
	case oplang.VerbRelease:
		return c.quarantine(ctx, action, time.Time{}, dryRun)
	default:
		return "", verdict.Refuse(verdict.ReasonBadRequest, "unknown action "+string(action.Verb))
	}
}

// mayActOn reports whether the operator's team owns a model.
func (c changer) mayActOn(v *view, name state.ModelName) (state.Model, error) {
	model, _, ok := v.config.Model(name)
	if !ok {
		return model, verdict.Refuse(verdict.ReasonNotFound, "no such model: "+string(name))
	}
	if team := teamOf(c.who); team != "" && team != model.Team {
		return model, verdict.Refuse(verdict.ReasonForbidden, "the model belongs to another team")
	}
	return model, nil
}

const (
	// prewarmWait is how long a prewarm waits for a grant, which the decider
	// makes within seconds of a model's first version or change of version.
	prewarmWait = 5 * time.Second
	// prewarmPoll is the time between looks for the grant.
	prewarmPoll = 100 * time.Millisecond
)

// prewarm loads one replica of a model under a standing grant, for which it
// waits if there is none yet.
func (c changer) prewarm(ctx context.Context, name state.ModelName, dryRun bool) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, prewarmWait)
	defer cancel()
	for {
		done, err := c.prewarmNow(ctx, name, dryRun)
		var refusal *verdict.Verdict
		waits := errors.As(err, &refusal) && refusal.Reason == verdict.ReasonNoReplica
		if !waits || dryRun || !ctxtime.Sleep(ctx, prewarmPoll) {
			return done, err
		}
	}
}

func (c changer) prewarmNow(ctx context.Context, name state.ModelName, dryRun bool) (string, error) {
	v := c.entry.control.view()
	model, err := c.mayActOn(v, name)
	if err != nil {
		return "", err
	}
	last := verdict.Refuse(verdict.ReasonNoReplica, "the model has no grant of its active version")
	for _, grant := range v.region.GrantsOf(name) {
		if grant.Version != model.Active || grant.Revoked || v.config.Drained(grant.Upstream) {
			continue
		}
		if dryRun {
			return fmt.Sprintf("%s would be asked to load", grant.Upstream), nil
		}
		result, err := c.wake(ctx, grant)
		if err == nil && result.Refusal == nil {
			return fmt.Sprintf("%s: %s", grant.Upstream, result.State), nil
		}
		if err == nil {
			last = result.Refusal
		}
	}
	return "", last
}

func (c changer) wake(ctx context.Context, grant state.Grant) (rpc.WakeResult, error) {
	var result rpc.WakeResult
	address, ok := c.entry.agentAddress(grant.Upstream)
	if !ok {
		return result, verdict.Refuse(verdict.ReasonNotFound, "no such upstream")
	}
	ctx, cancel := context.WithTimeout(ctx, wakeTimeout)
	defer cancel()
	params := rpc.WakeParams{ReplicaKey: grant.ReplicaKey, Benefit: 1, Operator: true}
	err := c.entry.caller.Call(ctx, address, rpc.MethodWake, params, &result)
	return result, err
}

func (c changer) unload(ctx context.Context, action oplang.Action, dryRun bool) (string, error) {
	v := c.entry.control.view()
	model, err := c.mayActOn(v, action.Model)
	if err != nil {
		return "", err
	}
	address, ok := c.entry.agentAddress(action.Upstream)
	if !ok {
		return "", verdict.Refuse(verdict.ReasonNotFound, "no such upstream: "+string(action.Upstream))
	}
	if dryRun {
		return fmt.Sprintf("%s would be asked to unload", action.Upstream), nil
	}
	ctx, cancel := context.WithTimeout(ctx, wakeTimeout)
	defer cancel()
	var result rpc.WakeResult
	params := rpc.UnloadParams{ReplicaKey: state.ReplicaKey{Model: model.Name, Version: model.Active}}
	if err := c.entry.caller.Call(ctx, address, rpc.MethodUnload, params, &result); err != nil {
		return "", err
	}
	if result.Refusal != nil {
		return "", result.Refusal
	}
	return fmt.Sprintf("%s: %s", action.Upstream, result.State), nil
}

// quarantine puts a fingerprint in or out of quarantine in all regions.
func (c changer) quarantine(ctx context.Context, action oplang.Action, until time.Time, dryRun bool) (string, error) {
	name := fingerprintText(action.Fingerprint)
	if dryRun {
		return "the quarantine of " + name + " would be changed", nil
	}
	body := state.Quarantine{Fingerprint: action.Fingerprint, Until: until, Actor: action.Actor}
	if err := c.entry.appendQuarantine(ctx, body); err != nil {
		return "", appendVerdict(err)
	}
	if until.IsZero() {
		return name + " is out of quarantine", nil
	}
	return fmt.Sprintf("%s is in quarantine until %s", name, until.Format(time.RFC3339)), nil
}

// appendQuarantine writes a quarantine to the streams of all regions, since a
// request that crashes upstreams is sent again wherever its caller can.
func (e *Entry) appendQuarantine(ctx context.Context, body state.Quarantine) error {
	regions := map[state.Region]bool{e.cfg.Region: true}
	for u := range e.control.view().config.Upstreams() {
		regions[u.Region] = true
	}
	for region := range regions {
		record, err := state.NewRecord(uuid.NewString(), e.control.cfg.self, state.KindQuarantine, body)
		if err != nil {
			return err
		}
		if _, err := e.writer.Append(ctx, platform.RegionStream(region), record); err != nil {
			return errors.Wrap(err, "append quarantine")
		}
	}
	return nil
}
