package tomlfile

import (
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// Lines maps the dotted path of a key, such as "grant[1].share", to its 1-based line in the
// source.
type Lines map[string]int

// Of returns the line of a key. If the key is absent, it returns the line of the closest
// parent that is present, or 0 if there is none.
func (l Lines) Of(key string) int {
	for key != "" {
		if line, ok := l[key]; ok {
			return line
		}
		cut := strings.LastIndexAny(key, ".[")
		if cut < 0 {
			return 0
		}
		key = key[:cut]
	}
	return 0
}

// index holds the line of each key in a source and the kind of its value. It is built before
// the source is decoded.
type index struct {
	lines Lines
	kinds map[string]unstable.Kind
}

// indexer builds an index up to the first syntax error.
type indexer struct {
	index
	parser unstable.Parser
	counts map[string]int
	prefix string
}

func buildIndex(source []byte) index {
	x := &indexer{index: index{lines: Lines{}, kinds: map[string]unstable.Kind{}}, counts: map[string]int{}}
	x.parser.Reset(source)
	for x.parser.NextExpression() {
		x.addExpression(x.parser.Expression())
	}
	return x.index
}

func (x *indexer) addExpression(node *unstable.Node) {
	path, line := keyPath(&x.parser, node)
	switch node.Kind {
	case unstable.Table:
		x.prefix = qualify(path, x.counts)
		x.lines[x.prefix] = line
	case unstable.ArrayTable:
		base := qualify(path, x.counts)
		x.prefix = fmt.Sprintf("%s[%d]", base, x.counts[base])
		x.counts[base]++
		x.lines[x.prefix] = line
	case unstable.KeyValue:
		x.addKeyValue(x.prefix, node)
	}
}

func (x *indexer) addKeyValue(prefix string, node *unstable.Node) {
	path, line := keyPath(&x.parser, node)
	x.addValue(join(prefix, strings.Join(path, ".")), line, node.Value())
}

// addValue adds a value and the values inside it: the entries of inline tables and the elements
// of arrays have keys of their own.
func (x *indexer) addValue(key string, line int, value *unstable.Node) {
	x.lines[key] = line
	x.kinds[key] = value.Kind
	children := value.Children()
	switch value.Kind {
	case unstable.InlineTable:
		for children.Next() {
			x.addKeyValue(key, children.Node())
		}
	case unstable.Array:
		for n := 0; children.Next(); n++ {
			element := children.Node()
			x.addValue(fmt.Sprintf("%s[%d]", key, n), x.lineOf(element, line), element)
		}
	}
}

// lineOf returns the line of a node. Some nodes have no position; for these it returns the line
// of the parent.
func (x *indexer) lineOf(node *unstable.Node, parent int) int {
	if node.Raw.Length == 0 {
		return parent
	}
	return x.parser.Shape(node.Raw).Start.Line
}

// keyPath returns the parts of the node's key and the line of its last part.
func keyPath(parser *unstable.Parser, node *unstable.Node) ([]string, int) {
	var path []string
	line := 0
	parts := node.Key()
	for parts.Next() {
		part := parts.Node()
		path = append(path, string(part.Data))
		line = parser.Shape(part.Raw).Start.Line
	}
	return path, line
}

// qualify returns the dotted path with the current index of each array of tables that it
// passes through: under the second [[grant]], "grant.x" becomes "grant[1].x".
func qualify(path []string, counts map[string]int) string {
	name := ""
	for i, part := range path {
		name = join(name, part)
		last := i == len(path)-1
		if n := counts[name]; n > 0 && !last {
			name = fmt.Sprintf("%s[%d]", name, n-1)
		}
	}
	return name
}

func join(prefix, key string) string {
	if prefix == "" {
		return key
	}
	return prefix + "." + key
}
