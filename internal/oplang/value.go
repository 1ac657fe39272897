package oplang

import (
	"bytes"
	"cmp"
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// Kind is the type of a column.
type Kind uint8

// The column types.
const (
	KindText Kind = iota
	KindInt
	KindFloat
	KindBool
	KindDuration
	KindBytes
	KindTime
)

var kindNames = [...]string{"text", "whole number", "number", "true or false", "duration", "size", "time"}

// String returns the name of k as error messages use it.
func (k Kind) String() string { return kindNames[k] }

// Value is one typed cell. The zero Value is empty text.
type Value struct {
	kind   Kind
	text   string
	whole  int64
	number float64
}

// Text returns a text cell.
func Text[S ~string](s S) Value { return Value{kind: KindText, text: string(s)} }

// Int returns a whole number cell.
func Int[N ~int | ~int64 | ~uint64](n N) Value { return Value{kind: KindInt, whole: int64(n)} }

// Float returns a number cell.
func Float(f float64) Value { return Value{kind: KindFloat, number: f} }

// Bool returns a true or false cell.
func Bool(b bool) Value {
	if b {
		return Value{kind: KindBool, whole: 1}
	}
	return Value{kind: KindBool}
}

// Duration returns a duration cell.
func Duration(d time.Duration) Value { return Value{kind: KindDuration, whole: int64(d)} }

// Size returns a cell with an amount of memory or data.
func Size(b state.Bytes) Value { return Value{kind: KindBytes, whole: int64(b)} }

// Time returns a time cell.
func Time(t time.Time) Value { return Value{kind: KindTime, whole: t.UnixNano()} }

// Kind returns the type of v.
func (v Value) Kind() Kind { return v.kind }

// String writes v as operators read it.
func (v Value) String() string {
	switch v.kind {
	case KindInt:
		return strconv.FormatInt(v.whole, 10)
	case KindFloat:
		return strconv.FormatFloat(v.number, 'g', -1, 64)
	case KindBool:
		return strconv.FormatBool(v.whole != 0)
	case KindDuration:
		return time.Duration(v.whole).String()
	case KindBytes:
		return state.Bytes(v.whole).String()
	case KindTime:
		return time.Unix(0, v.whole).UTC().Format(time.RFC3339Nano)
	default:
		return v.text
	}
}

// MarshalJSON writes numbers and booleans as such and all else as text.
func (v Value) MarshalJSON() ([]byte, error) {
	switch v.kind {
	case KindInt:
		return json.Marshal(v.whole)
	case KindFloat:
		return json.Marshal(v.number)
	case KindBool:
		return json.Marshal(v.whole != 0)
	default:
		return json.Marshal(v.String())
	}
}

// UnmarshalJSON reads what MarshalJSON wrote; what was written as text stays
// text.
func (v *Value) UnmarshalJSON(data []byte) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.UseNumber()
	var decoded any
	if err := decoder.Decode(&decoded); err != nil {
		return errors.Wrap(err, "decode cell")
	}
	switch d := decoded.(type) {
	case nil:
		*v = Value{}
	case string:
		*v = Text(d)
	case bool:
		*v = Bool(d)
	case json.Number:
		return v.setNumber(d)
	default:
		return errors.Errorf("cell %s is no text, number or boolean", data)
	}
	return nil
}

func (v *Value) setNumber(number json.Number) error {
	if whole, err := number.Int64(); err == nil {
		*v = Int(whole)
		return nil
	}
	f, err := number.Float64()
	if err != nil {
		return errors.Wrap(err, "decode cell")
	}
	*v = Float(f)
	return nil
}

// ParseValue reads text as a cell of kind k, as String writes it.
func ParseValue(k Kind, text string) (Value, error) {
	switch k {
	case KindInt:
		n, err := strconv.ParseInt(text, 10, 64)
		return Int(n), err
	case KindFloat:
		f, err := strconv.ParseFloat(text, 64)
		return Float(f), err
	case KindBool:
		b, err := strconv.ParseBool(text)
		return Bool(b), err
	case KindDuration:
		d, err := time.ParseDuration(text)
		return Duration(d), err
	case KindBytes:
		b, err := state.ParseBytes(text)
		return Size(b), err
	case KindTime:
		t, err := time.Parse(time.RFC3339Nano, text)
		return Time(t), err
	default:
		return Text(text), nil
	}
}

// Add returns the sum of two cells of the same kind.
func Add(a, b Value) Value {
	a.whole += b.whole
	a.number += b.number
	return a
}

// Compare orders two cells of the same kind; cells of different kinds are
// ordered by kind.
func Compare(a, b Value) int {
	if a.kind != b.kind {
		return cmp.Compare(a.kind, b.kind)
	}
	if a.kind == KindText {
		return strings.Compare(a.text, b.text)
	}
	if a.kind == KindFloat {
		return cmp.Compare(a.number, b.number)
	}
	return cmp.Compare(a.whole, b.whole)
}

// Column is a named and typed column.
type Column struct {
	Name string
	Kind Kind
	// Sum says that the values of several rows add up. Queries with "by"
	// show the sum of such columns and leave out the others.
	Sum bool
}

// Table is typed rows, as sources give them and answers show them.
type Table struct {
	Columns []Column
	// Rows have one cell for each column.
	Rows [][]Value
	// Incomplete names the entries that did not answer and what else the rows
	// lack.
	Incomplete []string
}

// Column returns the place of the column called name, or -1.
func (t Table) Column(name string) int {
	for i, column := range t.Columns {
		if column.Name == name {
			return i
		}
	}
	return -1
}
