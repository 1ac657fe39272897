package settings

import (
	"fmt"
	"reflect"
)

// Change is a key whose value differs between two settings.
type Change struct {
	Key      string
	Old, New string
	// Restart says that the new value takes effect at the next start only.
	Restart bool
}

// Diff lists the keys that differ between two settings of a role. Keys of
// arrays are compared as a whole, and their values are given as counts.
func Diff[S Settings](before, after S) []Change {
	var changes []Change
	diffStruct("", reflect.ValueOf(before), reflect.ValueOf(after), false, &changes)
	return changes
}

func diffStruct(key string, before, after reflect.Value, reload bool, changes *[]Change) {
	for i := range before.NumField() {
		field := before.Type().Field(i)
		name := key
		if !field.Anonymous {
			name = join(key, field.Tag.Get("toml"))
		}
		reloadable := isReloadable(field, reload)
		old, current := before.Field(i), after.Field(i)
		if field.Type.Kind() == reflect.Struct {
			diffStruct(name, old, current, reloadable, changes)
			continue
		}
		if !reflect.DeepEqual(old.Interface(), current.Interface()) {
			*changes = append(*changes, Change{
				Key: name, Old: show(old), New: show(current), Restart: !reloadable,
			})
		}
	}
}

// isReloadable reports whether a field takes effect on reload; a tag on the
// field decides before that of the table around it.
func isReloadable(field reflect.StructField, table bool) bool {
	switch field.Tag.Get("reload") {
	case "yes":
		return true
	case "no":
		return false
	default:
		return table
	}
}

func show(value reflect.Value) string {
	if value.Kind() == reflect.Slice {
		return fmt.Sprintf("%d elements", value.Len())
	}
	if marshaler, ok := value.Interface().(interface{ MarshalText() ([]byte, error) }); ok {
		text, _ := marshaler.MarshalText()
		return string(text)
	}
	return fmt.Sprint(value.Interface())
}

// Reload returns running with the reloadable keys of loaded.
func Reload[S Settings](running, loaded S) S {
	merged := running
	mergeStruct(reflect.ValueOf(&merged).Elem(), reflect.ValueOf(loaded), false)
	return merged
}

func mergeStruct(target, loaded reflect.Value, reload bool) {
	for i := range target.NumField() {
		field := target.Type().Field(i)
		reloadable := isReloadable(field, reload)
		switch {
		case field.Type.Kind() == reflect.Struct:
			mergeStruct(target.Field(i), loaded.Field(i), reloadable)
		case reloadable:
			target.Field(i).Set(loaded.Field(i))
		}
	}
}
