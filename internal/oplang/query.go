package oplang

import (
	"slices"
	"strings"
	"time"
)

// TimeColumn is the column that "since" looks at.
const TimeColumn = "time"

// RowsColumn counts the rows of a group.
const RowsColumn = "rows"

// Apply runs the query over the rows of its table: since, where, by, order
// and limit, in this order. Rows of equal order keep theirs.
func (q *Show) Apply(table Table, now time.Time) (Table, error) {
	result, err := q.Filter(table, now)
	if err != nil {
		return Table{}, err
	}
	if len(q.By) > 0 {
		if result, err = q.group(result); err != nil {
			return Table{}, err
		}
	}
	if err := q.order(&result); err != nil {
		return Table{}, err
	}
	limit, err := q.limit()
	if err != nil {
		return Table{}, err
	}
	if limit > 0 && len(result.Rows) > limit {
		result.Rows = result.Rows[:limit]
	}
	return result, nil
}

// Filter keeps the rows that since and where keep.
func (q *Show) Filter(table Table, now time.Time) (Table, error) {
	keep, err := q.filter(table, now)
	if err != nil {
		return Table{}, err
	}
	result := Table{Columns: table.Columns, Incomplete: table.Incomplete}
	for _, row := range table.Rows {
		if keep(row) {
			result.Rows = append(result.Rows, row)
		}
	}
	return result, nil
}

// test tells whether a query keeps a row.
type test func(row []Value) bool

func (q *Show) filter(table Table, now time.Time) (test, error) {
	var tests []test
	if q.Since != nil {
		t, err := q.sinceTest(table, now)
		if err != nil {
			return nil, err
		}
		tests = append(tests, t)
	}
	for _, condition := range q.Where {
		t, err := condition.test(table)
		if err != nil {
			return nil, err
		}
		tests = append(tests, t)
	}
	return func(row []Value) bool {
		for _, t := range tests {
			if !t(row) {
				return false
			}
		}
		return true
	}, nil
}

func (q *Show) sinceTest(table Table, now time.Time) (test, error) {
	back, err := q.since()
	if err != nil {
		return nil, err
	}
	place := table.Column(TimeColumn)
	if place < 0 || table.Columns[place].Kind != KindTime {
		return nil, mistakeAt(q.Since.Pos, "%s has no times, so that since does not apply", q.Table)
	}
	oldest := Time(now.Add(-back))
	return func(row []Value) bool { return Compare(row[place], oldest) >= 0 }, nil
}

func (c *Condition) test(table Table) (test, error) {
	place, err := columnOf(table, c.Column)
	if err != nil {
		return nil, err
	}
	if c.Operator == "~" {
		part := strings.ToLower(c.Value.Text)
		return func(row []Value) bool {
			return strings.Contains(strings.ToLower(row[place].String()), part)
		}, nil
	}
	kind := table.Columns[place].Kind
	value, err := ParseValue(kind, c.Value.Text)
	if err != nil {
		return nil, mistakeAt(c.Value.Pos, "%q is no %s, as the column %s holds", c.Value.Text, kind, c.Column.Text)
	}
	holds := comparisons[c.Operator]
	return func(row []Value) bool { return holds(Compare(row[place], value)) }, nil
}

// comparisons take the result of Compare.
var comparisons = map[string]func(order int) bool{
	"=":  func(order int) bool { return order == 0 },
	"!=": func(order int) bool { return order != 0 },
	"<":  func(order int) bool { return order < 0 },
	"<=": func(order int) bool { return order <= 0 },
	">":  func(order int) bool { return order > 0 },
	">=": func(order int) bool { return order >= 0 },
}

func columnOf(table Table, name *Literal) (int, error) {
	if place := table.Column(name.Text); place >= 0 {
		return place, nil
	}
	m := mistakeAt(name.Pos, "there is no column %q", name.Text)
	for _, column := range table.Columns {
		m.Expected = append(m.Expected, column.Name)
	}
	if near := nearest(name.Text, m.Expected); near != "" {
		m.Message += " (did you mean \"" + near + "\"?)"
	}
	return 0, m
}

// group makes one row for each set of values of the columns after "by", with
// the number of rows and the sums of the columns that add up.
func (q *Show) group(table Table) (Table, error) {
	var keys, sums []int
	for _, name := range q.By {
		place, err := columnOf(table, name)
		if err != nil {
			return Table{}, err
		}
		if slices.Contains(keys, place) {
			return Table{}, mistakeAt(name.Pos, "the column %s is given twice", name.Text)
		}
		keys = append(keys, place)
	}
	for place, column := range table.Columns {
		if column.Sum && !slices.Contains(keys, place) {
			sums = append(sums, place)
		}
	}
	result := Table{Columns: groupColumns(table, keys, sums), Incomplete: table.Incomplete}
	result.Rows = groupRows(table.Rows, keys, sums)
	return result, nil
}

func groupColumns(table Table, keys, sums []int) []Column {
	var columns []Column
	for _, place := range keys {
		columns = append(columns, Column{Name: table.Columns[place].Name, Kind: table.Columns[place].Kind})
	}
	columns = append(columns, Column{Name: RowsColumn, Kind: KindInt, Sum: true})
	for _, place := range sums {
		columns = append(columns, table.Columns[place])
	}
	return columns
}

// groupRows sorts rows by their keys and adds up the runs of equal keys.
func groupRows(rows [][]Value, keys, sums []int) [][]Value {
	compare := func(a, b []Value) int {
		for _, place := range keys {
			if order := Compare(a[place], b[place]); order != 0 {
				return order
			}
		}
		return 0
	}
	sorted := slices.Clone(rows)
	slices.SortStableFunc(sorted, compare)
	var groups [][]Value
	for i, row := range sorted {
		if i == 0 || compare(sorted[i-1], row) != 0 {
			groups = append(groups, newGroup(row, keys, sums))
			continue
		}
		group := groups[len(groups)-1]
		group[len(keys)] = Add(group[len(keys)], Int(1))
		for n, place := range sums {
			at := len(keys) + 1 + n
			group[at] = Add(group[at], row[place])
		}
	}
	return groups
}

func newGroup(row []Value, keys, sums []int) []Value {
	group := make([]Value, 0, len(keys)+1+len(sums))
	for _, place := range keys {
		group = append(group, row[place])
	}
	group = append(group, Int(1))
	for _, place := range sums {
		group = append(group, row[place])
	}
	return group
}

func (q *Show) order(table *Table) error {
	if q.OrderBy == nil {
		return nil
	}
	place, err := columnOf(*table, q.OrderBy)
	if err != nil {
		return err
	}
	table.Rows = slices.Clone(table.Rows)
	slices.SortStableFunc(table.Rows, func(a, b []Value) int {
		if q.Desc {
			return Compare(b[place], a[place])
		}
		return Compare(a[place], b[place])
	})
	return nil
}
