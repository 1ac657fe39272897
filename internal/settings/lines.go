package settings

import (
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// lineIndex maps the full keys of a document to their line numbers.
type lineIndex map[string]int

// lineOf returns the line of key or, if the document does not contain it, of
// the nearest enclosing table; 1 if there is none.
func (l lineIndex) lineOf(key string) int {
	for key != "" {
		if line, ok := l[key]; ok {
			return line
		}
		key = key[:max(0, strings.LastIndexAny(key, ".["))]
	}
	return 1
}

// lineScanner records the lines of keys while it walks the syntax tree of a
// document, as the decoded map does not contain positions.
type lineScanner struct {
	parser unstable.Parser
	lines  lineIndex
	// arrays counts the elements seen so far of each array of tables.
	arrays map[string]int
}

func indexLines(data []byte) lineIndex {
	s := lineScanner{lines: make(lineIndex), arrays: make(map[string]int)}
	s.parser.Reset(data)
	table := ""
	for s.parser.NextExpression() {
		node := s.parser.Expression()
		switch node.Kind {
		case unstable.Table:
			table = s.recordKey("", node.Key(), false)
		case unstable.ArrayTable:
			table = s.recordKey("", node.Key(), true)
		case unstable.KeyValue:
			s.scanKeyValue(table, node)
		}
	}
	return s.lines
}

func (s *lineScanner) scanKeyValue(table string, node *unstable.Node) {
	key := s.recordKey(table, node.Key(), false)
	s.scanValue(key, node.Value())
}

func (s *lineScanner) scanValue(key string, node *unstable.Node) {
	children := node.Children()
	switch node.Kind {
	case unstable.InlineTable:
		for children.Next() {
			s.scanKeyValue(key, children.Node())
		}
	case unstable.Array:
		for i := 0; children.Next(); i++ {
			s.scanValue(elementKey(key, i), children.Node())
		}
	}
}

// recordKey records the line of a dotted key below table and returns its full
// name. If newElement is set, the key starts a new element of an array of
// tables.
func (s *lineScanner) recordKey(table string, parts unstable.Iterator, newElement bool) string {
	full := table
	for parts.Next() {
		part := parts.Node()
		full = joinKey(full, string(part.Data))
		last := parts.IsLast()
		if last && newElement {
			s.arrays[full]++
		}
		line := s.parser.Shape(part.Raw).Start.Line
		if _, ok := s.lines[full]; !ok {
			s.lines[full] = line
		}
		if n := s.arrays[full]; n > 0 {
			full = elementKey(full, n-1)
		}
		if last {
			s.lines[full] = line
		}
	}
	return full
}

func joinKey(table, key string) string {
	if table == "" {
		return key
	}
	return table + "." + key
}

func elementKey(key string, i int) string {
	return key + "[" + strconv.Itoa(i) + "]"
}
