package oplang_test

import (
	"bytes"
	"context"
	"encoding/json"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/lagoonvalve/lagoonvalve/internal/oplang"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
	"github.com/lagoonvalve/lagoonvalve/internal/testenv"
	"github.com/lagoonvalve/lagoonvalve/internal/verdict"
)

func TestMain(m *testing.M) { testenv.Main(m, testenv.RapidDefaults{Seed: 1}) }

var now = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// fakeEntry holds one table and the entities as JSON.
type fakeEntry struct {
	table   oplang.Table
	values  map[string]string
	changes []state.ConfigChange
	actions []oplang.Action
	dryRuns int
	// refuse is the answer to all changes unless it is nil.
	refuse error
}

func (f *fakeEntry) Rows(context.Context, *oplang.Show, time.Time) (oplang.Table, error) {
	return f.table, nil
}

func (f *fakeEntry) Explain(_ context.Context, subject, name string) (oplang.Table, error) {
	return oplang.Table{Columns: []oplang.Column{{Name: "step"}}, Rows: [][]oplang.Value{{oplang.Text(subject + " " + name)}}}, nil
}

// Current gives every known entity the revision 7.
func (f *fakeEntry) Current(_ context.Context, entity state.EntityKind, name string) (json.RawMessage, state.Revision, error) {
	value, ok := f.values[string(entity)+" "+name]
	if !ok {
		return nil, 0, nil
	}
	return json.RawMessage(value), 7, nil
}

func (f *fakeEntry) Change(_ context.Context, change state.ConfigChange, dryRun bool) (state.Revision, error) {
	if f.refuse != nil {
		return 0, f.refuse
	}
	if dryRun {
		f.dryRuns++
	} else {
		f.changes = append(f.changes, change)
	}
	return change.Expected + 1, nil
}

func (f *fakeEntry) Act(_ context.Context, action oplang.Action, dryRun bool) (string, error) {
	if dryRun {
		f.dryRuns++
	} else {
		f.actions = append(f.actions, action)
	}
	return "done", nil
}

func run(f *fakeEntry, text string) (oplang.Table, error) {
	s, err := oplang.Parse(text)
	if err != nil {
		return oplang.Table{}, err
	}
	executor := oplang.Executor{Source: f, Changer: f, Now: func() time.Time { return now }}
	return executor.Run(context.Background(), s, oplang.Operator{Name: "ann", Team: "tickets"})
}

// Guards against an answer without a bound, and against a refusal whose advice
// does not help.
func TestAnswerBeyondTheBoundIsRefused(t *testing.T) {
	g := NewWithT(t)
	f := &fakeEntry{table: oplang.Table{Columns: []oplang.Column{{Name: "name"}}}}
	for range 100 {
		// Signs that take more room in JSON count as they are sent.
		f.table.Rows = append(f.table.Rows, []oplang.Value{oplang.Text(strings.Repeat("\x01", 100_000))})
	}
	_, err := run(f, "show models")
	g.Expect(verdict.Of(err).Reason).To(Equal(verdict.ReasonAnswerTooLarge))
	_, advice, _ := strings.Cut(verdict.Of(err).Detail, "or add: ")
	g.Expect(advice).To(Equal("limit 27"))
	table, err := run(f, "show models "+advice)
	g.Expect(err).NotTo(HaveOccurred())
	var out bytes.Buffer
	g.Expect(oplang.Write(&out, table, oplang.FormatJSON)).To(Succeed())
	g.Expect(out.Len()).To(BeNumerically("<", oplang.MaxAnswerBytes+100))
	_, err = run(f, "show models limit 28")
	g.Expect(verdict.Of(err).Reason).To(Equal(verdict.ReasonAnswerTooLarge))
}

// Guards against mistakes in names and types of columns that go unnoticed or
// point elsewhere.
func TestQueryMistakesPointAtTheirColumn(t *testing.T) {
	f := &fakeEntry{table: oplang.Table{Columns: naiveColumns}}
	for text, want := range map[string]string{
		"show counts where requets = 1":         `column 19: there is no column "requets" (did you mean "requests"?); expected name,`,
		"show counts where requests = x":        `column 30: "x" is no whole number`,
		"show counts by name, name":             "column 22: the column name is given twice",
		"show counts by name order by time":     `column 30: there is no column "time"`,
		"show counts where wait < 3":            `column 26: "3" is no duration`,
		"unload m on u if revision 3":           "column 15: unload changes no entity",
		"show counts where time > yesterday":    `column 26: "yesterday" is no time`,
		"show counts by none":                   `column 16: there is no column "none"`,
		"show counts where name = a order by x": `column 37: there is no column "x"`,
	} {
		_, err := run(f, text)
		NewWithT(t).Expect(err).To(MatchError(HavePrefix(want)), text)
	}
	f.table.Columns = naiveColumns[:3]
	_, err := run(f, "show counts since < 1m")
	NewWithT(t).Expect(err).To(MatchError(HavePrefix("column 21: counts has no times")))
}

