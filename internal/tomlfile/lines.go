package tomlfile

import (
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// Lines maps a key's dotted path, such as "grant[1].share", to its 1-based
// line in the source.
type Lines map[string]int

// Of returns the line of key or, when the key is absent, of its closest
// parent that is present; 0 when there is none.
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

// index is what is known of a source before it is decoded.
type index struct {
	lines Lines
	kinds map[string]unstable.Kind
}

// indexer records the line of each key, and the kind of its value, up to the
// first fault of syntax.
type indexer struct {
	index
	parser unstable.Parser
	counts map[string]int
	prefix string
}

func indexOf(source []byte) index {
	x := &indexer{index: index{lines: Lines{}, kinds: map[string]unstable.Kind{}}, counts: map[string]int{}}
	x.parser.Reset(source)
	for x.parser.NextExpression() {
		x.expression(x.parser.Expression())
	}
	return x.index
}

func (x *indexer) expression(node *unstable.Node) {
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
		x.keyValue(x.prefix, node)
	}
}

func (x *indexer) keyValue(prefix string, node *unstable.Node) {
	path, line := keyPath(&x.parser, node)
	x.value(join(prefix, strings.Join(path, ".")), line, node.Value())
}

// value records a value and what stands inside it: inline tables and the
// elements of arrays have keys of their own.
func (x *indexer) value(key string, line int, value *unstable.Node) {
	x.lines[key] = line
	x.kinds[key] = value.Kind
	children := value.Children()
	switch value.Kind {
	case unstable.InlineTable:
		for children.Next() {
			x.keyValue(key, children.Node())
		}
	case unstable.Array:
		for n := 0; children.Next(); n++ {
			element := children.Node()
			x.value(fmt.Sprintf("%s[%d]", key, n), x.lineOf(element, line), element)
		}
	}
}

// lineOf is the line on which a node stands; some nodes carry no place, and
// stand in for their parent's.
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

// qualify writes path with the current position of each array of tables that
// it passes through: under the second [[grant]], "grant.x" is "grant[1].x".
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
