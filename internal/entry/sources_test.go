package entry

import (
	"context"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/lagoonvalve/lagoonvalve/internal/oplang"
	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
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
		rows, err := source{&Entry{caller: network}}.askOne(t.Context(), "b", "claims", columns)
		if tc.refused {
			g.Expect(err).To(HaveOccurred(), name)
			continue
		}
		g.Expect(err).NotTo(HaveOccurred(), name)
		g.Expect(rows).To(HaveLen(1), name)
		g.Expect(rows[0]).To(HaveLen(len(columns)), name)
	}
}