// Guards against a command that changes something else than it says, forgets
// the reason or revision, or changes something in a dry run.
func TestCommandsMakeTheirChanges(t *testing.T) {
	g := NewWithT(t)
	f := &fakeEntry{values: map[string]string{
		"model m":             `{"name":"m","team":"t","max_replicas":3,"pinned":["a"]}`,
		"service s":           `{"name":"s","calls":[{"prefix":"/x","idempotent":true},{"prefix":"/y","idempotent":false}]}`,
		"drain upstream/gone": `{"upstream":"gone"}`,
	}}
	for text, want := range map[string]string{
		`create caller c team=t highest=high reason "new"`:    `{"entity":"caller","name":"c","expected":0,"value":{"name":"c","team":"t","highest":0,"weight":1},"actor":"ann","team":"tickets","reason":"new"}`,
		`create version m/v2 weights=1GiB kv_headroom=512MiB`: `{"entity":"version","name":"m/v2","expected":0,"value":{"model":"m","name":"v2","weights":"1GiB","kv_headroom":"512MiB"},"actor":"ann","team":"tickets"}`,
		`change model m keep_alive=90s if revision 7`:         `{"entity":"model","name":"m","expected":7,"value":{"name":"m","team":"t","min_replicas":0,"max_replicas":3,"keep_alive":"1m30s","pinned":["a"]},"actor":"ann","team":"tickets"}`,
		`change service s non_idempotent=POST:/z,/w`:          `{"entity":"service","name":"s","expected":7,"value":{"name":"s","team":"","calls":[{"prefix":"/x","idempotent":true},{"method":"POST","prefix":"/z","idempotent":false},{"prefix":"/w","idempotent":false}]},"actor":"ann","team":"tickets"}`,
		`delete model m`:              `{"entity":"model","name":"m","expected":7,"actor":"ann","team":"tickets"}`,
		`drain host h reason "power"`: `{"entity":"drain","name":"host/h","expected":0,"value":{"host":"h"},"actor":"ann","team":"tickets","reason":"power"}`,
		`undrain upstream gone`:       `{"entity":"drain","name":"upstream/gone","expected":7,"actor":"ann","team":"tickets"}`,
		`pin m on b`:                  `{"entity":"model","name":"m","expected":7,"value":{"name":"m","team":"t","min_replicas":0,"max_replicas":3,"pinned":["a","b"]},"actor":"ann","team":"tickets"}`,
		`activate m v2`:               `{"entity":"model","name":"m","expected":7,"value":{"name":"m","team":"t","active":"v2","min_replicas":0,"max_replicas":3,"pinned":["a"]},"actor":"ann","team":"tickets"}`,
		`change model m pinned=none team="two words" --dry-run`:        "",
		`quarantine ab --dry-run`:                                      "",
		`create upstream u fencing=enforced memory=1B --dry-run`:       "",
		`create model new min_replicas=0 pinned=x,y  --dry-run`:        "",
		`create team z reason "a \"quoted\" reason" --dry-run`:         "",
		`create service z idempotent=none non_idempotent=/  --dry-run`: "",
	} {
		f.changes = nil
		result, err := run(f, text)
		g.Expect(err).NotTo(HaveOccurred(), text)
		g.Expect(result.Rows).To(HaveLen(1))
		if want == "" {
			g.Expect(f.changes).To(BeEmpty(), text)
			continue
		}
		got, err := json.Marshal(f.changes[0])
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(string(got)).To(Equal(want), text)
	}
	g.Expect(f.dryRuns).To(Equal(6))
	for text, want := range map[string]oplang.Action{
		"prewarm m":                    {Verb: "prewarm", Model: "m"},
		`unload m on u reason "fault"`: {Verb: "unload", Model: "m", Upstream: "u", Reason: "fault"},
		"quarantine 00ff":              {Verb: "quarantine", Fingerprint: 255, For: time.Hour},
		"quarantine ff for 90m":        {Verb: "quarantine", Fingerprint: 255, For: 90 * time.Minute},
		"release FFFFFFFFFFFFFFFF":     {Verb: "release", Fingerprint: 1<<64 - 1},
	} {
		f.actions = nil
		_, err := run(f, text)
		g.Expect(err).NotTo(HaveOccurred(), text)
		want.Actor, want.Team = "ann", "tickets"
		g.Expect(f.actions).To(Equal([]oplang.Action{want}))
	}
}

