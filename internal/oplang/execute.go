package oplang

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/lagoonvalve/lagoonvalve/internal/settings"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
	"github.com/lagoonvalve/lagoonvalve/internal/verdict"
)

// Executor carries out statements.
type Executor struct {
	Source  Source
	Changer Changer
	// Now is the clock of "since".
	Now func() time.Time
}

// Run carries out a statement for an operator. The error is a *Mistake if the
// statement is wrong, else a verdict of the source or changer. The result of
// a command is one row that says what was done.
func (e *Executor) Run(ctx context.Context, s *Statement, operator Operator) (Table, error) {
	switch {
	case s.Show != nil:
		return e.show(ctx, s.Show)
	case s.Explain != nil:
		return e.Source.Explain(ctx, s.Explain.Subject, s.Explain.Name.Text)
	}
	if action, ok, err := s.action(operator); ok || err != nil {
		return e.act(ctx, action, s.options(), err)
	}
	return e.change(ctx, s, operator)
}

func (e *Executor) show(ctx context.Context, q *Show) (Table, error) {
	now := e.Now()
	table, err := e.Source.Rows(ctx, q, now)
	if err != nil {
		return Table{}, errors.Wrapf(err, "read %s", q.Table)
	}
	if table, err = q.Apply(table, now); err != nil {
		return Table{}, err
	}
	return table, checkSize(table)
}

// Changes reports whether the statement is a command, which may change
// something, and not a query.
func (s *Statement) Changes() bool { return s.Show == nil && s.Explain == nil }

// MaxAnswerBytes bounds the rows of an answer as JSON; 100,000 rows take about
// 10 MiB. An entry and its client each hold several copies of an answer.
const MaxAnswerBytes = 16 * state.MiB

// checkSize refuses an answer beyond MaxAnswerBytes. A part of it could be
// taken for the whole, by a script above all.
func checkSize(table Table) error {
	var size state.Bytes
	for i, row := range table.Rows {
		encoded, err := json.Marshal(row)
		if err != nil {
			return errors.Wrap(err, "encode row")
		}
		if size += state.Bytes(len(encoded) + 1); size > MaxAnswerBytes {
			return verdict.Refuse(verdict.ReasonAnswerTooLarge, fmt.Sprintf(
				"the answer has %d rows, of which %d fit into %s; narrow the query with where, since or by, or add: limit %d",
				len(table.Rows), i, MaxAnswerBytes, max(i, 1)))
		}
	}
	return nil
}

// Role returns the least role that may give the statement. Whether it concerns
// the operator's own team is for the Changer to check.
func (s *Statement) Role() settings.Role {
	kind := ""
	switch {
	case s.Show != nil, s.Explain != nil:
		return settings.RoleViewer
	case s.Drain != nil, s.Undrain != nil:
		return settings.RoleAdministrator
	case s.Create != nil:
		kind = s.Create.Kind
	case s.Change != nil:
		kind = s.Change.Kind
	case s.Delete != nil:
		kind = s.Delete.Kind
	}
	if kind == string(state.EntityUpstream) || kind == string(state.EntityTeam) {
		return settings.RoleAdministrator
	}
	return settings.RoleOperator
}

// action returns the action of a statement that is no change of the
// configuration.
func (s *Statement) action(operator Operator) (action Action, ok bool, err error) {
	switch {
	case s.Prewarm != nil:
		action = Action{Verb: VerbPrewarm, Model: state.ModelName(s.Prewarm.Model.Text)}
	case s.Unload != nil:
		action = Action{
			Verb:     VerbUnload,
			Model:    state.ModelName(s.Unload.Model.Text),
			Upstream: state.UpstreamName(s.Unload.Upstream.Text),
		}
	case s.Quarantine != nil:
		action.Verb = VerbQuarantine
		action.For, err = s.Quarantine.duration()
		if err == nil {
			action.Fingerprint, err = fingerprint(s.Quarantine.Fingerprint)
		}
	case s.Release != nil:
		action.Verb = VerbRelease
		action.Fingerprint, err = fingerprint(s.Release.Fingerprint)
	default:
		return Action{}, false, nil
	}
	action.Actor = operator.Name
	action.Team = operator.Team
	action.Reason = s.options().Reason()
	return action, true, err
}

func (e *Executor) act(ctx context.Context, action Action, options *Options, err error) (Table, error) {
	if err != nil {
		return Table{}, err
	}
	for _, option := range options.List {
		if option.Revision != nil {
			return Table{}, mistakeAt(option.Pos, "%s changes no entity, so that it has no revision", action.Verb)
		}
	}
	done, err := e.Changer.Act(ctx, action, options.DryRun())
	if err != nil {
		return Table{}, errors.Wrapf(err, "%s", action.Verb)
	}
	columns := []Column{{Name: "result"}, {Name: "dry_run", Kind: KindBool}}
	return Table{Columns: columns, Rows: [][]Value{{Text(done), Bool(options.DryRun())}}}, nil
}

