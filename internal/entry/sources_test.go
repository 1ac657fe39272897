package entry

import (
	"context"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lagoonvalve/lagoonvalve/internal/audit"
	"github.com/lagoonvalve/lagoonvalve/internal/oplang"
	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
	"github.com/lagoonvalve/lagoonvalve/internal/settings"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
	"github.com/lagoonvalve/lagoonvalve/internal/verdict"
)

// Guards against rows of an entry of another version that lack columns, which
// a query would read beyond their ends, and against a whole answer that is
// left out because of further columns.
func TestRowsOfOtherEntries(t *testing.T) {
	columns := []oplang.Column{number("shard"), text("entry"), count("waiting")}
	for name, tc := range map[string]struct {
		rows    [][]string
		refused bool
	}{
		"equal":   {rows: [][]string{{"1", "e", "2"}}},
		"longer":  {rows: [][]string{{"1", "e", "2", "x"}}},
		"shorter": {rows: [][]string{{"1", "e", "2"}, {"1", "e"}}, refused: true},
		"empty":   {rows: [][]string{{}}, refused: true},
	} {
		g := NewWithT(t)
		network := newFakeNetwork()
		network.serve("b", map[string]rpc.MethodFunc{
			rpc.MethodQuery: rpc.Method(func(context.Context, rpc.QueryParams) (rpc.QueryResult, error) {
				return rpc.QueryResult{Rows: tc.rows}, nil
			}),
		})
		rows, err := source{entry: &Entry{caller: network}}.askOne(t.Context(), "b", rpc.QueryParams{Table: "claims"}, columns)
		if tc.refused {
			g.Expect(err).To(HaveOccurred(), name)
			continue
		}
		g.Expect(err).NotTo(HaveOccurred(), name)
		g.Expect(rows).To(HaveLen(1), name)
		g.Expect(rows[0]).To(HaveLen(len(columns)), name)
	}
}

// Guards against a query whose rows fill the memory of the entry that gathers
// them, and against rows that are sent although the query does not keep them,
// so that narrowing it would not help.
func TestGatheredRowsAreBounded(t *testing.T) {
	g := NewWithT(t)
	e := newTestEntry(t, settings.DefaultEntry())
	network := newFakeNetwork()
	e.caller = network
	config, region := state.NewConfig().View(), state.NewRegionTables().View()
	e.control.published.Store(&view{config: config, region: region, ready: true, addresses: map[state.EntryName]string{"b": "b"}})
	for _, caller := range []state.CallerName{"c1", "c2", "c3"} {
		e.ledger.counts.Add(caller, audit.Served, verdict.ReasonOK)
	}
	for statement, want := range map[string]int{
		"": 3, "show counts": 3, "show counts by caller": 3, "show counts where caller = c2": 1,
		"show loaded where model = m": 3, "a later language": 3,
	} {
		result, err := e.query(t.Context(), rpc.QueryParams{Table: "counts", Statement: statement, At: time.Now()})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(result.Rows).To(HaveLen(want), statement)
	}
	columns := sourceTables["refused"].columns
	row := make([]string, len(columns))
	for i, column := range columns {
		row[i] = oplang.Value{}.String()
		if column.Kind != oplang.KindText {
			row[i] = map[oplang.Kind]string{oplang.KindTime: "2026-01-02T15:04:05Z", oplang.KindInt: "1"}[column.Kind]
		}
	}
	const statement = "show refused"
	query, err := oplang.Parse(statement)
	g.Expect(err).NotTo(HaveOccurred())
	for _, cells := range []int{gatheredCells, gatheredCells + len(columns)} {
		network.serve("b", map[string]rpc.MethodFunc{rpc.MethodQuery: rpc.Method(func(_ context.Context, p rpc.QueryParams) (rpc.QueryResult, error) {
			g.Expect(p.Statement).To(Equal(statement))
			return rpc.QueryResult{Rows: slices.Repeat([][]string{row}, cells/len(columns))}, nil
		})})
		_, err := source{entry: e, statement: statement}.Rows(t.Context(), query.Show, time.Now())
		if cells > gatheredCells {
			g.Expect(verdict.Of(err).Reason).To(Equal(verdict.ReasonAnswerTooLarge))
			continue
		}
		g.Expect(err).NotTo(HaveOccurred())
	}
}