// Guards against a command that overwrites a newer revision or an entity that
// it thought absent.
func TestCommandsAreRefusedOnTheWrongRevision(t *testing.T) {
	f := &fakeEntry{values: map[string]string{"model m": `{"name":"m"}`}}
	for text, want := range map[string]verdict.Reason{
		"create model m": verdict.ReasonConflict, "change model x team=t": verdict.ReasonNotFound,
		"delete model m if revision 6": verdict.ReasonConflict, "pin x on u": verdict.ReasonNotFound,
		"undrain host h": verdict.ReasonNotFound, "create model y if revision 1": verdict.ReasonConflict,
	} {
		_, err := run(f, text)
		g := NewWithT(t)
		g.Expect(verdict.Of(err).Reason).To(Equal(want), text)
		g.Expect(oplang.NewErrorAnswer(err).Error.Code).To(Equal(string(want)))
	}
	NewWithT(t).Expect(f.changes).To(BeEmpty())
}

// Guards against cells that break a table, lose their type in JSON or hide
// that an answer is incomplete.
func TestOutputForms(t *testing.T) {
	g := NewWithT(t)
	table := oplang.Table{
		Columns: []oplang.Column{{Name: "name"}, {Name: "n", Kind: oplang.KindInt}, {Name: "size"}, {Name: "f"}, {Name: "b"}},
		Rows: [][]oplang.Value{
			{oplang.Text("a,\n\x1b[31m\"b"), oplang.Int(1 << 60), oplang.Size(state.GiB), oplang.Float(1.5), oplang.Bool(true)},
			{oplang.Text(""), oplang.Int(0), oplang.Size(0), oplang.Float(0), oplang.Bool(false)},
		},
		Incomplete: []string{"entry-2"},
	}
	var out bytes.Buffer
	g.Expect(oplang.Write(&out, table, oplang.FormatTable)).To(Succeed())
	g.Expect(strings.Split(out.String(), "\n")).To(HaveExactElements(
		MatchRegexp(`^name +n +size +f +b$`), MatchRegexp(`^a,  \[31m"b +1152921504606846976 +1GiB +1.5 +true$`),
		MatchRegexp(`^- +0 +0B +0 +false$`), "incomplete: no answer from entry-2", ""))
	out.Reset()
	g.Expect(oplang.Write(&out, table, oplang.FormatCSV)).To(Succeed())
	g.Expect(out.String()).To(HavePrefix("name,n,size,f,b\n\"a,\n\x1b[31m\"\"b\",1152921504606846976,1GiB,1.5,true\n"))
	out.Reset()
	g.Expect(oplang.Write(&out, table, oplang.FormatJSON)).To(Succeed())
	var answer oplang.Answer
	g.Expect(json.Unmarshal(out.Bytes(), &answer)).To(Succeed())
	g.Expect(answer.Rows[0][1]).To(Equal(oplang.Int(1 << 60)))
	g.Expect(answer.Rows[0][3:]).To(Equal(table.Rows[0][3:]))
	g.Expect(answer.Incomplete).To(Equal(table.Incomplete))
	_, err := oplang.ParseFormat("xml")
	g.Expect(err).To(HaveOccurred())
}

// Guards against values that change between entries, which send them as text.
func TestValuesSurviveText(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.Int64().Draw(rt, "n")
		for _, value := range []oplang.Value{
			oplang.Text(rapid.String().Draw(rt, "text")), oplang.Int(n), oplang.Bool(n > 0),
			oplang.Float(rapid.Float64().Draw(rt, "f")), oplang.Duration(time.Duration(n)),
			oplang.Size(state.Bytes(max(0, n/4))), oplang.Time(time.Unix(0, n)),
		} {
			back, err := oplang.ParseValue(value.Kind(), value.String())
			if err != nil || back != value {
				rt.Fatalf("%v became %v: %v", value, back, err)
			}
		}
	})
}

// Guards against a conflict that does not say who made the revision that the
// operator did not expect.
func TestConflictOfAnOldRevisionNamesTheWinner(t *testing.T) {
	g := NewWithT(t)
	f := &fakeEntry{
		values: map[string]string{"model m": `{"name":"m"}`},
		refuse: verdict.Refuse(verdict.ReasonConflict, "changed meanwhile by bob"),
	}
	_, err := run(f, "delete model m if revision 6")
	g.Expect(err).To(MatchError(ContainSubstring("changed meanwhile by bob")))
	g.Expect(f.changes).To(BeEmpty())
}