// edit is a change of the configuration in the making.
type edit struct {
	entity state.EntityKind
	name   string
	// value makes the new value of the present one; nil deletes.
	value func(current json.RawMessage) (json.RawMessage, error)
	// creates says that the entity must not exist yet.
	creates bool
}

func (e *Executor) change(ctx context.Context, s *Statement, operator Operator) (Table, error) {
	ed := s.edit()
	current, revision, err := e.Changer.Current(ctx, ed.entity, ed.name)
	if err != nil {
		return Table{}, errors.Wrapf(err, "read %s %s", ed.entity, ed.name)
	}
	if err := ed.checkExistence(revision); err != nil {
		return Table{}, err
	}
	options := s.options()
	change := state.ConfigChange{
		Entity: ed.entity, Name: ed.name, Expected: revision,
		Actor: operator.Name, Team: operator.Team, Reason: options.Reason(),
	}
	if ed.value != nil {
		if change.Value, err = ed.value(current); err != nil {
			return Table{}, err
		}
	}
	if wanted, ok := options.Revision(); ok && state.Revision(wanted) != revision {
		return Table{}, e.wrongRevision(ctx, change, state.Revision(wanted))
	}
	after, err := e.Changer.Change(ctx, change, options.DryRun())
	if err != nil {
		return Table{}, errors.Wrapf(err, "change %s %s", ed.entity, ed.name)
	}
	return changed(change, after, options.DryRun()), nil
}

// wrongRevision returns the refusal of a change that wants another revision
// than the present one. The changer's check names who made the present one.
func (e *Executor) wrongRevision(ctx context.Context, change state.ConfigChange, wanted state.Revision) error {
	present := change.Expected
	change.Expected = wanted
	_, err := e.Changer.Change(ctx, change, true)
	if v := verdict.Of(err); err != nil && v.Reason == verdict.ReasonConflict {
		return err
	}
	detail := fmt.Sprintf("%s %s has revision %d, not %d", change.Entity, change.Name, present, wanted)
	return verdict.Refuse(verdict.ReasonConflict, detail)
}

func changed(change state.ConfigChange, revision state.Revision, dryRun bool) Table {
	columns := []Column{
		{Name: "entity"}, {Name: "name"}, {Name: "revision", Kind: KindInt},
		{Name: "dry_run", Kind: KindBool}, {Name: "value"},
	}
	row := []Value{
		Text(change.Entity), Text(change.Name), Int(revision), Bool(dryRun), Text(string(change.Value)),
	}
	return Table{Columns: columns, Rows: [][]Value{row}}
}

func (ed edit) checkExistence(revision state.Revision) error {
	switch {
	case ed.creates && revision != 0:
		return verdict.Refuse(verdict.ReasonConflict, fmt.Sprintf("%s %s exists already", ed.entity, ed.name))
	case !ed.creates && revision == 0:
		return verdict.Refuse(verdict.ReasonNotFound, fmt.Sprintf("there is no %s %s", ed.entity, ed.name))
	default:
		return nil
	}
}

func (s *Statement) edit() edit {
	switch {
	case s.Create != nil:
		return edit{entity: state.EntityKind(s.Create.Kind), name: s.Create.Name.Text, value: s.Create.Value, creates: true}
	case s.Change != nil:
		return edit{entity: state.EntityKind(s.Change.Kind), name: s.Change.Name.Text, value: s.Change.Value}
	case s.Delete != nil:
		return edit{entity: state.EntityKind(s.Delete.Kind), name: s.Delete.Name.Text}
	case s.Drain != nil:
		return edit{entity: state.EntityDrain, name: s.Drain.key(), value: s.Drain.value, creates: true}
	case s.Undrain != nil:
		return edit{entity: state.EntityDrain, name: s.Undrain.key()}
	case s.Pin != nil:
		upstream := state.UpstreamName(s.Pin.Upstream.Text)
		return modelEdit(s.Pin.Model, func(m *state.Model) {
			if !slices.Contains(m.Pinned, upstream) {
				m.Pinned = append(m.Pinned, upstream)
			}
		})
	default:
		version := state.VersionName(s.Activate.Version.Text)
		return modelEdit(s.Activate.Model, func(m *state.Model) { m.Active = version })
	}
}

// key is the name of a drain: "upstream/NAME" or "host/NAME".
func (d *Drain) key() string { return d.Kind + "/" + d.Name.Text }

func (d *Drain) value(json.RawMessage) (json.RawMessage, error) {
	drain := state.Drain{Upstream: state.UpstreamName(d.Name.Text)}
	if d.Kind == "host" {
		drain = state.Drain{Host: state.HostName(d.Name.Text)}
	}
	return json.Marshal(drain)
}

func modelEdit(name *Literal, set func(*state.Model)) edit {
	value := func(current json.RawMessage) (json.RawMessage, error) {
		var model state.Model
		if err := json.Unmarshal(current, &model); err != nil {
			return nil, errors.Wrapf(err, "decode model %s", name.Text)
		}
		set(&model)
		return json.Marshal(model)
	}
	return edit{entity: state.EntityModel, name: name.Text, value: value}
}
