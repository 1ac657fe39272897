package oplang

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// field is a key of an entity that operators set by key=value.
type field struct {
	key string
	// set reads the values of an assignment. Its error says what is wanted.
	set func(values []string) error
}

// entityOf returns an entity with its defaults and the fields that point into
// it. A version takes its name in two parts.
func entityOf(kind state.EntityKind, name string) (entity any, fields []field) {
	switch kind {
	case state.EntityTeam:
		return &state.Team{Name: state.TeamName(name)}, nil
	case state.EntityModel:
		e := &state.Model{Name: state.ModelName(name), MaxReplicas: 1}
		return e, modelFields(e)
	case state.EntityVersion:
		model, version, _ := strings.Cut(name, "/")
		e := &state.ModelVersion{Model: state.ModelName(model), Name: state.VersionName(version)}
		return e, []field{sizeField("weights", &e.Weights), sizeField("kv_headroom", &e.KVHeadroom)}
	case state.EntityAdapter:
		e := &state.Adapter{Name: state.AdapterName(name)}
		return e, []field{
			textField("team", &e.Team), textField("model", &e.Model), sizeField("size", &e.Size),
		}
	case state.EntityCaller:
		e := &state.Caller{Name: state.CallerName(name), HighestClass: state.ClassNormal, Weight: 1}
		return e, []field{
			textField("team", &e.Team), classField("highest", &e.HighestClass),
			countField("weight", &e.Weight), countField("max_in_flight", &e.MaxInFlight),
		}
	case state.EntityService:
		e := &state.Service{Name: state.ServiceName(name)}
		return e, []field{
			textField("team", &e.Team),
			callsField("idempotent", &e.Calls, true), callsField("non_idempotent", &e.Calls, false),
		}
	case state.EntityUpstream:
		e := &state.Upstream{
			Name: state.UpstreamName(name), Kind: state.ModelRunner, Fencing: state.FencingIgnored,
		}
		return e, upstreamFields(e)
	default:
		return nil, nil
	}
}

func modelFields(e *state.Model) []field {
	return []field{
		textField("team", &e.Team),
		textField("active", &e.Active),
		countField("min_replicas", &e.MinReplicas),
		countField("max_replicas", &e.MaxReplicas),
		durationField("keep_alive", &e.KeepAlive),
		listField("pinned", &e.Pinned),
	}
}

func upstreamFields(e *state.Upstream) []field {
	return []field{
		choiceField("kind", &e.Kind, state.ModelRunner, state.ApplicationRunner, state.PlainService),
		textField("host", &e.Host),
		textField("data_centre", &e.DataCentre),
		textField("region", &e.Region),
		textField("traffic_addr", &e.TrafficAddr),
		textField("control_addr", &e.ControlAddr),
		sizeField("memory", &e.Memory),
		choiceField("fencing", &e.Fencing, state.FencingEnforced, state.FencingIgnored),
		listField("services", &e.Services),
	}
}

// one adapts a function of one value.
func one(key string, set func(value string) error) field {
	return field{key: key, set: func(values []string) error {
		if len(values) != 1 {
			return errors.New("want one value, not a list")
		}
		return set(values[0])
	}}
}

func textField[S ~string](key string, target *S) field {
	return one(key, func(value string) error {
		*target = S(value)
		return nil
	})
}

func countField(key string, target *int) field {
	return one(key, func(value string) error {
		n, err := strconv.ParseInt(value, 10, 32)
		if err != nil || n < 0 {
			return errors.New("want a whole number from 0 on")
		}
		*target = int(n)
		return nil
	})
}

func durationField(key string, target *state.Duration) field {
	return one(key, func(value string) error {
		d, err := time.ParseDuration(value)
		if err != nil || d < 0 {
			return errors.New("want a duration such as 90s")
		}
		*target = state.Duration(d)
		return nil
	})
}

func sizeField(key string, target *state.Bytes) field {
	return one(key, func(value string) error {
		size, err := state.ParseBytes(value)
		if err != nil {
			return errors.New("want a size such as 16GiB")
		}
		*target = size
		return nil
	})
}

func classField(key string, target *state.Class) field {
	return one(key, func(value string) error {
		class, ok := state.ParseClass(value)
		if !ok {
			return errors.New("want high, normal or low")
		}
		*target = class
		return nil
	})
}

