package settings

import (
	"encoding"
	"maps"
	"reflect"
	"slices"
	"strings"

	"github.com/agext/levenshtein"
)

// decoder copies a parsed TOML document into a settings struct. Unlike the
// library's decoder it continues after a mistake, so that one run reports all
// of them.
type decoder struct {
	lines    lineIndex
	mistakes Mistakes
}

func (d *decoder) decode(document map[string]any, settings any) {
	d.decodeTable("", document, reflect.ValueOf(settings).Elem())
}

func (d *decoder) report(key, message string) {
	d.mistakes = append(d.mistakes, Mistake{Line: d.lines.lineOf(key), Key: key, Message: message})
}

func (d *decoder) decodeValue(key string, value any, target reflect.Value) {
	if unmarshaler, ok := target.Addr().Interface().(encoding.TextUnmarshaler); ok {
		d.decodeText(key, value, unmarshaler)
		return
	}
	switch target.Kind() {
	case reflect.Struct:
		d.decodeTable(key, value, target)
	case reflect.Slice:
		d.decodeArray(key, value, target)
	default:
		d.decodeScalar(key, value, target)
	}
}

func (d *decoder) decodeText(key string, value any, target encoding.TextUnmarshaler) {
	text, ok := value.(string)
	if !ok {
		d.report(key, `want text with a unit, such as "16GiB" for a size or "1.5s" for a duration`)
		return
	}
	if err := target.UnmarshalText([]byte(text)); err != nil {
		d.report(key, err.Error())
	}
}

func (d *decoder) decodeTable(key string, value any, target reflect.Value) {
	table, ok := value.(map[string]any)
	if !ok {
		d.report(key, "want a table")
		return
	}
	fields := make(map[string]reflect.Value)
	collectFields(target, fields)
	for _, name := range slices.Sorted(maps.Keys(table)) {
		full := joinKey(key, name)
		if field, ok := fields[name]; ok {
			d.decodeValue(full, table[name], field)
		} else {
			d.report(full, "unknown key"+suggest(name, slices.Sorted(maps.Keys(fields))))
		}
	}
}

// collectFields maps the TOML keys of a struct to its fields, including those
// of embedded structs.
func collectFields(target reflect.Value, fields map[string]reflect.Value) {
	for i := range target.NumField() {
		field := target.Type().Field(i)
		if field.Anonymous {
			collectFields(target.Field(i), fields)
			continue
		}
		fields[field.Tag.Get("toml")] = target.Field(i)
	}
}

// suggest returns a hint for an unknown key: the known key with the smallest
// edit distance if at most half of the letters differ, else all known keys.
func suggest(name string, known []string) string {
	best, distance := "", len(name)/2+1
	for _, candidate := range known {
		if d := levenshtein.Distance(name, candidate, nil); d < distance {
			best, distance = candidate, d
		}
	}
	if best == "" {
		return "; known keys are " + strings.Join(known, ", ")
	}
	return `; did you mean "` + best + `"?`
}

func (d *decoder) decodeArray(key string, value any, target reflect.Value) {
	elements, ok := value.([]any)
	if !ok {
		d.report(key, "want an array")
		return
	}
	slice := reflect.MakeSlice(target.Type(), len(elements), len(elements))
	for i, e := range elements {
		d.decodeValue(elementKey(key, i), e, slice.Index(i))
	}
	target.Set(slice)
}

func (d *decoder) decodeScalar(key string, value any, target reflect.Value) {
	if whole, ok := value.(int64); ok && target.Kind() == reflect.Float64 {
		value = float64(whole)
	}
	got := reflect.ValueOf(value)
	if !got.IsValid() || got.Kind() != widestKind(target.Kind()) || overflows(got, target) {
		d.report(key, "want "+kindName(target.Kind()))
		return
	}
	target.Set(got.Convert(target.Type()))
}

// widestKind returns the kind in which the TOML library returns values for a
// field of the given kind.
func widestKind(kind reflect.Kind) reflect.Kind {
	if kind == reflect.Int {
		return reflect.Int64
	}
	return kind
}

func overflows(got, target reflect.Value) bool {
	return target.Kind() == reflect.Int && target.OverflowInt(got.Int())
}

func kindName(kind reflect.Kind) string {
	switch kind {
	case reflect.String:
		return "text"
	case reflect.Int:
		return "a whole number"
	case reflect.Float64:
		return "a number"
	default:
		return kind.String()
	}
}
