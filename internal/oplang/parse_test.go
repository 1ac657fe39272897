package oplang_test

import (
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"strings"
	"testing"

	"github.com/go-faster/errors"
	. "github.com/onsi/gomega"

	"github.com/lagoonvalve/lagoonvalve/internal/oplang"
	"github.com/lagoonvalve/lagoonvalve/internal/settings"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

const (
	document     = "../../docs/oplang.md"
	dayDocument  = "../../docs/operators.md"
	statementTag = "(?s)```oplang\n(.*?)```"
)

// examples returns the documented statements.
func examples(t testing.TB, path string) []string {
	t.Helper()
	blocks := regexp.MustCompile(statementTag).FindAllStringSubmatch(readDocument(t, path), -1)
	var statements []string
	for _, block := range blocks {
		statements = append(statements, strings.Split(strings.TrimSpace(block[1]), "\n")...)
	}
	return statements
}

func readDocument(t testing.TB, path string) string {
	t.Helper()
	data, err := os.ReadFile(filepath.Clean(path))
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

// Guards against documented statements that do not parse, and against
// statements, tables, entities and keys that the document leaves out.
func TestDocumentedExamplesParseAndCoverTheGrammar(t *testing.T) {
	g := NewWithT(t)
	statements := examples(t, document)
	used := make(map[string]bool)
	for _, text := range examples(t, dayDocument) {
		_, err := oplang.Parse(text)
		g.Expect(err).NotTo(HaveOccurred(), text)
	}
	for _, text := range statements {
		s, err := oplang.Parse(text)
		g.Expect(err).NotTo(HaveOccurred(), text)
		value := reflect.ValueOf(*s)
		for i := range value.NumField() {
			if !value.Field(i).IsNil() {
				used[value.Type().Field(i).Name] = true
			}
		}
	}
	g.Expect(used).To(HaveLen(reflect.TypeFor[oplang.Statement]().NumField()))
	for _, table := range oplang.Tables {
		g.Expect(statements).To(ContainElement(HavePrefix("show "+table)), table)
	}
	text := readDocument(t, document)
	for _, kind := range []state.EntityKind{"model", "version", "adapter", "caller", "service", "upstream", "team"} {
		g.Expect(statements).To(ContainElement(HavePrefix("create " + string(kind) + " ")))
		for _, key := range oplang.Keys(kind) {
			row := regexp.MustCompile(`(?m)^\| ` + string(kind) + `[ ,].*` + "`" + key + "`")
			g.Expect(row.MatchString(text)).To(BeTrue(), "%s %s", kind, key)
		}
	}
	g.Expect(text).To(ContainSubstring("```ebnf\n" + oplang.Grammar() + "\n```"))
}

// Guards against mistakes that point at the wrong column, miss what is
// expected there, or are not found before the statement runs.
func TestMistakesPointAtTheirColumn(t *testing.T) {
	for text, want := range map[string]string{
		"":                                   "column 1: the statement ends here; expected show, explain,",
		"shw loaded":                         `column 1: unexpected "shw" (did you mean "show"?)`,
		"show lodaed":                        `column 6: unexpected "lodaed" (did you mean "loaded"?); expected loaded,`,
		"show loaded where x":                "column 20: the statement ends here; expected =, !=, <, <=, >, >=, ~",
		"show loaded limit":                  "column 18: the statement ends here; expected a name or value",
		"show loaded foo":                    `column 13: unexpected "foo"; expected by, where, since, order, limit, the end`,
		"show loaded; drop":                  `column 12: unexpected ";"`,
		`show loaded where x = "a`:           "column 23: the quoted text has no end",
		"show loaded limit 0":                `column 19: "0" is no whole number above 0`,
		"show audit since < 3":               `column 20: "3" is no duration`,
		"pin m onn u":                        `column 7: unexpected "onn" (did you mean "on"?); expected on`,
		"prewarm m reason x":                 `column 18: unexpected "x"; expected a quoted text`,
		"prewarm m --dry":                    `column 11: unexpected "--dry" (did you mean "--dry-run"?); expected reason, if, --dry-run, the end`,
		"create model m temas=t":             `column 16: a model has no key "temas" (did you mean "team"?); expected team,`,
		"create model m max_replicas=many":   "column 29: max_replicas: want a whole number from 0 on",
		"create model m team=a team=b":       "column 23: team is set twice",
		"create model m team=a,b":            "column 21: team: want one value, not a list",
		"create version v2 weights=1GiB":     `column 16: "v2" is no version name`,
		"create service s idempotent=GET/x":  "column 29: idempotent: want METHOD:/prefix",
		"create upstream u fencing=maybe":    "column 27: fencing: want one of enforced, ignored",
		"change model m --dry-run":           "column 14: nothing to change",
		"delete model m if revision x":       `column 28: "x" is no revision number`,
		`drain host h reason "a" reason "b"`: "column 25: reason is given twice",
		"quarantine xyz":                     `column 12: "xyz" is no fingerprint`,
		"quarantine ab for -1h":              `column 19: "-1h" is no duration`,
		`delete model ""`:                    "column 14: the name is empty",
	} {
		g := NewWithT(t)
		_, err := oplang.Parse(text)
		var mistake *oplang.Mistake
		g.Expect(errors.As(err, &mistake)).To(BeTrue(), text)
		if strings.Contains(want, "; expected") && !strings.HasSuffix(want, ",") {
			g.Expect(mistake.Error()).To(Equal(want), text)
		}
		g.Expect(mistake.Error()).To(HavePrefix(want), text)
		lines := strings.Split(mistake.Point(text), "\n")
		g.Expect(lines[len(lines)-1]).To(HaveLen(mistake.Column))
	}
}

// Guards against a role that may give more than it should.
func TestRoles(t *testing.T) {
	g := NewWithT(t)
	for text, role := range map[string]settings.Role{
		"show models": settings.RoleViewer, "explain model m": settings.RoleViewer,
		"create model m": settings.RoleOperator, "prewarm m": settings.RoleOperator,
		"release ab": settings.RoleOperator, "activate m v": settings.RoleOperator,
		"create team t": settings.RoleAdministrator, "delete upstream u": settings.RoleAdministrator,
		"change upstream u memory=1GiB": settings.RoleAdministrator, "undrain host h": settings.RoleAdministrator,
	} {
		s, err := oplang.Parse(text)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(s.Role()).To(Equal(role), text)
	}
}

// Guards against a panic on any input, against a mistake without a place in
// the statement and against a statement of more or less than one kind.
func FuzzParse(f *testing.F) {
	for _, text := range examples(f, document) {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		s, err := oplang.Parse(text)
		if err == nil {
			set := 0
			value := reflect.ValueOf(*s)
			for i := range value.NumField() {
				if !value.Field(i).IsNil() {
					set++
				}
			}
			if set != 1 || s.Role() == "" {
				t.Fatalf("%q has %d kinds and role %q", text, set, s.Role())
			}
			return
		}
		var mistake *oplang.Mistake
		if !errors.As(err, &mistake) {
			t.Fatalf("%q: error is no mistake: %v", text, err)
		}
		if mistake.Column < 1 || mistake.Column > len(text)+1 {
			t.Fatalf("%q: column %d is outside", text, mistake.Column)
		}
		_ = mistake.Point(text)
	})
}
