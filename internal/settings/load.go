package settings

import (
	"cmp"
	"fmt"
	"os"
	"slices"
	"strings"

	"github.com/go-faster/errors"
	"github.com/pelletier/go-toml/v2"
)

// maxFileBytes is the maximum size of a settings file; 350 peers take about
// 50 KiB.
const maxFileBytes = 4 << 20

// Settings are the settings of one role.
type Settings interface{ Entry | Agent | Gateway }

// Mistake is one mistake in a settings file.
type Mistake struct {
	File string
	Line int
	// Key is the dotted key, such as "limits.body_bytes" or "peers[0].name".
	Key     string
	Message string
}

// String formats m as "file:line: key: message".
func (m Mistake) String() string {
	if m.Key == "" {
		return fmt.Sprintf("%s:%d: %s", m.File, m.Line, m.Message)
	}
	return fmt.Sprintf("%s:%d: %s: %s", m.File, m.Line, m.Key, m.Message)
}

// Mistakes lists all mistakes in a settings file in line order. It implements
// error.
type Mistakes []Mistake

// Error formats one mistake per line.
func (m Mistakes) Error() string {
	lines := make([]string, len(m))
	for i, mistake := range m {
		lines[i] = mistake.String()
	}
	return strings.Join(lines, "\n")
}

// Load reads the settings of a role from the file at path. If the file can be
// read but is invalid, the error is of type Mistakes.
func Load[S Settings](path string) (S, error) {
	var none S
	info, err := os.Stat(path)
	if err != nil {
		return none, errors.Wrap(err, "settings")
	}
	if info.Size() > maxFileBytes {
		return none, errors.Errorf("settings: %s is larger than %d bytes", path, maxFileBytes)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return none, errors.Wrap(err, "settings")
	}
	return Parse[S](path, data)
}

// Parse reads the settings of a role from data. The name file is used in
// messages only. The error, if any, is of type Mistakes.
func Parse[S Settings](file string, data []byte) (S, error) {
	settings := defaults[S]()
	var document map[string]any
	if err := toml.Unmarshal(data, &document); err != nil {
		var none S
		return none, Mistakes{syntaxMistake(file, err)}
	}
	d := decoder{lines: indexLines(data)}
	d.decode(document, &settings)
	d.validate(&settings)
	if len(d.mistakes) == 0 {
		return settings, nil
	}
	for i := range d.mistakes {
		d.mistakes[i].File = file
	}
	slices.SortStableFunc(d.mistakes, func(a, b Mistake) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), strings.Compare(a.Key, b.Key))
	})
	var none S
	return none, d.mistakes
}

func defaults[S Settings]() S {
	var settings S
	switch s := any(&settings).(type) {
	case *Entry:
		*s = DefaultEntry()
	case *Agent:
		*s = DefaultAgent()
	case *Gateway:
		*s = DefaultGateway()
	}
	return settings
}

func syntaxMistake(file string, err error) Mistake {
	mistake := Mistake{File: file, Line: 1, Message: err.Error()}
	var decodeErr *toml.DecodeError
	if errors.As(err, &decodeErr) {
		mistake.Line, _ = decodeErr.Position()
		mistake.Key = strings.Join(decodeErr.Key(), ".")
	}
	return mistake
}
