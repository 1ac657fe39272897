package settings

import (
	"fmt"
	"reflect"
)

// Change is a key whose value differs between two settings.
type Change struct {
	Key      string
	Old, New string
	// Restart reports that the new value takes effect only at the next start.
	Restart bool
}

// Diff lists the keys whose values differ between two settings of a role.
// Arrays are compared as a whole and shown by their number of elements.
func Diff[S Settings](before, after S) []Change {
	var changes []Change
	diffStruct("", reflect.ValueOf(before), reflect.ValueOf(after), false, &changes)
	return changes
}

func diffStruct(key string, before, after reflect.Value, inherited bool, changes *[]Change) {
	for i := range before.NumField() {
		field := before.Type().Field(i)
		name := key
		if !field.Anonymous {
			name = joinKey(key, field.Tag.Get("toml"))
		}
		reloadable := isReloadable(field, inherited)
		old, current := before.Field(i), after.Field(i)
		if field.Type.Kind() == reflect.Struct {
			diffStruct(name, old, current, reloadable, changes)
			continue
		}
		if !reflect.DeepEqual(old.Interface(), current.Interface()) {
			*changes = append(*changes, Change{
				Key: name, Old: formatValue(old), New: formatValue(current), Restart: !reloadable,
			})
		}
	}
}

// isReloadable reports whether a change of the field takes effect on reload. A
// reload tag on the field overrides the value inherited from the enclosing
// table.
func isReloadable(field reflect.StructField, inherited bool) bool {
	switch field.Tag.Get("reload") {
	case "yes":
		return true
	case "no":
		return false
	default:
		return inherited
	}
}

func formatValue(value reflect.Value) string {
	if value.Kind() == reflect.Slice {
		return fmt.Sprintf("%d elements", value.Len())
	}
	if marshaler, ok := value.Interface().(interface{ MarshalText() ([]byte, error) }); ok {
		text, _ := marshaler.MarshalText()
		return string(text)
	}
	return fmt.Sprint(value.Interface())
}

// Reload returns the running settings with the values of all reloadable keys
// taken from loaded.
func Reload[S Settings](running, loaded S) S {
	merged := running
	mergeStruct(reflect.ValueOf(&merged).Elem(), reflect.ValueOf(loaded), false)
	return merged
}

func mergeStruct(target, loaded reflect.Value, inherited bool) {
	for i := range target.NumField() {
		field := target.Type().Field(i)
		reloadable := isReloadable(field, inherited)
		switch {
		case field.Type.Kind() == reflect.Struct:
			mergeStruct(target.Field(i), loaded.Field(i), reloadable)
		case reloadable:
			target.Field(i).Set(loaded.Field(i))
		}
	}
}
