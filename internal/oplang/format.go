package oplang

import (
	"encoding/csv"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/go-faster/errors"

	"github.com/lagoonvalve/lagoonvalve/internal/verdict"
)

// Format is a form of output.
type Format string

// The forms of output.
const (
	FormatTable Format = "table"
	FormatJSON  Format = "json"
	FormatCSV   Format = "csv"
)

// ParseFormat reads the name of a form; empty means a table.
func ParseFormat(name string) (Format, error) {
	switch f := Format(name); f {
	case "":
		return FormatTable, nil
	case FormatTable, FormatJSON, FormatCSV:
		return f, nil
	default:
		return "", errors.Errorf("unknown format %q: want table, json or csv", name)
	}
}

// Answer is the JSON form of what a statement came to.
type Answer struct {
	Columns []string  `json:"columns"`
	Rows    [][]Value `json:"rows"`
	// Incomplete is that of Table.
	Incomplete []string     `json:"incomplete,omitempty"`
	Error      *AnswerError `json:"error,omitempty"`
}

// AnswerError says why a statement was not carried out.
type AnswerError struct {
	// Code is a verdict's reason, or CodeMistake.
	Code    string `json:"code"`
	Message string `json:"message"`
	// Mistake is set for a mistake in the statement.
	Mistake *Mistake `json:"mistake,omitempty"`
}

// CodeMistake marks a mistake in the statement.
const CodeMistake = "mistake"

// NewAnswer returns the JSON form of a table.
func NewAnswer(table Table) Answer {
	answer := Answer{Columns: make([]string, len(table.Columns)), Rows: table.Rows, Incomplete: table.Incomplete}
	for i, column := range table.Columns {
		answer.Columns[i] = column.Name
	}
	if answer.Rows == nil {
		answer.Rows = [][]Value{}
	}
	return answer
}

// NewErrorAnswer returns the JSON form of a statement that failed with err: a
// *Mistake or an error with a verdict.
func NewErrorAnswer(err error) Answer {
	answer := Answer{Columns: []string{}, Rows: [][]Value{}}
	var mistake *Mistake
	if errors.As(err, &mistake) {
		answer.Error = &AnswerError{Code: CodeMistake, Message: mistake.Error(), Mistake: mistake}
		return answer
	}
	answer.Error = &AnswerError{Code: string(verdict.Of(err).Reason), Message: err.Error()}
	return answer
}

// Write writes a table in a form. The table and JSON forms name the entries
// that did not answer; CSV has no place for them.
func Write(w io.Writer, table Table, format Format) error {
	switch format {
	case FormatJSON:
		if err := json.NewEncoder(w).Encode(NewAnswer(table)); err != nil {
			return errors.Wrap(err, "write JSON")
		}
		return nil
	case FormatCSV:
		return writeCSV(w, table)
	default:
		return writeTable(w, table)
	}
}

func writeCSV(w io.Writer, table Table) error {
	out := csv.NewWriter(w)
	// Write errors are kept by the writer and returned by Error.
	_ = out.Write(NewAnswer(table).Columns)
	for _, row := range table.Rows {
		_ = out.Write(texts(row))
	}
	out.Flush()
	if err := out.Error(); err != nil {
		return errors.Wrap(err, "write CSV")
	}
	return nil
}

func writeTable(w io.Writer, table Table) error {
	out := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	// Write errors come back from Flush.
	_, _ = fmt.Fprintln(out, strings.Join(NewAnswer(table).Columns, "\t"))
	for _, row := range table.Rows {
		cells := texts(row)
		for i, cell := range cells {
			cells[i] = plain(cell)
		}
		_, _ = fmt.Fprintln(out, strings.Join(cells, "\t"))
	}
	if len(table.Incomplete) > 0 {
		_, _ = fmt.Fprintf(out, "incomplete: no answer from %s\n", plain(strings.Join(table.Incomplete, ", ")))
	}
	if err := out.Flush(); err != nil {
		return errors.Wrap(err, "write table")
	}
	return nil
}

func texts(row []Value) []string {
	cells := make([]string, len(row))
	for i, value := range row {
		cells[i] = value.String()
	}
	return cells
}

// plain keeps a cell from breaking the table or the terminal.
func plain(cell string) string {
	if cell == "" {
		return "-"
	}
	return strings.Map(func(r rune) rune {
		if r < ' ' || r == 0x7f {
			return ' '
		}
		return r
	}, cell)
}
