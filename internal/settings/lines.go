package settings

import (
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// lineIndex gives the line of each key of a document.
type lineIndex map[string]int

// of returns the line of key or, if the document lacks it, of the nearest
// table around it.
func (l lineIndex) of(key string) int {
	for key != "" {
		if line, ok := l[key]; ok {
			return line
		}
		key = key[:max(0, strings.LastIndexAny(key, ".["))]
	}
	return 1
}

// lineScanner walks the syntax tree of a document. The decoded map does not
// tell where its keys were.
type lineScanner struct {
	parser unstable.Parser
	lines  lineIndex
	// arrays counts the elements of each array of tables.
	arrays map[string]int
}

func lineNumbers(data []byte) lineIndex {
	s := lineScanner{lines: make(lineIndex), arrays: make(map[string]int)}
	s.parser.Reset(data)
	table := ""
	for s.parser.NextExpression() {
		node := s.parser.Expression()
		switch node.Kind {
		case unstable.Table:
			table = s.key("", node.Key(), false)
		case unstable.ArrayTable:
			table = s.key("", node.Key(), true)
		case unstable.KeyValue:
			s.keyValue(table, node)
		}
	}
	return s.lines
}

func (s *lineScanner) keyValue(table string, node *unstable.Node) {
	key := s.key(table, node.Key(), false)
	s.value(key, node.Value())
}

func (s *lineScanner) value(key string, node *unstable.Node) {
	children := node.Children()
	switch node.Kind {
	case unstable.InlineTable:
		for children.Next() {
			s.keyValue(key, children.Node())
		}
	case unstable.Array:
		for i := 0; children.Next(); i++ {
			s.value(element(key, i), children.Node())
		}
	}
}

// key notes the line of a dotted key below table and returns its full name.
// With grow, the key starts a new element of an array of tables.
func (s *lineScanner) key(table string, parts unstable.Iterator, grow bool) string {
	full := table
	for parts.Next() {
		part := parts.Node()
		full = join(full, string(part.Data))
		last := parts.IsLast()
		if last && grow {
			s.arrays[full]++
		}
		line := s.parser.Shape(part.Raw).Start.Line
		if _, ok := s.lines[full]; !ok {
			s.lines[full] = line
		}
		if n := s.arrays[full]; n > 0 {
			full = element(full, n-1)
		}
		if last {
			s.lines[full] = line
		}
	}
	return full
}

func join(table, key string) string {
	if table == "" {
		return key
	}
	return table + "." + key
}

func element(key string, i int) string {
	return key + "[" + strconv.Itoa(i) + "]"
}