func choiceField[S ~string](key string, target *S, choices ...S) field {
	return one(key, func(value string) error {
		names := make([]string, len(choices))
		for i, choice := range choices {
			if value == string(choice) {
				*target = choice
				return nil
			}
			names[i] = string(choice)
		}
		return errors.Errorf("want one of %s", strings.Join(names, ", "))
	})
}

// listField reads a list; the value "none" empties it.
func listField[S ~string](key string, target *[]S) field {
	return field{key: key, set: func(values []string) error {
		*target = nil
		if len(values) == 1 && values[0] == "none" {
			return nil
		}
		for _, value := range values {
			*target = append(*target, S(value))
		}
		return nil
	}}
}

// callsField reads the calls of a service of one kind, each "METHOD:/prefix"
// or "/prefix" for all methods. Calls of the other kind stay.
func callsField(key string, target *[]state.ServiceCall, idempotent bool) field {
	return field{key: key, set: func(values []string) error {
		var calls []state.ServiceCall
		for _, call := range *target {
			if call.Idempotent != idempotent {
				calls = append(calls, call)
			}
		}
		for _, value := range values {
			if value == "none" {
				continue
			}
			method, prefix, _ := strings.Cut(value, "/")
			method, colon := strings.CutSuffix(method, ":")
			if !strings.Contains(value, "/") || colon != (method != "") {
				return errors.Errorf("want METHOD:/prefix or /prefix, not %q", value)
			}
			calls = append(calls, state.ServiceCall{
				Method: strings.ToUpper(method), Prefix: "/" + prefix, Idempotent: idempotent,
			})
		}
		*target = calls
		return nil
	}}
}

// Keys lists the keys of a kind of entity.
func Keys(kind state.EntityKind) []string {
	_, fields := entityOf(kind, "")
	keys := make([]string, len(fields))
	for i, f := range fields {
		keys[i] = f.key
	}
	return keys
}

func checkName(kind string, name *Literal) error {
	model, version, ok := strings.Cut(name.Text, "/")
	switch {
	case name.Text == "":
		return mistakeAt(name.Pos, "the name is empty")
	case kind == string(state.EntityVersion) && (!ok || model == "" || version == "" || strings.Contains(version, "/")):
		return mistakeAt(name.Pos, "%q is no version name such as seating/v2", name.Text)
	default:
		return nil
	}
}

func (a *Assign) check() error {
	_, fields := entityOf(state.EntityKind(a.Kind), a.Name.Text)
	return firstMistake(checkName(a.Kind, a.Name), a.Options.check(), a.apply(fields))
}

// apply sets the assigned fields.
func (a *Assign) apply(fields []field) error {
	seen := make(map[string]bool)
	for _, assignment := range a.Assignments {
		if seen[assignment.Key] {
			return mistakeAt(assignment.Pos, "%s is set twice", assignment.Key)
		}
		seen[assignment.Key] = true
		f, err := findField(a.Kind, assignment, fields)
		if err != nil {
			return err
		}
		values := make([]string, len(assignment.Values))
		for i, value := range assignment.Values {
			values[i] = value.Text
		}
		if err := f.set(values); err != nil {
			return mistakeAt(assignment.Values[0].Pos, "%s: %v", assignment.Key, err)
		}
	}
	return nil
}

func findField(kind string, assignment *Assignment, fields []field) (field, error) {
	keys := make([]string, len(fields))
	for i, f := range fields {
		if f.key == assignment.Key {
			return f, nil
		}
		keys[i] = f.key
	}
	m := mistakeAt(assignment.Pos, "a %s has no key %q", kind, assignment.Key)
	if near := nearest(assignment.Key, keys); near != "" {
		m.Message += fmt.Sprintf(" (did you mean %q?)", near)
	}
	m.Expected = keys
	return field{}, m
}

// Value returns the entity that the assignment makes of current, which is
// empty for an entity that does not exist.
func (a *Assign) Value(current json.RawMessage) (json.RawMessage, error) {
	entity, fields := entityOf(state.EntityKind(a.Kind), a.Name.Text)
	if len(current) > 0 {
		if err := json.Unmarshal(current, entity); err != nil {
			return nil, errors.Wrapf(err, "decode %s %s", a.Kind, a.Name.Text)
		}
	}
	if err := a.apply(fields); err != nil {
		return nil, err
	}
	value, err := json.Marshal(entity)
	if err != nil {
		return nil, errors.Wrapf(err, "encode %s %s", a.Kind, a.Name.Text)
	}
	return value, nil
}
