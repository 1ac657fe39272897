package oplang_test

import (
	"fmt"
	"sort"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/lagoonvalve/lagoonvalve/internal/oplang"
)

// naiveCell is a cell as plain Go values: text and number.
type naiveCell struct {
	text   string
	number int64
}

// naiveRow has the columns name, requests, wait (seconds) and age (minutes
// before now).
type naiveRow struct {
	cells [4]naiveCell
}

var naiveColumns = []oplang.Column{
	{Name: "name"},
	{Name: "requests", Kind: oplang.KindInt, Sum: true},
	{Name: "wait", Kind: oplang.KindDuration, Sum: true},
	{Name: "time", Kind: oplang.KindTime},
}

func (r naiveRow) values() []oplang.Value {
	return []oplang.Value{
		oplang.Text(r.cells[0].text), oplang.Int(r.cells[1].number),
		oplang.Duration(time.Duration(r.cells[2].number) * time.Second),
		oplang.Time(now.Add(-time.Duration(r.cells[3].number) * time.Minute)),
	}
}

// Guards against an executor that filters, groups, sorts or limits otherwise
// than a straightforward one.
func TestQueriesMatchANaiveExecutor(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var rows []naiveRow
		f := &fakeEntry{table: oplang.Table{Columns: naiveColumns, Incomplete: []string{"entry-9"}}}
		for range rapid.IntRange(0, 12).Draw(rt, "rows") {
			small := rapid.Int64Range(0, 4)
			row := naiveRow{cells: [4]naiveCell{
				{text: rapid.SampledFrom([]string{"a", "b", "ab", ""}).Draw(rt, "name")},
				{number: small.Draw(rt, "requests")}, {number: small.Draw(rt, "wait")}, {number: small.Draw(rt, "age")},
			}}
			rows = append(rows, row)
			f.table.Rows = append(f.table.Rows, row.values())
		}
		query := "show counts"
		group := rapid.SampledFrom([]string{"", "name", "wait", "name,time"}).Draw(rt, "by")
		if group != "" {
			query += " by " + group
		}
		query, rows = drawFilters(rt, query, rows)
		got := naiveGroup(rows, group)
		query, got = drawOrder(rt, query, group, got)
		result, err := run(f, query)
		if err != nil {
			rt.Fatalf("%s: %v", query, err)
		}
		if want, have := fmt.Sprint(got), fmt.Sprint(texts(result)); want != have {
			rt.Fatalf("%s:\nwant %s\nhave %s", query, want, have)
		}
		if len(result.Incomplete) != 1 {
			rt.Fatalf("%s lost the mark of an incomplete answer", query)
		}
	})
}

func drawFilters(rt *rapid.T, query string, rows []naiveRow) (string, []naiveRow) {
	keep := func(test func(naiveRow) bool) {
		var kept []naiveRow
		for _, row := range rows {
			if test(row) {
				kept = append(kept, row)
			}
		}
		rows = kept
	}
	bound := rapid.Int64Range(0, 4).Draw(rt, "bound")
	switch rapid.IntRange(0, 4).Draw(rt, "where") {
	case 1:
		query += fmt.Sprintf(" where requests >= %d and name != b", bound)
		keep(func(r naiveRow) bool { return r.cells[1].number >= bound && r.cells[0].text != "b" })
	case 2:
		query += fmt.Sprintf(" where wait < %ds", bound)
		keep(func(r naiveRow) bool { return r.cells[2].number < bound })
	case 3:
		query += ` where name ~ B and requests = ` + fmt.Sprint(bound)
		keep(func(r naiveRow) bool {
			return strings.Contains(r.cells[0].text, "b") && r.cells[1].number == bound
		})
	case 4:
		query += ` where name = "" and wait <= 2s and requests > 0`
		keep(func(r naiveRow) bool {
			return r.cells[0].text == "" && r.cells[2].number <= 2 && r.cells[1].number > 0
		})
	}
	if bound > 0 && rapid.Bool().Draw(rt, "since") {
		query += fmt.Sprintf(" since < %dm", bound)
		keep(func(r naiveRow) bool { return r.cells[3].number <= bound })
	}
	return query, rows
}

// naiveGroup returns the rows as texts; "" groups nothing.
func naiveGroup(rows []naiveRow, group string) [][]string {
	var out [][]string
	if group == "" {
		for _, row := range rows {
			out = append(out, cellTexts(row.values()))
		}
		return out
	}
	place := map[string]int{"name": 0, "wait": 2, "time": 3}
	var keys []int
	for _, name := range strings.Split(group, ",") {
		keys = append(keys, place[name])
	}
	sums := make(map[string][3]int64)
	first := make(map[string]naiveRow)
	for _, row := range rows {
		var key string
		for _, k := range keys {
			key += cellTexts(row.values())[k] + "\x00"
		}
		s := sums[key]
		sums[key] = [3]int64{s[0] + 1, s[1] + row.cells[1].number, s[2] + row.cells[2].number}
		first[key] = row
	}
	sorted := make([]string, 0, len(sums))
	for key := range sums {
		sorted = append(sorted, key)
	}
	// Ages sort against time; texts and numbers here have one digit.
	sort.Strings(sorted)
	for _, key := range sorted {
		var line []string
		for _, k := range keys {
			line = append(line, cellTexts(first[key].values())[k])
		}
		line = append(line, fmt.Sprint(sums[key][0]), fmt.Sprint(sums[key][1]))
		if group != "wait" {
			line = append(line, (time.Duration(sums[key][2]) * time.Second).String())
		}
		out = append(out, line)
	}
	return out
}

func drawOrder(rt *rapid.T, query, group string, rows [][]string) (string, [][]string) {
	column, desc := 1, rapid.Bool().Draw(rt, "desc")
	switch rapid.IntRange(0, 2).Draw(rt, "order") {
	case 0:
		return query, rows
	case 1:
		query += " order by requests"
		if group != "" {
			column = strings.Count(group, ",") + 2
		}
	default:
		if group == "wait" {
			return query, rows
		}
		query += " order by name"
		column = 0
	}
	if desc {
		query += " desc"
	}
	// Insertion sort keeps equal rows in place. Requests may have two digits.
	pad := func(text string) string { return fmt.Sprintf("%3s", text) }
	if column == 0 {
		pad = func(text string) string { return text }
	}
	for i := range rows {
		for j := i; j > 0; j-- {
			before, after := pad(rows[j-1][column]), pad(rows[j][column])
			if (!desc && after < before) || (desc && after > before) {
				rows[j-1], rows[j] = rows[j], rows[j-1]
			}
		}
	}
	if limit := rapid.IntRange(0, 5).Draw(rt, "limit"); limit > 0 {
		query += fmt.Sprint(" limit ", limit)
		rows = rows[:min(limit, len(rows))]
	}
	return query, rows
}

func cellTexts(row []oplang.Value) []string {
	out := make([]string, len(row))
	for i, value := range row {
		out[i] = value.String()
	}
	return out
}

func texts(table oplang.Table) [][]string {
	var out [][]string
	for _, row := range table.Rows {
		out = append(out, cellTexts(row))
	}
	return out
}
