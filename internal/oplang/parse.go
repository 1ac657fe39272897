package oplang

import (
	"fmt"
	"slices"
	"strings"

	"github.com/agext/levenshtein"
	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
	"github.com/go-faster/errors"
)

// MaxStatementBytes bounds a statement.
const MaxStatementBytes = 8 << 10

// Mistake is a mistake in a statement.
type Mistake struct {
	// Column counts characters from 1.
	Column int `json:"column"`
	// Message says what is wrong.
	Message string `json:"message"`
	// Expected lists what may stand at the column.
	Expected []string `json:"expected,omitempty"`
}

// Error implements error.
func (m *Mistake) Error() string {
	text := fmt.Sprintf("column %d: %s", m.Column, m.Message)
	if len(m.Expected) > 0 {
		text += "; expected " + strings.Join(m.Expected, ", ")
	}
	return text
}

// Point returns the statement with a mark below the column of m.
func (m *Mistake) Point(statement string) string {
	statement = strings.Map(func(r rune) rune {
		if r == '\t' || r == '\n' || r == '\r' {
			return ' '
		}
		return r
	}, statement)
	return statement + "\n" + strings.Repeat(" ", m.Column-1) + "^"
}

func mistakeAt(pos lexer.Position, format string, args ...any) *Mistake {
	return &Mistake{Column: max(1, pos.Column), Message: fmt.Sprintf(format, args...)}
}

// Parse reads a statement. The error is a *Mistake.
func Parse(text string) (*Statement, error) {
	if len(text) > MaxStatementBytes {
		return nil, &Mistake{Column: 1, Message: fmt.Sprintf("longer than %d bytes", MaxStatementBytes)}
	}
	statement, err := parser.ParseString("", text)
	if err != nil {
		return nil, explainError(text, err)
	}
	if err := statement.check(); err != nil {
		return nil, err
	}
	return statement, nil
}

func explainError(text string, err error) *Mistake {
	var located participle.Error
	if !errors.As(err, &located) {
		return &Mistake{Column: 1, Message: err.Error()}
	}
	pos := located.Position()
	m := mistakeAt(pos, "%s", describe(text, pos.Offset))
	m.Expected = Expected(text[:min(pos.Offset, len(text))])
	if word := wordAt(text, pos.Offset); word != "" {
		if near := nearest(word, m.Expected); near != "" {
			m.Message += fmt.Sprintf(" (did you mean %q?)", near)
		}
	}
	return m
}

func describe(text string, offset int) string {
	rest := strings.TrimSpace(text[min(offset, len(text)):])
	switch {
	case rest == "":
		return "the statement ends here"
	case strings.HasPrefix(rest, `"`) && strings.Count(rest, `"`) == 1:
		return "the quoted text has no end"
	}
	if word := wordAt(text, offset); word != "" {
		return fmt.Sprintf("unexpected %q", word)
	}
	first := []rune(rest)[0]
	return fmt.Sprintf("unexpected %q", string(first))
}

// wordAt returns the letters up to the next space or sign.
func wordAt(text string, offset int) string {
	word := text[min(offset, len(text)):]
	if end := strings.IndexAny(word, " \t\r\n=,<>~\""); end >= 0 {
		word = word[:end]
	}
	return word
}

// nearest returns the candidate that word is probably meant to be, if any.
func nearest(word string, candidates []string) string {
	best, distance := "", len(word)/2+1
	for _, candidate := range candidates {
		if len(word) > 1 && strings.HasPrefix(candidate, strings.ToLower(word)) {
			return candidate
		}
		d := levenshtein.Distance(strings.ToLower(word), candidate, nil)
		if d < distance {
			best, distance = candidate, d
		}
	}
	return best
}

// Placeholders in the results of Expected.
const (
	ExpectName = "a name or value"
	ExpectText = "a quoted text"
	ExpectEnd  = "the end"
)

// Continuations that are no keywords.
const (
	probeName = "zzz"
	probeText = `"zzz"`
)

// keywords lists what Expected tries.
var keywords = slices.Concat(
	[]string{
		"show", "explain", "create", "change", "delete", "drain", "undrain",
		"pin", "unload", "prewarm", "activate", "quarantine", "release",
	},
	Tables,
	[]string{
		"model", "version", "adapter", "caller", "service", "upstream", "team",
		"host", "request", "by", "where", "and", "since", "order", "desc", "limit",
		"on", "for", "reason", "if", "revision", "--dry-run",
		"=", "!=", "<", "<=", ">", ">=", "~", ",",
	},
)

// Expected lists the keywords, signs and placeholders that may follow prefix.
// It asks the parser itself: a continuation is possible if the parser gets
// past it.
func Expected(prefix string) []string {
	prefix = strings.TrimRight(prefix, " \t\r\n") + " "
	var expected []string
	name := outcomes(prefix, probeName)
	if name[0] != "" {
		expected = append(expected, ExpectName)
	} else if probe(prefix, probeText) != "" {
		expected = append(expected, ExpectText)
	}
	for _, keyword := range keywords {
		// Where any word fits, a keyword counts only if the parser goes on
		// differently after it.
		if outcome := outcomes(prefix, keyword); outcome[0] != "" && outcome != name {
			expected = append(expected, keyword)
		}
	}
	if _, err := parser.ParseString("", prefix); err == nil {
		expected = append(expected, ExpectEnd)
	}
	return expected
}

// outcomes tells how the parser goes on after a word alone, with a text and
// with a revision after it. The last two tell options from assignments.
func outcomes(prefix, word string) [3]string {
	return [3]string{
		probe(prefix, word),
		probe(prefix, word+" "+probeText),
		probe(prefix, word+" revision "+probeName),
	}
}

// probe tries a continuation. The result is empty if the parser did not get past
// it, else a text that tells how it would go on.
func probe(prefix, continuation string) string {
	text := prefix + continuation
	_, err := parser.ParseString("", text)
	if err == nil {
		return "complete"
	}
	var located participle.Error
	if !errors.As(err, &located) || located.Position().Offset < len(text) {
		return ""
	}
	return located.Message()
}

// Grammar returns the grammar in EBNF.
func Grammar() string { return parser.String() }
